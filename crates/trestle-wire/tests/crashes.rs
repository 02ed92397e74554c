//! Reports on requests under which endpoints crashed, between daemons of the same and of different
//! builds.

use trestle_dispatch::{
    crashes::{CrashReport, ReportedCrash},
    endpoint::Incarnation,
    fingerprint::Fingerprint,
    suspicions::{IncarnationDigest, ReportedSuspicion, SuspicionEvidence},
};
use trestle_wire::crashes::{WireCrashReport, WireEndpointCrash};

const REQUEST: Fingerprint = Fingerprint::from_bytes([7; 16]);

fn report(answered_ago_ms: Option<u64>) -> CrashReport {
    let incarnation =
        |name: &str| Incarnation { name: name.into(), started_unix_ms: name.len() as u64 };
    let crash = |name, ago_ms, sent_ago_ms| ReportedCrash {
        endpoint: incarnation(name),
        ago_ms,
        sent_ago_ms,
    };
    let crashes = vec![crash("e", 900, 900), crash("ff", 100, 4_000)];
    CrashReport { request: REQUEST, crashes, suspicions: Vec::new(), answered_ago_ms }
}

/// Returns a report with suspicions at two endpoints.
fn with_suspicions(answered_ago_ms: Option<u64>) -> CrashReport {
    let suspicion = |number, evidence| ReportedSuspicion {
        endpoint: IncarnationDigest::of(&Incarnation { name: "g".into(), started_unix_ms: number }),
        evidence,
    };
    let suspicions = vec![
        suspicion(1, SuspicionEvidence::Silent { sent_ago_ms: 30 }),
        suspicion(2, SuspicionEvidence::Survived { until_ago_ms: 70 }),
    ];
    CrashReport { suspicions, ..report(answered_ago_ms) }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    reports_arrive_as_they_were_sent => {
        for answered_ago_ms in [None, Some(0), Some(500)] {
            for sent in [report(answered_ago_ms), with_suspicions(answered_ago_ms)] {
                assert_eq!(CrashReport::from(WireCrashReport::from(sent.clone())), sent);
            }
        }
    }

    /// A daemon that knows no time of an answer counts no crash of a request that is reported as
    /// served, so the additional entry does not make it reject the request.
    a_report_with_a_time_of_an_answer_is_served => {
        assert!(WireCrashReport::from(report(Some(500))).is_served);
        let without_answer = WireCrashReport::from(report(None));
        assert!(!without_answer.is_served);
        let ages_ms: Vec<u64> = without_answer.ends.iter().map(|entry| entry.age_ms).collect();
        assert_eq!(ages_ms, [900, 100, 4_000], "the first entry of an incarnation is its crash");
    }

    /// A daemon that knows no suspicions reads the first entry without a name as the answer if the
    /// request was served, and none otherwise. It must take a suspicion neither for an answer nor for
    /// a crash.
    suspicions_are_skipped_by_daemons_that_do_not_know_them => {
        for answered_ago_ms in [None, Some(500)] {
            let known = WireCrashReport::from(report(answered_ago_ms));
            let wire = WireCrashReport::from(with_suspicions(answered_ago_ms));
            assert_eq!(wire.is_served, known.is_served);
            assert_eq!(wire.ends[..known.ends.len()], known.ends, "what follows is skipped");
            assert!(wire.ends[known.ends.len()..].iter().all(|entry| entry.endpoint.is_empty()));
        }
    }

    /// A daemon that reports no time of an answer counts none of its crashes after one.
    a_served_report_without_a_time_clears_its_crashes => {
        let crash = |name: &str, age_ms| WireEndpointCrash { endpoint: name.to_owned(), born_ms: 0, age_ms };
        let ends = vec![crash("e", 900), crash("f", 100)];
        let wire = WireCrashReport { request: *REQUEST.as_bytes(), ends, is_served: true };
        let received = CrashReport::from(wire);
        assert_eq!(received.answered_ago_ms, Some(100));
        assert_eq!(received.counted(), 0);
    }
}
