//! Waiting for an endpoint, and on while nothing better can be done.
//!
//! An endpoint that takes too long makes way for another only if there is another.
//! Breaking off a request that nobody else can run would only lose what was done
//! for it.

use crate::traffic::{select, task::Task};
use futures_lite::{FutureExt, pin};
use smol::Timer;
use std::{future::Future, time::Duration};
use trestle_dispatch::sends::Sends;

/// How long one send of a request is waited for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience<'a> {
    pub(crate) task: &'a Task,
    pub(crate) sends: &'a Sends,
    /// Time after which another endpoint is tried, if there is one.
    pub(crate) slice_ms: u64,
}

impl Patience<'_> {
    /// Waits; `None` if it took too long.
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

    /// Whether the request could go to another endpoint at all.
    fn may_move(&self) -> bool {
        self.task.route.is_idempotent() && self.sends.has_attempt_left(&self.task.route)
    }

    fn has_other(&self) -> bool {
        self.may_move() && select::has_other(self.task, self.sends)
    }
}
