//! The list of endpoints as the store has it, whichever way it was heard of.
//!
//! A daemon reads the list itself, or a leader passes it on, and the two overlap whenever a
//! leader is lost or found. Versions are the store's own, so both go into one copy here, and
//! what is said of an endpoint counts only if it is newer than what is known of it. With a copy
//! for either way, an answer of the store that came after newer news of a leader brought back
//! what was gone, and a daemon then sent half of its requests there for as long as that leader
//! was heard.

use crate::endpoint::Endpoint;
use std::collections::{BTreeMap, BTreeSet};

/// Who says something of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store, with all that entries say.
    Store,
    /// A leader, without what endpoints hold.
    Leader,
}

/// One entry of the list.
#[trestle_macros::plain]
pub struct ListedEntry {
    /// Its key.
    pub key: String,
    /// What it says.
    pub endpoint: Endpoint,
    /// The version that wrote it, or since which it says so.
    pub version: u64,
}

/// News of the list.
#[trestle_macros::plain]
pub struct ListUpdate {
    /// Whether what is not named in it does not exist.
    pub is_whole: bool,
    /// Entries that were written.
    pub written: Vec<ListedEntry>,
    /// Entries that were removed, with the versions of their removal.
    pub removed: Vec<(String, u64)>,
    /// The version that it leads up to.
    pub version: u64,
}

/// The list of endpoints.
#[derive(Debug, Default)]
pub struct Listing {
    entries: BTreeMap<String, Known>,
    /// Removals since the newest whole list, with their versions.
    removed: BTreeMap<String, u64>,
    /// The version of the newest whole list; what it does not name was gone by then.
    complete_at: u64,
    version: u64,
}

/// One entry, as it is passed on.
#[derive(Debug)]
struct Known {
    identity: Endpoint,
    /// The version of the entry.
    at: u64,
    /// The version since which it has had this identity.
    identity_at: u64,
}

impl Listing {
    /// The version that the list reflects; 0 if nothing was heard of it yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes news, and returns what of it is new here. Of a whole list that names what is gone by
    /// its removal.
    pub fn apply(&mut self, mut news: ListUpdate, source: Source) -> ListUpdate {
        if source == Source::Store {
            self.pass_over_foreign(&mut news);
        }
        // The gaps of a list that is older than what is known say nothing.
        let is_whole = news.is_whole && news.version >= self.version;
        let names = news.written.iter().filter(|_| is_whole).map(|entry| entry.key.clone());
        let named: BTreeSet<String> = names.collect();
        let written = news.written.into_iter().filter(|entry| {
            let known_at = self.known_at(&entry.key, is_whole);
            // Of what a leader has passed on, the entry itself says more.
            entry.version > known_at || (entry.version == known_at && source == Source::Store)
        });
        let written: Vec<ListedEntry> = written.collect();
        let mut removed = if is_whole { self.complete(&named, news.version) } else { Vec::new() };
        written.iter().for_each(|entry| self.write(entry));
        for (key, at) in news.removed {
            if at > self.known_at(&key, false) {
                let was_listed = self.entries.remove(&key).is_some();
                self.removed.insert(key.clone(), at);
                removed.extend(was_listed.then_some((key, at)));
            }
        }
        self.version = self.version.max(news.version);
        ListUpdate { is_whole, written, removed, version: news.version }
    }

    /// What has changed since a version.
    pub fn changes_since(&self, version: u64) -> ListUpdate {
        let is_whole = version < self.complete_at;
        let written = self.entries.iter().filter(|(_, of)| is_whole || of.identity_at > version);
        let written = written.map(|(key, of)| ListedEntry {
            key: key.clone(),
            endpoint: of.identity.clone(),
            version: of.identity_at,
        });
        let removed = self.removed.iter().filter(|(_, at)| !is_whole && **at > version);
        ListUpdate {
            is_whole,
            written: written.collect(),
            removed: removed.map(|(key, at)| (key.clone(), *at)).collect(),
            version: self.version,
        }
    }

    /// Notes that the entry of a key that was taken names no endpoint to use.
    pub fn mark_unusable(&mut self, key: &str, version: u64) {
        self.entries.remove(key);
        self.removed.insert(key.to_owned(), version);
    }

    /// Notes that the entry of a key that stands names no endpoint to use.
    pub fn mark_entry_unusable(&mut self, key: &str) {
        if let Some(at) = self.entries.get(key).map(|entry| entry.at) {
            self.mark_unusable(key, at);
        }
    }

    /// The version as of which a key is known. One that is not listed has been gone at least
    /// since the newest whole list, unless a newer one names it.
    fn known_at(&self, key: &str, is_in_newest: bool) -> u64 {
        let removed_at = self.removed.get(key).copied();
        let gone_at = removed_at.unwrap_or(if is_in_newest { 0 } else { self.complete_at });
        self.entries.get(key).map_or(gone_at, |entry| entry.at)
    }

    /// Takes that just these entries are in the newest whole list; returns those that are gone.
    fn complete(&mut self, named: &BTreeSet<String>, version: u64) -> Vec<(String, u64)> {
        let is_gone = |key: &String, entry: &mut Known| entry.at <= version && !named.contains(key);
        let gone = self.entries.extract_if(.., is_gone).map(|(key, _)| (key, version)).collect();
        self.removed.retain(|_, at| *at > version);
        self.complete_at = version;
        gone
    }

    fn write(&mut self, entry: &ListedEntry) {
        let (identity, at) = (entry.endpoint.identity(), entry.version);
        let before = self
            .entries
            .get(&entry.key)
            .filter(|known| known.identity.differs_only_in_number(&identity));
        let identity_at = before.map_or(at, |known| known.identity_at);
        self.removed.remove(&entry.key);
        self.entries.insert(entry.key.clone(), Known { identity, at, identity_at });
    }

    /// Takes an entry that does not say when its endpoint started, where the one before did, for
    /// another writer's: it names nothing to use.
    fn pass_over_foreign(&self, news: &mut ListUpdate) {
        let told = |key: &str| self.entries.get(key).is_some_and(|k| k.identity.has_start_time());
        let is_foreign =
            |entry: &mut ListedEntry| !entry.endpoint.has_start_time() && told(&entry.key);
        let foreign = news.written.extract_if(.., is_foreign);
        news.removed.extend(foreign.map(|entry| (entry.key, entry.version)));
    }
}
