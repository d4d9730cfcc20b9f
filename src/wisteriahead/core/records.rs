//! Records of a fixed size that shards answer with, ranked by their bytes.

use bytes::{Bytes, BytesMut};

/// Bytes of a record; a shorter remainder is none.
pub const RECORD_BYTES: usize = 16;

/// The greatest `top` records of all parts, the greatest first. Equal records all count.
pub fn merge<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let records = parts.into_iter().flat_map(|part| part.as_chunks::<RECORD_BYTES>().0);
    let mut all: Vec<&[u8; RECORD_BYTES]> = records.collect();
    let falling = |a: &&[u8; RECORD_BYTES], b: &&[u8; RECORD_BYTES]| b.cmp(a);
    if top > 0 && all.len() > top {
        all.select_nth_unstable_by(top - 1, falling);
    }
    all.truncate(top);
    all.sort_unstable_by(falling);
    let mut out = BytesMut::with_capacity(all.len() * RECORD_BYTES);
    all.iter().for_each(|record| out.extend_from_slice(&record[..]));
    out.freeze()
}
