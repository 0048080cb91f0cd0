//! The random numbers that decide which calls fail. They depend only on the seed and the call, so that a run can be
//! repeated.

/// Returns the random number of one call, by SplitMix64. `sequence` must differ from call to call.
pub fn draw(seed: u64, sequence: u64) -> u64 {
    let mut mixed = seed.wrapping_add(sequence.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
