//! Log output: lines on standard output, limited in number and never blocking.
//!
//! Lines pass through a bounded queue to a thread that writes them. If the reader of standard
//! output is slow, or more lines are logged than the settings allow per second, lines are dropped
//! and counted.

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use snafu::{ResultExt, Snafu};
use std::{
    fmt::Display,
    num::NonZeroU32,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer,
    filter::ParseError,
    fmt,
    layer::{Context, Filter, SubscriberExt},
    util::SubscriberInitExt,
};
use trestle_config::settings::{LogFormat, LogSettings};

/// Most lines that wait to be written: several seconds of a busy daemon, and below 2 MB of memory.
const QUEUED_LINES: usize = 4_096;
/// Most lines at once, as a multiple of the lines per second. It covers all lines of a daemon that
/// starts, or of many endpoints that change together.
const BURST_S: u32 = 2;

/// Longest text of an error that quotes data from outside.
const MAX_ERROR_BYTES: usize = 300;

/// Returns the text of an error that may quote data of any length, cut off at a length.
pub(crate) fn shortened(error: &impl Display) -> String {
    let mut text = error.to_string();
    if text.len() > MAX_ERROR_BYTES {
        text.truncate(text.floor_char_boundary(MAX_ERROR_BYTES));
        text.push_str("...");
    }
    text
}

/// The log filter of the settings cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("log filter `{filter}` is not understood: {source}"))]
pub struct FilterError {
    filter: String,
    source: ParseError,
}

/// The log output; lines are written as long as this value exists.
#[derive(Debug)]
pub struct Logs {
    _worker: WorkerGuard,
    queue_drops: ErrorCounter,
    over_limit: Arc<AtomicUsize>,
}

impl Logs {
    /// Starts the log output.
    ///
    /// # Errors
    ///
    /// Fails if the filter cannot be parsed.
    pub fn start(settings: &LogSettings) -> Result<Self, FilterError> {
        let filter = &settings.filter;
        let filter = EnvFilter::try_new(filter).context(FilterSnafu { filter })?;
        let (writer, worker) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .finish(std::io::stdout());
        let queue_drops = writer.error_counter();
        let rate = RateFilter::new(settings.lines_per_s);
        let over_limit = Arc::clone(&rate.over_limit);
        let lines = fmt::layer().with_ansi(false).with_target(false).with_writer(writer);
        let registry = tracing_subscriber::registry().with(filter);
        match settings.format {
            LogFormat::Text => registry.with(lines.with_filter(rate)).init(),
            LogFormat::Json => {
                let json = lines.json().flatten_event(true);
                let json = json.with_current_span(false).with_span_list(false);
                registry.with(json.with_filter(rate)).init();
            }
        }
        Ok(Self { _worker: worker, queue_drops, over_limit })
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> usize {
        self.queue_drops.dropped_lines() + self.over_limit.load(Ordering::Relaxed)
    }
}

/// A filter that limits how many lines are written per second.
struct RateFilter {
    limiter: DefaultDirectRateLimiter,
    /// Number of lines dropped because of the limit.
    over_limit: Arc<AtomicUsize>,
}

impl RateFilter {
    fn new(lines_per_s: NonZeroU32) -> Self {
        let burst = lines_per_s.saturating_mul(NonZeroU32::new(BURST_S).unwrap_or(lines_per_s));
        let quota = Quota::per_second(lines_per_s).allow_burst(burst);
        Self { limiter: RateLimiter::direct(quota), over_limit: Arc::default() }
    }
}

impl<S: Subscriber> Filter<S> for RateFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        let is_within = self.limiter.check().is_ok();
        if !is_within {
            self.over_limit.fetch_add(1, Ordering::Relaxed);
        }
        is_within
    }
}
