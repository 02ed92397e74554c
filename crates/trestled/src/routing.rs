//! What traffic needs to know of configuration and membership.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use trestle_config::Config;
use trestle_core::{
    membership_row::MembershipRow,
    names::{DomainName, EndpointName, VmName},
};

/// What traffic needs to know of configuration and membership.
#[derive(Clone, Default)]
pub(crate) struct Routing {
    /// The configuration in force.
    pub(crate) config: Arc<Config>,
    /// The file of the configuration in force.
    pub(crate) config_text: Arc<str>,
    /// Members of each failure domain, as last read.
    pub(crate) domains: BTreeMap<DomainName, MembershipRow>,
    /// Endpoints that are leaving.
    pub(crate) draining: BTreeSet<String>,
}

impl Routing {
    /// Puts a configuration in force, unless a newer one is.
    pub(crate) fn apply_config(&mut self, config: Arc<Config>, text: Arc<str>) -> bool {
        if config.catalog.version <= self.config.catalog.version {
            return false;
        }
        self.config = config;
        self.config_text = text;
        true
    }

    /// Takes the members of a domain, unless newer ones are known.
    pub(crate) fn apply_members(&mut self, domain: DomainName, row: MembershipRow) {
        let known = self.domains.entry(domain).or_default();
        if row.epoch >= known.epoch {
            *known = row;
        }
    }

    /// The chain of owners of an engine and where peers reach them.
    pub(crate) fn owners(&self, engine: &EndpointName) -> Vec<(VmName, String)> {
        let Some(spec) = self.config.catalog.engines.get(engine) else { return Vec::new() };
        let Some(row) = self.domains.get(&spec.domain) else { return Vec::new() };
        let chain = row.chain(engine).into_iter();
        chain.map(|vm| (vm.clone(), row.members[vm].address.clone())).collect()
    }

    /// The failure domain of an engine.
    pub(crate) fn domain_of(&self, engine: &EndpointName) -> Option<&DomainName> {
        self.config.catalog.engines.get(engine).map(|spec| &spec.domain)
    }

    /// Every failure domain that the configuration names.
    pub(crate) fn domain_names(&self) -> BTreeSet<DomainName> {
        self.config.catalog.engines.values().map(|engine| engine.domain.clone()).collect()
    }
}
