//! Logs the end of each request and records its metrics.

use crate::traffic::{answer::Failure, broken_stream::BrokenStream, task::Task};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The caller got the complete answer of an endpoint.
    Complete,
    /// The daemon answered with a failure of its own.
    Failed(Failure),
    /// The answer was aborted after its beginning was passed on.
    Aborted,
    /// The request's time was used up before the answer ended.
    OutOfTime,
    /// The caller closed the connection.
    CallerDisconnected,
}

impl RequestEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Failed(failure) => failure.name(),
            Self::Aborted => "broken",
            Self::OutOfTime => "out_of_time",
            Self::CallerDisconnected => "caller_left",
        }
    }
}

/// Measurements of a stream; empty for a request that is none.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamStats {
    /// Id of the last event that was passed on.
    pub(crate) last_id: Option<u64>,
    /// Time from the request's arrival to the first event.
    pub(crate) first_ms: Option<u64>,
    /// Longest time between two events.
    pub(crate) longest_pause_ms: u64,
}

/// How far a request came.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress<'a> {
    /// The endpoint of the last send; `None` if there was none.
    pub(crate) endpoint: Option<&'a str>,
    /// Number of sends.
    pub(crate) sends: u32,
    /// Measurements of the stream.
    pub(crate) stats: StreamStats,
}

/// Logs the end of a request and records its metrics. `broken` says what ended a stream early.
pub(crate) fn record_end(
    task: &Task,
    end: RequestEnd,
    progress: Progress<'_>,
    broken: Option<BrokenStream>,
) {
    let Progress { endpoint, sends, stats } = progress;
    let took_ms = task.elapsed_ms();
    let (retry_after_ms, why) = match end {
        RequestEnd::Failed(Failure::NotRun { retry_after_ms, why }) => {
            (Some(retry_after_ms), Some(why))
        }
        RequestEnd::Failed(Failure::OverLimit { retry_after_ms }) => (Some(retry_after_ms), None),
        _ => (None, None),
    };
    let list_info = endpoint.map(|_| task.list_info());
    let throttle = task.throttle();
    let throttle = throttle.as_ref();
    let assignment = task.prompt_schedule.last_assignment();
    let assignment = assignment.as_ref();
    tracing::info!(
        id = task.head.id,
        request = task.fingerprint(),
        route = task.route.name,
        config = task.config_version,
        model = task.head.model.as_ref().map(AsRef::<str>::as_ref),
        adapter = task.head.adapter.as_ref().map(AsRef::<str>::as_ref),
        team = task.identity.team().map(|team| team.name.as_str()),
        tokens = task.head.tokens(),
        unread_tokens = assignment.map(|assignment| assignment.unread_tokens),
        expected_ms = assignment.map(|assignment| assignment.expected_ms),
        room_wait_ms = assignment.map(|assignment| assignment.room_wait_ms),
        priority = task.route.priority,
        objective_ms = task.route.objective_ms,
        end = end.name(),
        why,
        broken_by = broken.map(|broken| broken.broken_by),
        not_resumed = broken.map(|broken| broken.not_resumed.name()),
        endpoint,
        detour_by = task.helper().map(tracing::field::display),
        held_back_by = throttle.map(|info| info.endpoint.as_str()),
        limit_per_s = throttle.and_then(|info| info.limit_per_s),
        rest_left_ms = throttle.and_then(|info| info.backoff_left_ms),
        no_slot = throttle.map(|info| info.lacks_slot),
        heard_ago_ms = throttle.map(|info| info.observed_ago_ms),
        heard_in = throttle.map(|info| info.observed_in.as_str()),
        list_version = list_info.map(|info| info.version.number),
        list_era = list_info.map(|info| info.version.era),
        list_age_ms = list_info.map(|info| info.age_ms),
        list_from = list_info.map(|info| info.source),
        sends,
        last_id = stats.last_id,
        sent_ms = task.sent_after_ms(),
        first_ms = stats.first_ms,
        longest_pause_ms = stats.longest_pause_ms,
        retry_after_ms,
        took_ms,
        allowed_ms = task.allowed_ms,
        "request: Ended."
    );
    if let Some(broken) = broken {
        task.daemon.metrics.record_broken_stream(broken.broken_by, broken.not_resumed.name());
    }
    task.daemon.metrics.record_request(&task.route.name, end.name(), took_ms);
}
