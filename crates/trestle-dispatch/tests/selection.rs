//! Decisions on one request, by what its daemon knows.

mod common;

use common::{endpoint, route, with_adapters};
use std::collections::BTreeMap;
use trestle_core::names::{EndpointName, ModelName, ServiceName};
use trestle_dispatch::{
    admission::Reason,
    endpoint::Endpoint,
    loadable::Loadable,
    local_view::LocalView,
    replicas::{EngineSummary, ReplicaView},
    request::RequestHead,
    retry_share::RetryBounds,
    route::{Route, RouteKind},
    selection::{self, RequestContext, Selection},
    sends::{SendEnd, Sends},
};

const NOW_MS: u64 = 10_000;
const ALLOWED_MS: u64 = 15_000;

struct Fixture {
    local_view: LocalView,
    route: Route,
    service: ServiceName,
    head: RequestHead,
    sends: Sends,
    demand_id: Option<u64>,
}

impl Fixture {
    /// Creates a request for a model at a daemon that knows these engines and has a leader.
    fn new(engines: Vec<Endpoint>, model: &str) -> Self {
        let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        let mut local_view = LocalView::new("z".into(), 2_000, bounds);
        local_view.directory.replace_all(engines, 0);
        local_view.record_leader(true, 0);
        local_view.update_replicas("s".into(), ReplicaView::default(), 0, NOW_MS);
        let head = RequestHead { model: Some(model.into()), ..RequestHead::default() };
        let route = route("/", RouteKind::Stream { is_resumable: true });
        Self {
            local_view,
            route,
            service: "s".into(),
            head,
            sends: Sends::default(),
            demand_id: None,
        }
    }

    fn request(&self, elapsed_ms: u64) -> RequestContext<'_> {
        RequestContext {
            route: &self.route,
            service: &self.service,
            head: &self.head,
            allowed_ms: ALLOWED_MS,
            elapsed_ms,
            demand_id: self.demand_id,
            version: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
            assignment: None,
            is_unscheduled: false,
        }
    }

    fn select(&mut self, elapsed_ms: u64) -> Selection {
        let Self { local_view, route, service, head, sends, demand_id } = self;
        let request = RequestContext {
            route,
            service,
            head,
            allowed_ms: ALLOWED_MS,
            elapsed_ms,
            demand_id: *demand_id,
            version: None,
            is_trial: false,
            has_quota: true,
            send_permit: None,
            assignment: None,
            is_unscheduled: false,
        };
        selection::select(local_view, request, sends, 1, NOW_MS + elapsed_ms)
    }

    fn wait(&mut self) {
        let demand = selection::pending_demand(self.request(0), NOW_MS + 2_500)
            .expect("the request names a model");
        self.local_view.local_demand_for(&"s".into()).waiting.insert(1, demand);
        self.demand_id = Some(1);
    }

    /// Reports the demand, and has the leader plan with it and answer with these ready times.
    fn answer(&mut self, ready_in_ms: &[(&str, u64)]) {
        let number = self.local_view.local_demand_for(&"s".into()).report(false, NOW_MS).number;
        let ready = ready_in_ms.iter().map(|(model, ms)| (Loadable::model(&(*model).into()), *ms));
        let view = ReplicaView { ready_in_ms: ready.collect(), ..ReplicaView::default() };
        assert!(
            self.local_view.update_replicas("s".into(), view, number, NOW_MS),
            "the report is new"
        );
    }
}

fn reason(selection: &Selection) -> Option<Reason> {
    match selection {
        Selection::Refuse { reason, .. } => *reason,
        _ => None,
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    request_is_sent_to_an_engine_with_its_model => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "a");
        let Selection::Send(endpoint) = fixture.select(0) else { panic!("the request is not sent") };
        assert_eq!(endpoint.name, "x".into());
    }

    // The leader of a large fleet answers after 300 ms; requests were refused after a quarter of
    // 300 ms, with a guessed retry time.
    request_waits_for_the_leaders_first_report_on_its_model => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "b");
        fixture.wait();
        for elapsed_ms in [0, 100, 400, 900] {
            assert!(matches!(fixture.select(elapsed_ms), Selection::Wait { .. }), "{elapsed_ms}");
        }
    }

    request_is_refused_if_the_leader_has_no_plan_for_its_model => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "b");
        fixture.wait();
        fixture.answer(&[]);
        assert_eq!(reason(&fixture.select(50)), Some(Reason::ReadyUnknown));
    }

    request_waits_for_a_model_ready_in_time_and_is_refused_with_the_time_otherwise => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "b");
        fixture.wait();
        fixture.answer(&[("b", 4_000)]);
        assert!(matches!(fixture.select(50), Selection::Wait { .. }));
        fixture.answer(&[("b", 11_000)]);
        let refused = fixture.select(50);
        assert_eq!(reason(&refused), Some(Reason::ReadyTooLate));
        let Selection::Refuse { retry_after_ms, .. } = refused else { panic!("the request waits") };
        assert_eq!(retry_after_ms, (ALLOWED_MS - 50) / 3);
    }

    // 350 sends in 3 s went to an engine that had just unloaded the model.
    engine_that_reported_a_missing_model_gets_no_request_for_it_for_a_while => {
        let engines = vec![endpoint("x", "z", &["a"]), endpoint("y", "z", &["a"])];
        let mut fixture = Fixture::new(engines, "a");
        let loadable = Loadable::model(&"a".into());
        fixture.local_view.records.reported_missing(&"x".into(), loadable, NOW_MS);
        for elapsed_ms in [0, 300, 599] {
            let Selection::Send(endpoint) = fixture.select(elapsed_ms) else { panic!("the request is not sent") };
            assert_eq!(endpoint.name, "y".into());
        }
        fixture.local_view.records.reported_missing(&"y".into(), Loadable::model(&"a".into()), NOW_MS + 500);
        let Selection::Send(endpoint) = fixture.select(700) else { panic!("the request is not sent") };
        assert_eq!(endpoint.name, "x".into());
    }

    missing_adapter_does_not_exclude_its_model => {
        let with = with_adapters(endpoint("x", "z", &[]), "a", &["n"]);
        let mut fixture = Fixture::new(vec![with], "a");
        let loadable = Loadable::new(&"a".into(), Some(&"n".into()));
        fixture.local_view.records.reported_missing(&"x".into(), loadable, NOW_MS);
        assert!(matches!(fixture.select(0), Selection::Send(_)));
        fixture.head.adapter = Some("n".into());
        assert!(!matches!(fixture.select(0), Selection::Send(_)));
    }

    without_a_leader_a_request_waits_for_an_engine_that_has_just_refused_it => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "a");
        fixture.local_view.record_leader(false, NOW_MS);
        fixture.sends.record_send(&"x".into());
        fixture.sends.record_end(&"x".into(), SendEnd::NotRun, &"s".into(), &mut fixture.local_view, NOW_MS);
        assert!(matches!(fixture.select(10), Selection::Wait { .. }));
        assert!(matches!(fixture.select(400), Selection::Send(_)));
    }

    // Callers were told to retry after a guessed 1.5 s, before the next leader gave its first
    // order.
    without_a_leader_only_requests_with_a_long_caller_timeout_wait => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "b");
        fixture.local_view.record_leader(false, NOW_MS);
        assert!(matches!(fixture.select(0), Selection::Wait { .. }), "the caller timeout is 10 s");
        fixture.route.objective_ms = 300;
        let refused = fixture.select(0);
        assert_eq!(reason(&refused), Some(Reason::ReadyTooLate));
        let Selection::Refuse { retry_after_ms, .. } = refused else { panic!("the request waits") };
        assert!(retry_after_ms > 3_000, "{retry_after_ms}");
    }

    // A stream that waited in an engine's queue was aborted for another engine, but the budget then
    // allowed no further send.
    send_is_aborted_only_if_the_budget_allows_another => {
        let engines = vec![endpoint("x", "z", &["a"]), endpoint("y", "z", &["a"])];
        let mut fixture = Fixture::new(engines, "a");
        fixture.sends.record_send(&"x".into());
        let has_alternative = |fixture: &mut Fixture| {
            let Fixture { local_view, route, service, head, sends, demand_id } = fixture;
            let request =
                RequestContext { route, service, head, allowed_ms: ALLOWED_MS, elapsed_ms: 0, demand_id: *demand_id, version: None, is_trial: false, has_quota: true, send_permit: None, assignment: None, is_unscheduled: false };
            selection::has_alternative(local_view, request, sends, NOW_MS)
        };
        fixture.local_view.retry_budgets.daemons = 1;
        assert!(has_alternative(&mut fixture));
        while fixture.local_view.retry_budgets.spend(&"s".into(), NOW_MS) {}
        assert!(!has_alternative(&mut fixture));
    }

    request_does_not_wait_for_a_leader_that_never_existed => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "b");
        fixture.local_view.has_leader = false;
        assert_eq!(reason(&fixture.select(0)), Some(Reason::ReadyUnknown));
    }

    // The leader's counts are up to 400 ms old, and an engine of the large fleet has 12 slots.
    own_sends_since_the_last_report_count_as_load => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z", &["a"])], "a");
        let model = ModelName::from("a");
        let x = endpoint("x", "z", &["a"]);
        (0..3).for_each(|_| fixture.local_view.request_started(&x, Some(&model), None));
        fixture.local_view.local_demand_for(&"s".into()).report(false, NOW_MS);
        let summary = EngineSummary { running: 5, ..EngineSummary::default() };
        let engines = BTreeMap::from([(EndpointName::from("x"), summary)]);
        let view = ReplicaView { engines, ..ReplicaView::default() };
        fixture.local_view.update_replicas("s".into(), view, 1, NOW_MS);
        assert_eq!(fixture.local_view.running(&x), 5);
        (0..2).for_each(|_| fixture.local_view.request_started(&x, Some(&model), None));
        assert_eq!(fixture.local_view.running(&x), 7);
    }
}
