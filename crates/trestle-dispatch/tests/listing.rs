//! The list of endpoints, received from the store and from leaders in any order.

mod common;

use common::endpoint;
use std::collections::{BTreeMap, BTreeSet};
use trestle_dispatch::{
    endpoint::Endpoint,
    listing::{ListUpdate, ListedEntry, Listing, Source},
    local_view::LocalView,
    retry_share::RetryBounds,
    store_version::StoreVersion,
};

/// Slots and versions of entries.
type Table = BTreeMap<String, (u32, u64)>;

fn entry(key: &str, slots: u32) -> Endpoint {
    Endpoint { slots, ..endpoint(key, "z", &[]) }
}

fn listed(endpoint: Endpoint, version: impl Into<StoreVersion>) -> ListedEntry {
    let version = version.into();
    ListedEntry { key: endpoint.name.to_string(), endpoint, version }
}

fn written(key: &str, slots: u32, at: impl Into<StoreVersion>) -> ListedEntry {
    listed(entry(key, slots), at)
}

fn whole(table: &Table, version: impl Into<StoreVersion>) -> ListUpdate {
    let version = version.into();
    let rows = table.iter();
    let at = |number: u64| StoreVersion { number, ..version };
    let written = rows.map(|(key, (slots, number))| written(key, *slots, at(*number))).collect();
    ListUpdate { is_whole: true, written, removed: Vec::new(), version }
}

fn one(key: &str, slots: u32, at: u64) -> Table {
    Table::from([(key.to_owned(), (slots, at))])
}

fn partial(
    rows: Vec<ListedEntry>,
    removed: &[(&str, u64)],
    version: impl Into<StoreVersion>,
) -> ListUpdate {
    let version = version.into();
    let removed = removed.iter().map(|(key, at)| ((*key).to_owned(), (*at).into())).collect();
    ListUpdate { is_whole: false, written: rows, removed, version }
}

fn content(listing: &Listing) -> BTreeMap<String, u32> {
    let all = listing.changes_since(0.into());
    all.written.into_iter().map(|entry| (entry.key, entry.endpoint.slots)).collect()
}

fn keys(listing: &Listing) -> Vec<String> {
    content(listing).into_keys().collect()
}

fn local_view() -> LocalView {
    LocalView::new("z".into(), 2_000, RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 10 })
}

/// Applies an update as a daemon does.
fn apply_update(local_view: &mut LocalView, update: ListUpdate, source: Source) {
    let changes = local_view.listing.apply(update, source);
    for entry in changes.written {
        local_view.apply_entry(entry, source);
    }
    for (key, _) in changes.removed {
        local_view.directory.apply_removal(&key.as_str().into(), 10_000);
    }
}

/// Returns the endpoints that a daemon may send requests to.
fn usable(local_view: &LocalView) -> Vec<String> {
    let service = "s".into();
    local_view.directory.usable(&service).map(|endpoint| endpoint.name.to_string()).collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    an_update_is_new_only_once => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        let update = partial(vec![written("b", 2, 7)], &[("a", 8)], 8);
        let changes = listing.apply(update.clone(), Source::Leader);
        assert_eq!((changes.written.len(), changes.removed.len()), (1, 1));
        let again = listing.apply(update, Source::Leader);
        assert_eq!((again.written.len(), again.removed.len()), (0, 0));
    }

    an_older_whole_list_changes_nothing => {
        let mut listing = Listing::default();
        let table = Table::from([("a".to_owned(), (1, 5)), ("b".to_owned(), (1, 9))]);
        listing.apply(whole(&table, 9), Source::Store);
        let changes = listing.apply(whole(&one("a", 0, 3), 4), Source::Store);
        assert!(!changes.is_whole);
        assert_eq!(content(&listing), BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 1)]));
    }

    an_older_whole_list_restores_no_removed_entry => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        listing.apply(partial(vec![], &[("a", 8)], 8), Source::Store);
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        assert!(content(&listing).is_empty());
    }

    an_older_whole_list_restores_no_entry_removed_by_a_leader => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        listing.apply(partial(vec![], &[("a", 8)], 8), Source::Leader);
        let changes = listing.apply(whole(&one("a", 1, 5), 7), Source::Store);
        assert!(changes.written.is_empty());
        assert!(content(&listing).is_empty());
    }

    // A whole list without `a` had made the copy forget the removal of `a`.
    no_update_older_than_a_whole_list_restores_a_missing_entry => {
        for source in [Source::Store, Source::Leader] {
            let mut listing = Listing::default();
            listing.apply(whole(&one("a", 1, 55), 60), Source::Store);
            listing.apply(whole(&Table::new(), 100), Source::Store);
            let changes = listing.apply(partial(vec![written("a", 1, 55)], &[], 60), source);
            assert!(changes.written.is_empty());
            assert!(content(&listing).is_empty());
        }
    }

    // The endpoint was added and removed while an answer of the store was in transit.
    an_older_answer_restores_no_entry_that_a_leader_reported_removed => {
        let mut listing = Listing::default();
        listing.apply(whole(&Table::new(), 50), Source::Store);
        listing.apply(partial(vec![], &[("a", 70)], 80), Source::Leader);
        listing.apply(partial(vec![written("a", 1, 60)], &[], 65), Source::Store);
        assert!(content(&listing).is_empty());
    }

    a_whole_list_reports_missing_entries_as_removed => {
        let mut listing = Listing::default();
        let table = Table::from([("a".to_owned(), (1, 5)), ("b".to_owned(), (1, 9))]);
        listing.apply(whole(&table, 9), Source::Store);
        let changes = listing.apply(whole(&one("b", 1, 9), 12), Source::Leader);
        assert_eq!(changes.removed, [("a".to_owned(), StoreVersion::from(12))]);
        assert_eq!(keys(&listing), ["b"]);
    }

    the_stores_entry_replaces_a_leaders_copy => {
        let mut listing = Listing::default();
        listing.apply(partial(vec![written("a", 1, 5)], &[], 5), Source::Leader);
        let changes = listing.apply(partial(vec![written("a", 1, 5)], &[], 5), Source::Store);
        assert_eq!(changes.written.len(), 1);
        let changes = listing.apply(partial(vec![written("a", 1, 5)], &[], 5), Source::Leader);
        assert!(changes.written.is_empty());
    }

    changes_of_an_engines_models_are_not_relayed => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        let mut holds = endpoint("a", "z", &["m"]);
        (holds.slots, holds.entry_number) = (1, 9);
        listing.apply(partial(vec![listed(holds, 8)], &[], 8), Source::Store);
        assert!(listing.changes_since(6.into()).written.is_empty());
        listing.apply(partial(vec![written("a", 2, 9)], &[], 9), Source::Store);
        assert_eq!(listing.changes_since(6.into()).written.len(), 1);
    }

    a_version_before_the_known_removals_gets_the_whole_list => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 10), Source::Store);
        assert!(listing.changes_since(9.into()).is_whole);
        assert!(!listing.changes_since(10.into()).is_whole);
    }

    an_entry_that_lost_its_start_time_is_foreign => {
        let mut known = local_view();
        let own = Endpoint { started_unix_ms: 10, ..entry("a", 1) };
        apply_update(&mut known, partial(vec![listed(own, 5)], &[], 5), Source::Store);
        apply_update(&mut known, partial(vec![written("a", 1, 6)], &[], 6), Source::Store);
        assert!(usable(&known).is_empty());
        apply_update(&mut known, partial(vec![written("a", 1, 7)], &[], 7), Source::Store);
        assert!(usable(&known).is_empty());
    }

    a_foreign_entry_affects_no_other_endpoint => {
        let mut known = local_view();
        let own = Endpoint { started_unix_ms: 10, ..entry("a", 1) };
        let update = partial(vec![listed(own, 5), written("b", 1, 6)], &[], 6);
        apply_update(&mut known, update, Source::Store);
        apply_update(&mut known, partial(vec![written("b", 2, 7)], &[], 7), Source::Store);
        assert_eq!(usable(&known), ["a", "b"]);
    }

    without_any_start_times_entries_are_accepted => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        assert_eq!(keys(&listing), ["a"]);
    }

    // A daemon that has just started reads an outdated entry, or receives it from a leader that
    // has read one.
    draining_endpoints_are_relayed_as_draining => {
        let (mut old, mut new) = (local_view(), local_view());
        let mut draining = Endpoint { started_unix_ms: 7, ..entry("a", 1) };
        let ready = draining.clone();
        (draining.is_draining, draining.entry_number) = (true, 5);
        apply_update(&mut old, partial(vec![listed(draining, 5)], &[], 5), Source::Store);
        apply_update(&mut old, partial(vec![listed(ready, 9)], &[], 9), Source::Store);
        assert!(usable(&old).is_empty());
        apply_update(&mut new, old.list_since(0.into()), Source::Leader);
        assert!(usable(&new).is_empty());
    }

    ignored_entries_are_relayed_as_removed => {
        let (mut old, mut new) = (local_view(), local_view());
        let ready = Endpoint { started_unix_ms: 7, ..entry("a", 1) };
        apply_update(&mut old, partial(vec![listed(ready.clone(), 5)], &[], 5), Source::Store);
        apply_update(&mut old, partial(vec![], &[("a", 6)], 6), Source::Store);
        apply_update(&mut old, partial(vec![listed(ready.clone(), 9)], &[], 9), Source::Store);
        assert!(usable(&old).is_empty());
        apply_update(&mut new, old.list_since(0.into()), Source::Leader);
        assert!(usable(&new).is_empty());
        // An entry that the endpoint writes after that is accepted.
        let returned = Endpoint { entry_number: 2, ..ready };
        apply_update(&mut old, partial(vec![listed(returned, 12)], &[], 12), Source::Store);
        apply_update(&mut new, old.list_since(9.into()), Source::Leader);
        assert_eq!((usable(&old), usable(&new)), (vec!["a".to_owned()], vec!["a".to_owned()]));
    }

    // An endpoint writes its entry, is removed, restarts under its name, and starts draining. The
    // updates arrive in every order, alternately from the store and from a leader, and each of
    // them twice.
    updates_in_any_order_lead_to_the_newest_state => {
        let incarnation = |started_unix_ms: u64, is_draining: bool| {
            Endpoint { started_unix_ms, is_draining, ..entry("a", 1) }
        };
        let update = [
            partial(vec![listed(incarnation(10, false), 1)], &[], 1),
            partial(vec![], &[("a", 2)], 2),
            partial(vec![listed(incarnation(20, false), 3)], &[], 3),
            partial(vec![listed(incarnation(20, true), 4)], &[], 4),
        ];
        let states: [&[&str]; 5] = [&[], &["a"], &[], &["a"], &[]];
        for code in 0..4_u64.pow(8) {
            let order = (0..8).map(|digit| (code / 4_u64.pow(digit) % 4) as usize);
            let mut known = local_view();
            let mut newest = 0;
            for (turn, number) in order.enumerate() {
                let source = [Source::Store, Source::Leader][turn % 2];
                apply_update(&mut known, update[number].clone(), source);
                newest = newest.max(number + 1);
                assert_eq!(usable(&known), states[newest], "order {code}, turn {turn}");
            }
        }
    }

    // One copy follows the store, and the others follow the store or each other alternately, with
    // gaps. In the end all are equal to the table.
    copies_agree_with_the_table_whichever_source_they_follow => {
        for seed in 0..500 {
            simulate(seed, 0, false);
        }
    }

    // The table is restored from copies, which lack its last changes and give their versions out again.
    // Updates of different eras overtake each other.
    copies_agree_with_a_table_that_is_restored => {
        for seed in 0..1_000 {
            simulate(seed, 12, true);
        }
    }

    // Copies follow the store and each other as in the first of these tests, but answers and relayed
    // updates may arrive after newer ones.
    no_copy_returns_to_an_earlier_state => {
        for seed in 0..1_000 {
            simulate(seed, 12, false);
        }
    }
}

/// An update in transit to a copy.
struct Message {
    due: u64,
    copy: usize,
    update: ListUpdate,
    source: Source,
}

/// The table over time, and copies of it.
struct Simulation {
    table: Table,
    version: StoreVersion,
    /// All changes with their versions. Those that a copy preserves are repeated in the era that
    /// begins with it.
    history: Vec<(StoreVersion, String, Option<u32>)>,
    copies: Vec<Listing>,
    /// The version as of which each copy knows each key.
    known_at: Vec<BTreeMap<String, StoreVersion>>,
}

const KEYS: [&str; 5] = ["k0", "k1", "k2", "k3", "k4"];

impl Simulation {
    fn new() -> Self {
        Self {
            table: Table::new(),
            version: 1.into(),
            history: Vec::new(),
            copies: (0..3).map(|_| Listing::default()).collect(),
            known_at: vec![BTreeMap::new(); 3],
        }
    }

    fn change(&mut self, random: &mut fastrand::Rng, step: u32) {
        self.version.number += random.u64(1..4);
        let key = KEYS[random.usize(0..KEYS.len())].to_owned();
        let row = (random.u32(0..3) > 0).then_some(step);
        match row {
            Some(row) => self.table.insert(key.clone(), (row, self.version.number)),
            None => self.table.remove(&key),
        };
        self.history.push((self.version, key, row));
    }

    /// Restores the table from a copy that lacks some of the last transactions.
    fn restore(&mut self, random: &mut fastrand::Rng) {
        let lost = random.u64(0..self.version.number.min(40));
        let StoreVersion { era, number } = self.version;
        self.version = StoreVersion { era: era + 1, number: number - lost };
        let kept = self
            .history
            .iter()
            .filter(|(at, ..)| at.era == era && at.number <= self.version.number);
        let kept: Vec<_> = kept
            .map(|(at, key, row)| (StoreVersion { era: era + 1, ..*at }, key.clone(), *row))
            .collect();
        self.table.clear();
        for (at, key, row) in &kept {
            match row {
                Some(row) => self.table.insert(key.clone(), (*row, at.number)),
                None => self.table.remove(key),
            };
        }
        self.history.extend(kept);
    }

    /// Returns the store's feed of changes; it contains each key once, with its newest state.
    fn changes_after(&self, after: StoreVersion) -> ListUpdate {
        let mut update = partial(vec![], &[], self.version);
        let mut named = BTreeSet::new();
        for (at, key, row) in self.history.iter().rev().filter(|(at, ..)| *at > after) {
            if named.insert(key.clone()) {
                match row {
                    Some(row) => update.written.push(written(key, *row, *at)),
                    None => update.removed.push((key.clone(), *at)),
                }
            }
        }
        update
    }

    /// Returns the state of a key at a version.
    fn state(&self, key: &str, version: StoreVersion) -> Option<u32> {
        let mut of_key = self.history.iter().filter(|(at, of, _)| {
            of == key && at.era == version.era && at.number <= version.number
        });
        of_key.next_back().and_then(|(_, _, row)| *row)
    }

    fn deliver(&mut self, message: Message, seed: u64) {
        let Message { copy, update, source, .. } = message;
        let known_at = &mut self.known_at[copy];
        let mut record = |key: &str, at: StoreVersion| {
            let known = known_at.entry(key.to_owned()).or_default();
            *known = at.max(*known);
        };
        if update.is_whole {
            KEYS.iter().for_each(|key| record(key, update.version));
        }
        update.written.iter().for_each(|entry| record(&entry.key, entry.version));
        update.removed.iter().for_each(|(key, at)| record(key, *at));
        self.copies[copy].apply(update, source);
        let content = content(&self.copies[copy]);
        for (key, at) in &self.known_at[copy] {
            let expected = self.state(key, *at);
            assert_eq!(content.get(key).copied(), expected, "seed {seed}, copy {copy}, {key}");
        }
    }
}

/// Changes a table and sends updates to its copies; an update takes up to `max_delay` steps. The table
/// is restored from a copy at some steps if `is_restored`.
fn simulate(seed: u64, max_delay: u64, is_restored: bool) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut simulation = Simulation::new();
    let mut in_transit: Vec<Message> = Vec::new();
    for step in 0..120_u64 {
        if is_restored && random.u32(0..20) == 0 {
            simulation.restore(&mut random);
        }
        simulation.change(&mut random, step as u32);
        let copy = random.usize(0..3);
        let after = simulation.copies[copy].version();
        let sent = match random.u32(0..4) {
            0 => Some((whole(&simulation.table, simulation.version), Source::Store)),
            1 if after.number > 0 && after.era == simulation.version.era => {
                Some((simulation.changes_after(after), Source::Store))
            }
            2 if simulation.copies[(copy + 1) % 3].version().number > 0 => {
                Some((simulation.copies[(copy + 1) % 3].changes_since(after), Source::Leader))
            }
            _ => None,
        };
        let due = step + random.u64(0..=max_delay);
        in_transit.extend(sent.map(|(update, source)| Message { due, copy, update, source }));
        let arrived: Vec<Message> =
            in_transit.extract_if(.., |message| message.due <= step).collect();
        arrived.into_iter().for_each(|message| simulation.deliver(message, seed));
    }
    in_transit.into_iter().for_each(|message| simulation.deliver(message, seed));
    let newest = whole(&simulation.table, simulation.version);
    simulation.copies[0].apply(newest, Source::Store);
    let expected: BTreeMap<String, u32> =
        simulation.table.iter().map(|(key, (row, _))| (key.clone(), *row)).collect();
    for number in 1..3 {
        let update = simulation.copies[0].changes_since(simulation.copies[number].version());
        simulation.copies[number].apply(update, Source::Leader);
        assert_eq!(content(&simulation.copies[number]), expected, "seed {seed}, copy {number}");
    }
}
