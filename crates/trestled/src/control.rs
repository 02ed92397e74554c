//! The control thread.
//!
//! It alone holds the node. It takes one message after another, hands events to
//! the node, and gives what the node asks for to [`crate::shell`].

use crate::{
    daemon::Daemon,
    error::{Result, ThreadSnafu},
    shell, status,
};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use snafu::ResultExt;
use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};
use trestle_core::{
    event::{Action, Event},
    membership_row::Member,
    names::EndpointName,
    node::Node,
    permit::{PermitAnswer, PermitAsk, Ticket},
    timing::Timing,
};
use trestle_wire::admin::Status;

/// Longest time between two looks at what is due.
const TICK_MS: u64 = 50;

/// What the control thread takes.
pub(crate) enum Message {
    /// Something happened.
    Event(Event),
    /// An entry daemon asks for a permit.
    Ask(PermitAsk, Sender<PermitAnswer>),
    /// A peer asks whether this daemon owns an endpoint.
    Owns(EndpointName, Sender<bool>),
    /// An operator asks for the state of the daemon.
    Status(Sender<Status>),
}

/// Everything that the control thread holds.
struct Control {
    daemon: Arc<Daemon>,
    node: Node,
    waiting: BTreeMap<Ticket, Sender<PermitAnswer>>,
}

/// Starts the control thread.
pub(crate) fn start(daemon: Arc<Daemon>, messages: Receiver<Message>) -> Result<()> {
    let settings = &daemon.settings;
    let member =
        Member { address: daemon.peers_address().to_string(), incarnation: daemon.incarnation };
    let domain = settings.domain.as_str().into();
    let node = Node::new(daemon.me.clone(), member, domain, timing(&daemon));
    let control = Control { daemon, node, waiting: BTreeMap::new() };
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
        look_ms: intervals.look_ms,
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
                self.take(Message::Event(Event::Tick));
            }
            let next_tick = async {
                Timer::after(Duration::from_millis(next_tick_ms.saturating_sub(now_ms))).await;
                Ok(Message::Event(Event::Tick))
            };
            match messages.recv().or(next_tick).await {
                Ok(message) => self.take(message),
                Err(_) => return,
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.handle(event),
            Message::Ask(ask, reply) => {
                self.waiting.insert(ask.ticket, reply);
                self.handle(Event::Ask(ask));
            }
            Message::Owns(endpoint, reply) => {
                let _ = reply.try_send(self.node.owns(&endpoint));
            }
            Message::Status(reply) => {
                let _ = reply.try_send(status::of(&self.daemon, &self.node));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Cancel(_, ticket) = &event {
            self.waiting.remove(ticket);
        }
        for action in self.node.handle(event, self.daemon.now_ms()) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let Action::Answer(ticket, answer) = action else {
            shell::carry_out(&self.daemon, action);
            return;
        };
        let reply = self.waiting.remove(&ticket);
        let is_received = reply.is_some_and(|reply| reply.try_send(answer.clone()).is_ok());
        let is_granted = matches!(answer, PermitAnswer::Granted { .. });
        if is_granted && !is_received {
            self.give_back(ticket);
        }
    }

    /// Gives back a permit that nobody waits for any more.
    fn give_back(&mut self, ticket: Ticket) {
        let owns = self
            .node
            .seats()
            .iter()
            .find(|(_, seat)| seat.owned().is_some_and(|owned| owned.has_permit(ticket)));
        if let Some(endpoint) = owns.map(|(endpoint, _)| endpoint.clone()) {
            self.handle(Event::Release(endpoint, ticket));
        }
    }
}
