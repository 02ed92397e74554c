//! Messages to the control thread.

use async_channel::Sender;
use trestle_core::{
    event::Event,
    names::{DomainName, EndpointName},
    permit::{PermitAnswer, PermitRequest},
};
use trestle_wire::admin::Status;

/// A message to the control thread.
pub(crate) enum Message {
    /// An event at one endpoint or in the whole daemon.
    Event(Event),
    /// An event in one failure domain.
    DomainEvent(DomainName, Event),
    /// An entry daemon requests a permit.
    PermitRequest(PermitRequest, Sender<PermitAnswer>),
    /// A peer queries whether this daemon owns an endpoint.
    OwnershipQuery(EndpointName, Sender<bool>),
    /// An operator queries the state of the daemon.
    StatusQuery(Sender<Status>),
}
