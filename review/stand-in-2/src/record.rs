//! The record of a run: what was sent, answered and run, with milliseconds since its start.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to a file; clones share it.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn note(&self, who: &str, what: &str) {
        let line = format!("{:>6} {who} {what}\n", self.ms());
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
    }
}
