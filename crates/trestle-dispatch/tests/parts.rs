//! Parts of prompts that crash engines, and parts that only ran beside them.

mod common;

use common::endpoint;
use trestle_dispatch::{
    crashes::Crashes,
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    local_view::{LocalView, Restriction},
    part_answers::PartAnswers,
    request::RequestHead,
    retry_share::RetryBounds,
};

/// Time from a send to the crash under it.
const CRASH_MS: u64 = 100;

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&"s".into(), name)
}

fn engine(number: u64) -> Incarnation {
    Incarnation { name: format!("engine-{number}").into(), started_unix_ms: 0 }
}

/// Records crashes of as many engines, each under an attempt that was sent after the crash before.
fn crash_in_turn(crashes: &mut Crashes, part: Fingerprint, count: u64) -> u64 {
    let at_ms = |number: u64| 1_000 + 2 * CRASH_MS * number;
    for number in 0..count {
        crashes.record_crash(part, &engine(number), at_ms(number) - CRASH_MS, at_ms(number));
    }
    at_ms(count.saturating_sub(1))
}

fn view() -> LocalView {
    let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
    let mut local_view = LocalView::new("z".into(), 2_000, bounds);
    local_view.directory.replace_all(vec![endpoint("x", "z", &["a"])], 0);
    local_view.record_leader(true, 0);
    local_view
}

/// Returns a request with these shared parts.
fn head(parts: &[&str]) -> RequestHead {
    RequestHead {
        model: Some("a".into()),
        fingerprint: Some(Fingerprint::from_bytes([7; 16])),
        part_fingerprints: parts.iter().map(|name| part(name)).collect(),
        ..RequestHead::default()
    }
}

cases! {
    a_part_is_known_by_its_service_and_apart_from_requests => {
        assert_eq!(part("a"), part("a"));
        assert_ne!(part("a"), part("b"));
        assert_ne!(part("a"), Fingerprint::of_part(&"other".into(), "a"));
        assert!(part("a").is_part());
        assert!(!Fingerprint::from_bytes([7; 16]).is_part());
    }

    requests_with_a_part_are_tried_one_at_a_time_then_rejected => {
        for (count, expected) in [(1, Restriction::None), (2, Restriction::Serial), (3, Restriction::Serial)] {
            let mut local_view = view();
            let now_ms = crash_in_turn(&mut local_view.crashes, part("bad"), count);
            assert_eq!(local_view.restriction(&head(&["first", "bad"]), now_ms), expected, "{count}");
            assert_eq!(local_view.restriction(&head(&["first"]), now_ms), Restriction::None);
        }
        let mut local_view = view();
        let now_ms = crash_in_turn(&mut local_view.crashes, part("bad"), 4);
        let restriction = local_view.restriction(&head(&["first", "bad"]), now_ms);
        assert!(matches!(restriction, Restriction::Rejected { for_ms } if for_ms > 20_000), "{restriction:?}");
        assert_eq!(local_view.restriction(&head(&["first"]), now_ms), Restriction::None);
    }

    engines_that_lose_power_together_restrict_no_part => {
        let mut local_view = view();
        for number in 0..9 {
            local_view.crashes.record_crash(part("first"), &engine(number), 500 + number, 1_000 + number);
        }
        assert_eq!(local_view.restriction(&head(&["first"]), 1_100), Restriction::None);
    }

    a_first_event_clears_a_part_of_all_crashes_until_then => {
        let mut local_view = view();
        let now_ms = crash_in_turn(&mut local_view.crashes, part("beside"), 5);
        local_view.parts_answered(&[part("beside")], now_ms + 10);
        assert_eq!(local_view.restriction(&head(&["beside"]), now_ms + 20), Restriction::None);
        let after_ms = now_ms + 1_000;
        local_view.crashes.record_crash(part("beside"), &engine(50), after_ms, after_ms + CRASH_MS);
        assert_eq!(local_view.crashes.counted(part("beside")), 1);
    }

    a_part_that_engines_have_just_begun_to_answer_is_no_suspect => {
        let mut local_view = view();
        local_view.parts_answered(&[part("first")], 1_000);
        let head = head(&["first", "bad"]);
        assert_eq!(local_view.suspects(&head, 2_000), [head.fingerprint.expect("a digest"), part("bad")]);
        assert_eq!(local_view.suspects(&head, 20_000).len(), 3);
    }

    the_part_with_the_most_crashes_is_the_one_that_a_leader_is_asked_about => {
        let mut local_view = view();
        crash_in_turn(&mut local_view.crashes, part("beside"), 2);
        crash_in_turn(&mut local_view.crashes, part("bad"), 3);
        assert_eq!(local_view.restricted_fingerprint(&head(&["bad", "beside"])), Some(part("bad")));
        let other = head(&["first"]);
        assert_eq!(local_view.restricted_fingerprint(&other), other.fingerprint);
    }

    a_part_is_tried_again_after_longer_and_longer_times => {
        let mut crashes = Crashes::default();
        let known_ms = crash_in_turn(&mut crashes, part("bad"), 4);
        let mut for_ms = crashes.rejected_for_ms(part("bad"), known_ms).expect("it is rejected");
        let mut at_ms = known_ms;
        for number in 10..12 {
            at_ms += for_ms;
            assert_eq!(crashes.rejected_for_ms(part("bad"), at_ms), None);
            crashes.record_crash(part("bad"), &engine(number), at_ms, at_ms + CRASH_MS);
            at_ms += CRASH_MS;
            let longer_ms = crashes.rejected_for_ms(part("bad"), at_ms).expect("it is rejected again");
            assert!(longer_ms >= 3 * for_ms, "{for_ms}, then {longer_ms}");
            for_ms = longer_ms;
        }
    }

    other_daemons_come_to_know_a_part_and_its_answer => {
        let (mut one, mut other) = (Crashes::default(), Crashes::default());
        let now_ms = crash_in_turn(&mut one, part("bad"), 4);
        other.apply_reports(&one.reports_since(0, now_ms).0, now_ms);
        assert!(other.rejected_for_ms(part("bad"), now_ms).is_some());
        assert!(one.reports_since(0, now_ms).0[0].is_rejected());
        one.served(part("bad"), now_ms + 50);
        other.apply_reports(&one.reports_since(0, now_ms + 60).0, now_ms + 60);
        assert_eq!(other.rejected_for_ms(part("bad"), now_ms + 60), None);
    }

    however_many_parts_callers_send_the_number_remembered_is_bounded => {
        let mut answers = PartAnswers::default();
        for number in 0..100_000 {
            answers.record(part(&number.to_string()), 1_000);
        }
        let kept = (0..100_000).filter(|number| answers.is_recent(part(&number.to_string()), 1_000));
        assert_eq!(kept.count(), 4_096);
        answers.record(part("later"), 60_000);
        assert!(answers.is_recent(part("later"), 60_000));
    }
}
