//! The requests that wait for an engine, in the order in which they are assigned one.
//!
//! Requests wait at their daemons and ask the leader of a group of engines again and again; the
//! leader keeps only their places. The loads that this answers: a request of a top rank that arrives
//! at a crowd of lower ones, one team that sends ten times what others send, and long prompts beside
//! short ones.
//!
//! - [`order`]: which of two waiting requests comes first, here and at the engines.
//! - [`line`](mod@line): the places of the requests that wait for one service.

pub mod line;
pub mod order;
