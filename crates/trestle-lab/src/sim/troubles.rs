//! What goes wrong, and when it is over.

use super::{
    engine::Engine,
    world::{Entry, Event, World, domain_name},
};
use crate::deployment::Fault;

/// Time of silence after which the store removes an engine's entry, in heartbeats.
const LAPSE_HEARTBEATS: u64 = 3;

impl World<'_> {
    pub(super) fn trouble(&mut self, number: usize, part: usize) {
        let deployment = self.deployment;
        let fault = &deployment.faults[number];
        match fault {
            Fault::ModelShift { .. } | Fault::Burst { .. } => {}
            Fault::EngineCrash { count, .. } => {
                for engine in self.struck(number, *count) {
                    self.stop_engine(engine);
                }
            }
            Fault::EngineRelease { count, at_once, gap_s, drain_s, .. } => {
                self.release(number, part, *count, (*at_once).max(1), *gap_s, *drain_s);
            }
            Fault::EngineSlow { count, times, .. } => {
                for engine in self.struck(number, *count) {
                    self.engines[engine].slowness = *times;
                }
            }
            Fault::EngineFails { count, share, .. } => {
                for engine in self.struck(number, *count) {
                    self.engines[engine].failing_share = *share;
                }
            }
            Fault::EngineSilent { count, for_s, .. } => {
                let until_us = self.now_us + (for_s * 1e6) as u64;
                for engine in self.struck(number, *count) {
                    self.engines[engine].silent_until_us = until_us;
                }
            }
            Fault::StoreAway { .. } => self.is_store_away = true,
            Fault::LeaderLost { .. } => self.leader.is_there = false,
            Fault::DaemonsLost { count, .. } => self.lose_daemons(*count),
        }
        if let Some(for_s) = fault.lasts_s() {
            let ends_us = self.now_us + (for_s * 1e6) as u64;
            self.queue.push(ends_us, Event::TroubleEnds { fault: number });
        }
    }

    pub(super) fn trouble_ends(&mut self, number: usize) {
        let deployment = self.deployment;
        match &deployment.faults[number] {
            Fault::EngineCrash { count, .. } => {
                for engine in self.struck(number, *count) {
                    self.start_engine(engine, true);
                }
            }
            Fault::EngineSlow { count, .. } | Fault::EngineFails { count, .. } => {
                for engine in self.struck(number, *count) {
                    self.engines[engine].slowness = 1.0;
                    self.engines[engine].failing_share = 0.0;
                }
            }
            Fault::StoreAway { .. } => self.is_store_away = false,
            Fault::LeaderLost { .. } => self.next_leader(),
            Fault::DaemonsLost { .. } => self.return_daemons(),
            Fault::ModelShift { .. }
            | Fault::Burst { .. }
            | Fault::EngineRelease { .. }
            | Fault::EngineSilent { .. } => {}
        }
    }

    /// The places that a fault strikes; each fault strikes others.
    fn struck(&self, fault: usize, count: usize) -> Vec<usize> {
        let places = self.deployment.engines.count;
        (0..count.min(places)).map(|number| (number * 5 + fault * 3 + 1) % places).collect()
    }

    fn stop_engine(&mut self, engine: usize) {
        self.engines[engine].is_alive = false;
        for request in self.engines[engine].drain() {
            let send = self.requests[request].send;
            let way_us = self.way_us();
            self.queue.push(self.now_us + way_us, Event::Broke { request, send });
        }
        let name = self.engines[engine].name.clone();
        let lapse_us = LAPSE_HEARTBEATS * self.heartbeat_us();
        let at_us = self.now_us + lapse_us;
        self.list.push((at_us, Entry::Removed(name)));
        self.list.sort_by_key(|(at_us, _)| *at_us);
    }

    /// Starts an engine anew at a place, with the disk of the one before or without one.
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

    /// One group of engines is replaced: new ones start at new places, old ones leave.
    fn release(
        &mut self,
        number: usize,
        part: usize,
        count: usize,
        at_once: usize,
        gap_s: f64,
        drain_s: f64,
    ) {
        let groups = count.div_ceil(at_once);
        if part < groups {
            let until = (part + 1) * at_once;
            for place in part * at_once..until.min(count).min(self.deployment.engines.count) {
                self.add_engine(place);
                self.engines[place].is_leaving = true;
                self.write_entry(place);
            }
            let next_us = self.now_us + (gap_s * 1e6) as u64;
            let event = Event::Trouble { fault: number, part: part + 1 };
            self.queue.push(next_us.max(self.now_us + 1), event);
            let gone_us = self.now_us + (drain_s * 1e6) as u64;
            let event = Event::Trouble { fault: number, part: groups + 1 + part };
            self.queue.push(gone_us, event);
        } else if part > groups {
            let group = part - groups - 1;
            for place in group * at_once..((group + 1) * at_once).min(count) {
                if self.engines[place].is_leaving && self.engines[place].is_alive {
                    self.stop_engine(place);
                }
            }
        }
    }

    fn add_engine(&mut self, place: usize) {
        let number = self.engines.len();
        let domain = domain_name(place % self.deployment.domains);
        self.engines.push(Engine::new(&format!("n{number:03}"), domain, 0));
        self.write_entry(number);
        let next_us = self.now_us + self.heartbeat_us();
        self.queue.push(next_us, Event::Heartbeat { engine: number, start: 0 });
    }

    fn next_leader(&mut self) {
        let daemons = self.daemons.len();
        let next = (1..=daemons).map(|step| (self.leader.daemon + step) % daemons);
        let next = next.into_iter().find(|number| self.daemons[*number].is_alive);
        self.leader.begin(next.unwrap_or_default(), self.now_us);
        let term = self.leader.term;
        self.queue.push(self.now_us + 1_000, Event::Plan { term });
    }

    fn lose_daemons(&mut self, count: usize) {
        for number in 0..count.min(self.daemons.len().saturating_sub(1)) {
            let place = (self.leader.daemon + 1 + number) % self.daemons.len();
            self.daemons[place].is_alive = false;
            let lost: Vec<usize> = (0..self.requests.len())
                .filter(|request| self.requests[*request].is_at_daemon(place))
                .collect();
            for request in lost {
                self.leave(request);
            }
        }
    }

    fn return_daemons(&mut self) {
        for number in 0..self.daemons.len() {
            if !self.daemons[number].is_alive {
                self.daemons[number].is_alive = true;
                self.schedule_sync(number, self.now_us + 10_000);
            }
        }
    }
}

impl Fault {
    /// How long it lasts, if it ends by itself.
    fn lasts_s(&self) -> Option<f64> {
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
