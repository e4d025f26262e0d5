//! Stable hashes: the same input has the same hash in all processes and in all versions of the program.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes bytes with XXH3 to 64 bits.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the score of a member for a key; the member with the highest score ranks first.
///
/// The score is FNV-1a with a finalizer, not [`hash`]. It determines which stores keep a batch job, and which
/// of them owns it. The owners are not spread evenly over the stores yet, so another hash would assign other
/// owners, and would change the value that a single deployment achieves by up to a tenth in either direction.
/// The hash must not change before the owners are spread evenly.
#[must_use]
pub fn rendezvous_score(member: &str, key: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let separator = 0;
    let bytes = member.bytes().chain(std::iter::once(separator)).chain(key.bytes());
    finalize(bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
}

/// Applies the 64-bit finalizer of MurmurHash3, after which each bit of the input affects all bits of the
/// result.
fn finalize(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns the score of a member for a key, both given as hashes. The highest score ranks first.
pub(crate) fn score_of_hashes(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}
