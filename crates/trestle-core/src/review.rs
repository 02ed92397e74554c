//! Rounds in which a node decides what is placed at the endpoints it owns.

use crate::{
    candidates::MAX_CANDIDATES,
    catalog::Fencing,
    event::{Action, CommitPurpose, ReadPurpose},
    names::{EndpointName, ModelName, VmName},
    node::Node,
    placing::{self, Site},
    row::{Row, RowKey, Rows, Txn, Versioned},
    seat::Seat,
};
use std::collections::{BTreeMap, BTreeSet};

/// When the next round is due, and what the last ones have found.
#[trestle_macros::plain]
#[derive(Default)]
pub(crate) struct Review {
    next_ms: u64,
    round: usize,
    is_reading: bool,
    acknowledged_since_ms: BTreeMap<(EndpointName, ModelName), u64>,
}

impl Review {
    /// Starts over after the configuration has changed.
    pub(crate) fn begin_again(&mut self, now_ms: u64) {
        self.round = 0;
        self.next_ms = now_ms;
    }

    /// Starts a round at the next opportunity.
    pub(crate) fn begin_soon(&mut self, now_ms: u64) {
        self.next_ms = now_ms;
    }
}

impl Node {
    /// Reads the rows that decisions about placements need, if a round is due.
    pub(crate) fn start_review(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_due = now_ms >= self.review.next_ms && !self.review.is_reading;
        if !is_due || !self.membership.lease_is_fresh(now_ms) {
            return;
        }
        let keys = self.keys_to_review();
        self.review.next_ms = now_ms + self.timing.review_ms;
        if keys.is_empty() {
            return;
        }
        self.review.is_reading = true;
        actions.push(Action::Read(ReadPurpose::Review, keys.into_iter().collect()));
    }

    /// Takes the rows and changes what has to be changed.
    pub(crate) fn on_review(&mut self, rows: Option<Rows>, now_ms: u64, actions: &mut Vec<Action>) {
        self.review.is_reading = false;
        let Some(rows) = rows else { return };
        if self.review.round < MAX_CANDIDATES {
            self.review.round += 1;
            self.review.next_ms = now_ms + self.timing.placing_ms;
        }
        let endpoints: Vec<EndpointName> = self.reviewed().map(|(name, _)| name.clone()).collect();
        for endpoint in endpoints {
            self.review_endpoint(&endpoint, &rows, now_ms, actions);
        }
    }

    fn review_endpoint(
        &mut self,
        endpoint: &EndpointName,
        rows: &Rows,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.take_endpoint_row(endpoint, rows);
        let Some(txn) = self.placing_txn(endpoint, rows, now_ms) else { return };
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.is_writing = true;
        }
        actions.push(Action::Commit(CommitPurpose::Placing(endpoint.clone()), txn));
    }

    fn placing_txn(&mut self, endpoint: &EndpointName, rows: &Rows, now_ms: u64) -> Option<Txn> {
        let removable = self.removable(endpoint, rows, now_ms);
        let seat = self.seats.get(endpoint)?;
        let site = self.site(endpoint, seat)?;
        if !removable.is_empty() {
            return placing::remove(site, &removable.iter().collect::<Vec<_>>(), rows);
        }
        if self.vms.is_leaving(endpoint.as_str()) {
            let active = seat.row.placed.keys().filter(|model| seat.row.is_active(model));
            let models: Vec<&ModelName> = active.collect();
            return (!models.is_empty())
                .then(|| placing::retire(site, &models, &self.membership))
                .flatten();
        }
        let unwanted = placing::unwanted(site, &self.catalog, rows);
        if !unwanted.is_empty() {
            return placing::retire(site, &unwanted, &self.membership);
        }
        let wanted = placing::wanted(site, &self.catalog, self.review.round.saturating_sub(1));
        placing::place(site, &wanted, rows, &self.catalog, &self.membership)
    }

    /// Retired placements that no owner can load any more.
    fn removable(&mut self, endpoint: &EndpointName, rows: &Rows, now_ms: u64) -> Vec<ModelName> {
        let Some(seat) = self.seats.get(endpoint) else { return Vec::new() };
        if self.vms.is_gone(endpoint.as_str(), &self.timing) {
            return seat.row.placed.keys().cloned().collect();
        }
        let Some(owned) = seat.owned() else { return Vec::new() };
        let mut removable = Vec::new();
        for (model, placement) in &seat.row.placed {
            let Some(retiring) = &placement.retiring else { continue };
            let is_current = owned.is_confirmed() && owned.fence().epoch() >= retiring.epoch;
            if !is_current || !owned.is_absent(model) {
                continue;
            }
            let key = (endpoint.clone(), model.clone());
            let is_settled = match self.catalog.engines.get(endpoint).map(|spec| spec.fencing) {
                Some(Fencing::Checked) => true,
                _ => {
                    let acknowledged = self.acknowledged(rows, retiring.epoch);
                    let gone = self.gone_vms();
                    if placing::is_acknowledged(retiring, &acknowledged, &gone) {
                        let since_ms =
                            *self.review.acknowledged_since_ms.entry(key).or_insert(now_ms);
                        now_ms >= since_ms + self.timing.settle_ms
                    } else {
                        false
                    }
                }
            };
            if is_settled {
                removable.push(model.clone());
            }
        }
        removable
    }

    /// VMs whose lease says that they act on the epoch or a later one.
    fn acknowledged(&self, rows: &Rows, epoch: u64) -> BTreeSet<VmName> {
        let leases = rows.iter().filter_map(|(key, versioned)| match (key, versioned) {
            (RowKey::Lease(_, vm), Versioned { row: Some(Row::Lease(lease)), .. }) => {
                Some((vm, lease))
            }
            _ => None,
        });
        leases.filter(|(_, lease)| lease.epoch >= epoch).map(|(vm, _)| vm.clone()).collect()
    }

    fn gone_vms(&self) -> BTreeSet<VmName> {
        self.vms.gone(&self.timing).into_iter().map(VmName::from).collect()
    }

    fn keys_to_review(&self) -> BTreeSet<RowKey> {
        let mut keys = BTreeSet::new();
        for (endpoint, seat) in self.reviewed() {
            let Some(site) = self.site(endpoint, seat) else { continue };
            let wanted = placing::wanted(site, &self.catalog, self.review.round);
            let models: BTreeSet<&ModelName> =
                wanted.into_iter().chain(seat.row.placed.keys()).collect();
            if models.is_empty() {
                continue;
            }
            keys.insert(RowKey::Endpoint(endpoint.clone()));
            keys.extend(models.into_iter().map(|model| RowKey::Model(model.clone())));
            keys.extend(self.lease_keys(seat));
        }
        keys
    }

    fn lease_keys(&self, seat: &Seat) -> BTreeSet<RowKey> {
        let retiring = seat.row.placed.values().filter_map(|placement| placement.retiring.as_ref());
        let vms = retiring.flat_map(|retiring| &retiring.waiting_for);
        vms.map(|vm| RowKey::Lease(self.membership.domain().clone(), vm.clone())).collect()
    }

    /// Endpoints that this daemon has claimed and has no transaction under way for.
    fn reviewed(&self) -> impl Iterator<Item = (&EndpointName, &Seat)> {
        self.seats.iter().filter(|(endpoint, seat)| {
            let is_gone = self.vms.is_gone(endpoint.as_str(), &self.timing);
            let is_claimed = seat.owned().is_some_and(|owned| owned.is_confirmed() || is_gone);
            is_claimed && !seat.is_writing
        })
    }

    fn site<'a>(&'a self, name: &'a EndpointName, seat: &'a Seat) -> Option<Site<'a>> {
        let spec = self.catalog.engines.get(name)?;
        Some(Site { name, spec, row: &seat.row, version: seat.version })
    }

    fn take_endpoint_row(&mut self, endpoint: &EndpointName, rows: &Rows) {
        let Some(seat) = self.seats.get_mut(endpoint) else { return };
        let Some(read) = rows.get(&RowKey::Endpoint(endpoint.clone())) else { return };
        if read.version < seat.version {
            return;
        }
        seat.version = read.version;
        if let Some(Row::Endpoint(row)) = &read.row {
            seat.row = row.clone();
        }
    }
}
