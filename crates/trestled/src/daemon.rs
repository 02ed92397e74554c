//! The state that all parts of the daemon share.

use crate::{
    claims::writer::ClaimWriter, error::Result, message::Message, metrics::Metrics,
    placement_hints::PlacementHints, routing::Routing,
};
use async_channel::{Receiver, Sender};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};
use trestle_client::{engine::Engine, peers::Peers, platform::Platform};
use trestle_config::settings::Settings;
use trestle_core::{
    event::Event,
    health::Health,
    names::{DomainName, EndpointName, TeamName, VmName},
    permit::Ticket,
    retry_budget::RetryBudget,
};
use trillium_client::Client;

/// Time without an answer after which the platform counts as unavailable.
const PLATFORM_SILENT_MS: u64 = 2_500;

/// The state that all parts of the daemon share.
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    pub(crate) own_vm: VmName,
    /// A random number that identifies this start of the daemon.
    pub(crate) incarnation: u64,
    pub(crate) platform: Platform,
    pub(crate) engine: Engine,
    pub(crate) peers: Peers,
    /// The HTTP client for completion requests.
    pub(crate) engine_client: Client,
    /// The HTTP client for calls that may be repeated.
    pub(crate) service_client: Client,
    /// The HTTP client for calls that may not be repeated; it opens a connection for each.
    pub(crate) single_use_client: Client,
    pub(crate) metrics: Metrics,
    /// Whether the daemon is no longer a member of its failure domain.
    has_left: AtomicBool,
    pub(crate) claim_writer: ClaimWriter,
    /// Whether a planned stop has begun.
    pub(crate) is_stopping: AtomicBool,
    /// The number of requests and background tasks that a planned stop waits for.
    pub(crate) in_flight: AtomicUsize,
    /// The total size of the request bodies that are held.
    pub(crate) body_bytes: AtomicUsize,
    control_messages: Sender<Message>,
    domain_refresh_sender: Sender<()>,
    pub(crate) domain_refresh_requests: Receiver<()>,
    routing: RwLock<Arc<Routing>>,
    started: Instant,
    next_ticket: AtomicU64,
    /// When the platform last answered, on the daemon's clock.
    platform_answered_ms: AtomicU64,
    traffic: Mutex<TrafficState>,
}

/// The state that the traffic threads change, behind one lock.
#[derive(Default)]
pub(crate) struct TrafficState {
    pub(crate) health: BTreeMap<EndpointName, Health>,
    pub(crate) retries: RetryBudget,
    /// The numbers of requests in flight, by tenant.
    pub(crate) requests_by_tenant: BTreeMap<TeamName, usize>,
    /// The numbers of calls to servers of plain services in flight, by server.
    pub(crate) calls_by_endpoint: BTreeMap<EndpointName, usize>,
    pub(crate) placement_hints: PlacementHints,
}

impl Daemon {
    /// Creates a daemon that has not been started, and returns it with the receiver of the messages
    /// to its control thread. Fails if the metrics cannot be set up.
    pub(crate) fn new(settings: Settings) -> Result<(Arc<Self>, Receiver<Message>)> {
        let (control_messages, messages) = async_channel::unbounded();
        let (domain_refresh_sender, domain_refresh_requests) = async_channel::bounded(1);
        let platform = Platform::new(&settings.platform_url);
        let daemon = Arc::new(Self {
            own_vm: settings.vm.as_str().into(),
            incarnation: fastrand::u64(..),
            claim_writer: ClaimWriter::start(platform.clone()),
            platform,
            engine: Engine::default(),
            peers: Peers::default(),
            engine_client: trestle_client::http::pooled_client(),
            service_client: trestle_client::http::pooled_client(),
            single_use_client: trestle_client::http::single_use_client(),
            metrics: Metrics::new()?,
            has_left: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            control_messages,
            domain_refresh_sender,
            domain_refresh_requests,
            routing: RwLock::default(),
            started: Instant::now(),
            next_ticket: AtomicU64::new(fastrand::u64(..) >> 8),
            platform_answered_ms: AtomicU64::new(0),
            traffic: Mutex::default(),
            settings,
        });
        Ok((daemon, messages))
    }

    /// Returns the time in milliseconds since the daemon was created, on a monotonic clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns a ticket that no other permit request at this daemon has.
    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an event to the control thread.
    pub(crate) fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Sends an event of one failure domain to the control thread.
    pub(crate) fn send_domain_event(&self, domain: DomainName, event: Event) {
        self.send(Message::DomainEvent(domain, event));
    }

    /// Sends a message to the control thread.
    pub(crate) fn send(&self, message: Message) {
        // The channel closes only when the control thread ends with the process.
        let _ = self.control_messages.try_send(message);
    }

    /// Requests that the members of all other failure domains be read again soon.
    pub(crate) fn request_domains_refresh(&self) {
        // The channel is full if a refresh has been requested already, which is enough.
        let _ = self.domain_refresh_sender.try_send(());
    }

    /// Returns the current routing data.
    pub(crate) fn routing(&self) -> Arc<Routing> {
        Arc::clone(&self.routing.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the routing data.
    pub(crate) fn change_routing(&self, change: impl FnOnce(&mut Routing)) {
        let mut routing = self.routing.write().unwrap_or_else(PoisonError::into_inner);
        change(Arc::make_mut(&mut routing));
    }

    /// Locks and returns the state that the traffic threads change.
    pub(crate) fn traffic(&self) -> MutexGuard<'_, TrafficState> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the platform has answered.
    pub(crate) fn record_platform_answer(&self) {
        self.platform_answered_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Returns the time in milliseconds since the platform last answered, or since the daemon was
    /// created.
    pub(crate) fn platform_silent_ms(&self) -> u64 {
        self.now_ms().saturating_sub(self.platform_answered_ms.load(Ordering::Relaxed))
    }

    /// Returns whether the platform has not answered for [`PLATFORM_SILENT_MS`].
    pub(crate) fn platform_is_down(&self) -> bool {
        self.platform_silent_ms() > PLATFORM_SILENT_MS
    }

    /// Returns whether the balancer should send requests to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        let is_configured = self.routing().config.catalog.version > 0;
        is_configured && !self.is_stopping.load(Ordering::Relaxed)
    }

    /// Records that the daemon has left its failure domain.
    pub(crate) fn record_left(&self) {
        self.has_left.store(true, Ordering::Relaxed);
    }

    /// Returns whether the daemon has left its failure domain.
    pub(crate) fn has_left(&self) -> bool {
        self.has_left.load(Ordering::Relaxed)
    }

    /// Returns the address at which peers reach this daemon.
    pub(crate) fn peers_address(&self) -> SocketAddr {
        self.settings.peers_address
    }
}
