//! Files under the one data folder, behind a trait so that tests can lose, tear and
//! flip what is written.
//!
//! [`DataFolder`] is the real one. [`Journal`] keeps records on a disk and is what all
//! durable state of the tier is built on.

mod folder;
mod journal;

pub use folder::DataFolder;
pub use journal::{Journal, Recovery};

use std::fmt;
use std::io;

/// The files of one data folder, without subfolders.
///
/// Nothing lasts until it is synced: contents by [`Disk::sync`], names by
/// [`Disk::sync_folder`].
pub trait Disk: Send + Sync {
    /// Names of all files.
    ///
    /// # Errors
    ///
    /// Fails as the file system does.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    ///
    /// # Errors
    ///
    /// Fails as the file system does.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Writes at the end of a file, which is made if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails as the file system does; a part may be written then.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Fails as the file system does.
    fn truncate(&self, name: &str, len: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Fails as the file system does; what was written may be lost then.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Makes the names of all files durable.
    ///
    /// # Errors
    ///
    /// Fails as the file system does.
    fn sync_folder(&self) -> io::Result<()>;

    /// Gives a file another name, in place of what has it.
    ///
    /// # Errors
    ///
    /// Fails as the file system does.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails as the file system does.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// Why durable state cannot be read or written.
#[derive(Debug)]
pub enum DiskError {
    /// What was durable has changed; the data folder must not be used.
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the fault in bytes.
        offset: u64,
        /// What is wrong.
        fault: &'static str,
    },
    /// The file system refused.
    Io {
        /// Name of the file.
        file: String,
        /// Its cause.
        cause: io::Error,
    },
    /// An earlier write failed, so nothing more is written until a restart.
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
                 start with an empty one, and this host is repaired by the others"
            ),
            Self::Io { file, cause } => write!(f, "`{file}` could not be read or written: {cause}"),
            Self::Failed => f.write_str("an earlier write failed; free the disk and restart"),
        }
    }
}

impl std::error::Error for DiskError {}
