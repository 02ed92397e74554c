//! The leader's view of engines, from their entries and its own changes.

mod common;

use common::{endpoint, spec, with_disk};
use std::{collections::BTreeMap, sync::Arc};
use trestle_core::names::EndpointName;
use trestle_dispatch::{
    demand::{DemandReport, Waiting},
    directory::Directory,
    endpoint::Endpoint,
    orders::OrderAnswer,
    policy::{Mechanism, Policy},
    service_state::{ServiceState, StartedChange},
};

fn directory(engines: &[Endpoint]) -> BTreeMap<EndpointName, Arc<Endpoint>> {
    engines.iter().map(|engine| (engine.name.clone(), Arc::new(engine.clone()))).collect()
}

fn plan(
    state: &mut ServiceState,
    engines: &[Endpoint],
    orders_in_ms: u64,
    now_ms: u64,
) -> Vec<StartedChange> {
    let policy = Policy::default();
    state.plan(&spec(), &policy, &directory(engines), orders_in_ms, |_| true, now_ms)
}

fn add_report(state: &mut ServiceState, number: u64, models: &[&str], now_ms: u64) {
    let waiting = models.iter().map(|model| Waiting {
        priority: 1,
        due_in_ms: 1_000,
        model: (*model).into(),
        adapter: None,
        count: 1,
    });
    let demand_report =
        DemandReport { number, waiting: waiting.collect(), ..DemandReport::default() };
    state.demand.report_received("vm".into(), demand_report, now_ms);
}

fn view(
    state: &ServiceState,
    engines: &[Endpoint],
    now_ms: u64,
) -> trestle_dispatch::replicas::ReplicaView {
    let mut directory = Directory::new(2_000);
    directory.replace_all(engines.to_vec(), 0);
    state.view(&"s".into(), &directory, now_ms)
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    // A new leader ignored entries for 3 s, and a model that the previous leader had unloaded got
    // 350 requests.
    entry_is_used_at_once_if_no_order_was_given => {
        let mut state = ServiceState::default();
        let before = [endpoint("x", "z", &["a", "b"])];
        plan(&mut state, &before, 0, 1_000);
        let mut after = endpoint("x", "z", &["b"]);
        after.entry_number = 2;
        let after = [after];
        plan(&mut state, &after, 0, 1_100);
        let summary = &view(&state, &after, 1_100).engines[&EndpointName::from("x")];
        assert_eq!(summary.holds, after[0].held, "the report matches the entry");
    }

    // Callers of a model whose only engine reported a limit were refused for as long as it did.
    model_at_a_limited_engine_is_loaded_elsewhere_for_rejected_callers => {
        let engines = [endpoint("x", "z", &["a"]), with_disk(endpoint("y", "z", &["b"]), &["a"])];
        let mut state = ServiceState::default();
        add_report(&mut state, 1, &["a"], 1_000);
        assert!(plan(&mut state, &engines, 0, 1_000).is_empty(), "the model is loaded");
        state.set_limited([EndpointName::from("x")].into());
        assert!(plan(&mut ServiceState::default(), &engines, 0, 1_000).is_empty(), "there is no demand");
        add_report(&mut state, 2, &["a"], 1_100);
        let started = plan(&mut state, &engines, 0, 1_100);
        assert_eq!(started.len(), 1);
        assert_eq!((started[0].0.name.as_str(), started[0].1.model.as_str()), ("y", "a"));
        let summary = &view(&state, &engines, 1_100).engines[&EndpointName::from("x")];
        assert_eq!(summary.holds, engines[0].held, "what the engine holds is still reported");
    }

    older_entry_does_not_undo_a_change => {
        let engines = [with_disk(endpoint("x", "z", &["a", "b"]), &["c"])];
        let mut state = ServiceState::default();
        add_report(&mut state, 1, &["c"], 1_000);
        let (endpoint, _, mut chain) = plan(&mut state, &engines, 0, 1_000).remove(0);
        chain.apply_report(Some(&report(&endpoint)), 1_010);
        chain.apply_answer(OrderAnswer::Accepted, 1_020);
        chain.apply_answer(OrderAnswer::Fulfilled, 1_900);
        assert!(chain.is_done());
        state.finish_change(&endpoint.incarnation(), &chain, 1_900);
        plan(&mut state, &engines, 0, 2_000);
        let summary = &view(&state, &engines, 2_000).engines[&EndpointName::from("x")];
        assert!(summary.holds.contains_key("c"));
    }

    // A change that began at the engine's earlier incarnation ends after a restart; its result no
    // longer applies.
    end_of_a_change_at_an_earlier_incarnation_is_ignored => {
        let mut before = with_disk(endpoint("x", "z", &["a", "b"]), &["c"]);
        before.started_unix_ms = 10;
        let mut state = ServiceState::default();
        add_report(&mut state, 1, &["c"], 1_000);
        let (engine, _, mut chain) = plan(&mut state, &[before], 0, 1_000).remove(0);
        chain.apply_report(Some(&report(&engine)), 1_010);
        chain.apply_answer(OrderAnswer::Accepted, 1_020);
        chain.apply_answer(OrderAnswer::Fulfilled, 1_900);
        let mut after = endpoint("x", "z", &[]);
        (after.entry_number, after.started_unix_ms) = (1, 20);
        let after = [after];
        plan(&mut state, &after, 5_000, 1_950);
        state.finish_change(&engine.incarnation(), &chain, 2_000);
        plan(&mut state, &after, 5_000, 2_050);
        let summary = &view(&state, &after, 2_050).engines[&EndpointName::from("x")];
        assert!(summary.holds.is_empty(), "{summary:?}");
    }

    restarted_engine_may_get_orders_at_once => {
        let mut before = with_disk(endpoint("x", "z", &["a", "b"]), &["c"]);
        before.started_unix_ms = 10;
        let mut state = ServiceState::default();
        add_report(&mut state, 1, &["c"], 1_000);
        let (engine, _, mut chain) = plan(&mut state, &[before.clone()], 0, 1_000).remove(0);
        for at_ms in [1_010, 1_510, 2_010, 2_510, 3_010] {
            chain.apply_report(None, at_ms);
        }
        state.finish_change(&engine.incarnation(), &chain, 3_020);
        let mut after = with_disk(endpoint("x", "z", &[]), &["c"]);
        (after.entry_number, after.started_unix_ms) = (1, 20);
        add_report(&mut state, 2, &["c"], 3_030);
        let started = plan(&mut state, &[after], 0, 3_030);
        assert_eq!(started.len(), 1);
        assert_eq!(started[0].0.started_unix_ms, 20);
    }

    last_planned_is_the_last_report_that_a_plan_included => {
        let engines = [endpoint("x", "z", &["a"])];
        let mut state = ServiceState::default();
        add_report(&mut state, 4, &["b"], 1_000);
        assert_eq!(state.demand.last_planned(&"vm".into()), 0);
        plan(&mut state, &engines, 0, 1_010);
        assert_eq!(state.demand.last_planned(&"vm".into()), 4);
        add_report(&mut state, 5, &["b"], 1_020);
        assert_eq!(state.demand.last_planned(&"vm".into()), 4);
    }

    before_orders_are_allowed_no_change_begins_and_ready_times_are_later => {
        let engines = [with_disk(endpoint("x", "z", &["a", "b", "d"]), &["c"])];
        let ready = |orders_in_ms| {
            let mut state = ServiceState::default();
            add_report(&mut state, 1, &["c"], 1_000);
            let started = plan(&mut state, &engines, orders_in_ms, 1_000).len();
            let view = view(&state, &engines, 1_000);
            (started, *view.ready_in_ms.values().next().expect("there is demand"))
        };
        let ((at_once, soon_ms), (later, late_ms)) = (ready(0), ready(3_000));
        assert_eq!((at_once, later), (1, 0));
        assert_eq!(late_ms, soon_ms + 3_000);
    }

    ready_times_count_down_after_a_plan => {
        let engines = [with_disk(endpoint("x", "z", &["a", "b", "d"]), &["c"])];
        let mut state = ServiceState::default();
        add_report(&mut state, 1, &["c"], 1_000);
        plan(&mut state, &engines, 0, 1_000);
        let ready_ms = |now_ms| {
            *view(&state, &engines, now_ms).ready_in_ms.values().next().expect("there is demand")
        };
        assert_eq!(ready_ms(1_400), ready_ms(1_000) - 400);
        assert_eq!(ready_ms(9_000), 1, "only a loaded model is ready now");
    }

    each_mechanism_parses_from_its_name => {
        for mechanism in Mechanism::ALL {
            assert_eq!(mechanism.name().parse(), Ok(mechanism));
        }
        let error = "no_such".parse::<Mechanism>().expect_err("no mechanism has this name");
        assert!(error.to_string().contains("two_choices"), "{error}");
    }
}

fn report(endpoint: &Endpoint) -> trestle_dispatch::endpoint::EngineReport {
    trestle_dispatch::endpoint::EngineReport {
        started_unix_ms: endpoint.started_unix_ms,
        held: endpoint.held.clone(),
        is_busy: false,
        order_count: 0,
        waiting: 0,
        running: 0,
    }
}
