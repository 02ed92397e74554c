//! What daemons report to each other about draining and departed endpoints.

mod common;

use common::endpoint;
use trestle_dispatch::{
    departures::Departure,
    endpoint::{Endpoint, Incarnation},
    listing::{ListUpdate, ListedEntry, Source},
    local_view::LocalView,
    retry_share::RetryBounds,
    store_version::StoreVersion,
};

const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
/// Start time of all endpoints that report one.
const STARTED_UNIX_MS: u64 = 70;

/// Returns the view of a daemon that has read the list.
fn daemon(entries: &[Endpoint], version: u64) -> LocalView {
    let mut local_view = LocalView::new("z".into(), 2_000, BOUNDS);
    local_view.directory.record_read(true, 0);
    apply_list(&mut local_view, entries, version);
    local_view
}

/// Applies a whole list.
fn apply_list(local_view: &mut LocalView, entries: &[Endpoint], version: u64) {
    let version = StoreVersion::from(version);
    let written = entries.iter().map(|endpoint| ListedEntry {
        key: endpoint.name.to_string(),
        endpoint: endpoint.clone(),
        version,
    });
    let update =
        ListUpdate { is_whole: true, written: written.collect(), removed: Vec::new(), version };
    let changes = local_view.listing.apply(update, Source::Store);
    for entry in changes.written {
        local_view.apply_entry(entry, Source::Store);
    }
    for (name, _) in changes.removed {
        local_view.directory.apply_removal(&name.into(), 10_000);
    }
}

fn with_start_time(name: &str, number: u64) -> Endpoint {
    let mut endpoint = endpoint(name, "z", &[]);
    endpoint.started_unix_ms = STARTED_UNIX_MS;
    endpoint.entry_number = number;
    endpoint
}

/// Returns the same entry without a start time, as another writer writes it.
fn foreign(name: &str, number: u64) -> Endpoint {
    Endpoint { started_unix_ms: 0, ..with_start_time(name, number) }
}

fn usable(local_view: &LocalView) -> Vec<String> {
    local_view.directory.usable(&"s".into()).map(|endpoint| endpoint.name.to_string()).collect()
}

/// Returns the departures known to a daemon that received the entry of `x` with number 5, and then
/// the removal of that entry.
fn known() -> Vec<Departure> {
    let mut earlier = daemon(&[with_start_time("x", 5), with_start_time("y", 1)], 10);
    apply_list(&mut earlier, &[with_start_time("y", 1)], 20);
    earlier.directory.departures(8)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    a_foreign_entry_is_ignored_in_either_order => {
        let mut reported_first = LocalView::new("z".into(), 2_000, BOUNDS);
        reported_first.directory.record_read(true, 0);
        assert!(reported_first.apply_departures(&known()).is_empty());
        apply_list(&mut reported_first, &[foreign("x", 6), with_start_time("y", 1)], 30);
        assert_eq!(usable(&reported_first), ["y"]);

        let mut reported_later = daemon(&[foreign("x", 6), with_start_time("y", 1)], 30);
        assert_eq!(usable(&reported_later), ["x", "y"]);
        assert_eq!(reported_later.apply_departures(&known()), ["x".into()]);
        assert_eq!(usable(&reported_later), ["y"]);
        assert!(reported_later.apply_departures(&known()).is_empty(), "the second report changes nothing");
    }

    an_outdated_entry_is_ignored_and_a_later_one_is_not => {
        let mut local_view = daemon(&[with_start_time("x", 4), with_start_time("y", 1)], 30);
        local_view.apply_departures(&known());
        assert_eq!(usable(&local_view), ["y"]);
        let mut local_view = daemon(&[with_start_time("x", 6), with_start_time("y", 1)], 30);
        local_view.apply_departures(&known());
        assert_eq!(usable(&local_view), ["x", "y"]);
    }

    an_endpoints_own_entry_restores_it => {
        let mut local_view = daemon(&[foreign("x", 6), with_start_time("y", 1)], 30);
        local_view.apply_departures(&known());
        apply_list(&mut local_view, &[with_start_time("x", 7), with_start_time("y", 1)], 40);
        assert_eq!(usable(&local_view), ["x", "y"]);
    }

    a_draining_endpoint_is_draining_at_all_daemons => {
        let mut earlier = daemon(&[with_start_time("x", 5)], 10);
        let draining = Endpoint { is_draining: true, ..with_start_time("x", 6) };
        apply_list(&mut earlier, &[draining], 20);
        let mut local_view = daemon(&[with_start_time("x", 7)], 30);
        local_view.apply_departures(&earlier.directory.departures(8));
        assert!(usable(&local_view).is_empty());
    }

    /// A leader must not relay an entry that another daemon has dropped.
    dropped_entries_are_relayed_as_removed => {
        let mut local_view = daemon(&[foreign("x", 6), with_start_time("y", 1)], 30);
        local_view.apply_departures(&known());
        let update = local_view.list_since(0.into());
        assert!(update.written.iter().all(|entry| entry.key == "y"));
    }

    without_start_times_nothing_is_reported => {
        let mut earlier = daemon(&[foreign("x", 5), foreign("y", 1)], 10);
        apply_list(&mut earlier, &[foreign("y", 1)], 20);
        assert!(earlier.directory.departures(8).is_empty());
    }

    endpoints_that_returned_are_not_reported => {
        let mut earlier = daemon(&[with_start_time("x", 5), with_start_time("y", 1)], 10);
        apply_list(&mut earlier, &[with_start_time("y", 1)], 20);
        apply_list(&mut earlier, &[with_start_time("x", 6), with_start_time("y", 1)], 30);
        assert!(earlier.directory.departures(8).is_empty());
    }

    /// A rack of servers is gone, and another writer has written the entry of one of them.
    endpoints_with_foreign_entries_are_reported_first => {
        let names: Vec<String> = (0..40).map(|number| format!("x{number}")).collect();
        let all: Vec<Endpoint> = names.iter().map(|name| with_start_time(name, 1)).collect();
        let mut earlier = daemon(&all, 10);
        apply_list(&mut earlier, &[], 20);
        apply_list(&mut earlier, &[foreign("x3", 2)], 30);
        let reported = earlier.directory.departures(4);
        assert_eq!(reported.len(), 4);
        assert_eq!(reported[0].incarnation, Incarnation { name: "x3".into(), started_unix_ms: STARTED_UNIX_MS });
    }
}
