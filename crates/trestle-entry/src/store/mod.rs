//! The store, and what is followed in it.

pub(crate) mod client;
pub(crate) mod config;
pub(crate) mod endpoints;
pub(crate) mod follow;
pub(crate) mod freshness;
