//! Connections that the daemon opens.

pub(crate) mod connect;
pub(crate) mod exchange;
pub(crate) mod pool;
