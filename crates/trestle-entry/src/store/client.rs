//! The client through which the whole daemon calls the store.

use crate::{
    clock::Clock,
    net::exchange::{self, Answer, CallClient},
    wire::{ParseError, StoreWire},
};
use event_listener::Event;
use futures_lite::FutureExt;
use smol::Timer;
use snafu::{ResultExt, Snafu};
use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use trestle_config::entry_settings::Bounds;
use trestle_dispatch::{
    outage::Outage,
    store::{ConditionalWrite, Feed, RowPage, WriteOutcome},
    store_version::StoreVersion,
};

/// The partition that holds all rows of the platform's own tables.
const SHARED_PARTITION: &str = "";
/// Longest time for a read or a write. A slow store takes some 600 ms for a transaction.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Divisor of the shortest freshness bound: a store that does not answer is tried again after this
/// part of the bound at the latest.
const RETRY_DIVISOR: u64 = 3;
/// Time that a wait for changes may take beyond the time for which the store holds it.
const FOLLOW_GRACE_MS: u64 = 700;

/// The version of a read of which no page has arrived; that of each page is lower.
const NO_PAGE: StoreVersion = StoreVersion { era: u64::MAX, number: u64::MAX };

/// A read that failed: no complete answer arrived, or it could not be parsed.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("{source}"))]
    Exchange { source: exchange::Error },
    #[snafu(display("{source}"))]
    Unreadable { source: ParseError },
    #[snafu(display("the store was restored from a copy while table `{table}` was read"))]
    Restored { table: String },
}

/// The daemon's client of the store. It counts calls and records whether the store answers.
#[derive(Debug)]
pub(crate) struct Store {
    wire: StoreWire,
    address: SocketAddr,
    calls: CallClient,
    call_count: AtomicU64,
    /// The highest era of an answer; `None` before the first answer.
    era: Mutex<Option<u64>>,
    clock: Clock,
    outage: Mutex<Outage>,
    answers_again: Event,
}

/// A client with a connection of its own for following one table.
#[derive(Debug)]
pub(crate) struct Follower<'a> {
    store: &'a Store,
    client: CallClient,
    table: &'static str,
}

impl Store {
    /// Creates a client of the store at an address. It connects with the first call.
    pub(crate) fn new(address: SocketAddr, wire: StoreWire, bounds: &Bounds) -> Self {
        Self {
            wire,
            address,
            calls: CallClient::of_store(address),
            call_count: AtomicU64::new(0),
            era: Mutex::new(None),
            clock: Clock::start(),
            outage: Mutex::new(Outage::new(longest_pause_ms(bounds))),
            answers_again: Event::new(),
        }
    }

    /// Applies changed freshness bounds.
    pub(crate) fn apply_bounds(&self, bounds: &Bounds) {
        self.outage(|outage, _| outage.set_longest_pause_ms(longest_pause_ms(bounds)));
    }

    /// Returns whether a call may be made now; always true while the store answers.
    pub(crate) fn may_try(&self) -> bool {
        self.outage(|outage, now_ms| outage.may_try(now_ms))
    }

    /// Waits until a call may be made, and reserves it. Returns at once while the store answers.
    pub(crate) async fn reserve_try(&self) {
        loop {
            let answers_again = self.answers_again.listen();
            let Err(wait_ms) = self.outage(|outage, now_ms| outage.try_now(now_ms)) else { return };
            let timer = async {
                Timer::after(Duration::from_millis(wait_ms)).await;
            };
            answers_again.or(timer).await;
        }
    }

    /// Records whether the store answered a call, and wakes the tasks that wait in
    /// [`Self::reserve_try`] when it answers again.
    fn record_result(&self, has_answered: bool) {
        let is_back = self.outage(|outage, now_ms| match has_answered {
            true => outage.answered(),
            false => {
                outage.failed(now_ms);
                false
            }
        });
        if is_back {
            self.answers_again.notify(usize::MAX);
        }
    }

    /// Accesses the record of outages, with the current time.
    fn outage<R>(&self, access: impl FnOnce(&mut Outage, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        access(&mut self.outage.lock().unwrap_or_else(PoisonError::into_inner), now_ms)
    }

    /// Reads all rows of a partition of a table.
    pub(crate) async fn read(&self, table: &str, partition: &str) -> Result<RowPage, Error> {
        let read = self.read_over(&self.calls, table, partition).await;
        self.record_result(read.is_ok());
        read
    }

    /// Makes a conditional write and returns its outcome, which may be unknown.
    pub(crate) async fn write(&self, write: &ConditionalWrite) -> WriteOutcome {
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let call = (self.wire.write_call)(write);
        let outcome = match self.calls.exchange(call, CALL_TIMEOUT_MS).await {
            Ok(answer) => match self.record_era(&answer) {
                Ok(era) => (self.wire.write_answer)(era, answer.status, &answer.body),
                Err(error) => {
                    tracing::warn!(%error, "store: The era of an answer cannot be read, so the outcome of a write is unknown.");
                    WriteOutcome::Unknown
                }
            },
            Err(error) => {
                tracing::warn!(%error, "store: The outcome of a write is unknown.");
                WriteOutcome::Unknown
            }
        };
        match outcome {
            WriteOutcome::Refused => self.record_result(false),
            // The task that made the write reads the row back at once, and that read shows whether
            // the store answers.
            WriteOutcome::Unknown => {}
            WriteOutcome::Written(_) | WriteOutcome::Conflict(_) => self.record_result(true),
        }
        outcome
    }

    /// Records the era that an answer reports, and returns it.
    ///
    /// # Errors
    ///
    /// Fails if the era cannot be parsed.
    fn record_era(&self, answer: &Answer) -> Result<u64, ParseError> {
        let era = (self.wire.read_era)(&answer.headers)?;
        let before = {
            let mut highest = self.highest_era();
            let before = *highest;
            *highest = before.max(Some(era));
            before
        };
        match before {
            None => tracing::info!(era, "store: The store answers; its era is known."),
            Some(before) if era > before => tracing::warn!(
                era,
                before,
                "store: The store was restored from a copy; its versions start again from there."
            ),
            Some(_) => {}
        }
        Ok(era)
    }

    /// Returns the highest era that the store has reported; 0 if it has reported none.
    pub(crate) fn era(&self) -> u64 {
        self.highest_era().unwrap_or_default()
    }

    fn highest_era(&self) -> MutexGuard<'_, Option<u64>> {
        self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a client for following a table.
    pub(crate) fn follower(&self, table: &'static str) -> Follower<'_> {
        Follower { store: self, client: CallClient::of_store(self.address), table }
    }

    /// Returns the number of calls since the start of the daemon.
    pub(crate) fn call_count(&self) -> u64 {
        self.call_count.load(Ordering::Relaxed)
    }

    /// Reads all pages of a partition over a client's connection.
    async fn read_over(
        &self,
        client: &CallClient,
        table: &str,
        partition: &str,
    ) -> Result<RowPage, Error> {
        let mut all = RowPage { rows: Vec::new(), has_more: true, version: NO_PAGE };
        while all.has_more {
            self.call_count.fetch_add(1, Ordering::Relaxed);
            let last = all.rows.last().map(|row| row.key.key.as_str());
            let call = (self.wire.read_call)(table, partition, last).context(UnreadableSnafu)?;
            let answer = client.exchange(call, CALL_TIMEOUT_MS).await.context(ExchangeSnafu)?;
            let era = self.record_era(&answer).context(UnreadableSnafu)?;
            let page = (self.wire.read_answer)(era, answer.status, &answer.body);
            let page = page.context(UnreadableSnafu)?;
            if all.version != NO_PAGE && all.version.era != era {
                return RestoredSnafu { table }.fail();
            }
            all.has_more = page.has_more && !page.rows.is_empty();
            // Pages may be of different versions. The oldest counts: changes after it that later
            // pages already contain are read again, which is harmless.
            all.version = all.version.min(page.version);
            all.rows.extend(page.rows);
        }
        Ok(all)
    }
}

impl Follower<'_> {
    /// Drops the connection, so that the next call opens a new one.
    pub(crate) async fn reconnect(&self) {
        self.client.disconnect().await;
    }

    /// Reads the whole table, whose rows are all in one partition.
    pub(crate) async fn read(&self) -> Result<RowPage, Error> {
        let read = self.store.read_over(&self.client, self.table, SHARED_PARTITION).await;
        self.store.record_result(read.is_ok());
        read
    }

    /// Waits up to `wait_ms` for changes after the transaction `after`.
    pub(crate) async fn follow(&self, after: StoreVersion, wait_ms: u64) -> Result<Feed, Error> {
        let followed = self.wait_for_changes(after, wait_ms).await;
        self.store.record_result(followed.is_ok());
        followed
    }

    /// Waits for changes without recording whether the store answered.
    async fn wait_for_changes(&self, after: StoreVersion, wait_ms: u64) -> Result<Feed, Error> {
        self.store.call_count.fetch_add(1, Ordering::Relaxed);
        let call = (self.store.wire.follow_call)(self.table, after.number, wait_ms);
        let call = call.context(UnreadableSnafu)?;
        let answer = self.client.exchange(call, wait_ms + FOLLOW_GRACE_MS).await;
        let answer = answer.context(ExchangeSnafu)?;
        let era = self.store.record_era(&answer).context(UnreadableSnafu)?;
        let feed = (self.store.wire.follow_answer)(era, answer.status, &answer.body);
        Ok(feed.context(UnreadableSnafu)?.requested_after(after))
    }
}

/// Returns the longest pause between two tries of a store that does not answer.
fn longest_pause_ms(bounds: &Bounds) -> u64 {
    bounds.shortest_ms() / RETRY_DIVISOR
}
