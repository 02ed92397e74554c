//! At which version of its software a stream goes on, by what daemons know.

mod common;

use common::{endpoint, route};
use std::{collections::BTreeSet, net::SocketAddr};
use trestle_core::names::{ServiceName, SoftwareVersion};
use trestle_dispatch::{
    admission::Reason,
    endpoint::Endpoint,
    helpers::Helper,
    local_view::LocalView,
    request::RequestHead,
    retry_share::RetryBounds,
    route::RouteKind,
    selection::{self, RequestContext, Selection},
    sends::Sends,
    software_versions::{KnownVersions, ServiceVersions, SoftwareVersions},
    stream_keepers::StreamKeepers,
    stream_origins::{
        Answers, StreamKnowledge, StreamOrigin, StreamOrigins, version_from_answers,
        version_from_list,
    },
};

/// Time for which a stream can be continued.
const LIFETIME_MS: u64 = 30_000;
/// Daemons of a large deployment.
const DAEMONS: u16 = 300;

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

fn running(name: &str, version: &str) -> Endpoint {
    Endpoint { software_version: Some(version.into()), ..endpoint(name, "z", &["a"]) }
}

fn service() -> ServiceName {
    "s".into()
}

fn version(name: &str) -> SoftwareVersion {
    name.into()
}

/// Returns a daemon's knowledge that is complete from the start.
fn complete() -> SoftwareVersions {
    let mut versions = SoftwareVersions::default();
    versions.begin(Some(ServiceVersions::new()), LIFETIME_MS, 0);
    versions
}

fn origin(id: &str, began_at: &str) -> StreamOrigin {
    let (id, service, version) = (id.to_owned(), service(), version(began_at));
    StreamOrigin { id, service, version, valid_for_ms: LIFETIME_MS }
}

fn keeper(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_395))
}

/// Returns what a daemon knows that leaders have named these daemons to.
fn keepers(numbers: impl Iterator<Item = u16>) -> StreamKeepers {
    let mut keepers = StreamKeepers::default();
    let named = numbers.map(|number| Helper { address: keeper(number), domain: "z".into() });
    keepers.named(named, keeper(999), 0);
    keepers
}

/// Selects for a stream that began at a version, before engines of two versions.
fn select(engines: Vec<Endpoint>, began_at: &str) -> Selection {
    let bounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
    let mut local_view = LocalView::new("z".into(), 2_000, bounds);
    local_view.directory.replace_all(engines, 0);
    local_view.record_leader(true, 0);
    let head = RequestHead { model: Some("a".into()), ..RequestHead::default() };
    let (route, service) = (route("/", RouteKind::Stream { is_resumable: true }), service());
    let request = RequestContext {
        route: &route,
        service: &service,
        head: &head,
        allowed_ms: 10_000,
        elapsed_ms: 0,
        demand_id: None,
        version: Some(&version(began_at)),
        is_trial: false,
        has_quota: true,
        send_permit: None,
        assignment: None,
        is_unscheduled: false,
    };
    selection::select(&mut local_view, request, &Sends::default(), 1, 10_000)
}

cases! {
    a_stream_is_sent_only_to_endpoints_of_its_version => {
        let engines = || vec![running("x", "v1"), running("y", "v2"), running("z", "v2")];
        assert!(matches!(select(engines(), "v1"), Selection::Send(engine) if engine.name.as_str() == "x"));
        assert!(matches!(select(engines(), "v2"), Selection::Send(engine) if engine.name.as_str() != "x"));
    }

    a_stream_whose_version_no_endpoint_runs_is_refused_at_once => {
        let refused = select(vec![running("x", "v1"), endpoint("y", "z", &["a"])], "v3");
        let Selection::Refuse { reason, retry_after_ms } = refused else { panic!("{refused:?}") };
        assert_eq!(reason, Some(Reason::VersionMissing));
        assert!(retry_after_ms > 0);
    }

    a_version_that_is_gone_counts_while_its_streams_can_go_on => {
        let mut versions = complete();
        let (old, new) = (running("x", "v1"), running("y", "v2"));
        versions.observe([&old].into_iter(), LIFETIME_MS, 0);
        assert_eq!(versions.of(&service(), 0), KnownVersions::Only(&version("v1")));
        versions.observe([&old, &new].into_iter(), LIFETIME_MS, 1_000);
        versions.observe([&new].into_iter(), LIFETIME_MS, 2_000);
        assert_eq!(versions.of(&service(), 2_000), KnownVersions::Several);
        versions.observe([&new].into_iter(), LIFETIME_MS, 1_000 + LIFETIME_MS - 1);
        assert_eq!(versions.of(&service(), 0), KnownVersions::Several);
        versions.observe([&new].into_iter(), LIFETIME_MS, 1_000 + LIFETIME_MS);
        assert_eq!(versions.of(&service(), 40_000), KnownVersions::Only(&version("v2")));
    }

    a_daemon_that_has_just_started_trusts_its_list_only_beside_the_stored_versions => {
        let listed = running("y", "v2");
        for (earlier, expected) in [
            (Some(vec!["v1"]), KnownVersions::Several),
            (Some(vec!["v2"]), KnownVersions::Only(&version("v2"))),
            (None, KnownVersions::AtLeast(&version("v2"))),
        ] {
            let earlier = earlier.map(|versions| {
                let versions: BTreeSet<SoftwareVersion> = versions.into_iter().map(Into::into).collect();
                ServiceVersions::from([(service(), versions)])
            });
            let mut versions = SoftwareVersions::default();
            versions.begin(earlier, LIFETIME_MS, 0);
            versions.observe([&listed].into_iter(), LIFETIME_MS, 100);
            assert_eq!(versions.of(&service(), 100), expected);
        }
    }

    nothing_is_stored_for_others_by_a_daemon_that_does_not_know_the_time_before => {
        let mut versions = SoftwareVersions::default();
        versions.begin(None, LIFETIME_MS, 0);
        versions.observe([&running("y", "v2")].into_iter(), LIFETIME_MS, 100);
        assert_eq!(versions.complete(100), None);
        assert!(versions.complete(LIFETIME_MS).is_some());
    }

    an_endpoint_of_an_unknown_version_leaves_the_versions_uncertain => {
        let mut versions = complete();
        let unknown = endpoint("y", "z", &["a"]);
        versions.observe([&running("x", "v1"), &unknown].into_iter(), LIFETIME_MS, 100);
        assert_eq!(versions.of(&service(), 100), KnownVersions::AtLeast(&version("v1")));
    }

    a_list_that_is_old_does_not_tell_where_a_stream_began => {
        let only = version("v1");
        assert_eq!(version_from_list(KnownVersions::Only(&only), 800, 2_000), Some(&only));
        assert_eq!(version_from_list(KnownVersions::Only(&only), 2_001, 2_000), None);
        assert_eq!(version_from_list(KnownVersions::Several, 0, 2_000), None);
    }

    a_record_of_any_daemon_tells_where_a_stream_began => {
        let received = [
            StreamKnowledge::default(),
            StreamKnowledge { version: Some(version("v2")), only_version: None },
        ];
        let answers = Answers { asked: 5, received: &received };
        assert_eq!(version_from_answers(KnownVersions::Several, answers), Some(version("v2")));
        assert_eq!(version_from_answers(KnownVersions::Unknown, answers), Some(version("v2")));
    }

    without_a_record_most_daemons_must_know_of_the_same_version_only => {
        let (v1, v2) = (version("v1"), version("v2"));
        let one = StreamKnowledge { version: None, only_version: Some(v1.clone()) };
        let other = StreamKnowledge { version: None, only_version: Some(v2.clone()) };
        let none = StreamKnowledge::default();
        let decide = |known: KnownVersions<'_>, asked: usize, received: &[StreamKnowledge]| {
            version_from_answers(known, Answers { asked, received })
        };
        let three = [one.clone(), one.clone(), one.clone()];
        assert_eq!(decide(KnownVersions::Unknown, 5, &three), Some(v1.clone()));
        assert_eq!(decide(KnownVersions::AtLeast(&v1), 5, &three), Some(v1.clone()));
        assert_eq!(decide(KnownVersions::AtLeast(&v2), 5, &three), None);
        assert_eq!(decide(KnownVersions::Several, 5, &three), None);
        assert_eq!(decide(KnownVersions::Only(&v1), 5, &three[..2]), None);
        assert_eq!(decide(KnownVersions::Unknown, 3, &[one.clone(), one.clone(), other]), None);
        assert_eq!(decide(KnownVersions::Unknown, 3, &[one.clone(), one, none]), None);
        assert_eq!(decide(KnownVersions::Only(&v1), 0, &[]), None);
    }

    streams_are_told_once_and_only_while_a_service_has_several_versions => {
        let mut origins = StreamOrigins::default();
        origins.record_own(origin("early", "v1"), 0);
        assert!(origins.take_untold(|_| true, 10).is_empty());
        let told = origins.take_untold(|_| false, 20);
        assert_eq!(told.iter().map(|told| told.id.as_str()).collect::<Vec<_>>(), ["early"]);
        assert_eq!(told[0].valid_for_ms, LIFETIME_MS - 20);
        assert!(origins.take_untold(|_| false, 30).is_empty());
        origins.record(origin("of another daemon", "v2"), 30);
        assert!(origins.take_untold(|_| false, 40).is_empty());
    }

    a_stream_is_forgotten_when_it_can_no_longer_go_on => {
        let mut origins = StreamOrigins::default();
        origins.record(origin("x", "v1"), 0);
        origins.record(origin("x", "v1"), 1_000);
        origins.cleanup(LIFETIME_MS);
        assert_eq!(origins.version(&service(), "x", LIFETIME_MS), Some(&version("v1")));
        assert_eq!(origins.version(&"other".into(), "x", LIFETIME_MS), None);
        origins.cleanup(LIFETIME_MS + 1_000);
        assert_eq!(origins.version(&service(), "x", 0), None);
    }

    however_many_streams_begin_the_number_remembered_is_bounded => {
        let mut origins = StreamOrigins::default();
        for number in 0..40_000 {
            origins.record(origin(&number.to_string(), "v1"), number);
        }
        let kept = (0..40_000).filter(|number| origins.version(&service(), &number.to_string(), 0).is_some());
        assert_eq!(kept.count(), 32_768);
    }

    daemons_that_are_told_are_among_those_asked_though_lists_differ => {
        let told = keepers(0..40);
        let asked = keepers((0..40).filter(|number| number % 10 != 3));
        let is_found = |number: &u32| {
            let id = format!("stream-{number}");
            let (to_tell, to_ask) = (told.to_tell(&id, 0), asked.to_ask(&id));
            to_tell.iter().any(|address| to_ask.contains(address))
        };
        let found = (0..1_000).filter(is_found).count();
        assert!(found >= 990, "{found} of 1,000");
    }

    streams_spread_over_all_daemons_that_keep_them => {
        let keepers = keepers(0..DAEMONS);
        let mut counts = vec![0; usize::from(DAEMONS)];
        for number in 0..30_000 {
            for address in keepers.to_tell(&format!("stream-{number}"), 0) {
                counts[(0..DAEMONS).position(|at| keeper(at) == address).expect("a keeper")] += 1;
            }
        }
        let most = counts.iter().max().copied().unwrap_or_default();
        assert!(most < 3 * 90_000 / usize::from(DAEMONS), "{most} of 90,000");
    }

    a_daemon_that_did_not_answer_is_asked_but_not_told => {
        let mut keepers = keepers(0..6);
        let first = keepers.to_tell("x", 0)[0];
        keepers.failed(first, 0);
        assert!(!keepers.to_tell("x", 100).contains(&first));
        assert!(keepers.to_ask("x").contains(&first));
        assert!(keepers.to_tell("x", 5_000).contains(&first));
    }
}
