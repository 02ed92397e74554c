//! The load of engines, counted in the work that requests cause there.
//!
//! - [`request_size`]: the size of one request and the parts of its prompt.
//! - [`prompt_profile`]: decides whether the prompts of a service are large enough to be scheduled.
//! - [`reading_queue`]: what one engine still has to read.
//! - [`reading_speeds`]: how long engines and models take to read a token.
//! - [`kept_parts`]: the parts of prompts that an engine keeps in its KV cache.
//! - [`model_work`]: the reading that the requests of each model cause, for planning replicas.
//! - [`prompt_scheduler`]: the leader's decision on which engine reads a prompt, and when.
//! - [`call_budget`]: bounds the calls of a daemon to such leaders.

pub mod call_budget;
pub mod kept_parts;
pub mod model_work;
pub mod prompt_profile;
pub mod prompt_scheduler;
pub mod reading_queue;
pub mod reading_speeds;
pub mod request_size;
