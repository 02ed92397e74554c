//! The state that all parts of the daemon share.

use crate::{
    clock::Clock,
    control::{message::Message, permit::OrderPermits},
    held_bytes::HeldBytes,
    metrics::Metrics,
    net::pool::Pool,
    peer::calls::LeaderCalls,
    schedule::SchedulingState,
    shared_view::SharedView,
    stopping::Stopping,
    store::{client::Store, freshness::Freshness},
    trial_waits::TrialWaits,
    wire::Wire,
};
use async_channel::Sender;
use event_listener::Event;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};
use trestle_config::entry_settings::{Bounds, EntrySettings};
use trestle_core::names::{EndpointName, ServiceName};
use trestle_dispatch::{
    allowance::Allowances,
    endpoint::Endpoint,
    endpoint_limits::EndpointLimits,
    helpers::{HelperRoster, Helpers},
    load::prompt_scheduler::PromptScheduler,
    order_log::OrderLog,
    policy::Policy,
    quota_allocator::QuotaAllocator,
    slot_allocator::SlotAllocator,
    stream_keepers::StreamKeepers,
    trials::Trials,
};

/// The state that all parts of the daemon share.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) settings: EntrySettings,
    pub(crate) wire: Wire,
    pub(crate) shared_view: SharedView,
    pub(crate) store: Store,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) control: Sender<Message>,
    pub(crate) order_permits: OrderPermits,
    order_log: Mutex<OrderLog>,
    trials: Mutex<Trials>,
    pub(crate) trial_waits: TrialWaits,
    quota_allocator: Mutex<QuotaAllocator>,
    endpoint_limits: Mutex<EndpointLimits>,
    allowances: Mutex<Allowances>,
    helpers: Mutex<Helpers>,
    helper_roster: Mutex<HelperRoster>,
    /// Signals that helpers are needed, or that this daemon no longer is one.
    pub(crate) helpers_needed: Event,
    stream_keepers: Mutex<StreamKeepers>,
    /// Signals that other daemons must be told where a stream began.
    pub(crate) stream_untold: Event,
    /// Calls about streams, apart from others since daemons of earlier releases close the connection.
    pub(crate) stream_calls: LeaderCalls,
    /// Number of detours that this daemon has open for others.
    pub(crate) open_detours: AtomicUsize,
    slot_allocator: Mutex<SlotAllocator>,
    pub(crate) calls: LeaderCalls,
    prompt_scheduler: Mutex<PromptScheduler>,
    scheduling: Mutex<SchedulingState>,
    /// Calls on prompts, apart from others since daemons of earlier releases close the connection.
    pub(crate) schedule_calls: LeaderCalls,
    /// Calls on slots, apart from others since daemons of earlier releases close the connection.
    pub(crate) slot_calls: LeaderCalls,
    pub(crate) freshness: Freshness,
    pub(crate) stopping: Stopping,
    pub(crate) in_flight: AtomicUsize,
    /// Bytes that are held for request bodies and answers.
    pub(crate) held_bytes: Arc<HeldBytes>,
    /// Whether this daemon was the last to lead a group, so that other daemons still report to it.
    pub(crate) is_last_holder: AtomicBool,
    next_number: AtomicU64,
}

impl Daemon {
    /// Returns a daemon that has not started.
    pub(crate) fn new(
        settings: EntrySettings,
        wire: Wire,
        metrics: Metrics,
        control: Sender<Message>,
        policy: Policy,
    ) -> Self {
        let clock = Clock::start();
        Self {
            shared_view: SharedView::new(&settings, policy, clock),
            store: Store::new(settings.store_address, wire.store, &settings.bounds),
            pool: Pool::new(clock),
            metrics,
            control,
            order_permits: OrderPermits::default(),
            order_log: Mutex::default(),
            trials: Mutex::default(),
            trial_waits: TrialWaits::default(),
            quota_allocator: Mutex::default(),
            endpoint_limits: Mutex::default(),
            allowances: Mutex::default(),
            helpers: Mutex::default(),
            helper_roster: Mutex::default(),
            helpers_needed: Event::new(),
            stream_keepers: Mutex::default(),
            stream_untold: Event::new(),
            stream_calls: LeaderCalls::default(),
            open_detours: AtomicUsize::new(0),
            slot_allocator: Mutex::default(),
            calls: LeaderCalls::default(),
            slot_calls: LeaderCalls::default(),
            prompt_scheduler: Mutex::default(),
            scheduling: Mutex::default(),
            schedule_calls: LeaderCalls::default(),
            freshness: Freshness::new(&settings.bounds),
            stopping: Stopping::new(&settings.bounds),
            in_flight: AtomicUsize::new(0),
            held_bytes: HeldBytes::new(settings.memory_mb),
            is_last_holder: AtomicBool::new(false),
            // A leader must not take an attempt for one of an earlier process of this daemon.
            next_number: AtomicU64::new(u64::from(fastrand::u32(1..)) << u16::BITS),
            wire,
            settings,
        }
    }

    /// Returns whether the balancer should send callers to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.has_begun()
            && self
                .shared_view
                .with(|local_view| local_view.catalog.is_some() && local_view.is_list_read)
    }

    /// Applies changed bounds from the settings.
    pub(crate) fn apply_bounds(&self, bounds: &Bounds) {
        self.shared_view.apply_bounds(bounds);
        self.freshness.apply_bounds(bounds);
        self.store.apply_bounds(bounds);
        self.stopping.apply_bounds(bounds);
        self.send(Message::QuietTime(bounds.order_quiet_ms));
    }

    /// Returns the address at which this daemon serves other daemons.
    pub(crate) fn peers_address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.address, self.settings.peers_port)
    }

    /// Calls a function with the log of the last orders to each engine.
    pub(crate) fn with_order_log<R>(&self, f: impl FnOnce(&mut OrderLog) -> R) -> R {
        f(&mut self.order_log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the running attempts of requests under which endpoints crashed.
    pub(crate) fn with_trials<R>(&self, f: impl FnOnce(&mut Trials) -> R) -> R {
        f(&mut self.trials.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the allocator of team limits, which is used while this daemon leads.
    pub(crate) fn with_quota_allocator<R>(&self, f: impl FnOnce(&mut QuotaAllocator) -> R) -> R {
        f(&mut self.quota_allocator.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the limits of endpoints on which this daemon decides while it leads.
    pub(crate) fn with_endpoint_limits<R>(&self, f: impl FnOnce(&mut EndpointLimits) -> R) -> R {
        f(&mut self.endpoint_limits.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the parts of team limits that this daemon may spend.
    pub(crate) fn with_allowances<R>(&self, f: impl FnOnce(&mut Allowances) -> R) -> R {
        f(&mut self.allowances.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the helpers that this daemon knows.
    pub(crate) fn with_helpers<R>(&self, f: impl FnOnce(&mut Helpers) -> R) -> R {
        f(&mut self.helpers.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the daemons that report to this one as helpers.
    pub(crate) fn with_helper_roster<R>(&self, f: impl FnOnce(&mut HelperRoster) -> R) -> R {
        f(&mut self.helper_roster.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the daemons that keep where streams began.
    pub(crate) fn with_stream_keepers<R>(&self, f: impl FnOnce(&mut StreamKeepers) -> R) -> R {
        f(&mut self.stream_keepers.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the slots of brittle endpoints that this daemon lends while it leads.
    pub(crate) fn with_slot_allocator<R>(&self, f: impl FnOnce(&mut SlotAllocator) -> R) -> R {
        f(&mut self.slot_allocator.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with the scheduler of prompts, which is used while this daemon leads.
    pub(crate) fn with_prompt_scheduler<R>(&self, f: impl FnOnce(&mut PromptScheduler) -> R) -> R {
        f(&mut self.prompt_scheduler.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls a function with what this daemon knows about the leaders that schedule prompts.
    pub(crate) fn with_scheduling<R>(&self, f: impl FnOnce(&mut SchedulingState) -> R) -> R {
        f(&mut self.scheduling.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the endpoints of a service that may receive new work.
    pub(crate) fn usable_endpoints(
        &self,
        service: &ServiceName,
    ) -> BTreeMap<EndpointName, Arc<Endpoint>> {
        self.shared_view.with(|local_view| {
            let usable = local_view.directory.usable_shared(service).cloned();
            usable.map(|endpoint| (endpoint.name.clone(), endpoint)).collect()
        })
    }

    /// Returns whether the list still holds this incarnation of an endpoint.
    pub(crate) fn is_listed_incarnation(&self, endpoint: &Endpoint) -> bool {
        self.shared_view.with(|local_view| local_view.directory.contains(&endpoint.incarnation()))
    }

    /// Returns whether the list still holds this incarnation of an endpoint, and it is not
    /// draining.
    pub(crate) fn is_usable_incarnation(&self, endpoint: &Endpoint) -> bool {
        self.shared_view.with(|local_view| local_view.directory.is_usable(&endpoint.incarnation()))
    }

    /// Returns until when an endpoint has requested a backoff from this daemon; 0 if it has not.
    pub(crate) fn backoff_until_ms(&self, endpoint: &Endpoint) -> u64 {
        let incarnation = endpoint.incarnation();
        self.shared_view.with(|local_view| {
            local_view.backpressure.backoff(&incarnation).map_or(0, |backoff| backoff.until_ms)
        })
    }

    /// Returns a number that is unique in this process.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a query to the control thread. Returns `None` if the control thread no longer
    /// answers.
    pub(crate) async fn query<T>(&self, message: impl FnOnce(Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = async_channel::bounded(1);
        self.send(message(reply));
        answer.recv().await.ok()
    }

    /// Sends a message to the control thread.
    pub(crate) fn send(&self, message: Message) {
        // The channel closes only when the control thread terminates with the process.
        let _ = self.control.try_send(message);
    }
}
