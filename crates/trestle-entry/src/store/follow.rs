//! Follows one table of the store: reads it, waits for changes, and recovers from outages.

use crate::{
    daemon::Daemon,
    store::client::{Error, Follower},
};
use futures_lite::FutureExt;
use smol::Timer;
use std::time::Duration;
use trestle_dispatch::{
    store::{Feed, RowChange, RowPage},
    store_version::StoreVersion,
};

/// A table to follow, and the functions that handle what is read of it.
pub(crate) struct FollowedTable<G, A, R, C, F> {
    /// Name of the table.
    pub(crate) table: &'static str,
    /// Returns the pause after each answer, which lets one answer collect several changes.
    pub(crate) pause_ms: G,
    /// Returns the transaction after which to read changes, given the last one read here; `None` to
    /// read the whole table.
    pub(crate) after: A,
    /// Handles a read of the whole table: its rows, and when the read was sent.
    pub(crate) on_read: R,
    /// Handles changes, of which there may be none: the changes, the last transaction that they
    /// include, and when the read was sent.
    pub(crate) on_changes: C,
    /// Handles a read that failed.
    pub(crate) on_failure: F,
}

/// Follows a table until the process ends. It pauses while a leader passes the table's changes on.
pub(crate) async fn run<G, A, R, C, F>(daemon: &Daemon, followed: FollowedTable<G, A, R, C, F>)
where
    G: Fn() -> u64,
    A: Fn(Option<StoreVersion>) -> Option<StoreVersion>,
    R: Fn(RowPage, u64),
    C: Fn(Vec<RowChange>, StoreVersion, u64),
    F: Fn(),
{
    let follower = daemon.store.follower(followed.table);
    let mut last = None;
    let mut is_failing = false;
    let mut is_relayed = false;
    loop {
        let leadership_began = daemon.freshness.leadership_began();
        let relay_valid_ms = daemon.freshness.relay_valid_for_ms(daemon.shared_view.now_ms());
        if is_relayed != (relay_valid_ms > 0) {
            is_relayed = relay_valid_ms > 0;
            let table = followed.table;
            tracing::info!(table, relayed = is_relayed, "store: Who follows a table has changed.");
            // A connection that was not used for a while may be dead without notice. The first read
            // on it took 1.5 s to fail, and a server that had been removed got requests for 2.8 s.
            follower.reconnect().await;
        }
        if relay_valid_ms > 0 {
            leadership_began.or(pause(relay_valid_ms)).await;
            continue;
        }
        // During an outage the daemon's other tasks wait for the result of this try before they
        // call the store, so the store must answer at once.
        let wait_ms = if is_failing { 0 } else { daemon.freshness.wait_ms() };
        let after = (followed.after)(last);
        let step = async { Some(read_or_wait(daemon, &followed, &follower, after, wait_ms).await) };
        let interrupted = async {
            leadership_began.await;
            None
        };
        // A daemon that becomes leader must read more than the changes it waits for.
        let Some(outcome) = step.or(interrupted).await else { continue };
        if is_failing != outcome.is_err() {
            is_failing = outcome.is_err();
            log_transition(followed.table, &outcome);
        }
        match outcome {
            Ok(next) => {
                last = next;
                let pause_ms = (followed.pause_ms)();
                if pause_ms > 0 {
                    daemon.freshness.leadership_began().or(pause(pause_ms)).await;
                }
            }
            Err(_) => {
                (followed.on_failure)();
                daemon.store.reserve_try().await;
            }
        }
    }
}

async fn pause(time_ms: u64) {
    Timer::after(Duration::from_millis(time_ms)).await;
}

/// Reads the table once or waits for changes once. Returns the transaction to continue from; `None`
/// if the whole table must be read again.
async fn read_or_wait<G, A, R, C, F>(
    daemon: &Daemon,
    followed: &FollowedTable<G, A, R, C, F>,
    follower: &Follower<'_>,
    after: Option<StoreVersion>,
    wait_ms: u64,
) -> Result<Option<StoreVersion>, Error>
where
    R: Fn(RowPage, u64),
    C: Fn(Vec<RowChange>, StoreVersion, u64),
{
    let sent_ms = daemon.shared_view.now_ms();
    let Some(after) = after else {
        let page = follower.read().await?;
        let version = page.version;
        (followed.on_read)(page, sent_ms);
        return Ok(Some(version));
    };
    match follower.follow(after, wait_ms).await? {
        Feed::Forgotten => {
            let table = followed.table;
            tracing::info!(
                table,
                after = after.number,
                era = after.era,
                "store: The history since the last read is gone; reading the whole table again."
            );
            Ok(None)
        }
        Feed::Changes(changes, version) => {
            (followed.on_changes)(changes, version, sent_ms);
            Ok(Some(version))
        }
    }
}

/// Logs that following a table began to fail or works again.
fn log_transition(table: &str, outcome: &Result<Option<StoreVersion>, Error>) {
    match outcome {
        Ok(_) => tracing::info!(table, "store: A table is followed again."),
        Err(error) => tracing::warn!(table, %error, "store: A table cannot be followed."),
    }
}
