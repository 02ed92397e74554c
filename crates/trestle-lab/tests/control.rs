//! Tests of the control plane with hundreds of daemons, with their links and processors in virtual
//! time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::env;
use trestle_lab::control::{
    AnswerFormat, Clocks, ControlFault, ControlPlan, Leaders, LeaseRows, Outcome, run,
};

const LARGE: &str = include_str!("../../../examples/lab/control-large.jsonc");
const ONE_LEADER: &str = include_str!("../../../examples/lab/control-one-leader.jsonc");

/// Returns a plan with 295 daemons on small VMs and 256 engines, for 34 s.
fn large(text: &str) -> ControlPlan {
    let mut plan = ControlPlan::parse(text, "a plan").expect("the example is valid");
    plan.duration_s = 34.0;
    plan
}

/// Returns the large plan reduced to a few daemons in three failure domains.
fn small() -> ControlPlan {
    let mut plan = large(LARGE);
    (plan.vms[0].count, plan.domains, plan.engines, plan.models) = (6, 3, 9, 50);
    plan.changes_per_s = 4.0;
    plan
}

/// Adds one or two suspensions of all leaders to a plan; the first lasts 0.5 to 30 s, by the seed.
fn suspended(mut plan: ControlPlan, seed: u64) -> ControlPlan {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let for_s = random.random_range(0.5..30.0);
    let at_s = random.random_range(9.0..11.0);
    plan.faults.push(ControlFault::SuspendLeaders { at_s, for_s });
    if for_s < 8.0 {
        let again_s = at_s + for_s + random.random_range(0.0..6.0);
        plan.faults.push(ControlFault::SuspendLeaders { at_s: again_s, for_s: 1.0 + for_s });
    }
    plan.duration_s = 52.0;
    plan
}

/// Returns the seeds that a test runs; their number is multiplied by `TRESTLE_SEEDS`.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let times = env::var("TRESTLE_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count * times.unwrap_or(1)
}

fn longest_without_orders_s(outcome: &Outcome) -> f64 {
    outcome.without_orders_s.values().copied().fold(0.0, f64::max)
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    // A single leader of all engines is overloaded: its lease renewals queue behind its answers,
    // so it loses the lease. Each successor is overloaded in the same way, and none gives an
    // order.
    leaders_per_domain_keep_their_leases_where_a_single_leader_loses_its_own => {
        let (single, per_domain) = (run(&large(ONE_LEADER), 1), run(&large(LARGE), 1));
        assert!(single.takeovers > 3 && longest_without_orders_s(&single) > 10.0, "{single}");
        assert_eq!(per_domain.takeovers, 5, "{per_domain}");
        assert!(longest_without_orders_s(&per_domain) < 0.5, "{per_domain}");
        assert!(per_domain.store_calls * 4 < single.store_calls, "{per_domain}");
    }

    // With full answers, or with a single leader, the busiest VM sends over 1.3 times as many bytes
    // as with deltas and a leader per domain.
    neither_leaders_per_domain_nor_deltas_alone_are_enough => {
        let mut full_answers = large(LARGE);
        full_answers.telling = AnswerFormat::Whole { answer_bytes: 13_000 };
        let mut one_leader = large(LARGE);
        one_leader.leaders = Leaders::One;
        let both = run(&large(LARGE), 1);
        for variant in [full_answers, one_leader] {
            let outcome = run(&variant, 1);
            assert!(outcome.max_bytes_per_s > 1.3 * both.max_bytes_per_s, "{outcome}");
        }
    }

    a_configuration_is_in_force_within_its_bound => {
        let outcome = run(&large(LARGE), 1);
        assert!(outcome.config_rollout_ms < 4_000, "{outcome}");
    }

    // The daemons of one domain cannot reach the store, and the leader of another domain leads
    // their engines too. When 118 daemons at once need a configuration of 60 KB each, the lease
    // renewals of this leader queue behind its answers, and it loses both leases.
    a_full_configuration_to_every_daemon_costs_a_leader_of_two_domains_its_leases => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::CutFromStore { at_s: 10.0, for_s: 12.0, domain: 2 });
        let delta = run(&plan, 1);
        plan.config_bytes = 60_000;
        let full = run(&plan, 1);
        assert_eq!(delta.takeovers, 6, "{delta}");
        assert!(full.takeovers > 6, "{full}");
    }

    all_groups_have_leaders_within_5_s_after_all_daemons_were_killed => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::KillAll { at_s: 15.0, for_s: 2.0 });
        for seed in 1..4 {
            let outcome = run(&plan, seed);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            // A lease of 2 s and a quiet time of 3 s have passed 3.6 s after the daemons start
            // again.
            assert!(outcome.recovery_ms < 5_000, "{outcome}");
        }
    }

    a_domain_without_the_store_is_taken_over_and_other_domains_are_unaffected => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::CutFromStore { at_s: 10.0, for_s: 12.0, domain: 2 });
        for seed in 1..4 {
            let outcome = run(&plan, seed);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            let without_s = |group: &str| outcome.without_orders_s.get(group).copied();
            assert!(without_s("d2").is_some_and(|s| s < 12.0), "{outcome}");
            for other in ["d0", "d1", "d3", "d4"] {
                assert!(without_s(other).is_none_or(|s| s < 0.5), "{outcome}");
            }
        }
    }

    killed_leaders_are_replaced_after_a_lease_and_the_quiet_time => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::KillLeaders { at_s: 12.0, for_s: 4.0 });
        for seed in 1..4 {
            let outcome = run(&plan, seed);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            assert!(longest_without_orders_s(&outcome) < 6.5, "{outcome}");
        }
    }

    // A leader that resumes after a suspension finds its lease expired, whatever its successors
    // have done.
    resumed_leaders_give_no_orders_beside_their_successors => {
        for seed in seeds(20) {
            let outcome = run(&suspended(small(), seed), seed);
            assert_eq!(outcome.overlaps, 0, "seed {seed}: {outcome}");
        }
    }

    resumed_leaders_of_hundreds_of_daemons_give_no_orders_beside_their_successors => {
        for seed in seeds(1) {
            let outcome = run(&suspended(large(LARGE), seed), seed);
            assert_eq!(outcome.overlaps, 0, "seed {seed}: {outcome}");
        }
    }

    // With clocks that stop during a suspension, a resumed leader still trusts its expired lease.
    // The daemon therefore needs a clock that counts suspensions.
    clocks_that_stop_during_a_suspension_allow_overlapping_leaders => {
        let overlaps = seeds(5).map(|seed| {
            let plan = ControlPlan { clocks: Clocks::Standing, ..suspended(small(), seed) };
            run(&plan, seed).overlaps
        });
        assert!(overlaps.sum::<u64>() > 0);
    }

    // The store takes 384 ms for a transaction. Renewals of five leaders in one partition queue
    // behind each other, and the last one waits for longer than its lease lasts.
    leaders_with_a_partition_each_keep_their_leases_in_a_slow_store => {
        let mut plan = large(LARGE);
        plan.faults.push(ControlFault::SlowStore { at_s: 9.0, for_s: 4.0, times: 48.0 });
        for seed in 1..4 {
            let apart = run(&plan, seed);
            assert_eq!((apart.takeovers, apart.overlaps), (5, 0), "{apart}");
            assert!(longest_without_orders_s(&apart) < 0.5, "{apart}");
        }
        plan.lease_rows = LeaseRows::Together;
        let together = run(&plan, 1);
        assert!(together.takeovers > 5, "{together}");
    }

    // Every daemon that may acquire a free lease writes, and each write occupies the slow store.
    // The store refuses writes that would wait for over a second, and daemons retry with
    // increasing delays.
    orders_resume_within_5_s_after_a_very_slow_store => {
        for (times, for_s) in [(150.0, 6.0), (400.0, 4.0)] {
            let mut plan = large(LARGE);
            plan.faults.push(ControlFault::SlowStore { at_s: 9.0, for_s, times });
            let outcome = run(&plan, 1);
            assert_eq!(outcome.overlaps, 0, "{outcome}");
            assert!(outcome.recovery_ms < 5_000, "{outcome}");
        }
    }

    the_same_seed_gives_the_same_outcome => {
        let plan = large(LARGE);
        assert_eq!(run(&plan, 5), run(&plan, 5));
        assert_ne!(run(&plan, 5), run(&plan, 6));
    }

    an_invalid_plan_is_rejected_with_its_field => {
        let invalid = LARGE.replace("\"domains\": 5", "\"domains\": 0");
        let error = ControlPlan::parse(&invalid, "a plan").expect_err("the plan has no domain");
        assert!(error.to_string().contains("domains"), "{error}");
    }
}
