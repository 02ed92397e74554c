//! Decisions of a daemon whose durable state lies in an outside store.
//!
//! Everything here is a plain function over plain state: no input or output, no
//! clock, no randomness of its own. The daemon feeds in what it observes, with
//! the time on a clock that never stands still, and carries out what comes back.
//!
//! - What one daemon knows: [`beliefs`], made up of [`catalog`] (the operators'
//!   configuration), [`listing`] (the store's list of endpoints, in one order whichever way it is
//!   heard of), [`directory`] (which of them may be used), [`replicas`] (what the leader says),
//!   [`record`] (how endpoints behaved), [`backpressure`] (what they ask for in their answers, read
//!   as a [`notice`]), [`suspects`] and [`crashes`] (under which requests they
//!   ended), [`asked`] (what its own callers ask for).
//! - Callers: [`team`] has who may ask and for how much, [`identity`] says who asks.
//!   [`quota`] is how a limit is kept: a [`lender`] at each leader, an [`allowance`] at each daemon.
//! - Traffic: [`selection`] says what becomes of a request now. It asks [`choice`] for an
//!   endpoint and [`admission`] whether to wait or refuse; [`sends`] says where the next send
//!   may go, and [`retry_share`] bounds them. [`trials`] has a leader let one attempt run at a
//!   time of a request that ended endpoints.
//! - Replicas: [`lease`] says who may give orders, [`groups`] to which engines, [`candidate`] who
//!   should rather, [`member_count`] how many daemons share budgets, [`demand`]
//!   what all daemons ask for, [`service_state`] what the leader knows of the engines,
//!   [`sharing`] which of several leaders sees to a model, [`placing`] what [`change`] to make
//!   where, [`orders`] how one engine's orders follow each other. [`placement_log`] is how a
//!   leader tells where models are.

pub mod admission;
pub mod allowance;
mod average;
pub mod backpressure;
pub mod candidate;
pub mod catalog;
pub mod change;
pub mod choice;
pub mod compressed_text;
pub mod config_texts;
pub mod crashes;
pub mod decision_leaders;
pub mod demand;
pub mod departures;
pub mod directory;
pub mod endpoint;
pub mod endpoint_limits;
pub mod fingerprint;
pub mod groups;
pub mod identity;
pub mod lease;
pub mod listing;
pub mod loadable;
pub mod local_demand;
pub mod local_view;
pub mod member_count;
pub mod observed_times;
pub mod order_log;
pub mod orders;
pub mod outage;
pub mod placement_log;
pub mod placing;
pub mod policy;
pub mod quota;
pub mod quota_allocator;
pub mod rates;
pub mod record;
pub mod replicas;
pub mod request;
pub mod retry_share;
pub mod route;
pub mod selection;
pub mod sends;
pub mod service_state;
pub mod sharing;
pub mod signals;
pub mod store;
pub mod sync_intervals;
pub mod team;
pub mod text_delta;
pub mod trials;
pub mod unresolved_requests;
pub mod usage;
pub mod wait_limit;
