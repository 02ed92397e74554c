//! Positions of the daemon in the chains of endpoints: which rows it reads, when it becomes an
//! owner, and which daemon answers a permit request.

use super::{CHAIN_LENGTH, ControlState, ROW_CHANGE_PAUSE_MS, not_owner, release_ownership};
use crate::{
    chain_position::{ChainPosition, Probe, Role},
    endpoint_row::EndpointRow,
    event::{Action, ReadPurpose},
    fence::Fence,
    names::{EndpointName, VmName},
    owned_endpoint::OwnedEndpoint,
    permit::PermitRequest,
    row::{Row, RowKey, Rows, Versioned},
};
use std::collections::BTreeMap;

impl ControlState {
    /// Reads the rows of the endpoints whose chains include this daemon.
    pub(super) fn read_placements(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.is_reading_placements || !self.membership.is_member() {
            return;
        }
        self.is_reading_placements = true;
        self.next_refresh_ms = now_ms + self.timing.refresh_ms;
        let epoch = self.membership.row().epoch;
        let keys = self.chained_endpoints().map(|(name, _)| RowKey::Endpoint(name)).collect();
        actions.push(Action::Read(ReadPurpose::Placements { epoch }, keys));
    }

    /// Notifies the other members of the endpoint's chain that its row has changed; without this
    /// they would read the change only with their next periodic read.
    pub(super) fn notify_successors(&self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let row = self.membership.row();
        let others = row.chain(endpoint).into_iter().take(usize::from(CHAIN_LENGTH));
        for vm in others.filter(|vm| *vm != self.membership.own_vm()) {
            let address = row.members[vm].address.clone();
            actions.push(Action::Notify { vm: vm.clone(), address, endpoint: endpoint.clone() });
        }
    }

    pub(super) fn on_row_changed(&mut self, endpoint: &EndpointName, now_ms: u64) {
        if self.chain_positions.contains_key(endpoint) {
            self.next_refresh_ms = self.next_refresh_ms.min(now_ms + ROW_CHANGE_PAUSE_MS);
        }
    }

    pub(super) fn read_placements_if_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms >= self.next_refresh_ms {
            self.read_placements(now_ms, actions);
        }
    }

    /// Applies the rows that were read, and with them the epoch that was known before the read.
    pub(super) fn on_placements(
        &mut self,
        epoch: u64,
        rows: Option<&Rows>,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.is_reading_placements = false;
        let Some(rows) = rows else {
            self.next_refresh_ms = now_ms + self.timing.lease_ms;
            return;
        };
        if epoch != self.membership.row().epoch {
            self.read_placements(now_ms, actions);
            return;
        }
        self.acted_epoch = epoch;
        self.update_load_limit();
        let chained: BTreeMap<EndpointName, u8> = self.chained_endpoints().collect();
        self.drop_positions(|endpoint| !chained.contains_key(endpoint), actions);
        for (endpoint, rank) in chained {
            let (version, row) = endpoint_row(rows, &endpoint);
            self.update_position(
                &endpoint,
                ChainPosition::standby(epoch, rank, row, version),
                now_ms,
                actions,
            );
        }
    }

    /// Updates a position from a read; its role and its pending requests stay.
    fn update_position(
        &mut self,
        endpoint: &EndpointName,
        read: ChainPosition,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_new_epoch =
            self.chain_positions.get(endpoint).is_none_or(|position| position.epoch != read.epoch);
        let position = self.chain_positions.entry(endpoint.clone()).or_insert_with(|| read.clone());
        position.epoch = read.epoch;
        position.rank = read.rank;
        if read.version >= position.version {
            position.version = read.version;
            position.row = read.row;
        }
        if is_new_epoch {
            self.begin_epoch(endpoint, now_ms, actions);
        } else if position.owned_endpoint().is_some() {
            for request in std::mem::take(&mut position.pending) {
                self.on_permit_request(request, now_ms, actions);
            }
        }
    }

    fn begin_epoch(&mut self, endpoint: &EndpointName, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        position.probes.clear();
        let pending = std::mem::take(&mut position.pending);
        if position.rank == 0 {
            self.take_over(endpoint, now_ms, actions);
        } else if position.role != Role::Standby {
            let role = std::mem::replace(&mut position.role, Role::Standby);
            release_ownership(endpoint, role, actions);
        }
        for request in pending {
            self.on_permit_request(request, now_ms, actions);
        }
    }

    /// Makes this daemon the owner, at the epoch and rank of its position.
    fn take_over(&mut self, endpoint: &EndpointName, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(spec) = self.catalog.engines.get(endpoint) else { return };
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        let fence = Fence::new(position.epoch, position.rank);
        match &mut position.role {
            Role::Owner(owned) => owned.reclaim(fence),
            role => {
                let mut owned = OwnedEndpoint::new(spec.clone(), fence, &position.row, self.timing);
                owned.set_draining(self.vms.is_draining(endpoint.as_str()));
                *role = Role::Owner(Box::new(owned));
                actions.push(Action::FetchUsageProfiles(endpoint.clone()));
            }
        }
        actions.push(Action::Ownership { endpoint: endpoint.clone(), fence: Some(fence) });
        self.advance_endpoint(endpoint, now_ms, actions);
    }

    pub(super) fn on_permit_request(
        &mut self,
        mut request: PermitRequest,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = request.endpoint.clone();
        let forecast = self.forecast(&request);
        let Some(position) = self.chain_positions.get_mut(&endpoint) else {
            actions.push(not_owner(request.ticket, None));
            return;
        };
        match &mut position.role {
            Role::Owner(_)
                if self.is_reading_placements && !position.row.is_active(&request.model) =>
            {
                request.set_pending(now_ms);
                position.pending.push(request);
            }
            Role::Owner(owned) => {
                let ticket = request.ticket;
                let answer =
                    owned.request_permit(request, &position.row, &self.catalog, forecast, now_ms);
                actions.extend(answer.map(|answer| Action::Answer(ticket, answer)));
                self.advance_endpoint(&endpoint, now_ms, actions);
            }
            Role::SteppedDown(fence) => {
                let rank = Some(fence.rank()).filter(|_| fence.epoch() == position.epoch);
                actions.push(not_owner(request.ticket, rank));
            }
            Role::Standby if position.rank == 0 => {
                request.set_pending(now_ms);
                position.pending.push(request);
            }
            Role::Standby if request.ranks_lost < position.rank => {
                actions.push(not_owner(request.ticket, Some(0)));
            }
            Role::Standby => {
                request.set_pending(now_ms);
                position.pending.push(request);
                self.probe_lower_ranks(&endpoint, actions);
            }
        }
    }

    fn probe_lower_ranks(&mut self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let row = self.membership.row();
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        if !position.probes.is_empty() {
            return;
        }
        for vm in row.chain(endpoint).into_iter().take(usize::from(position.rank)) {
            position.probes.insert(vm.clone(), Probe::Sent);
            actions.push(Action::Probe {
                vm: vm.clone(),
                address: row.members[vm].address.clone(),
                endpoint: endpoint.clone(),
            });
        }
    }

    pub(super) fn on_probed(
        &mut self,
        vm: VmName,
        endpoint: &EndpointName,
        owns: Option<bool>,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(position) = self.chain_positions.get_mut(endpoint) else { return };
        let Some(probe) = position.probes.get_mut(&vm) else { return };
        *probe = if owns == Some(true) { Probe::Owns } else { Probe::DoesNotServe };
        if position.probes.values().any(|probe| *probe == Probe::Sent) {
            return;
        }
        let has_owner = position.probes.values().any(|probe| *probe == Probe::Owns);
        position.probes.clear();
        let pending = std::mem::take(&mut position.pending);
        if position.role == Role::Standby && !has_owner {
            self.take_over(endpoint, now_ms, actions);
            self.read_placements(now_ms, actions);
        }
        for request in pending {
            if has_owner {
                actions.push(not_owner(request.ticket, Some(0)));
            } else {
                self.on_permit_request(request, now_ms, actions);
            }
        }
    }

    pub(super) fn refuse_expired_pending(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for position in self.chain_positions.values_mut() {
            let late =
                position.pending.extract_if(.., |request| request.pending_until_ms <= now_ms);
            actions.extend(late.map(|request| not_owner(request.ticket, None)));
        }
    }

    pub(super) fn drop_positions(
        &mut self,
        condition: impl Fn(&EndpointName) -> bool,
        actions: &mut Vec<Action>,
    ) {
        for (endpoint, position) in
            self.chain_positions.extract_if(.., |endpoint, _| condition(endpoint))
        {
            actions.extend(position.pending.iter().map(|request| not_owner(request.ticket, None)));
            release_ownership(&endpoint, position.role, actions);
        }
    }

    fn chained_endpoints(&self) -> impl Iterator<Item = (EndpointName, u8)> {
        let domain = self.membership.domain();
        let engines = self.catalog.engines.iter().filter(move |(_, spec)| spec.domain == *domain);
        engines.filter_map(|(name, _)| {
            let rank = self.membership.row().rank(name, self.membership.own_vm())?;
            (rank < CHAIN_LENGTH).then(|| (name.clone(), rank))
        })
    }
}

fn endpoint_row(rows: &Rows, endpoint: &EndpointName) -> (u64, EndpointRow) {
    match rows.get(&RowKey::Endpoint(endpoint.clone())) {
        Some(Versioned { version, row: Some(Row::Endpoint(row)) }) => (*version, row.clone()),
        _ => (0, EndpointRow::default()),
    }
}
