//! The data folder on a real file system.

use super::Disk;
use anyhow::{Context as _, Result, bail};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// File whose advisory lock keeps other processes out of the data folder.
const LOCK: &str = "lock";

/// A data folder, locked for exclusive use by this process.
pub struct DataFolder {
    root: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Opens and locks a data folder; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created or is locked by another process.
    pub fn open(root: &Path) -> Result<Self> {
        std::fs::create_dir_all(root)
            .with_context(|| format!("could not create the data folder {}", root.display()))?;
        let file = OpenOptions::new().create(true).append(true).open(root.join(LOCK));
        let lock =
            file.with_context(|| format!("could not open the lock file in {}", root.display()))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { root: root.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                bail!(
                    "{} is in use by another process; give each process its own data folder",
                    root.display()
                )
            }
            Err(TryLockError::Error(e)) => {
                Err(e).with_context(|| format!("could not lock {}", root.display()))
            }
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.root.join(name)
    }
}

impl Disk for DataFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = std::fs::read_dir(&self.root)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names.filter(|n| !matches!(n, Ok(n) if n == LOCK)).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path(name))
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.path(name))?.write_all(bytes)
    }

    fn truncate(&self, name: &str, len: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(name))?.set_len(len)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        OpenOptions::new().append(true).open(self.path(name))?.sync_all()
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.root)?.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path(name))
    }
}
