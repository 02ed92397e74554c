//! Which requests are blamed for the end of an endpoint, over many orders of events.

use std::collections::BTreeSet;
use trestle_dispatch::{
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    unresolved_requests::{ConnectionLoss, Evidence, MAX_CRASH_DELAY_MS, UnresolvedRequests},
};

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9_000);

fn request(number: u8) -> Fingerprint {
    Fingerprint::from_bytes([number; 16])
}

/// A life whose name tells it apart.
fn named() -> Incarnation {
    Incarnation { name: "e".into(), started_unix_ms: 0 }
}

/// A life that only the moment of its start tells apart.
fn born() -> Incarnation {
    Incarnation { name: "e".into(), started_unix_ms: 7 }
}

fn blamed(
    unresolved_requests: &mut UnresolvedRequests,
    incarnation: &Incarnation,
    now_ms: u64,
) -> BTreeSet<Fingerprint> {
    unresolved_requests.terminated(incarnation, Evidence::Refused, now_ms)
}

/// What is blamed when an endpoint ends after a connection broke at 0, and an answer came to a
/// request that left at `sent_ms` over a connection that was opened at `opened_ms`.
fn blamed_after(incarnation: &Incarnation, sent_ms: u64, opened_ms: u64) -> usize {
    let mut unresolved_requests = UnresolvedRequests::default();
    unresolved_requests.connection_lost(incarnation, request(1), 0);
    unresolved_requests.answered(incarnation, sent_ms, opened_ms);
    blamed(&mut unresolved_requests, incarnation, sent_ms + 1).len()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    /// A look at the first connection that broke had found that the endpoint lives, and no later
    /// one was looked into for 6 s.
    each_connection_that_breaks_has_it_found_out => {
        let mut unresolved_requests = UnresolvedRequests::default();
        assert_eq!(unresolved_requests.connection_lost(&named(), request(1), 0), ConnectionLoss::CheckNeeded);
        assert_eq!(unresolved_requests.connection_lost(&named(), request(2), 10), ConnectionLoss::CheckRunning);
        unresolved_requests.confirmed_alive(&named(), 10 + MAX_CRASH_DELAY_MS);
        assert!(!unresolved_requests.needs_check(&named(), 10 + MAX_CRASH_DELAY_MS));
        assert_eq!(unresolved_requests.connection_lost(&named(), request(3), 900), ConnectionLoss::CheckNeeded);
        assert!(unresolved_requests.needs_check(&named(), 1_400));
    }

    looking_goes_on_while_something_is_in_doubt_and_no_longer => {
        let mut unresolved_requests = UnresolvedRequests::default();
        unresolved_requests.connection_lost(&named(), request(1), 0);
        assert!(unresolved_requests.needs_check(&named(), 500));
        unresolved_requests.answered(&named(), 700, 650);
        assert!(!unresolved_requests.needs_check(&named(), 1_000));
        unresolved_requests.connection_lost(&named(), request(1), 2_000);
        assert!(!unresolved_requests.needs_check(&named(), 20_000), "it is forgotten");
    }

    /// Callers give up behind a cut; no connection breaks when the engine ends.
    what_nobody_waited_for_is_blamed => {
        let mut unresolved_requests = UnresolvedRequests::default();
        unresolved_requests.sent(&born(), ADDRESS.into(), request(1));
        assert!(!unresolved_requests.abandoned(&born(), request(1), 100));
        unresolved_requests.sent(&born(), ADDRESS.into(), request(2));
        let requests = unresolved_requests.terminated(&born(), Evidence::StartedAgain, 2_000);
        assert_eq!(requests, BTreeSet::from([request(1), request(2)]));
        assert!(unresolved_requests.abandoned(&born(), request(2), 2_100), "it is known to have ended");
    }

    /// It may have left without a word, and then goes on with what runs there.
    what_runs_at_an_endpoint_that_is_no_longer_listed_is_not_blamed => {
        let mut unresolved_requests = UnresolvedRequests::default();
        unresolved_requests.sent(&named(), ADDRESS.into(), request(1));
        assert!(unresolved_requests.terminated(&named(), Evidence::Unlisted, 100).is_empty());
        unresolved_requests.connection_lost(&named(), request(2), 200);
        let requests = unresolved_requests.terminated(&named(), Evidence::Unlisted, 300);
        assert_eq!(requests, BTreeSet::from([request(2)]));
    }

    what_had_an_answer_is_not_blamed => {
        let mut unresolved_requests = UnresolvedRequests::default();
        unresolved_requests.sent(&named(), ADDRESS.into(), request(1));
        unresolved_requests.resolved(&named(), request(1));
        unresolved_requests.connection_lost(&named(), request(2), 10);
        unresolved_requests.served(request(2));
        assert!(blamed(&mut unresolved_requests, &named(), 20).is_empty());
    }

    /// An engine lost a request's connection, lived on, and ended 2.5 s later by another cause.
    what_was_broken_off_before_the_endpoint_was_seen_to_live_is_not_blamed => {
        assert_eq!(blamed_after(&named(), MAX_CRASH_DELAY_MS, 400), 0);
        assert_eq!(blamed_after(&named(), MAX_CRASH_DELAY_MS - 1, 400), 1, "it may still end");
    }

    /// A start is told from the one before under its name by a connection that was open before.
    an_answer_of_a_later_start_clears_nothing => {
        assert_eq!(blamed_after(&born(), 900, 850), 1);
        assert_eq!(blamed_after(&born(), 900, 0), 0);
    }

    another_one_at_its_address_is_its_end => {
        let mut unresolved_requests = UnresolvedRequests::default();
        unresolved_requests.sent(&named(), ADDRESS.into(), request(1));
        assert_eq!(unresolved_requests.others_at(ADDRESS.into(), &"f".into()), [named()]);
        assert_eq!(unresolved_requests.others_at(ADDRESS.into(), &"e".into()), []);
        blamed(&mut unresolved_requests, &named(), 10);
        assert_eq!(unresolved_requests.others_at(ADDRESS.into(), &"f".into()), []);
    }

    a_request_is_in_doubt_at_each_endpoint_that_broke_it_off => {
        let mut unresolved_requests = UnresolvedRequests::default();
        for name in ["e", "f"] {
            unresolved_requests.connection_lost(&Incarnation { name: name.into(), started_unix_ms: 0 }, request(1), 0);
        }
        assert_eq!(unresolved_requests.unresolved_incarnations(request(1), 100), 2);
        unresolved_requests.confirmed_alive(&named(), 600);
        assert_eq!(unresolved_requests.unresolved_incarnations(request(1), 700), 1);
        assert_eq!(unresolved_requests.unresolved_incarnations(request(1), 6_000), 0);
    }

    /// Whatever comes in whatever order, only what was sent and had no answer is blamed, and
    /// everything is forgotten in the end.
    nothing_is_blamed_that_was_not_open => {
        for seed in 0..400 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut unresolved_requests = UnresolvedRequests::default();
            let lives = [named(), born()];
            let mut open: BTreeSet<(Incarnation, Fingerprint)> = BTreeSet::new();
            let mut now_ms = 0;
            for _ in 0..300 {
                now_ms += random.u64(0..400);
                let incarnation = &lives[random.usize(..2)];
                let one = request(random.u8(0..4));
                let key = (incarnation.clone(), one);
                match random.u32(..6) {
                    0 | 1 if !open.contains(&key) => {
                        unresolved_requests.sent(incarnation, ADDRESS.into(), one);
                        open.insert(key);
                    }
                    2 if open.remove(&key) => unresolved_requests.resolved(incarnation, one),
                    3 if open.contains(&key) => {
                        unresolved_requests.connection_lost(incarnation, one, now_ms);
                    }
                    4 if open.remove(&key) => _ = unresolved_requests.abandoned(incarnation, one, now_ms),
                    5 => unresolved_requests.answered(incarnation, now_ms, now_ms),
                    _ => {}
                }
                if random.u32(..40) == 0 {
                    for blamed in blamed(&mut unresolved_requests, incarnation, now_ms) {
                        assert!(blamed <= request(3), "seed {seed}");
                    }
                    let running = open.iter().filter(|(of, _)| of == incarnation);
                    let running: BTreeSet<Fingerprint> = running.map(|(_, one)| *one).collect();
                    let again = blamed(&mut unresolved_requests, incarnation, now_ms);
                    assert_eq!(again, running, "seed {seed}: only what still runs");
                }
            }
            for (incarnation, one) in open {
                unresolved_requests.resolved(&incarnation, one);
            }
            unresolved_requests.needs_check(&named(), now_ms + 20_000);
            unresolved_requests.needs_check(&born(), now_ms + 40_000);
            assert_eq!(unresolved_requests.unlisted(|_| false), [], "seed {seed}");
        }
    }
}
