//! Limits how long a send may wait for its endpoint.
//!
//! A send that exceeds its limit is given up only if another endpoint could run the request.
//! Aborting a request that no other endpoint can run would only lose the work done for it.

use crate::traffic::{select, task::Task};
use futures_lite::{FutureExt, pin};
use smol::Timer;
use std::{future::Future, time::Duration};
use trestle_dispatch::sends::Sends;

/// The wait limit of one send of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitLimit<'a> {
    pub(crate) task: &'a Task,
    pub(crate) sends: &'a Sends,
    /// Time after which another endpoint is tried, if one is available.
    pub(crate) limit_ms: u64,
}

impl WaitLimit<'_> {
    /// Waits for a future. Returns `None` if the limit was exceeded and another endpoint could run
    /// the request, or if the request's time is used up.
    pub(crate) async fn wait<T>(self, future: impl Future<Output = T>) -> Option<T> {
        pin!(future);
        loop {
            let limit_ms = match self.may_switch() {
                true => self.limit_ms.min(self.task.remaining_ms()),
                false => self.task.remaining_ms(),
            };
            let result = async { Some(future.as_mut().await) };
            let timed_out = async {
                Timer::after(Duration::from_millis(limit_ms)).await;
                None
            };
            match result.or(timed_out).await {
                Some(result) => return Some(result),
                None if self.task.is_expired() || self.has_alternative() => return None,
                None => {}
            }
        }
    }

    /// Returns whether the route allows sending the request to another endpoint.
    fn may_switch(&self) -> bool {
        self.task.route.is_idempotent() && self.sends.has_attempt_left(&self.task.route)
    }

    /// Returns whether another endpoint could run the request now.
    fn has_alternative(&self) -> bool {
        self.may_switch() && select::has_alternative(self.task, self.sends)
    }
}
