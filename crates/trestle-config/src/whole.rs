//! Integers that may be written with a fraction in a file.
//!
//! An operator may write the result of a calculation as a bound. If daemons rejected a fraction and
//! terminated, they would do so on every VM at once. Therefore bounds are rounded so that they are
//! still kept: upper bounds down, lower bounds up.

use serde::{Deserialize, Deserializer, de};

/// Upper bound of the integers that `f64` represents exactly.
const MAX_EXACT: f64 = (1_u64 << 53) as f64;

/// Deserializes an upper bound, rounded down.
pub(crate) fn below<'de, D, T>(input: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    whole(f64::deserialize(input)?.floor())
}

/// Deserializes an upper bound, rounded down; `None` for `null`. A field that may be left out also
/// needs `#[serde(default)]`.
pub(crate) fn below_if_given<'de, D, T>(input: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    Option::<f64>::deserialize(input)?.map(|number| whole(number.floor())).transpose()
}

/// Deserializes a lower bound, rounded up.
pub(crate) fn above<'de, D, T>(input: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    whole(f64::deserialize(input)?.ceil())
}

fn whole<T: TryFrom<u64>, E: de::Error>(number: f64) -> Result<T, E> {
    let is_exact = (0.0..MAX_EXACT).contains(&number);
    let converted = is_exact.then(|| T::try_from(number as u64).ok()).flatten();
    converted.ok_or_else(|| E::custom(format!("`{number}` is negative or too large")))
}
