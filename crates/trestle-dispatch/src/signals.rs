//! What an endpoint reports about itself in the headers of an answer.

/// Number of characters of an unreadable value that logs show.
const MAX_SHOWN_CHARS: usize = 40;

/// The value of one signal in the headers of an answer.
#[trestle_macros::plain]
#[derive(Default)]
pub enum HeaderField<T> {
    /// The headers do not contain it.
    #[default]
    Absent,
    /// The headers contain this value.
    Value(T),
    /// The headers contain an unreadable value, which begins with this text.
    Unreadable(String),
}

/// The signals in the headers of an answer.
#[trestle_macros::plain]
#[derive(Default)]
pub struct EndpointSignals {
    /// Requests per 1,000 s that the endpoint accepts from all daemons together.
    pub limit_per_ks: HeaderField<u64>,
    /// Whether the endpoint is draining.
    pub draining: HeaderField<()>,
    /// Time for which the endpoint accepts no requests from this daemon, if it rejected this one.
    pub backoff_ms: HeaderField<u64>,
    /// Rejections for want of room in a second that the endpoint survives; it crashes under more.
    pub max_rejections: HeaderField<u32>,
}

impl<T> HeaderField<T> {
    /// Returns the value, if there is a readable one.
    pub fn value(&self) -> Option<&T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Unreadable(_) => None,
        }
    }

    /// Returns an unreadable value with the beginning of its text.
    pub fn unreadable(text: &str) -> Self {
        Self::Unreadable(text.chars().take(MAX_SHOWN_CHARS).collect())
    }
}
