//! What is asked for, as daemons tell it to one leader and then to another.

use std::collections::BTreeMap;
use trestle_core::names::ModelName;
use trestle_dispatch::{
    demand::{Demand, DemandReport, Waiting},
    rates::{PastArrivals, Rates},
};

fn digest(arrivals: &[(&str, u32)], past: Option<Vec<PastArrivals>>) -> DemandReport {
    let arrivals = arrivals.iter().map(|(model, count)| (ModelName::from(*model), *count));
    DemandReport { arrivals: arrivals.collect(), past, ..DemandReport::default() }
}

fn rate(demand: &Demand, model: &str, now_ms: u64) -> f64 {
    demand.rates().per_s(&model.into(), now_ms)
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    // Wrong once: a leader that had just taken over held every model for out of demand, and
    // evicted the busiest.
    a_new_leader_knows_what_was_asked_for_before => {
        let mut of_daemon = Rates::default();
        let mut old = Demand::default();
        for second in 0..20 {
            let now_ms = second * 1_000;
            of_daemon.record_arrivals(&"busy".into(), 3, now_ms);
            old.report_received("vm".into(), digest(&[("busy", 3)], None), now_ms);
        }
        of_daemon.record_arrivals(&"rare".into(), 1, 20_000);
        old.report_received("vm".into(), digest(&[("rare", 1)], None), 20_000);
        let mut new = Demand::default();
        let unsent = [("rare", 1)];
        new.report_received("vm".into(), digest(&unsent, Some(of_daemon.history(24_000))), 24_000);
        for model in ["busy", "rare"] {
            let (was, is) = (rate(&old, model, 24_000), rate(&new, model, 24_000));
            assert!((was - is).abs() < 0.01, "{model}: {was} and {is}");
        }
        let last_ms = new.rates().last_arrival_ms(&"rare".into());
        assert_eq!(last_ms, Some(20_000));
    }

    // The answer to the first telling was lost, so it comes again.
    what_is_remembered_counts_once => {
        let mut of_daemon = Rates::default();
        of_daemon.record_arrivals(&"a".into(), 8, 0);
        let mut demand = Demand::default();
        demand.report_received("vm".into(), digest(&[], Some(of_daemon.history(0))), 0);
        demand.report_received("vm".into(), digest(&[("a", 1)], Some(of_daemon.history(0))), 0);
        assert!((rate(&demand, "a", 0) - 9.0 / 8.0).abs() < 0.01);
        demand.report_received("other".into(), digest(&[], Some(of_daemon.history(0))), 0);
        assert!((rate(&demand, "a", 0) - 17.0 / 8.0).abs() < 0.01);
    }

    what_is_told_is_bounded_and_leaves_out_the_least => {
        let mut rates = Rates::default();
        for number in 0..500_u32 {
            rates.record_arrivals(&format!("m{number}").as_str().into(), 1 + number, 0);
        }
        let past = rates.history(0);
        assert!(past.len() <= 64);
        assert!(past.iter().all(|arrivals| arrivals.weight_milli > 400_000));
        rates.forget(100_000);
        assert_eq!(rates.iter(100_000).count(), 0);
    }

    wants_are_added_up_over_daemons => {
        let mut demand = Demand::default();
        let waiting = |model: &str, count| Waiting {
            priority: 1, due_in_ms: 100, model: model.into(), adapter: None, count,
        };
        let told = |waiting| DemandReport { waiting, ..DemandReport::default() };
        demand.report_received("vm-1".into(), told(vec![waiting("a", 2), waiting("b", 3)]), 0);
        demand.report_received("vm-2".into(), told(vec![waiting("a", 2)]), 0);
        let wants: BTreeMap<_, _> = demand.aggregate(0).iter().map(|w| (w.model.clone(), w.value)).collect();
        assert!(wants["a"] > wants["b"]);
        let first = DemandReport {
            waiting: vec![Waiting { priority: 0, ..waiting("c", 1) }],
            ..DemandReport::default()
        };
        demand.report_received("vm-3".into(), first, 0);
        assert_eq!(demand.aggregate(0)[0].model, &"c".into());
    }
}
