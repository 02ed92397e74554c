//! Writes claims in batches.
//!
//! Claims that arrive during a write are written together in the next transaction. If rows of a
//! batch conflict, their claims are removed from the batch and reported as conflicts, and the
//! others are written again.

use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use trestle_client::platform::Platform;
use trestle_core::row::CommitOutcome;
use trestle_wire::{claim::WireClaim, table::CommitRequest};

/// Maximum number of claims in a transaction.
const MAX_BATCH_CLAIMS: usize = 128;

/// Writes claims, several in one transaction.
pub(crate) struct ClaimWriter {
    claims: Sender<PendingClaim>,
}

/// A claim that has not been written yet.
struct PendingClaim {
    row: String,
    version: u64,
    value: serde_json::Value,
    reply: Sender<CommitOutcome>,
}

impl ClaimWriter {
    /// Starts the task that writes the claims.
    pub(crate) fn start(platform: Platform) -> Self {
        let (claims, received) = async_channel::unbounded();
        smol::spawn(run(platform, received)).detach();
        Self { claims }
    }

    /// Writes a claim to a row, provided that the row still has the given version.
    pub(crate) async fn write(&self, row: &str, version: u64, claim: &WireClaim) -> CommitOutcome {
        let Ok(value) = serde_json::to_value(claim) else { return CommitOutcome::Conflict };
        let (reply, outcome) = async_channel::bounded(1);
        let pending = PendingClaim { row: row.to_owned(), version, value, reply };
        if self.claims.send(pending).await.is_err() {
            return CommitOutcome::Unknown;
        }
        outcome.recv().await.unwrap_or(CommitOutcome::Unknown)
    }
}

async fn run(platform: Platform, received: Receiver<PendingClaim>) {
    while let Ok(first) = received.recv().await {
        let mut batch = BTreeMap::new();
        let mut next = Some(first);
        while let Some(pending) = next {
            add(&mut batch, pending);
            next = if batch.len() < MAX_BATCH_CLAIMS { received.try_recv().ok() } else { None };
        }
        write_batch(&platform, batch).await;
    }
}

/// Adds a claim to a batch. A second claim for the same row is reported as a conflict.
fn add(batch: &mut BTreeMap<String, PendingClaim>, pending: PendingClaim) {
    if batch.contains_key(&pending.row) {
        let _ = pending.reply.try_send(CommitOutcome::Conflict);
        return;
    }
    batch.insert(pending.row.clone(), pending);
}

async fn write_batch(platform: &Platform, mut batch: BTreeMap<String, PendingClaim>) {
    while !batch.is_empty() {
        let mut request = CommitRequest::default();
        for (row, pending) in &batch {
            request.checks.insert(row.clone(), pending.version);
            request.writes.insert(row.clone(), Some(pending.value.clone()));
        }
        let (outcome, conflicts) = platform.commit_raw(&request).await;
        let settled: Vec<String> = match outcome {
            CommitOutcome::Conflict if !conflicts.is_empty() => conflicts,
            _ => batch.keys().cloned().collect(),
        };
        for row in settled {
            if let Some(pending) = batch.remove(&row) {
                let _ = pending.reply.try_send(outcome);
            }
        }
    }
}
