//! What goes wrong.

use super::{
    plan::ControlFault,
    world::{Event, World, domain},
};
use rand::RngExt;

impl World<'_> {
    pub(super) fn fault(&mut self, number: usize) {
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
            ControlFault::SlowStore { times, .. } => self.store_times = *times,
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

    fn leaders(&self) -> Vec<usize> {
        let all = 0..self.vms.len();
        all.filter(|vm| !self.vms[*vm].led(self.clock_ms(*vm)).is_empty()).collect()
    }

    fn suspend(&mut self, vm: usize, for_us: u64) {
        let now_us = self.now_us;
        let of = &mut self.vms[vm];
        of.slept_us = of.slept_us(now_us);
        of.suspended_us = now_us..now_us + for_us;
    }

    fn kill(&mut self, vm: usize, for_us: u64) {
        self.vms[vm].is_alive = false;
        let spread_us = self.lots.random_range(0..300_000);
        self.push(self.now_us + for_us + spread_us, Event::Start { vm });
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        if let ControlFault::SlowStore { .. } = &self.plan.faults[number] {
            self.store_times = 1.0;
        }
        self.last_fault_us = self.now_us;
        self.outcome.recovered_ms = 0;
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
