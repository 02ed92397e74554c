//! Decisions of a daemon whose durable state is in an external store.
//!
//! Everything here is a plain function of plain state, without I/O, clocks or randomness. The
//! daemon passes in what it observes, with the time of a monotonic clock, and carries out the
//! decisions that are returned.
//!
//! - The knowledge of one daemon: [`local_view`] combines [`catalog`] (the operators'
//!   configuration), [`listing`] (the store's list of endpoints, ordered by version whichever
//!   source it comes from, without what [`entry_check`] rejects), [`directory`] (the endpoints that may be used), [`replicas`] (where
//!   models can be reached, as leaders report it), [`record`] (outcomes of requests at endpoints),
//!   [`reachability`] (which endpoints accept connections of this daemon, and which way these
//!   take), [`helpers`] (the daemons through which connections make a detour),
//!   [`backpressure`] and [`brittle`] (what endpoints announce in their answers, read as
//!   [`signals`]; a [`slot_allocator`] at each leader lends the slots of brittle ones),
//!   [`unresolved_requests`], [`crashes`] and [`suspicions`] (requests under which endpoints
//!   crashed, or may have), and [`local_demand`] (the demand of the daemon's own callers).
//! - Callers: [`team`] has the teams with their keys and limits, [`identity`] determines which
//!   team sends a request. [`quota`] enforces limits with a [`quota_allocator`] at each leader and
//!   an [`allowance`] at each daemon.
//! - Traffic: [`selection`] decides what happens to a request now. It uses [`choice`] to choose
//!   an endpoint and [`admission`] to decide whether the request waits or is rejected; [`sends`]
//!   decides where the next attempt may go, and [`retry_budgets`] bounds the number of attempts by a
//!   [`retry_share`] of each daemon. With [`trials`] a leader admits one attempt at a time of a
//!   request under which endpoints crashed. Where prompts are large, the leader decides by [`load`]
//!   which engine reads one, and when; [`waiting`] orders the requests that wait for that.
//! - Replicas: [`lease`] decides which daemon may give orders, [`groups`] to which engines, and
//!   [`candidate`] which daemon is preferred as leader. [`member_count`] counts the daemons that
//!   share budgets, [`demand`] adds up the demand of all daemons, and [`service_state`] is what the
//!   leader knows of the engines. [`sharing`] decides which of several leaders is responsible for a
//!   model, [`placing`] which [`change`] to make where, and [`orders`] in which sequence one engine
//!   executes its orders. With [`placement_log`] a leader reports where models are.

pub mod admission;
pub mod allowance;
mod average;
pub mod backpressure;
pub mod brittle;
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
mod earlier_starts;
pub mod endpoint;
pub mod endpoint_limits;
pub mod entry_check;
pub mod fingerprint;
pub mod groups;
pub mod helpers;
pub mod identity;
pub mod lease;
pub mod listing;
pub mod load;
pub mod loadable;
pub mod local_demand;
pub mod local_view;
pub mod member_count;
pub mod observed_times;
pub mod order_log;
pub mod orders;
pub mod outage;
pub mod part_answers;
pub mod placement_log;
pub mod placing;
pub mod policy;
pub mod quota;
pub mod quota_allocator;
pub mod rates;
pub mod reachability;
pub mod read_budget;
pub mod record;
pub mod replicas;
pub mod request;
pub mod retry_budgets;
pub mod retry_share;
pub mod route;
pub mod selection;
pub mod sends;
pub mod service_state;
pub mod sharing;
pub mod signals;
pub mod slot_allocator;
pub mod software_versions;
pub mod store;
pub mod store_version;
pub mod stream_keepers;
pub mod stream_origins;
pub mod suspicions;
pub mod sync_intervals;
pub mod team;
pub mod text_delta;
pub mod trials;
pub mod unresolved_requests;
pub mod usage;
pub mod wait_limit;
pub mod waiting;
