//! Demand, as daemons report it to one leader and then to another.

use std::collections::BTreeMap;
use trestle_core::names::ModelName;
use trestle_dispatch::{
    demand::{Demand, DemandReport, Waiting},
    rates::{PastArrivals, Rates},
};

fn report(arrivals: &[(&str, u32)], past: Option<Vec<PastArrivals>>) -> DemandReport {
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
    // A leader that had just taken over treated every model as out of demand and evicted the
    // busiest.
    new_leader_learns_earlier_arrivals => {
        let mut daemon_rates = Rates::default();
        let mut old = Demand::default();
        for second in 0..20 {
            let now_ms = second * 1_000;
            daemon_rates.record_arrivals(&"busy".into(), 3, now_ms);
            old.report_received("vm".into(), report(&[("busy", 3)], None), now_ms);
        }
        daemon_rates.record_arrivals(&"rare".into(), 1, 20_000);
        old.report_received("vm".into(), report(&[("rare", 1)], None), 20_000);
        let mut new = Demand::default();
        let unsent = [("rare", 1)];
        new.report_received("vm".into(), report(&unsent, Some(daemon_rates.history(24_000))), 24_000);
        for model in ["busy", "rare"] {
            let (old_rate, new_rate) = (rate(&old, model, 24_000), rate(&new, model, 24_000));
            assert!((old_rate - new_rate).abs() < 0.01, "{model}: {old_rate} and {new_rate}");
        }
        let last_ms = new.rates().last_arrival_ms(&"rare".into());
        assert_eq!(last_ms, Some(20_000));
    }

    // The answer to the first report was lost, so the past arrivals are sent twice.
    past_arrivals_count_once_per_daemon => {
        let mut daemon_rates = Rates::default();
        daemon_rates.record_arrivals(&"a".into(), 8, 0);
        let mut demand = Demand::default();
        demand.report_received("vm".into(), report(&[], Some(daemon_rates.history(0))), 0);
        demand.report_received("vm".into(), report(&[("a", 1)], Some(daemon_rates.history(0))), 0);
        assert!((rate(&demand, "a", 0) - 9.0 / 8.0).abs() < 0.01);
        demand.report_received("other".into(), report(&[], Some(daemon_rates.history(0))), 0);
        assert!((rate(&demand, "a", 0) - 17.0 / 8.0).abs() < 0.01);
    }

    reported_history_is_bounded_and_drops_the_lowest_rates => {
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

    pending_demand_is_summed_over_daemons => {
        let mut demand = Demand::default();
        let waiting = |model: &str, count| Waiting {
            priority: 1, due_in_ms: 100, model: model.into(), adapter: None, count,
        };
        let with_waiting = |waiting| DemandReport { waiting, ..DemandReport::default() };
        demand.report_received("vm-1".into(), with_waiting(vec![waiting("a", 2), waiting("b", 3)]), 0);
        demand.report_received("vm-2".into(), with_waiting(vec![waiting("a", 2)]), 0);
        let values: BTreeMap<_, _> = demand.aggregate(0).iter().map(|w| (w.model.clone(), w.value)).collect();
        assert!(values["a"] > values["b"]);
        let urgent = DemandReport {
            waiting: vec![Waiting { priority: 0, ..waiting("c", 1) }],
            ..DemandReport::default()
        };
        demand.report_received("vm-3".into(), urgent, 0);
        assert_eq!(demand.aggregate(0)[0].model, &"c".into());
    }
}
