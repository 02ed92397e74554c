//! Simulated table of the platform.

use std::collections::{BTreeMap, BTreeSet};
use trestle_core::{
    catalog::{Catalog, Fencing},
    names::{EndpointName, ModelName},
    row::{CommitOutcome, Row, RowKey, Rows, Txn, Versioned},
};

/// Simulated table of the platform, which checks its rows after each write.
#[derive(Default)]
pub(crate) struct Table {
    rows: BTreeMap<RowKey, Row>,
    versions: BTreeMap<RowKey, u64>,
    pub(crate) writes: u64,
    pub(crate) reads: u64,
}

impl Table {
    pub(crate) fn read(&mut self, keys: &[RowKey]) -> Rows {
        self.reads += 1;
        let read = keys.iter().filter_map(|key| {
            let version = *self.versions.get(key)?;
            Some((key.clone(), Versioned { version, row: self.rows.get(key).cloned() }))
        });
        read.collect()
    }

    pub(crate) fn commit(&mut self, txn: Txn, catalog: &Catalog) -> CommitOutcome {
        let version = |key: &RowKey| self.versions.get(key).copied().unwrap_or(0);
        if txn.checks.iter().any(|(key, expected)| version(key) != *expected) {
            return CommitOutcome::Conflict;
        }
        self.writes += 1;
        for (key, row) in txn.writes {
            *self.versions.entry(key.clone()).or_default() += 1;
            match row {
                Some(row) => self.rows.insert(key, row),
                None => self.rows.remove(&key),
            };
        }
        self.check(catalog);
        CommitOutcome::Committed
    }

    /// Returns the models that are recorded as replicas at an endpoint.
    pub(crate) fn recorded_models(&self, endpoint: &EndpointName) -> BTreeSet<ModelName> {
        super::recorded_in(&self.rows, endpoint)
    }

    /// Returns the number of recorded replicas of a model.
    pub(crate) fn replicas(&self, model: &str) -> usize {
        match self.rows.get(&RowKey::Model(model.into())) {
            Some(Row::Model(row)) => row.replicas.len(),
            _ => 0,
        }
    }

    /// Checks that no model has more replicas than the largest limit of any configuration, and that
    /// the placements at an endpoint that ignores fencing numbers fit into its memory together.
    fn check(&self, catalog: &Catalog) {
        for (key, row) in &self.rows {
            match (key, row) {
                (RowKey::Model(model), Row::Model(row)) => {
                    assert!(row.replicas.len() <= 2, "{model} has too many replicas: {row:?}");
                }
                (RowKey::Endpoint(endpoint), Row::Endpoint(row)) => {
                    let spec = &catalog.engines[endpoint];
                    let fits = row.memory_bytes() <= spec.memory_bytes;
                    let is_checked = spec.fencing == Fencing::Checked;
                    assert!(is_checked || fits, "the placements at {endpoint} do not fit: {row:?}");
                }
                _ => {}
            }
        }
    }
}
