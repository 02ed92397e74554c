//! What a leader tells of where models are: changes, with numbers in place of names.

use trestle_dispatch::placement_log::{PlacementChange, PlacementDelta, PlacementPosition};

/// How much of a leader's log a daemon has.
#[trestle_macros::wire]
#[derive(Copy, Default)]
pub struct WirePlacementPosition {
    /// The log, by its random number.
    pub log: u64,
    /// Changes that it has taken.
    pub sequence: u64,
    /// Names that it has numbers for.
    pub names: u32,
}

/// What a daemon lacks of a log.
#[trestle_macros::wire]
#[derive(Default)]
pub struct WirePlacementDelta {
    /// The log, by its random number.
    pub log: u64,
    /// The change up to which this leads.
    pub sequence: u64,
    /// Whether what is not named is not there.
    pub is_whole: bool,
    /// The number of the first name.
    pub first_name: u32,
    /// Names, numbered one after the other.
    pub names: Vec<String>,
    /// Changes, in their order.
    pub changes: Vec<WirePlacementChange>,
}

/// A change of what one engine can run: the numbers of the engine, the model and the adapter.
#[trestle_macros::wire]
#[derive(Copy)]
pub enum WirePlacementChange {
    /// An engine is there.
    Listed(u32),
    /// It is gone.
    Gone(u32),
    /// It can run a model.
    Model(u32, u32),
    /// It no longer can.
    NoModel(u32, u32),
    /// It can run an adapter.
    Adapter(u32, u32, u32),
    /// It no longer can.
    NoAdapter(u32, u32, u32),
}

/// A name, by its number where the receiver's log has one.
#[trestle_macros::wire]
pub enum WireName {
    /// Its number.
    Number(u32),
    /// The name itself.
    Name(String),
}

impl WireName {
    /// The wire form of a name that may have a number.
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
