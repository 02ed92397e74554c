//! Requests under which endpoints ended: who is refused, and how daemons agree on it.

mod common;

use common::endpoint;
use std::collections::BTreeSet;
use trestle_dispatch::{
    beliefs::Beliefs,
    crashes::{Crashes, MOST_ENDS},
    endpoint::Life,
    fingerprint::{Fingerprint, RequestContent},
    retry_share::RetryBounds,
    suspects::{Break, Evidence, Suspects},
};

const MINUTE_MS: u64 = 60_000;
/// Time for which a request is refused at first.
const FIRST_MS: u64 = 30_000;

fn request(number: u8) -> Fingerprint {
    Fingerprint::from_bytes([number; 16])
}

fn life(name: &str, born_ms: u64) -> Life {
    Life { name: name.into(), born_ms }
}

/// One request under which so many endpoints ended, a second apart.
fn ended(count: usize) -> Crashes {
    let mut crashes = Crashes::default();
    for number in 0..count {
        crashes.ended(request(1), &life(&format!("e{number}"), 0), 1_000 * number as u64);
    }
    crashes
}

fn beliefs() -> Beliefs {
    let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
    let mut beliefs = Beliefs::new("z".into(), 2_000, bounds);
    beliefs.directory.replaced(vec![endpoint("e", "z", &["a"])], 0);
    beliefs
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    a_request_is_refused_from_the_third_end_on => {
        assert_eq!(ended(MOST_ENDS - 1).refused_for_ms(request(1), 3_000), None);
        let crashes = ended(MOST_ENDS);
        assert_eq!(crashes.refused_for_ms(request(1), 2_000), Some(FIRST_MS));
        assert_eq!(crashes.refused_for_ms(request(2), 2_000), None);
    }

    an_endpoint_that_ends_twice_in_two_lives_counts_twice => {
        let mut crashes = Crashes::default();
        for (born_ms, at_ms) in [(10, 1_000), (10, 1_050), (20, 5_000), (15, 9_000)] {
            crashes.ended(request(1), &life("e", born_ms), at_ms);
        }
        assert!(crashes.refused_for_ms(request(1), 9_000).is_some());
        assert_eq!(crashes.news(0, 9_000).0[0].ends.len(), 3);
    }

    one_whole_answer_shows_that_a_request_ends_nothing => {
        let mut crashes = ended(1);
        crashes.served(request(1));
        for number in 1..5 {
            crashes.ended(request(1), &life(&format!("e{number}"), 0), 1_000);
        }
        assert_eq!(crashes.refused_for_ms(request(1), 1_000), None);
    }

    it_is_let_through_again_ever_more_seldom => {
        let mut crashes = ended(MOST_ENDS);
        let mut now_ms = 2_000;
        for (number, refused_ms) in [FIRST_MS, 4 * FIRST_MS, 10 * MINUTE_MS * 4 / 5, 10 * MINUTE_MS, 10 * MINUTE_MS].into_iter().enumerate() {
            assert_eq!(crashes.refused_for_ms(request(1), now_ms), Some(refused_ms), "{number}");
            now_ms += refused_ms;
            assert_eq!(crashes.refused_for_ms(request(1), now_ms), None);
            crashes.ended(request(1), &life(&format!("later-{number}"), 0), now_ms);
        }
    }

    /// A rack lost its power while many callers asked for the same page at all of its servers.
    what_was_running_everywhere_is_refused_no_longer_than_until_one_answer => {
        let mut crashes = Crashes::default();
        for number in 0..40 {
            crashes.ended(request(1), &life(&format!("e{number}"), 0), 1_000 + 10 * number);
        }
        assert!(crashes.refused_for_ms(request(1), 1_400).is_some_and(|ms| ms <= FIRST_MS));
        let mut other = Crashes::default();
        other.heard(&crashes.refused(1_400).0, 1_400);
        let (_, before) = crashes.refused(1_400);
        crashes.served(request(1));
        let (told, number) = crashes.refused(1_500);
        assert!(number > before, "the answer is news for all who refuse it");
        other.heard(&told, 1_500);
        assert_eq!(other.refused_for_ms(request(1), 1_500), None);
    }

    daemons_let_a_request_through_one_after_the_other => {
        let mut late = Crashes::late_by(3_000);
        late.heard(&ended(MOST_ENDS).refused(2_000).0, 2_000);
        assert_eq!(late.refused_for_ms(request(1), 2_000), Some(FIRST_MS + 3_000));
    }

    it_is_forgotten_after_twice_that => {
        let mut crashes = ended(MOST_ENDS);
        crashes.ended(request(2), &life("e", 0), 2_000 + 21 * MINUTE_MS);
        assert_eq!(crashes.news(0, 0).0.len(), 1);
    }

    what_is_remembered_is_bounded_and_what_ended_most_stays => {
        let mut crashes = ended(MOST_ENDS);
        for number in 0..10_000_u64 {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&number.to_le_bytes());
            bytes[15] = 9;
            crashes.ended(Fingerprint::from_bytes(bytes), &life("e", 0), 3_000 + number);
        }
        assert!(crashes.news(0, 13_000).0.len() <= 4_097);
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
                daemon.ended(request(1), &life(&format!("e{number}"), 0), at_ms);
                if random.bool() {
                    daemon.ended(request(1), &life(&format!("f{number}"), 0), at_ms + 3_000);
                }
            }
            let mut told = [[0; 3]; 3];
            let mut exchanges = 0;
            let mut quiet = 0;
            while quiet < 60 {
                let (from, to) = (random.usize(0..3), random.usize(0..3));
                let now_ms = 10_000 + random.u64(0..1_500);
                let (news, number) = daemons[from].news(told[from][to], now_ms);
                told[from][to] = number;
                quiet = if news.is_empty() { quiet + 1 } else { 0 };
                daemons[to].heard(&news, now_ms + random.u64(0..800));
                exchanges += 1;
                assert!(exchanges < 1_000, "seed {seed}: news without end");
            }
            for daemon in &daemons {
                assert!(daemon.refused_for_ms(request(1), 12_000).is_some(), "seed {seed}");
            }
        }
    }

    what_is_refused_is_told_once_to_each_asker => {
        let mut crashes = ended(MOST_ENDS);
        let (refused, number) = crashes.refused(2_000);
        assert_eq!(refused.len(), 1);
        assert!(number > 0);
        crashes.ended(request(2), &life("e", 0), 2_500);
        assert_eq!(crashes.refused(2_500).1, number, "one end is no news for askers");
    }

    connections_that_break_make_no_end => {
        let mut suspects = Suspects::default();
        assert_eq!(suspects.broke(&life("e", 0), request(1), 0), Break::First);
        assert_eq!(suspects.broke(&life("e", 0), request(2), 1), Break::Further);
        assert_eq!(suspects.gone(|_| true), Vec::new());
        let requests = suspects.ended(&life("e", 0), Evidence::Refused, 1);
        assert_eq!(requests, BTreeSet::from([request(1), request(2)]));
        assert_eq!(suspects.broke(&life("e", 0), request(3), 2), Break::Ended);
        assert_eq!(suspects.broke(&life("e", 7), request(3), 2), Break::First);
    }

    /// It was listed anew before its connections were seen to break.
    an_endpoint_that_started_again_at_once_has_ended => {
        let mut beliefs = beliefs();
        let before = endpoint("e", "z", &["a"]);
        let mut again = before.clone();
        again.born_ms = 20;
        beliefs.directory.written(again);
        assert_eq!(beliefs.connection_broke(&before, request(1), 0), Some(Break::Ended));
        assert_eq!(beliefs.connection_broke(&before, request(2), 1), Some(Break::Ended));
    }

    /// What breaks at an endpoint that leaves, or has left the list, is its planned end.
    endpoints_that_leave_end_under_nothing => {
        let mut beliefs = beliefs();
        let known = endpoint("e", "z", &["a"]);
        assert_eq!(beliefs.connection_broke(&known, request(1), 0), Some(Break::First));
        let mut leaving = known.clone();
        leaving.is_leaving = true;
        leaving.entry_number = 2;
        beliefs.directory.written(leaving);
        assert_eq!(beliefs.connection_broke(&known, request(2), 1), None);
        beliefs.directory.removed(&known.name, 2);
        assert_eq!(beliefs.connection_broke(&known, request(3), 3), None);
    }

    /// Its entry is removed, it goes on with what runs there, and its address refuses connections
    /// once it has ended.
    endpoints_that_leave_without_a_word_end_under_nothing => {
        let mut beliefs = beliefs();
        let known = endpoint("e", "z", &["a"]);
        beliefs.leaves_for(&known, request(1));
        beliefs.directory.removed(&known.name, 1);
        assert!(beliefs.ended_by_list().iter().all(|(life, evidence)| {
            beliefs.suspects.ended(life, *evidence, 2).is_empty()
        }));
        assert!(beliefs.has_ended(&known.life(), Evidence::Refused, 3).is_empty());
        assert!(!beliefs.left_unanswered(&known, request(1), 4));
    }

    /// Another server has come to its address while its own entry still stands.
    an_endpoint_whose_address_is_anothers_has_ended_under_what_ran_there => {
        let mut beliefs = beliefs();
        let known = endpoint("e", "z", &["a"]);
        beliefs.leaves_for(&known, request(1));
        let mut new = endpoint("f", "z", &["a"]);
        assert_eq!(beliefs.replaced_by(&new), [known.life()]);
        let requests = beliefs.has_ended(&known.life(), Evidence::Replaced, 1);
        assert_eq!(requests, BTreeSet::from([request(1)]));
        new.address.set_port(9_001);
        assert!(beliefs.replaced_by(&new).is_empty());
        assert!(beliefs.left_unanswered(&known, request(1), 2), "it was open all the while");
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
