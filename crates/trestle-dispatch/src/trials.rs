//! Which attempt of a request that ended endpoints may run, as its leader decides.
//!
//! The load that this answers: a request under which two endpoints ended, whose callers come back
//! at several daemons within the time that an endpoint takes to end. Each daemon may let it run
//! once more, to tell it from one that only ran beside it; all at once they would end as many
//! endpoints. So one leader, the same for everybody, lets one attempt run at a time. Whoever
//! asks for a request that ends nothing waits for one answer at most.

use crate::fingerprint::Fingerprint;
use std::collections::BTreeMap;
use trestle_core::names::VmName;

/// Time for which an attempt keeps others away if nothing more is heard of it: an endpoint has
/// ended by then, and all daemons have been told.
const TRIAL_MS: u64 = 3_000;
/// Attempts that are remembered at once. Beyond them nothing is tried.
const MOST_TRIALS: usize = 4_096;

/// Attempts that run, by request.
#[derive(Debug, Default)]
pub struct Trials {
    by_request: BTreeMap<Fingerprint, Trial>,
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
    /// Takes since when this leader has decided on the request that is asked for next, if another
    /// one may have before: what that one has allowed is not known here.
    pub fn set_leader_since(&mut self, since_ms: Option<u64>) {
        self.others_until_ms = since_ms.map_or(0, |since_ms| since_ms + TRIAL_MS);
    }

    /// Lets an attempt of a VM run, unless another one does.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may be asked for again, in ms.
    pub fn begin(
        &mut self,
        request: Fingerprint,
        vm: VmName,
        number: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.by_request.retain(|_, trial| now_ms < trial.until_ms);
        if now_ms < self.others_until_ms {
            return Err(self.others_until_ms - now_ms);
        }
        if let Some(trial) = self.by_request.get(&request) {
            return Err(trial.until_ms - now_ms);
        }
        if self.by_request.len() >= MOST_TRIALS {
            return Err(TRIAL_MS);
        }
        self.by_request.insert(request, Trial { vm, number, until_ms: now_ms + TRIAL_MS });
        Ok(())
    }

    /// Takes that an attempt has ended without an endpoint's ending under it.
    pub fn end(&mut self, request: Fingerprint, vm: &VmName, number: u64) {
        let is_it = |trial: &Trial| trial.vm == *vm && trial.number == number;
        if self.by_request.get(&request).is_some_and(is_it) {
            self.by_request.remove(&request);
        }
    }
}
