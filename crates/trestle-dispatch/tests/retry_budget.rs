//! The retry budget of one service, shared by daemons that start again, freeze, are cut off and are
//! told wrong numbers of daemons, under changing loads.
//!
//! The daemons spend whatever their shares allow, all the time or after some in which nothing failed
//! and they saved what they may. In no window may their further sends exceed the budget, by the
//! requests of that window, of the one before or of the one half a window before.

mod common;

use common::route;
use fastrand::Rng;
use std::collections::BTreeMap;
use trestle_dispatch::{
    local_view::LocalView,
    member_count::COUNTED_MS,
    replicas::ReplicaView,
    retry_share::{RetryBounds, RetryShare},
    route::RouteKind,
    sends::{NextSend, SendEnd, Sends},
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 58 };
/// Time between two steps of a scenario.
const STEP_MS: u64 = 20;
/// Length of a scenario.
const LENGTH_MS: u64 = 40_000;
/// Scenarios of each kind.
const SEEDS: u64 = 60;

/// One daemon process on a VM that may start another one.
struct Vm {
    share: RetryShare,
    /// When the process started; its clock begins there.
    started_ms: u64,
    /// Until when it does nothing.
    paused_until_ms: u64,
    /// The number of daemons that it was told; 0 if none.
    daemons: usize,
}

impl Vm {
    fn start(now_ms: u64, rng: &mut Rng) -> Self {
        let share = RetryShare::with_seed(rng.u64(..));
        Self { share, started_ms: now_ms, paused_until_ms: 0, daemons: 0 }
    }
}

/// How often something happens to a VM in a scenario, in one of so many seconds; 0 for never.
#[derive(Debug, Clone, Copy, Default)]
struct Disruptions {
    restart_s: u64,
    restart_all_s: u64,
    freeze_s: u64,
    /// Whether daemons that have just started may be told too small a number for some time.
    counts_wrongly: bool,
}

/// What happened in a scenario.
#[derive(Debug, Default)]
struct Outcome {
    requests_ms: Vec<u64>,
    further_sends_ms: Vec<u64>,
}

/// Time for which a daemon that has just started knows no number of daemons.
const UNCOUNTED_MS: u64 = 100;
/// Time for which a daemon that has just started may be told too small a number.
const WRONG_COUNT_MS: u64 = 400;
/// Longest freeze.
const MAX_FREEZE_MS: u64 = 4_000;
/// Part of the budget that daemons can use where nothing fails.
const MIN_USED: f64 = 0.6;
/// Lengths of the spells of one load.
const SPELL_MS: u64 = 3_000;

fn play(seed: u64, vms: usize, disruptions: Disruptions) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let mut outcome = Outcome::default();
    let mut fleet: Vec<Vm> = (0..vms).map(|_| Vm::start(0, &mut rng)).collect();
    let (mut requests_per_s, mut fails) = (8, true);
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        if now_ms % SPELL_MS == 0 {
            requests_per_s = [0, 2, 8, 8, 24][rng.usize(0..5)];
            fails = rng.bool();
        }
        let restart_all = happens(&mut rng, disruptions.restart_all_s);
        for vm in &mut fleet {
            if restart_all || happens(&mut rng, disruptions.restart_s) {
                *vm = Vm::start(now_ms, &mut rng);
            }
            if happens(&mut rng, disruptions.freeze_s) {
                vm.paused_until_ms = now_ms + rng.u64(0..MAX_FREEZE_MS);
            }
            vm.daemons = told_daemons(&mut rng, vm, vms, disruptions, now_ms);
            let clock_ms = now_ms - vm.started_ms;
            if rng.u64(0..1_000 / STEP_MS) < requests_per_s {
                outcome.requests_ms.push(now_ms);
                if now_ms >= vm.paused_until_ms {
                    vm.share.record_request(clock_ms, &BOUNDS, vm.daemons);
                }
            }
            let may_spend = fails && now_ms >= vm.paused_until_ms;
            while may_spend && vm.share.spend(clock_ms, &BOUNDS, vm.daemons) {
                outcome.further_sends_ms.push(now_ms);
            }
        }
    }
    outcome
}

fn happens(rng: &mut Rng, one_in_s: u64) -> bool {
    one_in_s > 0 && rng.u64(0..one_in_s * 1_000 / STEP_MS) == 0
}

fn told_daemons(
    rng: &mut Rng,
    vm: &Vm,
    vms: usize,
    disruptions: Disruptions,
    now_ms: u64,
) -> usize {
    match now_ms - vm.started_ms {
        running_ms if running_ms < UNCOUNTED_MS => 0,
        running_ms if running_ms < WRONG_COUNT_MS && disruptions.counts_wrongly => {
            vm.daemons.max(rng.usize(vms.div_ceil(3)..=vms))
        }
        _ => vms,
    }
}

/// Plays a scenario without disruptions and with one load.
fn play_steadily(vms: usize, requests_per_s: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut shares: Vec<RetryShare> = (0..vms).map(|_| RetryShare::default()).collect();
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        for share in &mut shares {
            if now_ms % (1_000 / requests_per_s / STEP_MS * STEP_MS) == 0 {
                share.record_request(now_ms, &BOUNDS, vms);
                outcome.requests_ms.push(now_ms);
            }
            while share.spend(now_ms, &BOUNDS, vms) {
                outcome.further_sends_ms.push(now_ms);
            }
        }
    }
    outcome
}

/// Returns the counts of moments in the windows that begin at each step.
fn by_window(moments_ms: &[u64]) -> BTreeMap<u64, usize> {
    let starts = (0..LENGTH_MS).step_by(STEP_MS as usize);
    let within = |from_ms: u64| {
        let end = moments_ms.partition_point(|at_ms| *at_ms < from_ms + BOUNDS.window_ms);
        end - moments_ms.partition_point(|at_ms| *at_ms < from_ms)
    };
    starts.map(|from_ms| (from_ms, within(from_ms))).collect()
}

/// Returns the further sends and the allowed ones in the window that exceeds the budget most, or is
/// nearest to it.
fn worst_window(outcome: &Outcome) -> (f64, f64) {
    let (requests, further) =
        (by_window(&outcome.requests_ms), by_window(&outcome.further_sends_ms));
    let window_ms = BOUNDS.window_ms;
    let windows = further.iter().map(|(from_ms, count)| {
        let before = [0, window_ms / 2, window_ms].map(|by_ms| from_ms.checked_sub(by_ms));
        let most = before.iter().flatten().filter_map(|from_ms| requests.get(from_ms)).max();
        let allowed = BOUNDS.ratio * most.copied().unwrap_or_default() as f64;
        (*count as f64, allowed + f64::from(BOUNDS.fixed))
    });
    windows.max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1))).expect("a scenario has windows")
}

fn check_budget(vms: usize, disruptions: Disruptions) {
    for seed in 0..SEEDS {
        let (further, allowed) = worst_window(&play(seed, vms, disruptions));
        assert!(further <= allowed, "seed {seed}, {vms} VMs: {further} further sends of {allowed}");
    }
}

cases! {
    daemons_that_start_again_and_again_keep_the_budget => {
        check_budget(9, Disruptions { restart_all_s: 3, ..Disruptions::default() });
    }

    single_daemons_that_start_again_and_again_keep_the_budget => {
        check_budget(9, Disruptions { restart_s: 4, ..Disruptions::default() });
    }

    frozen_daemons_keep_the_budget => {
        check_budget(9, Disruptions { freeze_s: 5, ..Disruptions::default() });
    }

    daemons_that_divide_by_too_small_a_number_after_a_start_keep_the_budget => {
        check_budget(9, Disruptions { restart_all_s: 3, counts_wrongly: true, ..Disruptions::default() });
    }

    daemons_under_all_disruptions_at_once_keep_the_budget => {
        let disruptions = Disruptions { restart_s: 6, restart_all_s: 5, freeze_s: 6, counts_wrongly: true };
        for vms in [1, 4, 9, 24] {
            check_budget(vms, disruptions);
        }
    }

    the_budget_is_used_where_nothing_fails => {
        let outcome = play_steadily(9, 8);
        let (requests, further) = (by_window(&outcome.requests_ms), by_window(&outcome.further_sends_ms));
        let from = BOUNDS.window_ms..LENGTH_MS - BOUNDS.window_ms;
        for from_ms in from.step_by(STEP_MS as usize) {
            let allowed = BOUNDS.ratio * requests[&from_ms] as f64 + f64::from(BOUNDS.fixed);
            let used = further[&from_ms] as f64 / allowed;
            assert!(used >= MIN_USED, "{used} of the budget from {from_ms} ms on");
        }
    }

    /// No daemon's part of the fixed number is a whole send, and each has one request in the window, which
    /// fails.
    shares_below_one_send_are_used_and_keep_the_budget => {
        let vms = 300;
        let (mut saved, mut sent) = (0, 0_u32);
        for seed in 0..vms {
            let mut share = RetryShare::with_seed(seed);
            share.record_request(BOUNDS.window_ms, &BOUNDS, vms as usize);
            saved += usize::from(share.has_room(BOUNDS.window_ms, &BOUNDS, vms as usize));
            sent += u32::from(share.spend(BOUNDS.window_ms, &BOUNDS, vms as usize));
        }
        assert_eq!(saved, 0, "no daemon is certain of a send");
        let by_ratio = BOUNDS.ratio * vms as f64;
        let allowed = by_ratio + f64::from(BOUNDS.fixed);
        assert!((by_ratio / 2.0..=allowed).contains(&f64::from(sent)), "{sent} sends");
    }

    /// Every request fails, and is sent again once if the share allows it.
    without_a_fixed_number_requests_are_sent_again_by_the_ratio => {
        let bounds = RetryBounds { fixed: 0, ..BOUNDS };
        let (mut requests, mut sent) = (0.0, 0.0);
        for seed in 0..6 {
            let mut share = RetryShare::with_seed(seed);
            for now_ms in (0..100_000).step_by(125) {
                share.record_request(now_ms, &bounds, 6);
                requests += 1.0;
                sent += f64::from(u8::from(share.spend(now_ms, &bounds, 6)));
            }
        }
        assert!(sent <= bounds.ratio * requests, "{sent} of {requests}");
        assert!(sent >= bounds.ratio * requests / 2.0, "{sent} of {requests}");
    }

    a_daemon_that_has_just_started_sends_again_after_some_requests => {
        let mut share = RetryShare::default();
        let mut allowed_ms = None;
        for now_ms in (0..2_000).step_by(125) {
            share.record_request(now_ms, &BOUNDS, 9);
            allowed_ms = allowed_ms.or(share.spend(now_ms, &BOUNDS, 9).then_some(now_ms));
        }
        assert!(allowed_ms.is_some_and(|at_ms| at_ms <= 1_000), "sent again after {allowed_ms:?} ms");
    }

    a_daemon_that_sent_nothing_again_has_saved_several_sends => {
        let mut share = RetryShare::default();
        (0..10_000).step_by(125).for_each(|now_ms| share.record_request(now_ms, &BOUNDS, 9));
        let saved = (0..10).filter(|_| share.spend(10_000, &BOUNDS, 9)).count();
        assert!(saved >= 2, "{saved} sends saved");
    }

    /// Requests wait for a model longer than the window lasts, each with a send that was reserved and not
    /// made. When the model is loaded, all are sent.
    sends_that_were_not_made_do_not_add_to_a_later_window => {
        let mut local_view = LocalView::new("z".into(), 2_000, BOUNDS);
        local_view.retry_budgets.daemons = 1;
        let (service, route) = ("s".into(), route("/", RouteKind::Stream { is_resumable: true }));
        let reserve = |sends: &mut Sends, local_view: &mut LocalView, now_ms| {
            sends.reserve_next(&route, &service, local_view, now_ms) == NextSend::Allowed
        };
        let mut waiting = Vec::new();
        for now_ms in (0..12_000).step_by(100) {
            local_view.retry_budgets.request_arrived(&service, now_ms);
            let mut sends = Sends::default();
            sends.record_send(&"e1".into());
            sends.record_end(&"e1".into(), SendEnd::NotRun, &service, &mut local_view, now_ms);
            if reserve(&mut sends, &mut local_view, now_ms) {
                sends.record_send(&"e2".into());
                sends.record_end(&"e2".into(), SendEnd::NotSent, &service, &mut local_view, now_ms);
                waiting.push(sends);
            }
        }
        let now_ms = 12_000 + BOUNDS.window_ms;
        let made = waiting.iter_mut().filter_map(|sends| reserve(sends, &mut local_view, now_ms).then_some(()));
        let made = made.count();
        let more = (0..1_000).filter(|_| local_view.retry_budgets.spend(&service, now_ms)).count();
        assert!(made + more <= BOUNDS.fixed as usize, "{made} reserved sends and {more} more");
    }

    a_further_send_that_was_not_made_costs_nothing => {
        let mut local_view = LocalView::new("z".into(), 2_000, BOUNDS);
        local_view.retry_budgets.daemons = 1;
        let (service, route) = ("s".into(), route("/", RouteKind::Idempotent));
        let before = local_view.retry_budgets.usage(&service, 10_000);
        let mut sends = Sends::default();
        sends.record_send(&"e1".into());
        sends.record_end(&"e1".into(), SendEnd::NotRun, &service, &mut local_view, 10_000);
        for _ in 0..100 {
            let next = sends.reserve_next(&route, &service, &mut local_view, 10_000);
            assert_eq!(next, NextSend::Allowed);
            sends.record_send(&"e2".into());
            sends.record_end(&"e2".into(), SendEnd::NotSent, &service, &mut local_view, 10_000);
        }
        assert_eq!(local_view.retry_budgets.usage(&service, 10_000), before);
    }

    /// Six of nine daemons are cut off from the leader, which after some time counts the other three
    /// alone. Nothing fails until they all divide the budget by their own numbers.
    daemons_on_both_sides_of_a_long_cut_keep_the_budget => {
        let (vms, on_the_leaders_side) = (9, 3);
        let (cut_ms, fails_from_ms, end_ms) = (10_000, 90_000, 120_000);
        let service = "s".into();
        let mut local_views: Vec<LocalView> =
            (0..vms).map(|_| LocalView::new("z".into(), 2_000, BOUNDS)).collect();
        let mut further_sends_ms = Vec::new();
        for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
            let leaders_count = if now_ms < cut_ms + COUNTED_MS { vms } else { on_the_leaders_side };
            for (number, local_view) in local_views.iter_mut().enumerate() {
                if now_ms < cut_ms || number < on_the_leaders_side {
                    let view = ReplicaView { daemons: leaders_count, ..ReplicaView::default() };
                    local_view.update_replicas("s".into(), view, 0, now_ms);
                }
                let fails = now_ms >= fails_from_ms;
                while fails && local_view.retry_budgets.spend(&service, now_ms) {
                    further_sends_ms.push(now_ms);
                }
            }
        }
        for from_ms in (0..end_ms).step_by(STEP_MS as usize) {
            let within = |at_ms: &&u64| (from_ms..from_ms + BOUNDS.window_ms).contains(*at_ms);
            let count = further_sends_ms.iter().filter(within).count();
            assert!(count <= BOUNDS.fixed as usize, "{count} further sends from {from_ms} ms on");
        }
    }

    /// A request that took long to be read is recorded with the time of its arrival.
    a_request_that_is_recorded_late_adds_no_time => {
        let mut share = RetryShare::default();
        let mut spent = 0;
        for now_ms in (0..10_000).step_by(20) {
            share.record_request(now_ms / 2, &BOUNDS, 1);
            spent += usize::from(share.spend(now_ms, &BOUNDS, 1));
        }
        let requests = 10_000 / 20;
        let allowed = BOUNDS.ratio * f64::from(requests) + f64::from(BOUNDS.fixed);
        assert!(spent as f64 <= allowed, "{spent} of {allowed}");
    }
}
