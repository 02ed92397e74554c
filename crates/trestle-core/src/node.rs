//! All control state of one daemon in one failure domain.
//!
//! [`Node::handle`] takes an event and returns actions. It has no input or
//! output, no clock and no randomness of its own, so a test can run many nodes
//! under a virtual clock and deliver every event in any order.
//!
//! The node combines four matters: the membership of the domain, the chain of
//! owners of each endpoint, placements, and permits at the endpoints it owns.

use crate::{
    catalog::Catalog,
    endpoint_row::EndpointRow,
    event::{Action, CommitPurpose, Event, ReadPurpose, VmState},
    fence::Fence,
    loads::{Loads, Outlook},
    membership::Membership,
    membership_row::Member,
    names::{DomainName, EndpointName, ModelName, VmName},
    order::OrderOutcome,
    owned::Owned,
    permit::{PermitAnswer, PermitAsk, Ticket},
    review::Review,
    row::{CommitOutcome, Row, RowKey, Rows, Versioned},
    seat::{Probe, Role, Seat},
    timing::Timing,
    vms::Vms,
    window::CivilTime,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Members of a chain that keep what they need to own the endpoint.
pub const CHAIN_LENGTH: u8 = 3;

/// Time in which further changes of rows are waited for, to read them all at once.
const ROW_CHANGE_PAUSE_MS: u64 = 200;

/// All control state of one daemon in one failure domain.
#[trestle_macros::plain]
pub struct Node {
    pub(crate) timing: Timing,
    pub(crate) membership: Membership,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) seats: BTreeMap<EndpointName, Seat>,
    pub(crate) vms: Vms,
    pub(crate) review: Review,
    loads: Loads,
    acted_epoch: u64,
    next_lease_ms: u64,
    next_refresh_ms: u64,
    is_reading_placements: bool,
    is_changing_membership: bool,
    was_told_left: bool,
}

impl Node {
    /// A daemon that has just started.
    pub fn new(me: VmName, member: Member, domain: DomainName, timing: Timing) -> Self {
        Self {
            timing,
            membership: Membership::new(me, member, domain, timing),
            catalog: Arc::default(),
            seats: BTreeMap::new(),
            vms: Vms::default(),
            review: Review::default(),
            loads: Loads::default(),
            acted_epoch: 0,
            next_lease_ms: 0,
            next_refresh_ms: 0,
            is_reading_placements: false,
            is_changing_membership: false,
            was_told_left: false,
        }
    }

    /// This daemon's part in the membership of its domain.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Places in the chains of endpoints.
    pub fn seats(&self) -> &BTreeMap<EndpointName, Seat> {
        &self.seats
    }

    /// Whether this daemon owns the endpoint.
    pub fn owns(&self, endpoint: &EndpointName) -> bool {
        self.seats.get(endpoint).is_some_and(|seat| seat.owned().is_some())
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.on_tick(now_ms, &mut actions),
            Event::Clock(time) => self.on_clock(time, &mut actions),
            Event::Habits(endpoint, habits) => {
                self.with_owned(&endpoint, |owned| owned.take_habits(habits));
            }
            Event::Catalog(catalog) => self.on_catalog(catalog, now_ms, &mut actions),
            Event::Vms(vms) => self.on_vms(vms, now_ms),
            Event::Read(purpose, rows) => self.on_read(purpose, rows, now_ms, &mut actions),
            Event::Committed(purpose, outcome) => {
                self.on_committed(purpose, outcome, now_ms, &mut actions);
            }
            Event::Probed { vm, endpoint, owns } => {
                self.on_probed(vm, &endpoint, owns, now_ms, &mut actions);
            }
            Event::RowChanged(endpoint) => self.on_row_changed(&endpoint, now_ms),
            Event::Ordered { endpoint, fence, outcome } => {
                self.on_ordered(&endpoint, fence, outcome, now_ms, &mut actions);
            }
            Event::Ask(ask) => self.on_ask(ask, now_ms, &mut actions),
            Event::Release(endpoint, ticket) => {
                self.with_owned(&endpoint, |owned| owned.release(ticket, now_ms));
                self.drive(&endpoint, now_ms, &mut actions);
            }
            Event::Cancel(endpoint, ticket) => self.on_cancel(&endpoint, ticket),
            Event::Stop => self.membership.leave(),
        }
        actions
    }

    fn on_tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms >= self.next_lease_ms {
            self.next_lease_ms = now_ms + self.timing.lease_ms;
            self.follow_membership(now_ms, actions);
        }
        self.read_placements_if_due(now_ms, actions);
        self.start_review(now_ms, actions);
        for endpoint in self.owned_endpoints().collect::<Vec<_>>() {
            self.drive(&endpoint, now_ms, actions);
        }
        self.refuse_late_parked(now_ms, actions);
    }

    fn on_clock(&mut self, time: CivilTime, actions: &mut Vec<Action>) {
        for (endpoint, seat) in &mut self.seats {
            let Role::Owner(owned) = &mut seat.role else { continue };
            if let Some(habits) = owned.on_clock(time, &seat.row, &self.catalog) {
                actions.push(Action::KeepHabits(endpoint.clone(), habits));
            }
        }
    }

    fn follow_membership(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.membership.is_member() {
            let renewal = self.membership.renewal(now_ms, self.acted_epoch);
            actions.push(Action::Commit(CommitPurpose::Renewal, renewal));
        }
        let keys = self.membership.keys_to_read();
        actions.push(Action::Read(ReadPurpose::Membership, keys));
    }

    fn on_catalog(&mut self, catalog: Arc<Catalog>, now_ms: u64, actions: &mut Vec<Action>) {
        if catalog.version <= self.catalog.version {
            return;
        }
        self.catalog = catalog;
        self.review.begin_again(now_ms);
        self.read_placements(now_ms, actions);
    }

    fn on_vms(&mut self, vms: BTreeMap<String, VmState>, now_ms: u64) {
        self.vms.update(vms, now_ms);
        for (endpoint, seat) in &mut self.seats {
            let leaving = self.vms.is_leaving(endpoint.as_str());
            if let Some(owned) = seat.owned_mut() {
                owned.set_leaving(leaving);
            }
        }
    }

    fn on_read(
        &mut self,
        purpose: ReadPurpose,
        rows: Option<Rows>,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        match purpose {
            ReadPurpose::Membership => self.on_membership(rows.as_ref(), now_ms, actions),
            ReadPurpose::Placements { epoch } => {
                self.on_placements(epoch, rows.as_ref(), now_ms, actions);
            }
            ReadPurpose::Review => self.on_review(rows, now_ms, actions),
            // Not a matter of one domain's node.
            ReadPurpose::Adoption => {}
        }
    }

    fn on_membership(&mut self, rows: Option<&Rows>, now_ms: u64, actions: &mut Vec<Action>) {
        let before = self.membership.row().epoch;
        self.membership.on_read(rows, now_ms);
        if self.membership.row().epoch != before {
            actions.push(Action::Members(self.membership.row().clone()));
        }
        if self.membership.is_relieved() {
            self.membership.leave();
        }
        if self.membership.has_left() {
            self.give_up_all(actions);
            return;
        }
        if !self.membership.is_member() && self.membership.row().epoch > 0 {
            self.drop_seats(|_, _| true, actions);
        }
        self.change_membership(actions);
        if self.membership.row().epoch != self.acted_epoch {
            self.read_placements(now_ms, actions);
        }
    }

    fn change_membership(&mut self, actions: &mut Vec<Action>) {
        if self.is_changing_membership {
            return;
        }
        if let Some(txn) = self.membership.change(self.vms.gone(&self.timing)) {
            self.is_changing_membership = true;
            actions.push(Action::Commit(CommitPurpose::Membership, txn));
        }
    }

    fn give_up_all(&mut self, actions: &mut Vec<Action>) {
        self.drop_seats(|_, _| true, actions);
        if !self.was_told_left {
            self.was_told_left = true;
            actions.push(Action::Left);
        }
    }

    fn on_committed(
        &mut self,
        purpose: CommitPurpose,
        outcome: CommitOutcome,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        match purpose {
            CommitPurpose::Renewal => self.membership.on_renewed(outcome),
            CommitPurpose::Membership => {
                self.is_changing_membership = false;
                self.next_lease_ms = match outcome {
                    CommitOutcome::Unknown => self.next_lease_ms,
                    _ => now_ms,
                };
            }
            CommitPurpose::Placing(endpoint) => {
                if let Some(seat) = self.seats.get_mut(&endpoint) {
                    seat.is_writing = false;
                }
                if outcome == CommitOutcome::Committed {
                    self.notify_successors(&endpoint, actions);
                }
                self.next_lease_ms = now_ms;
                self.review.begin_soon(now_ms);
                self.start_review(now_ms, actions);
            }
        }
    }

    /// Reads what is placed at the endpoints whose chains this daemon belongs to.
    fn read_placements(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
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
    fn notify_successors(&self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let row = self.membership.row();
        let others = row.chain(endpoint).into_iter().take(usize::from(CHAIN_LENGTH));
        for vm in others.filter(|vm| *vm != self.membership.me()) {
            let address = row.members[vm].address.clone();
            actions.push(Action::Notify { vm: vm.clone(), address, endpoint: endpoint.clone() });
        }
    }

    fn on_row_changed(&mut self, endpoint: &EndpointName, now_ms: u64) {
        if self.seats.contains_key(endpoint) {
            self.next_refresh_ms = self.next_refresh_ms.min(now_ms + ROW_CHANGE_PAUSE_MS);
        }
    }

    fn read_placements_if_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms >= self.next_refresh_ms {
            self.read_placements(now_ms, actions);
        }
    }

    /// Takes what is placed, and with it acts on the epoch that was known before the read.
    fn on_placements(
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
        self.drop_seats(|endpoint, _| !chained.contains_key(endpoint), actions);
        for (endpoint, rank) in chained {
            let (version, row) = endpoint_row(rows, &endpoint);
            self.take_seat(&endpoint, epoch, rank, version, row, now_ms, actions);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "all of one read row")]
    fn take_seat(
        &mut self,
        endpoint: &EndpointName,
        epoch: u64,
        rank: u8,
        version: u64,
        row: EndpointRow,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_new_epoch = self.seats.get(endpoint).is_none_or(|seat| seat.epoch != epoch);
        let seat = self
            .seats
            .entry(endpoint.clone())
            .or_insert_with(|| Seat::standby(epoch, rank, EndpointRow::default(), 0));
        if version >= seat.version {
            seat.row = row;
            seat.version = version;
        }
        seat.epoch = epoch;
        seat.rank = rank;
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

    fn on_ask(&mut self, mut ask: PermitAsk, now_ms: u64, actions: &mut Vec<Action>) {
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

    fn on_probed(
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

    fn on_ordered(
        &mut self,
        endpoint: &EndpointName,
        fence: Fence,
        outcome: OrderOutcome,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let larger = self.with_owned(endpoint, |owned| owned.on_order(fence, outcome, now_ms));
        if let Some(Some(larger)) = larger {
            self.step_down(endpoint, larger, actions);
        }
        self.drive(endpoint, now_ms, actions);
    }

    fn step_down(&mut self, endpoint: &EndpointName, larger: Fence, actions: &mut Vec<Action>) {
        let Some(seat) = self.seats.get_mut(endpoint) else { return };
        let role = std::mem::replace(&mut seat.role, Role::SteppedDown(larger));
        give_up(endpoint, role, actions);
    }

    fn on_cancel(&mut self, endpoint: &EndpointName, ticket: Ticket) {
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.parked.retain(|ask| ask.ticket != ticket);
        }
        self.with_owned(endpoint, |owned| owned.cancel(ticket));
    }

    /// Grants, refuses and orders whatever is due at an owned endpoint.
    fn drive(&mut self, endpoint: &EndpointName, now_ms: u64, actions: &mut Vec<Action>) {
        let may_load = self.may_load(endpoint, now_ms);
        let Some(seat) = self.seats.get_mut(endpoint) else { return };
        let Role::Owner(owned) = &mut seat.role else { return };
        owned.give_up_order(now_ms);
        owned.lapse(|vm| self.vms.is_gone(vm.as_str(), &self.timing), now_ms);
        // A request that cannot end in time any more must not take the place of one that can.
        let late = owned.refuse_late(&self.catalog, now_ms);
        let answers = late.into_iter().chain(owned.grant(now_ms));
        actions.extend(answers.map(|(ticket, answer)| Action::Answer(ticket, answer)));
        let order = owned.next_order(&seat.row, &self.catalog, may_load, now_ms);
        actions.extend(order.map(|order| Action::Order(endpoint.clone(), order)));
        for (model, took_ms) in owned.take_ended_loads() {
            let declared_ms = self.catalog.models.get(&model).map_or(took_ms, |spec| spec.load_ms);
            self.loads.note(declared_ms, took_ms);
        }
    }

    /// Whether the endpoint's next load is the most urgent, and within this daemon's share.
    fn may_load(&self, endpoint: &EndpointName, now_ms: u64) -> bool {
        let owned = self.seats.iter().filter_map(|(name, seat)| Some((name, seat, seat.owned()?)));
        let under_way: usize = owned.clone().map(|(.., owned)| owned.loading().count()).sum();
        let first_of = |(name, seat, owned): (&EndpointName, &Seat, &Owned)| {
            Some((owned.first_load(&seat.row, now_ms)?, name.clone()))
        };
        let most_urgent = owned.filter_map(first_of).min();
        let is_first = most_urgent.is_none_or(|(_, name)| name == *endpoint);
        under_way < self.loads.limit() && is_first
    }

    /// What a load for the ask has to expect, if one is needed.
    fn outlook(&self, ask: &PermitAsk) -> Outlook {
        let owned = self.seats.values().filter_map(Seat::owned);
        let ahead = owned.flat_map(|owned| {
            let waiting = owned.waiting_for_load(ask.urgency);
            waiting.chain(owned.loading())
        });
        let load_ms = |model: &ModelName| self.catalog.models.get(model).map_or(0, |s| s.load_ms);
        let ahead_ms = ahead.filter(|model| **model != ask.model).map(load_ms).sum();
        self.loads.outlook(ahead_ms)
    }

    /// Shares the weight store among all daemons, as far as they are known.
    fn share_loads(&mut self) {
        let domains: BTreeSet<&DomainName> =
            self.catalog.engines.values().map(|engine| &engine.domain).collect();
        let daemons = self.membership.row().members.len() * domains.len().max(1);
        self.loads.set_store(self.catalog.full_speed_loads, daemons);
    }

    fn refuse_late_parked(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for seat in self.seats.values_mut() {
            let late = seat.parked.extract_if(.., |ask| ask.parked_until_ms <= now_ms);
            actions.extend(late.map(|ask| not_owner(ask.ticket, None)));
        }
    }

    fn drop_seats(
        &mut self,
        condition: impl Fn(&EndpointName, &Seat) -> bool,
        actions: &mut Vec<Action>,
    ) {
        for (endpoint, seat) in
            self.seats.extract_if(.., |endpoint, seat| condition(endpoint, seat))
        {
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

    fn owned_endpoints(&self) -> impl Iterator<Item = EndpointName> {
        let owned = self.seats.iter().filter(|(_, seat)| seat.owned().is_some());
        owned.map(|(endpoint, _)| endpoint.clone())
    }

    fn with_owned<R>(
        &mut self,
        endpoint: &EndpointName,
        change: impl FnOnce(&mut Owned) -> R,
    ) -> Option<R> {
        self.seats.get_mut(endpoint)?.owned_mut().map(change)
    }
}

fn give_up(endpoint: &EndpointName, role: Role, actions: &mut Vec<Action>) {
    if let Role::Owner(mut owned) = role {
        actions.extend(owned.abandon().into_iter().map(|ticket| not_owner(ticket, None)));
        actions.push(Action::Ownership { endpoint: endpoint.clone(), fence: None });
    }
}

fn not_owner(ticket: Ticket, owner_rank: Option<u8>) -> Action {
    Action::Answer(ticket, PermitAnswer::NotOwner { owner_rank })
}

fn endpoint_row(rows: &Rows, endpoint: &EndpointName) -> (u64, EndpointRow) {
    match rows.get(&RowKey::Endpoint(endpoint.clone())) {
        Some(Versioned { version, row: Some(Row::Endpoint(row)) }) => (*version, row.clone()),
        _ => (0, EndpointRow::default()),
    }
}
