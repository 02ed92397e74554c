//! Which engine can run what, reported incrementally.
//!
//! The load that this answers: some sixty daemons that sync with one leader three times a second
//! while 256 engines change 360 placements a second. Full reports with all names took 13 KB per
//! daemon and second, and the leader's link carried 3.9 MB/s where a small VM has 2.5. So a leader
//! keeps a log of changes in which numbers stand for names, and sends each daemon the part that it
//! lacks. A daemon that has missed more than the log keeps, or has the log of another leader, gets
//! a full report once.

use crate::{endpoint::Held, loadable::Loadable};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// Number of changes that are kept: those of some ten seconds in a large deployment. A daemon that
/// has missed more gets a full report, which is then no longer than the changes.
const KEPT_CHANGES: usize = 4_096;

/// A change of what one engine can run; numbers stand for the names of the log.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum PlacementChange {
    /// An engine is listed.
    Listed {
        /// The engine.
        engine: u32,
    },
    /// An engine is gone, with everything that it held.
    Gone {
        /// The engine.
        engine: u32,
    },
    /// An engine can run a model.
    Model {
        /// The engine.
        engine: u32,
        /// The model.
        model: u32,
    },
    /// An engine can no longer run a model.
    NoModel {
        /// The engine.
        engine: u32,
        /// The model.
        model: u32,
    },
    /// An engine can run an adapter of a model that it can run.
    Adapter {
        /// The engine.
        engine: u32,
        /// The model.
        model: u32,
        /// The adapter.
        adapter: u32,
    },
    /// An engine can no longer run an adapter of a model.
    NoAdapter {
        /// The engine.
        engine: u32,
        /// The model.
        model: u32,
        /// The adapter.
        adapter: u32,
    },
}

/// How much of a log a daemon has.
#[trestle_macros::plain]
#[derive(Copy, Default)]
pub struct PlacementPosition {
    /// The random number that identifies the log.
    pub log: u64,
    /// Number of changes applied.
    pub sequence: u64,
    /// Number of names known.
    pub names: u32,
}

/// The part of a log that a daemon lacks.
#[trestle_macros::plain]
#[derive(Default)]
pub struct PlacementDelta {
    /// The random number that identifies the log.
    pub log: u64,
    /// Number of changes of the log up to the end of this part.
    pub sequence: u64,
    /// Whether this is a full report, so that engines and models that it does not name are absent.
    pub is_whole: bool,
    /// The number of the first name.
    pub first_name: u32,
    /// Names, numbered consecutively.
    pub names: Vec<Arc<str>>,
    /// Changes, in their order.
    pub changes: Vec<PlacementChange>,
}

/// A mapping between names and numbers.
#[derive(Debug, Default)]
struct NameTable {
    names: Vec<Arc<str>>,
    numbers: BTreeMap<Arc<str>, u32>,
}

impl NameTable {
    /// Returns the number of a name; assigns a new one if it has none.
    fn of(&mut self, name: &str) -> u32 {
        match self.numbers.get(name) {
            Some(number) => *number,
            None => self.add(name.into()),
        }
    }

    fn add(&mut self, name: Arc<str>) -> u32 {
        let number = self.names.len() as u32;
        self.numbers.insert(Arc::clone(&name), number);
        self.names.push(name);
        number
    }

    fn name(&self, number: u32) -> Option<&Arc<str>> {
        self.names.get(number as usize)
    }
}

/// What engines can run, and its changes, as a leader keeps it.
#[derive(Debug)]
pub struct PlacementLog {
    id: u64,
    numbers: NameTable,
    engines: BTreeMap<u32, (EndpointName, Held)>,
    changes: VecDeque<PlacementChange>,
    /// Number of changes recorded so far.
    sequence: u64,
}

impl PlacementLog {
    /// Creates an empty log that is identified by a random number.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            numbers: NameTable::default(),
            engines: BTreeMap::new(),
            changes: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Records what engines can run now; engines that are not named are gone.
    pub fn update<'a>(&mut self, engines: impl Iterator<Item = (&'a EndpointName, &'a Held)>) {
        let mut gone: BTreeSet<u32> = self.engines.keys().copied().collect();
        for (name, holds) in engines {
            let engine = self.numbers.of(name.as_str());
            gone.remove(&engine);
            self.update_engine(engine, name, holds);
        }
        for engine in gone {
            self.engines.remove(&engine);
            self.record(PlacementChange::Gone { engine });
        }
        while self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn update_engine(&mut self, engine: u32, name: &EndpointName, holds: &Held) {
        let before = match self.engines.remove(&engine) {
            Some((_, before)) if before == *holds => {
                self.engines.insert(engine, (name.clone(), before));
                return;
            }
            Some((_, before)) => before,
            None => {
                self.record(PlacementChange::Listed { engine });
                Held::new()
            }
        };
        for model in before.keys().filter(|model| !holds.contains_key(*model)) {
            let model = self.numbers.of(model.as_str());
            self.record(PlacementChange::NoModel { engine, model });
        }
        let nothing = BTreeSet::new();
        for (model, adapters) in holds {
            let known = before.get(model);
            let model = self.numbers.of(model.as_str());
            if known.is_none() {
                self.record(PlacementChange::Model { engine, model });
            }
            let known = known.unwrap_or(&nothing);
            for adapter in known.difference(adapters) {
                let adapter = self.numbers.of(adapter.as_str());
                self.record(PlacementChange::NoAdapter { engine, model, adapter });
            }
            for adapter in adapters.difference(known) {
                let adapter = self.numbers.of(adapter.as_str());
                self.record(PlacementChange::Adapter { engine, model, adapter });
            }
        }
        self.engines.insert(engine, (name.clone(), holds.clone()));
    }

    fn record(&mut self, change: PlacementChange) {
        self.changes.push_back(change);
        self.sequence += 1;
    }

    /// Returns what a daemon with this position lacks.
    pub fn delta(&self, position: PlacementPosition) -> PlacementDelta {
        let kept_since = self.sequence - self.changes.len() as u64;
        let is_known =
            position.log == self.id && (kept_since..=self.sequence).contains(&position.sequence);
        let first_name = if is_known { position.names } else { 0 };
        let names = self.numbers.names.get(first_name as usize..).unwrap_or_default();
        let changes = match is_known {
            true => {
                self.changes.range((position.sequence - kept_since) as usize..).copied().collect()
            }
            false => self.all_placements(),
        };
        PlacementDelta {
            log: self.id,
            sequence: self.sequence,
            is_whole: !is_known,
            first_name,
            names: names.to_vec(),
            changes,
        }
    }

    fn all_placements(&self) -> Vec<PlacementChange> {
        let number = |name: &str| self.numbers.numbers.get(name).copied().unwrap_or_default();
        let mut changes = Vec::new();
        for (engine, (_, holds)) in &self.engines {
            let engine = *engine;
            changes.push(PlacementChange::Listed { engine });
            for (model, adapters) in holds {
                let model = number(model.as_str());
                changes.push(PlacementChange::Model { engine, model });
                let adapters = adapters.iter().map(|adapter| number(adapter.as_str()));
                changes.extend(adapters.map(|adapter| PlacementChange::Adapter {
                    engine,
                    model,
                    adapter,
                }));
            }
        }
        changes
    }

    /// Returns the number of changes recorded so far.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns what engines have become able to run since a change, as far as the log reaches back.
    pub fn loaded_since(&self, sequence: u64) -> BTreeSet<Loadable> {
        let kept_since = self.sequence - self.changes.len() as u64;
        let from = sequence.clamp(kept_since, self.sequence) - kept_since;
        let name = |number| self.numbers.name(number).cloned();
        let loaded = self.changes.range(from as usize..).filter_map(|change| match *change {
            PlacementChange::Model { model, .. } => {
                Some(Loadable { model: name(model)?.into(), adapter: None })
            }
            PlacementChange::Adapter { model, adapter, .. } => {
                Some(Loadable { model: name(model)?.into(), adapter: Some(name(adapter)?.into()) })
            }
            _ => None,
        });
        loaded.collect()
    }

    /// Returns the engines, in the order in which their loads are reported.
    pub fn engines(&self) -> impl Iterator<Item = &EndpointName> {
        self.engines.values().map(|(name, _)| name)
    }

    /// Returns the random number that identifies the log.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the name for a number.
    pub fn name(&self, number: u32) -> Option<&Arc<str>> {
        self.numbers.name(number)
    }
}

/// A copy of a leader's log at a daemon.
#[derive(Debug, Default)]
pub struct PlacementMirror {
    log: u64,
    sequence: u64,
    numbers: NameTable,
    engines: BTreeMap<u32, (EndpointName, Held)>,
}

impl PlacementMirror {
    /// Returns how much of the log the copy has.
    pub fn position(&self) -> PlacementPosition {
        let names = self.numbers.names.len() as u32;
        PlacementPosition { log: self.log, sequence: self.sequence, names }
    }

    /// Applies a delta. One that does not continue the copy, because another overtook it, is
    /// dropped with the copy; the next delta is then a full report.
    pub fn apply_delta(&mut self, delta: PlacementDelta) {
        if delta.is_whole {
            *self = Self { log: delta.log, ..Self::default() };
        }
        let follows = delta.log == self.log && delta.sequence >= self.sequence;
        if !follows || delta.first_name as usize > self.numbers.names.len() {
            *self = Self::default();
            return;
        }
        let known = self.numbers.names.len() - delta.first_name as usize;
        for name in delta.names.into_iter().skip(known) {
            self.numbers.add(name);
        }
        for change in delta.changes {
            self.apply(change);
        }
        self.sequence = delta.sequence;
    }

    fn apply(&mut self, change: PlacementChange) {
        match change {
            PlacementChange::Listed { engine } => {
                if let Some(name) = self.numbers.name(engine) {
                    let name = EndpointName::from(Arc::clone(name));
                    self.engines.insert(engine, (name, Held::new()));
                }
            }
            PlacementChange::Gone { engine } => _ = self.engines.remove(&engine),
            PlacementChange::Model { engine, model } => {
                let model = self.model(model);
                if let (Some(holds), Some(model)) = (self.holds(engine), model) {
                    holds.entry(model).or_default();
                }
            }
            PlacementChange::NoModel { engine, model } => {
                let model = self.model(model);
                if let (Some(holds), Some(model)) = (self.holds(engine), model) {
                    holds.remove(&model);
                }
            }
            PlacementChange::Adapter { engine, model, adapter } => {
                let (model, adapter) = (self.model(model), self.adapter(adapter));
                if let (Some(holds), Some(model), Some(adapter)) =
                    (self.holds(engine), model, adapter)
                {
                    holds.entry(model).or_default().insert(adapter);
                }
            }
            PlacementChange::NoAdapter { engine, model, adapter } => {
                let (model, adapter) = (self.model(model), self.adapter(adapter));
                if let (Some(holds), Some(model), Some(adapter)) =
                    (self.holds(engine), model, adapter)
                    && let Some(adapters) = holds.get_mut(&model)
                {
                    adapters.remove(&adapter);
                }
            }
        }
    }

    fn holds(&mut self, engine: u32) -> Option<&mut Held> {
        self.engines.get_mut(&engine).map(|(_, holds)| holds)
    }

    fn model(&self, number: u32) -> Option<ModelName> {
        self.numbers.name(number).map(|name| ModelName::from(Arc::clone(name)))
    }

    fn adapter(&self, number: u32) -> Option<AdapterName> {
        self.numbers.name(number).map(|name| AdapterName::from(Arc::clone(name)))
    }

    /// Returns what engines can run, in the order in which their loads are reported.
    pub fn engines(&self) -> impl Iterator<Item = (&EndpointName, &Held)> {
        self.engines.values().map(|(name, holds)| (name, holds))
    }

    /// Returns the number for a name.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.numbers.numbers.get(name).copied()
    }
}
