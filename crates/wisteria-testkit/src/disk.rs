//! In-memory file system with fault injection: loss of unsynced data, torn writes, bit flips and a
//! full disk.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use wisteriahead::util::disk::Disk;

/// Unit of an unsynced write: a crash keeps or loses all of its bytes.
const SECTOR_BYTES: usize = 64;

#[derive(Clone, Default)]
struct File {
    synced: Vec<u8>,
    current: Vec<u8>,
}

#[derive(Default)]
struct State {
    files: Vec<File>,
    synced: BTreeMap<String, usize>,
    current: BTreeMap<String, usize>,
    free_bytes: Option<usize>,
    sync_count: u64,
}

/// An in-memory disk with fault injection.
#[derive(Default)]
pub struct FakeDisk {
    state: Mutex<State>,
}

/// Deterministic pseudo-random numbers from a linear congruential generator.
struct Rng(u64);

impl Rng {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        ((self.0 >> 33) as usize) % n.max(1)
    }
}

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Simulates a power failure. The seed decides which unsynced writes and directory changes
    /// survive.
    pub fn crash(&self, seed: u64) {
        let mut rng = Rng(seed);
        let mut state = self.state();
        let State { files, synced, current, .. } = &mut *state;
        let names: Vec<String> = synced.keys().chain(current.keys()).cloned().collect();
        let mut kept = BTreeMap::new();
        for name in names {
            let from = if rng.below(2) == 0 { &*synced } else { &*current };
            if let Some(&file) = from.get(&name) {
                kept.insert(name, file);
            }
        }
        for file in files.iter_mut() {
            file.current = contents_after_crash(file, &mut rng);
            file.synced.clone_from(&file.current);
        }
        *synced = kept.clone();
        *current = kept;
    }

    /// Deletes all files and resets the disk's state.
    pub fn wipe(&self) {
        *self.state() = State::default();
    }

    /// Flips one bit of a file, in the synced contents too.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        let mut state = self.state();
        let Some(&file) = state.current.get(name) else { return };
        let file = &mut state.files[file];
        for bytes in [&mut file.current, &mut file.synced] {
            if let Some(byte) = bytes.get_mut(bit / 8) {
                *byte ^= 1 << (bit % 8);
            }
        }
    }

    /// Limits the free space to `bytes`; `None` removes the limit.
    pub fn set_free_bytes(&self, bytes: Option<usize>) {
        self.state().free_bytes = bytes;
    }

    /// Number of file syncs so far.
    pub fn sync_count(&self) -> u64 {
        self.state().sync_count
    }
}

/// Contents of a file after a crash: some unsynced sectors are written, others are not.
fn contents_after_crash(file: &File, rng: &mut Rng) -> Vec<u8> {
    let (old, new) = (file.synced.len(), file.current.len());
    if rng.below(3) == 0 || file.synced == file.current {
        return file.synced.clone();
    }
    let len = old.min(new) + rng.below(old.abs_diff(new) + 1);
    let mut bytes = vec![0; len];
    for (i, sector) in bytes.chunks_mut(SECTOR_BYTES).enumerate() {
        let written = rng.below(2) == 0;
        for (j, byte) in sector.iter_mut().enumerate() {
            let at = i * SECTOR_BYTES + j;
            let source = if written || at >= old { &file.current } else { &file.synced };
            let lost = !written && at >= old;
            *byte = if lost { 0 } else { source.get(at).copied().unwrap_or_default() };
        }
    }
    bytes
}

impl State {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let i = self.current.get(name).copied().ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[i])
    }
}

impl Disk for FakeDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().current.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.state().file(name)?.current.clone())
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        if !state.current.contains_key(name) {
            let i = state.files.len();
            state.files.push(File::default());
            state.current.insert(name.to_owned(), i);
        }
        let fits = state.free_bytes.map_or(bytes.len(), |free| free.min(bytes.len()));
        state.free_bytes = state.free_bytes.map(|free| free - fits);
        state.file(name)?.current.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&self, name: &str, len: u64) -> io::Result<()> {
        self.state().file(name)?.current.truncate(len as usize);
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.sync_count += 1;
        let file = state.file(name)?;
        file.synced.clone_from(&file.current);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state();
        state.synced = state.current.clone();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        let file = state.current.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.current.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let removed = self.state().current.remove(name);
        removed.map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
