//! Tells other daemons where streams began, and keeps what they tell.

use crate::{control::message::Leader, daemon::Daemon, detour::reports, peer::calls};
use futures_lite::FutureExt;
use smol::Timer;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use trestle_dispatch::{helpers::Helper, stream_origins::StreamOrigin};
use trestle_wire::{
    detours::{WireHelper, WireHelperReport},
    replicas::ReplicasClient,
    streams::WireStreamOrigin,
};

/// Time between two questions to leaders which daemons keep where streams began.
const INTERVAL_MS: u64 = 3_000;
/// The same for the first questions: a leader names those that have reported to it, and daemons that
/// start together do so within about a second.
const FIRST_INTERVAL_MS: u64 = 300;
/// Questions to leaders, answered or not, after which they become rarer. A leader of an earlier release
/// closes the connection.
const FIRST_QUESTIONS: u32 = 6;
/// Longest time between two checks for streams of which others must be told.
const CHECK_MS: u64 = 200;
/// Time for which streams are collected before others are told of them.
const COLLECT_MS: u64 = 5;

/// Asks leaders which daemons keep where streams began, until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut questions = 0;
    for attempt in 0.. {
        let report = reports::own_report(&daemon);
        let leader = calls::leader(&daemon, attempt).await;
        questions += u32::from(leader != Leader::Nobody);
        let named = match leader {
            Leader::Here { .. } => answer(&daemon, report),
            Leader::At { address, .. } => {
                let call = async |client: ReplicasClient, context| {
                    client.stream_keepers(context, report).await
                };
                daemon.stream_calls.call(address, call).await.unwrap_or_default()
            }
            Leader::Nobody => Vec::new(),
        };
        if !named.is_empty() {
            let (own_address, now_ms) = (daemon.peers_address(), daemon.shared_view.now_ms());
            let named = named.into_iter().map(Helper::from);
            daemon.with_stream_keepers(|keepers| keepers.named(named, own_address, now_ms));
        }
        let interval_ms =
            if questions <= FIRST_QUESTIONS { FIRST_INTERVAL_MS } else { INTERVAL_MS };
        Timer::after(Duration::from_millis(interval_ms)).await;
    }
}

/// Records the report of a daemon, and returns the daemons that this one, as a leader, names to it.
pub(crate) fn answer(daemon: &Daemon, report: WireHelperReport) -> Vec<WireHelper> {
    reports::answer(daemon, report);
    let now_ms = daemon.shared_view.now_ms();
    let keepers = daemon.with_helper_roster(|roster| roster.keepers(now_ms));
    keepers.into_iter().map(WireHelper::from).collect()
}

/// Keeps where streams of other daemons began.
pub(crate) fn keep(daemon: &Daemon, streams: Vec<WireStreamOrigin>) {
    let now_ms = daemon.shared_view.now_ms();
    daemon.shared_view.with(|local_view| {
        for stream in streams {
            local_view.stream_origins.record(stream.into(), now_ms);
        }
    });
}

/// Tells other daemons where streams of this one's callers began, until the process terminates.
pub(crate) async fn tell(daemon: Arc<Daemon>) {
    loop {
        let untold = daemon.stream_untold.listen();
        for (address, streams) in take_untold(&daemon) {
            smol::spawn(tell_one(Arc::clone(&daemon), address, streams)).detach();
        }
        let due = async {
            untold.await;
            Timer::after(Duration::from_millis(COLLECT_MS)).await;
        };
        let checked = async {
            Timer::after(Duration::from_millis(CHECK_MS)).await;
        };
        due.or(checked).await;
    }
}

/// Returns the streams of which others must be told, by the daemons to tell.
fn take_untold(daemon: &Daemon) -> BTreeMap<SocketAddr, Vec<WireStreamOrigin>> {
    if daemon.with_stream_keepers(|keepers| keepers.is_empty()) {
        return BTreeMap::new();
    }
    let now_ms = daemon.shared_view.now_ms();
    let untold = daemon.shared_view.with(|local_view| {
        let versions = &local_view.software_versions;
        local_view.stream_origins.take_untold(|service| versions.has_one(service, now_ms), now_ms)
    });
    let mut by_keeper: BTreeMap<SocketAddr, Vec<WireStreamOrigin>> = BTreeMap::new();
    daemon.with_stream_keepers(|keepers| {
        for stream in untold {
            for address in keepers.to_tell(&stream.id, now_ms) {
                by_keeper.entry(address).or_default().push(stream.clone().into());
            }
        }
    });
    by_keeper
}

async fn tell_one(daemon: Arc<Daemon>, address: SocketAddr, streams: Vec<WireStreamOrigin>) {
    let count = streams.len();
    let call = async |client: ReplicasClient, context| client.keep_streams(context, streams).await;
    if daemon.stream_calls.call(address, call).await.is_none() {
        tracing::debug!(%address, count, "stream: A daemon did not confirm where streams began.");
        let now_ms = daemon.shared_view.now_ms();
        daemon.with_stream_keepers(|keepers| keepers.failed(address, now_ms));
    }
}

/// Records where a stream of this daemon's caller began.
pub(crate) fn record_own(daemon: &Daemon, origin: StreamOrigin) {
    let now_ms = daemon.shared_view.now_ms();
    let is_told = daemon.shared_view.with(|local_view| {
        let is_told = !local_view.software_versions.has_one(&origin.service, now_ms);
        local_view.stream_origins.record_own(origin, now_ms);
        is_told
    });
    if is_told {
        daemon.stream_untold.notify(usize::MAX);
    }
}
