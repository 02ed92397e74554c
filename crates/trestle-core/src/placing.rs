//! Transactions that place models at an endpoint and remove them from it.
//!
//! A placement is durable: it is stored in the row of the endpoint and in the row of the model,
//! and both change in one transaction. The transaction also checks that the membership of the
//! domain has not changed, so that only a member decides.
//!
//! A placement is removed in two steps. The first marks it as retiring and advances the epoch
//! of the domain. The second deletes it, once no owner that has not read the mark can load the
//! model any more:
//!
//! - where the endpoint checks fencing numbers, once it has accepted an order of the new epoch
//!   and a later state shows the model gone;
//! - where it ignores them, once every VM that could act on the placement has acknowledged the
//!   new epoch or is gone, and a later state shows the model gone.

use crate::{
    catalog::{Catalog, EngineSpec},
    endpoint_row::{EndpointRow, Placement, Retiring},
    membership::Membership,
    model_row::ModelRow,
    names::{EndpointName, ModelName, VmName},
    row::{Row, RowKey, Rows, Txn, Versioned},
};
use std::collections::BTreeSet;

/// Number of models that one transaction places.
const MODELS_PER_TXN: usize = 8;

/// An endpoint and its row, as last read.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct EndpointSnapshot<'a> {
    /// Name of the endpoint.
    pub name: &'a EndpointName,
    /// Properties of the endpoint in the configuration.
    pub spec: &'a EngineSpec,
    /// Row of the endpoint.
    pub row: &'a EndpointRow,
    /// Version of the row in the table.
    pub version: u64,
}

/// Returns the models that may be placed at the endpoint and are not yet.
///
/// A model may be placed at its first `max_replicas` candidates and at `extra_candidates` more,
/// in case better ones have no room.
pub fn to_place<'a>(
    snapshot: EndpointSnapshot<'_>,
    catalog: &'a Catalog,
    extra_candidates: usize,
) -> Vec<&'a ModelName> {
    let should_place = |name: &ModelName| {
        let ranked = catalog.candidates(name);
        let rank = ranked.iter().position(|candidate| candidate == snapshot.name);
        let rank_limit = catalog.models[name].max_replicas.saturating_add(extra_candidates);
        rank.is_some_and(|rank| rank < rank_limit) && !snapshot.row.placed.contains_key(name)
    };
    catalog.models.keys().filter(|name| should_place(name)).collect()
}

/// Returns a transaction that places models at the endpoint; `None` if none may be placed.
pub fn place(
    snapshot: EndpointSnapshot<'_>,
    models: &[&ModelName],
    rows: &Rows,
    catalog: &Catalog,
    membership: &Membership,
) -> Option<Txn> {
    let mut row = snapshot.row.clone();
    let mut txn = Txn::default();
    for name in models {
        let Some(spec) = catalog.models.get(*name) else { continue };
        let (version, mut replicas) = model_row(rows, name);
        let has_room = row.memory_bytes() + spec.memory_bytes <= snapshot.spec.placeable_bytes();
        let may_add = replicas.replicas.len() < spec.max_replicas;
        if !has_room || !may_add || !replicas.replicas.insert(snapshot.name.clone()) {
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
    replace_endpoint(&mut txn, snapshot, row);
    txn.checks.insert(membership.key(), membership.version());
    Some(txn)
}

/// Returns the models whose placements the configuration no longer allows.
pub fn disallowed<'a>(
    snapshot: EndpointSnapshot<'a>,
    catalog: &Catalog,
    rows: &Rows,
) -> Vec<&'a ModelName> {
    let active = snapshot.row.placed.iter().filter(|(_, placement)| placement.retiring.is_none());
    let is_disallowed = |name: &ModelName, placement: &Placement| {
        let Some(spec) = catalog.models.get(name) else { return true };
        if spec.memory_bytes != placement.memory_bytes {
            return true;
        }
        let (_, replicas) = model_row(rows, name);
        let excess = replicas.replicas.len().saturating_sub(spec.max_replicas);
        let ranked = catalog.candidates(name).iter().rev();
        let occupied = ranked.filter(|candidate| replicas.replicas.contains(*candidate));
        occupied.take(excess).any(|candidate| candidate == snapshot.name)
    };
    active.filter(|(name, p)| is_disallowed(name, p)).map(|(name, _)| name).collect()
}

/// Returns a transaction that marks placements as retiring and advances the epoch; `None` if a
/// model is not placed.
pub fn retire(
    snapshot: EndpointSnapshot<'_>,
    models: &[&ModelName],
    membership: &Membership,
) -> Option<Txn> {
    let next = membership.row().at_next_epoch();
    let retiring = Retiring { epoch: next.epoch, waiting_for: membership.row().potential_actors() };
    let mut row = snapshot.row.clone();
    for name in models {
        row.placed.get_mut(*name)?.retiring = Some(retiring.clone());
    }
    let mut txn = Txn::default();
    replace_endpoint(&mut txn, snapshot, row);
    txn.replace(membership.key(), membership.version(), Some(Row::Membership(next)));
    Some(txn)
}

/// Returns a transaction that unmarks retiring placements that are needed again; `None` if
/// there are none or a model is not placed.
///
/// Restoring a placement is safe at once, like adding one.
pub fn restore(
    snapshot: EndpointSnapshot<'_>,
    models: &[&ModelName],
    rows: &Rows,
    catalog: &Catalog,
    membership: &Membership,
) -> Option<Txn> {
    let mut row = snapshot.row.clone();
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
    replace_endpoint(&mut txn, snapshot, row);
    txn.checks.insert(membership.key(), membership.version());
    Some(txn)
}

/// Returns a transaction that deletes retired placements and releases their replicas; `None` if
/// there are none or a model is not placed.
pub fn remove(snapshot: EndpointSnapshot<'_>, models: &[&ModelName], rows: &Rows) -> Option<Txn> {
    let mut row = snapshot.row.clone();
    let mut txn = Txn::default();
    for name in models {
        row.placed.remove(*name)?;
        let (version, mut replicas) = model_row(rows, name);
        replicas.replicas.remove(snapshot.name);
        txn.replace(RowKey::Model((*name).clone()), version, Some(Row::Model(replicas)));
    }
    if txn.writes.is_empty() {
        return None;
    }
    replace_endpoint(&mut txn, snapshot, row);
    Some(txn)
}

/// Returns whether every VM that could act on a retiring placement has acknowledged it or is
/// gone.
pub fn is_acknowledged(
    retiring: &Retiring,
    acknowledged: &BTreeSet<VmName>,
    gone: &BTreeSet<VmName>,
) -> bool {
    retiring.waiting_for.iter().all(|vm| acknowledged.contains(vm) || gone.contains(vm))
}

fn replace_endpoint(txn: &mut Txn, snapshot: EndpointSnapshot<'_>, row: EndpointRow) {
    txn.replace(
        RowKey::Endpoint(snapshot.name.clone()),
        snapshot.version,
        Some(Row::Endpoint(row)),
    );
}

fn model_row(rows: &Rows, name: &ModelName) -> (u64, ModelRow) {
    match rows.get(&RowKey::Model(name.clone())) {
        Some(Versioned { version, row: Some(Row::Model(row)) }) => (*version, row.clone()),
        Some(absent) => (absent.version, ModelRow::default()),
        None => (0, ModelRow::default()),
    }
}
