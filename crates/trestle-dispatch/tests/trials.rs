//! Attempts of requests that crashed endpoints, one at a time.

use trestle_core::names::VmName;
use trestle_dispatch::{
    crashes::Crashes,
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    local_view::{LocalView, Restriction},
    request::RequestHead,
    retry_share::RetryBounds,
    trials::{TRIAL_MS, Trials},
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
    one_of_simultaneous_attempts_runs => {
        let mut trials = Trials::default();
        let started = (0..77).filter(|number| trials.begin(REQUEST, vm(*number), 1, 1_000).is_ok());
        assert_eq!(started.count(), 1);
    }

    attempts_of_different_requests_run_together => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        assert!(trials.begin(OTHER, vm(0), 2, 0).is_ok());
    }

    next_attempt_runs_after_the_first_has_ended => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        trials.end(REQUEST, &vm(0), 1, 0);
        assert!(trials.begin(REQUEST, vm(1), 1, 1).is_ok());
    }

    // The answer to the first question was late.
    question_that_is_asked_again_is_not_refused_for_its_own_permission => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        assert!(trials.begin(REQUEST, vm(0), 1, 250).is_ok());
        assert!(trials.begin(REQUEST, vm(0), 2, 250).is_err());
    }

    rejected_attempt_does_not_end_another => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        trials.end(REQUEST, &vm(0), 2, 0);
        trials.end(REQUEST, &vm(1), 1, 0);
        assert!(trials.begin(REQUEST, vm(1), 1, 1).is_err());
    }

    lost_attempt_excludes_others_for_a_bounded_time => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        let wait_ms = trials.begin(REQUEST, vm(1), 1, 100).unwrap_err();
        assert!(wait_ms <= 3_000);
        assert!(trials.begin(REQUEST, vm(1), 1, 100 + wait_ms).is_ok());
    }

    // An attempt that ran for longer than a permission lasts did not exclude others any more.
    attempt_excludes_others_while_it_is_renewed => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        for now_ms in (1_000..20_000).step_by(1_000) {
            assert!(trials.renew(REQUEST, vm(0), 1, now_ms));
            assert!(trials.begin(REQUEST, vm(1), 1, now_ms + 999).is_err(), "{now_ms}");
        }
        assert!(trials.begin(REQUEST, vm(1), 1, 19_000 + TRIAL_MS).is_ok());
    }

    lapsed_permission_is_not_renewed_once_another_attempt_runs => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        assert!(trials.begin(REQUEST, vm(1), 1, TRIAL_MS).is_ok());
        assert!(!trials.renew(REQUEST, vm(0), 1, TRIAL_MS + 1));
        trials.end(REQUEST, &vm(1), 1, TRIAL_MS + 1);
        assert!(trials.renew(REQUEST, vm(0), 1, TRIAL_MS + 2));
    }

    // The leader that gave the permission was killed.
    next_leader_learns_of_a_running_attempt_by_its_renewal => {
        let mut trials = Trials::default();
        trials.set_leader_since(Some(0));
        assert!(trials.renew(REQUEST, vm(0), 1, 2_500));
        assert!(trials.begin(REQUEST, vm(1), 1, 2_600).is_err());
        assert!(trials.begin(REQUEST, vm(1), 1, 2_500 + TRIAL_MS - 1).is_err());
    }

    request_runs_serially_after_two_crashes_and_not_after_one => {
        let mut crashes = Crashes::default();
        crashes.record_crash(REQUEST, &incarnation(0), 0, 0);
        assert!(!crashes.must_run_serially(REQUEST, 0));
        crashes.record_crash(REQUEST, &incarnation(1), 100, 100);
        assert!(crashes.must_run_serially(REQUEST, 0));
    }

    // Attempts that waited for the model of a request at all daemons were sent at once to the first
    // engine that had loaded it.
    request_for_an_engine_runs_serially_after_one_crash => {
        let mut crashes = Crashes::default();
        assert!(!crashes.must_run_serially_at_engines(REQUEST, 60));
        crashes.record_crash(REQUEST, &incarnation(0), 0, 0);
        assert!(crashes.must_run_serially_at_engines(REQUEST, 60));
        assert!(!crashes.must_run_serially(REQUEST, 0), "it runs if no leader can be reached");
        crashes.served(REQUEST, 50);
        assert!(!crashes.must_run_serially_at_engines(REQUEST, 60));
    }

    // Callers whose requests only ran beside a crash are not kept waiting for a leader that is gone.
    request_with_one_crash_runs_freely_without_a_leader_and_at_plain_services => {
        let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
        let mut local_view = LocalView::new("z".into(), 2_000, bounds);
        let head = |model: Option<&str>| RequestHead {
            fingerprint: Some(REQUEST),
            model: model.map(Into::into),
            ..RequestHead::default()
        };
        local_view.crashes.record_crash(REQUEST, &incarnation(0), 0, 0);
        assert_eq!(local_view.restriction(&head(Some("a")), 100), Restriction::None);
        local_view.has_leader = true;
        assert_eq!(local_view.restriction(&head(Some("a")), 100), Restriction::Serial);
        assert_eq!(local_view.restriction(&head(None), 100), Restriction::None);
        local_view.crashes.record_crash(REQUEST, &incarnation(1), 50, 50);
        local_view.has_leader = false;
        assert_eq!(local_view.restriction(&head(None), 100), Restriction::Serial);
        local_view.crashes.record_crash(REQUEST, &incarnation(2), 60, 60);
        assert!(matches!(local_view.restriction(&head(None), 100), Restriction::Rejected { .. }));
        local_view.served(Some(REQUEST), 70);
        assert_eq!(local_view.restriction(&head(Some("a")), 100), Restriction::None);
    }

    // Just before the bytes leave, a request that was chosen for an endpoint is looked at again.
    restricted_request_is_sent_only_with_a_permission => {
        assert!(Restriction::None.allows(false));
        assert!(!Restriction::Serial.allows(false));
        assert!(Restriction::Serial.allows(true));
        assert!(!Restriction::Rejected { for_ms: 1 }.allows(true));
    }

    served_request_does_not_run_serially => {
        let mut crashes = Crashes::default();
        crashes.record_crash(REQUEST, &incarnation(0), 0, 0);
        crashes.record_crash(REQUEST, &incarnation(1), 100, 100);
        crashes.served(REQUEST, 150);
        assert!(!crashes.must_run_serially(REQUEST, 0));
    }

    // Attempts of three to five daemons that had seen neither crash reached the third engine at
    // once.
    daemon_that_saw_neither_crash_learns_both_from_its_leader => {
        let (mut leader, mut other) = (Crashes::default(), Crashes::default());
        leader.record_crash(REQUEST, &incarnation(0), 0, 0);
        let (_, before) = leader.restricted_reports(50);
        leader.record_crash(REQUEST, &incarnation(1), 100, 100);
        let (reports, number) = leader.restricted_reports(200);
        assert!(number > before, "the reports have changed");
        other.apply_reports(&reports, 200);
        assert!(other.must_run_serially(REQUEST, 0));
        assert_eq!(other.rejected_for_ms(REQUEST, 200), None);
    }

    answer_lifts_the_restriction_at_other_daemons => {
        let (mut leader, mut other) = (Crashes::default(), Crashes::default());
        leader.record_crash(REQUEST, &incarnation(0), 0, 0);
        leader.record_crash(REQUEST, &incarnation(1), 100, 100);
        let (reports, before) = leader.restricted_reports(200);
        other.apply_reports(&reports, 200);
        leader.served(REQUEST, 250);
        let (reports, number) = leader.restricted_reports(300);
        assert!(number > before);
        other.apply_reports(&reports, 300);
        assert!(!other.must_run_serially(REQUEST, 0));
    }
}
