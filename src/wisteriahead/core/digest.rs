//! Hashes that are the same on every host, and rendezvous hashing.
//!
//! The standard library's hashers may change between releases. These must not: hosts that run
//! two releases agree on an owner only if they rank names alike.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a hash of a list of strings, finalized with [`mix`]; `["ab"]` and `["a", "b"]` differ.
pub fn hash(parts: &[&str]) -> u64 {
    let mut h = FNV_OFFSET;
    for part in parts {
        for &b in part.as_bytes() {
            h = (h ^ u64::from(b)).wrapping_mul(FNV_PRIME);
        }
        h = (h ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix(h)
}

/// Mixes the bits of a number (finalizer of MurmurHash3).
pub const fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// Sorts names by rendezvous hashing for a key, highest rank first.
pub fn rank<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = names.map(|n| (hash(&[key, n]), n)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, n)| n).collect()
}
