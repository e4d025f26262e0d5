//! A hash that is the same in all processes and all versions of the program.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes bytes (XXH3).
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// The score of a member for a key; the highest ranks first.
///
/// This is FNV-1a with a finalizer, not [`hash`]: the batch jobs of a deployment have one order of owners, which this
/// score draws, and another draw costs one deployment a tenth of its worth and gives it to the next. Another hash has
/// to wait until owners are spread.
#[must_use]
pub fn rendezvous_score(member: &str, key: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = member.bytes().chain(std::iter::once(0)).chain(key.bytes());
    finish(bytes.fold(OFFSET, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(PRIME)))
}

/// Mixes all bits of a sum into each bit of the result.
fn finish(sum: u64) -> u64 {
    let mixed = (sum ^ (sum >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// The score of a member for a key, both hashed.
pub(crate) fn score(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}
