//! The list of endpoints by versions of the store, whichever source it comes from.
//!
//! A daemon reads the list from the store, or a leader relays it, and both overlap whenever a
//! leader is lost or found. Versions are assigned by the store, so updates of both sources go
//! into one copy, and an update of an entry counts only if it is newer than what is known. After the
//! store was restored from a copy, everything in it is newer than what was known before. With a
//! separate copy for each source, an answer of the store that arrived after a newer update of a
//! leader restored removed endpoints, and the daemon then sent half of its requests there for as
//! long as it followed that leader.

use crate::{
    endpoint::Endpoint,
    entry_check::{self, EntryError},
    store_version::StoreVersion,
};
use std::collections::{BTreeMap, BTreeSet};

/// The source of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store, with everything that entries contain.
    Store,
    /// A leader, which relays entries without what endpoints hold.
    Leader,
}

/// One entry of the list.
#[trestle_macros::plain]
pub struct ListedEntry {
    /// The entry's key in the store.
    pub key: String,
    /// The endpoint that the entry describes.
    pub endpoint: Endpoint,
    /// Version of the store at which the entry was written, or since which it has had this content.
    pub version: StoreVersion,
}

/// An update of the list.
#[trestle_macros::plain]
pub struct ListUpdate {
    /// Whether the update is a whole list: entries that it does not contain do not exist.
    pub is_whole: bool,
    /// Entries that were written.
    pub written: Vec<ListedEntry>,
    /// Keys of entries that were removed, with the versions of their removal.
    pub removed: Vec<(String, StoreVersion)>,
    /// The version that the list has after the update.
    pub version: StoreVersion,
}

/// The list of endpoints.
#[derive(Debug, Default)]
pub struct Listing {
    entries: BTreeMap<String, KnownEntry>,
    /// Keys that were removed since the newest whole list, with the versions of their removal.
    removed: BTreeMap<String, StoreVersion>,
    /// The version of the newest whole list; entries that it does not contain did not exist then.
    complete_at: StoreVersion,
    version: StoreVersion,
}

/// One entry, as it is relayed.
#[derive(Debug)]
struct KnownEntry {
    identity: Endpoint,
    /// The version of the entry.
    at: StoreVersion,
    /// The version since which the relayed part of the entry is unchanged.
    identity_at: StoreVersion,
}

impl ListUpdate {
    /// Turns entries that name no usable endpoint into removals. Returns them with the reasons.
    pub fn reject_unusable(&mut self) -> Vec<(ListedEntry, EntryError)> {
        let is_unusable = |entry: &mut ListedEntry| entry_check::check(&entry.endpoint).is_err();
        let unusable = self.written.extract_if(.., is_unusable);
        let rejected = unusable.filter_map(|entry| {
            let error = entry_check::check(&entry.endpoint).err()?;
            Some((entry, error))
        });
        let rejected: Vec<(ListedEntry, EntryError)> = rejected.collect();
        self.removed.extend(rejected.iter().map(|(entry, _)| (entry.key.clone(), entry.version)));
        rejected
    }
}

impl Listing {
    /// Returns the version that the list reflects; the default if nothing was received yet.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Applies an update. Returns the part of it that was new here; for a whole list this names
    /// the entries that are gone as removed.
    pub fn apply(&mut self, mut update: ListUpdate, source: Source) -> ListUpdate {
        if source == Source::Store {
            self.remove_foreign(&mut update);
        }
        // Missing entries mean nothing in a whole list that is older than this one.
        let is_whole = update.is_whole && update.version >= self.version;
        let names = update.written.iter().filter(|_| is_whole).map(|entry| entry.key.clone());
        let named: BTreeSet<String> = names.collect();
        let written = update.written.into_iter().filter(|entry| {
            let known_at = self.known_at(&entry.key, is_whole);
            // The store's entry says more than a leader's copy of the same version.
            entry.version > known_at || (entry.version == known_at && source == Source::Store)
        });
        let written: Vec<ListedEntry> = written.collect();
        let mut removed =
            if is_whole { self.set_complete(&named, update.version) } else { Vec::new() };
        written.iter().for_each(|entry| self.write(entry));
        for (key, at) in update.removed {
            if at > self.known_at(&key, false) {
                let was_listed = self.entries.remove(&key).is_some();
                self.removed.insert(key.clone(), at);
                removed.extend(was_listed.then_some((key, at)));
            }
        }
        self.version = self.version.max(update.version);
        ListUpdate { is_whole, written, removed, version: update.version }
    }

    /// Returns whether an update is the first since the store was restored from a copy.
    pub fn begins_era(&self, update: &ListUpdate) -> bool {
        self.version != StoreVersion::default() && update.version.era > self.version.era
    }

    /// Returns the entries and removals of an update that are older than what is known of their
    /// keys, each with its version and the known one.
    pub fn outdated<'a>(
        &'a self,
        update: &'a ListUpdate,
    ) -> impl Iterator<Item = (&'a str, StoreVersion, StoreVersion)> {
        let written = update.written.iter().map(|entry| (entry.key.as_str(), entry.version));
        let removed = update.removed.iter().map(|(key, at)| (key.as_str(), *at));
        let is_whole = update.is_whole && update.version >= self.version;
        let known =
            written.chain(removed).map(move |(key, at)| (key, at, self.known_at(key, is_whole)));
        known.filter(|(_, at, known_at)| at < known_at)
    }

    /// Returns the changes since a version.
    pub fn changes_since(&self, version: StoreVersion) -> ListUpdate {
        let is_whole = version < self.complete_at;
        let written =
            self.entries.iter().filter(|(_, entry)| is_whole || entry.identity_at > version);
        let written = written.map(|(key, entry)| ListedEntry {
            key: key.clone(),
            endpoint: entry.identity.clone(),
            version: entry.identity_at,
        });
        let removed = self.removed.iter().filter(|(_, at)| !is_whole && **at > version);
        ListUpdate {
            is_whole,
            written: written.collect(),
            removed: removed.map(|(key, at)| (key.clone(), *at)).collect(),
            version: self.version,
        }
    }

    /// Records that an accepted entry, written at `version`, names no usable endpoint.
    pub fn mark_unusable(&mut self, key: &str, version: StoreVersion) {
        self.entries.remove(key);
        self.removed.insert(key.to_owned(), version);
    }

    /// Records that the present entry of a key names no usable endpoint.
    pub fn mark_entry_unusable(&mut self, key: &str) {
        if let Some(at) = self.entries.get(key).map(|entry| entry.at) {
            self.mark_unusable(key, at);
        }
    }

    /// Returns the version as of which the state of a key is known. A key that is not listed has
    /// been gone at least since the newest whole list, unless a newer whole list contains it.
    fn known_at(&self, key: &str, is_in_whole_list: bool) -> StoreVersion {
        let removed_at = self.removed.get(key).copied();
        let gone_at = removed_at.unwrap_or(if is_in_whole_list {
            StoreVersion::default()
        } else {
            self.complete_at
        });
        self.entries.get(key).map_or(gone_at, |entry| entry.at)
    }

    /// Makes `named` the content of the newest whole list. Returns the removed entries.
    fn set_complete(
        &mut self,
        named: &BTreeSet<String>,
        version: StoreVersion,
    ) -> Vec<(String, StoreVersion)> {
        let is_gone =
            |key: &String, entry: &mut KnownEntry| entry.at <= version && !named.contains(key);
        let gone = self.entries.extract_if(.., is_gone).map(|(key, _)| (key, version)).collect();
        self.removed.retain(|_, at| *at > version);
        self.complete_at = version;
        gone
    }

    fn write(&mut self, entry: &ListedEntry) {
        let (identity, at) = (entry.endpoint.identity(), entry.version);
        // A version of an earlier era would be older than whatever the receiver knows of that era.
        let before = self
            .entries
            .get(&entry.key)
            .filter(|known| known.identity_at.era == at.era)
            .filter(|known| known.identity.differs_only_in_number(&identity));
        let identity_at = before.map_or(at, |known| known.identity_at);
        self.removed.remove(&entry.key);
        self.entries.insert(entry.key.clone(), KnownEntry { identity, at, identity_at });
    }

    /// Turns entries of other writers into removals: such an entry has no start time although the
    /// previous entry of the key has one, and names no usable endpoint.
    fn remove_foreign(&self, update: &mut ListUpdate) {
        let had_start_time =
            |key: &str| self.entries.get(key).is_some_and(|k| k.identity.has_start_time());
        let is_foreign = |entry: &mut ListedEntry| {
            !entry.endpoint.has_start_time() && had_start_time(&entry.key)
        };
        let foreign = update.written.extract_if(.., is_foreign);
        update.removed.extend(foreign.map(|entry| (entry.key, entry.version)));
    }
}
