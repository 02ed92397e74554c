//! The outcome of a simulation of the control plane.

use std::{collections::BTreeMap, fmt};
use trestle_core::names::DomainName;

/// The outcome of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Number of times that a lease was acquired.
    pub takeovers: u64,
    /// Seconds in which no daemon might give orders to a group, by group; groups without such a
    /// time are absent.
    pub without_orders_s: BTreeMap<DomainName, f64>,
    /// Number of samples in which two daemons might give orders to one group, or one followed
    /// another within the quiet time.
    pub overlaps: u64,
    /// Highest rate of bytes that one VM sent, as a mean over the run.
    pub max_bytes_per_s: f64,
    /// Median over all VMs of the rate of bytes sent.
    pub median_bytes_per_s: f64,
    /// Highest share of a core that one VM used, as a mean over the run.
    pub max_cores: f64,
    /// Longest time until a configuration was in force at all running daemons.
    pub config_rollout_ms: u64,
    /// Time from the end of the last fault until every group had a leader that may give orders.
    pub recovery_ms: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kb = |bytes: f64| bytes / 1e3;
        writeln!(formatter, "calls to the store      {}", self.store_calls)?;
        writeln!(formatter, "leases acquired         {}", self.takeovers)?;
        writeln!(formatter, "overlapping orders      {}", self.overlaps)?;
        for (group, seconds) in &self.without_orders_s {
            writeln!(formatter, "without orders          {group}: {seconds:.2} s")?;
        }
        let (max, median) = (kb(self.max_bytes_per_s), kb(self.median_bytes_per_s));
        writeln!(formatter, "highest sent by a VM    {max:.1} KB/s, median {median:.1}")?;
        writeln!(formatter, "highest processor use   {:.4} of a core", self.max_cores)?;
        writeln!(
            formatter,
            "configuration in force  {} ms after its change",
            self.config_rollout_ms
        )?;
        write!(formatter, "orders resumed          {} ms after the last fault", self.recovery_ms)
    }
}
