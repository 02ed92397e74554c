//! Delivery of the simulation's messages, and their effects.

use super::{ScheduledEvent, Simulation, TICK_MS, TIMEOUT_MS};
use trestle_core::{
    event::{Action, CommitPurpose, Event, ReadPurpose},
    names::{EndpointName, ModelName, VmName},
    order::{Order, OrderOutcome},
    permit::{PERMIT_USE_MS, PermitAnswer, Ticket},
    row::{CommitOutcome, Txn},
};

impl Simulation {
    pub(super) fn process(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Tick(name) => self.tick(name),
            ScheduledEvent::Event(name, run, event) => self.deliver(name, run, event),
            ScheduledEvent::Commit(name, run, purpose, txn) => {
                self.queue_answer_after_commit(name, run, purpose, txn);
            }
            ScheduledEvent::Read(name, run, purpose, keys) => {
                let is_cut = self.faults.is_platform_cut(&name);
                let rows = (!is_cut).then(|| self.table.read(&keys));
                let late_ms = self.faults.late_placements_ms.get(&name).copied().unwrap_or(0);
                let is_late = matches!(purpose, ReadPurpose::Placements { .. });
                let late_ms = if is_late { late_ms } else { 0 };
                let at_ms = self.now_ms + self.message_delay_ms() + late_ms;
                let event = Event::Read(purpose, rows);
                self.queue.push(at_ms, ScheduledEvent::Event(name, run, event));
            }
            ScheduledEvent::Order(name, run, endpoint, order) => {
                self.apply_order(name, run, endpoint, order);
            }
            ScheduledEvent::Loaded(endpoint, model) => self.engine(&endpoint).loaded(&model),
            ScheduledEvent::Unloaded(endpoint, model) => self.engine(&endpoint).unloaded(&model),
            ScheduledEvent::Begin { endpoint, model, owner, ticket, use_by_ms } => {
                self.begin(endpoint, model, owner, ticket, use_by_ms);
            }
            ScheduledEvent::End { endpoint, model, owner, ticket } => {
                self.engine(&endpoint).end(&model);
                self.record_completion(ticket);
                self.release(&owner, endpoint, ticket);
            }
        }
    }

    fn record_completion(&mut self, ticket: Ticket) {
        let Some((urgency, deadline_ms)) = self.running.remove(&ticket) else { return };
        let completed = self.completed.entry(urgency).or_default();
        match self.now_ms <= deadline_ms + self.late_after_ms {
            true => completed.in_time += 1,
            false => completed.late += 1,
        }
    }

    fn tick(&mut self, name: VmName) {
        self.queue.push(self.now_ms + TICK_MS, ScheduledEvent::Tick(name.clone()));
        let vm = &self.vms[&name];
        if !vm.is_alive || vm.frozen_until_ms > self.now_ms {
            return;
        }
        let run = vm.run;
        let reads_list =
            !self.faults.is_platform_cut(&name) && !self.faults.stale_list.contains(&name);
        if self.random(20) == 0 && reads_list {
            let listed = self.listed.clone();
            self.handle(&name, run, Event::VmList(listed));
        }
        self.handle(&name, run, Event::Tick);
    }

    fn deliver(&mut self, name: VmName, run: u64, event: Event) {
        let until_ms = self.vms[&name].frozen_until_ms;
        if until_ms > self.now_ms {
            self.queue.push(until_ms, ScheduledEvent::Event(name, run, event));
            return;
        }
        self.handle(&name, run, event);
    }

    fn handle(&mut self, name: &VmName, run: u64, event: Event) {
        let Some(vm) = self.vms.get_mut(name) else { return };
        if !vm.is_alive || vm.run != run {
            return;
        }
        let actions = vm.control.handle(event, self.now_ms);
        for action in actions {
            self.carry_out(name, run, action);
        }
    }

    fn carry_out(&mut self, name: &VmName, run: u64, action: Action) {
        let at_ms = self.now_ms + self.message_delay_ms();
        let name = name.clone();
        match action {
            Action::Read(purpose, keys) => {
                self.queue.push(at_ms, ScheduledEvent::Read(name, run, purpose, keys));
            }
            Action::Commit(purpose, txn) => {
                self.queue.push(at_ms, ScheduledEvent::Commit(name, run, purpose, txn));
            }
            Action::Probe { vm, endpoint, .. } => {
                let owns = self.probe(&name, &vm, &endpoint);
                let event = Event::Probed { vm, endpoint, owns };
                self.queue.push(at_ms, ScheduledEvent::Event(name, run, event));
            }
            Action::Order(endpoint, order) => self.send_order(name, run, endpoint, order),
            Action::Answer(ticket, answer) => self.on_answer(&name, ticket, answer),
            Action::Notify { vm, endpoint, .. } => {
                let run = self.vms.get(&vm).map_or(0, |vm| vm.run);
                if !self.faults.are_peers_cut(&name, &vm) {
                    self.schedule_event(&vm, run, Event::RowChanged(endpoint));
                }
            }
            Action::Members(_)
            | Action::Ownership { .. }
            | Action::FetchUsageProfiles(_)
            | Action::StoreUsageProfiles(..) => {}
            Action::Left => self.vm(name.as_str()).is_alive = false,
        }
    }

    fn probe(&self, from: &VmName, to: &VmName, endpoint: &EndpointName) -> Option<bool> {
        let vm = self.vms.get(to)?;
        let is_reachable = vm.is_alive
            && vm.frozen_until_ms <= self.now_ms
            && !self.faults.are_peers_cut(from, to);
        is_reachable.then(|| vm.control.owns(endpoint))
    }

    /// Sends an order; some orders are delayed until after the sender has stopped waiting.
    fn send_order(&mut self, name: VmName, run: u64, endpoint: EndpointName, order: Order) {
        let fence = order.fence;
        let unknown = Event::OrderResult {
            endpoint: endpoint.clone(),
            fence,
            outcome: OrderOutcome::Unknown,
        };
        self.queue
            .push(self.now_ms + TIMEOUT_MS, ScheduledEvent::Event(name.clone(), run, unknown));
        if self.faults.is_engine_cut(&name, &endpoint) {
            return;
        }
        let is_slow = self.rng.u8(..100) < self.faults.slow_orders_percent;
        let longest_ms = self.faults.slow_order_ms;
        let delay_ms = if is_slow { self.random(longest_ms) } else { self.message_delay_ms() };
        // An order that a suspended daemon has not sent yet is sent when the daemon resumes.
        let delayed_until_ms = self.faults.orders_delayed_until_ms.get(&name).copied().unwrap_or(0);
        let frozen_ms = self.vms[&name].frozen_until_ms.max(delayed_until_ms);
        let at_ms = (self.now_ms + delay_ms).max(frozen_ms);
        self.queue.push(at_ms, ScheduledEvent::Order(name, run, endpoint, order));
    }

    fn apply_order(&mut self, name: VmName, run: u64, endpoint: EndpointName, order: Order) {
        let fence = order.fence;
        let recorded = self.table.recorded_models(&endpoint);
        let now_ms = self.now_ms;
        let effect = self.engine(&endpoint).apply(order, &recorded, now_ms, endpoint.as_str());
        self.loads += u64::from(effect.loading.is_some());
        let ends_ms = self.now_ms + 500 + self.random(1_500);
        if let Some(model) = effect.loading {
            self.queue.push(ends_ms, ScheduledEvent::Loaded(endpoint.clone(), model));
        }
        if let Some(model) = effect.unloading {
            let ends_ms = self.now_ms + 50 + self.random(200);
            self.queue.push(ends_ms, ScheduledEvent::Unloaded(endpoint.clone(), model));
        }
        let is_lost = self.rng.u8(..100) < self.faults.lost_answers_percent;
        if !is_lost {
            self.schedule_event(
                &name,
                run,
                Event::OrderResult { endpoint, fence, outcome: effect.outcome },
            );
        }
    }

    fn queue_answer_after_commit(
        &mut self,
        name: VmName,
        run: u64,
        purpose: CommitPurpose,
        txn: Txn,
    ) {
        let mut outcome = CommitOutcome::Unknown;
        if !self.faults.is_platform_cut(&name) && !self.faults.writes_down {
            outcome = self.table.commit(txn, &self.catalog);
            self.check_recorded();
            if self.rng.u8(..100) < self.faults.lost_answers_percent {
                outcome = CommitOutcome::Unknown;
            }
        }
        self.schedule_event(&name, run, Event::Committed(purpose, outcome));
    }

    /// Checks that the table records every model that occupies memory at an engine.
    fn check_recorded(&self) {
        for (name, engine) in &self.engines {
            let recorded = self.table.recorded_models(name);
            for model in engine.held() {
                assert!(
                    recorded.contains(model),
                    "surplus replica at {} ms: {model} at {name} is not recorded",
                    self.now_ms
                );
            }
        }
    }

    fn on_answer(&mut self, owner: &VmName, ticket: Ticket, answer: PermitAnswer) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        if !matches!(answer, PermitAnswer::Granted { .. }) {
            self.refused += 1;
            return;
        }
        self.granted += 1;
        self.running.insert(ticket, (request.urgency, request.deadline_ms));
        let at_ms = self.now_ms + self.message_delay_ms().max(self.faults.permit_use_ms);
        self.queue.push(
            at_ms,
            ScheduledEvent::Begin {
                endpoint: request.endpoint,
                model: request.model,
                owner: owner.clone(),
                ticket,
                use_by_ms: self.now_ms + PERMIT_USE_MS,
            },
        );
    }

    fn begin(
        &mut self,
        endpoint: EndpointName,
        model: ModelName,
        owner: VmName,
        ticket: Ticket,
        use_by_ms: u64,
    ) {
        if self.now_ms > use_by_ms || !self.engine(&endpoint).begin(&model) {
            self.release(&owner, endpoint, ticket);
            return;
        }
        let run_ms = match self.faults.run_ms {
            Some(run_ms) => run_ms,
            None => 100 + self.random(4_000),
        };
        let ends_ms = self.now_ms + run_ms;
        self.queue.push(ends_ms, ScheduledEvent::End { endpoint, model, owner, ticket });
    }

    fn release(&mut self, owner: &VmName, endpoint: EndpointName, ticket: Ticket) {
        let run = self.vms[owner].run;
        self.schedule_event(owner, run, Event::Release(endpoint, ticket));
    }

    pub(super) fn schedule_event(&mut self, name: &VmName, run: u64, event: Event) {
        let at_ms = self.now_ms + self.message_delay_ms();
        self.queue.push(at_ms, ScheduledEvent::Event(name.clone(), run, event));
    }

    fn message_delay_ms(&mut self) -> u64 {
        let is_slow = self.rng.u8(..10) == 0 && !self.faults.has_no_slow_messages;
        let longest_ms = if is_slow { 300 } else { 10 };
        self.random(longest_ms)
    }

    pub(super) fn running(&self) -> Vec<(VmName, u64)> {
        let alive = self.vms.iter().filter(|(_, vm)| vm.is_alive);
        alive.map(|(name, vm)| (name.clone(), vm.run)).collect()
    }
}
