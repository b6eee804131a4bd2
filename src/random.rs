//! The seeded random generator and the hashes: the same seed gives the same draws in the same order.

/// The increment of SplitMix64.
pub(crate) const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Bits of the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// A SplitMix64 generator.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(mix_bits(seed | 1))
    }

    /// The next draw, uniform in 0..1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        unit_interval(self.0)
    }

    /// A draw for one of several items by its hash, uniform in 0..1. It does not advance the generator: all items of
    /// one decision draw from the same state, whatever their order.
    pub(crate) fn draw_for(&self, hash: u64) -> f64 {
        unit_interval(self.0 ^ hash)
    }
}

/// A hash of a text: FNV-1a with its bits mixed.
pub(crate) fn hash_text(text: &str) -> u64 {
    let fnv =
        text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mix_bits(fnv)
}

/// Maps bits to a number that is uniform in 0..1.
pub(crate) fn unit_interval(bits: u64) -> f64 {
    (mix_bits(bits) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// The output function of SplitMix64.
pub(crate) fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
