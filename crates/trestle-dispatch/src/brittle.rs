//! Services whose endpoints announce that they crash if they have to reject too many requests.
//!
//! The load that this answers: callers send more than the endpoints of a service can run. Each
//! daemon would learn that an endpoint is full only by a rejection, and every daemon by one of its
//! own, so that some rejections a second are exceeded at once, the endpoint crashes, and its load
//! makes the next one crash. So while a service is brittle, a daemon sends a request to an endpoint
//! only in a slot that the leader of the endpoint's group has lent, and the leader lends no more
//! slots than the endpoint has, since the room in its queue is not known. While no leader can be
//! asked, each daemon uses its part of the slots. Where there are more daemons than slots, it uses
//! one at random times, so that all daemons together stay within half of them. After a rejection it
//! leaves the endpoint alone for so long that all daemons together stay below the announced number.

use crate::{
    endpoint::{Endpoint, Incarnation},
    signals::HeaderField,
};
use std::collections::BTreeMap;
use trestle_core::names::ServiceName;

/// Time after the last announcement for which a service counts as brittle if none of its endpoints
/// answers.
const VALID_MS: u64 = 30_000;
/// Time for which no slot is requested from a leader that lends none.
const UNLED_MS: u64 = 500;
/// Time for which an endpoint gets no request of this daemon after it has rejected one, while a leader
/// lends its slots. Any of them may have been in use by a request that the leader did not know of.
const REJECTED_PAUSE_MS: u64 = 300;
/// Longest such time without a leader.
const MAX_UNLED_PAUSE_MS: u64 = 30_000;
/// Period in which a daemon may or may not use an endpoint that has fewer slots than there are
/// daemons.
const DRAW_PERIOD_MS: u64 = 1_000;
/// Number of daemons that is assumed while no leader has counted them.
const UNKNOWN_DAEMONS: usize = 300;

/// The services that are brittle.
#[derive(Debug, Default)]
pub struct BrittleServices {
    by_service: BTreeMap<ServiceName, BrittleService>,
    /// A number that differs between daemons.
    seed: u64,
}

/// One brittle service.
#[derive(Debug, Default)]
struct BrittleService {
    /// Rejections in a second that an endpoint survives.
    max_rejections: u32,
    announced_ms: u64,
    by_endpoint: BTreeMap<Incarnation, EndpointState>,
}

/// What this daemon knows of one endpoint of a brittle service.
#[derive(Debug, Default, Clone, Copy)]
struct EndpointState {
    /// Whether its last answer announced that it is brittle; `None` if it has not answered.
    is_announced: Option<bool>,
    closed_until_ms: u64,
    /// Until when no slot is requested, since no leader lends any.
    unled_until_ms: u64,
    /// Slots that leaders have lent to this daemon so far.
    received: u64,
    /// Rejections that have not been reported to a leader.
    rejections: u32,
}

/// What a daemon reports when it requests a slot.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct SlotReport {
    /// Slots that this daemon uses.
    pub used: u32,
    /// Slots that leaders have lent to this daemon so far.
    pub received: u64,
    /// Requests that the endpoint has rejected since the last report.
    pub rejections: u32,
    /// Rejections in a second that the endpoint survives.
    pub max_rejections: u32,
}

/// A change that an answer shows.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum BrittleChange {
    /// The endpoints of the service are brittle.
    Begins {
        /// Rejections in a second that an endpoint survives.
        max_rejections: u32,
    },
    /// The endpoints of the service are no longer brittle.
    Ends,
}

/// The state of the daemon that decides.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct DaemonState {
    /// Number of daemons that share the endpoints; 0 if it is unknown.
    pub daemons: usize,
    /// Number of this daemon's requests that run at the endpoint.
    pub in_flight: u32,
    /// Time on the monotonic clock.
    pub now_ms: u64,
}

impl BrittleServices {
    /// Returns an empty state of a daemon with a random number.
    pub fn with_seed(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Applies what an answer to a request, which was sent at `sent_ms`, says. `is_rejection` tells
    /// whether the endpoint rejected the request for want of room.
    pub fn apply_answer(
        &mut self,
        endpoint: &Endpoint,
        announced: &HeaderField<u32>,
        is_rejection: bool,
        sent_ms: u64,
        state: DaemonState,
    ) -> Option<BrittleChange> {
        let change = match announced {
            HeaderField::Value(max_rejections) => {
                let is_new = !self.by_service.contains_key(&endpoint.service);
                let service = self.by_service.entry(endpoint.service.clone()).or_default();
                service.max_rejections = *max_rejections;
                service.announced_ms = state.now_ms;
                service.endpoint_mut(endpoint).is_announced = Some(true);
                is_new.then_some(BrittleChange::Begins { max_rejections: *max_rejections })
            }
            // An answer to a request that was sent earlier reflects an earlier state.
            HeaderField::Absent if !is_rejection => self.apply_silence(endpoint, sent_ms),
            HeaderField::Absent | HeaderField::Unreadable(_) => None,
        };
        if is_rejection {
            self.record_rejection(endpoint, state);
        }
        change
    }

    /// Applies an answer without an announcement. The service is no longer brittle once none of its
    /// endpoints is known to be.
    fn apply_silence(&mut self, endpoint: &Endpoint, sent_ms: u64) -> Option<BrittleChange> {
        let service = self.by_service.get_mut(&endpoint.service)?;
        if sent_ms < service.announced_ms {
            return None;
        }
        service.endpoint_mut(endpoint).is_announced = Some(false);
        let is_brittle = |state: &EndpointState| state.is_announced == Some(true);
        if service.by_endpoint.values().any(is_brittle) {
            return None;
        }
        self.by_service.remove(&endpoint.service);
        Some(BrittleChange::Ends)
    }

    /// Returns whether no service is brittle.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Returns whether a service is brittle.
    pub fn contains(&self, service: &ServiceName) -> bool {
        self.by_service.contains_key(service)
    }

    /// Returns whether an endpoint of a brittle service is known by this incarnation.
    pub fn contains_endpoint(&self, incarnation: &Incarnation) -> bool {
        self.by_service.values().any(|service| service.by_endpoint.contains_key(incarnation))
    }

    /// Returns whether a slot must be requested before a request is sent to an endpoint.
    pub fn needs_slot(&self, endpoint: &Endpoint, now_ms: u64) -> bool {
        let Some(service) = self.service(endpoint, now_ms) else { return false };
        let state = service.by_endpoint.get(&endpoint.incarnation()).copied().unwrap_or_default();
        now_ms >= state.unled_until_ms
    }

    /// Returns the time for which an endpoint gets no request of this daemon; `None` if it may get
    /// one, possibly in a slot that must be requested first.
    pub fn closed_for_ms(&self, endpoint: &Endpoint, state: DaemonState) -> Option<u64> {
        let now_ms = state.now_ms;
        let service = self.service(endpoint, now_ms)?;
        let known = service.by_endpoint.get(&endpoint.incarnation()).copied().unwrap_or_default();
        if now_ms < known.closed_until_ms {
            return Some(known.closed_until_ms - now_ms);
        }
        let is_led = now_ms >= known.unled_until_ms;
        (!is_led && state.in_flight >= self.slots_without_leader(endpoint, state))
            .then(|| DRAW_PERIOD_MS - now_ms % DRAW_PERIOD_MS)
    }

    /// Returns what is reported to the leader, with or without a request for a slot; `None` if the
    /// service is no longer brittle.
    pub fn slot_report(
        &mut self,
        endpoint: &Endpoint,
        in_flight: u32,
        now_ms: u64,
    ) -> Option<SlotReport> {
        self.service(endpoint, now_ms)?;
        let service = self.by_service.get_mut(&endpoint.service)?;
        let max_rejections = service.max_rejections;
        let state = service.endpoint_mut(endpoint);
        let rejections = std::mem::take(&mut state.rejections);
        Some(SlotReport { used: in_flight, received: state.received, rejections, max_rejections })
    }

    /// Records that a leader has lent a slot.
    pub fn slot_received(&mut self, endpoint: &Endpoint) {
        if let Some(state) = self.endpoint_mut(endpoint) {
            state.received += 1;
        }
    }

    /// Records that no slot is left, and another one may be after a time.
    pub fn slot_refused(&mut self, endpoint: &Endpoint, in_ms: u64, now_ms: u64) {
        if let Some(state) = self.endpoint_mut(endpoint) {
            state.closed_until_ms = state.closed_until_ms.max(now_ms + in_ms);
        }
    }

    /// Records that no leader lends slots of an endpoint.
    pub fn leader_unreachable(&mut self, endpoint: &Endpoint, now_ms: u64) {
        if let Some(state) = self.endpoint_mut(endpoint) {
            state.unled_until_ms = now_ms + UNLED_MS;
        }
    }

    /// Drops services that have not announced anything for long, and endpoints that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&Incarnation) -> bool, now_ms: u64) {
        self.by_service.retain(|_, service| {
            service.by_endpoint.retain(|incarnation, _| is_live(incarnation));
            now_ms < service.announced_ms + VALID_MS
        });
    }

    fn endpoint_mut(&mut self, endpoint: &Endpoint) -> Option<&mut EndpointState> {
        let service = self.by_service.get_mut(&endpoint.service)?;
        service.by_endpoint.get_mut(&endpoint.incarnation())
    }

    /// Returns the service of an endpoint if the endpoint is brittle, or may be as others of it are.
    fn service(&self, endpoint: &Endpoint, now_ms: u64) -> Option<&BrittleService> {
        let service = self.by_service.get(&endpoint.service)?;
        let state = service.by_endpoint.get(&endpoint.incarnation());
        let is_sound = state.is_some_and(|state| state.is_announced == Some(false));
        (!is_sound && now_ms < service.announced_ms + VALID_MS).then_some(service)
    }

    /// Returns the slots of an endpoint that a daemon uses while no leader lends any.
    fn slots_without_leader(&self, endpoint: &Endpoint, state: DaemonState) -> u32 {
        let (slots, daemons) = (u64::from(endpoint.slots), known_daemons(state) as u64);
        if slots >= 2 * daemons {
            return (slots / (2 * daemons)) as u32;
        }
        let period = state.now_ms / DRAW_PERIOD_MS;
        let text = format!("{}/{}/{period}", self.seed, endpoint.name);
        let drawn = xxhash_rust::xxh3::xxh3_64(text.as_bytes()) % (2 * daemons);
        u32::from(drawn < slots)
    }

    fn record_rejection(&mut self, endpoint: &Endpoint, daemon: DaemonState) {
        let Some(service) = self.by_service.get_mut(&endpoint.service) else { return };
        let max_rejections = u64::from(service.max_rejections.max(1));
        let state = service.endpoint_mut(endpoint);
        state.rejections += 1;
        let pause_ms = match daemon.now_ms < state.unled_until_ms {
            true => {
                let daemons = known_daemons(daemon) as u64;
                (DRAW_PERIOD_MS * daemons / max_rejections).min(MAX_UNLED_PAUSE_MS)
            }
            false => 0,
        };
        let closed_until_ms = daemon.now_ms + pause_ms.max(REJECTED_PAUSE_MS);
        state.closed_until_ms = state.closed_until_ms.max(closed_until_ms);
    }
}

impl BrittleService {
    fn endpoint_mut(&mut self, endpoint: &Endpoint) -> &mut EndpointState {
        self.by_endpoint.entry(endpoint.incarnation()).or_default()
    }
}

fn known_daemons(state: DaemonState) -> usize {
    if state.daemons == 0 { UNKNOWN_DAEMONS } else { state.daemons }
}
