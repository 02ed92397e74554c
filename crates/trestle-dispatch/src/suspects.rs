//! Requests whose connection broke at endpoints that may have ended.
//!
//! A connection that breaks says little: links reset connections, too. That the endpoint has
//! ended is known once its address refuses connections, or once it is gone from the list
//! without having been seen leaving. Until then the requests that it had are remembered here.

use crate::{endpoint::Life, fingerprint::Fingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a broken connection may prove to be the end of its endpoint: an entry
/// vanishes after three heartbeats of 1.2 s, and the news of it takes a second more.
const IN_DOUBT_MS: u64 = 6_000;

/// Requests whose connection broke, by endpoint.
#[derive(Debug, Default)]
pub struct Suspects {
    by_life: BTreeMap<Life, Broken>,
}

#[derive(Debug)]
struct Broken {
    until_ms: u64,
    has_ended: bool,
    requests: BTreeSet<Fingerprint>,
}

/// What a broken connection says of its endpoint.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Break {
    /// It is the first one; whether the endpoint has ended should be found out.
    First,
    /// Others broke, too; that is being found out.
    Further,
    /// The endpoint is known to have ended.
    Ended,
}

impl Suspects {
    /// Notes that the connection of a request to an endpoint broke.
    pub fn broke(&mut self, endpoint: &Life, request: Fingerprint, now_ms: u64) -> Break {
        self.by_life.retain(|_, broken| now_ms < broken.until_ms);
        match self.by_life.get_mut(endpoint) {
            Some(broken) if broken.has_ended => Break::Ended,
            Some(broken) => {
                broken.requests.insert(request);
                Break::Further
            }
            None => {
                let broken = Broken {
                    until_ms: now_ms + IN_DOUBT_MS,
                    has_ended: false,
                    requests: BTreeSet::from([request]),
                };
                self.by_life.insert(endpoint.clone(), broken);
                Break::First
            }
        }
    }

    /// Takes that an endpoint has ended; returns the requests under which it did.
    pub fn ended(&mut self, endpoint: &Life) -> BTreeSet<Fingerprint> {
        let Some(broken) = self.by_life.get_mut(endpoint) else { return BTreeSet::new() };
        broken.has_ended = true;
        std::mem::take(&mut broken.requests)
    }

    /// Endpoints in doubt that are not among these.
    pub fn gone(&self, is_listed: impl Fn(&Life) -> bool) -> Vec<Life> {
        let in_doubt = self.by_life.iter().filter(|(_, broken)| !broken.has_ended);
        in_doubt.map(|(name, _)| name.clone()).filter(|name| !is_listed(name)).collect()
    }
}
