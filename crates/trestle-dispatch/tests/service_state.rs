//! What the leader knows of engines, from their entries and from its own changes.

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

fn tell(state: &mut ServiceState, number: u64, models: &[&str], now_ms: u64) {
    let waiting = models.iter().map(|model| Waiting {
        priority: 1,
        due_in_ms: 1_000,
        model: (*model).into(),
        adapter: None,
        count: 1,
    });
    let digest = DemandReport { number, waiting: waiting.collect(), ..DemandReport::default() };
    state.demand.report_received("vm".into(), digest, now_ms);
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
    // Wrong once: a new leader did not believe entries for 3 s, and a model that the one
    // before had unloaded got 350 requests.
    an_entry_is_followed_at_once_where_nothing_was_ordered => {
        let mut state = ServiceState::default();
        let before = [endpoint("x", "z", &["a", "b"])];
        plan(&mut state, &before, 0, 1_000);
        let mut after = endpoint("x", "z", &["b"]);
        after.entry_number = 2;
        let after = [after];
        plan(&mut state, &after, 0, 1_100);
        let note = &view(&state, &after, 1_100).engines[&EndpointName::from("x")];
        assert_eq!(note.holds, after[0].held, "nothing differs from the entry");
    }

    // Callers of a model whose only engine names a limit were refused for as long as it did.
    a_model_whose_engine_names_a_limit_is_brought_in_elsewhere_for_who_is_turned_away => {
        let engines = [endpoint("x", "z", &["a"]), with_disk(endpoint("y", "z", &["b"]), &["a"])];
        let mut state = ServiceState::default();
        tell(&mut state, 1, &["a"], 1_000);
        assert!(plan(&mut state, &engines, 0, 1_000).is_empty(), "it is there");
        state.set_limited([EndpointName::from("x")].into());
        assert!(plan(&mut ServiceState::default(), &engines, 0, 1_000).is_empty(), "nobody waits");
        tell(&mut state, 2, &["a"], 1_100);
        let begun = plan(&mut state, &engines, 0, 1_100);
        assert_eq!(begun.len(), 1);
        assert_eq!((begun[0].0.name.as_str(), begun[0].1.model.as_str()), ("y", "a"));
        let note = &view(&state, &engines, 1_100).engines[&EndpointName::from("x")];
        assert_eq!(note.holds, engines[0].held, "what it holds is told all the same");
    }

    an_older_entry_does_not_undo_a_change => {
        let engines = [with_disk(endpoint("x", "z", &["a", "b"]), &["c"])];
        let mut state = ServiceState::default();
        tell(&mut state, 1, &["c"], 1_000);
        let (endpoint, _, mut chain) = plan(&mut state, &engines, 0, 1_000).remove(0);
        chain.apply_report(Some(&report(&endpoint)), 1_010);
        chain.apply_answer(OrderAnswer::Accepted, 1_020);
        chain.apply_answer(OrderAnswer::Fulfilled, 1_900);
        assert!(chain.is_done());
        state.finish_change(&endpoint.incarnation(), &chain, 1_900);
        plan(&mut state, &engines, 0, 2_000);
        let note = &view(&state, &engines, 2_000).engines[&EndpointName::from("x")];
        assert!(note.holds.contains_key("c"));
    }

    // A change that was begun at the engine's earlier start ends after the later one: what it
    // says of the engine is not so any more.
    the_end_of_a_change_before_an_engine_started_again_says_nothing => {
        let mut before = with_disk(endpoint("x", "z", &["a", "b"]), &["c"]);
        before.started_unix_ms = 10;
        let mut state = ServiceState::default();
        tell(&mut state, 1, &["c"], 1_000);
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
        let note = &view(&state, &after, 2_050).engines[&EndpointName::from("x")];
        assert!(note.holds.is_empty(), "{note:?}");
    }

    an_engine_that_started_again_may_get_orders_at_once => {
        let mut before = with_disk(endpoint("x", "z", &["a", "b"]), &["c"]);
        before.started_unix_ms = 10;
        let mut state = ServiceState::default();
        tell(&mut state, 1, &["c"], 1_000);
        let (engine, _, mut chain) = plan(&mut state, &[before.clone()], 0, 1_000).remove(0);
        for at_ms in [1_010, 1_510, 2_010, 2_510, 3_010] {
            chain.apply_report(None, at_ms);
        }
        state.finish_change(&engine.incarnation(), &chain, 3_020);
        let mut after = with_disk(endpoint("x", "z", &[]), &["c"]);
        (after.entry_number, after.started_unix_ms) = (1, 20);
        tell(&mut state, 2, &["c"], 3_030);
        let begun = plan(&mut state, &[after], 0, 3_030);
        assert_eq!(begun.len(), 1);
        assert_eq!(begun[0].0.started_unix_ms, 20);
    }

    a_daemon_hears_which_of_its_tellings_a_plan_has_looked_at => {
        let engines = [endpoint("x", "z", &["a"])];
        let mut state = ServiceState::default();
        tell(&mut state, 4, &["b"], 1_000);
        assert_eq!(state.demand.last_planned(&"vm".into()), 0);
        plan(&mut state, &engines, 0, 1_010);
        assert_eq!(state.demand.last_planned(&"vm".into()), 4);
        tell(&mut state, 5, &["b"], 1_020);
        assert_eq!(state.demand.last_planned(&"vm".into()), 4);
    }

    before_orders_may_be_given_nothing_is_changed_and_all_is_ready_that_much_later => {
        let engines = [with_disk(endpoint("x", "z", &["a", "b", "d"]), &["c"])];
        let ready = |orders_in_ms| {
            let mut state = ServiceState::default();
            tell(&mut state, 1, &["c"], 1_000);
            let begun = plan(&mut state, &engines, orders_in_ms, 1_000).len();
            let view = view(&state, &engines, 1_000);
            (begun, *view.ready_in_ms.values().next().expect("something is waited for"))
        };
        let ((at_once, soon_ms), (later, late_ms)) = (ready(0), ready(3_000));
        assert_eq!((at_once, later), (1, 0));
        assert_eq!(late_ms, soon_ms + 3_000);
    }

    what_a_plan_has_said_grows_old => {
        let engines = [with_disk(endpoint("x", "z", &["a", "b", "d"]), &["c"])];
        let mut state = ServiceState::default();
        tell(&mut state, 1, &["c"], 1_000);
        plan(&mut state, &engines, 0, 1_000);
        let ready_ms = |now_ms| {
            *view(&state, &engines, now_ms).ready_in_ms.values().next().expect("it is waited for")
        };
        assert_eq!(ready_ms(1_400), ready_ms(1_000) - 400);
        assert_eq!(ready_ms(9_000), 1, "only what is there is ready now");
    }

    each_mechanism_is_known_by_its_name => {
        for mechanism in Mechanism::ALL {
            assert_eq!(mechanism.name().parse(), Ok(mechanism));
        }
        let error = "no_such".parse::<Mechanism>().expect_err("there is none");
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
