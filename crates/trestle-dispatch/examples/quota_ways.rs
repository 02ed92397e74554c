//! Compares methods of sharing a team's limit among daemons, in virtual time on the same
//! requests.
//!
//! There are three methods: an equal part for each daemon; parts that are allocated for a time by
//! the recent demand at each daemon; and the method of `quota_allocator`, in which units are
//! requested for each request as needed. The reference is one bucket that receives all requests:
//! a method should admit the requests that the reference admits.

use fastrand::Rng;
use trestle_core::names::TeamName;
use trestle_dispatch::{
    quota::{QuotaBounds, QuotaPlan},
    quota_allocator::{Allocation, HeldLease, QuotaAllocator},
    team::{LimitUnit, TeamLimit},
};

const BOUNDS: QuotaBounds = QuotaBounds { window_ms: 8_000, excess: 0.1, fixed: 17_000.0 };
const GROUPS: usize = 3;
const LENGTH_MS: u64 = 60_000;
/// Interval at which parts are allocated again, if they are allocated by demand.
const ALLOCATION_INTERVAL_MS: u64 = 150;

/// One request: its time, its daemon and its units.
#[derive(Clone, Copy)]
struct Request {
    at_ms: u64,
    daemon: usize,
    units: f64,
}

/// A token bucket.
#[derive(Clone)]
struct Bucket {
    units: f64,
    at_ms: u64,
}

impl Bucket {
    fn take(&mut self, units: f64, per_ms: f64, capacity: f64, now_ms: u64) -> bool {
        self.units = (self.units + per_ms * (now_ms - self.at_ms) as f64).min(capacity);
        self.at_ms = now_ms;
        let is_admitted = self.units >= units;
        self.units -= if is_admitted { units } else { 0.0 };
        is_admitted
    }
}

/// Returns the requests of a team; half of them arrive at a tenth of the daemons.
fn requests(per_s: u64, demand: f64, daemons: usize, seed: u64) -> Vec<Request> {
    let mut random = Rng::with_seed(seed);
    let mut all = Vec::new();
    let mut at_ms = 0.0;
    while (at_ms as u64) < LENGTH_MS {
        let units = 200.0 + 1_600.0 * random.f64();
        at_ms += 2.0 * random.f64() * 1_000.0 * 1e3 / (per_s as f64 * demand);
        let busy = daemons.div_ceil(10);
        let daemon = if random.bool() { random.usize(..busy) } else { random.usize(..daemons) };
        all.push(Request { at_ms: at_ms as u64, daemon, units });
    }
    all
}

fn equal_parts(all: &[Request], limit: &TeamLimit, daemons: usize) -> Vec<bool> {
    let part = |whole: f64| whole / daemons as f64;
    let capacity = part(limit.burst as f64 * 1.5 + BOUNDS.fixed / 2.0);
    let mut buckets = vec![Bucket { units: capacity, at_ms: 0 }; daemons];
    let each = all.iter().map(|request| {
        let per_ms = part(limit.per_s as f64 / 1e3);
        buckets[request.daemon].take(request.units, per_ms, capacity, request.at_ms)
    });
    each.collect()
}

fn allocated_by_demand(all: &[Request], limit: &TeamLimit, daemons: usize) -> Vec<bool> {
    let whole_capacity = limit.burst as f64 * 1.5 + BOUNDS.fixed / 2.0;
    let mut buckets = vec![Bucket { units: whole_capacity / daemons as f64, at_ms: 0 }; daemons];
    let mut shares = vec![1.0 / daemons as f64; daemons];
    let mut demand_units = vec![0.0; daemons];
    let mut allocated_ms = 0;
    let each = all.iter().map(|request| {
        if request.at_ms >= allocated_ms + ALLOCATION_INTERVAL_MS {
            allocated_ms = request.at_ms;
            let sum: f64 = demand_units.iter().sum::<f64>().max(1.0);
            for (share, demand_units) in shares.iter_mut().zip(&mut demand_units) {
                // A tenth is always divided equally, for daemons without recent demand.
                *share = 0.1 / daemons as f64 + 0.9 * *demand_units / sum;
                *demand_units *= 0.9;
            }
        }
        demand_units[request.daemon] += request.units;
        let share = shares[request.daemon];
        let per_ms = share * limit.per_s as f64 / 1e3;
        buckets[request.daemon].take(request.units, per_ms, share * whole_capacity, request.at_ms)
    });
    each.collect()
}

fn requested_as_needed(all: &[Request], limit: &TeamLimit) -> Vec<bool> {
    let plan = QuotaPlan::new(limit, &BOUNDS, GROUPS);
    let team = TeamName::from("t");
    let mut quota_allocators: Vec<QuotaAllocator> =
        (0..GROUPS).map(|_| QuotaAllocator::default()).collect();
    for (group, quota_allocator) in quota_allocators.iter_mut().enumerate() {
        let lease = HeldLease { token: 1, until_ms: u64::MAX };
        quota_allocator.set_leases(&[(format!("z{group}").into(), lease)].into(), 0);
    }
    let each = all.iter().map(|request| {
        // Buckets are full when callers start.
        let (own, now_ms) = (request.daemon % GROUPS, request.at_ms + 14_000);
        let units = request.units as u64;
        let allocation = quota_allocators[own].allocate(&team, units, &plan, now_ms);
        if matches!(allocation, Allocation::Granted(_)) {
            return true;
        }
        let Some(requested) = quota_allocators[own].units_to_request(&team, units, &plan, now_ms)
        else {
            return false;
        };
        let others = (0..GROUPS).filter(|other| *other != own);
        let transferred: u64 = others
            .map(|other| quota_allocators[other].transfer_out(&team, requested, &plan, now_ms))
            .sum();
        if transferred == 0 {
            quota_allocators[own].record_empty_transfer(&team, now_ms);
            return false;
        }
        quota_allocators[own].transfer_in(&team, transferred, &plan, now_ms);
        matches!(
            quota_allocators[own].allocate(&team, units, &plan, now_ms),
            Allocation::Granted(_)
        )
    });
    each.collect()
}

/// The result of one method.
struct Verdict {
    /// Units that the reference admits and the method refused, relative to the units that the
    /// reference admits.
    refused: f64,
    /// Units that the method admitted, relative to the units that the reference admits.
    admitted: f64,
    /// The most units in a window, relative to what is allowed.
    max_in_window: f64,
}

fn judge(all: &[Request], admitted: &[bool], limit: &TeamLimit) -> Verdict {
    let (per_ms, capacity) = (limit.per_s as f64 / 1e3, limit.burst as f64);
    let mut reference = Bucket { units: capacity, at_ms: 0 };
    let (mut reference_units, mut refused) = (0.0, 0.0);
    for (request, admitted) in all.iter().zip(admitted) {
        if reference.take(request.units, per_ms, capacity, request.at_ms) {
            reference_units += request.units;
            refused += if *admitted { 0.0 } else { request.units };
        }
    }
    let spent: Vec<&Request> = all
        .iter()
        .zip(admitted)
        .filter(|(_, admitted)| **admitted)
        .map(|(request, _)| request)
        .collect();
    let all_spent: f64 = spent.iter().map(|request| request.units).sum();
    let (mut largest, mut sum, mut first) = (0.0_f64, 0.0, 0);
    for request in &spent {
        sum += request.units;
        while spent[first].at_ms + BOUNDS.window_ms <= request.at_ms {
            sum -= spent[first].units;
            first += 1;
        }
        largest = largest.max(sum);
    }
    let allowed =
        (per_ms * BOUNDS.window_ms as f64 + capacity) * (1.0 + BOUNDS.excess) + BOUNDS.fixed;
    Verdict {
        refused: refused / reference_units,
        admitted: all_spent / reference_units,
        max_in_window: largest / allowed,
    }
}

fn main() {
    println!(
        "daemons, limit, demand: refused and admitted parts of the reference, most in a window"
    );
    for daemons in [6, 71, 300] {
        for per_s in [4_200, 30_000, 273_068] {
            for demand in [0.55, 6.0] {
                let unit = LimitUnit::Tokens { default_tokens: 200 };
                let limit = TeamLimit { unit, per_s, burst: per_s };
                let mut line = format!("{daemons:>3} {per_s:>7} {demand:>4}:");
                for method in 0..3 {
                    let (mut refused, mut admitted_part, mut max_in_window) = (0.0, 0.0, 0.0_f64);
                    for seed in 0..5 {
                        let all = requests(per_s, demand, daemons, seed);
                        let admitted = match method {
                            0 => equal_parts(&all, &limit, daemons),
                            1 => allocated_by_demand(&all, &limit, daemons),
                            _ => requested_as_needed(&all, &limit),
                        };
                        let verdict = judge(&all, &admitted, &limit);
                        refused += verdict.refused / 5.0;
                        admitted_part += verdict.admitted / 5.0;
                        max_in_window = max_in_window.max(verdict.max_in_window);
                    }
                    let method = ["equal", "by demand", "as needed"][method];
                    line +=
                        &format!("  {method} {refused:.3} {admitted_part:.2} {max_in_window:.2}");
                }
                println!("{line}");
            }
        }
    }
}
