//! Deterministic search results, so that a test can compute the exact merged answer.

use serde::{Deserialize, Serialize};

/// Number of hits that each shard returns for any query.
pub const HITS_PER_SHARD: u32 = 10;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Number of distinct scores: nine decimals, which JSON parsers read back exactly.
const SCORE_STEPS: u64 = 1_000_000_000;

/// One search hit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// `{collection}-{snapshot}-{shard}-{j}`.
    pub id: String,
    /// Score in `[0, 1)`, derived from a hash of the id.
    pub score: f64,
}

/// All hits of a shard in descending order of score.
pub fn shard_hits(collection: &str, snapshot: &str, shard: u32) -> Vec<Hit> {
    let mut hits: Vec<Hit> = (0..HITS_PER_SHARD)
        .map(|j| {
            let id = format!("{collection}-{snapshot}-{shard}-{j}");
            Hit { score: score(&id), id }
        })
        .collect();
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    hits
}

/// FNV-1a hash with a finalizer, so that similar inputs give unrelated results.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let mut h = bytes.iter().fold(FNV_OFFSET, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME));
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 33)
}

fn score(id: &str) -> f64 {
    let step = hash(id.as_bytes()) % SCORE_STEPS;
    step as f64 / SCORE_STEPS as f64
}
