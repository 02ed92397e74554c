//! Requests under which endpoints ended: who is refused, and how daemons agree on it.

mod common;

use common::endpoint;
use std::collections::BTreeSet;
use trestle_dispatch::{
    crashes::{Crashes, MAX_CRASHES},
    endpoint::Incarnation,
    fingerprint::{Fingerprint, RequestContent},
    local_view::LocalView,
    retry_share::RetryBounds,
    unresolved_requests::{ConnectionLoss, Evidence, UnresolvedRequests},
};

const MINUTE_MS: u64 = 60_000;
/// Time for which a request is refused at first.
const FIRST_MS: u64 = 30_000;

fn request(number: u8) -> Fingerprint {
    Fingerprint::from_bytes([number; 16])
}

fn incarnation(name: &str, born_ms: u64) -> Incarnation {
    Incarnation { name: name.into(), started_unix_ms: born_ms }
}

/// One request under which so many endpoints ended, a second apart.
fn ended(count: usize) -> Crashes {
    let mut crashes = Crashes::default();
    for number in 0..count {
        crashes.record_crash(
            request(1),
            &incarnation(&format!("e{number}"), 0),
            1_000 * number as u64,
        );
    }
    crashes
}

fn local_view() -> LocalView {
    let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
    let mut local_view = LocalView::new("z".into(), 2_000, bounds);
    local_view.directory.replace_all(vec![endpoint("e", "z", &["a"])], 0);
    local_view
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    a_request_is_refused_from_the_third_end_on => {
        assert_eq!(ended(MAX_CRASHES - 1).refused_for_ms(request(1), 3_000), None);
        let crashes = ended(MAX_CRASHES);
        assert_eq!(crashes.refused_for_ms(request(1), 2_000), Some(FIRST_MS));
        assert_eq!(crashes.refused_for_ms(request(2), 2_000), None);
    }

    an_endpoint_that_ends_twice_in_two_lives_counts_twice => {
        let mut crashes = Crashes::default();
        for (born_ms, at_ms) in [(10, 1_000), (10, 1_050), (20, 5_000), (15, 9_000)] {
            crashes.record_crash(request(1), &incarnation("e", born_ms), at_ms);
        }
        assert!(crashes.refused_for_ms(request(1), 9_000).is_some());
        assert_eq!(crashes.changes_since(0, 9_000).0[0].crashes.len(), 3);
    }

    one_whole_answer_shows_that_a_request_ends_nothing => {
        let mut crashes = ended(1);
        crashes.served(request(1));
        for number in 1..5 {
            crashes.record_crash(request(1), &incarnation(&format!("e{number}"), 0), 1_000);
        }
        assert_eq!(crashes.refused_for_ms(request(1), 1_000), None);
    }

    it_is_let_through_again_ever_more_seldom => {
        let mut crashes = ended(MAX_CRASHES);
        let mut now_ms = 2_000;
        for (number, refused_ms) in [FIRST_MS, 4 * FIRST_MS, 10 * MINUTE_MS * 4 / 5, 10 * MINUTE_MS, 10 * MINUTE_MS].into_iter().enumerate() {
            assert_eq!(crashes.refused_for_ms(request(1), now_ms), Some(refused_ms), "{number}");
            now_ms += refused_ms;
            assert_eq!(crashes.refused_for_ms(request(1), now_ms), None);
            crashes.record_crash(request(1), &incarnation(&format!("later-{number}"), 0), now_ms);
        }
    }

    /// A rack lost its power while many callers asked for the same page at all of its servers.
    what_was_running_everywhere_is_refused_no_longer_than_until_one_answer => {
        let mut crashes = Crashes::default();
        for number in 0..40 {
            crashes.record_crash(request(1), &incarnation(&format!("e{number}"), 0), 1_000 + 10 * number);
        }
        assert!(crashes.refused_for_ms(request(1), 1_400).is_some_and(|ms| ms <= FIRST_MS));
        let mut other = Crashes::default();
        other.apply_reports(&crashes.restricted_reports(1_400).0, 1_400);
        let (_, before) = crashes.restricted_reports(1_400);
        crashes.served(request(1));
        let (told, number) = crashes.restricted_reports(1_500);
        assert!(number > before, "the answer is news for all who refuse it");
        other.apply_reports(&told, 1_500);
        assert_eq!(other.refused_for_ms(request(1), 1_500), None);
    }

    daemons_let_a_request_through_one_after_the_other => {
        let mut late = Crashes::with_delay(3_000);
        late.apply_reports(&ended(MAX_CRASHES).restricted_reports(2_000).0, 2_000);
        assert_eq!(late.refused_for_ms(request(1), 2_000), Some(FIRST_MS + 3_000));
    }

    it_is_forgotten_after_twice_that => {
        let mut crashes = ended(MAX_CRASHES);
        crashes.record_crash(request(2), &incarnation("e", 0), 2_000 + 21 * MINUTE_MS);
        assert_eq!(crashes.changes_since(0, 0).0.len(), 1);
    }

    what_is_remembered_is_bounded_and_what_ended_most_stays => {
        let mut crashes = ended(MAX_CRASHES);
        for number in 0..10_000_u64 {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&number.to_le_bytes());
            bytes[15] = 9;
            crashes.record_crash(Fingerprint::from_bytes(bytes), &incarnation("e", 0), 3_000 + number);
        }
        assert!(crashes.changes_since(0, 13_000).0.len() <= 4_097);
        assert!(crashes.refused_for_ms(request(1), 13_000).is_some());
    }

    /// Three daemons each see one end; whatever way their news take, all refuse the request,
    /// and then nobody has news for another.
    daemons_agree_whatever_way_their_news_take => {
        for seed in 0..200 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut daemons: Vec<Crashes> = (0..3).map(|_| Crashes::default()).collect();
            for (number, daemon) in daemons.iter_mut().enumerate() {
                let at_ms = 1_000 + random.u64(0..4_000);
                daemon.record_crash(request(1), &incarnation(&format!("e{number}"), 0), at_ms);
                if random.bool() {
                    daemon.record_crash(request(1), &incarnation(&format!("f{number}"), 0), at_ms + 3_000);
                }
            }
            let mut told = [[0; 3]; 3];
            let mut exchanges = 0;
            let mut quiet = 0;
            while quiet < 60 {
                let (from, to) = (random.usize(0..3), random.usize(0..3));
                let now_ms = 10_000 + random.u64(0..1_500);
                let (news, number) = daemons[from].changes_since(told[from][to], now_ms);
                told[from][to] = number;
                quiet = if news.is_empty() { quiet + 1 } else { 0 };
                daemons[to].apply_reports(&news, now_ms + random.u64(0..800));
                exchanges += 1;
                assert!(exchanges < 1_000, "seed {seed}: news without end");
            }
            for daemon in &daemons {
                assert!(daemon.refused_for_ms(request(1), 12_000).is_some(), "seed {seed}");
            }
        }
    }

    what_is_refused_is_told_once_to_each_asker => {
        let mut crashes = ended(MAX_CRASHES);
        let (refused, number) = crashes.restricted_reports(2_000);
        assert_eq!(refused.len(), 1);
        assert!(number > 0);
        crashes.record_crash(request(2), &incarnation("e", 0), 2_500);
        assert_eq!(crashes.restricted_reports(2_500).1, number, "one end is no news for askers");
    }

    connections_that_break_make_no_end => {
        let mut unresolved_requests = UnresolvedRequests::default();
        assert_eq!(unresolved_requests.connection_lost(&incarnation("e", 0), request(1), 0), ConnectionLoss::CheckNeeded);
        assert_eq!(unresolved_requests.connection_lost(&incarnation("e", 0), request(2), 1), ConnectionLoss::CheckRunning);
        assert_eq!(unresolved_requests.unlisted(|_| true), Vec::new());
        let requests = unresolved_requests.terminated(&incarnation("e", 0), Evidence::Refused, 1);
        assert_eq!(requests, BTreeSet::from([request(1), request(2)]));
        assert_eq!(unresolved_requests.connection_lost(&incarnation("e", 0), request(3), 2), ConnectionLoss::Terminated);
        assert_eq!(unresolved_requests.connection_lost(&incarnation("e", 7), request(3), 2), ConnectionLoss::CheckNeeded);
    }

    /// It was listed anew before its connections were seen to break.
    an_endpoint_that_started_again_at_once_has_ended => {
        let mut local_view = local_view();
        let before = endpoint("e", "z", &["a"]);
        let mut again = before.clone();
        again.started_unix_ms = 20;
        local_view.directory.apply_written(again);
        assert_eq!(local_view.connection_lost(&before, request(1), 0), Some(ConnectionLoss::Terminated));
        assert_eq!(local_view.connection_lost(&before, request(2), 1), Some(ConnectionLoss::Terminated));
    }

    /// What breaks at an endpoint that leaves, or has left the list, is its planned end.
    endpoints_that_leave_end_under_nothing => {
        let mut local_view = local_view();
        let known = endpoint("e", "z", &["a"]);
        assert_eq!(local_view.connection_lost(&known, request(1), 0), Some(ConnectionLoss::CheckNeeded));
        let mut leaving = known.clone();
        leaving.is_draining = true;
        leaving.entry_number = 2;
        local_view.directory.apply_written(leaving);
        assert_eq!(local_view.connection_lost(&known, request(2), 1), None);
        local_view.directory.apply_removal(&known.name, 2);
        assert_eq!(local_view.connection_lost(&known, request(3), 3), None);
    }

    /// Its entry is removed, it goes on with what runs there, and its address refuses connections
    /// once it has ended.
    endpoints_that_leave_without_a_word_end_under_nothing => {
        let mut local_view = local_view();
        let known = endpoint("e", "z", &["a"]);
        local_view.track_request(&known, request(1));
        local_view.directory.apply_removal(&known.name, 1);
        assert!(local_view.terminated_by_list().iter().all(|(incarnation, evidence)| {
            local_view.unresolved_requests.terminated(incarnation, *evidence, 2).is_empty()
        }));
        assert!(local_view.incarnation_terminated(&known.incarnation(), Evidence::Refused, 3).is_empty());
        assert!(!local_view.request_abandoned(&known, request(1), 4));
    }

    /// Another server has come to its address while its own entry still stands.
    an_endpoint_whose_address_is_anothers_has_ended_under_what_ran_there => {
        let mut local_view = local_view();
        let known = endpoint("e", "z", &["a"]);
        local_view.track_request(&known, request(1));
        let mut new = endpoint("f", "z", &["a"]);
        assert_eq!(local_view.replaced_by(&new), [known.incarnation()]);
        let requests = local_view.incarnation_terminated(&known.incarnation(), Evidence::Replaced, 1);
        assert_eq!(requests, BTreeSet::from([request(1)]));
        new.address.set_port(9_001);
        assert!(local_view.replaced_by(&new).is_empty());
        assert!(local_view.request_abandoned(&known, request(1), 2), "it was open all the while");
    }

    attempts_of_one_request_have_one_fingerprint => {
        let content = RequestContent {
            method: "POST",
            host: "h",
            path: "/a/b?c",
            body: b"body",
        };
        let same = Fingerprint::of(content);
        assert_eq!(Fingerprint::of(content), same);
        let others = [
            RequestContent { method: "PUT", ..content },
            RequestContent { host: "h/a", path: "/b?c", ..content },
            RequestContent { path: "/a/b?cbody", body: b"", ..content },
            RequestContent { body: b"bodies", ..content },
        ];
        for other in others {
            assert_ne!(Fingerprint::of(other), same, "{other:?}");
        }
    }
}
