//! The daemon's places in the chains of endpoints: which rows it reads, when it
//! becomes an owner, and who answers an ask.

use super::{CHAIN_LENGTH, Node, ROW_CHANGE_PAUSE_MS, give_up, not_owner};
use crate::{
    endpoint_row::EndpointRow,
    event::{Action, ReadPurpose},
    fence::Fence,
    names::{EndpointName, VmName},
    owned::Owned,
    permit::PermitAsk,
    row::{Row, RowKey, Rows, Versioned},
    seat::{Probe, Role, Seat},
};
use std::collections::BTreeMap;

impl Node {
    /// Reads what is placed at the endpoints whose chains this daemon belongs to.
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

    /// Tells those who may have to take over what they would else learn late.
    pub(super) fn notify_successors(&self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let row = self.membership.row();
        let others = row.chain(endpoint).into_iter().take(usize::from(CHAIN_LENGTH));
        for vm in others.filter(|vm| *vm != self.membership.me()) {
            let address = row.members[vm].address.clone();
            actions.push(Action::Notify { vm: vm.clone(), address, endpoint: endpoint.clone() });
        }
    }

    pub(super) fn on_row_changed(&mut self, endpoint: &EndpointName, now_ms: u64) {
        if self.seats.contains_key(endpoint) {
            self.next_refresh_ms = self.next_refresh_ms.min(now_ms + ROW_CHANGE_PAUSE_MS);
        }
    }

    pub(super) fn read_placements_if_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms >= self.next_refresh_ms {
            self.read_placements(now_ms, actions);
        }
    }

    /// Takes what is placed, and with it acts on the epoch that was known before the read.
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
        self.share_loads();
        let chained: BTreeMap<EndpointName, u8> = self.chained_endpoints().collect();
        self.drop_seats(|endpoint| !chained.contains_key(endpoint), actions);
        for (endpoint, rank) in chained {
            let (version, row) = endpoint_row(rows, &endpoint);
            self.take_seat(&endpoint, Seat::standby(epoch, rank, row, version), now_ms, actions);
        }
    }

    /// Takes a seat as it was read; a role and what waits are kept from the one before.
    fn take_seat(
        &mut self,
        endpoint: &EndpointName,
        read: Seat,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_new_epoch = self.seats.get(endpoint).is_none_or(|seat| seat.epoch != read.epoch);
        let seat = self.seats.entry(endpoint.clone()).or_insert_with(|| read.clone());
        seat.epoch = read.epoch;
        seat.rank = read.rank;
        if read.version >= seat.version {
            seat.version = read.version;
            seat.row = read.row;
        }
        if is_new_epoch {
            self.begin_epoch(endpoint, now_ms, actions);
        } else if seat.owned().is_some() {
            for ask in std::mem::take(&mut seat.parked) {
                self.on_ask(ask, now_ms, actions);
            }
        }
    }

    fn begin_epoch(&mut self, endpoint: &EndpointName, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(seat) = self.seats.get_mut(endpoint) else { return };
        seat.probes.clear();
        let parked = std::mem::take(&mut seat.parked);
        if seat.rank == 0 {
            self.take_over(endpoint, now_ms, actions);
        } else if seat.role != Role::Standby {
            let role = std::mem::replace(&mut seat.role, Role::Standby);
            give_up(endpoint, role, actions);
        }
        for ask in parked {
            self.on_ask(ask, now_ms, actions);
        }
    }

    /// Becomes the owner at the seat's epoch and rank.
    fn take_over(&mut self, endpoint: &EndpointName, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(spec) = self.catalog.engines.get(endpoint) else { return };
        let Some(seat) = self.seats.get_mut(endpoint) else { return };
        let fence = Fence::new(seat.epoch, seat.rank);
        match &mut seat.role {
            Role::Owner(owned) => owned.reclaim(fence),
            role => {
                let mut owned = Owned::new(spec.clone(), fence, &seat.row, self.timing);
                owned.set_leaving(self.vms.is_leaving(endpoint.as_str()));
                *role = Role::Owner(Box::new(owned));
                actions.push(Action::FetchHabits(endpoint.clone()));
            }
        }
        actions.push(Action::Ownership { endpoint: endpoint.clone(), fence: Some(fence) });
        self.drive(endpoint, now_ms, actions);
    }

    pub(super) fn on_ask(&mut self, mut ask: PermitAsk, now_ms: u64, actions: &mut Vec<Action>) {
        let endpoint = ask.endpoint.clone();
        let outlook = self.outlook(&ask);
        let Some(seat) = self.seats.get_mut(&endpoint) else {
            actions.push(not_owner(ask.ticket, None));
            return;
        };
        match &mut seat.role {
            Role::Owner(_) if self.is_reading_placements && !seat.row.is_active(&ask.model) => {
                ask.park(now_ms);
                seat.parked.push(ask);
            }
            Role::Owner(owned) => {
                let ticket = ask.ticket;
                let answer = owned.ask(ask, &seat.row, &self.catalog, outlook, now_ms);
                actions.extend(answer.map(|answer| Action::Answer(ticket, answer)));
                self.drive(&endpoint, now_ms, actions);
            }
            Role::SteppedDown(fence) => {
                let rank = Some(fence.rank()).filter(|_| fence.epoch() == seat.epoch);
                actions.push(not_owner(ask.ticket, rank));
            }
            Role::Standby if seat.rank == 0 => {
                ask.park(now_ms);
                seat.parked.push(ask);
            }
            Role::Standby if ask.ranks_lost < seat.rank => {
                actions.push(not_owner(ask.ticket, Some(0)));
            }
            Role::Standby => {
                ask.park(now_ms);
                seat.parked.push(ask);
                self.probe_lower_ranks(&endpoint, actions);
            }
        }
    }

    fn probe_lower_ranks(&mut self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let row = self.membership.row();
        let Some(seat) = self.seats.get_mut(endpoint) else { return };
        if !seat.probes.is_empty() {
            return;
        }
        for vm in row.chain(endpoint).into_iter().take(usize::from(seat.rank)) {
            seat.probes.insert(vm.clone(), Probe::Sent);
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
        let Some(seat) = self.seats.get_mut(endpoint) else { return };
        let Some(probe) = seat.probes.get_mut(&vm) else { return };
        *probe = if owns == Some(true) { Probe::Owns } else { Probe::DoesNotServe };
        if seat.probes.values().any(|probe| *probe == Probe::Sent) {
            return;
        }
        let someone_owns = seat.probes.values().any(|probe| *probe == Probe::Owns);
        seat.probes.clear();
        let parked = std::mem::take(&mut seat.parked);
        if seat.role == Role::Standby && !someone_owns {
            self.take_over(endpoint, now_ms, actions);
            self.read_placements(now_ms, actions);
        }
        for ask in parked {
            if someone_owns {
                actions.push(not_owner(ask.ticket, Some(0)));
            } else {
                self.on_ask(ask, now_ms, actions);
            }
        }
    }

    pub(super) fn refuse_late_parked(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for seat in self.seats.values_mut() {
            let late = seat.parked.extract_if(.., |ask| ask.parked_until_ms <= now_ms);
            actions.extend(late.map(|ask| not_owner(ask.ticket, None)));
        }
    }

    pub(super) fn drop_seats(
        &mut self,
        condition: impl Fn(&EndpointName) -> bool,
        actions: &mut Vec<Action>,
    ) {
        for (endpoint, seat) in self.seats.extract_if(.., |endpoint, _| condition(endpoint)) {
            actions.extend(seat.parked.iter().map(|ask| not_owner(ask.ticket, None)));
            give_up(&endpoint, seat.role, actions);
        }
    }

    fn chained_endpoints(&self) -> impl Iterator<Item = (EndpointName, u8)> {
        let domain = self.membership.domain();
        let engines = self.catalog.engines.iter().filter(move |(_, spec)| spec.domain == *domain);
        engines.filter_map(|(name, _)| {
            let rank = self.membership.row().rank(name, self.membership.me())?;
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
