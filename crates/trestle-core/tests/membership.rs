//! Expiry of a lease, as one observer determines it.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::{
    lease_row::LeaseRow,
    membership::Membership,
    membership_row::{Member, MembershipRow},
    names::VmName,
    row::{CommitOutcome, Row, RowKey, Rows, Versioned},
    timing::Timing,
};

/// Course of one round of the observer.
#[derive(Clone, Copy)]
enum Round {
    /// The read and the observer's renewal succeed; the other member has not renewed its lease.
    Unchanged,
    /// The read and the observer's renewal succeed; the other member has renewed its lease.
    Renewed,
    /// The read fails.
    ReadFails,
    /// The read succeeds; the observer's own renewal fails.
    WriteFails,
    /// The observer was suspended for an hour before the round.
    Paused,
}

macro_rules! lease_tests {
    ($($name:ident: $rounds:expr => $expired:literal;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(is_expired_after(&$rounds), $expired);
            }
        )+
    };
}

lease_tests! {
    a_lease_expires_after_enough_counted_time: [Round::Unchanged; 7] => true;
    a_lease_does_not_expire_early: [Round::Unchanged; 3] => false;
    renewals_keep_a_lease: [Round::Renewed; 40] => false;
    failed_reads_do_not_count: [Round::ReadFails; 40] => false;
    an_outage_between_reads_does_not_count:
        [Round::Unchanged, Round::ReadFails, Round::ReadFails, Round::Unchanged,
         Round::ReadFails, Round::Unchanged, Round::ReadFails, Round::Unchanged,
         Round::ReadFails, Round::Unchanged] => false;
    time_without_own_renewals_does_not_count: [Round::WriteFails; 40] => false;
    a_pause_of_the_observer_counts_only_partly: [Round::Unchanged, Round::Paused] => false;
}

fn is_expired_after(rounds: &[Round]) -> bool {
    let timing = Timing::default();
    let mut observer = Membership::new("a".into(), member("a"), "domain".into(), timing);
    let mut lease = LeaseRow { renewals: 1, epoch: 1 };
    let mut now_ms = 0;
    observer.on_read(Some(&rows(lease)), now_ms);
    for round in rounds {
        now_ms += timing.lease_ms;
        let _ = observer.renewal(now_ms, 1);
        let outcome = match round {
            Round::WriteFails => CommitOutcome::Unknown,
            _ => CommitOutcome::Committed,
        };
        observer.on_renewed(outcome);
        match round {
            Round::Renewed => lease.renewals += 1,
            Round::Paused => now_ms += 3_600_000,
            _ => {}
        }
        let read = rows(lease);
        let is_read = !matches!(round, Round::ReadFails);
        observer.on_read(is_read.then_some(&read), now_ms);
    }
    observer.due_change(BTreeSet::new()).is_some_and(|txn| {
        txn.writes.values().any(|row| match row {
            Some(Row::Membership(row)) => row.unsettled.contains("b"),
            _ => false,
        })
    })
}

fn member(name: &str) -> Member {
    Member { address: name.to_owned(), incarnation: 1, is_adopter: false }
}

fn rows(lease: LeaseRow) -> Rows {
    let members: BTreeMap<VmName, Member> =
        ["a", "b"].into_iter().map(|name| (name.into(), member(name))).collect();
    let row = MembershipRow { epoch: 1, members, unsettled: BTreeSet::new() };
    BTreeMap::from([
        (
            RowKey::Membership("domain".into()),
            Versioned { version: 1, row: Some(Row::Membership(row)) },
        ),
        (
            RowKey::Lease("domain".into(), "b".into()),
            Versioned { version: lease.renewals, row: Some(Row::Lease(lease)) },
        ),
    ])
}

/// The table of the project's own interface reports no era, so a row whose version has gone back is
/// taken for a late answer.
#[test]
fn a_member_that_a_restored_table_lacks_joins_again() {
    let key = RowKey::Membership("domain".into());
    let row = |version, names: &[&str]| {
        let members = names.iter().map(|name| (VmName::from(*name), member(name)));
        let row =
            MembershipRow { epoch: 1, members: members.collect(), unsettled: BTreeSet::new() };
        Rows::from([(key.clone(), Versioned { version, row: Some(Row::Membership(row)) })])
    };
    let mut joined = Membership::new("a".into(), member("a"), "domain".into(), Timing::default());
    joined.on_read(Some(&row(7, &["a", "b"])), 1_000);
    assert!(joined.is_member());
    joined.on_read(Some(&row(5, &["b"])), 2_000);
    assert!(!joined.is_member());
    let change = joined.due_change(BTreeSet::new()).expect("the daemon joins again");
    assert_eq!(change.checks.get(&key), Some(&5));
}
