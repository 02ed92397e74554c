//! Outgoing connections of the daemon.

pub(crate) mod bounded_stream;
pub(crate) mod connect;
pub(crate) mod exchange;
pub(crate) mod pool;
