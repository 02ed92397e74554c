//! Endpoints that are draining or gone, as daemons report them to each other.

use trestle_dispatch::{departures::Departure, endpoint::Incarnation};

/// Incarnation of an endpoint that is draining or gone.
#[trestle_macros::wire]
pub struct WireDeparture {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Time at which the incarnation started, in Unix milliseconds on the endpoint's own clock.
    pub born_ms: u64,
    /// Whether the endpoint has announced that it is draining.
    pub has_left: bool,
    /// Number of the endpoint's last message; `None` while its entry in the list of endpoints
    /// exists.
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
