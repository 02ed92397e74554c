//! What endpoints have asked of this daemon in their answers, by their lives.

use crate::{
    endpoint::Life,
    notice::{Notice, Said},
};
use std::collections::BTreeMap;

/// What endpoints have asked of this daemon.
#[derive(Debug, Default)]
pub struct Backpressure {
    by_life: BTreeMap<Life, Asked>,
}

/// What one life of an endpoint has asked.
#[derive(Debug, Default)]
struct Asked {
    limit: Option<NamedLimit>,
    has_left: bool,
    /// Until when it wants nothing.
    rest_until_ms: u64,
    /// The last thing that could not be read.
    unreadable: Option<String>,
}

/// A limit that an endpoint has named.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct NamedLimit {
    /// Requests that it takes in 1,000 s, from all daemons together.
    pub per_ks: u64,
    /// When an answer last named one.
    pub heard_ms: u64,
}

/// Something that is new of an endpoint.
#[trestle_macros::plain]
pub enum Heard {
    /// It names a limit, or another one than before.
    Limit {
        /// Requests in 1,000 s.
        per_ks: u64,
    },
    /// It leaves.
    Leaves,
    /// It wants nothing for a time.
    Rest {
        /// For how long.
        for_ms: u64,
    },
    /// It says something that cannot be read, and that counts for nothing.
    Unreadable {
        /// What it would have been.
        what: &'static str,
        /// How it begins.
        text: String,
    },
}

impl Backpressure {
    /// Takes what a life of an endpoint says in an answer; returns what is new of it.
    pub fn hear(&mut self, life: &Life, notice: &Notice, now_ms: u64) -> Vec<Heard> {
        if *notice == Notice::default() && !self.by_life.contains_key(life) {
            return Vec::new();
        }
        let asked = self.by_life.entry(life.clone()).or_default();
        let mut heard = Vec::new();
        if let Some(&per_ks) = notice.limit_per_ks.value() {
            let before = asked.limit.replace(NamedLimit { per_ks, heard_ms: now_ms });
            let is_new = before.is_none_or(|before| before.per_ks != per_ks);
            heard.extend(is_new.then_some(Heard::Limit { per_ks }));
        }
        if notice.leaves.value().is_some() && !asked.has_left {
            asked.has_left = true;
            heard.push(Heard::Leaves);
        }
        if let Some(&for_ms) = notice.rest_ms.value() {
            asked.rest_until_ms = asked.rest_until_ms.max(now_ms + for_ms);
            heard.push(Heard::Rest { for_ms });
        }
        heard.extend(asked.unreadable(notice));
        heard
    }

    /// The limit that a life of an endpoint has named.
    pub fn limit(&self, life: &Life) -> Option<NamedLimit> {
        self.by_life.get(life)?.limit
    }

    /// Forgets lives that are over.
    pub fn retain(&mut self, is_live: impl Fn(&Life) -> bool) {
        self.by_life.retain(|life, _| is_live(life));
    }
}

impl Asked {
    /// What cannot be read, unless it was the same before.
    fn unreadable(&mut self, notice: &Notice) -> Option<Heard> {
        let limit = (unreadable_text(&notice.limit_per_ks), "limit");
        let leaving = (unreadable_text(&notice.leaves), "leaving");
        let rest = (unreadable_text(&notice.rest_ms), "rest");
        let (text, what) =
            [limit, leaving, rest].into_iter().find_map(|(text, what)| Some((text?, what)))?;
        let is_new = self.unreadable.as_deref() != Some(text);
        self.unreadable = Some(text.to_owned());
        is_new.then(|| Heard::Unreadable { what, text: text.to_owned() })
    }
}

fn unreadable_text<T>(said: &Said<T>) -> Option<&str> {
    match said {
        Said::Unreadable(text) => Some(text),
        Said::Nothing | Said::Value(_) => None,
    }
}
