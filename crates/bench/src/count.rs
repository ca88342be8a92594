//! Counts as numbers to reckon with.

/// Turns a count into a number to reckon with; one over 4 billion counts as infinite.
#[must_use]
pub fn to_f64<N>(count: N) -> f64
where
    u32: TryFrom<N>,
{
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
