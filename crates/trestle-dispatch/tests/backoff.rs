//! Endpoints that request a backoff from one daemon: the daemon sends them nothing until it is
//! over, uses other endpoints meanwhile, and then returns to them step by step.

mod common;

use common::{endpoint, route};
use trestle_dispatch::{
    backpressure::Answer,
    choice::Throttled,
    endpoint::Incarnation,
    local_view::LocalView,
    request::RequestHead,
    retry_share::RetryBounds,
    route::RouteKind,
    selection::{self, RequestContext, Selection},
    sends::{NextSend, SendEnd, Sends},
    signals::{EndpointSignals, HeaderField},
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

const NOW_MS: u64 = 10_000;
const BACKOFF_MS: u64 = 3_000;

/// Returns the view of a daemon that knows these servers of a plain service.
fn view_of(names: &[&str]) -> LocalView {
    let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
    let mut local_view = LocalView::new("z".into(), 2_000, bounds);
    local_view
        .directory
        .replace_all(names.iter().map(|name| endpoint(name, "z", &[])).collect(), 0);
    local_view
}

fn incarnation(name: &str) -> Incarnation {
    endpoint(name, "z", &[]).incarnation()
}

/// Applies an answer of a server, which may request a backoff.
fn answered(
    local_view: &mut LocalView,
    name: &str,
    backoff_ms: Option<u64>,
    sent_ms: u64,
    now_ms: u64,
) {
    let backoff_ms = backoff_ms.map_or(HeaderField::Absent, HeaderField::Value);
    let is_success = backoff_ms == HeaderField::Absent;
    let signals = EndpointSignals { backoff_ms, ..EndpointSignals::default() };
    local_view.apply_answer(
        &incarnation(name),
        Answer { signals: &signals, is_success, id: "1", sent_ms },
        now_ms,
    );
}

fn select(local_view: &mut LocalView, sends: &Sends, random: u64, now_ms: u64) -> Selection {
    let route = route("/", RouteKind::Idempotent);
    let head = RequestHead::default();
    let context = RequestContext {
        route: &route,
        service: &"s".into(),
        head: &head,
        allowed_ms: 4_000,
        elapsed_ms: 0,
        demand_id: None,
        version: None,
        is_trial: false,
        has_quota: true,
        send_permit: None,
        assignment: None,
        is_unscheduled: false,
    };
    selection::select(local_view, context, sends, random, now_ms)
}

/// Returns how many of 100 requests would be sent to a server.
fn sent_to(local_view: &mut LocalView, name: &str, now_ms: u64) -> usize {
    let sent = (0..100).filter(|random| {
        let selection = select(local_view, &Sends::default(), *random, now_ms);
        matches!(selection, Selection::Send(endpoint) if *endpoint.name.as_str() == *name)
    });
    sent.count()
}

cases! {
    requests_go_to_other_servers_until_the_backoff_is_over => {
        let mut local_view = view_of(&["x", "y"]);
        answered(&mut local_view, "x", Some(BACKOFF_MS), NOW_MS - 5, NOW_MS);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + BACKOFF_MS - 1), 0);
        assert_eq!(sent_to(&mut local_view, "y", NOW_MS + BACKOFF_MS - 1), 100);
        assert!(sent_to(&mut local_view, "x", NOW_MS + BACKOFF_MS) > 0);
    }

    if_all_servers_back_off_a_request_is_rejected_with_the_shortest_delay => {
        let mut local_view = view_of(&["x", "y"]);
        answered(&mut local_view, "x", Some(BACKOFF_MS), NOW_MS, NOW_MS);
        answered(&mut local_view, "y", Some(1_000), NOW_MS, NOW_MS);
        // A request that was just rejected by a server does not change the delay.
        let mut sends = Sends::default();
        sends.record_send(&"y".into());
        sends.record_end(&"y".into(), SendEnd::NotRun, &"s".into(), &mut local_view, NOW_MS);
        let first = Selection::Throttled(Throttled { incarnation: incarnation("y"), for_ms: 900, is_limited: false, is_brittle: false });
        assert_eq!(select(&mut local_view, &sends, 1, NOW_MS + 100), first);
    }

    a_later_shorter_backoff_does_not_end_a_longer_one => {
        let mut local_view = view_of(&["x"]);
        answered(&mut local_view, "x", Some(BACKOFF_MS), NOW_MS, NOW_MS);
        answered(&mut local_view, "x", Some(100), NOW_MS, NOW_MS + 50);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + BACKOFF_MS - 1), 0);
    }

    /// Rejected callers all retry at the end of the backoff.
    requests_increase_step_by_step_after_a_backoff => {
        let mut local_view = view_of(&["x"]);
        answered(&mut local_view, "x", Some(BACKOFF_MS), NOW_MS, NOW_MS);
        let backoff_end_ms = NOW_MS + BACKOFF_MS;
        let mut accepted = Vec::new();
        for turn in 0..5 {
            let mut sent = 0;
            while sent_to(&mut local_view, "x", backoff_end_ms) > 0 && sent < 50 {
                let server = endpoint("x", "z", &[]);
                local_view.request_started(&server, None, None);
                sent += 1;
            }
            accepted.push(sent);
            for _ in 0..sent {
                local_view.request_ended(&endpoint("x", "z", &[]), None, None);
            }
            answered(&mut local_view, "x", None, backoff_end_ms + turn, backoff_end_ms + turn);
        }
        assert_eq!(accepted, [1, 3, 5, 7, 50]);
    }

    /// A server whose first request after a backoff gets no answer is used like any other server
    /// after a further time.
    a_backoff_has_no_lasting_effect => {
        let mut local_view = view_of(&["x"]);
        answered(&mut local_view, "x", Some(BACKOFF_MS), NOW_MS, NOW_MS);
        local_view.request_started(&endpoint("x", "z", &[]), None, None);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + BACKOFF_MS), 0);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + 2 * BACKOFF_MS), 100);
    }

    an_attempt_that_was_not_sent_spends_no_retry => {
        let mut local_view = view_of(&["x", "y"]);
        local_view.retry_budgets.daemons = 1;
        let route = route("/", RouteKind::Idempotent);
        let mut sends = Sends::default();
        let next = sends.reserve_next(&route, &"s".into(), &mut local_view, NOW_MS);
        assert_eq!(next, NextSend::Allowed);
        sends.record_send(&"x".into());
        sends.record_end(&"x".into(), SendEnd::NotSent, &"s".into(), &mut local_view, NOW_MS);
        assert_eq!((sends.count, sends.may_have_run), (0, false));
        // The endpoint is not excluded by it either.
        assert!(sends.allowed(&route, NOW_MS).excluded.is_empty());
    }
}
