//! Which requests are blamed when an endpoint terminates, over many orders of events.

use std::collections::{BTreeMap, BTreeSet};
use trestle_dispatch::{
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    unresolved_requests::{ConnectionLoss, Evidence, MAX_CRASH_DELAY_MS, UnresolvedRequests},
};

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9_000);

fn request(number: u8) -> Fingerprint {
    Fingerprint::from_bytes([number; 16])
}

/// An incarnation that is distinguished by its name alone.
fn without_start_time() -> Incarnation {
    Incarnation { name: "e".into(), started_unix_ms: 0 }
}

/// An incarnation that is distinguished by its start time alone.
fn with_start_time() -> Incarnation {
    Incarnation { name: "e".into(), started_unix_ms: 7 }
}

fn blamed(
    requests: &mut UnresolvedRequests,
    incarnation: &Incarnation,
    now_ms: u64,
) -> BTreeSet<Fingerprint> {
    requests.terminated(incarnation, Evidence::Refused, now_ms).into_keys().collect()
}

/// Returns how many requests are blamed for the termination of an endpoint if a connection was lost
/// at 0 and then an answer arrived to a request that was sent at `sent_ms` over a connection that
/// was opened at `opened_ms`.
fn blamed_after(incarnation: &Incarnation, sent_ms: u64, opened_ms: u64) -> usize {
    let mut requests = UnresolvedRequests::default();
    requests.connection_lost(incarnation, request(1), 0);
    requests.answered(incarnation, sent_ms, opened_ms);
    blamed(&mut requests, incarnation, sent_ms + 1).len()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    /// A check after the first lost connection had shown that the endpoint was alive, and
    /// connections that were lost in the next 6 s were not checked.
    each_lost_connection_starts_a_check => {
        let mut requests = UnresolvedRequests::default();
        assert_eq!(requests.connection_lost(&without_start_time(), request(1), 0), ConnectionLoss::CheckNeeded);
        assert_eq!(requests.connection_lost(&without_start_time(), request(2), 10), ConnectionLoss::CheckRunning);
        requests.confirmed_alive(&without_start_time(), 10 + MAX_CRASH_DELAY_MS);
        assert!(!requests.needs_check(&without_start_time(), 10 + MAX_CRASH_DELAY_MS));
        assert_eq!(requests.connection_lost(&without_start_time(), request(3), 900), ConnectionLoss::CheckNeeded);
        assert!(requests.needs_check(&without_start_time(), 1_400));
    }

    checks_go_on_only_while_requests_are_unresolved => {
        let mut requests = UnresolvedRequests::default();
        requests.connection_lost(&without_start_time(), request(1), 0);
        assert!(requests.needs_check(&without_start_time(), 500));
        requests.answered(&without_start_time(), 700, 650);
        assert!(!requests.needs_check(&without_start_time(), 1_000));
        requests.connection_lost(&without_start_time(), request(1), 2_000);
        assert!(!requests.needs_check(&without_start_time(), 20_000), "the request is forgotten");
    }

    /// Callers time out behind a network partition, so no connection is lost when the engine
    /// crashes.
    abandoned_requests_are_blamed => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&with_start_time(), ADDRESS.into(), request(1), 0);
        assert!(!requests.abandoned(&with_start_time(), request(1), 100));
        requests.sent(&with_start_time(), ADDRESS.into(), request(2), 150);
        let blamed_requests = requests.terminated(&with_start_time(), Evidence::StartedAgain, 2_000);
        assert_eq!(blamed_requests, BTreeMap::from([(request(1), 0), (request(2), 150)]));
        assert!(requests.abandoned(&with_start_time(), request(2), 2_100), "the incarnation is known to have terminated");
    }

    /// The endpoint may have stopped without an announcement, and then finishes its running
    /// requests.
    running_requests_at_an_unlisted_endpoint_are_not_blamed => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&without_start_time(), ADDRESS.into(), request(1), 0);
        assert!(requests.terminated(&without_start_time(), Evidence::Unlisted, 100).is_empty());
        requests.connection_lost(&without_start_time(), request(2), 200);
        let blamed_requests = requests.terminated(&without_start_time(), Evidence::Unlisted, 300);
        assert_eq!(blamed_requests, BTreeMap::from([(request(2), 200)]));
    }

    answered_requests_are_not_blamed => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&without_start_time(), ADDRESS.into(), request(1), 0);
        requests.resolved(&without_start_time(), request(1));
        requests.connection_lost(&without_start_time(), request(2), 10);
        requests.served(request(2));
        assert!(blamed(&mut requests, &without_start_time(), 20).is_empty());
    }

    /// An engine lost a request's connection, stayed alive, and crashed 2.5 s later for another
    /// reason.
    requests_aborted_before_a_later_answer_are_not_blamed => {
        assert_eq!(blamed_after(&without_start_time(), MAX_CRASH_DELAY_MS, 400), 0);
        assert_eq!(blamed_after(&without_start_time(), MAX_CRASH_DELAY_MS - 1, 400), 1, "the endpoint may still crash");
    }

    /// A connection that was open before the abort leads to the same incarnation; a later one may
    /// lead to the next incarnation under the same name.
    an_answer_of_a_later_incarnation_clears_nothing => {
        assert_eq!(blamed_after(&with_start_time(), 900, 850), 1);
        assert_eq!(blamed_after(&with_start_time(), 900, 0), 0);
    }

    another_endpoint_at_the_address_proves_termination => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&without_start_time(), ADDRESS.into(), request(1), 0);
        assert_eq!(requests.others_at(ADDRESS.into(), &"f".into()), [without_start_time()]);
        assert_eq!(requests.others_at(ADDRESS.into(), &"e".into()), []);
        blamed(&mut requests, &without_start_time(), 10);
        assert_eq!(requests.others_at(ADDRESS.into(), &"f".into()), []);
    }

    a_request_is_unresolved_at_each_endpoint_that_aborted_it => {
        let mut requests = UnresolvedRequests::default();
        for name in ["e", "f"] {
            requests.connection_lost(&Incarnation { name: name.into(), started_unix_ms: 0 }, request(1), 0);
        }
        assert_eq!(requests.unresolved_incarnations(request(1), None, 100), 2);
        requests.confirmed_alive(&without_start_time(), 600);
        assert_eq!(requests.unresolved_incarnations(request(1), None, 700), 1);
        assert_eq!(requests.unresolved_incarnations(request(1), None, 6_000), 0);
    }

    /// A permission is kept while its attempt was aborted and may have crashed its endpoint.
    an_aborted_request_is_unresolved_until_its_endpoint_is_known_to_live_or_to_have_terminated => {
        let mut requests = UnresolvedRequests::default();
        let incarnation = without_start_time();
        assert!(!requests.is_unresolved(&incarnation, request(1), 0));
        requests.sent(&incarnation, ADDRESS.into(), request(1), 0);
        assert!(!requests.is_unresolved(&incarnation, request(1), 20_000), "it still runs");
        requests.abandoned(&incarnation, request(1), 20_000);
        assert!(requests.is_unresolved(&incarnation, request(1), 20_000));
        assert!(requests.is_unresolved(&incarnation, request(1), 25_999));
        assert!(!requests.is_unresolved(&incarnation, request(1), 26_000));
        requests.confirmed_alive(&incarnation, 20_500);
        assert!(!requests.is_unresolved(&incarnation, request(1), 20_501));
    }

    /// An answer elsewhere proves nothing about an attempt that was sent after it.
    attempts_sent_until_an_answer_are_not_unresolved => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&without_start_time(), ADDRESS.into(), request(1), 100);
        requests.abandoned(&without_start_time(), request(1), 300);
        assert_eq!(requests.unresolved_incarnations(request(1), Some(100), 400), 0);
        assert_eq!(requests.unresolved_incarnations(request(1), Some(99), 400), 1);
    }

    /// An attempt is blamed by the time at which it was sent, however late its abort and the
    /// termination become known.
    blamed_requests_keep_the_time_at_which_they_were_sent => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&without_start_time(), ADDRESS.into(), request(1), 100);
        requests.connection_lost(&without_start_time(), request(1), 1_000);
        requests.resolved(&without_start_time(), request(1));
        requests.connection_lost(&without_start_time(), request(1), 1_500);
        let blamed_requests = requests.terminated(&without_start_time(), Evidence::Refused, 4_000);
        assert_eq!(blamed_requests, BTreeMap::from([(request(1), 100)]));
    }

    /// An outdated list named an endpoint again after it had crashed; requests that were sent there
    /// were blamed for the crash, three times within seconds.
    requests_sent_after_the_termination_was_known_are_not_blamed => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&without_start_time(), ADDRESS.into(), request(1), 100);
        assert_eq!(blamed(&mut requests, &without_start_time(), 200), BTreeSet::from([request(1)]));
        requests.resolved(&without_start_time(), request(1));
        requests.sent(&without_start_time(), ADDRESS.into(), request(2), 7_000);
        requests.connection_lost(&without_start_time(), request(2), 7_010);
        requests.resolved(&without_start_time(), request(2));
        assert!(requests.was_terminated_at(&without_start_time(), 7_000));
        assert!(blamed(&mut requests, &without_start_time(), 8_000).is_empty());
        requests.answered(&without_start_time(), 9_000, 8_900);
        assert!(!requests.was_terminated_at(&without_start_time(), 9_000), "the endpoint is back");
    }

    /// Its entry had lapsed while the store was away. A crash after its return blamed no request.
    an_endpoint_that_was_only_unlisted_crashes_under_a_later_request => {
        let mut requests = UnresolvedRequests::default();
        let incarnation = with_start_time();
        requests.connection_lost(&incarnation, request(1), 100);
        requests.terminated(&incarnation, Evidence::Unlisted, 200);
        requests.sent(&incarnation, ADDRESS.into(), request(2), 9_000);
        requests.connection_lost(&incarnation, request(2), 9_060);
        requests.resolved(&incarnation, request(2));
        assert_eq!(blamed(&mut requests, &incarnation, 9_061), BTreeSet::from([request(2)]));
    }

    /// In any order of events, only requests that were sent and had no answer are blamed, and
    /// everything is forgotten in the end.
    only_open_requests_are_blamed => {
        for seed in 0..400 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut requests = UnresolvedRequests::default();
            let incarnations = [without_start_time(), with_start_time()];
            let mut open: BTreeSet<(Incarnation, Fingerprint)> = BTreeSet::new();
            let mut now_ms = 0;
            for _ in 0..300 {
                now_ms += random.u64(0..400);
                let incarnation = &incarnations[random.usize(..2)];
                let one = request(random.u8(0..4));
                let key = (incarnation.clone(), one);
                match random.u32(..6) {
                    0 | 1 if !open.contains(&key) => {
                        requests.sent(incarnation, ADDRESS.into(), one, now_ms);
                        open.insert(key);
                    }
                    2 if open.remove(&key) => requests.resolved(incarnation, one),
                    3 if open.contains(&key) => {
                        requests.connection_lost(incarnation, one, now_ms);
                    }
                    4 if open.remove(&key) => _ = requests.abandoned(incarnation, one, now_ms),
                    5 => _ = requests.answered(incarnation, now_ms, now_ms),
                    _ => {}
                }
                if random.u32(..40) == 0 {
                    for blamed in blamed(&mut requests, incarnation, now_ms) {
                        assert!(blamed <= request(3), "seed {seed}");
                    }
                    let running = open.iter().filter(|(of, _)| of == incarnation);
                    let running: BTreeSet<Fingerprint> = running.map(|(_, one)| *one).collect();
                    let again = blamed(&mut requests, incarnation, now_ms);
                    assert_eq!(again, running, "seed {seed}: only running requests are blamed again");
                }
            }
            for (incarnation, one) in open {
                requests.resolved(&incarnation, one);
            }
            requests.needs_check(&without_start_time(), now_ms + 20_000);
            requests.needs_check(&with_start_time(), now_ms + 40_000);
            assert_eq!(requests.unlisted(|_| false), [], "seed {seed}");
        }
    }
}
