//! Copies of a table that are kept up by one daemon for others.

use std::collections::BTreeMap;
use trestle_dispatch::mirror::{Mirror, News};

type Table = BTreeMap<String, (u32, u64)>;

fn whole(table: &Table, version: u64) -> News<u32> {
    let written = table.iter().map(|(key, (row, at))| (key.clone(), *row, *at)).collect();
    News { is_whole: true, written, removed: Vec::new(), version }
}

fn content(mirror: &Mirror<u32>) -> BTreeMap<String, u32> {
    let all = mirror.after(0);
    all.written.into_iter().map(|(key, row, _)| (key, row)).collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

cases! {
    nothing_is_news_twice => {
        let mut mirror = Mirror::default();
        mirror.take(whole(&Table::from([("a".to_owned(), (1, 5))]), 6));
        let news = News {
            is_whole: false,
            written: vec![("b".to_owned(), 2, 7)],
            removed: vec![("a".to_owned(), 8)],
            version: 8,
        };
        let fresh = mirror.take(news.clone());
        assert_eq!((fresh.written.len(), fresh.removed.len()), (1, 1));
        let again = mirror.take(news);
        assert_eq!((again.written.len(), again.removed.len()), (0, 0));
    }

    an_older_whole_table_does_not_undo_anything => {
        let mut mirror = Mirror::default();
        mirror.take(whole(&Table::from([("a".to_owned(), (1, 5)), ("b".to_owned(), (1, 9))]), 9));
        mirror.take(whole(&Table::from([("a".to_owned(), (0, 3))]), 4));
        assert_eq!(content(&mirror), BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 1)]));
    }

    nor_does_it_bring_back_what_was_removed => {
        let mut mirror = Mirror::default();
        mirror.take(whole(&Table::from([("a".to_owned(), (1, 5))]), 6));
        let removed = vec![("a".to_owned(), 8)];
        mirror.take(News { is_whole: false, written: vec![], removed, version: 8 });
        mirror.take(whole(&Table::from([("a".to_owned(), (1, 5))]), 6));
        assert!(content(&mirror).is_empty());
    }

    who_is_behind_the_known_removals_gets_everything => {
        let mut mirror = Mirror::default();
        mirror.take(whole(&Table::from([("a".to_owned(), (1, 5))]), 10));
        assert!(mirror.after(9).is_whole);
        assert!(!mirror.after(10).is_whole);
    }

    // One copy follows the store, others follow it or each other by turns, with gaps: at
    // the end all are the same as the table.
    copies_agree_with_the_table_whoever_they_hear_it_from => {
        for seed in 0..500 {
            let mut lots = fastrand::Rng::with_seed(seed);
            let (mut table, mut version) = (Table::new(), 1);
            let mut history: Vec<(u64, String, Option<u32>)> = Vec::new();
            let mut copies: Vec<Mirror<u32>> = (0..3).map(|_| Mirror::default()).collect();
            for step in 0..120 {
                version += lots.u64(1..4);
                let key = format!("k{}", lots.u32(0..5));
                let row = (lots.u32(0..3) > 0).then_some(step);
                match row {
                    Some(row) => table.insert(key.clone(), (row, version)),
                    None => table.remove(&key),
                };
                history.push((version, key, row));
                let copy = lots.usize(0..3);
                match lots.u32(0..4) {
                    0 => {
                        copies[copy].take(whole(&table, version));
                    }
                    1 if copies[copy].version() > 0 => {
                        let after = copies[copy].version();
                        let mut news =
                            News { is_whole: false, written: vec![], removed: vec![], version };
                        for (at, key, row) in history.iter().filter(|(at, ..)| *at > after) {
                            match row {
                                Some(row) => news.written.push((key.clone(), *row, *at)),
                                None => news.removed.push((key.clone(), *at)),
                            }
                        }
                        // A feed names each key once, with its newest state.
                        let newest = |key: &String, at: u64| {
                            !history.iter().any(|(later, of, _)| of == key && *later > at)
                        };
                        news.written.retain(|(key, _, at)| newest(key, *at));
                        news.removed.retain(|(key, at)| newest(key, *at));
                        copies[copy].take(news);
                    }
                    2 => {
                        let other = (copy + 1) % 3;
                        if copies[other].version() > 0 {
                            let news = copies[other].after(copies[copy].version());
                            copies[copy].take(news);
                        }
                    }
                    _ => {}
                }
            }
            copies[0].take(whole(&table, version));
            let expected: BTreeMap<String, u32> =
                table.iter().map(|(key, (row, _))| (key.clone(), *row)).collect();
            for number in 1..3 {
                let news = copies[0].after(copies[number].version());
                copies[number].take(news);
                assert_eq!(content(&copies[number]), expected, "seed {seed}, copy {number}");
            }
        }
    }
}
