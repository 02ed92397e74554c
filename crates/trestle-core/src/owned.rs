//! An endpoint as its owner sees it.
//!
//! The owner sends one order at a time. Each order has a larger fencing number
//! than the one before, so an order that was delayed and overtaken is refused
//! by an endpoint that checks. The answer to an order carries the state of the
//! endpoint right after it. An order that does nothing, a *look*, asks for that
//! state alone; reports that lag are not used.
//!
//! Memory is held for a model from the moment an order to load it is sent until
//! the answer to that order or a later one shows it gone.
//!
//! Permits are given only for a while after the sending of an order that the
//! endpoint has accepted. An owner that was frozen, and has been replaced in the
//! meantime, has to look first, and then learns that it is the owner no longer.
//! Looks are sent when requests come, so an endpoint without any costs nothing.

use crate::{
    catalog::{Catalog, EngineSpec, Fencing, ModelSpec},
    endpoint_row::EndpointRow,
    fence::Fence,
    habits::{Bin, Habits},
    keep::Gaps,
    loads::Outlook,
    names::{ModelName, VmName},
    order::{ModelReport, Order, OrderKind, OrderOutcome, Phase, Report},
    permit::{PERMIT_USE_MS, PermitAnswer, PermitAsk, Refusal, Ticket},
    queue::Queue,
    timing::Timing,
    window::{CivilTime, LEAD_MINUTES},
};
use std::collections::{BTreeMap, BTreeSet};

/// Requests of one tenant that may wait at one endpoint.
const MAX_WAITING_PER_TENANT: usize = 256;
/// Shortest and longest time to come back that a refusal names.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 200..=60_000;
/// Share of an old average in a new one, in eighths.
const AVERAGE_EIGHTHS: u64 = 7;
/// Time for a permit of an earlier owner to reach its entry daemon.
const PERMIT_MARGIN_MS: u64 = 500;
/// Time between two looks while something is loaded or unloaded.
const BUSY_LOOK_MS: u64 = 100;
/// Time beyond its deadline for which a permit stays out.
const PERMIT_GRACE_MS: u64 = 1_000;
/// Orders and reports without an answer after which an endpoint counts as silent.
const SILENT_AFTER: u32 = 3;
/// Urgency and deadline of a load that no request waits for.
const EXPECTED_LOAD: (u8, u64) = (u8::MAX, u64::MAX);
/// Part of an expected wait for others that is added to it, so that what is admitted ends in time.
const QUEUE_MARGIN: u64 = 4;
/// How much faster than declared a load may be.
const FASTEST_LOAD: u64 = 4;
/// Time after which a load that the endpoint could not carry out is tried again.
const FAILED_LOAD_PAUSE_MS: u64 = 1_000;

/// An endpoint as its owner sees it.
#[trestle_macros::plain]
pub struct Owned {
    spec: EngineSpec,
    timing: Timing,
    fence: Fence,
    confirmed_ms: Option<u64>,
    looked_ms: Option<u64>,
    in_flight: Option<InFlight>,
    to_resend: Option<OrderKind>,
    held: BTreeMap<ModelName, Held>,
    permits: BTreeMap<Ticket, Permit>,
    foreign_running: usize,
    queue: Queue,
    used_ms: BTreeMap<ModelName, u64>,
    gaps: BTreeMap<ModelName, Gaps>,
    expected: BTreeSet<ModelName>,
    habits: BTreeMap<ModelName, Habits>,
    bin: Option<Bin>,
    came: BTreeSet<ModelName>,
    service_ms: BTreeMap<ModelName, u64>,
    failed_ms: BTreeMap<ModelName, u64>,
    ended_loads: Vec<(ModelName, u64)>,
    leaving: bool,
    released: BTreeSet<ModelName>,
    inherited: BTreeSet<ModelName>,
    unload_sent_ms: Option<u64>,
    unanswered: u32,
    resend_at_ms: u64,
}

/// An order without an answer yet.
#[trestle_macros::plain]
struct InFlight {
    order: Order,
    sent_ms: u64,
}

/// A model that takes memory.
#[trestle_macros::plain]
#[derive(Copy)]
struct Held {
    phase: Phase,
    since_ms: u64,
    memory_bytes: u64,
    running: usize,
}

/// A permit that is out.
#[trestle_macros::plain]
struct Permit {
    entry: VmName,
    model: ModelName,
    granted_ms: u64,
    deadline_ms: u64,
}

impl Owned {
    /// An endpoint whose owner has yet to claim it.
    ///
    /// Placements that were on their way out before are inherited: an earlier
    /// owner may have sent an unload for them.
    pub fn new(spec: EngineSpec, fence: Fence, placed: &EndpointRow, timing: Timing) -> Self {
        let retiring = placed.placed.keys().filter(|model| !placed.is_active(model));
        let inherited = retiring.cloned().collect();
        Self {
            spec,
            timing,
            fence,
            confirmed_ms: None,
            looked_ms: None,
            in_flight: None,
            to_resend: None,
            held: BTreeMap::new(),
            permits: BTreeMap::new(),
            foreign_running: 0,
            queue: Queue::default(),
            used_ms: BTreeMap::new(),
            gaps: BTreeMap::new(),
            expected: BTreeSet::new(),
            habits: BTreeMap::new(),
            bin: None,
            came: BTreeSet::new(),
            service_ms: BTreeMap::new(),
            failed_ms: BTreeMap::new(),
            ended_loads: Vec::new(),
            leaving: false,
            released: BTreeSet::new(),
            inherited,
            unload_sent_ms: None,
            unanswered: 0,
            resend_at_ms: 0,
        }
    }

    /// Claims the endpoint anew under a larger number, keeping its waiting requests.
    pub fn reclaim(&mut self, fence: Fence) {
        self.fence = fence;
        self.confirmed_ms = None;
        self.looked_ms = None;
        self.released.clear();
        self.in_flight = None;
        self.to_resend = None;
    }

    /// The number of the latest order.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Whether the endpoint has accepted an order of this owner in this epoch.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_ms.is_some()
    }

    /// Marks that the platform's list says the endpoint is leaving, or not.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the model takes no memory there, in a state newer than every order.
    pub fn is_absent(&self, model: &ModelName) -> bool {
        self.is_confirmed() && !self.held.contains_key(model) && !self.concerns_in_flight(model)
    }

    /// The phase of each model that takes memory.
    pub fn phases(&self) -> impl Iterator<Item = (&ModelName, Phase)> {
        self.held.iter().map(|(model, held)| (model, held.phase))
    }

    /// Whether the endpoint has not answered its owner for a while.
    pub fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_AFTER
    }

    /// Whether every unload that this owner has sent has reached the endpoint, or never will.
    pub fn unloads_have_settled(&self, now_ms: u64) -> bool {
        let settle_ms = self.timing.order_settle_ms;
        self.unload_sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + settle_ms)
    }

    /// Whether requests run on the model or wait for it, or did a short while ago.
    pub fn is_in_use(&self, model: &ModelName, catalog: &Catalog, now_ms: u64) -> bool {
        let keep_ms = self.keep_ms(model, catalog);
        let used_ms = self.used_ms.get(model);
        let is_whole = self.is_ready(model) && self.no_unload_can_come(model, now_ms);
        is_whole && used_ms.is_some_and(|used_ms| now_ms < used_ms.saturating_add(keep_ms))
    }

    /// Sets the models that no other owner can give permits for any more.
    pub fn set_released(&mut self, models: BTreeSet<ModelName>) {
        self.released = models;
    }

    /// Whether the permit is out.
    pub fn has_permit(&self, ticket: Ticket) -> bool {
        self.permits.contains_key(&ticket)
    }

    /// Permits that are out.
    pub fn permits_out(&self) -> usize {
        self.permits.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The order to send now, if any.
    pub fn next_order(
        &mut self,
        placed: &EndpointRow,
        catalog: &Catalog,
        may_load: bool,
        now_ms: u64,
    ) -> Option<Order> {
        if self.in_flight.is_some() || now_ms < self.resend_at_ms {
            return None;
        }
        let kind = self.next_kind(placed, catalog, may_load, now_ms)?;
        self.reserve(&kind, now_ms);
        self.fence = self.fence.next();
        let order = Order { fence: self.fence, kind };
        self.in_flight = Some(InFlight { order: order.clone(), sent_ms: now_ms });
        Some(order)
    }

    /// Takes what is known of an order; tells the larger number on a refusal.
    pub fn on_order(&mut self, fence: Fence, outcome: OrderOutcome, now_ms: u64) -> Option<Fence> {
        let in_flight = self.in_flight.take_if(|f| f.order.fence == fence)?;
        self.note_answer(outcome != OrderOutcome::Unknown);
        match outcome {
            OrderOutcome::Accepted(report) => {
                self.to_resend = None;
                self.confirm(&report, &in_flight, now_ms);
                self.take_state(&report, now_ms);
                None
            }
            OrderOutcome::Impossible(report) => {
                self.to_resend = None;
                self.confirm(&report, &in_flight, now_ms);
                self.note_failure(&in_flight.order.kind, now_ms);
                self.take_state(&report, now_ms);
                None
            }
            OrderOutcome::Unknown => {
                self.to_resend = Some(in_flight.order.kind);
                self.resend_at_ms = now_ms + self.timing.order_ms;
                None
            }
            OrderOutcome::Refused(larger) if larger.same_owner(self.fence) => {
                self.to_resend = Some(in_flight.order.kind);
                None
            }
            OrderOutcome::Refused(larger) => Some(larger),
        }
    }

    /// Takes an ask; answers at once unless it has to wait.
    pub fn ask(
        &mut self,
        mut ask: PermitAsk,
        placed: &EndpointRow,
        catalog: &Catalog,
        outlook: Outlook,
        now_ms: u64,
    ) -> Option<PermitAnswer> {
        let may_serve =
            placed.is_active(&ask.model) || self.serves_retiring(&ask.model, placed, now_ms);
        let model = catalog.models.get(&ask.model).filter(|_| may_serve);
        let Some(model) = model else {
            return Some(PermitAnswer::NotPlaced);
        };
        if self.leaving {
            return Some(refused(Refusal::Leaving, model.load_ms));
        }
        if self.is_silent() {
            return Some(refused(Refusal::EndpointSilent, self.timing.order_ms));
        }
        if self.queue.waiting_of(&ask.tenant) >= MAX_WAITING_PER_TENANT {
            return Some(refused(Refusal::TenantQueueFull, self.queue_ms(ask.urgency, model)));
        }
        let wait_ms = self.expected_wait_ms(&ask, model, outlook, now_ms);
        let is_loaded = self.is_ready(&ask.model);
        if is_loaded && ask.patience_ms.is_some_and(|patience_ms| wait_ms > patience_ms) {
            return Some(PermitAnswer::Busy { wait_ms });
        }
        let margin_ms = self.queue_ms(ask.urgency, model) / QUEUE_MARGIN;
        let end_ms = now_ms + wait_ms + margin_ms + self.service_of(&ask.model, Some(model));
        if end_ms > ask.deadline_ms {
            return Some(refused(Refusal::DeadlineTooClose, end_ms - ask.deadline_ms));
        }
        ask.cold = !self.is_ready(&ask.model);
        self.note_gap(&ask.model, model.load_ms, now_ms);
        self.came.insert(ask.model.clone());
        self.used_ms.insert(ask.model.clone(), now_ms);
        self.queue.push(ask);
        None
    }

    /// Counts the gap that a request ends.
    ///
    /// A model is always kept for as long as it takes to load, so shorter gaps
    /// decide nothing.
    fn note_gap(&mut self, model: &ModelName, load_ms: u64, now_ms: u64) {
        let Some(used_ms) = self.used_ms.get(model) else { return };
        let gap_ms = now_ms.saturating_sub(*used_ms);
        if gap_ms > load_ms {
            self.gaps.entry(model.clone()).or_default().note(gap_ms);
        }
    }

    /// Learns from a bin that is over, and sees what is expected now or soon.
    ///
    /// Returns the habits if they have changed and should be kept.
    pub fn on_clock(
        &mut self,
        time: CivilTime,
        placed: &EndpointRow,
        catalog: &Catalog,
    ) -> Option<BTreeMap<ModelName, Habits>> {
        let bin = Bin::of(time);
        let ended = self.bin.replace(bin).filter(|ended| *ended != bin);
        if let Some(ended) = ended {
            self.learn(ended, placed);
        }
        let soon = Bin::of(time.later(LEAD_MINUTES));
        let models = placed.placed.keys();
        self.expected = models
            .filter(|model| {
                self.is_habitual(model, bin, catalog) || self.is_habitual(model, soon, catalog)
            })
            .chain(catalog.expected_at(time))
            .cloned()
            .collect();
        ended.map(|_| self.habits.clone()).filter(|habits| !habits.is_empty())
    }

    /// Takes what earlier owners have kept; what was learnt here since goes first.
    pub fn take_habits(&mut self, kept: BTreeMap<ModelName, Habits>) {
        for (model, habits) in kept {
            self.habits.entry(model).or_insert(habits);
        }
    }

    fn learn(&mut self, ended: Bin, placed: &EndpointRow) {
        for model in placed.placed.keys() {
            let came = self.came.contains(model);
            if came || self.habits.contains_key(model) {
                self.habits.entry(model.clone()).or_default().note(ended, came);
            }
        }
        self.habits.retain(|model, _| placed.placed.contains_key(model));
        self.came.clear();
    }

    fn is_habitual(&self, model: &ModelName, bin: Bin, catalog: &Catalog) -> bool {
        let habits = self.habits.get(model);
        habits.zip(catalog.models.get(model)).is_some_and(|(habits, spec)| {
            habits.is_expected(bin, &catalog.keep_price(spec, &self.spec))
        })
    }

    /// Time for which a model is kept without a request.
    fn keep_ms(&self, model: &ModelName, catalog: &Catalog) -> u64 {
        let Some(spec) = catalog.models.get(model) else { return 0 };
        if self.expected.contains(model) {
            return u64::MAX;
        }
        let price = catalog.keep_price(spec, &self.spec);
        let gaps = self.gaps.get(model).copied().unwrap_or_default();
        gaps.keep_ms(&price).max(spec.load_ms.min(spec.keep_ms))
    }

    /// Grants every permit that can be granted now.
    pub fn grant(&mut self, now_ms: u64) -> Vec<(Ticket, PermitAnswer)> {
        let mut granted = Vec::new();
        while self.may_grant(now_ms) && self.out() < self.spec.slots {
            let held = &self.held;
            let Some(ask) = self.queue.pop(|model| is_ready(held, model)) else { break };
            granted.push((ask.ticket, PermitAnswer::Granted { cold: ask.cold }));
            self.used_ms.insert(ask.model.clone(), now_ms);
            self.permits.insert(
                ask.ticket,
                Permit {
                    entry: ask.entry,
                    model: ask.model,
                    granted_ms: now_ms,
                    deadline_ms: ask.deadline_ms,
                },
            );
        }
        granted
    }

    /// Refuses every waiting request that cannot be served any more.
    pub fn refuse_late(&mut self, catalog: &Catalog, now_ms: u64) -> Vec<(Ticket, PermitAnswer)> {
        let shortest: BTreeMap<ModelName, u64> = self
            .queue
            .wanted()
            .into_iter()
            .map(|model| (model.clone(), self.shortest_ms(model, catalog, now_ms)))
            .collect();
        let leaving = self.leaving;
        let is_late = |ask: &PermitAsk| {
            leaving || now_ms + shortest.get(&ask.model).copied().unwrap_or(0) > ask.deadline_ms
        };
        let late = self.queue.drain_if(is_late);
        late.into_iter().map(|ask| (ask.ticket, self.late_answer(&ask, catalog))).collect()
    }

    /// Takes a permit back.
    pub fn release(&mut self, ticket: Ticket, now_ms: u64) {
        let Some(permit) = self.permits.remove(&ticket) else {
            self.foreign_running = self.foreign_running.saturating_sub(1);
            return;
        };
        self.used_ms.insert(permit.model.clone(), now_ms);
        let took_ms = now_ms.saturating_sub(permit.granted_ms);
        let average = self.service_ms.entry(permit.model).or_insert(took_ms);
        *average = (*average * AVERAGE_EIGHTHS + took_ms) / (AVERAGE_EIGHTHS + 1);
    }

    /// Forgets a waiting request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Takes back the permits of entry daemons that are gone, and overdue ones.
    pub fn lapse(&mut self, is_gone: impl Fn(&VmName) -> bool, now_ms: u64) {
        self.permits.retain(|_, permit| {
            let lapses_ms = permit.deadline_ms.saturating_add(PERMIT_GRACE_MS);
            !is_gone(&permit.entry) && now_ms < lapses_ms
        });
    }

    /// Gives up every waiting request, for another owner to serve.
    pub fn abandon(&mut self) -> Vec<Ticket> {
        self.queue.drain_if(|_| true).into_iter().map(|ask| ask.ticket).collect()
    }

    /// Treats an order without an answer as lost after a while.
    pub fn give_up_order(&mut self, now_ms: u64) {
        let limit_ms = self.timing.order_ms;
        let overdue = |f: &mut InFlight| now_ms >= f.sent_ms.saturating_add(2 * limit_ms);
        if let Some(lost) = self.in_flight.take_if(overdue) {
            self.to_resend = Some(lost.order.kind);
            self.note_answer(false);
        }
    }

    /// Whether a model that is on its way out can still be served.
    ///
    /// Where the endpoint ignores numbers, an idle model is unloaded by taking
    /// its placement away. Until the unload is sent, only this owner can send
    /// it, so a request that comes in time is served.
    fn serves_retiring(&self, model: &ModelName, placed: &EndpointRow, now_ms: u64) -> bool {
        let is_placed = placed.placed.contains_key(model);
        let is_whole = self.is_ready(model) && self.no_unload_can_come(model, now_ms);
        self.spec.fencing == Fencing::Ignored && is_placed && is_whole
    }

    fn no_unload_can_come(&self, model: &ModelName, now_ms: u64) -> bool {
        !self.inherited.contains(model) && self.unloads_have_settled(now_ms)
    }

    fn may_grant(&self, now_ms: u64) -> bool {
        let is_heard = self.looked_ms.is_some_and(|at_ms| now_ms < at_ms + self.timing.grant_ms);
        self.is_confirmed() && is_heard && !self.leaving
    }

    /// Whether it is time to look at the endpoint.
    fn is_look_due(&self, now_ms: u64) -> bool {
        let Some(looked_ms) = self.looked_ms else { return true };
        let is_changing = self.held.values().any(|held| held.phase != Phase::Ready);
        let is_used = !self.queue.is_empty() || !self.permits.is_empty();
        let interval_ms = match (is_changing, is_used) {
            (true, _) => BUSY_LOOK_MS,
            (false, true) => self.timing.grant_ms / 2,
            (false, false) => self.timing.look_ms,
        };
        now_ms >= looked_ms + interval_ms
    }

    fn note_answer(&mut self, answered: bool) {
        self.unanswered = if answered { 0 } else { self.unanswered.saturating_add(1) };
    }

    fn next_kind(
        &mut self,
        placed: &EndpointRow,
        catalog: &Catalog,
        may_load: bool,
        now_ms: u64,
    ) -> Option<OrderKind> {
        if !self.is_confirmed() {
            return Some(OrderKind::Claim);
        }
        if let Some(kind) = self.to_resend.take() {
            return Some(kind);
        }
        let load = self.next_load(placed, now_ms).filter(|_| !self.leaving);
        if let Some((model, memory_bytes)) = &load
            && may_load
            && self.free_bytes() >= *memory_bytes
        {
            let (model, memory_bytes) = (model.clone(), *memory_bytes);
            return Some(OrderKind::Load { model, memory_bytes });
        }
        let idle = match self.spec.fencing {
            Fencing::Checked => {
                let needs_room = load.is_some();
                let unneeded = self.unneeded(placed, catalog, now_ms);
                unneeded.or_else(|| self.victim().filter(|_| needs_room))
            }
            Fencing::Ignored => self.idle_released(),
        };
        let unload = idle.and_then(|model| self.unload_or_look(model, now_ms));
        unload.or_else(|| self.is_look_due(now_ms).then_some(OrderKind::Claim))
    }

    /// An idle model that no other owner can give permits for any more.
    fn idle_released(&self) -> Option<ModelName> {
        self.idle().map(|(model, _)| model).find(|model| self.released.contains(*model)).cloned()
    }

    /// Unloads an idle model, or first looks whether it really is idle.
    ///
    /// Permits of an earlier owner are not known here. Each has to be used at
    /// once or not at all, so a while after this owner was confirmed every
    /// request that used one shows in the endpoint's state. A report may lag,
    /// but the answer to an order shows the state after it, so an order that
    /// does nothing is sent first.
    fn unload_or_look(&self, model: ModelName, now_ms: u64) -> Option<OrderKind> {
        let earlier_permits_ms = self.timing.grant_ms + PERMIT_USE_MS + PERMIT_MARGIN_MS;
        let settled_ms = self.confirmed_ms? + earlier_permits_ms;
        if now_ms < settled_ms {
            return None;
        }
        let is_idle = self.held.get(&model).is_some_and(|held| held.running == 0);
        let looked_ms = self.looked_ms.filter(|looked_ms| *looked_ms >= settled_ms);
        match looked_ms {
            Some(_) if is_idle => Some(OrderKind::Unload { model }),
            Some(looked_ms) if now_ms < looked_ms + BUSY_LOOK_MS => None,
            _ => Some(OrderKind::Claim),
        }
    }

    /// A ready model that is not placed here any more, or that nobody has asked for in a while.
    pub(crate) fn unneeded(
        &self,
        placed: &EndpointRow,
        catalog: &Catalog,
        now_ms: u64,
    ) -> Option<ModelName> {
        let is_kept = |model: &ModelName, held: &Held| {
            let keep_ms = self.keep_ms(model, catalog);
            let used_ms = self.used_ms.get(model).copied().unwrap_or(held.since_ms);
            placed.is_active(model) && now_ms < used_ms.saturating_add(keep_ms)
        };
        self.idle().find(|(model, held)| !is_kept(model, held)).map(|(model, _)| model.clone())
    }

    /// The ready model that was used least recently, to make room.
    fn victim(&self) -> Option<ModelName> {
        let used_ms = |model: &ModelName| self.used_ms.get(model).copied().unwrap_or(0);
        self.idle().map(|(model, _)| model).min_by_key(|model| used_ms(model)).cloned()
    }

    /// Ready models that no request runs on or waits for.
    fn idle(&self) -> impl Iterator<Item = (&ModelName, &Held)> {
        let busy = |model: &ModelName| {
            self.foreign_running > 0
                || self.queue.wants(model)
                || self.permits.values().any(|permit| permit.model == *model)
        };
        self.held.iter().filter(move |(model, held)| held.phase == Phase::Ready && !busy(model))
    }

    /// The request that a load is due for first: its urgency and deadline.
    pub fn first_load(&self, placed: &EndpointRow, now_ms: u64) -> Option<(u8, u64)> {
        let (model, _) = self.next_load(placed, now_ms).filter(|_| self.is_confirmed())?;
        Some(self.queue.first_for(&model).unwrap_or(EXPECTED_LOAD))
    }

    /// Loads under way.
    pub fn loading(&self) -> impl Iterator<Item = &ModelName> {
        let loading = self.held.iter().filter(|(_, held)| held.phase == Phase::Loading);
        loading.map(|(model, _)| model)
    }

    /// Models that requests of the urgency or a greater one wait for, and that no load has begun for.
    pub fn waiting_for_load(&self, urgency: u8) -> impl Iterator<Item = &ModelName> {
        let wanted = self.queue.wanted_at(urgency).into_iter();
        wanted.filter(|model| !self.held.contains_key(*model))
    }

    /// Loads that have ended since the last call, and how long each took.
    pub fn take_ended_loads(&mut self) -> Vec<(ModelName, u64)> {
        std::mem::take(&mut self.ended_loads)
    }

    fn next_load(&self, placed: &EndpointRow, now_ms: u64) -> Option<(ModelName, u64)> {
        let is_due = |model: &ModelName| match self.held.get(model) {
            Some(held) => {
                held.phase == Phase::Loading && now_ms >= held.since_ms + self.timing.load_ms
            }
            None => self.failed_ms.get(model).is_none_or(|at| now_ms >= at + FAILED_LOAD_PAUSE_MS),
        };
        let may_load = |model: &&ModelName| placed.is_active(model) && is_due(model);
        let memory_of = |model: &ModelName| placed.placed[model].memory_bytes;
        if let Some(model) = self.queue.wanted().into_iter().find(may_load) {
            return Some((model.clone(), memory_of(model)));
        }
        let free_bytes = self.free_bytes();
        let has_room = |model: &&ModelName| memory_of(model) <= free_bytes;
        let expected = self.expected.iter().filter(may_load).find(has_room)?;
        Some((expected.clone(), memory_of(expected)))
    }

    fn reserve(&mut self, kind: &OrderKind, now_ms: u64) {
        match kind {
            OrderKind::Claim => {}
            OrderKind::Load { model, memory_bytes } => {
                let held = Held {
                    phase: Phase::Loading,
                    since_ms: now_ms,
                    memory_bytes: *memory_bytes,
                    running: 0,
                };
                self.held.entry(model.clone()).or_insert(held).since_ms = now_ms;
            }
            OrderKind::Unload { model } => {
                self.unload_sent_ms = Some(now_ms);
                if let Some(held) = self.held.get_mut(model) {
                    held.phase = Phase::Unloading;
                }
            }
        }
    }

    /// Notes that the endpoint has taken this owner's number.
    fn confirm(&mut self, report: &Report, answered: &InFlight, now_ms: u64) {
        if self.confirmed_ms.is_none() {
            self.confirmed_ms = Some(now_ms);
            self.foreign_running = report.running().saturating_sub(self.permits.len());
        }
        self.looked_ms = Some(answered.sent_ms);
    }

    fn take_state(&mut self, report: &Report, now_ms: u64) {
        self.foreign_running = self.foreign_running.min(report.running());
        let mut held = BTreeMap::new();
        for (model, state) in &report.models {
            let before = self.held.get(model);
            if let Some(before) = before.filter(|_| state.phase == Phase::Ready)
                && before.phase == Phase::Loading
            {
                let took_ms = now_ms.saturating_sub(before.since_ms);
                self.ended_loads.push((model.clone(), took_ms));
            }
            let since_ms = before.filter(|h| h.phase == state.phase).map_or(now_ms, |h| h.since_ms);
            let ModelReport { phase, memory_bytes, running } = *state;
            held.insert(model.clone(), Held { phase, since_ms, memory_bytes, running });
        }
        for model in self.unsettled_models() {
            if let Some(before) = self.held.get(&model) {
                held.insert(model, *before);
            }
        }
        self.held = held;
    }

    /// Models whose latest order has no answer yet.
    fn unsettled_models(&self) -> Vec<ModelName> {
        let in_flight = self.in_flight.as_ref().map(|f| &f.order.kind);
        let kinds = in_flight.into_iter().chain(self.to_resend.as_ref());
        kinds.filter_map(|kind| kind.model()).cloned().collect()
    }

    fn concerns_in_flight(&self, model: &ModelName) -> bool {
        self.unsettled_models().contains(model)
    }

    fn note_failure(&mut self, kind: &OrderKind, now_ms: u64) {
        if let OrderKind::Load { model, .. } = kind {
            self.failed_ms.insert(model.clone(), now_ms);
        }
    }

    fn free_bytes(&self) -> u64 {
        let held: u64 = self.held.values().map(|held| held.memory_bytes).sum();
        self.spec.memory_bytes.saturating_sub(held)
    }

    fn out(&self) -> usize {
        self.permits.len() + self.foreign_running
    }

    fn service_of(&self, model: &ModelName, spec: Option<&ModelSpec>) -> u64 {
        let declared = spec.map_or(0, |spec| spec.service_ms);
        self.service_ms.get(model).copied().unwrap_or(declared)
    }

    fn queue_ms(&self, urgency: u8, model: &ModelSpec) -> u64 {
        let before =
            (self.queue.ahead_of(urgency) + self.out() + 1).saturating_sub(self.spec.slots);
        before as u64 * model.service_ms / self.spec.slots.max(1) as u64
    }

    fn load_left_ms(&self, model: &ModelName, load_ms: u64, now_ms: u64) -> u64 {
        match self.held.get(model) {
            Some(held) if held.phase == Phase::Ready => 0,
            Some(held) if held.phase == Phase::Loading => {
                load_ms.saturating_sub(now_ms.saturating_sub(held.since_ms))
            }
            _ => load_ms,
        }
    }

    fn expected_wait_ms(
        &self,
        ask: &PermitAsk,
        model: &ModelSpec,
        outlook: Outlook,
        now_ms: u64,
    ) -> u64 {
        let load_ms = outlook.load_ms(model.load_ms);
        let begun = self.held.contains_key(&ask.model);
        let ahead_ms = if begun { 0 } else { outlook.ahead_ms };
        let load_ms = ahead_ms + self.load_left_ms(&ask.model, load_ms, now_ms);
        self.queue_ms(ask.urgency, model).max(load_ms)
    }

    fn is_ready(&self, model: &ModelName) -> bool {
        is_ready(&self.held, model)
    }

    /// The shortest time in which a waiting request for the model can still be answered.
    fn shortest_ms(&self, model: &ModelName, catalog: &Catalog, now_ms: u64) -> u64 {
        let Some(spec) = catalog.models.get(model) else { return 0 };
        let load_ms = self.load_left_ms(model, spec.load_ms / FASTEST_LOAD, now_ms);
        load_ms + self.service_of(model, Some(spec))
    }

    fn late_answer(&self, ask: &PermitAsk, catalog: &Catalog) -> PermitAnswer {
        let reason = if self.leaving {
            Refusal::Leaving
        } else if self.is_confirmed() {
            Refusal::DeadlinePassed
        } else {
            Refusal::EndpointSilent
        };
        let retry_ms = catalog
            .models
            .get(&ask.model)
            .map_or(0, |spec| self.queue_ms(ask.urgency, spec).max(spec.load_ms / 2));
        refused(reason, retry_ms)
    }
}

fn is_ready(held: &BTreeMap<ModelName, Held>, model: &ModelName) -> bool {
    held.get(model).is_some_and(|held| held.phase == Phase::Ready)
}

fn refused(reason: Refusal, retry_after_ms: u64) -> PermitAnswer {
    let retry_after_ms = retry_after_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
    PermitAnswer::Refused { reason, retry_after_ms }
}
