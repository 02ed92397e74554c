//! Control state of one daemon in one failure domain.
//!
//! [`ControlState::handle`] takes an event and returns actions. It performs no input or
//! output, reads no clock and uses no randomness, so a test can run many instances under a
//! virtual clock and deliver events in any order.
//!
//! The state covers four areas: the membership of the domain, the chain of owners of each
//! endpoint, the placements of models, and the permits at the endpoints that the daemon owns.

mod chain;
mod owning;

use crate::{
    catalog::Catalog,
    chain_position::{ChainPosition, Role},
    event::{Action, CommitPurpose, Event, ReadPurpose, VmState},
    load_limiter::LoadLimiter,
    membership::Membership,
    membership_row::Member,
    names::{DomainName, EndpointName, VmName},
    permit::{PermitAnswer, Ticket},
    review::Review,
    row::{CommitOutcome, Rows},
    timing::Timing,
    vm_list::VmList,
};
use std::{collections::BTreeMap, sync::Arc};

/// Number of members of an endpoint's chain that stay ready to own the endpoint.
pub const CHAIN_LENGTH: u8 = 3;

/// Time to wait after a reported row change, so that one read covers several changes.
const ROW_CHANGE_PAUSE_MS: u64 = 200;

/// Control state of one daemon in one failure domain.
#[trestle_macros::plain]
pub struct ControlState {
    pub(crate) timing: Timing,
    pub(crate) membership: Membership,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) chain_positions: BTreeMap<EndpointName, ChainPosition>,
    pub(crate) vms: VmList,
    pub(crate) review: Review,
    load_limiter: LoadLimiter,
    acted_epoch: u64,
    next_lease_ms: u64,
    next_refresh_ms: u64,
    is_reading_placements: bool,
    is_changing_membership: bool,
    has_reported_left: bool,
}

impl ControlState {
    /// Creates the state of a daemon that has just started and is not a member yet.
    pub fn new(own_vm: VmName, member: Member, domain: DomainName, timing: Timing) -> Self {
        Self {
            timing,
            membership: Membership::new(own_vm, member, domain, timing),
            catalog: Arc::default(),
            chain_positions: BTreeMap::new(),
            vms: VmList::default(),
            review: Review::default(),
            load_limiter: LoadLimiter::default(),
            acted_epoch: 0,
            next_lease_ms: 0,
            next_refresh_ms: 0,
            is_reading_placements: false,
            is_changing_membership: false,
            has_reported_left: false,
        }
    }

    /// Returns what this daemon knows of the membership of its domain.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns this daemon's position in the chain of each endpoint whose chain includes it.
    pub fn chain_positions(&self) -> &BTreeMap<EndpointName, ChainPosition> {
        &self.chain_positions
    }

    /// Returns whether this daemon owns the endpoint.
    pub fn owns(&self, endpoint: &EndpointName) -> bool {
        self.chain_positions
            .get(endpoint)
            .is_some_and(|position| position.owned_endpoint().is_some())
    }

    /// Applies an event to the state and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.on_tick(now_ms, &mut actions),
            Event::Clock(time) => self.on_clock(time, &mut actions),
            Event::UsageProfiles(endpoint, profiles) => {
                self.with_owned_endpoint(&endpoint, |owned| owned.merge_usage_profiles(profiles));
            }
            Event::Catalog(catalog) => self.on_catalog(catalog, now_ms, &mut actions),
            Event::VmList(vms) => self.on_vms(vms, now_ms),
            Event::Read(purpose, rows) => self.on_read(purpose, rows, now_ms, &mut actions),
            Event::Committed(purpose, outcome) => {
                self.on_committed(purpose, outcome, now_ms, &mut actions);
            }
            Event::Probed { vm, endpoint, owns } => {
                self.on_probed(vm, &endpoint, owns, now_ms, &mut actions);
            }
            Event::RowChanged(endpoint) => self.on_row_changed(&endpoint, now_ms),
            Event::OrderResult { endpoint, fence, outcome } => {
                self.on_order_result(&endpoint, fence, outcome, now_ms, &mut actions);
            }
            Event::PermitRequested(request) => {
                self.on_permit_request(request, now_ms, &mut actions)
            }
            Event::Release(endpoint, ticket) => {
                self.with_owned_endpoint(&endpoint, |owned| owned.release(ticket, now_ms));
                self.advance_endpoint(&endpoint, now_ms, &mut actions);
            }
            Event::Cancel(endpoint, ticket) => self.on_cancel(&endpoint, ticket),
            Event::Stop => self.membership.leave(),
        }
        actions
    }

    fn on_tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms >= self.next_lease_ms {
            self.next_lease_ms = now_ms + self.timing.lease_ms;
            self.renew_and_read_membership(now_ms, actions);
        }
        self.read_placements_if_due(now_ms, actions);
        self.start_review(now_ms, actions);
        for endpoint in self.owned_endpoints().collect::<Vec<_>>() {
            self.advance_endpoint(&endpoint, now_ms, actions);
        }
        self.refuse_expired_pending(now_ms, actions);
    }

    fn renew_and_read_membership(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
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
        self.review.restart(now_ms);
        self.read_placements(now_ms, actions);
    }

    fn on_vms(&mut self, vms: BTreeMap<String, VmState>, now_ms: u64) {
        self.vms.update(vms, now_ms);
        for (endpoint, position) in &mut self.chain_positions {
            let is_draining = self.vms.is_draining(endpoint.as_str());
            if let Some(owned) = position.owned_endpoint_mut() {
                owned.set_draining(is_draining);
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
            // The control thread handles adoption reads, as they concern another domain.
            ReadPurpose::Adoption => {}
        }
    }

    fn on_membership(&mut self, rows: Option<&Rows>, now_ms: u64, actions: &mut Vec<Action>) {
        let before = self.membership.row().epoch;
        self.membership.on_read(rows, now_ms);
        if self.membership.row().epoch != before {
            actions.push(Action::Members(self.membership.row().clone()));
        }
        if self.membership.can_end_adoption() {
            self.membership.leave();
        }
        if self.membership.has_left() {
            self.leave_all_chains(actions);
            return;
        }
        if !self.membership.is_member() && self.membership.row().epoch > 0 {
            self.drop_positions(|_| true, actions);
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
        if let Some(txn) = self.membership.due_change(self.vms.gone(&self.timing)) {
            self.is_changing_membership = true;
            actions.push(Action::Commit(CommitPurpose::Membership, txn));
        }
    }

    fn leave_all_chains(&mut self, actions: &mut Vec<Action>) {
        self.drop_positions(|_| true, actions);
        if !self.has_reported_left {
            self.has_reported_left = true;
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
                if let Some(position) = self.chain_positions.get_mut(&endpoint) {
                    position.is_writing = false;
                }
                if outcome == CommitOutcome::Committed {
                    self.notify_successors(&endpoint, actions);
                }
                self.next_lease_ms = now_ms;
                self.review.schedule_now(now_ms);
                self.start_review(now_ms, actions);
            }
        }
    }
}

fn release_ownership(endpoint: &EndpointName, role: Role, actions: &mut Vec<Action>) {
    if let Role::Owner(mut owned) = role {
        actions.extend(owned.drain_queue().into_iter().map(|ticket| not_owner(ticket, None)));
        actions.push(Action::Ownership { endpoint: endpoint.clone(), fence: None });
    }
}

fn not_owner(ticket: Ticket, owner_rank: Option<u8>) -> Action {
    Action::Answer(ticket, PermitAnswer::NotOwner { owner_rank })
}
