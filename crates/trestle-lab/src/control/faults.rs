//! Injection of the plan's faults.

use super::{
    plan::ControlFault,
    simulation::{Event, Simulation, domain},
};
use rand::RngExt;

impl Simulation<'_> {
    pub(super) fn fault_begins(&mut self, number: usize) {
        let plan = self.plan;
        let for_us = (for_s(&plan.faults[number]) * 1e6) as u64;
        match &plan.faults[number] {
            ControlFault::KillAll { .. } => {
                for vm in 0..self.vms.len() {
                    self.kill(vm, for_us);
                }
            }
            ControlFault::KillLeaders { .. } => {
                for vm in self.leaders() {
                    self.kill(vm, for_us);
                }
            }
            ControlFault::SuspendLeaders { .. } => {
                for vm in self.leaders() {
                    self.suspend(vm, for_us);
                }
            }
            ControlFault::SlowStore { times, .. } => self.store_slowdown = *times,
            ControlFault::CutFromStore { domain: cut, .. } => {
                let until_us = self.now_us + for_us;
                let cut = domain(*cut);
                for vm in self.vms.iter_mut().filter(|vm| vm.domain == cut) {
                    vm.reaches_store_from_us = until_us;
                }
            }
        }
        self.push(self.now_us + for_us, Event::FaultEnds { number });
    }

    /// Returns the VMs whose daemons hold a lease.
    fn leaders(&self) -> Vec<usize> {
        let all = 0..self.vms.len();
        all.filter(|vm| !self.vms[*vm].led_groups(self.clock_ms(*vm)).is_empty()).collect()
    }

    fn suspend(&mut self, vm: usize, for_us: u64) {
        let now_us = self.now_us;
        let vm_state = &mut self.vms[vm];
        vm_state.earlier_suspension_us = vm_state.total_suspended_us(now_us);
        vm_state.suspended_us = now_us..now_us + for_us;
    }

    /// Kills a daemon, which starts again after `for_us` and a random delay of up to 300 ms.
    fn kill(&mut self, vm: usize, for_us: u64) {
        self.vms[vm].is_alive = false;
        let spread_us = self.random.random_range(0..300_000);
        self.push(self.now_us + for_us + spread_us, Event::Start { vm });
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        if let ControlFault::SlowStore { .. } = &self.plan.faults[number] {
            self.store_slowdown = 1.0;
        }
        self.last_fault_us = self.now_us;
        self.outcome.recovery_ms = 0;
    }
}

pub(super) fn at_s(fault: &ControlFault) -> f64 {
    match fault {
        ControlFault::KillAll { at_s, .. }
        | ControlFault::CutFromStore { at_s, .. }
        | ControlFault::SlowStore { at_s, .. }
        | ControlFault::SuspendLeaders { at_s, .. }
        | ControlFault::KillLeaders { at_s, .. } => *at_s,
    }
}

fn for_s(fault: &ControlFault) -> f64 {
    match fault {
        ControlFault::KillAll { for_s, .. }
        | ControlFault::CutFromStore { for_s, .. }
        | ControlFault::SlowStore { for_s, .. }
        | ControlFault::SuspendLeaders { for_s, .. }
        | ControlFault::KillLeaders { for_s, .. } => *for_s,
    }
}
