//! History of the platform's list of VMs, which contains daemons and endpoints.

use crate::{event::VmState, timing::Timing};
use std::collections::{BTreeMap, BTreeSet};

/// History of the platform's list of VMs.
///
/// A VM that was never listed counts as live, because the list lags. A VM that was listed and is
/// missing now counts as gone once it has been missing for [`Timing::settle_ms`].
#[trestle_macros::plain]
#[derive(Default)]
pub struct VmList {
    listed: BTreeMap<String, VmState>,
    missing_since_ms: BTreeMap<String, u64>,
    now_ms: u64,
}

impl VmList {
    /// Records a list that was read.
    pub fn update(&mut self, listed: BTreeMap<String, VmState>, now_ms: u64) {
        self.now_ms = now_ms;
        for name in self.listed.keys().filter(|name| !listed.contains_key(*name)) {
            self.missing_since_ms.entry(name.clone()).or_insert(now_ms);
        }
        self.missing_since_ms.retain(|name, _| !listed.contains_key(name));
        self.listed = listed;
    }

    /// Returns whether the VM gets no new work because it is draining or no longer listed.
    pub fn is_draining(&self, name: &str) -> bool {
        self.listed.get(name) == Some(&VmState::Draining)
            || self.missing_since_ms.contains_key(name)
    }

    /// Returns whether the VM has been missing for so long that it counts as gone.
    pub fn is_gone(&self, name: &str, timing: &Timing) -> bool {
        let since_ms = self.missing_since_ms.get(name);
        since_ms.is_some_and(|since_ms| self.now_ms.saturating_sub(*since_ms) >= timing.settle_ms)
    }

    /// Returns every VM that counts as gone.
    pub fn gone(&self, timing: &Timing) -> BTreeSet<&str> {
        let names = self.missing_since_ms.keys().map(String::as_str);
        names.filter(|name| self.is_gone(name, timing)).collect()
    }
}
