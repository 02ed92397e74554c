//! Finds out whether an endpoint crashed under an attempt that has no complete answer.

use crate::{connection_loss, daemon::Daemon};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_dispatch::{
    endpoint::Endpoint, fingerprint::Fingerprint, unresolved_requests::MAX_CRASH_DELAY_MS,
};

/// Time between two checks whether it is known how an attempt ended.
const CHECK_MS: u64 = 100;
/// The same time once the endpoint has given no sign of life.
const LATE_CHECK_MS: u64 = 1_000;

/// An attempt that ended without a complete answer.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub(super) daemon: Arc<Daemon>,
    pub(super) request: Fingerprint,
    /// The endpoint to which it was sent.
    pub(super) endpoint: Endpoint,
}

/// What is known of the endpoint of an attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointState {
    /// It may have crashed.
    Unresolved,
    /// It has given no sign of life since the attempt.
    Silent,
    /// It has crashed under the attempt.
    Crashed,
    /// It lives, or there is nothing that it could be blamed for.
    NotCrashed,
}

impl EndedAttempt {
    /// Returns the state of the endpoint once it is known, or once it has given no sign of life.
    pub(super) async fn first_known_state(&self) -> EndpointState {
        for _ in 0..MAX_CRASH_DELAY_MS / CHECK_MS {
            Timer::after(Duration::from_millis(CHECK_MS)).await;
            if self.state() == EndpointState::Crashed {
                return EndpointState::Crashed;
            }
        }
        if self.state() == EndpointState::Unresolved {
            connection_loss::ensure_check(&self.daemon, &self.endpoint);
        }
        self.wait_while(&[EndpointState::Unresolved], CHECK_MS).await
    }

    /// Returns the state of an endpoint that has given no sign of life, once it is known.
    pub(super) async fn state_after_silence(&self) -> EndpointState {
        self.wait_while(&[EndpointState::Unresolved, EndpointState::Silent], LATE_CHECK_MS).await
    }

    async fn wait_while(&self, unknown: &[EndpointState], check_ms: u64) -> EndpointState {
        while unknown.contains(&self.state()) {
            Timer::after(Duration::from_millis(check_ms)).await;
        }
        self.state()
    }

    fn state(&self) -> EndpointState {
        let now_ms = self.daemon.shared_view.now_ms();
        let incarnation = self.endpoint.incarnation();
        self.daemon.shared_view.with(|local_view| {
            let unresolved = &local_view.unresolved_requests;
            if local_view.crashes.has_crashed(self.request, &incarnation) {
                EndpointState::Crashed
            } else if !unresolved.is_unresolved(&incarnation, self.request, now_ms) {
                EndpointState::NotCrashed
            } else if unresolved.is_suspected(&incarnation, self.request) {
                EndpointState::Silent
            } else {
                EndpointState::Unresolved
            }
        })
    }
}
