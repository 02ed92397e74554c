//! Decisions on single requests: route, endpoint, admission, and further sends.

mod common;

use common::{endpoint, route, with_adapters};
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::{AdapterName, EndpointName, ModelName, ServiceName};
use trestle_dispatch::{
    admission::{self, Admission, Forecast, Reason, Wait},
    choice::{ChoiceInputs, Requirements, choose},
    local_view::LocalView,
    replicas::{EngineSummary, ReplicaView},
    retry_share::{RetryBounds, RetryShare},
    route::{Route, RouteKind, RouteTable, Target},
};

const STREAM: RouteKind = RouteKind::Stream { is_resumable: true };

struct Scene {
    local_view: LocalView,
    excluded: BTreeSet<EndpointName>,
    only: Option<BTreeSet<EndpointName>>,
}

impl Scene {
    fn new(endpoints: Vec<trestle_dispatch::endpoint::Endpoint>) -> Self {
        let retry_bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        let mut local_view = LocalView::new("z1".into(), 2_000, retry_bounds);
        local_view.directory.replace_all(endpoints, 0);
        local_view.replicas.insert("s".into(), ReplicaView::default());
        Self { local_view, excluded: BTreeSet::new(), only: None }
    }

    fn replicas(&self) -> &ReplicaView {
        &self.local_view.replicas[&ServiceName::from("s")]
    }

    fn note(&mut self, engine: &str, note: EngineSummary) {
        let view = self.local_view.replicas.get_mut("s").expect("a view");
        view.engines.insert(engine.into(), note);
    }

    fn choose(&self, model: Option<&str>, adapter: Option<&str>, lot: u64) -> Option<String> {
        let (model, adapter) = (model.map(ModelName::from), adapter.map(AdapterName::from));
        let service = ServiceName::from("s");
        let known =
            ChoiceInputs { local_view: &self.local_view, replicas: self.replicas(), now_ms: 1_000 };
        let need = Requirements {
            service: &service,
            model: model.as_ref(),
            adapter: adapter.as_ref(),
            excluded: &self.excluded,
            only: self.only.as_ref(),
        };
        choose(known, need, lot).map(|endpoint| endpoint.name.to_string())
    }
}

/// Decides for a request whose model will be ready in a time.
fn decide(route: &Route, elapsed_ms: u64, allowed_ms: u64, ready_in_ms: Option<u64>) -> Admission {
    let wait = Wait::new(route, elapsed_ms, allowed_ms);
    let outlook = ready_in_ms.map_or(Forecast::Unknown, |in_ms| Forecast::Ready { in_ms });
    admission::decide(wait, outlook)
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    the_longest_prefix_of_the_host_wins => {
        let mut other_host = route("/a/b/", STREAM);
        other_host.host = "other".to_owned();
        let table = RouteTable::new([
            route("/", STREAM), route("/a/", STREAM), route("/a/b/c/", STREAM), other_host,
        ]);
        let found = |path| table.find("h", path).map(|route| route.prefix.as_str());
        assert_eq!(found("/a/b/x"), Some("/a/"));
        assert_eq!(found("/a/b/c/"), Some("/a/b/c/"));
        assert_eq!(found("/a/b/c"), Some("/a/"));
        assert_eq!(found("/ab"), Some("/"));
        assert!(table.find("unknown", "/a/").is_none());
    }

    a_split_keeps_to_its_weights_and_to_the_request => {
        let mut split = route("/", STREAM);
        split.targets = vec![
            Target { service: "one".into(), weight: 90 },
            Target { service: "two".into(), weight: 10 },
        ];
        let to_two = (0..10_000).filter(|number| {
            split.target(&format!("id-{number}")) == Some(&ServiceName::from("two"))
        });
        assert!((800..1_200).contains(&to_two.count()));
        assert_eq!(split.target("id-7"), split.target("id-7"));
    }

    a_route_without_weights_leads_nowhere => {
        let mut split = route("/", STREAM);
        split.targets = vec![Target { service: "one".into(), weight: 0 }];
        assert_eq!(split.target("id"), None);
    }

    only_an_endpoint_with_the_model_is_chosen => {
        let scene = Scene::new(vec![endpoint("x", "z1", &["a"]), endpoint("y", "z2", &["b"])]);
        assert_eq!(scene.choose(Some("b"), None, 1).as_deref(), Some("y"));
        assert_eq!(scene.choose(Some("c"), None, 1), None);
    }

    a_model_that_is_going_is_not_used_and_one_that_arrived_is => {
        let mut scene = Scene::new(vec![endpoint("x", "z1", &["a"])]);
        let holds = endpoint("x", "z1", &["b"]).held;
        scene.note("x", EngineSummary { holds, running: 0 });
        assert_eq!(scene.choose(Some("a"), None, 1), None);
        assert_eq!(scene.choose(Some("b"), None, 1).as_deref(), Some("x"));
    }

    an_adapter_must_be_there_too => {
        let with = with_adapters(endpoint("x", "z1", &[]), "a", &["n"]);
        let scene = Scene::new(vec![with, endpoint("y", "z1", &["a"])]);
        for lot in 0..20 {
            assert_eq!(scene.choose(Some("a"), Some("n"), lot).as_deref(), Some("x"));
        }
        assert_eq!(scene.choose(Some("a"), Some("m"), 1), None);
    }

    load_is_evened_out_before_domains_are_kept_to => {
        let mut scene = Scene::new(vec![endpoint("far", "z2", &[]), endpoint("near", "z1", &[])]);
        assert_eq!(scene.choose(None, None, 1).as_deref(), Some("near"));
        scene.local_view.records.sent(&"near".into());
        assert_eq!(scene.choose(None, None, 1).as_deref(), Some("far"));
    }

    what_has_failed_this_request_or_lately_comes_last => {
        let mut scene = Scene::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z2", &[])]);
        (0..5).for_each(|_| scene.local_view.records.failed(&"x".into(), 900));
        assert_eq!(scene.choose(None, None, 1).as_deref(), Some("y"));
        scene.excluded.insert("y".into());
        assert_eq!(scene.choose(None, None, 1).as_deref(), Some("x"));
        scene.excluded.insert("x".into());
        assert_eq!(scene.choose(None, None, 1), None);
    }

    // A request was sent 1.2 s after its engine's address had refused connections six times.
    an_endpoint_that_cannot_be_reached_is_avoided_at_once => {
        let mut scene = Scene::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z2", &[])]);
        scene.local_view.records.unreachable(&"x".into(), 900);
        assert_eq!(scene.choose(None, None, 1).as_deref(), Some("y"));
    }

    // An endpoint that fails a part of its requests, its health good, never fails three
    // times in a row.
    one_that_fails_more_often_than_others_gets_less => {
        let mut scene = Scene::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z1", &[])]);
        for number in 0..40 {
            match number % 5 {
                0 | 3 => scene.local_view.records.failed(&"x".into(), 900),
                _ => scene.local_view.records.succeeded(&"x".into(), 900),
            }
            scene.local_view.records.succeeded(&"y".into(), 900);
        }
        for lot in 0..20 {
            assert_eq!(scene.choose(None, None, lot).as_deref(), Some("y"));
        }
        (0..3).for_each(|_| scene.local_view.records.sent(&"y".into()));
        assert_eq!(scene.choose(None, None, 1).as_deref(), Some("x"));
    }

    // Wrong once: all daemons took the engine that the leader had last called the least loaded.
    daemons_with_the_same_news_do_not_all_choose_the_same => {
        let names: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
        let mut scene = Scene::new(names.iter().map(|name| endpoint(name, "z1", &["a"])).collect());
        for (running, name) in names.iter().enumerate() {
            let holds = endpoint(name, "z1", &["a"]).held;
            scene.note(name, EngineSummary { holds, running: running as u32 });
        }
        let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
        for lot in 0..2_000 {
            *chosen.entry(scene.choose(Some("a"), None, lot).expect("one")).or_default() += 1;
        }
        assert!(chosen["e0"] < 500, "{chosen:?}");
        assert!(chosen["e0"] > chosen["e5"] && chosen["e5"] > chosen["e8"], "{chosen:?}");
        assert_eq!(chosen.get("e9"), None, "the most loaded");
    }

    a_request_that_has_been_everywhere_it_may_goes_back_there => {
        let mut scene = Scene::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z2", &[])]);
        scene.only = Some(BTreeSet::from(["y".into()]));
        assert_eq!(scene.choose(None, None, 1).as_deref(), Some("y"));
    }

    a_request_waits_for_a_load_that_ends_while_its_caller_stays => {
        let route = route("/", STREAM);
        for ready_in_ms in [1_200, 4_000, 9_500] {
            let waits = decide(&route, 100, 15_000, Some(ready_in_ms));
            assert_eq!(waits, Admission::Wait { until_ms: 9_850 }, "{ready_in_ms}");
        }
    }

    // Told to come back, it was refused again, or came when the model had gone.
    one_whose_caller_will_have_left_is_refused_at_once_with_the_time => {
        let route = route("/", STREAM);
        let told = decide(&route, 0, 45_000, Some(12_000));
        let Admission::Refuse { retry_after_ms, reason } = told else { panic!("it waits") };
        assert_eq!(reason, Reason::ReadyTooLate);
        assert!((12_000..12_500).contains(&retry_after_ms));
    }

    nobody_is_told_to_stay_away_longer_than_a_third_of_its_time => {
        let route = route("/", STREAM);
        let told = decide(&route, 0, 3_000, Some(60_000));
        assert!(matches!(told, Admission::Refuse { retry_after_ms: 1_000, .. }));
    }

    // 316 callers were held until they left for models that the leader called ready.
    one_that_nothing_here_takes_though_it_is_called_ready_is_refused_soon => {
        let wait = Wait::new(&route("/", STREAM), 300, 15_000);
        assert!(matches!(
            admission::decide(wait, Forecast::Here { for_ms: 100 }),
            Admission::Wait { .. }
        ));
        assert!(matches!(
            admission::decide(wait, Forecast::Here { for_ms: 900 }),
            Admission::Refuse { reason: Reason::Disagreement, .. }
        ));
    }

    without_a_leader_nobody_waits_and_before_its_answer_everybody => {
        let wait = Wait::new(&route("/", STREAM), 0, 15_000);
        let decided = |outlook| admission::decide(wait, outlook);
        assert!(matches!(decided(Forecast::NotReported), Admission::Wait { .. }));
        assert!(matches!(decided(Forecast::Unknown), Admission::Refuse { .. }));
    }

    callers_stay_for_the_longest_of_their_three_times => {
        let mut route = route("/", STREAM);
        assert_eq!(admission::caller_timeout_ms(&route, 25_000), 10_000);
        route.objective_ms = 400;
        assert_eq!(admission::caller_timeout_ms(&route, 25_000), 2_400);
        route.pause_ms = 10;
        assert_eq!(admission::caller_timeout_ms(&route, 25_000), 2_000);
        assert_eq!(admission::caller_timeout_ms(&route, 1_000), 1_000);
    }

    // BUDGET, malabar-sheets mix 659560929677: 180 further sends where 171 were allowed.
    // Requests that the budget does not count, and a window that was up to a second longer
    // than the one that is judged, let all daemons together send too often.
    shares_keep_to_the_budget_while_traffic_falls_and_not_all_of_it_counts => {
        let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        let mut shares: Vec<RetryShare> = (0..6).map(|_| RetryShare::default()).collect();
        let (mut counted, mut repeats) = (Vec::new(), Vec::new());
        for now_ms in (0..40_000).step_by(10) {
            let share = &mut shares[now_ms as usize / 10 % 6];
            let gap_ms = if now_ms < 25_000 { 10 } else { 40 };
            if now_ms % gap_ms == 0 {
                share.record_request(now_ms);
                // Every tenth only tests the configuration.
                if now_ms / gap_ms % 10 != 0 {
                    counted.push(now_ms);
                }
            }
            if share.spend(now_ms, &bounds, 6) {
                repeats.push(now_ms);
            }
        }
        let within = |times: &[u64], from_ms: u64| {
            times.iter().filter(|at| (from_ms..from_ms + 10_000).contains(*at)).count() as f64
        };
        for from_ms in (10_000..30_000u64).step_by(100) {
            let windows = [from_ms, from_ms - 5_000, from_ms - 10_000];
            let most = windows.map(|from_ms| within(&counted, from_ms)).into_iter().fold(0.0, f64::max);
            let (taken, allowed) = (within(&repeats, from_ms), 0.2 * most + 52.0);
            assert!(taken <= allowed, "{taken} of {allowed} from {from_ms}");
        }
    }

    // Whatever each daemon sees, all shares together keep to the budget in any window.
    shares_of_all_daemons_keep_to_the_budget => {
        let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        for seed in 0..50 {
            let mut lots = fastrand::Rng::with_seed(seed);
            let daemons = lots.usize(1..12);
            let mut shares: Vec<RetryShare> = (0..daemons).map(|_| RetryShare::default()).collect();
            let (mut requests, mut repeats) = (Vec::new(), Vec::new());
            for now_ms in (0..60_000).step_by(20) {
                let share = &mut shares[lots.usize(0..daemons)];
                if lots.u32(0..3) == 0 {
                    share.record_request(now_ms);
                    requests.push(now_ms);
                }
                if share.spend(now_ms, &bounds, daemons) {
                    repeats.push(now_ms);
                }
            }
            for end_ms in (10_000..60_000).step_by(500) {
                let count = |times: &[u64], from_ms: u64| {
                    times.iter().filter(|at| (from_ms..end_ms).contains(*at)).count() as f64
                };
                let allowed = 0.2 * count(&requests, end_ms - 10_000) + 52.0;
                let taken = count(&repeats, end_ms - 10_000);
                assert!(taken <= allowed, "seed {seed}: {taken} of {allowed} by {end_ms}");
            }
        }
    }
}
