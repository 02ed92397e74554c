//! The sends of one request: where the next may go while one runs at a silent endpoint, and which count
//! as attempts of its route.

mod common;

use common::route;
use std::collections::BTreeSet;
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    local_view::LocalView,
    retry_share::RetryBounds,
    route::RouteKind,
    sends::{Allowed, NextSend, SendEnd, Sends},
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

const NOW_MS: u64 = 10_000;

/// The sends of one request that may be repeated and has two attempts, at a daemon that may send
/// much again.
struct Fixture {
    sends: Sends,
    local_view: LocalView,
}

impl Fixture {
    fn new() -> Self {
        let bounds = RetryBounds { ratio: 100.0, window_ms: 10_000, fixed: 52 };
        let mut local_view = LocalView::new("z".into(), 2_000, bounds);
        for _ in 0..10 {
            local_view.retry_budgets.request_arrived(&"s".into(), NOW_MS);
        }
        Self { sends: Sends::default(), local_view }
    }

    fn send(&mut self, endpoint: &str) {
        self.sends.record_send(&endpoint.into());
    }

    fn end(&mut self, endpoint: &str, end: SendEnd) {
        self.sends.record_end(&endpoint.into(), end, &"s".into(), &mut self.local_view, NOW_MS);
    }

    fn allowed(&self) -> Allowed {
        self.sends.allowed(&route("/", RouteKind::Idempotent), NOW_MS)
    }

    fn next(&mut self) -> NextSend {
        let route = route("/", RouteKind::Idempotent);
        self.sends.reserve_next(&route, &"s".into(), &mut self.local_view, NOW_MS)
    }
}

fn names(names: &[&str]) -> BTreeSet<EndpointName> {
    names.iter().map(|name| EndpointName::from(*name)).collect()
}

cases! {
    no_second_send_goes_where_the_request_runs => {
        let mut fixture = Fixture::new();
        fixture.send("x");
        assert_eq!(fixture.allowed().excluded, names(&["x"]));
        assert_eq!(fixture.next(), NextSend::Allowed);
        fixture.send("y");
        assert_eq!(fixture.allowed().excluded, names(&["x", "y"]));
    }

    a_rejected_second_send_uses_up_no_attempt_and_leaves_the_first_one_running => {
        let mut fixture = Fixture::new();
        fixture.send("x");
        fixture.send("y");
        fixture.end("y", SendEnd::NotRun);
        assert_eq!(fixture.sends.last, Some("x".into()));
        assert!(!fixture.sends.may_have_run);
        assert_eq!(fixture.next(), NextSend::Allowed);
        assert_eq!(fixture.allowed().only, None);
        fixture.send("z");
        assert_eq!(fixture.next(), NextSend::NoAttemptLeft);
    }

    a_request_that_was_rejected_runs_at_as_many_endpoints_as_its_route_allows => {
        let mut fixture = Fixture::new();
        for endpoint in ["x", "y"] {
            fixture.send(endpoint);
            fixture.end(endpoint, SendEnd::NotRun);
        }
        // Nothing is lost if they reject it again.
        assert_eq!(fixture.allowed().only, Some(names(&["x", "y"])));
        fixture.send("y");
        fixture.end("y", SendEnd::MayHaveRun);
        assert_eq!(fixture.allowed().only, None);
        fixture.send("z");
        fixture.end("z", SendEnd::MayHaveRun);
        assert_eq!(fixture.next(), NextSend::NoAttemptLeft);
        assert_eq!(fixture.allowed().only, Some(names(&["y", "z"])));
    }

    an_aborted_second_send_may_have_run => {
        let mut fixture = Fixture::new();
        fixture.send("x");
        fixture.send("y");
        assert_eq!(fixture.sends.record_others_aborted(&"x".into()), ["y".into()]);
        assert_eq!(fixture.sends.last, Some("x".into()));
        assert_eq!(fixture.next(), NextSend::NoAttemptLeft);
        assert_eq!(fixture.allowed().excluded, names(&["x", "y"]));
    }

    a_send_that_was_not_made_leaves_no_trace => {
        let mut fixture = Fixture::new();
        fixture.send("x");
        fixture.send("y");
        fixture.end("y", SendEnd::NotSent);
        assert_eq!(fixture.sends.count, 1);
        assert_eq!(fixture.allowed().excluded, names(&["x"]));
        assert_eq!(fixture.next(), NextSend::Allowed);
    }
}
