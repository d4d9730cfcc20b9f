//! A disk in memory that stands still on demand.

use crate::disk::FakeDisk;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use wisteriahead::util::disk::Disk;

/// A disk whose syncs wait while it is shut.
#[derive(Default)]
pub struct Gate {
    disk: FakeDisk,
    shut: Mutex<bool>,
    opened: Condvar,
    waits: AtomicUsize,
}

impl Gate {
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.shut.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has syncs wait from here on.
    pub fn shut(&self) {
        *self.lock() = true;
    }

    /// Whether a sync waits, so that all earlier ones have been reported.
    pub fn holds(&self) -> bool {
        *self.lock() && self.waits.load(Ordering::SeqCst) > 0
    }

    /// Lets all syncs go on.
    pub fn open(&self) {
        *self.lock() = false;
        self.opened.notify_all();
    }
}

impl Disk for Gate {
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
        let shut = self.lock();
        self.waits.fetch_add(1, Ordering::SeqCst);
        let shut = self.opened.wait_while(shut, |shut| *shut);
        let _shut = shut.unwrap_or_else(PoisonError::into_inner);
        self.waits.fetch_sub(1, Ordering::SeqCst);
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
