//! The client of the store, and the tables that the daemon follows there.

pub(crate) mod client;
pub(crate) mod config;
pub(crate) mod endpoints;
pub(crate) mod follow;
pub(crate) mod freshness;
