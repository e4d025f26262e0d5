//! A hash that is the same in all processes and all versions of the program.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes bytes (XXH3).
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// The score of a member for a key; the highest ranks first.
#[must_use]
pub fn rendezvous_score(member: &str, key: &str) -> u64 {
    score(hash(key.as_bytes()), hash(member.as_bytes()))
}

/// The score of a member for a key, both hashed.
pub(crate) fn score(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}
