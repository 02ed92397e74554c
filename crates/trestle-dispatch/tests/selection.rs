//! What becomes of one request, by what its daemon believes.

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

struct Scene {
    local_view: LocalView,
    route: Route,
    service: ServiceName,
    head: RequestHead,
    sends: Sends,
    wish: Option<u64>,
}

impl Scene {
    /// A request for a model at a daemon that knows these engines and has a leader.
    fn new(engines: Vec<Endpoint>, model: &str) -> Self {
        let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        let mut local_view = LocalView::new("z".into(), 2_000, bounds);
        local_view.directory.replace_all(engines, 0);
        local_view.record_leader(true, 0);
        local_view.update_replicas("s".into(), ReplicaView::default(), 0, NOW_MS);
        let head = RequestHead { model: Some(model.into()), ..RequestHead::default() };
        let route = route("/", RouteKind::Stream { is_resumable: true });
        Self { local_view, route, service: "s".into(), head, sends: Sends::default(), wish: None }
    }

    fn asking(&self, elapsed_ms: u64) -> RequestContext<'_> {
        RequestContext {
            route: &self.route,
            service: &self.service,
            head: &self.head,
            allowed_ms: ALLOWED_MS,
            elapsed_ms,
            demand_id: self.wish,
            is_trial: false,
            has_quota: true,
            send_permit: None,
        }
    }

    fn select(&mut self, elapsed_ms: u64) -> Selection {
        let Self { local_view, route, service, head, sends, wish } = self;
        let asking = RequestContext {
            route,
            service,
            head,
            allowed_ms: ALLOWED_MS,
            elapsed_ms,
            demand_id: *wish,
            is_trial: false,
            has_quota: true,
            send_permit: None,
        };
        selection::select(local_view, asking, sends, 1, NOW_MS + elapsed_ms)
    }

    fn wait(&mut self) {
        let wish =
            selection::pending_demand(self.asking(0), NOW_MS + 2_500).expect("it names a model");
        self.local_view.local_demand_for(&"s".into()).waiting.insert(1, wish);
        self.wish = Some(1);
    }

    /// The daemon tells, and the leader has planned with what it told.
    fn answer(&mut self, ready_in_ms: &[(&str, u64)]) {
        let number = self.local_view.local_demand_for(&"s".into()).report(false, NOW_MS).number;
        let ready = ready_in_ms.iter().map(|(model, ms)| (Loadable::model(&(*model).into()), *ms));
        let view = ReplicaView { ready_in_ms: ready.collect(), ..ReplicaView::default() };
        assert!(self.local_view.update_replicas("s".into(), view, number, NOW_MS), "it is news");
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
    a_request_goes_to_an_engine_that_has_its_model => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "a");
        let Selection::Send(endpoint) = scene.select(0) else { panic!("it is not sent") };
        assert_eq!(endpoint.name, "x".into());
    }

    // On a grown fleet the leader's answer takes 300 ms; callers were refused after a quarter
    // of 300 ms, with a guess.
    one_that_the_leader_has_not_answered_waits_for_its_answer => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "b");
        scene.wait();
        for elapsed_ms in [0, 100, 400, 900] {
            assert!(matches!(scene.select(elapsed_ms), Selection::Wait { .. }), "{elapsed_ms}");
        }
    }

    an_answer_that_knows_nothing_of_it_refuses_it => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "b");
        scene.wait();
        scene.answer(&[]);
        assert_eq!(reason(&scene.select(50)), Some(Reason::ReadyUnknown));
    }

    an_answer_in_time_lets_it_wait_and_one_too_late_refuses_it_with_the_time => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "b");
        scene.wait();
        scene.answer(&[("b", 4_000)]);
        assert!(matches!(scene.select(50), Selection::Wait { .. }));
        scene.answer(&[("b", 11_000)]);
        let refused = scene.select(50);
        assert_eq!(reason(&refused), Some(Reason::ReadyTooLate));
        let Selection::Refuse { retry_after_ms, .. } = refused else { panic!("it waits") };
        assert_eq!(retry_after_ms, (ALLOWED_MS - 50) / 3);
    }

    // 350 sends in 3 s went to an engine that had just lost the model.
    an_engine_that_denied_to_have_a_model_is_not_asked_for_it_again_for_a_while => {
        let engines = vec![endpoint("x", "z", &["a"]), endpoint("y", "z", &["a"])];
        let mut scene = Scene::new(engines, "a");
        let loadable = Loadable::model(&"a".into());
        scene.local_view.records.reported_missing(&"x".into(), loadable, NOW_MS);
        for elapsed_ms in [0, 300, 599] {
            let Selection::Send(endpoint) = scene.select(elapsed_ms) else { panic!("not sent") };
            assert_eq!(endpoint.name, "y".into());
        }
        scene.local_view.records.reported_missing(&"y".into(), Loadable::model(&"a".into()), NOW_MS + 500);
        let Selection::Send(endpoint) = scene.select(700) else { panic!("not sent") };
        assert_eq!(endpoint.name, "x".into());
    }

    what_was_denied_of_an_adapter_says_nothing_of_its_model => {
        let with = with_adapters(endpoint("x", "z", &[]), "a", &["n"]);
        let mut scene = Scene::new(vec![with], "a");
        let loadable = Loadable::new(&"a".into(), Some(&"n".into()));
        scene.local_view.records.reported_missing(&"x".into(), loadable, NOW_MS);
        assert!(matches!(scene.select(0), Selection::Send(_)));
        scene.head.adapter = Some("n".into());
        assert!(!matches!(scene.select(0), Selection::Send(_)));
    }

    without_a_leader_a_request_waits_for_an_engine_that_has_refused_it_a_moment_ago => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "a");
        scene.local_view.record_leader(false, NOW_MS);
        scene.sends.record_send(&"x".into());
        scene.sends.record_end(SendEnd::NotRun, NOW_MS);
        assert!(matches!(scene.select(10), Selection::Wait { .. }));
        assert!(matches!(scene.select(400), Selection::Send(_)));
    }

    // Callers came back after a guess of 1.5 s, before the next leader gave its first order.
    without_a_leader_only_those_wait_who_stay_until_there_is_one => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "b");
        scene.local_view.record_leader(false, NOW_MS);
        assert!(matches!(scene.select(0), Selection::Wait { .. }), "it stays for 10 s");
        scene.route.objective_ms = 300;
        let refused = scene.select(0);
        assert_eq!(reason(&refused), Some(Reason::ReadyTooLate));
        let Selection::Refuse { retry_after_ms, .. } = refused else { panic!("it waits") };
        assert!(retry_after_ms > 3_000, "{retry_after_ms}");
    }

    // Wrong once: a stream that waited in an engine's queue was broken off for another engine,
    // to which the budget then allowed no send.
    one_is_broken_off_only_where_the_budget_has_a_send_left => {
        let engines = vec![endpoint("x", "z", &["a"]), endpoint("y", "z", &["a"])];
        let mut scene = Scene::new(engines, "a");
        scene.sends.record_send(&"x".into());
        let has_other = |scene: &mut Scene| {
            let Scene { local_view, route, service, head, sends, wish } = scene;
            let asking =
                RequestContext { route, service, head, allowed_ms: ALLOWED_MS, elapsed_ms: 0, demand_id: *wish, is_trial: false, has_quota: true, send_permit: None };
            selection::has_alternative(local_view, asking, sends, NOW_MS)
        };
        scene.local_view.daemons = 1;
        assert!(has_other(&mut scene));
        while scene.local_view.spend_retry(&"s".into(), NOW_MS) {}
        assert!(!has_other(&mut scene));
    }

    a_leader_that_never_was_is_not_waited_for => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "b");
        scene.local_view.has_leader = false;
        assert_eq!(reason(&scene.select(0)), Some(Reason::ReadyUnknown));
    }

    // What the leader counts is up to 400 ms old, and an engine of the grown fleet has 12 slots.
    own_sends_since_the_last_telling_count_as_load => {
        let mut scene = Scene::new(vec![endpoint("x", "z", &["a"])], "a");
        let model = ModelName::from("a");
        let x = endpoint("x", "z", &["a"]);
        (0..3).for_each(|_| scene.local_view.request_started(&x, Some(&model), None));
        scene.local_view.local_demand_for(&"s".into()).report(false, NOW_MS);
        let note = EngineSummary { running: 5, ..EngineSummary::default() };
        let engines = BTreeMap::from([(EndpointName::from("x"), note)]);
        let view = ReplicaView { engines, ..ReplicaView::default() };
        scene.local_view.update_replicas("s".into(), view, 1, NOW_MS);
        assert_eq!(scene.local_view.running(&x), 5);
        (0..2).for_each(|_| scene.local_view.request_started(&x, Some(&model), None));
        assert_eq!(scene.local_view.running(&x), 7);
    }
}
