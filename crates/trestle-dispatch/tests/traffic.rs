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

struct Fixture {
    local_view: LocalView,
    excluded: BTreeSet<EndpointName>,
    only: Option<BTreeSet<EndpointName>>,
}

impl Fixture {
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

    fn set_summary(&mut self, engine: &str, summary: EngineSummary) {
        let view = self.local_view.replicas.get_mut("s").expect("a view");
        view.engines.insert(engine.into(), summary);
    }

    fn choose(&self, model: Option<&str>, adapter: Option<&str>, random: u64) -> Option<String> {
        let (model, adapter) = (model.map(ModelName::from), adapter.map(AdapterName::from));
        let service = ServiceName::from("s");
        let inputs =
            ChoiceInputs { local_view: &self.local_view, replicas: self.replicas(), now_ms: 1_000 };
        let requirements = Requirements {
            version: None,
            service: &service,
            model: model.as_ref(),
            adapter: adapter.as_ref(),
            excluded: &self.excluded,
            only: self.only.as_ref(),
        };
        choose(inputs, requirements, random).map(|endpoint| endpoint.name.to_string())
    }
}

/// Decides on a request whose model will be ready after a time.
fn decide(route: &Route, elapsed_ms: u64, allowed_ms: u64, ready_in_ms: Option<u64>) -> Admission {
    let wait = Wait::new(route, elapsed_ms, allowed_ms);
    let forecast = ready_in_ms.map_or(Forecast::Unknown, |in_ms| Forecast::Ready { in_ms });
    admission::decide(wait, forecast)
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    longest_prefix_of_the_host_wins => {
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

    split_follows_its_weights_and_is_stable_per_request => {
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

    route_without_weights_has_no_target => {
        let mut split = route("/", STREAM);
        split.targets = vec![Target { service: "one".into(), weight: 0 }];
        assert_eq!(split.target("id"), None);
    }

    only_an_endpoint_with_the_model_is_chosen => {
        let fixture = Fixture::new(vec![endpoint("x", "z1", &["a"]), endpoint("y", "z2", &["b"])]);
        assert_eq!(fixture.choose(Some("b"), None, 1).as_deref(), Some("y"));
        assert_eq!(fixture.choose(Some("c"), None, 1), None);
    }

    model_being_evicted_is_not_used_and_a_loaded_one_is => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z1", &["a"])]);
        let holds = endpoint("x", "z1", &["b"]).held;
        fixture.set_summary("x", EngineSummary { holds, running: 0 });
        assert_eq!(fixture.choose(Some("a"), None, 1), None);
        assert_eq!(fixture.choose(Some("b"), None, 1).as_deref(), Some("x"));
    }

    adapter_must_be_loaded_too => {
        let with = with_adapters(endpoint("x", "z1", &[]), "a", &["n"]);
        let fixture = Fixture::new(vec![with, endpoint("y", "z1", &["a"])]);
        for random in 0..20 {
            assert_eq!(fixture.choose(Some("a"), Some("n"), random).as_deref(), Some("x"));
        }
        assert_eq!(fixture.choose(Some("a"), Some("m"), 1), None);
    }

    load_balance_comes_before_the_own_domain => {
        let mut fixture = Fixture::new(vec![endpoint("far", "z2", &[]), endpoint("near", "z1", &[])]);
        assert_eq!(fixture.choose(None, None, 1).as_deref(), Some("near"));
        fixture.local_view.records.sent(&"near".into());
        assert_eq!(fixture.choose(None, None, 1).as_deref(), Some("far"));
    }

    excluded_or_recently_failing_endpoints_come_last => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z2", &[])]);
        (0..5).for_each(|_| fixture.local_view.records.failed(&"x".into(), 900));
        assert_eq!(fixture.choose(None, None, 1).as_deref(), Some("y"));
        fixture.excluded.insert("y".into());
        assert_eq!(fixture.choose(None, None, 1).as_deref(), Some("x"));
        fixture.excluded.insert("x".into());
        assert_eq!(fixture.choose(None, None, 1), None);
    }

    // A request was sent to an engine 1.2 s after its address had refused connections six times.
    unreachable_endpoint_is_avoided_at_once => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z2", &[])]);
        fixture.local_view.records.unreachable(&"x".into(), 900);
        assert_eq!(fixture.choose(None, None, 1).as_deref(), Some("y"));
    }

    // Requests that were sent at the same time failed one after the other, and each failure doubled
    // the pause up to 30 s.
    endpoint_that_was_silent_for_a_second_is_used_again_soon => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z1", &[])]);
        let records = &mut fixture.local_view.records;
        for failed_ms in (300..1_300).step_by(50) {
            records.unreachable(&"x".into(), failed_ms);
        }
        assert!(records.of(&"x".into()).health.is_avoided(1_299));
        assert!(!records.of(&"x".into()).health.is_avoided(2_300));
    }

    endpoint_that_stays_silent_is_tried_less_and_less_often => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z1", &[])]);
        let records = &mut fixture.local_view.records;
        let mut tries = 0;
        for now_ms in (0..60_000).step_by(100) {
            if !records.of(&"x".into()).health.is_avoided(now_ms) {
                records.unreachable(&"x".into(), now_ms);
                tries += 1;
            }
        }
        assert!((5..=7).contains(&tries), "{tries}");
    }

    // An endpoint that fails some of its requests stays healthy if it never fails three in a row.
    endpoint_with_more_failures_gets_fewer_requests => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z1", &[])]);
        for number in 0..40 {
            match number % 5 {
                0 | 3 => fixture.local_view.records.failed(&"x".into(), 900),
                _ => fixture.local_view.records.succeeded(&"x".into(), 900),
            }
            fixture.local_view.records.succeeded(&"y".into(), 900);
        }
        for random in 0..20 {
            assert_eq!(fixture.choose(None, None, random).as_deref(), Some("y"));
        }
        (0..3).for_each(|_| fixture.local_view.records.sent(&"y".into()));
        assert_eq!(fixture.choose(None, None, 1).as_deref(), Some("x"));
    }

    // All daemons chose the engine that the leader had last reported as the least loaded.
    daemons_with_the_same_view_choose_different_endpoints => {
        let names: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
        let mut fixture = Fixture::new(names.iter().map(|name| endpoint(name, "z1", &["a"])).collect());
        for (running, name) in names.iter().enumerate() {
            let holds = endpoint(name, "z1", &["a"]).held;
            fixture.set_summary(name, EngineSummary { holds, running: running as u32 });
        }
        let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
        for random in 0..2_000 {
            *chosen.entry(fixture.choose(Some("a"), None, random).expect("one")).or_default() += 1;
        }
        assert!(chosen["e0"] < 500, "{chosen:?}");
        assert!(chosen["e0"] > chosen["e5"] && chosen["e5"] > chosen["e8"], "{chosen:?}");
        assert_eq!(chosen.get("e9"), None, "the most loaded");
    }

    request_with_no_new_endpoint_allowed_returns_to_an_earlier_one => {
        let mut fixture = Fixture::new(vec![endpoint("x", "z1", &[]), endpoint("y", "z2", &[])]);
        fixture.only = Some(BTreeSet::from(["y".into()]));
        assert_eq!(fixture.choose(None, None, 1).as_deref(), Some("y"));
    }

    request_waits_for_a_load_that_ends_before_its_caller_gives_up => {
        let route = route("/", STREAM);
        for ready_in_ms in [1_200, 4_000, 9_500] {
            let waits = decide(&route, 100, 15_000, Some(ready_in_ms));
            assert_eq!(waits, Admission::Wait { until_ms: 9_850 }, "{ready_in_ms}");
        }
    }

    // A caller that was told to retry was refused again, or the model had been evicted by then.
    request_is_refused_with_the_time_if_its_caller_would_give_up_first => {
        let route = route("/", STREAM);
        let decision = decide(&route, 0, 45_000, Some(12_000));
        let Admission::Refuse { retry_after_ms, reason } = decision else { panic!("the request waits") };
        assert_eq!(reason, Reason::ReadyTooLate);
        assert!((12_000..12_500).contains(&retry_after_ms));
    }

    retry_delay_is_at_most_a_third_of_the_remaining_time => {
        let route = route("/", STREAM);
        let decision = decide(&route, 0, 3_000, Some(60_000));
        assert!(matches!(decision, Admission::Refuse { retry_after_ms: 1_000, .. }));
    }

    // 316 requests waited until their callers gave up, for models that the leader reported as
    // ready.
    request_is_refused_soon_if_no_endpoint_accepts_a_ready_model => {
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

    requests_wait_for_the_leaders_first_report_but_not_without_a_leader => {
        let wait = Wait::new(&route("/", STREAM), 0, 15_000);
        let decided = |forecast| admission::decide(wait, forecast);
        assert!(matches!(decided(Forecast::NotReported), Admission::Wait { .. }));
        assert!(matches!(decided(Forecast::Unknown), Admission::Refuse { .. }));
    }

    caller_timeout_is_the_longest_of_three_times => {
        let mut route = route("/", STREAM);
        assert_eq!(admission::caller_timeout_ms(&route, 25_000), 10_000);
        route.objective_ms = 400;
        assert_eq!(admission::caller_timeout_ms(&route, 25_000), 2_400);
        route.pause_ms = 10;
        assert_eq!(admission::caller_timeout_ms(&route, 25_000), 2_000);
        assert_eq!(admission::caller_timeout_ms(&route, 1_000), 1_000);
    }

    // In a random simulated scenario (seed 659560929677), all daemons together made 180 further
    // sends in 10 s where 171 were allowed: they also counted requests that the budget does not
    // count, over a window up to a second longer than the one that is checked.
    shares_keep_the_budget_while_traffic_falls_and_some_requests_do_not_count => {
        let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        let mut shares: Vec<RetryShare> = (0..6).map(|_| RetryShare::default()).collect();
        let (mut counted, mut repeats) = (Vec::new(), Vec::new());
        for now_ms in (0..40_000).step_by(10) {
            let share = &mut shares[now_ms as usize / 10 % 6];
            let gap_ms = if now_ms < 25_000 { 10 } else { 40 };
            if now_ms % gap_ms == 0 {
                share.record_request(now_ms, &bounds, 6);
                // Every tenth request only tests the configuration.
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
            let max_counted = windows.map(|from_ms| within(&counted, from_ms)).into_iter().fold(0.0, f64::max);
            let (spent, allowed) = (within(&repeats, from_ms), 0.2 * max_counted + 52.0);
            assert!(spent <= allowed, "{spent} of {allowed} from {from_ms}");
        }
    }

    // Whatever each daemon observes, all shares together must keep the budget in any window.
    shares_of_all_daemons_keep_the_budget => {
        let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        for seed in 0..50 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let daemons = rng.usize(1..12);
            let mut shares: Vec<RetryShare> = (0..daemons).map(|_| RetryShare::default()).collect();
            let (mut requests, mut repeats) = (Vec::new(), Vec::new());
            for now_ms in (0..60_000).step_by(20) {
                let share = &mut shares[rng.usize(0..daemons)];
                if rng.u32(0..3) == 0 {
                    share.record_request(now_ms, &bounds, daemons);
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
                let spent = count(&repeats, end_ms - 10_000);
                assert!(spent <= allowed, "seed {seed}: {spent} of {allowed} by {end_ms}");
            }
        }
    }
}
