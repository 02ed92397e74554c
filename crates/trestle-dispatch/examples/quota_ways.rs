//! Ways of sharing a team's limit among daemons, played in virtual time on the same requests.
//!
//! Three ways: an equal part for each daemon; parts lent for a time by what each has lately been
//! asked for; and what `lender` does, each request asked for as needed. The reference is one
//! bucket that sees all requests: what it lets through is owed.

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
/// Between two questions of a daemon to its leader, where parts are lent by demand.
const LENT_EVERY_MS: u64 = 150;

/// One request: when, at which daemon, how many units.
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
    fn take(&mut self, units: f64, per_ms: f64, most: f64, now_ms: u64) -> bool {
        self.units = (self.units + per_ms * (now_ms - self.at_ms) as f64).min(most);
        self.at_ms = now_ms;
        let has = self.units >= units;
        self.units -= if has { units } else { 0.0 };
        has
    }
}

/// Requests of a team; half of them come to a tenth of the daemons.
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
    let most = part(limit.burst as f64 * 1.5 + BOUNDS.fixed / 2.0);
    let mut buckets = vec![Bucket { units: most, at_ms: 0 }; daemons];
    let each = all.iter().map(|request| {
        let per_ms = part(limit.per_s as f64 / 1e3);
        buckets[request.daemon].take(request.units, per_ms, most, request.at_ms)
    });
    each.collect()
}

fn lent_by_demand(all: &[Request], limit: &TeamLimit, daemons: usize) -> Vec<bool> {
    let whole_most = limit.burst as f64 * 1.5 + BOUNDS.fixed / 2.0;
    let mut buckets = vec![Bucket { units: whole_most / daemons as f64, at_ms: 0 }; daemons];
    let mut shares = vec![1.0 / daemons as f64; daemons];
    let mut asked = vec![0.0; daemons];
    let mut lent_ms = 0;
    let each = all.iter().map(|request| {
        if request.at_ms >= lent_ms + LENT_EVERY_MS {
            lent_ms = request.at_ms;
            let sum: f64 = asked.iter().sum::<f64>().max(1.0);
            for (share, asked) in shares.iter_mut().zip(&mut asked) {
                // A tenth stays shared out equally, for who has not been asked lately.
                *share = 0.1 / daemons as f64 + 0.9 * *asked / sum;
                *asked *= 0.9;
            }
        }
        asked[request.daemon] += request.units;
        let share = shares[request.daemon];
        let per_ms = share * limit.per_s as f64 / 1e3;
        buckets[request.daemon].take(request.units, per_ms, share * whole_most, request.at_ms)
    });
    each.collect()
}

fn asked_as_needed(all: &[Request], limit: &TeamLimit) -> Vec<bool> {
    let plan = QuotaPlan::new(limit, &BOUNDS, GROUPS);
    let team = TeamName::from("t");
    let mut lenders: Vec<QuotaAllocator> = (0..GROUPS).map(|_| QuotaAllocator::default()).collect();
    for (group, quota_allocator) in lenders.iter_mut().enumerate() {
        let lease = HeldLease { token: 1, until_ms: u64::MAX };
        quota_allocator.set_leases(&[(format!("z{group}").into(), lease)].into(), 0);
    }
    let each = all.iter().map(|request| {
        // Buckets are full when callers begin.
        let (own, now_ms) = (request.daemon % GROUPS, request.at_ms + 14_000);
        let units = request.units as u64;
        let loan = lenders[own].allocate(&team, units, &plan, now_ms);
        if matches!(loan, Allocation::Lent(_)) {
            return true;
        }
        let Some(wanted) = lenders[own].units_to_request(&team, units, &plan, now_ms) else {
            return false;
        };
        let others = (0..GROUPS).filter(|other| *other != own);
        let given: u64 =
            others.map(|other| lenders[other].transfer_out(&team, wanted, &plan, now_ms)).sum();
        if given == 0 {
            lenders[own].record_empty_transfer(&team, now_ms);
            return false;
        }
        lenders[own].transfer_in(&team, given, &plan, now_ms);
        matches!(lenders[own].allocate(&team, units, &plan, now_ms), Allocation::Lent(_))
    });
    each.collect()
}

/// How one way did.
struct Judged {
    /// Requests that the reference lets through and the way refused, by units.
    refused: f64,
    /// All that the way let through, against all that the reference did.
    passed: f64,
    /// The most in a window, against what is allowed.
    most: f64,
}

fn judge(all: &[Request], passed: &[bool], limit: &TeamLimit) -> Judged {
    let (per_ms, most) = (limit.per_s as f64 / 1e3, limit.burst as f64);
    let mut reference = Bucket { units: most, at_ms: 0 };
    let (mut owed, mut refused) = (0.0, 0.0);
    for (request, passed) in all.iter().zip(passed) {
        if reference.take(request.units, per_ms, most, request.at_ms) {
            owed += request.units;
            refused += if *passed { 0.0 } else { request.units };
        }
    }
    let spent: Vec<&Request> =
        all.iter().zip(passed).filter(|(_, passed)| **passed).map(|(request, _)| request).collect();
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
    let allowed = (per_ms * BOUNDS.window_ms as f64 + most) * (1.0 + BOUNDS.excess) + BOUNDS.fixed;
    Judged { refused: refused / owed, passed: all_spent / owed, most: largest / allowed }
}

fn main() {
    println!(
        "daemons, limit, demand: refused of what is owed, passed against it, most in a window"
    );
    for daemons in [6, 71, 300] {
        for per_s in [4_200, 30_000, 273_068] {
            for demand in [0.55, 6.0] {
                let unit = LimitUnit::Tokens { default_tokens: 200 };
                let limit = TeamLimit { unit, per_s, burst: per_s };
                let mut line = format!("{daemons:>3} {per_s:>7} {demand:>4}:");
                for way in 0..3 {
                    let (mut refused, mut volume, mut most) = (0.0, 0.0, 0.0_f64);
                    for seed in 0..5 {
                        let all = requests(per_s, demand, daemons, seed);
                        let passed = match way {
                            0 => equal_parts(&all, &limit, daemons),
                            1 => lent_by_demand(&all, &limit, daemons),
                            _ => asked_as_needed(&all, &limit),
                        };
                        let judged = judge(&all, &passed, &limit);
                        refused += judged.refused / 5.0;
                        volume += judged.passed / 5.0;
                        most = most.max(judged.most);
                    }
                    let way = ["equal", "by demand", "as needed"][way];
                    line += &format!("  {way} {refused:.3} {volume:.2} {most:.2}");
                }
                println!("{line}");
            }
        }
    }
}
