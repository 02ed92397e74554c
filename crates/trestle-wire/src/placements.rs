//! Changes of which engine can run which model, as leaders report them. Numbers stand for names
//! that the receiver knows already.

use trestle_dispatch::placement_log::{PlacementChange, PlacementDelta, PlacementPosition};

/// Position of a daemon in a leader's placement log.
#[trestle_macros::wire]
#[derive(Copy, Default)]
pub struct WirePlacementPosition {
    /// Random number that identifies the log.
    pub log: u64,
    /// Number of changes that the daemon has applied.
    pub sequence: u64,
    /// Number of names that the daemon can look up by their numbers.
    pub names: u32,
}

/// Part of a placement log that a daemon lacks.
#[trestle_macros::wire]
#[derive(Default)]
pub struct WirePlacementDelta {
    /// Random number that identifies the log.
    pub log: u64,
    /// Number of changes in the log up to the end of this part.
    pub sequence: u64,
    /// Whether this is the complete state, so that engines, models and adapters not named in it are
    /// absent.
    pub is_whole: bool,
    /// Number of the first of `names`.
    pub first_name: u32,
    /// Names with consecutive numbers.
    pub names: Vec<String>,
    /// Changes, in the order in which they apply.
    pub changes: Vec<WirePlacementChange>,
}

/// Change of what one engine can run. The fields are the numbers of the engine, the model and the
/// adapter.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WirePlacementChange {
    /// An engine is listed.
    Listed(u32),
    /// An engine is gone, with all models that it held.
    Gone(u32),
    /// An engine can run a model.
    Model(u32, u32),
    /// An engine can no longer run a model.
    NoModel(u32, u32),
    /// An engine can run an adapter of a model.
    Adapter(u32, u32, u32),
    /// An engine can no longer run an adapter of a model.
    NoAdapter(u32, u32, u32),
}

/// Name, or the number that stands for it in the log of the receiver.
#[trestle_macros::wire]
pub enum WireName {
    /// Number of the name.
    Number(u32),
    /// Name without a number.
    Name(String),
}

impl WireName {
    /// Creates the wire form of a name; `number` returns the number that stands for it, if there is
    /// one.
    pub fn new(name: &str, number: impl Fn(&str) -> Option<u32>) -> Self {
        match number(name) {
            Some(number) => Self::Number(number),
            None => Self::Name(name.to_owned()),
        }
    }
}

impl From<PlacementPosition> for WirePlacementPosition {
    fn from(position: PlacementPosition) -> Self {
        let PlacementPosition { log, sequence, names } = position;
        Self { log, sequence, names }
    }
}

impl From<WirePlacementPosition> for PlacementPosition {
    fn from(wire: WirePlacementPosition) -> Self {
        let WirePlacementPosition { log, sequence, names } = wire;
        Self { log, sequence, names }
    }
}

impl From<PlacementDelta> for WirePlacementDelta {
    fn from(delta: PlacementDelta) -> Self {
        Self {
            log: delta.log,
            sequence: delta.sequence,
            is_whole: delta.is_whole,
            first_name: delta.first_name,
            names: delta.names.iter().map(|name| name.as_ref().to_owned()).collect(),
            changes: delta.changes.into_iter().map(WirePlacementChange::from).collect(),
        }
    }
}

impl From<WirePlacementDelta> for PlacementDelta {
    fn from(wire: WirePlacementDelta) -> Self {
        Self {
            log: wire.log,
            sequence: wire.sequence,
            is_whole: wire.is_whole,
            first_name: wire.first_name,
            names: wire.names.into_iter().map(Into::into).collect(),
            changes: wire.changes.into_iter().map(PlacementChange::from).collect(),
        }
    }
}

impl From<PlacementChange> for WirePlacementChange {
    fn from(change: PlacementChange) -> Self {
        match change {
            PlacementChange::Listed { engine } => Self::Listed(engine),
            PlacementChange::Gone { engine } => Self::Gone(engine),
            PlacementChange::Model { engine, model } => Self::Model(engine, model),
            PlacementChange::NoModel { engine, model } => Self::NoModel(engine, model),
            PlacementChange::Adapter { engine, model, adapter } => {
                Self::Adapter(engine, model, adapter)
            }
            PlacementChange::NoAdapter { engine, model, adapter } => {
                Self::NoAdapter(engine, model, adapter)
            }
        }
    }
}

impl From<WirePlacementChange> for PlacementChange {
    fn from(wire: WirePlacementChange) -> Self {
        match wire {
            WirePlacementChange::Listed(engine) => Self::Listed { engine },
            WirePlacementChange::Gone(engine) => Self::Gone { engine },
            WirePlacementChange::Model(engine, model) => Self::Model { engine, model },
            WirePlacementChange::NoModel(engine, model) => Self::NoModel { engine, model },
            WirePlacementChange::Adapter(engine, model, adapter) => {
                Self::Adapter { engine, model, adapter }
            }
            WirePlacementChange::NoAdapter(engine, model, adapter) => {
                Self::NoAdapter { engine, model, adapter }
            }
        }
    }
}
