//! The list of live endpoints: lapses, returns, and endpoints that leave.

mod common;

use common::endpoint;
use trestle_core::names::{EndpointName, ServiceName};
use trestle_dispatch::{
    directory::Directory,
    endpoint::{Endpoint, Incarnation},
};

const LEAVING_MS: u64 = 2_000;

fn listed(names: &[&str]) -> Directory {
    let mut directory = Directory::new(LEAVING_MS);
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

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    a_removal_is_believed_at_once => {
        let mut directory = listed(&["x", "y"]);
        directory.apply_removal(&name("x"), 10_000);
        assert_eq!(usable(&directory), ["y"]);
    }

    an_entry_that_lapsed_while_the_store_was_away_may_come_back => {
        let mut directory = listed(&["x", "y"]);
        directory.record_read(false, 5_000);
        directory.record_read(true, 9_000);
        directory.apply_removal(&name("x"), 9_010);
        directory.drop_lapsed(10_500);
        assert_eq!(usable(&directory), ["x", "y"]);
        directory.apply_written(endpoint("x", "z", &[]));
        directory.drop_lapsed(20_000);
        assert_eq!(usable(&directory), ["x", "y"]);
    }

    one_that_does_not_come_back_counts_as_gone => {
        let mut directory = listed(&["x", "y"]);
        directory.record_read(false, 5_000);
        directory.record_read(true, 9_000);
        directory.apply_removal(&name("x"), 9_010);
        assert_eq!(directory.drop_lapsed(11_000), [name("x")]);
        assert_eq!(usable(&directory), ["y"]);
    }

    // DRAIN, hunt-cb96-47: removed 3.4 s after the store's return and kept for 2.2 s more.
    a_removal_long_after_the_return_is_believed_at_once => {
        let mut directory = listed(&["x", "y"]);
        directory.record_read(false, 5_000);
        directory.record_read(true, 11_600);
        directory.apply_removal(&name("x"), 15_010);
        assert_eq!(usable(&directory), ["y"]);
    }

    a_lapsed_entry_is_never_kept_as_long_as_a_leaving_one_may_be_used => {
        let mut directory = Directory::new(1_000);
        directory.record_read(true, 0);
        directory.replace_all(vec![endpoint("x", "z", &[])], 0);
        directory.record_read(false, 5_000);
        directory.record_read(true, 9_000);
        directory.apply_removal(&name("x"), 9_010);
        directory.drop_lapsed(9_010 + 1_000 - 200);
        assert!(usable(&directory).is_empty());
    }

    // Entries lapse after some seconds of silence only: what is removed after a short time without
    // the store has left, and may have done so when the list was last known.
    what_is_removed_after_a_short_time_without_the_store_has_left => {
        let mut directory = listed(&["x", "y"]);
        directory.record_read(true, 10_000);
        directory.record_read(false, 10_400);
        directory.record_read(true, 10_700);
        directory.apply_removal(&name("x"), 10_800);
        assert_eq!(directory.drop_lapsed(10_000 + LEAVING_MS - 300), [name("x")]);
        assert_eq!(usable(&directory), ["y"]);
    }

    one_that_comes_back_with_an_entry_of_before_its_removal_is_gone => {
        let mut directory = listed(&[]);
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

    where_starts_cannot_be_told_apart_numbers_may_begin_anew => {
        let mut directory = listed(&["x"]);
        directory.apply_removal(&name("x"), 10_000);
        assert!(directory.apply_written(endpoint("x", "z", &[])));
        assert_eq!(usable(&directory), ["x"]);
    }

    an_endpoint_that_was_seen_leaving_stays_so => {
        let mut directory = listed(&["x"]);
        let mut leaving = endpoint("x", "z", &[]);
        leaving.is_draining = true;
        leaving.entry_number = 5;
        directory.apply_written(leaving);
        assert!(usable(&directory).is_empty());
        let mut late = endpoint("x", "z", &[]);
        late.entry_number = 6;
        directory.apply_written(late);
        assert!(usable(&directory).is_empty());
    }

    no_entry_undoes_what_an_endpoint_said_in_an_answer => {
        let mut directory = listed(&["x", "y"]);
        let incarnation = endpoint("x", "z", &[]).incarnation();
        assert!(directory.mark_draining(&incarnation), "it is news");
        assert!(!directory.mark_draining(&incarnation), "it is no news any more");
        assert_eq!(usable(&directory), ["y"]);
        directory.apply_written(Endpoint { entry_number: 9, ..endpoint("x", "z", &[]) });
        directory.apply_listed(Endpoint { entry_number: 10, ..endpoint("x", "z", &[]) });
        directory.replace_all(vec![endpoint("x", "z", &[]), endpoint("y", "z", &[])], 100);
        assert_eq!(usable(&directory), ["y"]);
        // It is not even listed yet where the answer is heard.
        let early = Incarnation { name: name("early"), started_unix_ms: 7 };
        assert!(directory.mark_draining(&early));
        directory.apply_written(Endpoint { started_unix_ms: 7, ..endpoint("early", "z", &[]) });
        assert_eq!(usable(&directory), ["y"]);
        directory.apply_written(Endpoint { started_unix_ms: 8, ..endpoint("early", "z", &[]) });
        assert_eq!(usable(&directory), ["early", "y"]);
    }

    an_older_message_does_not_undo_a_newer_one => {
        let mut directory = listed(&[]);
        let mut newer = endpoint("x", "z", &["a"]);
        newer.entry_number = 9;
        directory.apply_written(newer);
        let mut older = endpoint("x", "z", &["b"]);
        older.entry_number = 8;
        directory.apply_written(older);
        let held = &directory.get(&name("x")).expect("listed").held;
        assert!(held.contains_key("a") && !held.contains_key("b"));
    }

    // Read in the code: the entry of an endpoint that had started again under its name counted
    // as an older message, since its numbers start anew, and one that had been leaving stayed so.
    one_that_started_again_is_what_its_new_entry_says => {
        let mut directory = listed(&["x"]);
        let mut leaving = endpoint("x", "z", &["a"]);
        (leaving.is_draining, leaving.entry_number, leaving.started_unix_ms) = (true, 500, 10);
        directory.apply_written(leaving);
        let mut again = endpoint("x", "z", &["b"]);
        (again.entry_number, again.started_unix_ms) = (1, 20);
        directory.apply_written(again.clone());
        assert_eq!(usable(&directory), ["x"]);
        assert_eq!(directory.get(&name("x")).expect("listed"), &again);
    }

    one_that_started_again_with_its_clock_set_back_is_as_new => {
        let mut directory = listed(&[]);
        let mut before = endpoint("x", "z", &["a"]);
        (before.entry_number, before.started_unix_ms) = (500, 90_000);
        directory.apply_written(before);
        let mut again = endpoint("x", "z", &[]);
        (again.entry_number, again.started_unix_ms) = (1, 20);
        directory.apply_written(again.clone());
        assert_eq!(directory.get(&name("x")), Some(&again));
    }

    what_is_passed_on_of_one_that_started_again_has_nothing_of_before => {
        let mut directory = listed(&[]);
        let mut before = endpoint("x", "z", &["a"]);
        (before.entry_number, before.started_unix_ms) = (500, 10);
        directory.apply_written(before);
        let mut again = endpoint("x", "z", &[]).identity();
        again.started_unix_ms = 20;
        directory.apply_listed(again);
        assert!(directory.get(&name("x")).expect("listed").held.is_empty());
    }
}
