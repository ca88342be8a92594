//! Conversion of counts to floating point.

/// Converts a count to `f64`. A count that does not fit in a `u32` (over 4 billion) becomes infinity.
#[must_use]
pub fn to_f64<N>(count: N) -> f64
where
    u32: TryFrom<N>,
{
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
