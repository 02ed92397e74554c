//! Outgoing connections of the daemon.

pub(crate) mod connect;
pub(crate) mod exchange;
pub(crate) mod pool;
