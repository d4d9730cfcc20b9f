//! A write-ahead journal: a base with the state at some point, and the records appended since.
//!
//! Each generation has a base file, written in full under a temporary name and then renamed, and a
//! segment file of records. Compaction starts the next generation. The header of a record has the
//! length, the sequence number, checksums of header and body, and how many bytes of the segment
//! were synced when the record was written. The latter tells a torn tail from corruption: damage
//! before a position that a later record states as synced is corruption and is refused; any other
//! damage is in a write that was never acknowledged and is truncated. A marker, a record without a
//! body, is written after each sync, so that the last batch is covered too.

use super::{Disk, DiskError};
use std::sync::Arc;

/// Size of a record's header, in bytes.
const HEADER_BYTES: usize = 28;
/// Maximum size of a record's body, in bytes.
const BODY_MAX_BYTES: usize = 256 << 20;

/// A journal opened for appending.
pub struct Journal {
    disk: Arc<dyn Disk>,
    name: String,
    generation: u64,
    /// Length of the segment, in bytes.
    len: u64,
    /// Bytes of the segment that are durable.
    synced: u64,
    /// Sequence number of the next record.
    seq: u64,
    /// Whether records wait for a sync; a marker alone needs none.
    dirty: bool,
    /// Whether a write or sync has failed.
    failed: bool,
}

/// A journal and what it held when it was opened.
pub struct Recovery {
    /// The journal.
    pub journal: Journal,
    /// Base of the last compaction; empty if there was none.
    pub base: Vec<u8>,
    /// Records appended since, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Size of the torn tail that was truncated, in bytes.
    pub truncated: u64,
}

struct Header {
    /// Length of the body, in bytes.
    len: u32,
    seq: u64,
    /// Bytes of the segment that were durable when the record was written.
    synced: u64,
    /// Checksum of the body.
    body_crc: u32,
}

struct Scan {
    records: Vec<Vec<u8>>,
    /// Offset after the last valid record.
    end: u64,
}

impl Journal {
    /// Opens the journal of the given name, or creates an empty one.
    ///
    /// # Errors
    ///
    /// Returns [`DiskError::Corrupt`] if durable records are damaged or missing, or
    /// [`DiskError::Io`] if the disk fails.
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
            return Err(journal.corrupt("log", 0, "a newer segment has no base file"));
        }
        let base = if generation > 0 { journal.read_base()? } else { Vec::new() };
        let (records, truncated) = journal.recover_segment(names.contains(&journal.file("log")))?;
        journal.remove_old(&names)?;
        Ok(Recovery { journal, base, records, truncated })
    }

    /// Whether a journal of the given name exists on the disk.
    ///
    /// # Errors
    ///
    /// Returns any error of the file system.
    pub fn exists(disk: &dyn Disk, name: &str) -> Result<bool, DiskError> {
        let names = disk.list().map_err(DiskError::io(name))?;
        Ok(names
            .iter()
            .any(|n| generation(n, name, "log").is_some() || generation(n, name, "base").is_some()))
    }

    /// Size of the records since the last compaction, in bytes.
    pub fn bytes(&self) -> u64 {
        self.len
    }

    /// Appends a record, which is durable after the next [`Journal::sync`].
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; all later calls then fail too.
    pub fn append(&mut self, body: &[u8]) -> Result<(), DiskError> {
        let header = self.header(body)?;
        self.seq += 1;
        self.dirty = true;
        self.write(&[header.as_slice(), body].concat())
    }

    /// Makes all records durable.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; all later calls then fail too.
    pub fn sync(&mut self) -> Result<(), DiskError> {
        self.ensure_usable()?;
        if !self.dirty {
            return Ok(());
        }
        let file = self.file("log");
        let synced = self.disk.sync(&file).map_err(DiskError::io(&file));
        self.check_write(synced)?;
        self.synced = self.len;
        self.dirty = false;
        let marker = self.header(&[])?;
        self.write(&marker)
    }

    /// Starts the next generation with a base that replaces all records so far.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; all later calls then fail too.
    pub fn compact(&mut self, base: &[u8]) -> Result<(), DiskError> {
        self.ensure_usable()?;
        let compacted = self.start_generation(base);
        self.check_write(compacted)
    }

    fn start_generation(&mut self, base: &[u8]) -> Result<(), DiskError> {
        let old = [self.file("base"), self.file("log")];
        let temp = format!("{}.temp", self.name);
        if self.disk.list().map_err(DiskError::io(&temp))?.contains(&temp) {
            self.disk.remove(&temp).map_err(DiskError::io(&temp))?;
        }
        self.generation += 1;
        (self.len, self.synced, self.seq, self.dirty) = (0, 0, 0, false);
        let file = self.file("base");
        let bytes = [self.header(base)?.as_slice(), base].concat();
        self.disk.append(&temp, &bytes).map_err(DiskError::io(&temp))?;
        self.disk.sync(&temp).map_err(DiskError::io(&temp))?;
        self.disk.rename(&temp, &file).map_err(DiskError::io(&file))?;
        self.disk.sync_folder().map_err(DiskError::io(&file))?;
        self.create_segment()?;
        for file in old {
            // A file that cannot be removed now is removed when the journal is next opened.
            let _ = self.disk.remove(&file);
        }
        Ok(())
    }

    /// Creates the empty segment of this generation.
    fn create_segment(&self) -> Result<(), DiskError> {
        let file = self.file("log");
        self.disk.append(&file, &[]).map_err(DiskError::io(&file))?;
        self.disk.sync(&file).map_err(DiskError::io(&file))?;
        self.disk.sync_folder().map_err(DiskError::io(&file))
    }

    fn read_base(&self) -> Result<Vec<u8>, DiskError> {
        let file = self.file("base");
        let bytes = self.disk.read(&file).map_err(DiskError::io(&file))?;
        let header = self.parse_header(&bytes);
        let body = bytes.get(HEADER_BYTES..).unwrap_or_default();
        match header {
            Some(h) if h.len as usize == body.len() && h.body_crc == self.crc(body) => {
                Ok(body.to_vec())
            }
            _ => Err(self.corrupt("base", 0, "the checksum does not match")),
        }
    }

    /// Reads the segment, truncates a torn tail and makes the rest durable.
    fn recover_segment(&mut self, exists: bool) -> Result<(Vec<Vec<u8>>, u64), DiskError> {
        if !exists {
            self.create_segment()?;
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
        let marker = self.header(&[])?;
        self.write(&marker)?;
        self.disk.sync(&file).map_err(DiskError::io(&file))?;
        self.synced = self.len;
        Ok((scan.records, truncated))
    }

    /// Parses records up to the end or a torn tail.
    fn scan(&self, bytes: &[u8]) -> Result<Scan, DiskError> {
        let (mut at, mut records) = (0, Vec::new());
        while at < bytes.len() {
            let rest = &bytes[at..];
            let Some((header, body)) = self.parse_record(rest, records.len() as u64) else {
                if self.synced_past(rest, at as u64) {
                    return Err(self.corrupt("log", at as u64, "a durable record was altered"));
                }
                break;
            };
            at += HEADER_BYTES + body.len();
            if header.len > 0 {
                records.push(body.to_vec());
            }
        }
        Ok(Scan { records, end: at as u64 })
    }

    fn parse_record<'a>(&self, bytes: &'a [u8], seq: u64) -> Option<(Header, &'a [u8])> {
        let header = self.parse_header(bytes)?;
        let body = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(header.len as usize)?)?;
        (header.seq == seq && header.body_crc == self.crc(body)).then_some((header, body))
    }

    /// Whether any later header states that the byte at `offset` was durable.
    fn synced_past(&self, rest: &[u8], offset: u64) -> bool {
        (0..rest.len())
            .filter_map(|i| self.parse_header(&rest[i..]))
            .any(|header| header.synced > offset)
    }

    fn header(&self, body: &[u8]) -> Result<[u8; HEADER_BYTES], DiskError> {
        let file = self.file("log");
        if body.len() > BODY_MAX_BYTES {
            let cause = std::io::Error::other("the record is too large");
            return Err(DiskError::Io { file, cause });
        }
        let mut header = [0; HEADER_BYTES];
        header[..4].copy_from_slice(&(body.len() as u32).to_le_bytes());
        header[4..12].copy_from_slice(&self.seq.to_le_bytes());
        header[12..20].copy_from_slice(&self.synced.to_le_bytes());
        header[20..24].copy_from_slice(&self.crc(body).to_le_bytes());
        let crc = self.crc(&header[..24]);
        header[24..].copy_from_slice(&crc.to_le_bytes());
        Ok(header)
    }

    fn parse_header(&self, bytes: &[u8]) -> Option<Header> {
        let (header, _) = bytes.split_first_chunk::<HEADER_BYTES>()?;
        let (fields, crc) = header.split_at(24);
        if self.crc(fields).to_le_bytes() != crc {
            return None;
        }
        Some(Header {
            len: u32::from_le_bytes(fields[..4].try_into().ok()?),
            seq: u64::from_le_bytes(fields[4..12].try_into().ok()?),
            synced: u64::from_le_bytes(fields[12..20].try_into().ok()?),
            body_crc: u32::from_le_bytes(fields[20..24].try_into().ok()?),
        })
    }

    /// A CRC-32 that covers the name and generation too, so that records of other journals or
    /// generations do not match.
    fn crc(&self, bytes: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&self.generation.to_le_bytes());
        hasher.update(bytes);
        hasher.finalize()
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), DiskError> {
        self.ensure_usable()?;
        let file = self.file("log");
        let written = self.disk.append(&file, bytes).map_err(DiskError::io(&file));
        self.check_write(written)?;
        self.len += bytes.len() as u64;
        Ok(())
    }

    const fn ensure_usable(&self) -> Result<(), DiskError> {
        if self.failed { Err(DiskError::Failed) } else { Ok(()) }
    }

    /// Passes a result on. A failed write or sync leaves the content of the file unknown, so the
    /// journal stops accepting calls.
    fn check_write(&mut self, result: Result<(), DiskError>) -> Result<(), DiskError> {
        self.failed |= result.is_err();
        result
    }

    /// Removes the files of earlier generations.
    fn remove_old(&self, names: &[String]) -> Result<(), DiskError> {
        let old = |n: &String| {
            let older = |kind| generation(n, &self.name, kind).is_some_and(|g| g < self.generation);
            older("base") || older("log")
        };
        for file in names.iter().filter(|n| old(n)) {
            self.disk.remove(file).map_err(DiskError::io(file))?;
        }
        Ok(())
    }

    fn corrupt(&self, kind: &str, offset: u64, fault: &'static str) -> DiskError {
        DiskError::Corrupt { file: self.file(kind), offset, fault }
    }

    fn file(&self, kind: &str) -> String {
        format!("{}-{:016x}.{kind}", self.name, self.generation)
    }
}

/// The generation in the name of a file, if it is a file of that kind of the journal.
fn generation(file: &str, name: &str, kind: &str) -> Option<u64> {
    let number = file.strip_prefix(name)?.strip_prefix('-')?.strip_suffix(kind)?;
    u64::from_str_radix(number.strip_suffix('.')?, 16).ok()
}
