//! The one client of the store.

use crate::{
    clock::Clock,
    net::exchange::{self, CallClient},
    wire::{ParseError, StoreWire},
};
use event_listener::Event;
use futures_lite::FutureExt;
use smol::Timer;
use snafu::{ResultExt, Snafu};
use std::{
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use trestle_config::entry_settings::Bounds;
use trestle_dispatch::{
    outage::Outage,
    store::{ConditionalWrite, Feed, RowPage, WriteOutcome},
};

/// The partition in which the platform keeps its own tables.
const SHARED_PARTITION: &str = "";
/// Time for a read or a write. A slow store takes some 600 ms for a transaction.
const CALL_MS: u64 = 1_500;
/// Part of the shortest bound on what must be known after which a store that was away is
/// tried again at the latest.
const RETRY_PART: u64 = 3;
/// Time beyond its waiting time that a wait for changes may take.
const FOLLOW_GRACE_MS: u64 = 700;

/// A read that failed.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("{source}"))]
    Exchange { source: exchange::Error },
    #[snafu(display("{source}"))]
    Unreadable { source: ParseError },
}

/// The one client of the store.
#[derive(Debug)]
pub(crate) struct Store {
    wire: StoreWire,
    address: SocketAddr,
    calls: CallClient,
    count: AtomicU64,
    clock: Clock,
    outage: Mutex<Outage>,
    answered: Event,
}

/// A connection for following one table.
#[derive(Debug)]
pub(crate) struct Follower<'a> {
    store: &'a Store,
    client: CallClient,
    table: &'static str,
}

impl Store {
    /// The store at an address.
    pub(crate) fn new(address: SocketAddr, wire: StoreWire, bounds: &Bounds) -> Self {
        Self {
            wire,
            address,
            calls: CallClient::new(address),
            count: AtomicU64::new(0),
            clock: Clock::start(),
            outage: Mutex::new(Outage::new(longest_pause_ms(bounds))),
            answered: Event::new(),
        }
    }

    /// Puts changed bounds in force.
    pub(crate) fn take_bounds(&self, bounds: &Bounds) {
        self.outage(|outage, _| outage.set_longest_pause_ms(longest_pause_ms(bounds)));
    }

    /// Whether a call may be made now; always, while the store answers.
    pub(crate) fn may_try(&self) -> bool {
        self.outage(|outage, now_ms| outage.may_try(now_ms))
    }

    /// Waits until a call may be made.
    pub(crate) async fn next_try(&self) {
        loop {
            let answered = self.answered.listen();
            let Err(wait_ms) = self.outage(|outage, now_ms| outage.try_now(now_ms)) else { return };
            let timer = async {
                Timer::after(Duration::from_millis(wait_ms)).await;
            };
            answered.or(timer).await;
        }
    }

    fn note(&self, has_answered: bool) {
        let is_back = self.outage(|outage, now_ms| match has_answered {
            true => outage.answered(),
            false => {
                outage.failed(now_ms);
                false
            }
        });
        if is_back {
            self.answered.notify(usize::MAX);
        }
    }

    fn outage<R>(&self, look: impl FnOnce(&mut Outage, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        look(&mut self.outage.lock().unwrap_or_else(PoisonError::into_inner), now_ms)
    }

    /// Reads a whole partition of a table.
    pub(crate) async fn read(&self, table: &str, partition: &str) -> Result<RowPage, Error> {
        let read = self.read_over(&self.calls, table, partition).await;
        self.note(read.is_ok());
        read
    }

    /// Makes a conditional write.
    pub(crate) async fn write(&self, write: &ConditionalWrite) -> WriteOutcome {
        self.count.fetch_add(1, Ordering::Relaxed);
        let call = (self.wire.write_call)(write);
        let outcome = match self.calls.exchange(call, CALL_MS).await {
            Ok(answer) => (self.wire.write_answer)(answer.status, &answer.body),
            Err(error) => {
                tracing::warn!(%error, "store: The outcome of a write is not known.");
                WriteOutcome::Unknown
            }
        };
        match outcome {
            WriteOutcome::Refused => self.note(false),
            // It is settled by reading the row back, at once; that tells whether the store is away.
            WriteOutcome::Unknown => {}
            WriteOutcome::Written(_) | WriteOutcome::Conflict(_) => self.note(true),
        }
        outcome
    }

    /// A connection for following a table.
    pub(crate) fn follower(&self, table: &'static str) -> Follower<'_> {
        Follower { store: self, client: CallClient::new(self.address), table }
    }

    /// Calls made since the start.
    pub(crate) fn calls(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    async fn read_over(
        &self,
        client: &CallClient,
        table: &str,
        partition: &str,
    ) -> Result<RowPage, Error> {
        let mut all = RowPage { rows: Vec::new(), has_more: true, version: u64::MAX };
        while all.has_more {
            self.count.fetch_add(1, Ordering::Relaxed);
            let last = all.rows.last().map(|row| row.key.key.as_str());
            let call = (self.wire.read_call)(table, partition, last);
            let answer = client.exchange(call, CALL_MS).await.context(ExchangeSnafu)?;
            let page = (self.wire.read_answer)(answer.status, &answer.body);
            let page = page.context(UnreadableSnafu)?;
            all.has_more = page.has_more && !page.rows.is_empty();
            // Later changes may already be in later pages; reading them again is harmless.
            all.version = all.version.min(page.version);
            all.rows.extend(page.rows);
        }
        Ok(all)
    }
}

impl Follower<'_> {
    /// Has the next call open a connection of its own.
    pub(crate) async fn reconnect(&self) {
        self.client.disconnect().await;
    }

    /// Reads the whole table, whose rows all lie in one partition.
    pub(crate) async fn read(&self) -> Result<RowPage, Error> {
        let read = self.store.read_over(&self.client, self.table, SHARED_PARTITION).await;
        self.store.note(read.is_ok());
        read
    }

    /// Waits for changes after a transaction.
    pub(crate) async fn follow(&self, after: u64, wait_ms: u64) -> Result<Feed, Error> {
        let followed = self.wait(after, wait_ms).await;
        self.store.note(followed.is_ok());
        followed
    }

    async fn wait(&self, after: u64, wait_ms: u64) -> Result<Feed, Error> {
        self.store.count.fetch_add(1, Ordering::Relaxed);
        let call = (self.store.wire.follow_call)(self.table, after, wait_ms);
        let answer = self.client.exchange(call, wait_ms + FOLLOW_GRACE_MS).await;
        let answer = answer.context(ExchangeSnafu)?;
        (self.store.wire.follow_answer)(answer.status, &answer.body).context(UnreadableSnafu)
    }
}

fn longest_pause_ms(bounds: &Bounds) -> u64 {
    bounds.shortest_ms() / RETRY_PART
}
