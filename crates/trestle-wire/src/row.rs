//! Rows of the platform's table in their stored form.

use crate::{
    error::{ContentSnafu, Inner, Result},
    table::{CommitRequest, ReadResponse, WireRow},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use snafu::ResultExt;
use std::collections::{BTreeMap, BTreeSet};
use trestle_core::{
    endpoint_row::{EndpointRow, Placement, Retiring},
    lease_row::LeaseRow,
    membership_row::{Member, MembershipRow},
    model_row::ModelRow,
    names::VmName,
    row::{Row, RowKey, Rows, Txn, Versioned},
};

/// Stored membership row of a failure domain.
#[trestle_macros::wire]
pub struct WireMembership {
    epoch: u64,
    members: BTreeMap<String, WireMember>,
    #[serde(default)]
    unsettled: BTreeSet<String>,
}

/// Stored member of a failure domain.
#[trestle_macros::wire]
pub struct WireMember {
    address: String,
    incarnation: u64,
    #[serde(default)]
    is_adopter: bool,
}

/// Stored lease of a member.
#[trestle_macros::wire]
pub struct WireMemberLease {
    renewals: u64,
    epoch: u64,
}

/// Stored row of the placements at an endpoint.
#[trestle_macros::wire]
pub struct WireEndpointRow {
    placed: BTreeMap<String, WirePlacement>,
}

/// Stored placement of a model at an endpoint.
#[trestle_macros::wire]
pub struct WirePlacement {
    memory_bytes: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    retiring: Option<WireRetiring>,
}

/// Stored retirement of a placement.
#[trestle_macros::wire]
pub struct WireRetiring {
    epoch: u64,
    waiting_for: BTreeSet<String>,
}

/// Stored row of the replicas of a model.
#[trestle_macros::wire]
pub struct WireModel {
    replicas: BTreeSet<String>,
}

/// Returns the text form of a row's key.
pub fn key_to_string(key: &RowKey) -> String {
    match key {
        RowKey::Membership(domain) => format!("domain/{domain}"),
        RowKey::Lease(domain, vm) => format!("lease/{domain}/{vm}"),
        RowKey::Endpoint(endpoint) => format!("endpoint/{endpoint}"),
        RowKey::Model(model) => format!("model/{model}"),
    }
}

/// Parses the text form of a row's key.
///
/// # Errors
///
/// Fails if the text is not the key of a kind of row that this version knows.
pub fn key_from_str(text: &str) -> Result<RowKey> {
    let unknown = || Inner::Key { key: text.to_owned() };
    let (kind, name) = text.split_once('/').ok_or_else(unknown)?;
    match kind {
        "domain" => Ok(RowKey::Membership(name.into())),
        "endpoint" => Ok(RowKey::Endpoint(name.into())),
        "model" => Ok(RowKey::Model(name.into())),
        "lease" => {
            let (domain, vm) = name.split_once('/').ok_or_else(unknown)?;
            Ok(RowKey::Lease(domain.into(), vm.into()))
        }
        _ => Err(unknown().into()),
    }
}

/// Returns the stored form of a row.
///
/// # Panics
///
/// Never: every row has a stored form.
pub fn row_to_value(row: &Row) -> Value {
    match row {
        Row::Membership(row) => to_value(WireMembership::from(row)),
        Row::Lease(row) => to_value(WireMemberLease { renewals: row.renewals, epoch: row.epoch }),
        Row::Endpoint(row) => to_value(WireEndpointRow::from(row)),
        Row::Model(row) => to_value(WireModel { replicas: strings(&row.replicas) }),
    }
}

/// Parses the stored form of a row.
///
/// # Errors
///
/// Fails if the value does not have the form of the rows that belong to the key.
pub fn row_from_value(key: &RowKey, value: &Value) -> Result<Row> {
    Ok(match key {
        RowKey::Membership(_) => Row::Membership(parse::<WireMembership>(key, value)?.into()),
        RowKey::Lease(..) => {
            let lease: WireMemberLease = parse(key, value)?;
            Row::Lease(LeaseRow { renewals: lease.renewals, epoch: lease.epoch })
        }
        RowKey::Endpoint(_) => Row::Endpoint(parse::<WireEndpointRow>(key, value)?.into()),
        RowKey::Model(_) => {
            let model: WireModel = parse(key, value)?;
            let replicas = model.replicas.into_iter().map(Into::into).collect();
            Row::Model(ModelRow { replicas })
        }
    })
}

impl TryFrom<ReadResponse> for CoreRows {
    type Error = crate::Error;

    fn try_from(response: ReadResponse) -> Result<Self> {
        let mut rows = Rows::new();
        for (key, WireRow { version, value }) in response.rows {
            let key = key_from_str(&key)?;
            let row = value.map(|value| row_from_value(&key, &value)).transpose()?;
            rows.insert(key, Versioned { version, row });
        }
        Ok(Self(rows))
    }
}

/// Rows of a [`ReadResponse`], converted from their stored form.
pub struct CoreRows(pub Rows);

impl From<&Txn> for CommitRequest {
    fn from(txn: &Txn) -> Self {
        let checks = txn.checks.iter().map(|(key, version)| (key_to_string(key), *version));
        let writes = txn
            .writes
            .iter()
            .map(|(key, row)| (key_to_string(key), row.as_ref().map(row_to_value)));
        Self { checks: checks.collect(), writes: writes.collect() }
    }
}

impl From<&MembershipRow> for WireMembership {
    fn from(row: &MembershipRow) -> Self {
        let members = row.members.iter().map(|(vm, member)| {
            let Member { address, incarnation, is_adopter } = member.clone();
            (vm.to_string(), WireMember { address, incarnation, is_adopter })
        });
        Self { epoch: row.epoch, members: members.collect(), unsettled: strings(&row.unsettled) }
    }
}

impl From<WireMembership> for MembershipRow {
    fn from(wire: WireMembership) -> Self {
        let members = wire.members.into_iter().map(|(vm, member)| {
            let WireMember { address, incarnation, is_adopter } = member;
            (VmName::from(vm), Member { address, incarnation, is_adopter })
        });
        Self {
            epoch: wire.epoch,
            members: members.collect(),
            unsettled: wire.unsettled.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<&EndpointRow> for WireEndpointRow {
    fn from(row: &EndpointRow) -> Self {
        let placed = row.placed.iter().map(|(model, placement)| {
            let retiring = placement.retiring.as_ref().map(|retiring| WireRetiring {
                epoch: retiring.epoch,
                waiting_for: strings(&retiring.waiting_for),
            });
            (model.to_string(), WirePlacement { memory_bytes: placement.memory_bytes, retiring })
        });
        Self { placed: placed.collect() }
    }
}

impl From<WireEndpointRow> for EndpointRow {
    fn from(wire: WireEndpointRow) -> Self {
        let placed = wire.placed.into_iter().map(|(model, placement)| {
            let retiring = placement.retiring.map(|retiring| Retiring {
                epoch: retiring.epoch,
                waiting_for: retiring.waiting_for.into_iter().map(Into::into).collect(),
            });
            (model.into(), Placement { memory_bytes: placement.memory_bytes, retiring })
        });
        Self { placed: placed.collect() }
    }
}

fn strings<T: ToString>(names: &BTreeSet<T>) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

fn to_value(row: impl Serialize) -> Value {
    serde_json::to_value(row).expect("a row has string keys and finite numbers")
}

fn parse<T: DeserializeOwned>(key: &RowKey, value: &Value) -> Result<T> {
    let parsed = T::deserialize(value).context(ContentSnafu { key: key_to_string(key) })?;
    Ok(parsed)
}
