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

use crate::fingerprint::Fingerprint;
use std::collections::BTreeMap;
use trestle_core::names::VmName;

/// Time for which an attempt excludes others after its last renewal, if its end is not reported. A
/// crash that ended the renewals is known to all daemons by then.
pub const TRIAL_MS: u64 = 3_000;
/// Largest number of attempts recorded at once; further ones are rejected.
const MAX_TRIALS: usize = 4_096;

/// The running attempts, by request.
#[derive(Debug, Default)]
pub struct Trials {
    by_request: BTreeMap<Fingerprint, Trial>,
    /// Attempts that have ended, and until when renewals of them may still arrive.
    ended: BTreeMap<(VmName, u64), u64>,
    /// Until when attempts may run that another leader has allowed.
    others_until_ms: u64,
}

#[derive(Debug)]
struct Trial {
    vm: VmName,
    number: u64,
    until_ms: u64,
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
    }
}

impl Trial {
    fn is_of(&self, vm: &VmName, number: u64) -> bool {
        self.vm == *vm && self.number == number
    }
}
