//! A hash that is the same in all processes and all versions of the program.

/// Start value and multiplier of FNV-1a.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;
/// Multipliers of the finalizer of SplitMix64.
const MIX_FIRST: u64 = 0xbf58_476d_1ce4_e5b9;
const MIX_SECOND: u64 = 0x94d0_49bb_1331_11eb;

/// Hashes bytes: FNV-1a, finished so that every bit of the input moves every bit of the result.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    finish(bytes.iter().fold(OFFSET, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(PRIME)))
}

/// The score of a member for a key.
pub(crate) fn score(key: u64, member: u64) -> u64 {
    finish(key ^ member.rotate_left(32))
}

/// The finalizer of SplitMix64.
fn finish(mut state: u64) -> u64 {
    state = (state ^ (state >> 30)).wrapping_mul(MIX_FIRST);
    state = (state ^ (state >> 27)).wrapping_mul(MIX_SECOND);
    state ^ (state >> 31)
}
