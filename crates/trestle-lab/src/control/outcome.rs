//! What came of a day of control.

use std::{collections::BTreeMap, fmt};
use trestle_core::names::DomainName;

/// What came of a day.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Calls to the store.
    pub store_calls: u64,
    /// Leases that were taken.
    pub takeovers: u64,
    /// Seconds in which some group had nobody who may give orders, by group.
    pub orderless_s: BTreeMap<DomainName, f64>,
    /// Seconds in which two daemons might give orders to one group, or followed too closely.
    pub overlaps: u64,
    /// Most bytes that one VM sent in a second, over the day.
    pub most_bytes_per_s: f64,
    /// The same of the middle VM.
    pub middle_bytes_per_s: f64,
    /// Most of a core that one VM used, over the day.
    pub most_cores: f64,
    /// Longest time until a configuration was in force at all daemons that live.
    pub config_ms: u64,
    /// Time from the last fault until all groups had orders again.
    pub recovered_ms: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kb = |bytes: f64| bytes / 1e3;
        writeln!(formatter, "calls to the store      {}", self.store_calls)?;
        writeln!(formatter, "leases taken            {}", self.takeovers)?;
        writeln!(formatter, "orders that came close  {}", self.overlaps)?;
        for (group, seconds) in &self.orderless_s {
            writeln!(formatter, "without orders          {group}: {seconds:.2} s")?;
        }
        let (most, middle) = (kb(self.most_bytes_per_s), kb(self.middle_bytes_per_s));
        writeln!(formatter, "sent by one VM          {most:.1} KB/s, the middle one {middle:.1}")?;
        writeln!(formatter, "processor of one VM     {:.4} of a core", self.most_cores)?;
        writeln!(formatter, "configuration in force  {} ms after its change", self.config_ms)?;
        write!(formatter, "orders again            {} ms after the last fault", self.recovered_ms)
    }
}
