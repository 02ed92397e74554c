//! Decisions of a daemon whose durable state lies in an outside store.
//!
//! Everything here is a plain function over plain state: no input or output, no
//! clock, no randomness of its own. The daemon feeds in what it observes, with
//! the time on its monotonic clock, and carries out what comes back.
//!
//! - What is known: [`catalog`] (the operators' configuration), [`directory`]
//!   (live endpoints), [`request`] (one request's head).
//! - Traffic: [`choice`] picks an endpoint, [`record`] remembers how endpoints
//!   behaved, [`retry_share`] bounds retries, [`admission`] decides between
//!   waiting and refusing.
//! - Replicas: [`lease`] says who may give orders, [`candidate`] who should rather, [`demand`] what is asked for,
//!   [`placing`] what [`change`] to make where, [`orders`] how one engine's orders
//!   follow each other.

pub mod admission;
pub mod candidate;
pub mod catalog;
pub mod change;
pub mod choice;
pub mod demand;
pub mod directory;
pub mod endpoint;
pub mod lease;
pub mod mirror;
pub mod order_log;
pub mod orders;
pub mod outage;
pub mod placing;
pub mod rates;
pub mod record;
pub mod replicas;
pub mod request;
pub mod retry_share;
pub mod route;
pub mod store;
pub mod usage;
