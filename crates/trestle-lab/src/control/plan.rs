//! A control plan: the deployment and faults to simulate, as its file describes them.

use crate::{error::Result, file};
use std::path::Path;

/// The control plane of one deployment, with the faults to inject.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ControlPlan {
    /// Length of the simulated period.
    pub duration_s: f64,
    /// Number of failure domains; daemons and engines are spread over them evenly.
    pub domains: usize,
    /// Kinds of VMs; each VM runs a daemon.
    pub vms: Vec<VmKind>,
    /// Number of engines.
    pub engines: usize,
    /// Number of models.
    pub models: usize,
    /// Engines that replace one of their models, per second.
    pub changes_per_s: f64,
    /// Size of what a leader sends each daemon when the configuration changes.
    pub config_bytes: u64,
    /// Times at which the configuration changes.
    pub config_at_s: Vec<f64>,
    /// Bound on the age of what every daemon must know.
    pub bound_ms: u64,
    /// Quiet time between orders of two VMs to the same group.
    pub quiet_ms: u64,
    /// One-way delay between two VMs.
    pub way_ms: f64,
    /// Duration of a call to the store.
    pub store_ms: f64,
    /// Time for which a transaction occupies its partition of the store.
    pub transaction_ms: f64,
    /// How lease rows are spread over partitions of the store.
    pub lease_rows: LeaseRows,
    /// Which groups have a leader each.
    pub leaders: Leaders,
    /// What leaders send in an answer.
    pub telling: AnswerFormat,
    /// Whether daemons' clocks count the time for which their VMs are suspended.
    #[serde(default)]
    pub clocks: Clocks,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<ControlFault>,
}

/// VMs of one kind.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct VmKind {
    /// Number of VMs.
    pub count: usize,
    /// Speed of the processor, as a share of a core.
    pub processor_cores: f64,
    /// Outgoing bandwidth of the link.
    pub link_bytes_per_s: f64,
}

/// Which groups have a leader each.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Leaders {
    /// One daemon leads all engines.
    One,
    /// One daemon for each failure domain leads its engines.
    EachDomain,
}

/// How lease rows are spread over partitions of the store.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRows {
    /// All rows are in one partition.
    Together,
    /// Each row is in a partition of its own.
    Apart,
}

/// What leaders send in an answer.
#[trestle_macros::wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFormat {
    /// Each answer has the whole view of the leader.
    Whole {
        /// Size of an answer; about 13,000 with 295 daemons and 256 engines.
        answer_bytes: u64,
    },
    /// Each answer has what has changed since the daemon's last request.
    ByChange,
}

/// What a daemon's clock counts.
#[trestle_macros::wire]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Clocks {
    /// All time that passes, also while the VM is suspended.
    #[default]
    Counting,
    /// Only the time for which the VM runs.
    Standing,
}

/// A fault to inject.
#[trestle_macros::wire]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlFault {
    /// All daemons are killed and start again later.
    KillAll {
        /// When the fault begins.
        at_s: f64,
        /// Time until the daemons start again.
        for_s: f64,
    },
    /// The daemons of a failure domain cannot reach the store.
    CutFromStore {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
        /// Number of the failure domain.
        domain: usize,
    },
    /// All operations of the store take longer.
    SlowStore {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
        /// Factor on the duration of operations.
        times: f64,
    },
    /// All leaders are killed and start again later.
    KillLeaders {
        /// When the fault begins.
        at_s: f64,
        /// Time until the daemons start again.
        for_s: f64,
    },
    /// The VMs of all leaders are suspended, then continue where they stopped.
    SuspendLeaders {
        /// When the fault begins.
        at_s: f64,
        /// How long the fault lasts.
        for_s: f64,
    },
}

impl ControlPlan {
    /// Reads a plan from a file and checks it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or is invalid; the error names the position of what is
    /// invalid.
    pub fn read(path: &Path) -> Result<Self> {
        let (text, name) = file::read(path)?;
        Self::parse(&text, &name)
    }

    /// Reads a plan from the text of a file and checks it; `name` is the file's name in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid; the error names the position of what is
    /// invalid.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        let plan: Self = file::parse(text, name)?;
        plan.check(name)?;
        Ok(plan)
    }

    fn check(&self, name: &str) -> Result<()> {
        let require =
            |condition, field: &str, message: &str| file::require(name, condition, field, message);
        require(self.duration_s > 0.0, "duration_s", "must be above 0")?;
        require(self.domains > 0, "domains", "must be at least 1")?;
        require(self.engines > 0, "engines", "must be at least 1")?;
        require(self.store_ms >= 0.0, "store_ms", "must not be negative")?;
        require(self.transaction_ms >= 0.0, "transaction_ms", "must not be negative")?;
        require(self.models >= 4, "models", "must be at least 4")?;
        require(self.changes_per_s >= 0.0, "changes_per_s", "must not be negative")?;
        require(
            self.daemons() >= self.domains,
            "vms",
            "must have at least one VM for each domain",
        )?;
        for (number, kind) in self.vms.iter().enumerate() {
            let field = |name: &str| format!("vms[{number}].{name}");
            require(kind.processor_cores > 0.0, &field("processor_cores"), "must be above 0")?;
            require(kind.link_bytes_per_s > 0.0, &field("link_bytes_per_s"), "must be above 0")?;
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let field = |name: &str| format!("faults[{number}].{name}");
            match fault {
                ControlFault::CutFromStore { domain, .. } => {
                    require(
                        *domain < self.domains,
                        &field("domain"),
                        "must be less than `domains`",
                    )?;
                }
                ControlFault::SlowStore { times, .. } => {
                    require(*times >= 1.0, &field("times"), "must be at least 1")?;
                }
                ControlFault::KillAll { .. }
                | ControlFault::KillLeaders { .. }
                | ControlFault::SuspendLeaders { .. } => {}
            }
        }
        Ok(())
    }

    /// Returns the number of daemons, which is that of VMs.
    pub fn daemons(&self) -> usize {
        self.vms.iter().map(|kind| kind.count).sum()
    }
}
