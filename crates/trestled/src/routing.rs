//! The parts of configuration and membership that requests are routed by.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_config::Config;
use trestle_core::{
    membership_row::MembershipRow,
    names::{DomainName, EndpointName, VmName},
};

/// The parts of configuration and membership that requests are routed by.
#[derive(Clone, Default)]
pub(crate) struct Routing {
    /// The configuration in force.
    pub(crate) config: Arc<Config>,
    /// The text of the configuration file in force.
    pub(crate) config_text: Arc<str>,
    /// The members of each failure domain, as last read.
    pub(crate) domains: BTreeMap<DomainName, MembershipRow>,
    /// The names of the VMs and endpoints that are draining.
    pub(crate) draining: BTreeSet<String>,
}

impl Routing {
    /// Puts a configuration in force and returns `true`, unless its version is not newer than that
    /// in force.
    pub(crate) fn apply_config(&mut self, config: Arc<Config>, text: Arc<str>) -> bool {
        if config.catalog.version <= self.config.catalog.version {
            return false;
        }
        self.config = config;
        self.config_text = text;
        true
    }

    /// Stores the members of a failure domain, unless those known are of a later epoch.
    pub(crate) fn apply_members(&mut self, domain: DomainName, row: MembershipRow) {
        let known = self.domains.entry(domain).or_default();
        if row.epoch >= known.epoch {
            *known = row;
        }
    }

    /// Returns the chain of owners of an engine, with the addresses at which peers reach them. It
    /// is empty if the engine or the members of its failure domain are not known.
    pub(crate) fn owners(&self, engine: &EndpointName) -> Vec<(VmName, String)> {
        let Some(spec) = self.config.catalog.engines.get(engine) else { return Vec::new() };
        let Some(row) = self.domains.get(&spec.domain) else { return Vec::new() };
        let chain = row.chain(engine).into_iter();
        chain.map(|vm| (vm.clone(), row.members[vm].address.clone())).collect()
    }

    /// Returns the failure domain of an engine; `None` if the engine is not known.
    pub(crate) fn domain_of(&self, engine: &EndpointName) -> Option<&DomainName> {
        self.config.catalog.engines.get(engine).map(|spec| &spec.domain)
    }

    /// Returns the failure domains of all engines in the configuration.
    pub(crate) fn domain_names(&self) -> BTreeSet<DomainName> {
        self.config.catalog.engines.values().map(|engine| engine.domain.clone()).collect()
    }
}
