//! Which daemons open detours for those that are cut off.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::names::ServiceName;
use trestle_dispatch::helpers::{Helper, HelperReport, HelperRoster, Helpers};

fn helper(number: usize, domain: &str) -> Helper {
    let address = format!("127.0.0.1:{}", 7_000 + number).parse().expect("an address");
    Helper { address, domain: domain.into() }
}

fn report(number: usize, domain: &str, unreached: &[&str], now_ms: u64) -> HelperReport {
    let unreached = unreached.iter().map(|service| ServiceName::from(*service)).collect();
    HelperReport { helper: helper(number, domain), unreached, reported_ms: now_ms }
}

/// A roster to which daemons have reported: their failure domains, and whether each is cut off.
fn roster(daemons: &[(&str, bool)]) -> HelperRoster {
    let mut roster = HelperRoster::default();
    for (number, (domain, is_cut_off)) in daemons.iter().enumerate() {
        let unreached: &[&str] = if *is_cut_off { &["s"] } else { &[] };
        let vm = format!("vm-{number}").as_str().into();
        roster.report(vm, report(number, domain, unreached, 0), number as u64);
    }
    roster
}

/// Returns the numbers of the daemons that are named to daemon `number`, which is cut off.
fn named(roster: &mut HelperRoster, number: usize, domain: &str, random: u64) -> BTreeSet<usize> {
    let vm = format!("vm-{number}").as_str().into();
    let named = roster.report(vm, report(number, domain, &["s"], 1), random);
    named.iter().map(|helper| usize::from(helper.address.port()) - 7_000).collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    only_daemons_that_reach_the_service_are_named => {
        let mut roster = roster(&[("a", true), ("a", true), ("b", false), ("b", true), ("c", false)]);
        assert_eq!(named(&mut roster, 0, "a", 7), BTreeSet::from([2, 4]));
    }

    a_daemon_is_helped_in_its_own_failure_domain_while_most_of_that_reach_the_service => {
        let mut roster = roster(&[("a", true), ("a", false), ("a", false), ("b", false)]);
        assert_eq!(named(&mut roster, 0, "a", 7), BTreeSet::from([1, 2]));
    }

    // Most of a failure domain is cut off at the same moment. If all were sent to the one daemon that
    // is left there, it would carry all their load.
    load_spreads_over_all_daemons_where_most_of_a_failure_domain_is_cut_off => {
        let daemons: Vec<(&str, bool)> = (0..60)
            .map(|number| (["a", "b", "c"][number % 3], number % 3 == 0 && number > 0))
            .collect();
        let mut roster = roster(&daemons);
        let mut times = BTreeMap::<usize, usize>::new();
        for number in (3..60).step_by(3) {
            for other in named(&mut roster, number, "a", number as u64) {
                *times.entry(other).or_default() += 1;
            }
        }
        assert!(times.len() > 30, "{times:?}");
        assert!(times.values().all(|times| *times <= 8), "{times:?}");
    }

    a_daemon_that_does_not_report_any_more_is_not_named => {
        let mut roster = roster(&[("a", false), ("a", false)]);
        let vm = "vm-0".into();
        let named = roster.report(vm, report(0, "a", &["s"], 10_001), 7);
        assert_eq!(named, []);
    }

    a_daemon_is_named_where_none_reaches_most_endpoints => {
        let mut roster = roster(&[("a", true), ("b", true)]);
        assert_eq!(named(&mut roster, 0, "a", 7), BTreeSet::from([1]));
    }

    // Where every daemon has lost some service, each can still help with the others.
    a_daemon_that_lost_another_service_is_named => {
        let mut roster = HelperRoster::default();
        roster.report("vm-1".into(), report(1, "a", &["t"], 0), 1);
        assert_eq!(named(&mut roster, 0, "a", 7), BTreeSet::from([1]));
    }

    what_a_daemon_remembers_does_not_grow_with_the_number_of_daemons => {
        let mut helpers = Helpers::default();
        for number in 0..1_000 {
            helpers.add([helper(number, "a")]);
        }
        let known = helpers.pick(&"s".into(), usize::MAX, 1, 0);
        assert_eq!(known.len(), 8);
        assert!(known.iter().all(|address| address.port() >= 7_992), "{known:?}");
    }

    a_helper_that_failed_is_not_asked_for_two_seconds => {
        let mut helpers = Helpers::default();
        helpers.add([helper(0, "a"), helper(1, "a")]);
        helpers.failed(helper(0, "a").address, 0);
        let service = ServiceName::from("s");
        assert_eq!(helpers.pick(&service, 5, 1, 1_999), [helper(1, "a").address]);
        assert_eq!(helpers.pick(&service, 5, 1, 2_000).len(), 2);
    }

    a_helper_without_a_path_to_one_service_is_asked_for_others => {
        let mut helpers = Helpers::default();
        helpers.add([helper(0, "a")]);
        helpers.cut_off(helper(0, "a").address, &"s".into(), 0);
        assert!(helpers.pick(&"s".into(), 5, 1, 1_000).is_empty());
        assert_eq!(helpers.pick(&"t".into(), 5, 1, 1_000).len(), 1);
    }
}
