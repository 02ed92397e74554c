//! What an endpoint says of itself in the head of an answer.

/// Most of a value that cannot be read which logs show, in characters.
const MOST_SHOWN: usize = 40;

/// One thing that an answer may say.
#[trestle_macros::plain]
#[derive(Default)]
pub enum Said<T> {
    /// It does not say it.
    #[default]
    Nothing,
    /// It says this.
    Value(T),
    /// It says something that cannot be read, which begins like this.
    Unreadable(String),
}

/// What an endpoint says of itself in the head of an answer.
#[trestle_macros::plain]
#[derive(Default)]
pub struct Notice {
    /// Requests that it takes in 1,000 s, from all daemons together.
    pub limit_per_ks: Said<u64>,
    /// That it leaves.
    pub leaves: Said<()>,
    /// Time for which it wants nothing from this daemon, where it turned the request away.
    pub rest_ms: Said<u64>,
}

impl<T> Said<T> {
    /// What is said, if it can be read.
    pub fn value(&self) -> Option<&T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Nothing | Self::Unreadable(_) => None,
        }
    }

    /// What is said that cannot be read.
    pub fn unreadable(text: &str) -> Self {
        Self::Unreadable(text.chars().take(MOST_SHOWN).collect())
    }
}
