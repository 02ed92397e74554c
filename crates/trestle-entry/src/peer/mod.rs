//! Communication between daemons.

pub(crate) mod calls;
pub(crate) mod client;
pub(crate) mod leaders;
pub(crate) mod server;
pub(crate) mod sync;
