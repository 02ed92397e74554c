//! Logs: JSON lines on standard output, bounded, never blocking.
//!
//! Lines go through a bounded queue to a thread that writes them. Where the
//! reader of standard output is slow, lines are dropped and counted.

use snafu::{ResultExt, Snafu};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, filter::ParseError};
use trestle_config::settings::{LogFormat, LogSettings};

/// Lines that may wait to be written; some seconds of a busy daemon, and below
/// 2 MB of memory.
const QUEUED_LINES: usize = 4_096;

/// The filter of the settings is not understood.
#[derive(Debug, Snafu)]
#[snafu(display("log filter `{filter}` is not understood: {source}"))]
pub struct FilterError {
    filter: String,
    source: ParseError,
}

/// What keeps logs going: lines are written as long as it lives.
#[derive(Debug)]
pub(crate) struct Logs {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Begins to write logs.
    ///
    /// # Errors
    ///
    /// Fails if the filter is not understood.
    pub(crate) fn start(settings: &LogSettings) -> Result<Self, FilterError> {
        let filter = &settings.filter;
        let filter = EnvFilter::try_new(filter).context(FilterSnafu { filter })?;
        let (writer, worker) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let subscriber = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_ansi(false)
            .with_target(false)
            .with_writer(writer);
        match settings.format {
            LogFormat::Text => subscriber.init(),
            LogFormat::Json => {
                let json = subscriber.json().flatten_event(true);
                json.with_current_span(false).with_span_list(false).init();
            }
        }
        Ok(Self { _worker: worker, dropped })
    }

    /// Lines that were dropped since the start.
    pub(crate) fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}
