//! Attempts of requests that ended endpoints, one at a time.

use trestle_core::names::VmName;
use trestle_dispatch::{
    crashes::Crashes, endpoint::Incarnation, fingerprint::Fingerprint, trials::Trials,
};

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

const REQUEST: Fingerprint = Fingerprint::from_bytes([7; 16]);
const OTHER: Fingerprint = Fingerprint::from_bytes([8; 16]);

fn vm(number: u64) -> VmName {
    format!("vm-{number}").into()
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { name: format!("engine-{number}").into(), started_unix_ms: number }
}

cases! {
    of_attempts_that_come_at_once_one_runs => {
        let mut trials = Trials::default();
        let begun = (0..77).filter(|number| trials.begin(REQUEST, vm(*number), 1, 1_000).is_ok());
        assert_eq!(begun.count(), 1);
    }

    another_request_does_not_wait_for_it => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        assert!(trials.begin(OTHER, vm(0), 2, 0).is_ok());
    }

    the_next_runs_once_it_has_ended => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        trials.end(REQUEST, &vm(0), 1);
        assert!(trials.begin(REQUEST, vm(1), 1, 1).is_ok());
    }

    an_attempt_that_was_refused_ends_nobody_elses => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        trials.end(REQUEST, &vm(0), 2);
        trials.end(REQUEST, &vm(1), 1);
        assert!(trials.begin(REQUEST, vm(1), 1, 1).is_err());
    }

    nothing_is_kept_away_for_long_by_an_attempt_that_vanished => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        let wait_ms = trials.begin(REQUEST, vm(1), 1, 100).unwrap_err();
        assert!(wait_ms <= 3_000);
        assert!(trials.begin(REQUEST, vm(1), 1, 100 + wait_ms).is_ok());
    }

    what_ended_two_endpoints_is_tried_and_what_ended_one_is_not => {
        let mut crashes = Crashes::default();
        crashes.record_crash(REQUEST, &incarnation(0), 0);
        assert!(!crashes.must_run_serially(REQUEST));
        crashes.record_crash(REQUEST, &incarnation(1), 100);
        assert!(crashes.must_run_serially(REQUEST));
    }

    what_had_an_answer_is_not_tried => {
        let mut crashes = Crashes::default();
        crashes.record_crash(REQUEST, &incarnation(0), 0);
        crashes.record_crash(REQUEST, &incarnation(1), 100);
        crashes.served(REQUEST);
        assert!(!crashes.must_run_serially(REQUEST));
    }

    // Attempts of three to five daemons that had seen neither end reached the third engine at once.
    a_daemon_that_saw_neither_end_hears_of_both_from_its_leader => {
        let (mut leader, mut other) = (Crashes::default(), Crashes::default());
        leader.record_crash(REQUEST, &incarnation(0), 0);
        let (_, before) = leader.restricted_reports(50);
        leader.record_crash(REQUEST, &incarnation(1), 100);
        let (told, number) = leader.restricted_reports(200);
        assert!(number > before, "it is news for askers");
        other.apply_reports(&told, 200);
        assert!(other.must_run_serially(REQUEST));
        assert_eq!(other.rejected_for_ms(REQUEST, 200), None);
    }

    an_answer_takes_back_what_askers_were_told => {
        let (mut leader, mut other) = (Crashes::default(), Crashes::default());
        leader.record_crash(REQUEST, &incarnation(0), 0);
        leader.record_crash(REQUEST, &incarnation(1), 100);
        let (told, before) = leader.restricted_reports(200);
        other.apply_reports(&told, 200);
        leader.served(REQUEST);
        let (told, number) = leader.restricted_reports(300);
        assert!(number > before);
        other.apply_reports(&told, 300);
        assert!(!other.must_run_serially(REQUEST));
    }
}
