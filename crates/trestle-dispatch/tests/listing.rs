//! The list of endpoints, heard of from the store and from leaders, in any order.

mod common;

use common::endpoint;
use std::collections::{BTreeMap, BTreeSet};
use trestle_dispatch::{
    endpoint::Endpoint,
    listing::{ListUpdate, ListedEntry, Listing, Source},
    local_view::LocalView,
    retry_share::RetryBounds,
};

/// Slots and versions of entries.
type Table = BTreeMap<String, (u32, u64)>;

fn entry(key: &str, slots: u32) -> Endpoint {
    Endpoint { slots, ..endpoint(key, "z", &[]) }
}

fn listed(endpoint: Endpoint, version: u64) -> ListedEntry {
    ListedEntry { key: endpoint.name.to_string(), endpoint, version }
}

fn written(key: &str, slots: u32, at: u64) -> ListedEntry {
    listed(entry(key, slots), at)
}

fn whole(table: &Table, version: u64) -> ListUpdate {
    let written = table.iter().map(|(key, (slots, at))| written(key, *slots, *at)).collect();
    ListUpdate { is_whole: true, written, removed: Vec::new(), version }
}

fn one(key: &str, slots: u32, at: u64) -> Table {
    Table::from([(key.to_owned(), (slots, at))])
}

fn partial(rows: Vec<ListedEntry>, removed: &[(&str, u64)], version: u64) -> ListUpdate {
    let removed = removed.iter().map(|(key, at)| ((*key).to_owned(), *at)).collect();
    ListUpdate { is_whole: false, written: rows, removed, version }
}

fn content(listing: &Listing) -> BTreeMap<String, u32> {
    let all = listing.changes_since(0);
    all.written.into_iter().map(|entry| (entry.key, entry.endpoint.slots)).collect()
}

fn keys(listing: &Listing) -> Vec<String> {
    content(listing).into_keys().collect()
}

fn local_view() -> LocalView {
    LocalView::new("z".into(), 2_000, RetryBounds { ratio: 0.2, window_ms: 10_000, fixed: 10 })
}

/// Takes news as a daemon does.
fn hear(local_view: &mut LocalView, news: ListUpdate, source: Source) {
    let fresh = local_view.listing.apply(news, source);
    for entry in fresh.written {
        local_view.apply_entry(entry, source);
    }
    for (key, _) in fresh.removed {
        local_view.directory.apply_removal(&key.as_str().into(), 10_000);
    }
}

/// Endpoints that a daemon may send to.
fn usable(local_view: &LocalView) -> Vec<String> {
    let service = "s".into();
    local_view.directory.usable(&service).map(|endpoint| endpoint.name.to_string()).collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    nothing_is_news_twice => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        let news = partial(vec![written("b", 2, 7)], &[("a", 8)], 8);
        let fresh = listing.apply(news.clone(), Source::Leader);
        assert_eq!((fresh.written.len(), fresh.removed.len()), (1, 1));
        let again = listing.apply(news, Source::Leader);
        assert_eq!((again.written.len(), again.removed.len()), (0, 0));
    }

    an_older_whole_table_does_not_undo_anything => {
        let mut listing = Listing::default();
        let table = Table::from([("a".to_owned(), (1, 5)), ("b".to_owned(), (1, 9))]);
        listing.apply(whole(&table, 9), Source::Store);
        let fresh = listing.apply(whole(&one("a", 0, 3), 4), Source::Store);
        assert!(!fresh.is_whole);
        assert_eq!(content(&listing), BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 1)]));
    }

    nor_does_it_bring_back_what_was_removed => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        listing.apply(partial(vec![], &[("a", 8)], 8), Source::Store);
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        assert!(content(&listing).is_empty());
    }

    nor_what_a_leader_said_was_removed => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        listing.apply(partial(vec![], &[("a", 8)], 8), Source::Leader);
        let fresh = listing.apply(whole(&one("a", 1, 5), 7), Source::Store);
        assert!(fresh.written.is_empty());
        assert!(content(&listing).is_empty());
    }

    // A whole list without `a` had made the copy forget its removal.
    nothing_from_before_a_whole_list_brings_back_what_is_not_in_it => {
        for source in [Source::Store, Source::Leader] {
            let mut listing = Listing::default();
            listing.apply(whole(&one("a", 1, 55), 60), Source::Store);
            listing.apply(whole(&Table::new(), 100), Source::Store);
            let fresh = listing.apply(partial(vec![written("a", 1, 55)], &[], 60), source);
            assert!(fresh.written.is_empty());
            assert!(content(&listing).is_empty());
        }
    }

    // The endpoint had come and gone while an answer of the store was on its way.
    nor_an_answer_that_was_made_before_a_leader_said_that_it_came_and_went => {
        let mut listing = Listing::default();
        listing.apply(whole(&Table::new(), 50), Source::Store);
        listing.apply(partial(vec![], &[("a", 70)], 80), Source::Leader);
        listing.apply(partial(vec![written("a", 1, 60)], &[], 65), Source::Store);
        assert!(content(&listing).is_empty());
    }

    a_whole_list_names_what_is_gone_by_its_removal => {
        let mut listing = Listing::default();
        let table = Table::from([("a".to_owned(), (1, 5)), ("b".to_owned(), (1, 9))]);
        listing.apply(whole(&table, 9), Source::Store);
        let fresh = listing.apply(whole(&one("b", 1, 9), 12), Source::Leader);
        assert_eq!(fresh.removed, [("a".to_owned(), 12)]);
        assert_eq!(keys(&listing), ["b"]);
    }

    an_entry_says_more_than_what_a_leader_has_passed_on_of_it => {
        let mut listing = Listing::default();
        listing.apply(partial(vec![written("a", 1, 5)], &[], 5), Source::Leader);
        let fresh = listing.apply(partial(vec![written("a", 1, 5)], &[], 5), Source::Store);
        assert_eq!(fresh.written.len(), 1);
        let fresh = listing.apply(partial(vec![written("a", 1, 5)], &[], 5), Source::Leader);
        assert!(fresh.written.is_empty());
    }

    what_changes_nothing_but_what_an_engine_holds_is_not_passed_on => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        let mut holds = endpoint("a", "z", &["m"]);
        (holds.slots, holds.entry_number) = (1, 9);
        listing.apply(partial(vec![listed(holds, 8)], &[], 8), Source::Store);
        assert!(listing.changes_since(6).written.is_empty());
        listing.apply(partial(vec![written("a", 2, 9)], &[], 9), Source::Store);
        assert_eq!(listing.changes_since(6).written.len(), 1);
    }

    who_is_behind_the_known_removals_gets_everything => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 10), Source::Store);
        assert!(listing.changes_since(9).is_whole);
        assert!(!listing.changes_since(10).is_whole);
    }

    an_entry_that_no_longer_tells_its_start_is_another_writers => {
        let mut known = local_view();
        let own = Endpoint { started_unix_ms: 10, ..entry("a", 1) };
        hear(&mut known, partial(vec![listed(own, 5)], &[], 5), Source::Store);
        hear(&mut known, partial(vec![written("a", 1, 6)], &[], 6), Source::Store);
        assert!(usable(&known).is_empty());
        hear(&mut known, partial(vec![written("a", 1, 7)], &[], 7), Source::Store);
        assert!(usable(&known).is_empty());
    }

    one_that_tells_its_start_takes_no_other_with_it => {
        let mut known = local_view();
        let own = Endpoint { started_unix_ms: 10, ..entry("a", 1) };
        let news = partial(vec![listed(own, 5), written("b", 1, 6)], &[], 6);
        hear(&mut known, news, Source::Store);
        hear(&mut known, partial(vec![written("b", 2, 7)], &[], 7), Source::Store);
        assert_eq!(usable(&known), ["a", "b"]);
    }

    no_entry_need_tell_its_start_where_none_does => {
        let mut listing = Listing::default();
        listing.apply(whole(&one("a", 1, 5), 6), Source::Store);
        assert_eq!(keys(&listing), ["a"]);
    }

    // A daemon that has just started reads an entry of before, or hears it from a leader that has.
    what_was_seen_leaving_is_passed_on_as_leaving => {
        let (mut old, mut new) = (local_view(), local_view());
        let mut leaving = Endpoint { started_unix_ms: 7, ..entry("a", 1) };
        let ready = leaving.clone();
        (leaving.is_draining, leaving.entry_number) = (true, 5);
        hear(&mut old, partial(vec![listed(leaving, 5)], &[], 5), Source::Store);
        hear(&mut old, partial(vec![listed(ready, 9)], &[], 9), Source::Store);
        assert!(usable(&old).is_empty());
        hear(&mut new, old.list_since(0), Source::Leader);
        assert!(usable(&new).is_empty());
    }

    what_was_passed_over_is_passed_on_as_gone => {
        let (mut old, mut new) = (local_view(), local_view());
        let ready = Endpoint { started_unix_ms: 7, ..entry("a", 1) };
        hear(&mut old, partial(vec![listed(ready.clone(), 5)], &[], 5), Source::Store);
        hear(&mut old, partial(vec![], &[("a", 6)], 6), Source::Store);
        hear(&mut old, partial(vec![listed(ready.clone(), 9)], &[], 9), Source::Store);
        assert!(usable(&old).is_empty());
        hear(&mut new, old.list_since(0), Source::Leader);
        assert!(usable(&new).is_empty());
        // What it writes itself after that counts.
        let back = Endpoint { entry_number: 2, ..ready };
        hear(&mut old, partial(vec![listed(back, 12)], &[], 12), Source::Store);
        hear(&mut new, old.list_since(9), Source::Leader);
        assert_eq!((usable(&old), usable(&new)), (vec!["a".to_owned()], vec!["a".to_owned()]));
    }

    // An endpoint enters itself, is gone, starts again under its name, and leaves: news of these
    // come in every order, from the store and from a leader by turns, and all of them twice.
    news_in_any_order_lead_to_the_newest => {
        let incarnation = |born_ms: u64, is_leaving: bool| {
            Endpoint { started_unix_ms: born_ms, is_draining: is_leaving, ..entry("a", 1) }
        };
        let news = [
            partial(vec![listed(incarnation(10, false), 1)], &[], 1),
            partial(vec![], &[("a", 2)], 2),
            partial(vec![listed(incarnation(20, false), 3)], &[], 3),
            partial(vec![listed(incarnation(20, true), 4)], &[], 4),
        ];
        let states: [&[&str]; 5] = [&[], &["a"], &[], &["a"], &[]];
        for lots in 0..4_u64.pow(8) {
            let order = (0..8).map(|place| (lots / 4_u64.pow(place) % 4) as usize);
            let mut known = local_view();
            let mut newest = 0;
            for (turn, number) in order.enumerate() {
                let source = [Source::Store, Source::Leader][turn % 2];
                hear(&mut known, news[number].clone(), source);
                newest = newest.max(number + 1);
                assert_eq!(usable(&known), states[newest], "order {lots}, turn {turn}");
            }
        }
    }

    // One copy follows the store, others follow it or each other by turns, with gaps: at
    // the end all are the same as the table.
    copies_agree_with_the_table_whoever_they_hear_it_from => {
        for seed in 0..500 {
            play(seed, 0);
        }
    }

    // The same where answers and what leaders pass on come late, after newer ones: no copy ever
    // goes back behind what it has heard of a key.
    no_copy_goes_back_behind_what_it_has_heard => {
        for seed in 0..1_000 {
            play(seed, 12);
        }
    }
}

/// A message on its way to a copy.
struct Message {
    due: u64,
    copy: usize,
    news: ListUpdate,
    source: Source,
}

/// The table over time, and copies of it.
struct World {
    table: Table,
    version: u64,
    history: Vec<(u64, String, Option<u32>)>,
    copies: Vec<Listing>,
    /// The version as of which each copy has heard of each key.
    heard: Vec<BTreeMap<String, u64>>,
}

const KEYS: [&str; 5] = ["k0", "k1", "k2", "k3", "k4"];

impl World {
    fn new() -> Self {
        Self {
            table: Table::new(),
            version: 1,
            history: Vec::new(),
            copies: (0..3).map(|_| Listing::default()).collect(),
            heard: vec![BTreeMap::new(); 3],
        }
    }

    fn change(&mut self, lots: &mut fastrand::Rng, step: u32) {
        self.version += lots.u64(1..4);
        let key = KEYS[lots.usize(0..KEYS.len())].to_owned();
        let row = (lots.u32(0..3) > 0).then_some(step);
        match row {
            Some(row) => self.table.insert(key.clone(), (row, self.version)),
            None => self.table.remove(&key),
        };
        self.history.push((self.version, key, row));
    }

    /// What the store tells of changes; a feed names each key once, with its newest state.
    fn feed(&self, after: u64) -> ListUpdate {
        let mut news = partial(vec![], &[], self.version);
        let mut named = BTreeSet::new();
        for (at, key, row) in self.history.iter().rev().filter(|(at, ..)| *at > after) {
            if named.insert(key.clone()) {
                match row {
                    Some(row) => news.written.push(written(key, *row, *at)),
                    None => news.removed.push((key.clone(), *at)),
                }
            }
        }
        news
    }

    /// What a key was at a version.
    fn state(&self, key: &str, version: u64) -> Option<u32> {
        let mut of_key = self.history.iter().filter(|(at, of, _)| of == key && *at <= version);
        of_key.next_back().and_then(|(_, _, row)| *row)
    }

    fn take(&mut self, message: Message, seed: u64) {
        let Message { copy, news, source, .. } = message;
        let heard = &mut self.heard[copy];
        let mut hear = |key: &str, at: u64| {
            let known = heard.entry(key.to_owned()).or_default();
            *known = at.max(*known);
        };
        if news.is_whole {
            KEYS.iter().for_each(|key| hear(key, news.version));
        }
        news.written.iter().for_each(|entry| hear(&entry.key, entry.version));
        news.removed.iter().for_each(|(key, at)| hear(key, *at));
        self.copies[copy].apply(news, source);
        let content = content(&self.copies[copy]);
        for (key, at) in &self.heard[copy] {
            let expected = self.state(key, *at);
            assert_eq!(content.get(key).copied(), expected, "seed {seed}, copy {copy}, {key}");
        }
    }
}

/// Changes a table, and passes on what has changed; messages take up to so many steps.
fn play(seed: u64, latest: u64) {
    let mut lots = fastrand::Rng::with_seed(seed);
    let mut world = World::new();
    let mut on_their_way: Vec<Message> = Vec::new();
    for step in 0..120_u64 {
        world.change(&mut lots, step as u32);
        let copy = lots.usize(0..3);
        let after = world.copies[copy].version();
        let sent = match lots.u32(0..4) {
            0 => Some((whole(&world.table, world.version), Source::Store)),
            1 if after > 0 => Some((world.feed(after), Source::Store)),
            2 if world.copies[(copy + 1) % 3].version() > 0 => {
                Some((world.copies[(copy + 1) % 3].changes_since(after), Source::Leader))
            }
            _ => None,
        };
        let due = step + lots.u64(0..=latest);
        on_their_way.extend(sent.map(|(news, source)| Message { due, copy, news, source }));
        let arrived: Vec<Message> =
            on_their_way.extract_if(.., |message| message.due <= step).collect();
        arrived.into_iter().for_each(|message| world.take(message, seed));
    }
    on_their_way.into_iter().for_each(|message| world.take(message, seed));
    let newest = whole(&world.table, world.version);
    world.copies[0].apply(newest, Source::Store);
    let expected: BTreeMap<String, u32> =
        world.table.iter().map(|(key, (row, _))| (key.clone(), *row)).collect();
    for number in 1..3 {
        let news = world.copies[0].changes_since(world.copies[number].version());
        world.copies[number].apply(news, Source::Leader);
        assert_eq!(content(&world.copies[number]), expected, "seed {seed}, copy {number}");
    }
}
