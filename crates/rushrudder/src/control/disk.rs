//! The journal of a process, and the records that it recovers when the process starts.

use std::path::Path;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use register::Incarnation;
use rpc::DecodeError;
use settings::NodeSettings;
use storage::{FileSystem, NativeFileSystem, Recovered, RingLocation, StorageError};
use store_plane::StoreRecovery;

use crate::RoleError;

/// Function that checks whether the role of a process can decode a record of its journal.
pub type RecordCheck = fn(&[u8]) -> Result<(), DecodeError>;

/// The open journal of a process, with what it recovered: by default the records with their positions, oldest
/// first.
pub struct RecoveredDisk<Content = Vec<(storage::Position, Vec<u8>)>> {
    /// The journal, ready for further records.
    pub journal: storage::Journal,
    /// What was recovered.
    pub content: Content,
    /// Identity of the data on the disk. A new journal, for instance after a loss of the data, has another
    /// incarnation.
    pub incarnation: Incarnation,
}

impl RecoveredDisk {
    /// Opens the journal in the data directory; `None` if the settings have no data directory. Blocks until
    /// the journal has been read.
    ///
    /// # Errors
    ///
    /// [`RoleError::Journal`] if the journal cannot be opened.
    pub fn open(
        settings: &NodeSettings,
        options: storage::RingOptions,
        check: RecordCheck,
    ) -> Result<Option<Self>, Report<RoleError>> {
        let Some(directory) = &settings.data_dir else { return Ok(None) };
        let open = || storage::Journal::open(directory, options);
        let first_unreadable = |recovered: &Recovered| first_unreadable(recovered, check);
        let opened = open_or_set_aside(&NativeFileSystem, directory, first_unreadable, open);
        let (journal, recovered) = opened.change_context(RoleError::Journal)?;
        log::info!(
            incarnation = recovered.incarnation,
            records = recovered.records.len(),
            fresh = recovered.is_new;
            "journal opened"
        );
        Ok(Some(Self::new(journal, recovered)))
    }

    /// Combines an open journal with the records and the incarnation that it recovered.
    #[must_use]
    pub fn new(journal: storage::Journal, recovered: Recovered) -> Self {
        let incarnation = Incarnation(recovered.incarnation);
        Self { journal, content: recovered.records, incarnation }
    }
}

impl RecoveredDisk<StoreRecovery> {
    /// Opens the journal of a store; `None` if the settings have no data directory. Blocks until the journal has
    /// been read. The contents of batch jobs stay on the disk.
    ///
    /// # Errors
    ///
    /// [`RoleError::Journal`] if the journal cannot be opened.
    pub fn open_store(
        settings: &NodeSettings,
        options: storage::RingOptions,
    ) -> Result<Option<Self>, Report<RoleError>> {
        let Some(directory) = &settings.data_dir else { return Ok(None) };
        let location = RingLocation::native(directory, options);
        let open = || {
            let mut recovery = StoreRecovery::new(Arc::new(location.reader()));
            let opened = storage::Journal::open_with(&location, |record| recovery.add(record));
            opened.map(|(journal, recovered)| (journal, (recovered, recovery)))
        };
        let first_unreadable = |(_, recovery): &(Recovered, StoreRecovery)| recovery.first_unreadable();
        let opened = open_or_set_aside(&NativeFileSystem, directory, first_unreadable, open);
        let (journal, (recovered, recovery)) = opened.change_context(RoleError::Journal)?;
        let (batch_jobs, bytes) = recovery.size();
        log::info!(
            incarnation = recovered.incarnation,
            batch_jobs = batch_jobs,
            bytes = bytes,
            fresh = recovered.is_new;
            "journal opened"
        );
        let incarnation = Incarnation(recovered.incarnation);
        Ok(Some(Self { journal, content: recovery, incarnation }))
    }
}

/// Opens a journal with `open`. If durable records are missing or, according to `first_unreadable`, cannot be
/// decoded, or an earlier attempt to
/// set the files aside was interrupted, the disk counts as failed: the files are set aside, and a new journal
/// with another incarnation is opened. A member that may have lost one of its promises must not continue
/// under the same incarnation.
///
/// A record that a loss of power has torn was never acknowledged. The journal itself drops it, and the disk
/// does not count as failed.
///
/// # Errors
///
/// A [`StorageError`] if the journal cannot be opened for another reason, or if its files cannot be set
/// aside.
pub fn open_or_set_aside<T, Content>(
    file_system: &dyn FileSystem,
    directory: &Path,
    first_unreadable: impl Fn(&Content) -> Option<(storage::Position, DecodeError)>,
    mut open: impl FnMut() -> Result<(T, Content), Report<StorageError>>,
) -> Result<(T, Content), Report<StorageError>> {
    let with_directory = |error| {
        let attachment = format!("directory {}", directory.display());
        Report::new(StorageError::from(error)).attach(attachment)
    };
    let is_interrupted = storage::is_set_aside_interrupted(file_system, directory).map_err(with_directory)?;
    if !is_interrupted {
        match open() {
            Ok((journal, recovered)) => match first_unreadable(&recovered) {
                None => return Ok((journal, recovered)),
                Some((position, error)) => log::error!(
                    position = position.0;
                    "the disk counts as failed: a record in {} cannot be decoded: {error}",
                    directory.display()
                ),
            },
            Err(error) if matches!(error.current_context(), StorageError::Corrupt { .. }) => {
                log::error!(
                    "the disk counts as failed: {}: {}",
                    directory.display(),
                    error.current_context()
                );
            }
            Err(error) => return Err(error),
        }
    }
    storage::set_aside(file_system, directory).map_err(with_directory)?;
    log::warn!(
        "the files of the journal in {} were set aside; a new journal is created",
        directory.display()
    );
    open()
}

/// Returns the position of the first record that cannot be decoded, with the error; `None` if all can be
/// decoded.
#[must_use]
pub fn first_unreadable(
    recovered: &Recovered,
    check: RecordCheck,
) -> Option<(storage::Position, DecodeError)> {
    let records = recovered.records.iter();
    let mut errors = records.filter_map(|(position, bytes)| Some((*position, check(bytes).err()?)));
    errors.next()
}
