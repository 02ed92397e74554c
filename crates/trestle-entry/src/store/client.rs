//! The one client of the store.

use crate::{
    net::exchange::{self, CallClient},
    wire::{StoreWire, Unreadable},
};
use snafu::{ResultExt, Snafu};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};
use trestle_dispatch::store::{ConditionalWrite, Feed, RowPage, WriteOutcome};

/// Time for a read or a write. A slow store takes some 600 ms for a transaction.
const CALL_MS: u64 = 1_500;
/// Time beyond its waiting time that a wait for changes may take.
const FOLLOW_GRACE_MS: u64 = 700;

/// A read that failed.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("{source}"))]
    Exchange { source: exchange::Error },
    #[snafu(display("{source}"))]
    Unreadable { source: Unreadable },
}

/// The one client of the store.
#[derive(Debug)]
pub(crate) struct Store {
    wire: StoreWire,
    address: SocketAddr,
    calls: CallClient,
    count: AtomicU64,
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
    pub(crate) fn new(address: SocketAddr, wire: StoreWire) -> Self {
        Self { wire, address, calls: CallClient::new(address), count: AtomicU64::new(0) }
    }

    /// Reads a whole table, or what lies behind a key.
    pub(crate) async fn read(&self, table: &str) -> Result<RowPage, Error> {
        self.read_over(&self.calls, table).await
    }

    /// Makes a conditional write.
    pub(crate) async fn write(&self, write: &ConditionalWrite) -> WriteOutcome {
        self.count.fetch_add(1, Ordering::Relaxed);
        let call = (self.wire.write_call)(write);
        match self.calls.exchange(call, CALL_MS).await {
            Ok(answer) => (self.wire.write_answer)(answer.status, &answer.body),
            Err(error) => {
                tracing::warn!(%error, "store: The outcome of a write is not known.");
                WriteOutcome::Unknown
            }
        }
    }

    /// A connection for following a table.
    pub(crate) fn follower(&self, table: &'static str) -> Follower<'_> {
        Follower { store: self, client: CallClient::new(self.address), table }
    }

    /// Calls made since the start.
    pub(crate) fn calls(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    async fn read_over(&self, client: &CallClient, table: &str) -> Result<RowPage, Error> {
        let mut all = RowPage { rows: Vec::new(), has_more: true, version: u64::MAX };
        while all.has_more {
            self.count.fetch_add(1, Ordering::Relaxed);
            let from = all.rows.last().map(|row| format!("{}%00", row.key.key));
            let call = (self.wire.read_call)(table, from.as_deref());
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
    /// Reads the whole table.
    pub(crate) async fn read(&self) -> Result<RowPage, Error> {
        self.store.read_over(&self.client, self.table).await
    }

    /// Waits for changes after a transaction.
    pub(crate) async fn follow(&self, after: u64, wait_ms: u64) -> Result<Feed, Error> {
        self.store.count.fetch_add(1, Ordering::Relaxed);
        let call = (self.store.wire.follow_call)(self.table, after, wait_ms);
        let answer = self.client.exchange(call, wait_ms + FOLLOW_GRACE_MS).await;
        let answer = answer.context(ExchangeSnafu)?;
        (self.store.wire.follow_answer)(answer.status, &answer.body).context(UnreadableSnafu)
    }
}
