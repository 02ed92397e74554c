//! What the control thread takes.

use async_channel::Sender;
use trestle_core::{
    event::Event,
    names::{DomainName, EndpointName},
    permit::{PermitAnswer, PermitRequest},
};
use trestle_wire::admin::Status;

/// What the control thread takes.
pub(crate) enum Message {
    /// Something happened at one endpoint, or to the whole daemon.
    Event(Event),
    /// Something happened in one failure domain.
    DomainEvent(DomainName, Event),
    /// An entry daemon asks for a permit.
    PermitRequest(PermitRequest, Sender<PermitAnswer>),
    /// A peer asks whether this daemon owns an endpoint.
    OwnershipQuery(EndpointName, Sender<bool>),
    /// An operator asks for the state of the daemon.
    StatusQuery(Sender<Status>),
}
