//! When engines that have a model will have room for those who wait for it.
//!
//! The load that this answers: a model that becomes the busiest within seconds has copies near
//! few engines, and is asked for several times as often as they can run it. Sent on, its
//! requests fill the engines' queues, so that even those that run come late, and the rest are
//! refused one engine after the other until the budget of further sends is spent for everybody.
//! So whoever waits is told when its turn comes: behind all others that wait.

use super::Planner;
use crate::{demand::Want, policy::Mechanism};

impl Planner<'_> {
    /// Time until the last of those who wait for a model that engines hold has a place there; 0
    /// while there is room for all of them.
    pub(super) fn room_in_ms(&self, want: &Want<'_>) -> u64 {
        if !self.policy.has(Mechanism::RoomAtEngines) {
            return 0;
        }
        let own = self.engines.values().filter(|state| state.held.contains_key(want.model));
        let own = own.map(|state| self.usage.at(&state.endpoint.name));
        let others =
            self.sharing.engines().filter(|foreign| foreign.holds.contains_key(want.model));
        let running: Vec<u32> = own.chain(others.map(|foreign| foreign.running)).collect();
        let slots = self.spec.slots.max(1);
        let free: u32 = running.iter().map(|running| slots.saturating_sub(*running)).sum();
        if want.count <= free || running.is_empty() {
            return 0;
        }
        let queued: u32 = running.iter().map(|running| running.saturating_sub(slots)).sum();
        let ahead = f64::from(queued + want.count - free);
        let places = f64::from(slots) * running.len() as f64;
        (ahead * self.demand.run_s() * 1e3 / places) as u64
    }
}
