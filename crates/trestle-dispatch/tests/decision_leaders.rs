//! Which leader decides on an attempt while leaders change, and since when.

use std::net::SocketAddr;
use trestle_core::names::VmName;
use trestle_dispatch::{
    decision_leaders::{DecisionLeaders, LeaderStart},
    fingerprint::Fingerprint,
    trials::Trials,
};

const NAME: &str = "request";
const GROUPS: [&str; 3] = ["x", "y", "z"];

fn leader(port: u16, token: u64) -> Option<LeaderStart> {
    Some((SocketAddr::from(([127, 0, 0, 1], port)), token))
}

/// Returns groups that all have had their leaders from the beginning.
fn with_leaders() -> DecisionLeaders {
    let mut decision_leaders = DecisionLeaders::default();
    for (number, group) in GROUPS.into_iter().enumerate() {
        decision_leaders.record_leader(&group.into(), leader(number as u16 + 1, 1), 0);
    }
    decision_leaders
}

/// Returns the group whose leader decides, and one whose leader does not.
fn first_and_other(decision_leaders: &DecisionLeaders) -> (&'static str, &'static str) {
    let first = decision_leaders.group_for(NAME).expect("a group has a leader").as_str();
    let is_first = |group: &&str| *group == first;
    let first = GROUPS.into_iter().find(is_first).expect("one of them");
    (first, GROUPS.into_iter().find(|group| !is_first(group)).expect("another"))
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    the_first_leader_has_no_predecessor => {
        let mut decision_leaders = DecisionLeaders::default();
        assert_eq!(decision_leaders.group_for(NAME), None);
        decision_leaders.record_leader(&"x".into(), leader(1, 1), 500);
        assert_eq!(decision_leaders.decides_since_ms(NAME), None);
    }

    /// The process that led before was this daemon's own, and its knowledge is gone.
    a_restarted_process_that_leads_again_has_a_predecessor => {
        let mut decision_leaders = DecisionLeaders::default();
        decision_leaders.record_leader(&"x".into(), leader(1, 2), 500);
        assert_eq!(decision_leaders.decides_since_ms(NAME), Some(500));
    }

    a_leader_that_takes_over_a_lease_has_a_predecessor => {
        let mut decision_leaders = with_leaders();
        let (first, _) = first_and_other(&decision_leaders);
        decision_leaders.record_leader(&first.into(), leader(9, 2), 5_000);
        assert_eq!(decision_leaders.decides_since_ms(NAME), Some(5_000));
    }

    /// A new fencing token of the same daemon means that it restarted and lost its state.
    a_restarted_leader_is_its_own_predecessor => {
        let mut decision_leaders = with_leaders();
        let (first, _) = first_and_other(&decision_leaders);
        let number = GROUPS.iter().position(|group| *group == first).expect("one of them");
        decision_leaders.record_leader(&first.into(), leader(number as u16 + 1, 2), 5_000);
        assert_eq!(decision_leaders.decides_since_ms(NAME), Some(5_000));
    }

    a_leader_that_decides_for_a_group_without_one_has_a_predecessor => {
        let mut decision_leaders = with_leaders();
        let (first, _) = first_and_other(&decision_leaders);
        decision_leaders.record_leader(&first.into(), None, 5_000);
        assert_ne!(decision_leaders.group_for(NAME), Some(&first.into()));
        assert_eq!(decision_leaders.decides_since_ms(NAME), Some(5_000));
    }

    a_change_in_another_group_has_no_effect => {
        let mut decision_leaders = with_leaders();
        let (first, other) = first_and_other(&decision_leaders);
        let before = decision_leaders.decides_since_ms(NAME);
        decision_leaders.record_leader(&other.into(), leader(9, 2), 5_000);
        assert_eq!(decision_leaders.group_for(NAME), Some(&first.into()));
        assert_eq!(decision_leaders.decides_since_ms(NAME), before);
    }

    /// A leader admits an attempt and is stopped; the next leader, which does not know of the
    /// attempt, is queried at once.
    no_second_attempt_runs_after_a_leader_change => {
        let request = Fingerprint::from_bytes([7; 16]);
        let vm = |number: u64| VmName::from(format!("vm-{number}"));
        let mut decision_leaders = with_leaders();
        assert!(Trials::default().begin(request, vm(0), 1, 10_000).is_ok());
        let (first, _) = first_and_other(&decision_leaders);
        decision_leaders.record_leader(&first.into(), leader(9, 2), 10_500);
        let mut next = Trials::default();
        next.set_leader_since(decision_leaders.decides_since_ms(NAME));
        let wait_ms = next.begin(request, vm(1), 1, 10_600).expect_err("the first attempt may still run");
        assert!(10_600 + wait_ms >= 13_000, "{wait_ms}");
        let later_ms = 10_600 + wait_ms;
        next.set_leader_since(decision_leaders.decides_since_ms(NAME));
        assert!(next.begin(request, vm(1), 1, later_ms).is_ok());
    }
}
