//! How often a store that does not answer is tried.

use trestle_dispatch::outage::Outage;

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

/// Tries of three loops in a time, each of which tries as often as it may.
fn tries(outage: &mut Outage, from_ms: u64, until_ms: u64) -> usize {
    let mut count = 0;
    for now_ms in (from_ms..until_ms).step_by(10) {
        for _ in 0..3 {
            if outage.try_now(now_ms).is_ok() {
                count += 1;
                outage.failed(now_ms);
            }
        }
    }
    count
}

cases! {
    a_store_that_answers_is_called_whenever_needed => {
        let mut outage = Outage::new(1_000);
        assert!((0..100).all(|now_ms| outage.try_now(now_ms).is_ok()));
    }

    // Wrong once: each of 69 daemons called four times a second for each thing it wanted,
    // 10,000 calls in an outage of 8 s.
    one_that_does_not_is_tried_about_once_in_the_longest_pause => {
        let mut outage = Outage::new(1_000);
        let count = tries(&mut outage, 0, 10_000);
        assert!((10..=13).contains(&count), "{count} tries in 10 s");
    }

    a_try_that_is_under_way_is_the_only_one => {
        let mut outage = Outage::new(1_000);
        outage.failed(0);
        assert_eq!(outage.try_now(100), Err(150));
        assert_eq!(outage.try_now(250), Ok(()));
        assert!(outage.try_now(260).is_err());
    }

    // Wrong once: loops that wait for the moment took every try, and a daemon that looks each
    // 250 ms could not take a free lease for 20 s.
    one_that_looks_from_time_to_time_gets_its_turn => {
        let mut outage = Outage::new(1_000);
        outage.failed(0);
        let mut turns = 0;
        for now_ms in (10..10_000).step_by(10) {
            if now_ms % 250 == 130 && outage.may_try(now_ms) {
                turns += 1;
                outage.failed(now_ms);
            }
            if outage.try_now(now_ms).is_ok() {
                outage.failed(now_ms);
            }
        }
        assert!(turns >= 5, "{turns} turns in 10 s");
    }

    one_answer_ends_it => {
        let mut outage = Outage::new(1_000);
        tries(&mut outage, 0, 5_000);
        assert!(outage.answered());
        assert!(!outage.answered());
        assert_eq!(outage.try_now(5_000), Ok(()));
        outage.failed(5_000);
        assert_eq!(outage.try_now(5_000), Err(250));
    }

    calls_that_fail_together_count_once => {
        let mut outage = Outage::new(1_000);
        (0..3).for_each(|_| outage.failed(0));
        assert_eq!(outage.try_now(0), Err(250));
    }
}
