//! What leaders decided on the prompt of one request.

use crate::traffic::held_permit::HeldPermit;
use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU32, AtomicU64, Ordering},
};
use trestle_dispatch::endpoint::Incarnation;

/// Time for which an assignment may be used. The engine reads other prompts afterwards.
const ASSIGNMENT_VALID_MS: u64 = 300;
/// Time for which no leader is asked again for this request after none decided.
const UNSCHEDULED_MS: u64 = 200;

/// Assignments without a send after which the daemon chooses an engine by itself.
const MAX_UNUSED: u32 = 3;
/// Value of [`PromptSchedule::requested_ms`] for a request on which no leader was asked.
const NOT_REQUESTED: u64 = u64::MAX;

/// The decisions of leaders on one request.
#[derive(Debug)]
pub(crate) struct PromptSchedule {
    assignment: HeldPermit,
    unscheduled_until_ms: AtomicU64,
    /// When a leader was first asked; [`NOT_REQUESTED`] until then.
    requested_ms: AtomicU64,
    /// Assignments since the last send.
    unused: AtomicU32,
    last: Mutex<Option<Assignment>>,
}

/// What a leader expected of an assignment.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    /// The engine.
    pub(crate) engine: Incarnation,
    /// Tokens of the prompt that the engine does not keep.
    pub(crate) unread_tokens: u64,
    /// Expected time to the first event.
    pub(crate) expected_ms: u64,
    /// Time from the first request for a decision to the assignment.
    pub(crate) room_wait_ms: u64,
}

impl Default for PromptSchedule {
    fn default() -> Self {
        Self {
            assignment: HeldPermit::default(),
            unscheduled_until_ms: AtomicU64::new(0),
            requested_ms: AtomicU64::new(NOT_REQUESTED),
            unused: AtomicU32::new(0),
            last: Mutex::default(),
        }
    }
}

impl PromptSchedule {
    /// Records that a leader is asked.
    pub(crate) fn requested(&self, now_ms: u64) {
        self.requested_ms.fetch_min(now_ms, Ordering::Relaxed);
    }

    /// Records an assignment to an engine.
    pub(crate) fn assign(
        &self,
        engine: Incarnation,
        expected_ms: u64,
        unread_tokens: u64,
        now_ms: u64,
    ) {
        let room_wait_ms = now_ms.saturating_sub(self.requested_ms.load(Ordering::Relaxed));
        let assignment =
            Assignment { engine: engine.clone(), unread_tokens, expected_ms, room_wait_ms };
        *self.last() = Some(assignment);
        // The daemon may not accept what leaders assign, for instance after the engine has failed here.
        if self.unused.fetch_add(1, Ordering::Relaxed) >= MAX_UNUSED {
            return self.unscheduled(now_ms);
        }
        self.assignment.set(engine, now_ms + ASSIGNMENT_VALID_MS);
    }

    /// Records that no leader decides.
    pub(crate) fn unscheduled(&self, now_ms: u64) {
        self.unscheduled_until_ms.store(now_ms + UNSCHEDULED_MS, Ordering::Relaxed);
        self.unused.store(0, Ordering::Relaxed);
        *self.last() = None;
    }

    /// Returns the engine that the request is assigned to now.
    pub(crate) fn engine(&self, now_ms: u64) -> Option<Incarnation> {
        self.assignment.incarnation(now_ms)
    }

    /// Returns whether leaders were asked in vain just now.
    pub(crate) fn is_unscheduled(&self, now_ms: u64) -> bool {
        now_ms < self.unscheduled_until_ms.load(Ordering::Relaxed)
    }

    /// Records that the request was sent: another send needs another decision.
    pub(crate) fn sent(&self) {
        self.unused.store(0, Ordering::Relaxed);
        self.assignment.clear();
    }

    /// Returns the last assignment.
    pub(crate) fn last_assignment(&self) -> Option<Assignment> {
        self.last().clone()
    }

    fn last(&self) -> MutexGuard<'_, Option<Assignment>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
