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
pub(crate) struct Patience<'a> {
    pub(crate) task: &'a Task,
    pub(crate) sends: &'a Sends,
    /// Time after which another endpoint is tried, if one is available.
    pub(crate) slice_ms: u64,
}

impl Patience<'_> {
    /// Waits for a future. Returns `None` if the limit was exceeded and another endpoint could run
    /// the request, or if the request's time is used up.
    pub(crate) async fn wait<T>(self, awaited: impl Future<Output = T>) -> Option<T> {
        pin!(awaited);
        loop {
            let slice_ms = match self.may_move() {
                true => self.slice_ms.min(self.task.left_ms()),
                false => self.task.left_ms(),
            };
            let done = async { Some(awaited.as_mut().await) };
            let timed_out = async {
                Timer::after(Duration::from_millis(slice_ms)).await;
                None
            };
            match done.or(timed_out).await {
                Some(done) => return Some(done),
                None if self.task.is_over() || self.has_other() => return None,
                None => {}
            }
        }
    }

    /// Returns whether the route allows sending the request to another endpoint.
    fn may_move(&self) -> bool {
        self.task.route.is_idempotent() && self.sends.has_attempt_left(&self.task.route)
    }

    /// Returns whether another endpoint could run the request now.
    fn has_other(&self) -> bool {
        self.may_move() && select::has_other(self.task, self.sends)
    }
}
