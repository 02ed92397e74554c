//! How often a daemon calls a store that does not answer.

use trestle_dispatch::outage::Outage;

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

/// Counts the attempts of three loops in a period, each of which tries as often as it may.
fn attempts(outage: &mut Outage, from_ms: u64, until_ms: u64) -> usize {
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
    a_store_that_answers_is_called_without_limit => {
        let mut outage = Outage::new(1_000);
        assert!((0..100).all(|now_ms| outage.try_now(now_ms).is_ok()));
    }

    // Each of 69 daemons called four times a second for each kind of data, which made 10,000
    // calls in an outage of 8 s.
    an_unavailable_store_is_tried_about_once_per_longest_pause => {
        let mut outage = Outage::new(1_000);
        let count = attempts(&mut outage, 0, 10_000);
        assert!((10..=13).contains(&count), "{count} attempts in 10 s");
    }

    only_one_attempt_runs_at_a_time => {
        let mut outage = Outage::new(1_000);
        outage.failed(0);
        assert_eq!(outage.try_now(100), Err(150));
        assert_eq!(outage.try_now(250), Ok(()));
        assert!(outage.try_now(260).is_err());
    }

    // Loops that wait for the exact moment took every attempt, and a daemon that polls each
    // 250 ms could not acquire a free lease for 20 s.
    a_polling_daemon_gets_attempts => {
        let mut outage = Outage::new(1_000);
        outage.failed(0);
        let mut polls = 0;
        for now_ms in (10..10_000).step_by(10) {
            if now_ms % 250 == 130 && outage.may_try(now_ms) {
                polls += 1;
                outage.failed(now_ms);
            }
            if outage.try_now(now_ms).is_ok() {
                outage.failed(now_ms);
            }
        }
        assert!(polls >= 5, "{polls} attempts in 10 s");
    }

    one_answer_ends_the_outage => {
        let mut outage = Outage::new(1_000);
        attempts(&mut outage, 0, 5_000);
        assert!(outage.answered());
        assert!(!outage.answered());
        assert_eq!(outage.try_now(5_000), Ok(()));
        outage.failed(5_000);
        assert_eq!(outage.try_now(5_000), Err(250));
    }

    // Where a bound is below 750 ms, the longest pause is below the first one; the process ended.
    a_longest_pause_below_the_first_one_holds => {
        for longest_ms in [0, 1, 100, 249] {
            let mut outage = Outage::new(longest_ms);
            outage.failed(0);
            assert_eq!(outage.try_now(0), Err(longest_ms.max(1)));
            assert_eq!(outage.try_now(longest_ms.max(1)), Ok(()));
            outage.failed(300);
            assert_eq!(outage.try_now(300), Err(longest_ms.max(1)));
        }
    }

    concurrent_failures_count_once => {
        let mut outage = Outage::new(1_000);
        (0..3).for_each(|_| outage.failed(0));
        assert_eq!(outage.try_now(0), Err(250));
    }
}
