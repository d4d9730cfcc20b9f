//! A journal of records: a base with the state at some point, and the records since.
//!
//! Each generation has a base file, written whole under another name and renamed, and a
//! segment of records. Compaction starts the next generation. A record carries its
//! length, its sequence number, checksums of head and body, and how many bytes of the
//! segment were synced when it was written. The last tells a torn tail from damage: a
//! fault below what a later record calls synced is damage and is refused, any other
//! fault was never acknowledged and is cut off. After each sync a mark without a body is
//! written, so that the last batch is covered too.

use super::{Disk, DiskError};
use std::sync::Arc;

/// Bytes of a record's head.
const HEAD_BYTES: usize = 28;
/// Most bytes of a record's body.
const BODY_MAX_BYTES: usize = 256 << 20;

/// A journal that is open for writing.
pub struct Journal {
    disk: Arc<dyn Disk>,
    name: String,
    generation: u64,
    len: u64,
    synced: u64,
    seq: u64,
    /// Whether records wait for a sync; a mark alone need not last.
    dirty: bool,
    failed: bool,
}

/// What a journal held when it was opened.
pub struct Recovery {
    /// The journal.
    pub journal: Journal,
    /// The base of the last compaction; empty if there was none.
    pub base: Vec<u8>,
    /// The records since.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn tail that were cut off.
    pub truncated: u64,
}

struct Head {
    len: u32,
    seq: u64,
    synced: u64,
    body: u32,
}

struct Scan {
    records: Vec<Vec<u8>>,
    end: u64,
}

impl Journal {
    /// Opens the journal of the given name, or makes an empty one.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Corrupt`] when durable records are damaged or missing.
    pub fn open(disk: Arc<dyn Disk>, name: &str) -> Result<Recovery, DiskError> {
        let names = disk.list().map_err(DiskError::io(name))?;
        let newest = |kind| names.iter().filter_map(|n| generation(n, name, kind)).max();
        let generation = newest("base").unwrap_or(0);
        let mut journal = Self {
            disk,
            name: name.to_owned(),
            generation,
            len: 0,
            synced: 0,
            seq: 0,
            dirty: false,
            failed: false,
        };
        if newest("log").is_some_and(|g| g > generation) {
            return Err(journal.damage("log", 0, "the base before it is missing"));
        }
        let base = if generation > 0 { journal.read_base()? } else { Vec::new() };
        let (records, truncated) = journal.recover(names.contains(&journal.file("log")))?;
        journal.clean(&names)?;
        Ok(Recovery { journal, base, records, truncated })
    }

    /// Whether a journal of the given name is on the disk.
    ///
    /// # Errors
    ///
    /// Fails as the file system does.
    pub fn exists(disk: &dyn Disk, name: &str) -> Result<bool, DiskError> {
        let names = disk.list().map_err(DiskError::io(name))?;
        Ok(names
            .iter()
            .any(|n| generation(n, name, "log").is_some() || generation(n, name, "base").is_some()))
    }

    /// Bytes of records since the last compaction.
    pub fn bytes(&self) -> u64 {
        self.len
    }

    /// Adds a record, durable after the next [`Journal::sync`].
    ///
    /// # Errors
    ///
    /// Fails when the disk does, and from then on.
    pub fn append(&mut self, body: &[u8]) -> Result<(), DiskError> {
        let head = self.head(body)?;
        self.seq += 1;
        self.dirty = true;
        self.write(&[head.as_slice(), body].concat())
    }

    /// Makes all records durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, and from then on.
    pub fn sync(&mut self) -> Result<(), DiskError> {
        self.guard()?;
        if !self.dirty {
            return Ok(());
        }
        let file = self.file("log");
        let done = self.disk.sync(&file).map_err(DiskError::io(&file));
        self.note(done)?;
        self.synced = self.len;
        self.dirty = false;
        let mark = self.head(&[])?;
        self.write(&mark)
    }

    /// Starts the next generation from a base that stands for all records so far.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, and from then on.
    pub fn compact(&mut self, base: &[u8]) -> Result<(), DiskError> {
        self.guard()?;
        let done = self.next(base);
        self.note(done)
    }

    fn next(&mut self, base: &[u8]) -> Result<(), DiskError> {
        let old = [self.file("base"), self.file("log")];
        let temp = format!("{}.temp", self.name);
        if self.disk.list().map_err(DiskError::io(&temp))?.contains(&temp) {
            self.disk.remove(&temp).map_err(DiskError::io(&temp))?;
        }
        self.generation += 1;
        (self.len, self.synced, self.seq, self.dirty) = (0, 0, 0, false);
        let file = self.file("base");
        let bytes = [self.head(base)?.as_slice(), base].concat();
        self.disk.append(&temp, &bytes).map_err(DiskError::io(&temp))?;
        self.disk.sync(&temp).map_err(DiskError::io(&temp))?;
        self.disk.rename(&temp, &file).map_err(DiskError::io(&file))?;
        self.disk.sync_folder().map_err(DiskError::io(&file))?;
        self.begin()?;
        for file in old {
            // Left behind by a failure here, it is removed at the next start.
            let _ = self.disk.remove(&file);
        }
        Ok(())
    }

    /// Makes the empty segment of this generation.
    fn begin(&self) -> Result<(), DiskError> {
        let file = self.file("log");
        self.disk.append(&file, &[]).map_err(DiskError::io(&file))?;
        self.disk.sync(&file).map_err(DiskError::io(&file))?;
        self.disk.sync_folder().map_err(DiskError::io(&file))
    }

    fn read_base(&self) -> Result<Vec<u8>, DiskError> {
        let file = self.file("base");
        let bytes = self.disk.read(&file).map_err(DiskError::io(&file))?;
        let head = self.read_head(&bytes);
        let body = bytes.get(HEAD_BYTES..).unwrap_or_default();
        match head {
            Some(h) if h.len as usize == body.len() && h.body == self.crc(body) => {
                Ok(body.to_vec())
            }
            _ => Err(self.damage("base", 0, "the checksum does not match")),
        }
    }

    /// Reads the segment, cuts its torn tail and makes what is left durable.
    fn recover(&mut self, exists: bool) -> Result<(Vec<Vec<u8>>, u64), DiskError> {
        if !exists {
            self.begin()?;
            return Ok((Vec::new(), 0));
        }
        let file = self.file("log");
        let bytes = self.disk.read(&file).map_err(DiskError::io(&file))?;
        let scan = self.scan(&bytes)?;
        let truncated = bytes.len() as u64 - scan.end;
        if truncated > 0 {
            self.disk.truncate(&file, scan.end).map_err(DiskError::io(&file))?;
        }
        self.len = scan.end;
        self.seq = scan.records.len() as u64;
        self.disk.sync(&file).map_err(DiskError::io(&file))?;
        self.disk.sync_folder().map_err(DiskError::io(&file))?;
        self.synced = self.len;
        let mark = self.head(&[])?;
        self.write(&mark)?;
        self.disk.sync(&file).map_err(DiskError::io(&file))?;
        self.synced = self.len;
        Ok((scan.records, truncated))
    }

    fn scan(&self, bytes: &[u8]) -> Result<Scan, DiskError> {
        let (mut at, mut records) = (0, Vec::new());
        while at < bytes.len() {
            let rest = &bytes[at..];
            let Some((head, body)) = self.read_record(rest, records.len() as u64) else {
                if self.synced_past(rest, at as u64) {
                    return Err(self.damage("log", at as u64, "a durable record was changed"));
                }
                break;
            };
            at += HEAD_BYTES + body.len();
            if head.len > 0 {
                records.push(body.to_vec());
            }
        }
        Ok(Scan { records, end: at as u64 })
    }

    fn read_record<'a>(&self, bytes: &'a [u8], seq: u64) -> Option<(Head, &'a [u8])> {
        let head = self.read_head(bytes)?;
        let body = bytes.get(HEAD_BYTES..HEAD_BYTES.checked_add(head.len as usize)?)?;
        (head.seq == seq && head.body == self.crc(body)).then_some((head, body))
    }

    /// Whether any later head says that the byte at `offset` was durable.
    fn synced_past(&self, rest: &[u8], offset: u64) -> bool {
        (0..rest.len()).filter_map(|i| self.read_head(&rest[i..])).any(|head| head.synced > offset)
    }

    fn head(&self, body: &[u8]) -> Result<[u8; HEAD_BYTES], DiskError> {
        let file = self.file("log");
        if body.len() > BODY_MAX_BYTES {
            let cause = std::io::Error::other("the record is too large");
            return Err(DiskError::Io { file, cause });
        }
        let mut head = [0; HEAD_BYTES];
        head[..4].copy_from_slice(&(body.len() as u32).to_le_bytes());
        head[4..12].copy_from_slice(&self.seq.to_le_bytes());
        head[12..20].copy_from_slice(&self.synced.to_le_bytes());
        head[20..24].copy_from_slice(&self.crc(body).to_le_bytes());
        let crc = self.crc(&head[..24]);
        head[24..].copy_from_slice(&crc.to_le_bytes());
        Ok(head)
    }

    fn read_head(&self, bytes: &[u8]) -> Option<Head> {
        let (head, _) = bytes.split_first_chunk::<HEAD_BYTES>()?;
        let (sum, crc) = head.split_at(24);
        if self.crc(sum).to_le_bytes() != crc {
            return None;
        }
        Some(Head {
            len: u32::from_le_bytes(sum[..4].try_into().ok()?),
            seq: u64::from_le_bytes(sum[4..12].try_into().ok()?),
            synced: u64::from_le_bytes(sum[12..20].try_into().ok()?),
            body: u32::from_le_bytes(sum[20..24].try_into().ok()?),
        })
    }

    /// A checksum that differs between journals and generations.
    fn crc(&self, bytes: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&self.generation.to_le_bytes());
        hasher.update(bytes);
        hasher.finalize()
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), DiskError> {
        self.guard()?;
        let file = self.file("log");
        let done = self.disk.append(&file, bytes).map_err(DiskError::io(&file));
        self.note(done)?;
        self.len += bytes.len() as u64;
        Ok(())
    }

    const fn guard(&self) -> Result<(), DiskError> {
        if self.failed { Err(DiskError::Failed) } else { Ok(()) }
    }

    /// After a failed write or sync, what the file holds is unknown.
    fn note(&mut self, done: Result<(), DiskError>) -> Result<(), DiskError> {
        self.failed |= done.is_err();
        done
    }

    fn clean(&self, names: &[String]) -> Result<(), DiskError> {
        let old = |n: &String| {
            let older = |kind| generation(n, &self.name, kind).is_some_and(|g| g < self.generation);
            older("base") || older("log")
        };
        for file in names.iter().filter(|n| old(n)) {
            self.disk.remove(file).map_err(DiskError::io(file))?;
        }
        Ok(())
    }

    fn damage(&self, kind: &str, offset: u64, fault: &'static str) -> DiskError {
        DiskError::Corrupt { file: self.file(kind), offset, fault }
    }

    fn file(&self, kind: &str) -> String {
        format!("{}-{:016x}.{kind}", self.name, self.generation)
    }
}

/// The generation in a file's name, if it belongs to the journal.
fn generation(file: &str, name: &str, kind: &str) -> Option<u64> {
    let number = file.strip_prefix(name)?.strip_prefix('-')?.strip_suffix(kind)?;
    u64::from_str_radix(number.strip_suffix('.')?, 16).ok()
}
