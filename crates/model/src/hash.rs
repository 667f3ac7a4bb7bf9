//! Content digests, and scores for rendezvous hashing.

use sha2::{Digest, Sha256};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the SHA-256 digest of `bytes` in lower-case hexadecimal.
pub fn content_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Returns the rendezvous-hashing score of `candidate` for item `index` of `key`.
///
/// The candidate with the highest score is assigned the item. Every process computes the same score, so no coordination is
/// needed. Adding a candidate moves only the items that are assigned to that candidate.
pub fn rendezvous_score(key: &str, index: u64, candidate: &str) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in key.bytes().chain(candidate.bytes()) {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    mix(hash ^ mix(index))
}

/// Mixes the bits of `value` (the finalizer of splitmix64).
fn mix(value: u64) -> u64 {
    let mut bits = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
