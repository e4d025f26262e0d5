//! Renames the files of a ring whose records cannot be trusted, so that the next open creates a new one.

use std::io;
use std::path::Path;

use crate::layout::is_segment_name;
use crate::FileSystem;

/// Name of the marker file that exists while the files of a ring are being renamed. A process that finds it
/// when it starts must complete the renames: the files that still have their old names could be read as an
/// older state of the ring.
const IN_PROGRESS: &str = "setting-aside";
/// Name of the marker file once all files of the ring are renamed.
const DONE: &str = "set-aside";
/// Prefix of the new name of each renamed file.
const PREFIX: &str = "unreadable-";

/// Returns whether an earlier call of [`set_aside`] was interrupted and must be repeated before the ring is
/// opened. Creates the directory if it does not exist.
///
/// # Errors
///
/// Returns the error of the file system, for example if the directory cannot be read.
pub fn is_set_aside_interrupted(file_system: &dyn FileSystem, directory: &Path) -> io::Result<bool> {
    file_system.create_directory(directory)?;
    Ok(file_system.list(directory)?.iter().any(|name| name == IN_PROGRESS))
}

/// Durably renames all files of the ring in `directory` and keeps their contents. The renamed files replace
/// those of an earlier call. The next open of the ring creates a new one with another incarnation.
///
/// # Errors
///
/// Returns the error of the file system. The call must then be repeated before the ring is opened.
pub fn set_aside(file_system: &dyn FileSystem, directory: &Path) -> io::Result<()> {
    drop(file_system.open(&directory.join(IN_PROGRESS))?);
    file_system.sync_directory(directory)?;
    for name in file_system.list(directory)?.iter().filter(|name| is_segment_name(name)) {
        file_system.rename(&directory.join(name), &directory.join(format!("{PREFIX}{name}")))?;
    }
    file_system.sync_directory(directory)?;
    file_system.rename(&directory.join(IN_PROGRESS), &directory.join(DONE))?;
    file_system.sync_directory(directory)
}
