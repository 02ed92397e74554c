//! A copy of one table of the store, and what has changed in it since a version.
//!
//! Daemons that do not follow the store themselves get the changes from one that
//! does. Versions are the store's own, so a copy can go on from either side.

use std::collections::BTreeMap;

/// A copy of one table.
#[derive(Debug)]
pub struct Mirror<T> {
    rows: BTreeMap<String, (T, u64)>,
    removed: BTreeMap<String, u64>,
    /// From this version on, all removals are known.
    complete_since: u64,
    version: u64,
}

/// Changes of a table.
#[trestle_macros::plain]
pub struct News<T> {
    /// Whether what is not named in it does not exist.
    pub is_whole: bool,
    /// Rows that were written, with their versions.
    pub written: Vec<(String, T, u64)>,
    /// Rows that were removed, with the versions of their removal.
    pub removed: Vec<(String, u64)>,
    /// The version that it leads up to.
    pub version: u64,
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            removed: BTreeMap::new(),
            complete_since: u64::MAX,
            version: 0,
        }
    }
}

impl<T: Clone> Mirror<T> {
    /// The version that the copy reflects; 0 if nothing was read yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes changes, and returns those that are new to this copy.
    pub fn take(&mut self, news: News<T>) -> News<T> {
        let mut fresh = News {
            is_whole: news.is_whole,
            written: Vec::new(),
            removed: Vec::new(),
            version: news.version,
        };
        if news.is_whole && news.version < self.version {
            // Older than what is known; its gaps say nothing.
            fresh.is_whole = false;
        }
        if fresh.is_whole {
            self.complete_since = news.version;
            self.removed.clear();
            self.rows.retain(|key, _| news.written.iter().any(|(name, ..)| name == key));
        }
        for (key, row, version) in news.written {
            let known = self.rows.get(&key).map_or(0, |(_, version)| *version);
            let gone = self.removed.get(&key).copied().unwrap_or(0);
            if fresh.is_whole || version > known.max(gone) {
                self.removed.remove(&key);
                self.rows.insert(key.clone(), (row.clone(), version));
                fresh.written.push((key, row, version));
            }
        }
        for (key, version) in news.removed {
            let known = self.rows.get(&key).map_or(0, |(_, version)| *version);
            if version > known && !self.removed.contains_key(&key) {
                self.rows.remove(&key);
                self.removed.insert(key.clone(), version);
                fresh.removed.push((key, version));
            }
        }
        self.version = self.version.max(news.version);
        fresh
    }

    /// The row of a key.
    pub fn get(&self, key: &str) -> Option<&T> {
        self.rows.get(key).map(|(row, _)| row)
    }

    /// What has changed since a version.
    pub fn after(&self, version: u64) -> News<T> {
        let is_whole = version < self.complete_since;
        let rows = self.rows.iter().filter(|(_, (_, at))| is_whole || *at > version);
        let removed = self.removed.iter().filter(|(_, at)| !is_whole && **at > version);
        News {
            is_whole,
            written: rows.map(|(key, (row, at))| (key.clone(), row.clone(), *at)).collect(),
            removed: removed.map(|(key, at)| (key.clone(), *at)).collect(),
            version: self.version,
        }
    }
}
