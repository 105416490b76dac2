//! Hash functions that give the same values at every scheduler.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Bits of a hash that an `f64` represents exactly.
const MANTISSA_BITS: u32 = 53;

/// FNV-1a over the text, then mixed, since its high bits differ little between similar names.
pub fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rendezvous hashing: a worker's distance from a key, 0 to 1. It approximates the fraction of all workers
/// that are nearer to the key.
pub(crate) fn rendezvous_distance(key: u64, worker: u64) -> f64 {
    (mix(key ^ worker) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
