//! What an endpoint says of itself in the head of an answer.

/// Most of a value that cannot be read which logs show, in characters.
const MOST_SHOWN: usize = 40;

/// One thing that an answer may say.
#[trestle_macros::plain]
#[derive(Default)]
pub enum HeaderField<T> {
    /// It does not say it.
    #[default]
    Absent,
    /// It says this.
    Value(T),
    /// It says something that cannot be read, which begins like this.
    Unreadable(String),
}

/// What an endpoint says of itself in the head of an answer.
#[trestle_macros::plain]
#[derive(Default)]
pub struct EndpointSignals {
    /// Requests that it takes in 1,000 s, from all daemons together.
    pub limit_per_ks: HeaderField<u64>,
    /// That it leaves.
    pub draining: HeaderField<()>,
    /// Time for which it wants nothing from this daemon, where it turned the request away.
    pub backoff_ms: HeaderField<u64>,
}

impl<T> HeaderField<T> {
    /// What is said, if it can be read.
    pub fn value(&self) -> Option<&T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Unreadable(_) => None,
        }
    }

    /// What is said that cannot be read.
    pub fn unreadable(text: &str) -> Self {
        Self::Unreadable(text.chars().take(MOST_SHOWN).collect())
    }
}
