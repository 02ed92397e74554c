//! What the parts of the daemon share.

use crate::{
    clock::Clock,
    control::{message::Message, permit::OrderPermits},
    knowledge::Knowledge,
    metrics::Metrics,
    net::pool::Pool,
    peer::calls::LeaderCalls,
    stopping::Stopping,
    store::{client::Store, freshness::Freshness},
    wire::Wire,
};
use async_channel::Sender;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};
use trestle_config::entry_settings::{Bounds, EntrySettings};
use trestle_core::names::{EndpointName, ServiceName};
use trestle_dispatch::{
    allowance::Allowances, endpoint::Endpoint, endpoint_limits::EndpointLimits,
    order_log::OrderLog, policy::Policy, quota_allocator::QuotaAllocator, trials::Trials,
};

/// What the parts of the daemon share.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) settings: EntrySettings,
    pub(crate) wire: Wire,
    pub(crate) knowledge: Knowledge,
    pub(crate) store: Store,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) control: Sender<Message>,
    pub(crate) order_permits: OrderPermits,
    order_log: Mutex<OrderLog>,
    trials: Mutex<Trials>,
    quota_allocator: Mutex<QuotaAllocator>,
    endpoint_limits: Mutex<EndpointLimits>,
    allowances: Mutex<Allowances>,
    pub(crate) calls: LeaderCalls,
    pub(crate) freshness: Freshness,
    pub(crate) stopping: Stopping,
    pub(crate) in_flight: AtomicUsize,
    next_number: AtomicU64,
}

impl Daemon {
    /// A daemon that has not started.
    pub(crate) fn new(
        settings: EntrySettings,
        wire: Wire,
        metrics: Metrics,
        control: Sender<Message>,
        policy: Policy,
    ) -> Self {
        let clock = Clock::start();
        Self {
            knowledge: Knowledge::new(&settings, policy, clock),
            store: Store::new(settings.store_address, wire.store, &settings.bounds),
            pool: Pool::new(clock),
            metrics,
            control,
            order_permits: OrderPermits::default(),
            order_log: Mutex::default(),
            trials: Mutex::default(),
            quota_allocator: Mutex::default(),
            endpoint_limits: Mutex::default(),
            allowances: Mutex::default(),
            calls: LeaderCalls::default(),
            freshness: Freshness::new(&settings.bounds),
            stopping: Stopping::new(&settings.bounds),
            in_flight: AtomicUsize::new(0),
            next_number: AtomicU64::new(1),
            wire,
            settings,
        }
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.has_begun()
            && self
                .knowledge
                .with(|local_view| local_view.catalog.is_some() && local_view.is_list_read)
    }

    /// Puts changed bounds in force.
    pub(crate) fn take_bounds(&self, bounds: &Bounds) {
        self.knowledge.take_bounds(bounds);
        self.freshness.take_bounds(bounds);
        self.store.take_bounds(bounds);
        self.stopping.take_bounds(bounds);
        self.tell(Message::QuietTime(bounds.order_quiet_ms));
    }

    /// Where other daemons reach this one.
    pub(crate) fn peers_address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.address, self.settings.peers_port)
    }

    /// Looks at, or notes, when engines last got orders.
    pub(crate) fn with_order_log<R>(&self, look: impl FnOnce(&mut OrderLog) -> R) -> R {
        look(&mut self.order_log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Looks at, or changes, which attempts run of requests that ended endpoints.
    pub(crate) fn with_trials<R>(&self, look: impl FnOnce(&mut Trials) -> R) -> R {
        look(&mut self.trials.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Looks at, or changes, what this daemon has to lend while it leads.
    pub(crate) fn with_lender<R>(&self, look: impl FnOnce(&mut QuotaAllocator) -> R) -> R {
        look(&mut self.quota_allocator.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Looks at, or changes, what this daemon decides on limits of endpoints while it leads.
    pub(crate) fn with_endpoint_limits<R>(&self, look: impl FnOnce(&mut EndpointLimits) -> R) -> R {
        look(&mut self.endpoint_limits.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Looks at, or changes, what it may spend of the limits of teams.
    pub(crate) fn with_allowances<R>(&self, look: impl FnOnce(&mut Allowances) -> R) -> R {
        look(&mut self.allowances.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The endpoints of a service that may get new work.
    pub(crate) fn usable(&self, service: &ServiceName) -> BTreeMap<EndpointName, Arc<Endpoint>> {
        self.knowledge.with(|local_view| {
            let usable = local_view.directory.usable_shared(service).cloned();
            usable.map(|endpoint| (endpoint.name.clone(), endpoint)).collect()
        })
    }

    /// Whether an endpoint is still listed as this start of it.
    pub(crate) fn is_listed_start(&self, endpoint: &Endpoint) -> bool {
        self.knowledge.with(|local_view| local_view.directory.contains(&endpoint.incarnation()))
    }

    /// The same, and it is not leaving.
    pub(crate) fn is_usable_start(&self, endpoint: &Endpoint) -> bool {
        self.knowledge.with(|local_view| local_view.directory.is_usable(&endpoint.incarnation()))
    }

    /// Until when an endpoint wants nothing of this daemon; 0 if it has not said so.
    pub(crate) fn rests_until_ms(&self, endpoint: &Endpoint) -> u64 {
        let incarnation = endpoint.incarnation();
        self.knowledge.with(|local_view| {
            local_view.backpressure.backoff(&incarnation).map_or(0, |rest| rest.until_ms)
        })
    }

    /// A number that nothing else in this process has.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Asks the control thread something; `None` if it takes no questions any more.
    pub(crate) async fn ask<T>(&self, question: impl FnOnce(Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        self.tell(question(reply));
        answer.recv().await.ok()
    }

    /// Tells the control thread something.
    pub(crate) fn tell(&self, message: Message) {
        // The channel closes only when the control thread has ended with the process.
        let _ = self.control.try_send(message);
    }
}
