//! Stable hashes that every host computes alike, and rendezvous ranking by them.
//!
//! The standard library's hashers differ between releases; these must not, since
//! hosts of two releases choose the same owner only when they rank alike.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of a list of strings; their borders count.
pub fn hash(parts: &[&str]) -> u64 {
    let mut h = OFFSET;
    for part in parts {
        for &b in part.as_bytes() {
            h = (h ^ u64::from(b)).wrapping_mul(PRIME);
        }
        h = (h ^ 0xff).wrapping_mul(PRIME);
    }
    mix(h)
}

/// Spreads the bits of a number over the whole word.
pub const fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// Sorts names by their rendezvous rank for a key, the first choice first.
pub fn rank<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = names.map(|n| (hash(&[key, n]), n)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, n)| n).collect()
}
