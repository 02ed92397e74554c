//! Endpoints that ask one daemon for rest: nothing is sent to them until it is over, work goes
//! elsewhere, and they come back step by step.

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
    sends::{SendEnd, Sends},
    signals::{EndpointSignals, HeaderField},
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

const NOW_MS: u64 = 10_000;
const REST_MS: u64 = 3_000;

/// A daemon that knows these servers of a plain service.
fn knowing(names: &[&str]) -> LocalView {
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

/// An answer of a server, which may ask for rest.
fn answered(
    local_view: &mut LocalView,
    name: &str,
    rest_ms: Option<u64>,
    sent_ms: u64,
    now_ms: u64,
) {
    let rest_ms = rest_ms.map_or(HeaderField::Absent, HeaderField::Value);
    let is_success = rest_ms == HeaderField::Absent;
    let notice = EndpointSignals { backoff_ms: rest_ms, ..EndpointSignals::default() };
    local_view.apply_answer(
        &incarnation(name),
        Answer { signals: &notice, is_success, id: "1", sent_ms },
        now_ms,
    );
}

fn select(local_view: &mut LocalView, sends: &Sends, lot: u64, now_ms: u64) -> Selection {
    let route = route("/", RouteKind::Idempotent);
    let head = RequestHead::default();
    let asking = RequestContext {
        route: &route,
        service: &"s".into(),
        head: &head,
        allowed_ms: 4_000,
        elapsed_ms: 0,
        demand_id: None,
        is_trial: false,
        has_quota: true,
        send_permit: None,
    };
    selection::select(local_view, asking, sends, lot, now_ms)
}

/// Whether a request would be sent to a server, of so many.
fn sent_to(local_view: &mut LocalView, name: &str, now_ms: u64) -> usize {
    let each = (0..100).filter(|lot| {
        let selection = select(local_view, &Sends::default(), *lot, now_ms);
        matches!(selection, Selection::Send(endpoint) if *endpoint.name.as_str() == *name)
    });
    each.count()
}

cases! {
    work_goes_elsewhere_until_the_rest_is_over => {
        let mut local_view = knowing(&["x", "y"]);
        answered(&mut local_view, "x", Some(REST_MS), NOW_MS - 5, NOW_MS);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + REST_MS - 1), 0);
        assert_eq!(sent_to(&mut local_view, "y", NOW_MS + REST_MS - 1), 100);
        assert!(sent_to(&mut local_view, "x", NOW_MS + REST_MS) > 0);
    }

    where_all_rest_a_request_is_refused_with_the_first_end => {
        let mut local_view = knowing(&["x", "y"]);
        answered(&mut local_view, "x", Some(REST_MS), NOW_MS, NOW_MS);
        answered(&mut local_view, "y", Some(1_000), NOW_MS, NOW_MS);
        // One that has just been turned away is refused no later than others.
        let mut sends = Sends::default();
        sends.record_send(&"y".into());
        sends.record_end(SendEnd::NotRun, NOW_MS);
        let first = Selection::Throttled(Throttled { incarnation: incarnation("y"), for_ms: 900, is_limited: false });
        assert_eq!(select(&mut local_view, &sends, 1, NOW_MS + 100), first);
    }

    a_shorter_rest_that_is_asked_for_later_does_not_end_a_longer_one => {
        let mut local_view = knowing(&["x"]);
        answered(&mut local_view, "x", Some(REST_MS), NOW_MS, NOW_MS);
        answered(&mut local_view, "x", Some(100), NOW_MS, NOW_MS + 50);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + REST_MS - 1), 0);
    }

    /// Callers who were turned away come back together at the end of the rest.
    after_a_rest_requests_come_step_by_step => {
        let mut local_view = knowing(&["x"]);
        answered(&mut local_view, "x", Some(REST_MS), NOW_MS, NOW_MS);
        let over_ms = NOW_MS + REST_MS;
        let mut most = Vec::new();
        for turn in 0..5 {
            let mut sent = 0;
            while sent_to(&mut local_view, "x", over_ms) > 0 && sent < 50 {
                let server = endpoint("x", "z", &[]);
                local_view.request_started(&server, None, None);
                sent += 1;
            }
            most.push(sent);
            for _ in 0..sent {
                local_view.request_ended(&endpoint("x", "z", &[]), None, None);
            }
            answered(&mut local_view, "x", None, over_ms + turn, over_ms + turn);
        }
        assert_eq!(most, [1, 3, 5, 7, 50]);
    }

    /// A server that answers nothing after its rest is no worse off than others.
    a_rest_leaves_nothing_behind => {
        let mut local_view = knowing(&["x"]);
        answered(&mut local_view, "x", Some(REST_MS), NOW_MS, NOW_MS);
        local_view.request_started(&endpoint("x", "z", &[]), None, None);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + REST_MS), 0);
        assert_eq!(sent_to(&mut local_view, "x", NOW_MS + 2 * REST_MS), 100);
    }

    a_send_that_was_not_made_needs_nothing_of_the_budget => {
        let mut local_view = knowing(&["x", "y"]);
        local_view.daemons = 1;
        let route = route("/", RouteKind::Idempotent);
        let mut sends = Sends::default();
        assert!(sends.reserve_next(&route, &"s".into(), &mut local_view, NOW_MS));
        sends.record_send(&"x".into());
        sends.record_end(SendEnd::NotSent, NOW_MS);
        assert_eq!((sends.count, sends.may_have_run), (0, false));
        // The endpoint is not set aside by it either.
        assert!(sends.allowed(&route, NOW_MS).excluded.is_empty());
    }
}
