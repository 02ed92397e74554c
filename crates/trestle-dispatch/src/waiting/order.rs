//! The order of waiting requests.
//!
//! The load that this answers: more requests than the engines can read, from teams and routes of
//! different ranks. Ranks come first, so a crowd of low rank does not delay a request of a top rank.
//! Within a rank, requests that can no longer be on time make way for those that can, and the team
//! that was served the least goes first, so that a team that sends a lot delays only itself.
//!
//! A request that has waited for half of its maximum wait goes ahead of all that have not, if those of
//! its team and route rank were served less than half of the average of all such classes lately. It
//! is this that keeps every class from starving. Under a constant overload of a high rank, requests
//! of that rank pass half of their wait too, so ranks do not count among those that go ahead.
//!
//! Without the condition, the backlog of one team that sends too much, all past half of its wait, made
//! every request of the other teams wait for half of its own (2.1 s of 4 s). A class that was served
//! enough therefore stays in its rank, where its requests that have waited for long go first within
//! their team and no longer count as late.

use crate::fingerprint::Fingerprint;

/// Work by which a team must have been served more than another to come after it: about one prompt of
/// medium length. With less, teams with the same demand would be ordered by chance instead of by when
/// their requests are due.
const SERVED_STEP_MS: f64 = 100.0;
/// Part of the average work of a class below which a class is neglected. With a half, an overload
/// from eight teams of a low rank delays a top rank by at most 140 ms in the test of that load.
const NEGLECTED_PART: f64 = 0.5;
/// Least urgent value of `Request-Priority`.
const LAST_PRIORITY: u8 = 9;
/// Route ranks that `Request-Priority` distinguishes within a team rank. Routes have three, and as
/// many team ranks then fit into the range; lower team ranks share its last value.
const ROUTE_RANKS: u8 = 3;

/// What decides when a waiting request is served. Times are those of the leader's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    /// Rank of the team; 0 is the most urgent.
    pub team_rank: u8,
    /// Rank of the route; 0 is the most urgent.
    pub route_rank: u8,
    /// When the request first arrived; negative if that was before the clock started.
    pub arrived_ms: i64,
    /// Longest time that the request may wait.
    pub max_wait_ms: u64,
    /// When it stops to wait. This is later than its maximum wait after its arrival if its caller was
    /// refused and returned.
    pub end_ms: u64,
    /// When the objective ends.
    pub due_ms: u64,
    /// Time that reading the prompt takes.
    pub work_ms: f64,
}

/// What was served lately, seen from one request.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Share {
    /// Work of the request's team, in steps.
    pub served_steps: u64,
    /// Whether the requests of its team and route rank were served less than others.
    pub is_neglected: bool,
}

/// The place of a request in the order; the least is served first. Keys of different requests
/// differ.
#[trestle_macros::key]
#[derive(Copy)]
pub enum WaitingKey {
    /// The request has waited for half of its maximum wait, and its class was neglected.
    Overdue {
        /// Work that its team was served lately, in steps.
        served_steps: u64,
        /// When it stops to wait.
        end_ms: u64,
        /// The request.
        id: Fingerprint,
    },
    /// All others.
    Ranked {
        /// Rank of its team.
        team_rank: u8,
        /// Rank of its route.
        route_rank: u8,
        /// Whether it can no longer meet its objective, unless it has waited for half of its wait.
        is_late: bool,
        /// Work that its team was served lately, in steps.
        served_steps: u64,
        /// Whether it has not waited for half of its maximum wait.
        is_fresh: bool,
        /// When it is due; 0 if it is late or has waited for long. A request that missed its
        /// objective only says so, not when, so these are in the order of their arrival.
        due_ms: u64,
        /// When it arrived.
        arrived_ms: i64,
        /// The request.
        id: Fingerprint,
    },
}

impl Urgency {
    /// Returns the place of a request.
    pub fn key(&self, id: Fingerprint, share: Share, now_ms: u64) -> WaitingKey {
        let &Self { team_rank, route_rank, arrived_ms, end_ms, .. } = self;
        let Share { served_steps, is_neglected } = share;
        let is_fresh = arrived_ms.saturating_add_unsigned(self.max_wait_ms / 2) > signed(now_ms);
        if !is_fresh && is_neglected {
            return WaitingKey::Overdue { served_steps, end_ms, id };
        }
        let is_late = is_fresh && self.due_ms as f64 <= now_ms as f64 + self.work_ms;
        WaitingKey::Ranked {
            team_rank,
            route_rank,
            is_late,
            served_steps,
            is_fresh,
            due_ms: if is_late || !is_fresh { 0 } else { self.due_ms },
            arrived_ms,
            id,
        }
    }
}

impl Share {
    /// Returns the share of a team and of one class of its requests.
    pub fn new(team_ms: f64, class_ms: f64, average_class_ms: f64) -> Self {
        Self {
            served_steps: (team_ms / SERVED_STEP_MS) as u64,
            is_neglected: class_ms <= average_class_ms * NEGLECTED_PART,
        }
    }
}

/// Returns a time as a signed number.
pub(crate) fn signed(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}

/// Returns the value of `Request-Priority`, by which engines order requests, from 0 (the most
/// urgent) to 9. Where teams have ranks, these come first and the route's rank counts within them;
/// otherwise the value is the route's rank, as far as the range reaches.
pub fn endpoint_priority(team_rank: Option<u8>, route_rank: u8) -> u8 {
    let Some(team_rank) = team_rank else { return route_rank.min(LAST_PRIORITY) };
    let first = team_rank.saturating_mul(ROUTE_RANKS);
    first.saturating_add(route_rank.min(ROUTE_RANKS - 1)).min(LAST_PRIORITY)
}
