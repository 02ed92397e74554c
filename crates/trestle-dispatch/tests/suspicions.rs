//! Attempts that ended without an answer at endpoints which have given no sign of life since.

use trestle_core::names::VmName;
use trestle_dispatch::{
    crashes::Crashes,
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    local_view::{LocalView, Restriction},
    record::SignOfLife,
    request::RequestHead,
    retry_share::RetryBounds,
    suspicions::IncarnationDigest,
    trials::{TRIAL_MS, Trials},
    unresolved_requests::{Evidence, MAX_CRASH_DELAY_MS, UnresolvedRequests},
};

const REQUEST: Fingerprint = Fingerprint::from_bytes([7; 16]);
const OTHER: Fingerprint = Fingerprint::from_bytes([8; 16]);
/// An hour, in which the store may be away.
const OUTAGE_MS: u64 = 3_600_000;

fn incarnation(number: u64) -> Incarnation {
    Incarnation { name: format!("engine-{number}").into(), started_unix_ms: number }
}

fn vm(number: u64) -> VmName {
    format!("vm-{number}").into()
}

/// Returns a view in which a request was aborted at some endpoints at 1,000 ms.
fn with_aborted(endpoints: u64) -> LocalView {
    let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
    let mut local_view = LocalView::new("z".into(), 2_000, bounds);
    for number in 0..endpoints {
        local_view.unresolved_requests.connection_lost(&incarnation(number), REQUEST, 1_000);
    }
    local_view
}

/// Returns a view in which a request is suspected at some endpoints.
fn with_suspected(endpoints: u64) -> LocalView {
    let mut local_view = with_aborted(endpoints);
    for number in 0..endpoints {
        let suspected = local_view.endpoint_gave_no_sign(&incarnation(number), 1_500, 1_900);
        assert_eq!(suspected, [REQUEST]);
    }
    local_view
}

fn restriction(local_view: &LocalView, now_ms: u64) -> Restriction {
    let head = RequestHead { fingerprint: Some(REQUEST), ..RequestHead::default() };
    local_view.restriction(&head, now_ms)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    /// What a daemon knew of its own attempts lapsed after 6 s although no endpoint had answered, and
    /// the request ran freely again.
    a_suspected_request_stays_restricted_until_it_is_answered => {
        assert_eq!(restriction(&with_aborted(2), 7_100), Restriction::None);
        let mut local_view = with_suspected(2);
        assert_eq!(restriction(&local_view, 7_100), Restriction::Serial);
        assert_eq!(restriction(&local_view, 601_000), Restriction::Serial);
        local_view.served(Some(REQUEST), 601_100);
        assert_eq!(restriction(&local_view, 601_200), Restriction::None);
    }

    a_suspicion_alone_never_rejects_a_request => {
        assert_eq!(restriction(&with_suspected(9), 2_000), Restriction::Serial);
    }

    one_suspicion_restricts_nothing => {
        assert_eq!(restriction(&with_suspected(1), 2_000), Restriction::None);
    }

    a_check_just_after_the_abort_shows_nothing => {
        let mut local_view = with_aborted(2);
        let checked_ms = 1_000 + MAX_CRASH_DELAY_MS - 1;
        assert!(local_view.endpoint_gave_no_sign(&incarnation(0), checked_ms, 1_900).is_empty());
    }

    /// Endpoints that were only slow to answer a check, or whose links were cut.
    a_sign_of_life_after_the_attempt_clears_the_suspicion_at_all_daemons => {
        let (mut local_view, mut other) = (with_suspected(2), with_aborted(0));
        other.crashes.apply_reports(&local_view.crashes.own_reports_since(0, 2_000).0, 2_050);
        assert_eq!(restriction(&other, 2_100), Restriction::Serial);
        local_view.endpoint_is_alive(&incarnation(0), 2_500, 2_600);
        assert!(!local_view.unresolved_requests.is_unresolved(&incarnation(0), REQUEST, 2_600));
        assert_eq!(restriction(&local_view, 2_700), Restriction::None);
        other.crashes.apply_reports(&local_view.crashes.own_reports_since(0, 2_700).0, 2_750);
        assert_eq!(restriction(&other, 2_800), Restriction::None);
        local_view.crashes.apply_reports(&other.crashes.reports_since(0, 2_900).0, 2_900);
        assert_eq!(local_view.crashes.suspected(REQUEST, 3_000), 1, "the other endpoint is silent");
    }

    an_attempt_after_the_sign_of_life_is_suspected_again => {
        let mut crashes = Crashes::default();
        crashes.record_suspicion(REQUEST, &incarnation(0), 1_000, 1_900);
        crashes.record_survival(REQUEST, &incarnation(0), 1_000, 2_600);
        assert_eq!(crashes.suspected(REQUEST, 2_700), 0);
        crashes.record_suspicion(REQUEST, &incarnation(0), 3_000, 3_900);
        assert_eq!(crashes.suspected(REQUEST, 4_000), 1);
    }

    /// The daemon that received the answer had recorded it before it heard of the suspicion.
    an_answer_is_reported_again_to_a_daemon_that_does_not_know_it => {
        let mut answered = with_suspected(1);
        answered.served(Some(REQUEST), 3_000);
        let (_, reported) = answered.crashes.own_reports_since(0, 3_100);
        let mut other = with_suspected(2);
        answered.crashes.apply_reports(&other.crashes.own_reports_since(0, 3_200).0, 3_200);
        let (reports, _) = answered.crashes.own_reports_since(reported, 3_300);
        other.crashes.apply_reports(&reports, 3_300);
        assert_eq!(restriction(&other, 3_400), Restriction::None);
    }

    /// Endpoints that had lost answers before took the places of those that crashed later.
    attempts_are_suspected_after_many_endpoints_have_survived => {
        let mut crashes = Crashes::default();
        for number in 0..9 {
            crashes.record_suspicion(REQUEST, &incarnation(number), 1_000, 1_900);
            crashes.record_survival(REQUEST, &incarnation(number), 1_000, 2_000);
        }
        for number in 10..12 {
            crashes.record_suspicion(REQUEST, &incarnation(number), 3_000, 3_900);
        }
        assert_eq!(crashes.suspected(REQUEST, 4_000), 2);
    }

    /// Many requests that each lost one answer must not push out the one that crashes engines.
    requests_with_fewer_suspicions_are_forgotten_first => {
        let mut crashes = Crashes::default();
        for number in 0..2 {
            crashes.record_suspicion(REQUEST, &incarnation(number), 1_000, 1_900);
        }
        for number in 0..5_000_u64 {
            let mut bytes = [9; 16];
            bytes[..8].copy_from_slice(&number.to_le_bytes());
            crashes.record_suspicion(Fingerprint::from_bytes(bytes), &incarnation(0), 2_000, 2_900);
        }
        assert_eq!(crashes.suspected(REQUEST, 3_000), 2);
    }

    /// Each of twelve daemons let the request run twice before it knew of two crashed endpoints.
    a_daemon_without_attempts_of_its_own_learns_the_suspicions => {
        let (first, second) = (with_suspected(1), with_suspected(2));
        let mut leader = Crashes::default();
        leader.apply_reports(&first.crashes.own_reports_since(0, 2_000).0, 2_000);
        leader.apply_reports(&second.crashes.own_reports_since(0, 2_000).0, 2_000);
        let mut other = with_aborted(0);
        other.crashes.apply_reports(&leader.reports_since(0, 2_100).0, 2_100);
        assert_eq!(other.crashes.suspected(REQUEST, 2_200), 2, "the first endpoint counts once");
        assert_eq!(restriction(&other, 2_200), Restriction::Serial);
    }

    an_answer_at_one_daemon_clears_the_suspicions_of_all => {
        let mut other = with_suspected(2);
        let mut answered = with_aborted(0);
        answered.crashes.apply_reports(&other.crashes.reports_since(0, 2_000).0, 2_000);
        answered.served(Some(REQUEST), 3_000);
        other.crashes.apply_reports(&answered.crashes.own_reports_since(0, 3_100).0, 3_100);
        assert_eq!(restriction(&other, 3_200), Restriction::None);
        answered.crashes.apply_reports(&other.crashes.reports_since(0, 3_300).0, 3_300);
        assert_eq!(restriction(&answered, 3_400), Restriction::None, "older reports do not bring them back");
    }

    attempts_after_an_answer_are_suspected_again => {
        let mut local_view = with_suspected(2);
        local_view.served(Some(REQUEST), 3_000);
        for number in 0..2 {
            local_view.unresolved_requests.connection_lost(&incarnation(number), REQUEST, 4_000);
            local_view.endpoint_gave_no_sign(&incarnation(number), 4_500, 4_600);
        }
        assert_eq!(restriction(&local_view, 20_000), Restriction::Serial);
    }

    /// The only engine with a model starts again under its name after each crash, unseen.
    separate_attempts_at_one_endpoint_count_twice => {
        let mut crashes = Crashes::default();
        crashes.record_suspicion(REQUEST, &incarnation(0), 1_000, 1_900);
        crashes.record_suspicion(REQUEST, &incarnation(0), 1_500, 2_400);
        assert_eq!(crashes.suspected(REQUEST, 3_000), 1, "one crash may have ended both");
        crashes.record_suspicion(REQUEST, &incarnation(0), 3_000, 3_900);
        assert_eq!(crashes.suspected(REQUEST, 4_000), 2);
    }

    a_crash_that_becomes_known_counts_in_place_of_the_suspicion => {
        let mut local_view = with_suspected(2);
        let incarnation = incarnation(0);
        let blamed = local_view.unresolved_requests.terminated(&incarnation, Evidence::StartedAgain, 30_000);
        assert_eq!(blamed.keys().collect::<Vec<_>>(), [&REQUEST], "it is still remembered");
        local_view.crashes.record_crash(REQUEST, &incarnation, blamed[&REQUEST], 30_000);
        assert_eq!(local_view.crashes.counted(REQUEST), 1);
        assert_eq!(local_view.crashes.suspected(REQUEST, 30_100), 1);
        local_view.crashes.record_suspicion(REQUEST, &incarnation, 1_000, 31_000);
        assert_eq!(local_view.crashes.suspected(REQUEST, 31_100), 1, "a late report of it");
    }

    suspicions_lapse_with_the_record => {
        let local_view = with_suspected(2);
        assert_eq!(local_view.crashes.suspected(REQUEST, 1_202_000), 0);
    }

    digests_tell_incarnations_apart => {
        let digest = |number| IncarnationDigest::of(&incarnation(number));
        assert_eq!(digest(1), digest(1));
        assert_ne!(digest(1), digest(2));
        assert_eq!(IncarnationDigest::from_number(digest(1).number()), Some(digest(1)));
    }

    /// While no answer arrives, it never becomes known how an attempt ended, and each next one crashed
    /// another engine.
    attempts_without_an_answer_become_rare => {
        let mut trials = Trials::default();
        let (mut now_ms, mut count) = (0, 0);
        while now_ms < OUTAGE_MS {
            match trials.begin(REQUEST, vm(count % 5), count, now_ms) {
                Ok(()) => {
                    now_ms += 900;
                    trials.end_unanswered(REQUEST, vm(count % 5), count, now_ms);
                    count += 1;
                }
                Err(for_ms) => now_ms += for_ms,
            }
        }
        assert!((4..=12).contains(&count), "{count} attempts in an hour");
    }

    the_next_attempt_runs_at_once_when_the_endpoint_gives_a_sign_of_life => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        trials.end_unanswered(REQUEST, vm(0), 1, 900);
        let wait_ms = trials.begin(REQUEST, vm(1), 1, 1_000).unwrap_err();
        assert!(wait_ms > 0 && wait_ms <= TRIAL_MS);
        assert!(trials.begin(OTHER, vm(1), 2, 1_000).is_ok(), "other requests do not wait");
        trials.end(REQUEST, &vm(0), 1, 2_000);
        assert!(trials.begin(REQUEST, vm(1), 3, 2_001).is_ok());
    }

    an_end_without_an_answer_counts_once => {
        let mut trials = Trials::default();
        assert!(trials.begin(REQUEST, vm(0), 1, 0).is_ok());
        trials.end_unanswered(REQUEST, vm(0), 1, 900);
        let wait_ms = trials.begin(REQUEST, vm(1), 1, 1_200).unwrap_err();
        trials.end_unanswered(REQUEST, vm(0), 1, 1_200);
        assert_eq!(trials.begin(REQUEST, vm(1), 1, 1_200), Err(wait_ms));
    }

    a_later_attempt_that_was_given_back_does_not_shorten_the_wait => {
        let mut trials = Trials::default();
        trials.end_unanswered(REQUEST, vm(0), 1, 1_000);
        let later_ms = 1_000 + TRIAL_MS;
        assert!(trials.begin(REQUEST, vm(1), 2, later_ms).is_ok());
        trials.end(REQUEST, &vm(1), 2, later_ms);
        assert!(trials.begin(REQUEST, vm(0), 3, later_ms).is_ok());
        trials.end_unanswered(REQUEST, vm(0), 3, later_ms);
        let wait_ms = trials.begin(REQUEST, vm(1), 4, later_ms).unwrap_err();
        assert!(wait_ms > TRIAL_MS, "the first attempt still counts");
    }

    a_complete_answer_ends_the_wait => {
        let mut trials = Trials::default();
        trials.end_unanswered(REQUEST, vm(0), 1, 1_000);
        trials.set_answered(REQUEST, Some(900));
        assert!(trials.begin(REQUEST, vm(1), 1, 1_100).is_err(), "an answer from before");
        trials.set_answered(REQUEST, None);
        assert!(trials.begin(REQUEST, vm(1), 1, 1_100).is_err());
        trials.set_answered(REQUEST, Some(1_050));
        assert!(trials.begin(REQUEST, vm(1), 1, 1_100).is_ok());
    }

    /// Checks of endpoints that give no sign of life must not go on for ever.
    checks_of_a_silent_endpoint_end_with_its_suspicions => {
        let mut requests = UnresolvedRequests::default();
        requests.connection_lost(&incarnation(0), REQUEST, 1_000);
        requests.gave_no_sign(&incarnation(0), 1_500);
        assert!(requests.needs_check(&incarnation(0), 600_000));
        assert!(!requests.needs_check(&incarnation(0), 1_201_500));
    }

    an_abandoned_request_starts_one_check => {
        let mut requests = UnresolvedRequests::default();
        assert!(!requests.start_check(&incarnation(0)), "nothing was sent there");
        let address = ([127, 0, 0, 1], 9_000).into();
        requests.sent(&incarnation(0), address, REQUEST, 0);
        requests.abandoned(&incarnation(0), REQUEST, 1_000);
        assert!(requests.start_check(&incarnation(0)));
        assert!(!requests.start_check(&incarnation(0)));
    }

    /// The request was answered elsewhere before the check, so nothing was found out, and the next
    /// callers lost their answers there, too.
    an_endpoint_that_sent_nothing_is_checked_even_if_another_answered => {
        let mut requests = UnresolvedRequests::default();
        requests.sent(&incarnation(0), ([127, 0, 0, 1], 9_000).into(), REQUEST, 0);
        requests.abandoned(&incarnation(0), REQUEST, 1_000);
        assert!(requests.start_check(&incarnation(0)));
        requests.served(REQUEST);
        assert!(requests.needs_check(&incarnation(0), 1_500));
        assert!(requests.gave_no_sign(&incarnation(0), 1_500).is_empty(), "the request is not suspected");
        assert!(requests.needs_check(&incarnation(0), 8_000), "it is checked until it answers");
        requests.gave_sign(&incarnation(0));
        assert!(!requests.needs_check(&incarnation(0), 9_000));
    }

    one_check_of_an_endpoint_runs_at_a_time => {
        let mut local_view = with_aborted(0);
        assert!(local_view.records.begin_check(&"e".into(), 1_000, 1_400));
        assert!(!local_view.records.begin_check(&"e".into(), 1_100, 1_500));
        local_view.records.gave_sign(&"e".into(), 1_200);
        assert!(local_view.records.begin_check(&"e".into(), 1_300, 1_700));
        assert!(local_view.records.begin_check(&"e".into(), 1_700, 2_100), "the last one was lost");
    }

    silent_endpoints_are_known_for_some_seconds => {
        let mut local_view = with_aborted(0);
        assert_eq!(local_view.records.of(&"e".into()).sign_of_life(0), SignOfLife::Unknown);
        assert!(local_view.records.gave_no_sign(&"e".into(), 1_000));
        assert!(!local_view.records.gave_no_sign(&"e".into(), 2_000), "it was silent before");
        assert_eq!(local_view.records.of(&"e".into()).sign_of_life(4_900), SignOfLife::Missing);
        assert_eq!(local_view.records.silent(4_900).count(), 1);
        local_view.records.gave_sign(&"e".into(), 4_950);
        assert_eq!(local_view.records.of(&"e".into()).sign_of_life(5_000), SignOfLife::Recent);
        assert_eq!(local_view.records.silent(5_000).count(), 0);
    }
}
