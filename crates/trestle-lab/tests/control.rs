//! Control of hundreds of daemons, with links and processors in virtual time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::env;
use trestle_lab::control::{
    Clocks, ControlFault, ControlPlan, Leaders, LeaseRows, Outcome, Telling, play,
};

const LARGE: &str = include_str!("../../../examples/lab/control-large.jsonc");
const ONE_LEADER: &str = include_str!("../../../examples/lab/control-one-leader.jsonc");

/// 295 daemons on small VMs before 256 engines, for half a minute.
fn large(text: &str) -> ControlPlan {
    let mut plan = ControlPlan::parse(text, "a plan").expect("the example is in order");
    plan.duration_s = 34.0;
    plan
}

/// The same with few daemons in three failure domains.
fn small() -> ControlPlan {
    let mut plan = large(LARGE);
    (plan.vms[0].count, plan.domains, plan.engines, plan.models) = (6, 3, 9, 50);
    plan.changes_per_s = 4.0;
    plan
}

/// A plan whose leaders are suspended once or twice, for 0.5 to 30 s, as a seed says.
fn suspended(mut plan: ControlPlan, seed: u64) -> ControlPlan {
    let mut lots = ChaCha8Rng::seed_from_u64(seed);
    let for_s = lots.random_range(0.5..30.0);
    let at_s = lots.random_range(9.0..11.0);
    plan.faults.push(ControlFault::SuspendLeaders { at_s, for_s });
    if for_s < 8.0 {
        let again_s = at_s + for_s + lots.random_range(0.0..6.0);
        plan.faults.push(ControlFault::SuspendLeaders { at_s: again_s, for_s: 1.0 + for_s });
    }
    plan.duration_s = 52.0;
    plan
}

/// Seeds that a test plays; `TRESTLE_SEEDS` has it play so many times as many.
fn seeds(few: u64) -> std::ops::Range<u64> {
    let times = env::var("TRESTLE_SEEDS").ok().and_then(|text| text.parse().ok());
    0..few * times.unwrap_or(1)
}

fn longest_without_orders_s(outcome: &Outcome) -> f64 {
    outcome.orderless_s.values().copied().fold(0.0, f64::max)
}

macro_rules! days {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

days! {
    // The load that one leader for all fell over under: its renewals stood behind its answers,
    // each leader after it was choked in the same way, and none got to give an order.
    a_leader_for_each_domain_holds_where_one_for_all_falls_over => {
        let (old, new) = (play(&large(ONE_LEADER), 1), play(&large(LARGE), 1));
        assert!(old.takeovers > 3 && longest_without_orders_s(&old) > 10.0, "{old}");
        assert_eq!(new.takeovers, 5, "{new}");
        assert!(longest_without_orders_s(&new) < 0.5, "{new}");
        assert!(new.store_calls * 4 < old.store_calls, "{new}");
    }

    // Each part by itself does not carry it.
    neither_domains_nor_changes_alone_are_enough => {
        let mut by_name = large(LARGE);
        by_name.telling = Telling::Whole { answer_bytes: 13_000 };
        let mut one = large(LARGE);
        one.leaders = Leaders::One;
        let both = play(&large(LARGE), 1);
        for half in [by_name, one] {
            let outcome = play(&half, 1);
            assert!(outcome.most_bytes_per_s > 1.3 * both.most_bytes_per_s, "{outcome}");
        }
    }

    a_configuration_is_in_force_within_its_bound => {
        let outcome = play(&large(LARGE), 1);
        assert!(outcome.config_ms < 4_000, "{outcome}");
    }

    // Wrong once: a domain's daemons had lost the store, another domain's leader led their
    // engines too, and 118 daemons at once were due 60 KB each. It lost both leases.
    a_configuration_that_is_passed_on_whole_costs_a_leader_of_two_domains_its_leases => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::CutFromStore { at_s: 10.0, for_s: 12.0, domain: 2 });
        let by_change = play(&plan, 1);
        plan.config_bytes = 60_000;
        let whole = play(&plan, 1);
        assert_eq!(by_change.takeovers, 6, "{by_change}");
        assert!(whole.takeovers > 6, "{whole}");
    }

    all_have_leaders_again_seconds_after_all_were_killed => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::KillAll { at_s: 15.0, for_s: 2.0 });
        for seed in 1..4 {
            let outcome = play(&plan, seed);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            // A lease of 2 s and a quiet time of 3 s are over 3.6 s after the return.
            assert!(outcome.recovered_ms < 5_000, "{outcome}");
        }
    }

    a_domain_that_loses_the_store_leaves_its_engines_to_others_and_no_other_domain_notices => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::CutFromStore { at_s: 10.0, for_s: 12.0, domain: 2 });
        for seed in 1..4 {
            let outcome = play(&plan, seed);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            let without_s = |group: &str| outcome.orderless_s.get(group).copied();
            assert!(without_s("d2").is_some_and(|s| s < 12.0), "{outcome}");
            for other in ["d0", "d1", "d3", "d4"] {
                assert!(without_s(other).is_none_or(|s| s < 0.5), "{outcome}");
            }
        }
    }

    leaders_that_are_killed_are_replaced_within_a_lease_and_the_quiet_time => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::KillLeaders { at_s: 12.0, for_s: 4.0 });
        for seed in 1..4 {
            let outcome = play(&plan, seed);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            assert!(longest_without_orders_s(&outcome) < 6.5, "{outcome}");
        }
    }

    // A leader that wakes finds its lease run out, whatever its successors did meanwhile.
    leaders_that_were_suspended_give_no_orders_beside_their_successors => {
        for seed in seeds(20) {
            let outcome = play(&suspended(small(), seed), seed);
            assert_eq!(outcome.overlaps, 0, "seed {seed}: {outcome}");
        }
    }

    nor_do_those_of_hundreds_of_daemons => {
        for seed in seeds(1) {
            let outcome = play(&suspended(large(LARGE), seed), seed);
            assert_eq!(outcome.overlaps, 0, "seed {seed}: {outcome}");
        }
    }

    // The same by clocks that stand still meanwhile: this is what the clock is for.
    by_clocks_that_stand_still_they_do => {
        let overlaps = seeds(5).map(|seed| {
            let plan = ControlPlan { clocks: Clocks::Standing, ..suspended(small(), seed) };
            play(&plan, seed).overlaps
        });
        assert!(overlaps.sum::<u64>() > 0);
    }

    // The load of a store that took 384 ms for a transaction: five leaders that renew in one
    // partition stand behind each other, and the last waits for longer than its lease holds.
    a_slow_store_costs_no_leader_its_lease_where_each_has_its_own_partition => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::SlowStore { at_s: 9.0, for_s: 4.0, times: 48.0 });
        for seed in 1..4 {
            let apart = play(&plan, seed);
            assert_eq!((apart.takeovers, apart.overlaps), (5, 0), "{apart}");
            assert!(longest_without_orders_s(&apart) < 0.5, "{apart}");
        }
        plan.lease_rows = LeaseRows::Together;
        let together = play(&plan, 1);
        assert!(together.takeovers > 5, "{together}");
    }

    // Every daemon that may take a free lease writes, and each of these writes takes as long: the
    // store refuses what waits for over a second, and daemons try again ever more rarely.
    orders_are_back_seconds_after_a_store_was_far_too_slow => {
        for (times, for_s) in [(150.0, 6.0), (400.0, 4.0)] {
            let mut plan = large(LARGE);
            plan.faults.push(ControlFault::SlowStore { at_s: 9.0, for_s, times });
            let outcome = play(&plan, 1);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            assert!(outcome.recovered_ms < 5_000, "{outcome}");
        }
    }

    the_same_seed_gives_the_same_day => {
        let plan = large(LARGE);
        assert_eq!(play(&plan, 5), play(&plan, 5));
        assert_ne!(play(&plan, 5), play(&plan, 6));
    }

    a_plan_that_cannot_be_played_is_refused_with_the_place => {
        let broken = LARGE.replace("\"domains\": 5", "\"domains\": 0");
        let error = ControlPlan::parse(&broken, "a plan").expect_err("it has no domain");
        assert!(error.to_string().contains("domains"), "{error}");
    }
}
