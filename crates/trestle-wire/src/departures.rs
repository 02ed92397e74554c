//! What daemons tell each other of endpoints that left or are gone.

use trestle_dispatch::{departures::Departure, endpoint::Incarnation};

/// One start of an endpoint that left or is gone.
#[trestle_macros::wire]
pub struct WireDeparture {
    /// The endpoint.
    pub endpoint: String,
    /// When it had started, by its own clock.
    pub born_ms: u64,
    /// Whether it has said that it leaves.
    pub has_left: bool,
    /// The number of its last message, if its entry was removed.
    pub last_number: Option<u64>,
}

impl From<Departure> for WireDeparture {
    fn from(departure: Departure) -> Self {
        let Departure { incarnation, was_draining: has_left, last_number } = departure;
        Self {
            endpoint: incarnation.name.to_string(),
            born_ms: incarnation.started_unix_ms,
            has_left,
            last_number,
        }
    }
}

impl From<WireDeparture> for Departure {
    fn from(wire: WireDeparture) -> Self {
        let incarnation = Incarnation { name: wire.endpoint.into(), started_unix_ms: wire.born_ms };
        Self { incarnation, was_draining: wire.has_left, last_number: wire.last_number }
    }
}
