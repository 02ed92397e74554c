//! What to play, as its file describes it.

use crate::{error::Result, file};
use std::path::Path;

/// Control of one deployment, with what goes wrong in it.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ControlPlan {
    /// Length of the day.
    pub duration_s: f64,
    /// Failure domains; daemons and engines are spread over them evenly.
    pub domains: usize,
    /// Kinds of VMs, all with a daemon.
    pub vms: Vec<VmKind>,
    /// Engines.
    pub engines: usize,
    /// Models.
    pub models: usize,
    /// Engines that change what they hold, in a second.
    pub changes_per_s: f64,
    /// Size of what is passed on to each daemon when the configuration changes.
    pub config_bytes: u64,
    /// When configurations change.
    pub config_at_s: Vec<f64>,
    /// Bound on what every daemon must know.
    pub bound_ms: u64,
    /// Quiet time between orders of two VMs.
    pub quiet_ms: u64,
    /// One way between two VMs.
    pub way_ms: f64,
    /// Time of a call to the store.
    pub store_ms: f64,
    /// Time for which a transaction occupies its partition of the store.
    pub transaction_ms: f64,
    /// Where the rows of the leases lie.
    pub lease_rows: LeaseRows,
    /// Who leads.
    pub leaders: Leaders,
    /// What leaders tell.
    pub telling: Telling,
    /// Whether daemons' clocks count the time for which their VMs are suspended.
    #[serde(default)]
    pub clocks: Clocks,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<ControlFault>,
}

/// VMs of one kind.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct VmKind {
    /// How many.
    pub count: usize,
    /// Processor, as a share of a core.
    pub processor_cores: f64,
    /// Bytes that the link carries in a second, one way.
    pub link_bytes_per_s: f64,
}

/// Who leads.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Leaders {
    /// One daemon for all engines.
    One,
    /// One daemon for each failure domain's engines.
    EachDomain,
}

/// Where the rows of the leases lie.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRows {
    /// All in one partition.
    Together,
    /// Each in a partition of its own.
    Apart,
}

/// What leaders tell.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Telling {
    /// Everything that is known, each time.
    Whole {
        /// Size of an answer; 13,000 was measured with 295 daemons and 256 engines.
        answer_bytes: u64,
    },
    /// What has changed since the daemon asked last.
    ByChange,
}

/// What a daemon's clock counts.
#[trestle_macros::wire]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Clocks {
    /// All time that passes.
    #[default]
    Counting,
    /// The time for which its VM runs.
    Standing,
}

/// Something that goes wrong.
#[trestle_macros::wire]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlFault {
    /// All daemons are killed, and start again a while later.
    KillAll {
        /// When.
        at_s: f64,
        /// For how long they are away.
        for_s: f64,
    },
    /// The daemons of a failure domain do not reach the store.
    CutFromStore {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Number of the domain.
        domain: usize,
    },
    /// The store takes several times as long for everything.
    SlowStore {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// How many times as long.
        times: f64,
    },
    /// All leaders are killed, and start again a while later.
    KillLeaders {
        /// When.
        at_s: f64,
        /// For how long they are away.
        for_s: f64,
    },
    /// The VMs of all leaders are suspended, and go on where they were.
    SuspendLeaders {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
}

impl ControlPlan {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails with the place of everything that is wrong.
    pub fn read(path: &Path) -> Result<Self> {
        let (text, name) = file::read(path)?;
        Self::parse(&text, &name)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    ///
    /// Fails with the place of everything that is wrong.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        let plan: Self = file::parse(text, name)?;
        plan.check(name)?;
        Ok(plan)
    }

    fn check(&self, name: &str) -> Result<()> {
        let need = |holds, field: &str, message: &str| file::need(name, holds, field, message);
        need(self.duration_s > 0.0, "duration_s", "must be above 0")?;
        need(self.domains > 0, "domains", "must be at least 1")?;
        need(self.engines > 0, "engines", "must be at least 1")?;
        need(self.store_ms >= 0.0, "store_ms", "must not be negative")?;
        need(self.transaction_ms >= 0.0, "transaction_ms", "must not be negative")?;
        need(self.models >= 4, "models", "must be at least 4")?;
        need(self.changes_per_s >= 0.0, "changes_per_s", "must not be negative")?;
        need(self.daemons() >= self.domains, "vms", "each domain needs one at least")?;
        for (number, kind) in self.vms.iter().enumerate() {
            let field = |name: &str| format!("vms[{number}].{name}");
            need(kind.processor_cores > 0.0, &field("processor_cores"), "must be above 0")?;
            need(kind.link_bytes_per_s > 0.0, &field("link_bytes_per_s"), "must be above 0")?;
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let field = |name: &str| format!("faults[{number}].{name}");
            match fault {
                ControlFault::CutFromStore { domain, .. } => {
                    need(*domain < self.domains, &field("domain"), "there is no such domain")?;
                }
                ControlFault::SlowStore { times, .. } => {
                    need(*times >= 1.0, &field("times"), "must be at least 1")?;
                }
                ControlFault::KillAll { .. }
                | ControlFault::KillLeaders { .. }
                | ControlFault::SuspendLeaders { .. } => {}
            }
        }
        Ok(())
    }

    /// Daemons in all.
    pub fn daemons(&self) -> usize {
        self.vms.iter().map(|kind| kind.count).sum()
    }
}
