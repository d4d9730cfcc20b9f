//! In-memory disk whose syncs block on demand.

use crate::disk::FakeDisk;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use wisteriahead::util::disk::Disk;

/// A [`FakeDisk`] whose syncs wait while it is blocked.
#[derive(Default)]
pub struct BlockingDisk {
    disk: FakeDisk,
    blocked: Mutex<bool>,
    unblocked: Condvar,
    waiting: AtomicUsize,
}

impl BlockingDisk {
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.blocked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes further syncs wait until [`Self::unblock_syncs`] is called.
    pub fn block_syncs(&self) {
        *self.lock() = true;
    }

    /// Whether a sync is waiting. The results of all earlier syncs have then been reported.
    pub fn has_blocked_sync(&self) -> bool {
        *self.lock() && self.waiting.load(Ordering::SeqCst) > 0
    }

    /// Lets waiting and further syncs proceed.
    pub fn unblock_syncs(&self) {
        *self.lock() = false;
        self.unblocked.notify_all();
    }
}

impl Disk for BlockingDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.disk.append(name, bytes)
    }

    fn truncate(&self, name: &str, len: u64) -> io::Result<()> {
        self.disk.truncate(name, len)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let blocked = self.lock();
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let blocked = self.unblocked.wait_while(blocked, |blocked| *blocked);
        let _blocked = blocked.unwrap_or_else(PoisonError::into_inner);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        self.disk.sync(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.disk.sync_folder()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }
}
