//! Binds streams to the version of the software that began them.

use crate::{
    daemon::Daemon,
    streams::keepers,
    traffic::{answer::Failure, task::Task},
};
use futures_lite::StreamExt;
use futures_util::stream::FuturesUnordered;
use trestle_core::names::SoftwareVersion;
use trestle_dispatch::{
    endpoint::Endpoint,
    software_versions::KnownVersions,
    stream_origins::{self, Answers, StreamKnowledge, StreamOrigin},
};
use trestle_wire::{
    replicas::ReplicasClient,
    streams::{WireStreamKnowledge, WireStreamQuestion},
};

/// Retry-after time for callers whose stream began where no daemon that answers knows: others may
/// be told of it within this time.
const UNKNOWN_RETRY_MS: u64 = 500;

/// Binds a request that continues a stream to the version that began it. Other requests stay
/// unbound until their first event.
///
/// # Errors
///
/// Fails if it cannot be known which version began the stream.
pub(crate) async fn bind_to_origin(task: &Task) -> Result<(), Failure> {
    let head = &task.head;
    let is_continued = head.continues.is_some() || head.last_event_id.is_some_and(|id| id > 0);
    if !is_continued || !task.route.is_idempotent() {
        return Ok(());
    }
    let version = match known_here(task) {
        Some(version) => Some(version),
        None => ask(task).await,
    };
    match version {
        Some(version) => {
            let _ = task.version.set(version);
            Ok(())
        }
        None => Err(Failure::NotRun { retry_after_ms: UNKNOWN_RETRY_MS, why: "stream_unknown" }),
    }
}

/// Binds a stream to the version of the endpoint that has sent its first event, unless it is bound
/// already, and records where it began.
pub(crate) fn bind_to_endpoint(task: &Task, endpoint: &Endpoint) {
    let daemon = &task.daemon;
    let incarnation = endpoint.incarnation();
    let (version, valid_for_ms) = daemon.shared_view.with(|local_view| {
        let listed = local_view.directory.get(&incarnation.name);
        let listed = listed.filter(|listed| listed.incarnation() == incarnation);
        let version = listed.and_then(|listed| listed.software_version.clone());
        (endpoint.software_version.clone().or(version), local_view.stream_lifetime_ms())
    });
    if let Some(version) = version {
        let _ = task.version.set(version);
    }
    if let Some(version) = task.version.get().cloned() {
        let (id, service) = (task.stream_id().to_owned(), task.service.clone());
        keepers::record_own(daemon, StreamOrigin { id, service, version, valid_for_ms });
    }
}

/// Returns the version that began a request's stream, as far as this daemon knows by itself.
fn known_here(task: &Task) -> Option<SoftwareVersion> {
    let now_ms = task.daemon.shared_view.now_ms();
    task.daemon.shared_view.with(|local_view| {
        let recorded = task
            .head
            .continues
            .as_ref()
            .and_then(|id| local_view.stream_origins.version(&task.service, id, now_ms));
        let from_list = || {
            let known = local_view.software_versions.of(&task.service, now_ms);
            let list_age_ms = local_view.list_age_ms(now_ms);
            let max_age_ms = task.daemon.freshness.shortest_bound_ms();
            stream_origins::version_from_list(known, list_age_ms, max_age_ms)
        };
        recorded.or_else(from_list).cloned()
    })
}

/// Asks other daemons which version began a request's stream.
async fn ask(task: &Task) -> Option<SoftwareVersion> {
    let daemon = &task.daemon;
    let id = task.head.continues.as_ref()?;
    let keepers = daemon.with_stream_keepers(|keepers| keepers.to_ask(id));
    let question = WireStreamQuestion { id: id.clone(), service: task.service.to_string() };
    let each = keepers.iter().map(|address| {
        let question = question.clone();
        let call =
            async |client: ReplicasClient, context| client.find_stream(context, question).await;
        daemon.stream_calls.call(*address, call)
    });
    let mut asking: FuturesUnordered<_> = each.collect();
    let mut received = Vec::new();
    while let Some(answer) = asking.next().await {
        received.extend(answer.map(StreamKnowledge::from));
        if received.last().is_some_and(|last| last.version.is_some()) {
            break;
        }
    }
    let answers = Answers { asked: keepers.len(), received: &received };
    let now_ms = daemon.shared_view.now_ms();
    let version = daemon.shared_view.with(|local_view| {
        let known = local_view.software_versions.of(&task.service, now_ms);
        stream_origins::version_from_answers(known, answers)
    });
    tracing::info!(
        id = task.head.id,
        continues = id,
        asked = answers.asked,
        answered = received.len(),
        software = version.as_ref().map(AsRef::<str>::as_ref),
        "stream: Other daemons were asked where a stream began."
    );
    version
}

/// Returns what this daemon knows of a stream, for another daemon.
pub(crate) fn answer(daemon: &Daemon, question: &WireStreamQuestion) -> WireStreamKnowledge {
    let now_ms = daemon.shared_view.now_ms();
    let service = question.service.as_str().into();
    let knowledge = daemon.shared_view.with(|local_view| {
        let version = local_view.stream_origins.version(&service, &question.id, now_ms).cloned();
        let only_version = match local_view.software_versions.of(&service, now_ms) {
            KnownVersions::Only(version) => Some(version.clone()),
            _ => None,
        };
        StreamKnowledge { version, only_version }
    });
    knowledge.into()
}
