//! Merges the answers of shards, which are fixed-size records ranked by their bytes.

use bytes::{Bytes, BytesMut};

/// Size of a record in bytes; a shorter remainder of an answer is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts in descending order, duplicates included.
pub fn merge<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let records = parts.into_iter().flat_map(|part| part.as_chunks::<RECORD_BYTES>().0);
    let mut all: Vec<&[u8; RECORD_BYTES]> = records.collect();
    let descending = |a: &&[u8; RECORD_BYTES], b: &&[u8; RECORD_BYTES]| b.cmp(a);
    if top > 0 && all.len() > top {
        all.select_nth_unstable_by(top - 1, descending);
    }
    all.truncate(top);
    all.sort_unstable_by(descending);
    let mut out = BytesMut::with_capacity(all.len() * RECORD_BYTES);
    all.iter().for_each(|record| out.extend_from_slice(&record[..]));
    out.freeze()
}
