//! The server for other daemons.

use crate::{
    allocation,
    control::message::Message,
    crashes,
    daemon::Daemon,
    departures,
    detour::{reports, server},
    net::bounded_stream::BoundedStream,
    schedule, send_permits, slots,
    streams::{keepers, lookup, versions},
    trial_leader,
};
use async_compat::{Compat, CompatExt};
use bytes::Bytes;
use futures_lite::AsyncReadExt;
use futures_util::StreamExt;
use smol::{
    Timer,
    net::{TcpListener, TcpStream},
};
use std::{sync::Arc, time::Duration};
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};
use trestle_dispatch::{local_view::LocalView, store_version::StoreVersion};
use trestle_wire::{
    allocation::{WireAllocation, WireAllocationRequest},
    detours::{self, WireHelper, WireHelperReport},
    relay::{WireConfigUpdate, WireListUpdate, WireRelay, WireSyncPosition},
    replicas::{Replicas, WireSyncRequest, WireSyncResponse},
    schedule::{WireSchedule, WireScheduleRequest},
    send_permits::{WireSendPermit, WireSendPermitRequest},
    slots::{WireSlot, WireSlotRequest},
    store_version::{NoEra, WireStoreVersion},
    streams::{WireIncarnation, WireStreamKnowledge, WireStreamOrigin, WireStreamQuestion},
    trials::{WireTrial, WireTrialAnswer},
};

/// Most requests of one connection that are handled at the same time.
const MAX_CONCURRENT: usize = 16;

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Serves other daemons until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => smol::spawn(serve(Arc::clone(&daemon), stream)).detach(),
            Err(error) => {
                // The process is most likely out of file descriptors; a connection will be closed
                // soon.
                tracing::warn!(%error, "peer: A connection was not accepted.");
                Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve(daemon: Arc<Daemon>, stream: TcpStream) {
    if let Err(error) = crate::net::connect::set_options(&stream) {
        tracing::debug!(%error, "peer: Socket options could not be set; the connection keeps the system's defaults.");
    }
    let mut stream = stream;
    let mut first = [0; detours::MAGIC.len()];
    if let Err(error) = stream.read_exact(&mut first).await {
        tracing::debug!(%error, "peer: A connection ended before its first request.");
        return;
    }
    if first == detours::MAGIC {
        return server::serve(daemon, stream).await;
    }
    let stream = BoundedStream::pausing(stream).compat();
    let mut parts = FramedParts::new::<Bytes>(stream, LengthDelimitedCodec::new());
    parts.read_buf.extend_from_slice(&first);
    let framed = Framed::from_parts(parts);
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(Server(daemon).serve());
    // Most daemons send their next request only after they have received an answer.
    let each = requests.for_each_concurrent(MAX_CONCURRENT, |handling| handling);
    Compat::new(each).await;
}

/// The handler of other daemons' requests.
#[derive(Clone)]
struct Server(Arc<Daemon>);

impl Replicas for Server {
    async fn sync(self, _: Context, mut request: WireSyncRequest) -> WireSyncResponse {
        let (positions, is_leader) = (request.have.clone(), request.is_leader);
        crashes::receive_wire(&self.0, std::mem::take(&mut request.crashes));
        let synced = self.0.query(|reply| Message::Sync { request, reply }).await;
        let mut synced = synced.unwrap_or_default();
        // This requires no lease: while no leader can renew its lease, daemons still learn of each
        // other's crash reports this way.
        synced.refused = crashes::reports_after(&self.0, positions.refused);
        // Leaders follow the store themselves.
        if synced.is_leader && !is_leader {
            synced.relay = Some(relay(&self.0, positions));
        }
        synced
    }

    async fn lend(self, _: Context, request: WireAllocationRequest) -> WireAllocation {
        allocation::allocate(&self.0, request).await
    }

    async fn lend_place(self, _: Context, request: WireSendPermitRequest) -> WireSendPermit {
        send_permits::grant(&self.0, request).await
    }

    async fn find_helpers(self, _: Context, report: WireHelperReport) -> Vec<WireHelper> {
        reports::answer(&self.0, report)
    }

    async fn request_slot(self, _: Context, request: WireSlotRequest) -> WireSlot {
        slots::answer(&self.0, request).await.into()
    }

    async fn endpoint_versions(self, _: Context, of: Vec<WireIncarnation>) -> Vec<Option<String>> {
        versions::answer(&self.0, of)
    }

    async fn stream_keepers(self, _: Context, report: WireHelperReport) -> Vec<WireHelper> {
        keepers::answer(&self.0, report)
    }

    async fn keep_streams(self, _: Context, streams: Vec<WireStreamOrigin>) {
        keepers::keep(&self.0, streams);
    }

    async fn find_stream(self, _: Context, question: WireStreamQuestion) -> WireStreamKnowledge {
        lookup::answer(&self.0, &question)
    }

    async fn schedule_prompt(self, _: Context, request: WireScheduleRequest) -> WireSchedule {
        schedule::answer(&self.0, request).await
    }

    async fn try_out(self, _: Context, trial: WireTrial) -> WireTrialAnswer {
        trial_leader::decide(&self.0, trial).await
    }
}

/// Returns the changes of the endpoint list since the version that a daemon has reported. A daemon of
/// an earlier release knows only the numbers of versions, and gets the same.
fn list_update(local_view: &LocalView, known: WireStoreVersion) -> WireListUpdate {
    match known.try_into() {
        Ok(version) => WireListUpdate::from(local_view.list_since(version)),
        Err(NoEra { number }) => {
            let version = StoreVersion { number, ..local_view.listing.version() };
            WireListUpdate::without_eras(local_view.list_since(version))
        }
    }
}

/// Returns the changes in the store since the position that a daemon has reported.
fn relay(daemon: &Daemon, positions: WireSyncPosition) -> WireRelay {
    let now_ms = daemon.shared_view.now_ms();
    let age_ms = daemon.freshness.age_ms(now_ms);
    let departures = match positions.departures {
        true => Vec::new(),
        false => departures::for_new_requester(daemon),
    };
    daemon.shared_view.with(|local_view| WireRelay {
        departures,
        endpoints: list_update(local_view, positions.endpoints),
        config: local_view.config_texts.update_since(positions.config).map(WireConfigUpdate::from),
        age_ms,
        config_age_ms: local_view
            .catalog
            .as_ref()
            .filter(|catalog| !catalog.teams.is_empty())
            .map(|_| daemon.freshness.config_proven_age_ms(now_ms)),
    })
}
