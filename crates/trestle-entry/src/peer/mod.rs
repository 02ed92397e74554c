//! What daemons tell each other.

pub(crate) mod client;
pub(crate) mod pace;
pub(crate) mod server;
pub(crate) mod sync;
