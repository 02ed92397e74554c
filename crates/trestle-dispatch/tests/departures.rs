//! What daemons tell each other of endpoints that left or are gone.

mod common;

use common::endpoint;
use trestle_dispatch::{
    beliefs::Beliefs,
    departures::Departure,
    endpoint::{Endpoint, Life},
    listing::{ListedEntry, News, Source},
    retry_share::RetryBounds,
};

const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 52 };
/// The start of all endpoints that tell one.
const BORN_MS: u64 = 70;

/// A daemon that has read the list.
fn daemon(entries: &[Endpoint], version: u64) -> Beliefs {
    let mut beliefs = Beliefs::new("z".into(), 2_000, BOUNDS);
    beliefs.directory.read(true, 0);
    take(&mut beliefs, entries, version);
    beliefs
}

/// Takes a whole list.
fn take(beliefs: &mut Beliefs, entries: &[Endpoint], version: u64) {
    let written = entries.iter().map(|endpoint| ListedEntry {
        key: endpoint.name.to_string(),
        endpoint: endpoint.clone(),
        version,
    });
    let news = News { is_whole: true, written: written.collect(), removed: Vec::new(), version };
    let fresh = beliefs.listing.take(news, Source::Store);
    for entry in fresh.written {
        beliefs.take_entry(entry, Source::Store);
    }
    for (name, _) in fresh.removed {
        beliefs.directory.removed(&name.into(), 10_000);
    }
}

fn born(name: &str, number: u64) -> Endpoint {
    let mut endpoint = endpoint(name, "z", &[]);
    endpoint.born_ms = BORN_MS;
    endpoint.entry_number = number;
    endpoint
}

/// The same without its start, as another writer writes it.
fn foreign(name: &str, number: u64) -> Endpoint {
    Endpoint { born_ms: 0, ..born(name, number) }
}

fn usable(beliefs: &Beliefs) -> Vec<String> {
    beliefs.directory.usable(&"s".into()).map(|endpoint| endpoint.name.to_string()).collect()
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
        let mut told_first = Beliefs::new("z".into(), 2_000, BOUNDS);
        told_first.directory.read(true, 0);
        assert!(told_first.hear_departures(&known()).is_empty());
        take(&mut told_first, &[foreign("x", 6), born("y", 1)], 30);
        assert_eq!(usable(&told_first), ["y"]);

        let mut told_later = daemon(&[foreign("x", 6), born("y", 1)], 30);
        assert_eq!(usable(&told_later), ["x", "y"]);
        assert_eq!(told_later.hear_departures(&known()), ["x".into()]);
        assert_eq!(usable(&told_later), ["y"]);
        assert!(told_later.hear_departures(&known()).is_empty(), "it is news once");
    }

    an_entry_of_before_is_passed_over_and_a_later_one_is_not => {
        let mut beliefs = daemon(&[born("x", 4), born("y", 1)], 30);
        beliefs.hear_departures(&known());
        assert_eq!(usable(&beliefs), ["y"]);
        let mut beliefs = daemon(&[born("x", 6), born("y", 1)], 30);
        beliefs.hear_departures(&known());
        assert_eq!(usable(&beliefs), ["x", "y"]);
    }

    its_own_entry_brings_it_back => {
        let mut beliefs = daemon(&[foreign("x", 6), born("y", 1)], 30);
        beliefs.hear_departures(&known());
        take(&mut beliefs, &[born("x", 7), born("y", 1)], 40);
        assert_eq!(usable(&beliefs), ["x", "y"]);
    }

    one_that_says_that_it_leaves_does_so_for_all => {
        let mut earlier = daemon(&[born("x", 5)], 10);
        let leaving = Endpoint { is_leaving: true, ..born("x", 6) };
        take(&mut earlier, &[leaving], 20);
        let mut beliefs = daemon(&[born("x", 7)], 30);
        beliefs.hear_departures(&earlier.directory.departures(8));
        assert!(usable(&beliefs).is_empty());
    }

    /// What a leader passes on must not say again what another daemon has dropped.
    what_is_dropped_is_passed_on_as_gone => {
        let mut beliefs = daemon(&[foreign("x", 6), born("y", 1)], 30);
        beliefs.hear_departures(&known());
        let news = beliefs.list_after(0);
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
        assert_eq!(told[0].life, Life { name: "x3".into(), born_ms: BORN_MS });
    }
}
