//! Serves other daemons.

use crate::{
    control::message::Message, crashes, daemon::Daemon, departures, lending, places, trial,
};
use async_compat::{Compat, CompatExt};
use futures_util::StreamExt;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio_util::codec::LengthDelimitedCodec;
use trestle_wire::{
    lending::{WireBorrowing, WireLoan},
    places::{WirePlace, WirePlaceAsking},
    relay::{WireConfig, WireHave, WireNews, WireRelay},
    replicas::{Replicas, WireAsking, WireSynced},
    trials::{WireTrial, WireTrialAnswer},
};

/// Questions of one connection that are answered at the same time.
const MOST_ANSWERING: usize = 16;

/// Serves other daemons until the process ends.
pub(crate) async fn run(daemon: Arc<Daemon>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => smol::spawn(serve(Arc::clone(&daemon), stream)).detach(),
            Err(error) => tracing::warn!(%error, "peer: A connection was not accepted."),
        }
    }
}

async fn serve(daemon: Arc<Daemon>, stream: TcpStream) {
    if let Err(error) = crate::net::connect::prepare(&stream) {
        tracing::debug!(%error, "peer: A connection has the system's own options.");
    }
    let framed = LengthDelimitedCodec::builder().new_framed(stream.compat());
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(Server(daemon).serve());
    // Most daemons ask again only when they have their answer.
    let each = requests.for_each_concurrent(MOST_ANSWERING, |answering| answering);
    Compat::new(each).await;
}

/// Answers the questions of other daemons.
#[derive(Clone)]
struct Server(Arc<Daemon>);

impl Replicas for Server {
    async fn sync(self, _: Context, mut asking: WireAsking) -> WireSynced {
        let (have, is_leader) = (asking.have.clone(), asking.is_leader);
        crashes::heard_wire(&self.0, std::mem::take(&mut asking.crashes));
        let synced = self.0.ask(|reply| Message::Sync { asking, reply }).await;
        let mut synced = synced.unwrap_or_default();
        // That takes no lease: while nobody can renew one, daemons hear of each other's ends by this.
        synced.refused = crashes::refused_after(&self.0, have.refused);
        // Leaders follow the store themselves.
        if synced.is_leader && !is_leader {
            synced.relay = Some(relay(&self.0, have));
        }
        synced
    }

    async fn lend(self, _: Context, borrowing: WireBorrowing) -> WireLoan {
        lending::lend(&self.0, borrowing).await
    }

    async fn lend_place(self, _: Context, asking: WirePlaceAsking) -> WirePlace {
        places::lend(&self.0, asking).await
    }

    async fn try_out(self, _: Context, trial: WireTrial) -> WireTrialAnswer {
        trial::decide(&self.0, trial).await
    }
}

/// What has changed in the store since what a daemon has.
fn relay(daemon: &Daemon, have: WireHave) -> WireRelay {
    let now_ms = daemon.knowledge.now_ms();
    let age_ms = daemon.freshness.age_ms(now_ms);
    let departures = match have.departures {
        true => Vec::new(),
        false => departures::for_new_asker(daemon),
    };
    daemon.knowledge.with(|local_view| WireRelay {
        departures,
        endpoints: WireNews::from(local_view.list_since(have.endpoints)),
        config: local_view.config_texts.update_since(have.config).map(WireConfig::from),
        age_ms,
        config_age_ms: local_view
            .catalog
            .as_ref()
            .filter(|catalog| !catalog.teams.is_empty())
            .map(|_| daemon.freshness.config_proven_age_ms(now_ms)),
    })
}
