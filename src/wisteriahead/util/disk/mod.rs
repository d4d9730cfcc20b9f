//! File access under the data folder, behind a trait so that tests can inject lost, torn and
//! corrupted writes.
//!
//! [`DataFolder`] implements it on the real file system. [`Journal`] stores records on a disk; all
//! durable state of the tier is kept in journals.

mod folder;
mod journal;

pub use folder::DataFolder;
pub use journal::{Journal, Recovery};

use std::fmt;
use std::io;

/// The files of one data folder, which has no subfolders.
///
/// Nothing is durable until it is synced: file contents by [`Disk::sync`], file names by
/// [`Disk::sync_folder`].
pub trait Disk: Send + Sync {
    /// Names of all files.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system; part of the bytes may have been written.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system.
    fn truncate(&self, name: &str, len: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system; bytes written since the last sync may then be lost.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Makes the names of all files durable, as after creating, renaming or removing some.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system.
    fn sync_folder(&self) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// An error while reading or writing durable state.
#[derive(Debug)]
pub enum DiskError {
    /// Durable data is damaged or missing; the data folder must not be used.
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the damage in bytes.
        offset: u64,
        /// Description of the damage.
        fault: &'static str,
    },
    /// The file system returned an error.
    Io {
        /// Name of the file.
        file: String,
        /// Error of the file system.
        cause: io::Error,
    },
    /// An earlier write failed; nothing more is written until a restart.
    Failed,
}

impl DiskError {
    fn io(file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |cause| Self::Io { file, cause }
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt { file, offset, fault } => write!(
                f,
                "`{file}` is damaged at byte {offset}: {fault}; move the data folder away and \
                 start with an empty one; the other hosts then restore this host's state"
            ),
            Self::Io { file, cause } => write!(f, "`{file}` could not be read or written: {cause}"),
            Self::Failed => f.write_str("an earlier write failed; free the disk and restart"),
        }
    }
}

impl std::error::Error for DiskError {}
