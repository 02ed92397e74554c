//! Which requests are blamed for the end of an endpoint, over many orders of events.

use std::collections::BTreeSet;
use trestle_dispatch::{
    endpoint::Life,
    fingerprint::Fingerprint,
    suspects::{Break, ENDS_WITHIN_MS, Evidence, Suspects},
};

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9_000);

fn request(number: u8) -> Fingerprint {
    Fingerprint::from_bytes([number; 16])
}

/// A life whose name tells it apart.
fn named() -> Life {
    Life { name: "e".into(), born_ms: 0 }
}

/// A life that only the moment of its start tells apart.
fn born() -> Life {
    Life { name: "e".into(), born_ms: 7 }
}

fn blamed(suspects: &mut Suspects, life: &Life, now_ms: u64) -> BTreeSet<Fingerprint> {
    suspects.ended(life, Evidence::Refused, now_ms)
}

/// What is blamed when an endpoint ends after a connection broke at 0, and an answer came to a
/// request that left at `sent_ms` over a connection that was opened at `opened_ms`.
fn blamed_after(life: &Life, sent_ms: u64, opened_ms: u64) -> usize {
    let mut suspects = Suspects::default();
    suspects.broke(life, request(1), 0);
    suspects.answered(life, sent_ms, opened_ms);
    blamed(&mut suspects, life, sent_ms + 1).len()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    /// A look at the first connection that broke had found that the endpoint lives, and no later
    /// one was looked into for 6 s.
    each_connection_that_breaks_has_it_found_out => {
        let mut suspects = Suspects::default();
        assert_eq!(suspects.broke(&named(), request(1), 0), Break::First);
        assert_eq!(suspects.broke(&named(), request(2), 10), Break::Further);
        suspects.lived(&named(), 10 + ENDS_WITHIN_MS);
        assert!(!suspects.keeps_looking(&named(), 10 + ENDS_WITHIN_MS));
        assert_eq!(suspects.broke(&named(), request(3), 900), Break::First);
        assert!(suspects.keeps_looking(&named(), 1_400));
    }

    looking_goes_on_while_something_is_in_doubt_and_no_longer => {
        let mut suspects = Suspects::default();
        suspects.broke(&named(), request(1), 0);
        assert!(suspects.keeps_looking(&named(), 500));
        suspects.answered(&named(), 700, 650);
        assert!(!suspects.keeps_looking(&named(), 1_000));
        suspects.broke(&named(), request(1), 2_000);
        assert!(!suspects.keeps_looking(&named(), 20_000), "it is forgotten");
    }

    /// Callers give up behind a cut; no connection breaks when the engine ends.
    what_nobody_waited_for_is_blamed => {
        let mut suspects = Suspects::default();
        suspects.sent(&born(), ADDRESS.into(), request(1));
        assert!(!suspects.left(&born(), request(1), 100));
        suspects.sent(&born(), ADDRESS.into(), request(2));
        let requests = suspects.ended(&born(), Evidence::StartedAgain, 2_000);
        assert_eq!(requests, BTreeSet::from([request(1), request(2)]));
        assert!(suspects.left(&born(), request(2), 2_100), "it is known to have ended");
    }

    /// It may have left without a word, and then goes on with what runs there.
    what_runs_at_an_endpoint_that_is_no_longer_listed_is_not_blamed => {
        let mut suspects = Suspects::default();
        suspects.sent(&named(), ADDRESS.into(), request(1));
        assert!(suspects.ended(&named(), Evidence::Unlisted, 100).is_empty());
        suspects.broke(&named(), request(2), 200);
        let requests = suspects.ended(&named(), Evidence::Unlisted, 300);
        assert_eq!(requests, BTreeSet::from([request(2)]));
    }

    what_had_an_answer_is_not_blamed => {
        let mut suspects = Suspects::default();
        suspects.sent(&named(), ADDRESS.into(), request(1));
        suspects.settled(&named(), request(1));
        suspects.broke(&named(), request(2), 10);
        suspects.served(request(2));
        assert!(blamed(&mut suspects, &named(), 20).is_empty());
    }

    /// An engine lost a request's connection, lived on, and ended 2.5 s later by another cause.
    what_was_broken_off_before_the_endpoint_was_seen_to_live_is_not_blamed => {
        assert_eq!(blamed_after(&named(), ENDS_WITHIN_MS, 400), 0);
        assert_eq!(blamed_after(&named(), ENDS_WITHIN_MS - 1, 400), 1, "it may still end");
    }

    /// A start is told from the one before under its name by a connection that was open before.
    an_answer_of_a_later_start_clears_nothing => {
        assert_eq!(blamed_after(&born(), 900, 850), 1);
        assert_eq!(blamed_after(&born(), 900, 0), 0);
    }

    another_one_at_its_address_is_its_end => {
        let mut suspects = Suspects::default();
        suspects.sent(&named(), ADDRESS.into(), request(1));
        assert_eq!(suspects.others_at(ADDRESS.into(), &"f".into()), [named()]);
        assert_eq!(suspects.others_at(ADDRESS.into(), &"e".into()), []);
        blamed(&mut suspects, &named(), 10);
        assert_eq!(suspects.others_at(ADDRESS.into(), &"f".into()), []);
    }

    a_request_is_in_doubt_at_each_endpoint_that_broke_it_off => {
        let mut suspects = Suspects::default();
        for name in ["e", "f"] {
            suspects.broke(&Life { name: name.into(), born_ms: 0 }, request(1), 0);
        }
        assert_eq!(suspects.in_doubt(request(1), 100), 2);
        suspects.lived(&named(), 600);
        assert_eq!(suspects.in_doubt(request(1), 700), 1);
        assert_eq!(suspects.in_doubt(request(1), 6_000), 0);
    }

    /// Whatever comes in whatever order, only what was sent and had no answer is blamed, and
    /// everything is forgotten in the end.
    nothing_is_blamed_that_was_not_open => {
        for seed in 0..400 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut suspects = Suspects::default();
            let lives = [named(), born()];
            let mut open: BTreeSet<(Life, Fingerprint)> = BTreeSet::new();
            let mut now_ms = 0;
            for _ in 0..300 {
                now_ms += random.u64(0..400);
                let life = &lives[random.usize(..2)];
                let one = request(random.u8(0..4));
                let key = (life.clone(), one);
                match random.u32(..6) {
                    0 | 1 if !open.contains(&key) => {
                        suspects.sent(life, ADDRESS.into(), one);
                        open.insert(key);
                    }
                    2 if open.remove(&key) => suspects.settled(life, one),
                    3 if open.contains(&key) => {
                        suspects.broke(life, one, now_ms);
                    }
                    4 if open.remove(&key) => _ = suspects.left(life, one, now_ms),
                    5 => suspects.answered(life, now_ms, now_ms),
                    _ => {}
                }
                if random.u32(..40) == 0 {
                    for blamed in blamed(&mut suspects, life, now_ms) {
                        assert!(blamed <= request(3), "seed {seed}");
                    }
                    let running = open.iter().filter(|(of, _)| of == life);
                    let running: BTreeSet<Fingerprint> = running.map(|(_, one)| *one).collect();
                    let again = blamed(&mut suspects, life, now_ms);
                    assert_eq!(again, running, "seed {seed}: only what still runs");
                }
            }
            for (life, one) in open {
                suspects.settled(&life, one);
            }
            suspects.keeps_looking(&named(), now_ms + 20_000);
            suspects.keeps_looking(&born(), now_ms + 40_000);
            assert_eq!(suspects.gone(|_| false), [], "seed {seed}");
        }
    }
}
