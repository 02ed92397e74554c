//! Numbers that are whole here and may have a fraction in a file.
//!
//! Whoever fills a file in may have worked a bound out. A daemon that ended on one with a
//! fraction would end on every VM at once, so it goes by the whole number that keeps the bound.

use serde::{Deserialize, Deserializer, de};

/// The largest number of which each smaller one is exact in a file.
const MOST: f64 = (1_u64 << 53) as f64;

/// Reads an upper bound: the next whole number below.
pub(crate) fn below<'de, D, T>(input: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    whole(f64::deserialize(input)?.floor())
}

/// The same of one that may be left out, which the field's default stands for then.
pub(crate) fn below_if_given<'de, D, T>(input: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    Option::<f64>::deserialize(input)?.map(|number| whole(number.floor())).transpose()
}

/// Reads a lower bound: the next whole number above.
pub(crate) fn above<'de, D, T>(input: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    whole(f64::deserialize(input)?.ceil())
}

fn whole<T: TryFrom<u64>, E: de::Error>(number: f64) -> Result<T, E> {
    let is_exact = (0.0..MOST).contains(&number);
    let known = is_exact.then(|| T::try_from(number as u64).ok()).flatten();
    known.ok_or_else(|| E::custom(format!("`{number}` is negative or too large")))
}
