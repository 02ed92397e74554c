//! The leader's decision which attempt may run of a request that crashed endpoints.
//!
//! The load that this answers: endpoints crashed under a request, and its callers retry at
//! several daemons within the time that an endpoint takes to crash. Each daemon may let the request
//! run once more, to distinguish it from one that only ran beside the cause; all at once they would
//! crash as many endpoints. So one leader, the same for all daemons, allows one attempt at a time.
//! A harmless request waits for one answer at most.
//!
//! An attempt may run for longer than a permission lasts, and behind a partition a crash is noticed
//! only seconds later. So the daemon renews the permission until it knows how the attempt ended. A
//! daemon that terminates renews nothing, and the permission lapses.
//!
//! While answers of endpoints are lost, that may never be known, and the next attempt may crash
//! another endpoint. So after each attempt without an answer, at an endpoint that has given no sign
//! of life since, the next one has to wait several times as long, until the endpoint or an answer
//! to the request shows that it may run.

use crate::fingerprint::Fingerprint;
use std::collections::BTreeMap;
use trestle_core::names::VmName;

/// Time for which an attempt excludes others after its last renewal, if its end is not reported. A
/// crash that ended the renewals is known to all daemons by then.
pub const TRIAL_MS: u64 = 3_000;
/// Time for which others wait after the first attempt that remained without an answer.
const FIRST_UNANSWERED_MS: u64 = TRIAL_MS;
/// Factor by which that time grows with each further attempt without an answer.
const UNANSWERED_GROWTH: u64 = 4;
/// Longest time for which others wait after an attempt without an answer. In an outage of an hour one
/// leader then permits ten such attempts of a request that crashes endpoints.
const MAX_UNANSWERED_MS: u64 = 600_000;
/// Largest number of attempts recorded at once; further ones are rejected.
const MAX_TRIALS: usize = 4_096;

/// The running attempts, by request.
#[derive(Debug, Default)]
pub struct Trials {
    by_request: BTreeMap<Fingerprint, Trial>,
    /// Attempts that have ended, and until when renewals of them may still arrive.
    ended: BTreeMap<(VmName, u64), u64>,
    /// The last attempts that remained without an answer, by request.
    unanswered: BTreeMap<Fingerprint, UnansweredAttempt>,
    /// Until when attempts may run that another leader has allowed.
    others_until_ms: u64,
}

#[derive(Debug)]
struct Trial {
    vm: VmName,
    number: u64,
    until_ms: u64,
}

/// The last of several attempts of a request that ended without an answer, while their endpoints
/// gave no sign of life.
#[derive(Debug)]
struct UnansweredAttempt {
    vm: VmName,
    number: u64,
    ended_ms: u64,
    /// Time for which others wait after it.
    wait_ms: u64,
}

impl Trials {
    /// Sets since when this leader has decided on the request of the next call of [`Self::begin`].
    ///
    /// `None` means that no other leader decided before it. The attempts that a previous leader
    /// allowed are not known here, so none is allowed until they must have ended.
    pub fn set_leader_since(&mut self, since_ms: Option<u64>) {
        self.others_until_ms = since_ms.map_or(0, |since_ms| since_ms + TRIAL_MS);
    }

    /// Allows an attempt by a VM unless another attempt of the request is running.
    ///
    /// # Errors
    ///
    /// Fails with the time in ms after which the VM may request the attempt again.
    pub fn begin(
        &mut self,
        request: Fingerprint,
        vm: VmName,
        number: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.drop_lapsed(now_ms);
        if now_ms < self.others_until_ms {
            return Err(self.others_until_ms - now_ms);
        }
        // A question that is asked again, because its answer was late, has its permission already.
        let other = self.by_request.get(&request).filter(|trial| !trial.is_of(&vm, number));
        if let Some(trial) = other {
            return Err(trial.until_ms - now_ms);
        }
        let unanswered = self.unanswered.get(&request);
        let wait_ms = unanswered.map_or(0, |unanswered| unanswered.remaining_ms(now_ms));
        if wait_ms > 0 {
            return Err(wait_ms);
        }
        if self.by_request.len() >= MAX_TRIALS {
            return Err(TRIAL_MS);
        }
        self.by_request.insert(request, Trial { vm, number, until_ms: now_ms + TRIAL_MS });
        Ok(())
    }

    /// Renews the permission of an attempt. A leader that did not give it learns of it this way.
    /// Returns whether the attempt has the permission now; it does not if another one has it.
    pub fn renew(&mut self, request: Fingerprint, vm: VmName, number: u64, now_ms: u64) -> bool {
        self.drop_lapsed(now_ms);
        let is_known = match self.by_request.get(&request) {
            Some(trial) if !trial.is_of(&vm, number) => return false,
            known => known.is_some(),
        };
        let has_ended = self.ended.contains_key(&(vm.clone(), number));
        if has_ended || (!is_known && self.by_request.len() >= MAX_TRIALS) {
            return false;
        }
        self.by_request.insert(request, Trial { vm, number, until_ms: now_ms + TRIAL_MS });
        true
    }

    /// Records that an attempt has ended, and that a crash under it is known to all daemons.
    pub fn end(&mut self, request: Fingerprint, vm: &VmName, number: u64, now_ms: u64) {
        self.remove(request, vm, number, now_ms);
        // Its endpoint has given a sign of life, or is known to have crashed.
        if self.unanswered.get(&request).is_some_and(|attempt| attempt.is_of(vm, number)) {
            self.unanswered.remove(&request);
        }
    }

    /// Records that an attempt has ended without an answer, at an endpoint that has given no sign of
    /// life since.
    pub fn end_unanswered(&mut self, request: Fingerprint, vm: VmName, number: u64, now_ms: u64) {
        self.remove(request, &vm, number, now_ms);
        let previous = self.unanswered.get(&request);
        // The report of an end is sent again if its answer was lost.
        if previous.is_some_and(|attempt| attempt.is_of(&vm, number)) {
            return;
        }
        let wait_ms = previous.map_or(FIRST_UNANSWERED_MS, UnansweredAttempt::next_wait_ms);
        if previous.is_some() || self.unanswered.len() < MAX_TRIALS {
            let attempt = UnansweredAttempt { vm, number, ended_ms: now_ms, wait_ms };
            self.unanswered.insert(request, attempt);
        }
    }

    /// Records when a request was last answered completely, so that its attempts until then count
    /// no more.
    pub fn set_answered(&mut self, request: Fingerprint, answered_ms: Option<u64>) {
        let ended_ms = self.unanswered.get(&request).map(|attempt| attempt.ended_ms);
        if ended_ms.is_some_and(|ended_ms| answered_ms >= Some(ended_ms)) {
            self.unanswered.remove(&request);
        }
    }

    /// Removes an attempt that has ended.
    fn remove(&mut self, request: Fingerprint, vm: &VmName, number: u64, now_ms: u64) {
        self.drop_lapsed(now_ms);
        if self.ended.len() < MAX_TRIALS {
            self.ended.insert((vm.clone(), number), now_ms + TRIAL_MS);
        }
        if self.by_request.get(&request).is_some_and(|trial| trial.is_of(vm, number)) {
            self.by_request.remove(&request);
        }
    }

    fn drop_lapsed(&mut self, now_ms: u64) {
        self.by_request.retain(|_, trial| now_ms < trial.until_ms);
        self.ended.retain(|_, until_ms| now_ms < *until_ms);
        self.unanswered.retain(|_, attempt| now_ms < attempt.ended_ms + 2 * MAX_UNANSWERED_MS);
    }
}

impl UnansweredAttempt {
    fn is_of(&self, vm: &VmName, number: u64) -> bool {
        self.vm == *vm && self.number == number
    }

    fn remaining_ms(&self, now_ms: u64) -> u64 {
        (self.ended_ms + self.wait_ms).saturating_sub(now_ms)
    }

    /// Returns the time for which others wait if the next attempt remains without an answer, too.
    fn next_wait_ms(&self) -> u64 {
        (self.wait_ms * UNANSWERED_GROWTH).min(MAX_UNANSWERED_MS)
    }
}

impl Trial {
    fn is_of(&self, vm: &VmName, number: u64) -> bool {
        self.vm == *vm && self.number == number
    }
}
