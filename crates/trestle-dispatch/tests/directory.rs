//! The directory of live endpoints: lapsed entries, entries that return, and draining endpoints.

mod common;

use common::endpoint;
use trestle_core::names::{EndpointName, ServiceName};
use trestle_dispatch::{
    directory::Directory,
    endpoint::{Endpoint, Incarnation},
};

const DRAINING_MS: u64 = 2_000;

fn directory_of(names: &[&str]) -> Directory {
    let mut directory = Directory::new(DRAINING_MS);
    directory.record_read(true, 0);
    directory.replace_all(names.iter().map(|name| endpoint(name, "z", &[])).collect(), 0);
    directory
}

fn usable(directory: &Directory) -> Vec<String> {
    let service = ServiceName::from("s");
    directory.usable(&service).map(|endpoint| endpoint.name.to_string()).collect()
}

fn name(text: &str) -> EndpointName {
    text.into()
}

/// Returns an entry of the start of "x" at a time.
fn start_at(started_unix_ms: u64, entry_number: u64, is_draining: bool) -> Endpoint {
    Endpoint { started_unix_ms, entry_number, is_draining, ..endpoint("x", "z", &[]) }
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    a_removal_takes_effect_at_once => {
        let mut directory = directory_of(&["x", "y"]);
        directory.apply_removal(&name("x"), 10_000);
        assert_eq!(usable(&directory), ["y"]);
    }

    an_entry_that_lapsed_during_a_store_outage_may_return => {
        let mut directory = directory_of(&["x", "y"]);
        directory.record_read(false, 5_000);
        directory.record_read(true, 9_000);
        directory.apply_removal(&name("x"), 9_010);
        directory.drop_lapsed(10_500);
        assert_eq!(usable(&directory), ["x", "y"]);
        directory.apply_written(endpoint("x", "z", &[]));
        directory.drop_lapsed(20_000);
        assert_eq!(usable(&directory), ["x", "y"]);
    }

    a_lapsed_entry_that_does_not_return_is_dropped => {
        let mut directory = directory_of(&["x", "y"]);
        directory.record_read(false, 5_000);
        directory.record_read(true, 9_000);
        directory.apply_removal(&name("x"), 9_010);
        assert_eq!(directory.drop_lapsed(11_000), [name("x")]);
        assert_eq!(usable(&directory), ["y"]);
    }

    // An entry that was removed 3.4 s after the store's return was kept for 2.2 s more.
    a_removal_long_after_the_outage_takes_effect_at_once => {
        let mut directory = directory_of(&["x", "y"]);
        directory.record_read(false, 5_000);
        directory.record_read(true, 11_600);
        directory.apply_removal(&name("x"), 15_010);
        assert_eq!(usable(&directory), ["y"]);
    }

    a_lapsed_entry_is_kept_for_less_than_the_draining_time => {
        let mut directory = Directory::new(1_000);
        directory.record_read(true, 0);
        directory.replace_all(vec![endpoint("x", "z", &[])], 0);
        directory.record_read(false, 5_000);
        directory.record_read(true, 9_000);
        directory.apply_removal(&name("x"), 9_010);
        directory.drop_lapsed(9_010 + 1_000 - 200);
        assert!(usable(&directory).is_empty());
    }

    // Entries lapse only after some seconds without a heartbeat: an endpoint whose entry is
    // removed after a short outage of the store has stopped, possibly as early as the last
    // successful read of the list.
    an_entry_removed_after_a_short_outage_is_dropped => {
        let mut directory = directory_of(&["x", "y"]);
        directory.record_read(true, 10_000);
        directory.record_read(false, 10_400);
        directory.record_read(true, 10_700);
        directory.apply_removal(&name("x"), 10_800);
        assert_eq!(directory.drop_lapsed(10_000 + DRAINING_MS - 300), [name("x")]);
        assert_eq!(usable(&directory), ["y"]);
    }

    // The store carried out a heartbeat of a crashed start seconds late. Both starts have one address.
    an_entry_of_an_earlier_start_is_not_used_after_the_later_one_has_announced_draining => {
        let mut directory = directory_of(&[]);
        directory.apply_written(start_at(10, 7, false));
        directory.apply_written(start_at(20, 1, false));
        directory.apply_written(start_at(20, 2, true));
        assert!(directory.apply_written(start_at(10, 8, false)));
        assert!(usable(&directory).is_empty());
        // Its removal, or the next heartbeat of the later start, leaves nothing of it.
        directory.apply_written(start_at(20, 3, true));
        assert!(usable(&directory).is_empty());
        directory.apply_written(start_at(30, 1, false));
        assert_eq!(usable(&directory), ["x"]);
    }

    an_entry_of_an_earlier_start_that_was_removed_is_not_kept_in_mind => {
        let mut directory = directory_of(&[]);
        directory.apply_written(start_at(20, 2, true));
        directory.apply_written(start_at(10, 8, false));
        directory.apply_removal(&name("x"), 10_000);
        directory.apply_written(start_at(10, 9, false));
        assert_eq!(usable(&directory), ["x"]);
    }

    an_endpoint_that_starts_again_with_its_clock_set_back_is_used_once_its_entry_stays => {
        let mut directory = directory_of(&[]);
        directory.apply_written(start_at(20, 2, true));
        directory.apply_written(start_at(10, 1, false));
        directory.drop_lapsed(10_000);
        directory.apply_written(start_at(10, 2, false));
        directory.drop_lapsed(14_900);
        assert!(usable(&directory).is_empty());
        directory.drop_lapsed(15_000);
        assert_eq!(usable(&directory), ["x"]);
        directory.apply_written(start_at(10, 3, false));
        assert_eq!(usable(&directory), ["x"]);
    }

    an_earlier_start_that_announces_draining_itself_is_never_used => {
        let mut directory = directory_of(&[]);
        directory.apply_written(start_at(20, 2, true));
        directory.apply_written(start_at(10, 1, true));
        directory.drop_lapsed(10_000);
        directory.drop_lapsed(15_000);
        assert!(usable(&directory).is_empty());
    }

    an_entry_written_before_the_removal_is_rejected => {
        let mut directory = directory_of(&[]);
        let mut entry = endpoint("x", "z", &[]);
        (entry.started_unix_ms, entry.entry_number) = (10, 7);
        assert!(directory.apply_written(entry.clone()));
        directory.apply_removal(&name("x"), 10_000);
        assert!(!directory.apply_written(entry.clone()));
        assert!(usable(&directory).is_empty());
        entry.entry_number = 8;
        assert!(directory.apply_written(entry.clone()));
        assert!(directory.is_usable(&entry.incarnation()));
        entry.is_draining = true;
        directory.apply_written(entry.clone());
        assert!(!directory.is_usable(&entry.incarnation()));
    }

    // The store was restored without any outage that was noticed here.
    an_entry_that_a_restored_store_lacks_is_kept_until_it_is_written_again => {
        let mut directory = directory_of(&["x", "y"]);
        directory.record_read(true, 10_000);
        directory.store_restored(10_000);
        directory.retain_listed(&[name("y")].into(), 10_000);
        directory.drop_lapsed(10_000 + DRAINING_MS - 400);
        assert_eq!(usable(&directory), ["x", "y"]);
        directory.apply_written(Endpoint { entry_number: 3, ..endpoint("x", "z", &[]) });
        directory.drop_lapsed(20_000);
        assert_eq!(usable(&directory), ["x", "y"]);
    }

    a_draining_endpoint_that_a_restored_store_lacks_is_dropped => {
        let mut directory = directory_of(&["x", "y"]);
        directory.apply_written(Endpoint { is_draining: true, ..endpoint("x", "z", &[]) });
        directory.store_restored(10_000);
        directory.retain_listed(&[name("y")].into(), 10_000);
        assert!(directory.get(&name("x")).is_none());
    }

    an_entry_from_before_the_removal_has_left_also_without_a_start_time => {
        let mut directory = directory_of(&[]);
        directory.apply_written(Endpoint { entry_number: 7, ..endpoint("x", "z", &[]) });
        assert!(!directory.has_left(&Endpoint { entry_number: 7, ..endpoint("x", "z", &[]) }));
        directory.apply_removal(&name("x"), 10_000);
        assert!(directory.has_left(&Endpoint { entry_number: 7, ..endpoint("x", "z", &[]) }));
        assert!(!directory.has_left(&Endpoint { entry_number: 8, ..endpoint("x", "z", &[]) }));
    }

    without_start_times_message_numbers_may_restart => {
        let mut directory = directory_of(&["x"]);
        directory.apply_removal(&name("x"), 10_000);
        assert!(directory.apply_written(endpoint("x", "z", &[])));
        assert_eq!(usable(&directory), ["x"]);
    }

    a_draining_endpoint_stays_draining => {
        let mut directory = directory_of(&["x"]);
        let mut draining = endpoint("x", "z", &[]);
        draining.is_draining = true;
        draining.entry_number = 5;
        directory.apply_written(draining);
        assert!(usable(&directory).is_empty());
        let mut late = endpoint("x", "z", &[]);
        late.entry_number = 6;
        directory.apply_written(late);
        assert!(usable(&directory).is_empty());
    }

    no_entry_reverts_a_signal_in_an_answer => {
        let mut directory = directory_of(&["x", "y"]);
        let incarnation = endpoint("x", "z", &[]).incarnation();
        assert!(directory.mark_draining(&incarnation), "the endpoint was not draining before");
        assert!(!directory.mark_draining(&incarnation), "the endpoint was draining already");
        assert_eq!(usable(&directory), ["y"]);
        directory.apply_written(Endpoint { entry_number: 9, ..endpoint("x", "z", &[]) });
        directory.apply_listed(Endpoint { entry_number: 10, ..endpoint("x", "z", &[]) });
        directory.replace_all(vec![endpoint("x", "z", &[]), endpoint("y", "z", &[])], 100);
        assert_eq!(usable(&directory), ["y"]);
        // The endpoint is not listed yet when its answer arrives.
        let early = Incarnation { name: name("early"), started_unix_ms: 7 };
        assert!(directory.mark_draining(&early));
        directory.apply_written(Endpoint { started_unix_ms: 7, ..endpoint("early", "z", &[]) });
        assert_eq!(usable(&directory), ["y"]);
        directory.apply_written(Endpoint { started_unix_ms: 8, ..endpoint("early", "z", &[]) });
        assert_eq!(usable(&directory), ["early", "y"]);
    }

    an_older_message_does_not_replace_a_newer_one => {
        let mut directory = directory_of(&[]);
        let mut newer = endpoint("x", "z", &["a"]);
        newer.entry_number = 9;
        directory.apply_written(newer);
        let mut older = endpoint("x", "z", &["b"]);
        older.entry_number = 8;
        directory.apply_written(older);
        let held = &directory.get(&name("x")).expect("listed").held;
        assert!(held.contains_key("a") && !held.contains_key("b"));
    }

    // Message numbers restart with each incarnation. The entry of an endpoint that restarted
    // under its name therefore counted as an older message, and an endpoint that had been
    // draining stayed so.
    a_restarted_endpoint_is_described_by_its_new_entry => {
        let mut directory = directory_of(&["x"]);
        let mut draining = endpoint("x", "z", &["a"]);
        (draining.is_draining, draining.entry_number, draining.started_unix_ms) = (true, 500, 10);
        directory.apply_written(draining);
        let mut restarted = endpoint("x", "z", &["b"]);
        (restarted.entry_number, restarted.started_unix_ms) = (1, 20);
        directory.apply_written(restarted.clone());
        assert_eq!(usable(&directory), ["x"]);
        assert_eq!(directory.get(&name("x")).expect("listed"), &restarted);
    }

    a_restart_with_an_earlier_clock_counts_as_new => {
        let mut directory = directory_of(&[]);
        let mut before = endpoint("x", "z", &["a"]);
        (before.entry_number, before.started_unix_ms) = (500, 90_000);
        directory.apply_written(before);
        let mut restarted = endpoint("x", "z", &[]);
        (restarted.entry_number, restarted.started_unix_ms) = (1, 20);
        directory.apply_written(restarted.clone());
        assert_eq!(directory.get(&name("x")), Some(&restarted));
    }

    a_relayed_restart_keeps_nothing_of_the_earlier_incarnation => {
        let mut directory = directory_of(&[]);
        let mut before = endpoint("x", "z", &["a"]);
        (before.entry_number, before.started_unix_ms) = (500, 10);
        directory.apply_written(before);
        let mut restarted = endpoint("x", "z", &[]).identity();
        restarted.started_unix_ms = 20;
        directory.apply_listed(restarted);
        assert!(directory.get(&name("x")).expect("listed").held.is_empty());
    }
}
