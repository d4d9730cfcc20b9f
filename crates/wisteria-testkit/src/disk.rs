//! A file system in memory that loses what was not synced, tears writes, flips bits and
//! runs full.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use wisteriahead::util::disk::Disk;

/// Bytes that are written or lost together.
const SECTOR_BYTES: usize = 64;

#[derive(Clone, Default)]
struct File {
    synced: Vec<u8>,
    now: Vec<u8>,
}

#[derive(Default)]
struct State {
    files: Vec<File>,
    synced: BTreeMap<String, usize>,
    now: BTreeMap<String, usize>,
    free_bytes: Option<usize>,
    sync_count: u64,
}

/// The disk.
#[derive(Default)]
pub struct FakeDisk {
    state: Mutex<State>,
}

/// A source of numbers that repeats for the same seed.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        ((self.0 >> 33) as usize) % n.max(1)
    }
}

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts the power: of what was not synced, a part drawn from the seed is left.
    pub fn crash(&self, seed: u64) {
        let mut n = Numbers(seed);
        let mut state = self.state();
        let State { files, synced, now, .. } = &mut *state;
        let names: Vec<String> = synced.keys().chain(now.keys()).cloned().collect();
        let mut left = BTreeMap::new();
        for name in names {
            let from = if n.below(2) == 0 { &*synced } else { &*now };
            if let Some(&file) = from.get(&name) {
                left.insert(name, file);
            }
        }
        for file in files.iter_mut() {
            file.now = torn(file, &mut n);
            file.synced.clone_from(&file.now);
        }
        *synced = left.clone();
        *now = left;
    }

    /// Loses everything.
    pub fn wipe(&self) {
        *self.state() = State::default();
    }

    /// Flips one bit of a file, also of what was synced.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        let mut state = self.state();
        let Some(&file) = state.now.get(name) else { return };
        let file = &mut state.files[file];
        for bytes in [&mut file.now, &mut file.synced] {
            if let Some(byte) = bytes.get_mut(bit / 8) {
                *byte ^= 1 << (bit % 8);
            }
        }
    }

    /// Leaves free_bytes for so many more bytes, or for any number.
    pub fn set_free_bytes(&self, bytes: Option<usize>) {
        self.state().free_bytes = bytes;
    }

    /// Number of syncs so far.
    pub fn sync_count(&self) -> u64 {
        self.state().sync_count
    }
}

/// What a crash leaves of a file.
fn torn(file: &File, n: &mut Numbers) -> Vec<u8> {
    let (old, new) = (file.synced.len(), file.now.len());
    if n.below(3) == 0 || file.synced == file.now {
        return file.synced.clone();
    }
    let len = old.min(new) + n.below(old.abs_diff(new) + 1);
    let mut bytes = vec![0; len];
    for (i, part) in bytes.chunks_mut(SECTOR_BYTES).enumerate() {
        let written = n.below(2) == 0;
        for (j, byte) in part.iter_mut().enumerate() {
            let at = i * SECTOR_BYTES + j;
            let source = if written || at >= old { &file.now } else { &file.synced };
            let lost = !written && at >= old;
            *byte = if lost { 0 } else { source.get(at).copied().unwrap_or_default() };
        }
    }
    bytes
}

impl State {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let i = self.now.get(name).copied().ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[i])
    }
}

impl Disk for FakeDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().now.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.state().file(name)?.now.clone())
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        if !state.now.contains_key(name) {
            let i = state.files.len();
            state.files.push(File::default());
            state.now.insert(name.to_owned(), i);
        }
        let fits = state.free_bytes.map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        state.free_bytes = state.free_bytes.map(|free_bytes| free_bytes - fits);
        state.file(name)?.now.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&self, name: &str, len: u64) -> io::Result<()> {
        self.state().file(name)?.now.truncate(len as usize);
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.sync_count += 1;
        let file = state.file(name)?;
        file.synced.clone_from(&file.now);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state();
        state.synced = state.now.clone();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        let file = state.now.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.now.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let removed = self.state().now.remove(name);
        removed.map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
