//! What a connection that broke under a request says of its endpoint.

use crate::{
    crashes,
    daemon::Daemon,
    net::{connect, pool::CONNECT_MS},
};
use std::{collections::BTreeSet, io::ErrorKind, sync::Arc};
use trestle_dispatch::{
    endpoint::{Endpoint, Life},
    fingerprint::Fingerprint,
    suspects::Break,
};

/// Requests that one line of log names.
const MOST_LOGGED: usize = 8;

/// Notes that a request's connection broke, and has it found out whether its endpoint has
/// ended: one connection to each such endpoint, however many of its requests broke.
pub(crate) fn note(daemon: &Arc<Daemon>, endpoint: &Endpoint, request: Option<Fingerprint>) {
    let Some(request) = request else { return };
    let now_ms = daemon.knowledge.now_ms();
    let broke =
        daemon.knowledge.with(|beliefs| beliefs.connection_broke(endpoint, request, now_ms));
    match broke {
        Some(Break::First) => {
            smol::spawn(find_out(Arc::clone(daemon), endpoint.clone())).detach();
        }
        Some(Break::Ended) => note_ended(daemon, &endpoint.life(), BTreeSet::from([request])),
        Some(Break::Further) | None => {}
    }
}

/// Asks an endpoint's address whether anything listens there.
async fn find_out(daemon: Arc<Daemon>, endpoint: Endpoint) {
    match connect::open(endpoint.address, CONNECT_MS).await {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            ended(&daemon, &endpoint.life());
        }
        // It lives, or it cannot be reached; the list will tell.
        Ok(_) | Err(_) => {}
    }
}

/// Takes that endpoints which are no longer listed have ended.
pub(crate) fn note_gone(daemon: &Daemon) {
    let gone = daemon
        .knowledge
        .with(|beliefs| beliefs.suspects.gone(|life| beliefs.directory.lists(life)));
    for life in &gone {
        ended(daemon, life);
    }
}

fn ended(daemon: &Daemon, life: &Life) {
    let requests = daemon.knowledge.with(|beliefs| beliefs.suspects.ended(life));
    note_ended(daemon, life, requests);
}

fn note_ended(daemon: &Daemon, life: &Life, requests: BTreeSet<Fingerprint>) {
    let count = requests.len();
    let named: Vec<String> = requests.iter().take(MOST_LOGGED).map(ToString::to_string).collect();
    let (endpoint, born_ms) = (&life.name, life.born_ms);
    tracing::warn!(%endpoint, born_ms, count, requests = ?named, "endpoint: It ended under requests.");
    crashes::ended(daemon, life, &requests);
}
