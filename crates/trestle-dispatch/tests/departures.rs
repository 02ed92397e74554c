//! What daemons tell each other of endpoints that left or are gone.

mod common;

use common::endpoint;
use trestle_dispatch::{
    departures::Departure,
    endpoint::{Endpoint, Incarnation},
    listing::{ListUpdate, ListedEntry, Source},
    local_view::LocalView,
    retry_share::RetryBounds,
};

const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
/// The start of all endpoints that tell one.
const BORN_MS: u64 = 70;

/// A daemon that has read the list.
fn daemon(entries: &[Endpoint], version: u64) -> LocalView {
    let mut local_view = LocalView::new("z".into(), 2_000, BOUNDS);
    local_view.directory.record_read(true, 0);
    take(&mut local_view, entries, version);
    local_view
}

/// Takes a whole list.
fn take(local_view: &mut LocalView, entries: &[Endpoint], version: u64) {
    let written = entries.iter().map(|endpoint| ListedEntry {
        key: endpoint.name.to_string(),
        endpoint: endpoint.clone(),
        version,
    });
    let news =
        ListUpdate { is_whole: true, written: written.collect(), removed: Vec::new(), version };
    let fresh = local_view.listing.apply(news, Source::Store);
    for entry in fresh.written {
        local_view.apply_entry(entry, Source::Store);
    }
    for (name, _) in fresh.removed {
        local_view.directory.apply_removal(&name.into(), 10_000);
    }
}

fn born(name: &str, number: u64) -> Endpoint {
    let mut endpoint = endpoint(name, "z", &[]);
    endpoint.started_unix_ms = BORN_MS;
    endpoint.entry_number = number;
    endpoint
}

/// The same without its start, as another writer writes it.
fn foreign(name: &str, number: u64) -> Endpoint {
    Endpoint { started_unix_ms: 0, ..born(name, number) }
}

fn usable(local_view: &LocalView) -> Vec<String> {
    local_view.directory.usable(&"s".into()).map(|endpoint| endpoint.name.to_string()).collect()
}

/// What a daemon knows that has seen `x` at its fifth message, and then gone.
fn known() -> Vec<Departure> {
    let mut earlier = daemon(&[born("x", 5), born("y", 1)], 10);
    take(&mut earlier, &[born("y", 1)], 20);
    earlier.directory.departures(8)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)+) => { $($(#[$doc])* #[test] fn $name() $body)+ };
}

cases! {
    another_writers_entry_is_passed_over_whichever_is_heard_first => {
        let mut told_first = LocalView::new("z".into(), 2_000, BOUNDS);
        told_first.directory.record_read(true, 0);
        assert!(told_first.apply_departures(&known()).is_empty());
        take(&mut told_first, &[foreign("x", 6), born("y", 1)], 30);
        assert_eq!(usable(&told_first), ["y"]);

        let mut told_later = daemon(&[foreign("x", 6), born("y", 1)], 30);
        assert_eq!(usable(&told_later), ["x", "y"]);
        assert_eq!(told_later.apply_departures(&known()), ["x".into()]);
        assert_eq!(usable(&told_later), ["y"]);
        assert!(told_later.apply_departures(&known()).is_empty(), "it is news once");
    }

    an_entry_of_before_is_passed_over_and_a_later_one_is_not => {
        let mut local_view = daemon(&[born("x", 4), born("y", 1)], 30);
        local_view.apply_departures(&known());
        assert_eq!(usable(&local_view), ["y"]);
        let mut local_view = daemon(&[born("x", 6), born("y", 1)], 30);
        local_view.apply_departures(&known());
        assert_eq!(usable(&local_view), ["x", "y"]);
    }

    its_own_entry_brings_it_back => {
        let mut local_view = daemon(&[foreign("x", 6), born("y", 1)], 30);
        local_view.apply_departures(&known());
        take(&mut local_view, &[born("x", 7), born("y", 1)], 40);
        assert_eq!(usable(&local_view), ["x", "y"]);
    }

    one_that_says_that_it_leaves_does_so_for_all => {
        let mut earlier = daemon(&[born("x", 5)], 10);
        let leaving = Endpoint { is_draining: true, ..born("x", 6) };
        take(&mut earlier, &[leaving], 20);
        let mut local_view = daemon(&[born("x", 7)], 30);
        local_view.apply_departures(&earlier.directory.departures(8));
        assert!(usable(&local_view).is_empty());
    }

    /// What a leader passes on must not say again what another daemon has dropped.
    what_is_dropped_is_passed_on_as_gone => {
        let mut local_view = daemon(&[foreign("x", 6), born("y", 1)], 30);
        local_view.apply_departures(&known());
        let news = local_view.list_since(0);
        assert!(news.written.iter().all(|entry| entry.key == "y"));
    }

    where_no_entry_tells_a_start_nothing_is_told => {
        let mut earlier = daemon(&[foreign("x", 5), foreign("y", 1)], 10);
        take(&mut earlier, &[foreign("y", 1)], 20);
        assert!(earlier.directory.departures(8).is_empty());
    }

    what_is_back_is_not_told => {
        let mut earlier = daemon(&[born("x", 5), born("y", 1)], 10);
        take(&mut earlier, &[born("y", 1)], 20);
        take(&mut earlier, &[born("x", 6), born("y", 1)], 30);
        assert!(earlier.directory.departures(8).is_empty());
    }

    /// A rack of servers is gone, and one of them is entered by another writer.
    what_another_writer_names_is_told_before_the_last_that_are_gone => {
        let names: Vec<String> = (0..40).map(|number| format!("x{number}")).collect();
        let all: Vec<Endpoint> = names.iter().map(|name| born(name, 1)).collect();
        let mut earlier = daemon(&all, 10);
        take(&mut earlier, &[], 20);
        take(&mut earlier, &[foreign("x3", 2)], 30);
        let told = earlier.directory.departures(4);
        assert_eq!(told.len(), 4);
        assert_eq!(told[0].incarnation, Incarnation { name: "x3".into(), started_unix_ms: BORN_MS });
    }
}
