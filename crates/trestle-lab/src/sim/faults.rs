//! Injection of the faults in the deployment's file.

use super::{
    engine::Engine,
    simulation::{Entry, Event, Simulation, domain_name},
};
use crate::deployment::Fault;

/// Heartbeats without a write after which the store removes an engine's entry.
const LAPSE_HEARTBEATS: u64 = 3;

impl Simulation<'_> {
    /// Begins the fault with this number, or continues it with a later stage.
    pub(super) fn fault_begins(&mut self, number: usize, stage: usize) {
        let deployment = self.deployment;
        let fault = &deployment.faults[number];
        match fault {
            Fault::ModelShift { .. } | Fault::Burst { .. } => {}
            Fault::EngineCrash { count, .. } => {
                for engine in self.affected_engines(number, *count) {
                    self.stop_engine(engine);
                }
            }
            Fault::EngineRelease { count, at_once, gap_s, drain_s, .. } => {
                self.release(number, stage, *count, (*at_once).max(1), *gap_s, *drain_s);
            }
            Fault::EngineSlow { count, times, .. } => {
                for engine in self.affected_engines(number, *count) {
                    self.engines[engine].slowdown = *times;
                }
            }
            Fault::EngineFails { count, share, .. } => {
                for engine in self.affected_engines(number, *count) {
                    self.engines[engine].failure_share = *share;
                }
            }
            Fault::EngineSilent { count, for_s, .. } => {
                let until_us = self.now_us + (for_s * 1e6) as u64;
                for engine in self.affected_engines(number, *count) {
                    self.engines[engine].silent_until_us = until_us;
                }
            }
            Fault::StoreAway { .. } => self.is_store_away = true,
            Fault::LeaderLost { .. } => self.leader.is_present = false,
            Fault::DaemonsLost { count, .. } => self.stop_daemons(*count),
        }
        if let Some(for_s) = fault.duration_s() {
            let ends_us = self.now_us + (for_s * 1e6) as u64;
            self.queue.push(ends_us, Event::FaultEnds { fault: number });
        }
    }

    /// Ends the fault with this number.
    pub(super) fn fault_ends(&mut self, number: usize) {
        let deployment = self.deployment;
        match &deployment.faults[number] {
            Fault::EngineCrash { count, .. } => {
                for engine in self.affected_engines(number, *count) {
                    self.start_engine(engine, true);
                }
            }
            Fault::EngineSlow { count, .. } | Fault::EngineFails { count, .. } => {
                for engine in self.affected_engines(number, *count) {
                    self.engines[engine].slowdown = 1.0;
                    self.engines[engine].failure_share = 0.0;
                }
            }
            Fault::StoreAway { .. } => self.is_store_away = false,
            Fault::LeaderLost { .. } => self.install_next_leader(),
            Fault::DaemonsLost { .. } => self.restart_daemons(),
            Fault::ModelShift { .. }
            | Fault::Burst { .. }
            | Fault::EngineRelease { .. }
            | Fault::EngineSilent { .. } => {}
        }
    }

    /// Returns the indexes of the engines that a fault affects. The selection depends on the number
    /// of the fault, so that faults affect different engines.
    fn affected_engines(&self, fault: usize, count: usize) -> Vec<usize> {
        let engines = self.deployment.engines.count;
        (0..count.min(engines)).map(|number| (number * 5 + fault * 3 + 1) % engines).collect()
    }

    /// Stops an engine: its requests fail, and its entry lapses in the store.
    fn stop_engine(&mut self, engine: usize) {
        self.engines[engine].is_alive = false;
        for request in self.engines[engine].take_requests() {
            let send = self.requests[request].send;
            let delay_us = self.delay_us();
            self.queue.push(self.now_us + delay_us, Event::SendFailed { request, send });
        }
        let name = self.engines[engine].name.clone();
        let lapse_us = LAPSE_HEARTBEATS * self.heartbeat_us();
        let at_us = self.now_us + lapse_us;
        self.list.push((at_us, Entry::Removed(name)));
        self.list.sort_by_key(|(at_us, _)| *at_us);
    }

    /// Replaces the engine at index `place` by a new one, which has the disk of the previous engine
    /// if `keeps_disk`.
    fn start_engine(&mut self, place: usize, keeps_disk: bool) {
        let start = self.engines[place].start + 1;
        let domain = domain_name(place % self.deployment.domains);
        let mut engine = Engine::new(&format!("e{place:03}-{start}"), domain, start);
        if keeps_disk {
            engine.on_disk = std::mem::take(&mut self.engines[place].on_disk);
        }
        self.engines[place] = engine;
        self.write_entry(place);
        let next_us = self.now_us + self.heartbeat_us();
        self.queue.push(next_us, Event::Heartbeat { engine: place, start });
    }

    /// Runs one stage of a release. The first stages replace one batch of engines each: new
    /// engines are added and the old ones begin to drain. Later stages stop the drained batches.
    fn release(
        &mut self,
        number: usize,
        stage: usize,
        count: usize,
        at_once: usize,
        gap_s: f64,
        drain_s: f64,
    ) {
        let batches = count.div_ceil(at_once);
        if stage < batches {
            let until = (stage + 1) * at_once;
            for place in stage * at_once..until.min(count).min(self.deployment.engines.count) {
                self.add_engine(place);
                self.engines[place].is_draining = true;
                self.write_entry(place);
            }
            let next_us = self.now_us + (gap_s * 1e6) as u64;
            let event = Event::FaultBegins { fault: number, stage: stage + 1 };
            self.queue.push(next_us.max(self.now_us + 1), event);
            let stop_us = self.now_us + (drain_s * 1e6) as u64;
            let event = Event::FaultBegins { fault: number, stage: batches + 1 + stage };
            self.queue.push(stop_us, event);
        } else if stage > batches {
            let batch = stage - batches - 1;
            for place in batch * at_once..((batch + 1) * at_once).min(count) {
                if self.engines[place].is_draining && self.engines[place].is_alive {
                    self.stop_engine(place);
                }
            }
        }
    }

    /// Adds an engine in the failure domain of the engine at index `place`.
    fn add_engine(&mut self, place: usize) {
        let number = self.engines.len();
        let domain = domain_name(place % self.deployment.domains);
        self.engines.push(Engine::new(&format!("n{number:03}"), domain, 0));
        self.write_entry(number);
        let next_us = self.now_us + self.heartbeat_us();
        self.queue.push(next_us, Event::Heartbeat { engine: number, start: 0 });
    }

    /// Makes the next running daemon the leader.
    fn install_next_leader(&mut self) {
        let daemons = self.daemons.len();
        let next = (1..=daemons).map(|offset| (self.leader.daemon + offset) % daemons);
        let next = next.into_iter().find(|number| self.daemons[*number].is_alive);
        self.leader.replace(next.unwrap_or_default(), self.now_us);
        let term = self.leader.term;
        self.queue.push(self.now_us + 1_000, Event::Plan { term });
    }

    /// Stops daemons other than the leader; their callers leave.
    fn stop_daemons(&mut self, count: usize) {
        for number in 0..count.min(self.daemons.len().saturating_sub(1)) {
            let daemon = (self.leader.daemon + 1 + number) % self.daemons.len();
            self.daemons[daemon].is_alive = false;
            let interrupted: Vec<usize> = (0..self.requests.len())
                .filter(|request| self.requests[*request].is_at_daemon(daemon))
                .collect();
            for request in interrupted {
                self.caller_left(request);
            }
        }
    }

    fn restart_daemons(&mut self) {
        for number in 0..self.daemons.len() {
            if !self.daemons[number].is_alive {
                self.daemons[number].is_alive = true;
                self.schedule_sync(number, self.now_us + 10_000);
            }
        }
    }
}

impl Fault {
    /// Returns how long the fault lasts in s, or `None` if it has no end event.
    fn duration_s(&self) -> Option<f64> {
        match self {
            Self::EngineCrash { for_s, .. }
            | Self::EngineSlow { for_s, .. }
            | Self::EngineFails { for_s, .. }
            | Self::StoreAway { for_s, .. }
            | Self::LeaderLost { for_s, .. }
            | Self::DaemonsLost { for_s, .. } => Some(*for_s),
            Self::ModelShift { .. }
            | Self::Burst { .. }
            | Self::EngineRelease { .. }
            | Self::EngineSilent { .. } => None,
        }
    }
}
