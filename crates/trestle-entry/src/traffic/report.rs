//! One line of log for the end of each request, and its metrics.

use crate::traffic::{answer::Failure, task::Task};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    /// The caller has the whole answer of an endpoint.
    Whole,
    /// The daemon answered by itself.
    Failed(Failure),
    /// The answer broke off.
    Broken,
    /// Its time was over before its end.
    OutOfTime,
    /// The caller left.
    CallerLeft,
}

impl Ended {
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Failed(failure) => failure.name(),
            Self::Broken => "broken",
            Self::OutOfTime => "out_of_time",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// What was seen of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamSeen {
    /// The last event that was passed on.
    pub(crate) last_id: Option<u64>,
    /// Time from the request to the first event.
    pub(crate) first_ms: Option<u64>,
    /// Longest time between two events.
    pub(crate) longest_pause_ms: u64,
}

/// Notes the end of a request.
pub(crate) fn ended(task: &Task, end: Ended, endpoint: Option<&str>, sends: u32, seen: StreamSeen) {
    let took_ms = task.elapsed_ms();
    let (retry_after_ms, why) = match end {
        Ended::Failed(Failure::NotRun { retry_after_ms, why }) => (Some(retry_after_ms), Some(why)),
        Ended::Failed(Failure::OverLimit { retry_after_ms }) => (Some(retry_after_ms), None),
        _ => (None, None),
    };
    let list = endpoint.map(|_| task.list());
    let held_back = task.held_back();
    let held_back = held_back.as_ref();
    tracing::info!(
        id = task.head.id,
        request = task.fingerprint(),
        route = task.route.name,
        config = task.config_version,
        model = task.head.model.as_ref().map(AsRef::<str>::as_ref),
        adapter = task.head.adapter.as_ref().map(AsRef::<str>::as_ref),
        team = task.identity.team().map(|team| team.name.as_str()),
        tokens = task.head.tokens,
        priority = task.route.priority,
        objective_ms = task.route.objective_ms,
        end = end.name(),
        why,
        endpoint,
        held_back_by = held_back.map(|seen| seen.endpoint.as_str()),
        limit_per_s = held_back.and_then(|seen| seen.limit_per_s),
        rest_left_ms = held_back.and_then(|seen| seen.rest_left_ms),
        heard_ago_ms = held_back.map(|seen| seen.heard_ago_ms),
        heard_in = held_back.map(|seen| seen.heard_in.as_str()),
        list_version = list.map(|list| list.version),
        list_age_ms = list.map(|list| list.age_ms),
        list_from = list.map(|list| list.way),
        sends,
        last_id = seen.last_id,
        sent_ms = task.sent_ms(),
        first_ms = seen.first_ms,
        longest_pause_ms = seen.longest_pause_ms,
        retry_after_ms,
        took_ms,
        allowed_ms = task.allowed_ms,
        "request: Ended."
    );
    task.daemon.metrics.record_request(&task.route.name, end.name(), took_ms);
}
