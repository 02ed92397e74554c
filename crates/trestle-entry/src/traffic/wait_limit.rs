//! Limits how long a send may be silent before the request is also sent to another endpoint.

use crate::traffic::{select, task::Task};
use futures_lite::FutureExt;
use smol::Timer;
use std::{future::Future, pin::Pin, time::Duration};
use trestle_dispatch::sends::Sends;

/// The wait limit of one send of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitLimit<'a> {
    pub(crate) task: &'a Task,
    pub(crate) sends: &'a Sends,
    /// Time after which another endpoint is tried, if one looks available.
    pub(crate) limit_ms: u64,
}

/// How a wait ended. The future may be waited for again, unless it is done.
#[derive(Debug)]
pub(crate) enum Waited<T> {
    /// The future is done.
    Done(T),
    /// The limit was exceeded, and another endpoint looks able to run the request.
    Silent,
    /// The time of the request is used up.
    OutOfTime,
}

impl WaitLimit<'_> {
    /// Waits for a future.
    pub(crate) async fn wait<T>(self, mut future: Pin<&mut impl Future<Output = T>>) -> Waited<T> {
        loop {
            let limit_ms = match self.may_send_again() {
                true => self.limit_ms.min(self.task.remaining_ms()),
                false => self.task.remaining_ms(),
            };
            let done = async { Some(future.as_mut().await) };
            let timed_out = async {
                Timer::after(Duration::from_millis(limit_ms)).await;
                None
            };
            match done.or(timed_out).await {
                Some(result) => return Waited::Done(result),
                None if self.task.is_expired() => return Waited::OutOfTime,
                None if self.has_alternative() => return Waited::Silent,
                None => {}
            }
        }
    }

    /// Returns whether the route allows sending the request to another endpoint.
    fn may_send_again(&self) -> bool {
        self.task.route.is_idempotent() && self.sends.has_attempt_left(&self.task.route)
    }

    /// Returns whether another endpoint looks able to run the request now.
    fn has_alternative(&self) -> bool {
        self.may_send_again() && select::has_alternative(self.task, self.sends)
    }
}
