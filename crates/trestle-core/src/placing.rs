//! Decisions to place a model at an endpoint, and to take it away.
//!
//! A placement is durable: it stands in the row of the endpoint and in the row
//! of the model, and both change in one transaction. The transaction also
//! checks that the membership of the domain has not changed, so that only a
//! member decides.
//!
//! A placement is taken away in two steps. The first marks it as retiring and
//! moves the domain to its next epoch. The second removes it, once no owner
//! that has not read the mark can load the model any more:
//!
//! - where the endpoint checks fencing numbers, once it has accepted an order
//!   of the new epoch and a later state shows the model gone;
//! - where it ignores them, once every VM that could act on the placement has
//!   taken note of the new epoch or is gone, and a later state shows the model
//!   gone.

use crate::{
    catalog::{Catalog, EngineSpec},
    endpoint_row::{EndpointRow, Placement, Retiring},
    membership::Membership,
    model_row::ModelRow,
    names::{EndpointName, ModelName, VmName},
    row::{Row, RowKey, Rows, Txn, Versioned},
};
use std::collections::BTreeSet;

/// Models that one transaction places.
const MODELS_PER_TXN: usize = 8;

/// An endpoint whose placements are decided, as it was last read.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Site<'a> {
    /// Its name.
    pub name: &'a EndpointName,
    /// What the configuration says of it.
    pub spec: &'a EngineSpec,
    /// Its row.
    pub row: &'a EndpointRow,
    /// The version of its row.
    pub version: u64,
}

/// Models to place at the endpoint, among those it is a candidate for.
///
/// `patience` counts the rounds since the configuration came into force: each
/// lets one more candidate stand in for better ones that have no room.
pub fn wanted<'a>(site: Site<'_>, catalog: &'a Catalog, patience: usize) -> Vec<&'a ModelName> {
    let is_wanted = |name: &ModelName| {
        let ranked = catalog.candidates(name);
        let rank = ranked.iter().position(|candidate| candidate == site.name);
        let within = catalog.models[name].max_replicas.saturating_add(patience);
        rank.is_some_and(|rank| rank < within) && !site.row.placed.contains_key(name)
    };
    catalog.models.keys().filter(|name| is_wanted(name)).collect()
}

/// A transaction that places models at the endpoint, if any may be placed.
pub fn place(
    site: Site<'_>,
    models: &[&ModelName],
    rows: &Rows,
    catalog: &Catalog,
    membership: &Membership,
) -> Option<Txn> {
    let mut row = site.row.clone();
    let mut txn = Txn::default();
    for name in models {
        let Some(spec) = catalog.models.get(*name) else { continue };
        let (version, mut replicas) = model_row(rows, name);
        let has_room = row.memory_bytes() + spec.memory_bytes <= site.spec.placeable_bytes();
        let may_add = replicas.replicas.len() < spec.max_replicas;
        if !has_room || !may_add || !replicas.replicas.insert(site.name.clone()) {
            continue;
        }
        let placement = Placement { memory_bytes: spec.memory_bytes, retiring: None };
        row.placed.insert((*name).clone(), placement);
        txn.replace(RowKey::Model((*name).clone()), version, Some(Row::Model(replicas)));
        if txn.writes.len() == MODELS_PER_TXN {
            break;
        }
    }
    if txn.writes.is_empty() {
        return None;
    }
    replace_endpoint(&mut txn, site, row);
    txn.checks.insert(membership.key(), membership.version());
    Some(txn)
}

/// Placements that the configuration no longer allows.
pub fn unwanted<'a>(site: Site<'a>, catalog: &Catalog, rows: &Rows) -> Vec<&'a ModelName> {
    let active = site.row.placed.iter().filter(|(_, placement)| placement.retiring.is_none());
    let is_unwanted = |name: &ModelName, placement: &Placement| {
        let Some(spec) = catalog.models.get(name) else { return true };
        if spec.memory_bytes != placement.memory_bytes {
            return true;
        }
        let (_, replicas) = model_row(rows, name);
        let excess = replicas.replicas.len().saturating_sub(spec.max_replicas);
        let ranked = catalog.candidates(name).iter().rev();
        let held = ranked.filter(|candidate| replicas.replicas.contains(*candidate));
        held.take(excess).any(|candidate| candidate == site.name)
    };
    active.filter(|(name, p)| is_unwanted(name, p)).map(|(name, _)| name).collect()
}

/// A transaction that marks placements as retiring and moves the epoch on.
pub fn retire(site: Site<'_>, models: &[&ModelName], membership: &Membership) -> Option<Txn> {
    let next = membership.row().advanced();
    let retiring = Retiring { epoch: next.epoch, waiting_for: membership.row().may_act() };
    let mut row = site.row.clone();
    for name in models {
        row.placed.get_mut(*name)?.retiring = Some(retiring.clone());
    }
    let mut txn = Txn::default();
    replace_endpoint(&mut txn, site, row);
    txn.replace(membership.key(), membership.version(), Some(Row::Membership(next)));
    Some(txn)
}

/// A transaction that takes the marks off placements that are wanted after all.
///
/// A placement that is given back is safe at once, like one that is added.
pub fn keep(
    site: Site<'_>,
    models: &[&ModelName],
    rows: &Rows,
    catalog: &Catalog,
    membership: &Membership,
) -> Option<Txn> {
    let mut row = site.row.clone();
    let mut is_changed = false;
    for name in models {
        let Some(spec) = catalog.models.get(*name) else { continue };
        let placement = row.placed.get_mut(*name)?;
        let (_, replicas) = model_row(rows, name);
        if replicas.replicas.len() > spec.max_replicas
            || spec.memory_bytes != placement.memory_bytes
        {
            continue;
        }
        placement.retiring = None;
        is_changed = true;
    }
    if !is_changed {
        return None;
    }
    let mut txn = Txn::default();
    replace_endpoint(&mut txn, site, row);
    txn.checks.insert(membership.key(), membership.version());
    Some(txn)
}

/// A transaction that removes retired placements and gives their replicas back.
pub fn remove(site: Site<'_>, models: &[&ModelName], rows: &Rows) -> Option<Txn> {
    let mut row = site.row.clone();
    let mut txn = Txn::default();
    for name in models {
        row.placed.remove(*name)?;
        let (version, mut replicas) = model_row(rows, name);
        replicas.replicas.remove(site.name);
        txn.replace(RowKey::Model((*name).clone()), version, Some(Row::Model(replicas)));
    }
    if txn.writes.is_empty() {
        return None;
    }
    replace_endpoint(&mut txn, site, row);
    Some(txn)
}

/// Whether every VM that could act on a retiring placement has taken note.
pub fn is_acknowledged(
    retiring: &Retiring,
    acknowledged: &BTreeSet<VmName>,
    gone: &BTreeSet<VmName>,
) -> bool {
    retiring.waiting_for.iter().all(|vm| acknowledged.contains(vm) || gone.contains(vm))
}

fn replace_endpoint(txn: &mut Txn, site: Site<'_>, row: EndpointRow) {
    txn.replace(RowKey::Endpoint(site.name.clone()), site.version, Some(Row::Endpoint(row)));
}

fn model_row(rows: &Rows, name: &ModelName) -> (u64, ModelRow) {
    match rows.get(&RowKey::Model(name.clone())) {
        Some(Versioned { version, row: Some(Row::Model(row)) }) => (*version, row.clone()),
        Some(absent) => (absent.version, ModelRow::default()),
        None => (0, ModelRow::default()),
    }
}
