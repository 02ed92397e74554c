//! Detours: connections to endpoints through other daemons.
//!
//! A daemon that has no direct path to an endpoint keeps its callers and all decisions on their
//! requests, and only its connection passes through a helper, byte by byte. The helper connects
//! directly, to endpoints of its own list alone, so there is never a second hop. Orders to engines
//! take no detour: an engine would take them for the helper's.

pub(crate) mod client;
pub(crate) mod reports;
pub(crate) mod server;
