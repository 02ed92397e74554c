//! The control thread.
//!
//! The control thread is the only one that accesses the [`ControlState`] values of this daemon. It
//! processes one message at a time: it passes each event to the control state of the event's failure
//! domain, and has [`crate::actions`] execute the actions that the control state returns.

use crate::{
    actions,
    daemon::Daemon,
    error::{Result, ThreadSnafu},
    message::Message,
    status,
};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use snafu::ResultExt;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};
use trestle_core::{
    adoption::{self, Adoption},
    control_state::ControlState,
    event::{Action, Event, ReadPurpose},
    membership_row::Member,
    names::{DomainName, EndpointName},
    permit::{PermitAnswer, Ticket},
    row::Rows,
    timing::Timing,
};

/// Longest time between two [`Event::Tick`] events.
const TICK_MS: u64 = 50;

/// The data of the control thread.
struct Control {
    daemon: Arc<Daemon>,
    /// The failure domain of this daemon.
    domain: DomainName,
    /// The control states of this daemon's own failure domain and of those that it has adopted.
    states: BTreeMap<DomainName, ControlState>,
    /// The observed leases of the other failure domains that this daemon watches, in order to adopt
    /// them when all their daemons are gone.
    adoptions: BTreeMap<DomainName, Adoption>,
    /// Time of the next read of the leases in `adoptions`, on the daemon's clock.
    next_adoption_read_ms: u64,
    /// Channels for the answers to the permit requests that have not been answered yet.
    permit_replies: BTreeMap<Ticket, Sender<PermitAnswer>>,
}

/// Starts the control thread. Fails if the thread cannot be created.
pub(crate) fn start(daemon: Arc<Daemon>, messages: Receiver<Message>) -> Result<()> {
    let own_domain = DomainName::from(daemon.settings.domain.as_str());
    let mut control = Control {
        daemon,
        domain: own_domain.clone(),
        states: BTreeMap::new(),
        adoptions: BTreeMap::new(),
        next_adoption_read_ms: 0,
        permit_replies: BTreeMap::new(),
    };
    control.add_state(own_domain);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || smol::block_on(control.run(messages)))
        .context(ThreadSnafu)?;
    Ok(())
}

fn timing(daemon: &Daemon) -> Timing {
    let intervals = &daemon.settings.intervals;
    Timing {
        lease_ms: intervals.lease_ms,
        expiry_ms: intervals.expiry_ms,
        grant_ms: intervals.grant_ms,
        status_probe_ms: intervals.look_ms,
        settle_ms: intervals.settle_ms,
        ..Timing::default()
    }
}

impl Control {
    async fn run(mut self, messages: Receiver<Message>) {
        let mut next_tick_ms = 0;
        loop {
            let now_ms = self.daemon.now_ms();
            if now_ms >= next_tick_ms {
                next_tick_ms = now_ms + TICK_MS;
                self.handle_message(Message::Event(Event::Tick));
                self.read_adoption_candidates();
            }
            let next_tick = async {
                Timer::after(Duration::from_millis(next_tick_ms.saturating_sub(now_ms))).await;
                Ok(Message::Event(Event::Tick))
            };
            match messages.recv().or(next_tick).await {
                Ok(message) => self.handle_message(message),
                Err(_) => return,
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.dispatch(event),
            Message::DomainEvent(domain, Event::Read(ReadPurpose::Adoption, rows)) => {
                self.on_adoption_read(&domain, rows.as_ref());
            }
            Message::DomainEvent(domain, event) => self.handle_event(&domain, event),
            Message::PermitRequest(request, reply) => {
                self.permit_replies.insert(request.ticket, reply);
                let domain = self.domain_of(&request.endpoint);
                self.handle_event(&domain, Event::PermitRequested(request));
            }
            Message::OwnershipQuery(endpoint, reply) => {
                let state = self.states.get(&self.domain_of(&endpoint));
                let _ = reply.try_send(state.is_some_and(|state| state.owns(&endpoint)));
            }
            Message::StatusQuery(reply) => {
                let _ = reply.try_send(status::build(&self.daemon, &self.domain, &self.states));
            }
        }
    }

    /// Passes an event to the control state of its endpoint's domain, or to all of them if it
    /// concerns no single endpoint.
    fn dispatch(&mut self, event: Event) {
        if let Event::Cancel(_, ticket) = &event {
            self.permit_replies.remove(ticket);
        }
        match event.endpoint().map(|endpoint| self.domain_of(endpoint)) {
            Some(domain) => self.handle_event(&domain, event),
            None => {
                for domain in self.states.keys().cloned().collect::<Vec<_>>() {
                    self.handle_event(&domain, event.clone());
                }
            }
        }
    }

    fn handle_event(&mut self, domain: &DomainName, event: Event) {
        let now_ms = self.daemon.now_ms();
        let Some(state) = self.states.get_mut(domain) else {
            // This daemon no longer serves the domain, so the requester has to try another daemon.
            if let Event::PermitRequested(request) = event {
                let answer = PermitAnswer::NotOwner { owner_rank: None };
                self.execute(domain, Action::Answer(request.ticket, answer));
            }
            return;
        };
        for action in state.handle(event, now_ms) {
            self.execute(domain, action);
        }
    }

    fn execute(&mut self, domain: &DomainName, action: Action) {
        let Action::Answer(ticket, answer) = action else {
            let has_left = action == Action::Left;
            actions::execute(&self.daemon, domain, action);
            if has_left && *domain != self.domain {
                self.states.remove(domain);
            }
            return;
        };
        let reply = self.permit_replies.remove(&ticket);
        let was_received = reply.is_some_and(|reply| reply.try_send(answer.clone()).is_ok());
        let is_granted = matches!(answer, PermitAnswer::Granted { .. });
        if is_granted && !was_received {
            self.release_unclaimed(domain, ticket);
        }
    }

    /// Releases a permit whose requester no longer waits for it.
    fn release_unclaimed(&mut self, domain: &DomainName, ticket: Ticket) {
        let positions =
            self.states.get(domain).map(ControlState::chain_positions).into_iter().flatten();
        let mut holders = positions.filter(|(_, position)| {
            let owned = position.owned_endpoint();
            owned.is_some_and(|owned| owned.has_permit(ticket))
        });
        if let Some(endpoint) = holders.next().map(|(endpoint, _)| endpoint.clone()) {
            self.handle_event(domain, Event::Release(endpoint, ticket));
        }
    }

    fn domain_of(&self, endpoint: &EndpointName) -> DomainName {
        self.daemon.routing().domain_of(endpoint).unwrap_or(&self.domain).clone()
    }

    fn add_state(&mut self, domain: DomainName) {
        let member = Member {
            address: self.daemon.peers_address().to_string(),
            incarnation: self.daemon.incarnation,
            is_adopter: domain != self.domain,
        };
        let timing = timing(&self.daemon);
        let state = ControlState::new(self.daemon.own_vm.clone(), member, domain.clone(), timing);
        self.states.insert(domain, state);
    }

    /// Selects the domains that this daemon may have to adopt, and reads their leases.
    fn read_adoption_candidates(&mut self) {
        let now_ms = self.daemon.now_ms();
        if now_ms < self.next_adoption_read_ms || self.daemon.is_stopping.load(Ordering::Relaxed) {
            return;
        }
        let timing = timing(&self.daemon);
        self.next_adoption_read_ms = now_ms + timing.lease_ms;
        let Some(membership) = self.states.get(&self.domain).map(ControlState::membership) else {
            return;
        };
        let row = membership.row();
        let domains = self.daemon.routing().domain_names();
        let others = domains.into_iter().filter(|domain| !self.states.contains_key(domain));
        let followed: BTreeSet<DomainName> =
            others.filter(|domain| adoption::follows(row, membership.own_vm(), domain)).collect();
        self.adoptions.retain(|domain, _| followed.contains(domain));
        for domain in followed {
            let adoption = self
                .adoptions
                .entry(domain.clone())
                .or_insert_with(|| Adoption::new(domain.clone(), timing));
            let read = Action::Read(ReadPurpose::Adoption, adoption.keys());
            actions::execute(&self.daemon, &domain, read);
        }
    }

    fn on_adoption_read(&mut self, domain: &DomainName, rows: Option<&Rows>) {
        let now_ms = self.daemon.now_ms();
        let membership = self.states.get(&self.domain).map(ControlState::membership);
        let is_fresh = membership.is_some_and(|membership| membership.lease_is_fresh(now_ms));
        let Some(adoption) = self.adoptions.get_mut(domain) else { return };
        adoption.on_read(rows, is_fresh, now_ms);
        if !adoption.is_due(&self.domain, &self.daemon.routing().domain_names()) {
            return;
        }
        tracing::warn!(
            "member: Adopting failure domain {domain}, because all its daemons are gone."
        );
        self.adoptions.remove(domain);
        self.add_state(domain.clone());
        let catalog = Arc::new(self.daemon.routing().config.catalog.clone());
        self.handle_event(domain, Event::Catalog(catalog));
    }
}
