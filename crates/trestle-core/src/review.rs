//! Review rounds, in which a daemon decides which models are placed at the endpoints it owns.

use crate::{
    candidates::MAX_CANDIDATES,
    catalog::Fencing,
    chain_position::ChainPosition,
    control_state::ControlState,
    endpoint_row::Retiring,
    event::{Action, CommitPurpose, ReadPurpose},
    names::{EndpointName, ModelName, VmName},
    placing::{self, EndpointSnapshot},
    row::{Row, RowKey, Rows, Txn, Versioned},
    timing::Timing,
};
use std::collections::{BTreeMap, BTreeSet};

/// Schedule of the review rounds, and what earlier rounds have found.
#[trestle_macros::plain]
#[derive(Default)]
pub(crate) struct Review {
    next_ms: u64,
    round: usize,
    is_reading: bool,
    acknowledged_since_ms: BTreeMap<(EndpointName, ModelName), u64>,
}

impl Review {
    /// Restarts the rounds after the configuration has changed.
    pub(crate) fn restart(&mut self, now_ms: u64) {
        self.round = 0;
        self.next_ms = now_ms;
    }

    /// Schedules the next round. The first rounds follow each other closely, and each admits one
    /// more candidate of each model.
    fn schedule_next(&mut self, now_ms: u64, timing: &Timing) {
        let is_early = self.round < MAX_CANDIDATES;
        self.next_ms = now_ms + if is_early { timing.placing_ms } else { timing.review_ms };
        self.round = (self.round + 1).min(MAX_CANDIDATES);
    }

    /// Returns how many candidates beyond a model's replica limit may place it by now.
    fn extra_candidates(&self) -> usize {
        self.round.saturating_sub(1)
    }

    /// Makes the next round due at once.
    pub(crate) fn schedule_now(&mut self, now_ms: u64) {
        self.next_ms = now_ms;
    }
}

impl ControlState {
    /// Reads the rows that decisions about placements need, if a round is due.
    pub(crate) fn start_review(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_due = now_ms >= self.review.next_ms && !self.review.is_reading;
        if !is_due || !self.membership.lease_is_fresh(now_ms) {
            return;
        }
        let keys = self.keys_to_review();
        self.review.schedule_next(now_ms, &self.timing);
        if keys.is_empty() {
            return;
        }
        self.review.is_reading = true;
        actions.push(Action::Read(ReadPurpose::Review, keys.into_iter().collect()));
    }

    /// Decides from the rows which placements change, and commits the changes.
    pub(crate) fn on_review(&mut self, rows: Option<Rows>, now_ms: u64, actions: &mut Vec<Action>) {
        self.review.is_reading = false;
        let Some(rows) = rows else { return };
        let endpoints: Vec<EndpointName> =
            self.reviewable().map(|(name, _)| name.clone()).collect();
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
        self.update_endpoint_row(endpoint, rows);
        let Some(txn) = self.placing_txn(endpoint, rows, now_ms) else { return };
        if let Some(position) = self.chain_positions.get_mut(endpoint) {
            position.is_writing = true;
        }
        actions.push(Action::Commit(CommitPurpose::Placing(endpoint.clone()), txn));
    }

    fn placing_txn(&mut self, endpoint: &EndpointName, rows: &Rows, now_ms: u64) -> Option<Txn> {
        let settled_retirements = self.settled_retirements(endpoint, rows, now_ms);
        let removable = self.removable(endpoint, &settled_retirements, now_ms);
        if let Some(owned) = self.chain_positions.get_mut(endpoint)?.owned_endpoint_mut() {
            owned.set_exclusive(settled_retirements);
        }
        let position = self.chain_positions.get(endpoint)?;
        let snapshot = self.snapshot(endpoint, position)?;
        if !removable.is_empty() {
            return placing::remove(snapshot, &removable.iter().collect::<Vec<_>>(), rows);
        }
        let is_draining = self.vms.is_draining(endpoint.as_str());
        let disallowed = if is_draining {
            position.row.placed.keys().filter(|model| position.row.is_active(model)).collect()
        } else {
            placing::disallowed(snapshot, &self.catalog, rows)
        };
        if !disallowed.is_empty() {
            return placing::retire(snapshot, &disallowed, &self.membership);
        }
        if is_draining {
            return None;
        }
        if let Some(txn) = self.retire_idle_or_restore(snapshot, position, rows, now_ms) {
            return Some(txn);
        }
        let to_place = placing::to_place(snapshot, &self.catalog, self.review.extra_candidates());
        placing::place(snapshot, &to_place, rows, &self.catalog, &self.membership)
    }

    /// Retires the placement of an idle model at an endpoint that ignores fencing numbers, or
    /// restores it if a request has come in time.
    ///
    /// Such an endpoint cannot tell the owner's unload order from one of a former owner, so a model
    /// is unloaded there only once no other daemon can grant permits for it.
    fn retire_idle_or_restore(
        &self,
        snapshot: EndpointSnapshot<'_>,
        position: &ChainPosition,
        rows: &Rows,
        now_ms: u64,
    ) -> Option<Txn> {
        let owned =
            position.owned_endpoint().filter(|_| snapshot.spec.fencing == Fencing::Ignored)?;
        let is_used_again = |model: &&ModelName| {
            let is_retiring = !position.row.is_active(model);
            is_retiring && owned.is_in_use(model, &self.catalog, now_ms)
        };
        let used_again: Vec<&ModelName> =
            position.row.placed.keys().filter(is_used_again).collect();
        if !used_again.is_empty() {
            return placing::restore(snapshot, &used_again, rows, &self.catalog, &self.membership);
        }
        let idle = owned.unneeded(&position.row, &self.catalog, now_ms)?;
        let is_active = position.row.is_active(&idle);
        is_active.then(|| placing::retire(snapshot, &[&idle], &self.membership)).flatten()
    }

    /// Returns the retiring placements on which no owner but this one can act any more.
    fn settled_retirements(
        &mut self,
        endpoint: &EndpointName,
        rows: &Rows,
        now_ms: u64,
    ) -> BTreeSet<ModelName> {
        let Some(position) = self.chain_positions.get(endpoint) else { return BTreeSet::new() };
        let Some(owned) = position.owned_endpoint() else { return BTreeSet::new() };
        let fencing = self.catalog.engines.get(endpoint).map(|spec| spec.fencing);
        let mut settled_retirements = BTreeSet::new();
        for (model, placement) in &position.row.placed {
            let key = (endpoint.clone(), model.clone());
            let Some(retiring) = &placement.retiring else {
                self.review.acknowledged_since_ms.remove(&key);
                continue;
            };
            let is_current = owned.is_confirmed() && owned.fence().epoch() >= retiring.epoch;
            if is_current && fencing == Some(Fencing::Checked) {
                settled_retirements.insert(model.clone());
            } else if is_current && self.is_acknowledged(retiring, rows) {
                let since_ms = *self.review.acknowledged_since_ms.entry(key).or_insert(now_ms);
                if now_ms >= since_ms + self.timing.order_settle_ms {
                    settled_retirements.insert(model.clone());
                }
            } else {
                self.review.acknowledged_since_ms.remove(&key);
            }
        }
        settled_retirements
    }

    /// Returns whether every VM that could act on the placement has either acknowledged its
    /// retirement or is gone.
    fn is_acknowledged(&self, retiring: &Retiring, rows: &Rows) -> bool {
        let acknowledged = self.acknowledged(rows, retiring.epoch);
        let gone = self.gone_vms();
        let unsettled = &self.membership.row().unsettled;
        let is_settled = |vm: &VmName| gone.contains(vm) || !unsettled.contains(vm);
        placing::is_acknowledged(retiring, &acknowledged, &gone)
            && retiring.waiting_for.iter().all(is_settled)
    }

    /// Returns the retiring placements that can be removed because their models are unloaded and
    /// can no longer be loaded.
    fn removable(
        &self,
        endpoint: &EndpointName,
        settled_retirements: &BTreeSet<ModelName>,
        now_ms: u64,
    ) -> Vec<ModelName> {
        let Some(position) = self.chain_positions.get(endpoint) else { return Vec::new() };
        if self.vms.is_gone(endpoint.as_str(), &self.timing) {
            return position.row.placed.keys().cloned().collect();
        }
        let Some(owned) = position.owned_endpoint() else { return Vec::new() };
        let is_checked =
            self.catalog.engines.get(endpoint).is_some_and(|spec| spec.fencing == Fencing::Checked);
        if !is_checked && !owned.unloads_have_settled(now_ms) {
            return Vec::new();
        }
        settled_retirements.iter().filter(|model| owned.is_absent(model)).cloned().collect()
    }

    /// Returns the VMs whose leases show that they act on the epoch or a later one.
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
        for (endpoint, position) in self.reviewable() {
            let Some(snapshot) = self.snapshot(endpoint, position) else { continue };
            let to_place =
                placing::to_place(snapshot, &self.catalog, self.review.extra_candidates());
            let models: BTreeSet<&ModelName> =
                to_place.into_iter().chain(position.row.placed.keys()).collect();
            if models.is_empty() {
                continue;
            }
            keys.insert(RowKey::Endpoint(endpoint.clone()));
            keys.extend(models.into_iter().map(|model| RowKey::Model(model.clone())));
            keys.extend(self.lease_keys(position));
        }
        keys
    }

    fn lease_keys(&self, position: &ChainPosition) -> BTreeSet<RowKey> {
        let retiring =
            position.row.placed.values().filter_map(|placement| placement.retiring.as_ref());
        let vms = retiring.flat_map(|retiring| &retiring.waiting_for);
        vms.map(|vm| RowKey::Lease(self.membership.domain().clone(), vm.clone())).collect()
    }

    /// Returns the endpoints that have accepted this owner, or are gone, and whose rows have no
    /// transaction in progress.
    fn reviewable(&self) -> impl Iterator<Item = (&EndpointName, &ChainPosition)> {
        self.chain_positions.iter().filter(|(endpoint, position)| {
            let is_gone = self.vms.is_gone(endpoint.as_str(), &self.timing);
            let is_claimed =
                position.owned_endpoint().is_some_and(|owned| owned.is_confirmed() || is_gone);
            is_claimed && !position.is_writing
        })
    }

    fn snapshot<'a>(
        &'a self,
        name: &'a EndpointName,
        position: &'a ChainPosition,
    ) -> Option<EndpointSnapshot<'a>> {
        let spec = self.catalog.engines.get(name)?;
        Some(EndpointSnapshot { name, spec, row: &position.row, version: position.version })
    }

    fn update_endpoint_row(&mut self, endpoint: &EndpointName, rows: &Rows) {
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        let Some(read) = rows.get(&RowKey::Endpoint(endpoint.clone())) else { return };
        if read.version < position.version {
            return;
        }
        position.version = read.version;
        if let Some(Row::Endpoint(row)) = &read.row {
            position.row = row.clone();
        }
    }
}
