//! The journal of a process and what it recovers at a start.

use error_stack::{Report, ResultExt};
use register::Incarnation;
use settings::NodeSettings;

use crate::RoleError;

/// The open journal of a process, with what it recovered.
pub struct RecoveredDisk {
    /// The journal.
    pub journal: storage::Journal,
    /// The records that survived, oldest first.
    pub records: Vec<(storage::Position, Vec<u8>)>,
    /// Identifies the disk: after the loss of its data a disk has another incarnation.
    pub incarnation: Incarnation,
}

impl RecoveredDisk {
    /// Opens the journal in the data directory; `None` for a process without one. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// [`RoleError::Journal`] when the journal cannot be opened.
    pub fn open(
        settings: &NodeSettings,
        options: storage::RingOptions,
    ) -> Result<Option<Self>, Report<RoleError>> {
        let Some(directory) = &settings.data_dir else { return Ok(None) };
        let (journal, recovered) =
            storage::Journal::open(directory, options).change_context(RoleError::Journal)?;
        log::info!(
            incarnation = recovered.incarnation,
            records = recovered.records.len(),
            fresh = recovered.is_new;
            "journal opened"
        );
        let incarnation = Incarnation(recovered.incarnation);
        Ok(Some(Self { journal, records: recovered.records, incarnation }))
    }
}
