//! What the parts of the daemon share.

use crate::{
    control::{message::Message, permit::OrderPermit},
    knowledge::Knowledge,
    metrics::Metrics,
    net::pool::Pool,
    stop,
    store::client::Store,
    wire::Wire,
};
use async_channel::Sender;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
};
use trestle_config::entry_settings::EntrySettings;

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
    pub(crate) order_permit: OrderPermit,
    /// When the daemon was told to stop; 0 before.
    stopping_since_ms: AtomicU64,
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
    ) -> Self {
        Self {
            knowledge: Knowledge::new(&settings),
            store: Store::new(settings.store_address, wire.store),
            pool: Pool::default(),
            metrics,
            control,
            order_permit: OrderPermit::default(),
            stopping_since_ms: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            next_number: AtomicU64::new(1),
            wire,
            settings,
        }
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.knowledge.with(|beliefs| beliefs.catalog.is_some() && beliefs.is_listed)
    }

    /// Whether the daemon was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since_ms.load(Ordering::Relaxed) > 0
    }

    /// Notes that the daemon was told to stop.
    pub(crate) fn begin_stop(&self) {
        self.stopping_since_ms.store(self.knowledge.now_ms().max(1), Ordering::Relaxed);
    }

    /// Whether a request that may take so long can still be taken.
    ///
    /// A stopping daemon takes everything while the balancer has not noticed; what
    /// comes later must be over before the stop is.
    pub(crate) fn can_take(&self, allowed_ms: u64) -> bool {
        let since_ms = self.stopping_since_ms.load(Ordering::Relaxed);
        let now_ms = self.knowledge.now_ms();
        let is_noticed = since_ms > 0 && now_ms > since_ms + stop::NOTICE_MS;
        !is_noticed || now_ms + allowed_ms < since_ms + stop::limit_ms(&self.settings)
    }

    /// Whether a request that has not been sent to an endpoint can still be.
    pub(crate) fn can_begin(&self) -> bool {
        let since_ms = self.stopping_since_ms.load(Ordering::Relaxed);
        let last_ms = since_ms + stop::limit_ms(&self.settings).saturating_sub(stop::RUN_MS);
        since_ms == 0 || self.knowledge.now_ms() < last_ms
    }

    /// Where other daemons reach this one.
    pub(crate) fn peers_address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.address, self.settings.peers_port)
    }

    /// A number that nothing else in this process has.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells the control thread something.
    pub(crate) fn tell(&self, message: Message) {
        // The channel closes only when the control thread has ended with the process.
        let _ = self.control.try_send(message);
    }
}
