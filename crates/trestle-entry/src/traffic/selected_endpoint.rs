//! An endpoint that was selected for one send, and what is recorded of the send there.

use crate::{connection_loss, schedule, slots, traffic::task::Task};
use std::sync::Arc;
use trestle_dispatch::{endpoint::Endpoint, fingerprint::Fingerprint};

/// An endpoint that was selected for one send. The request counts as running there until this guard
/// is dropped.
#[derive(Debug)]
pub(crate) struct SelectedEndpoint {
    pub(crate) endpoint: Endpoint,
    task: Arc<Task>,
    /// The fingerprints of the request and of parts of its prompt of which it is not known whether they
    /// crashed the endpoint.
    unresolved: Vec<Fingerprint>,
    /// When the request was last sent there.
    sent_ms: u64,
    /// Whether the endpoint has sent the head of an answer.
    has_answered: bool,
}

impl SelectedEndpoint {
    /// Returns the endpoint of a send that has not been made.
    pub(crate) fn new(task: &Arc<Task>, endpoint: Endpoint) -> Self {
        let task = Arc::clone(task);
        Self { endpoint, task, unresolved: Vec::new(), sent_ms: 0, has_answered: false }
    }

    /// Returns the version of the endpoint's software, for logs.
    pub(crate) fn software(&self) -> Option<&str> {
        self.endpoint.software_version.as_ref().map(AsRef::as_ref)
    }

    /// Records that the request is sent to the endpoint, which it may crash from now on.
    pub(crate) fn record_sent(&mut self) {
        let now_ms = self.task.daemon.shared_view.now_ms();
        self.sent_ms = now_ms;
        self.has_answered = false;
        self.unresolved = self.task.daemon.shared_view.with(|local_view| {
            let suspects = local_view.suspects(&self.task.head, now_ms);
            for suspect in &suspects {
                local_view.track_request(&self.endpoint, *suspect, now_ms);
            }
            suspects
        });
    }

    /// Records that the endpoint has begun to answer, so that no part of the prompt has crashed it.
    pub(crate) fn record_begun(&mut self) {
        let observed_ms = self.task.daemon.shared_view.now_ms().saturating_sub(self.sent_ms);
        schedule::record_start(&self.task, &self.endpoint, Some(observed_ms));
        let (parts, request) = self.unresolved.drain(..).partition(Fingerprint::is_part);
        self.unresolved = request;
        self.resolve_all(parts);
        let now_ms = self.task.daemon.shared_view.now_ms();
        let parts = &self.task.head.part_fingerprints;
        self.task.daemon.shared_view.with(|local_view| local_view.parts_answered(parts, now_ms));
        self.task.trial.part_settled();
    }

    /// Records that the endpoint has sent the head of an answer.
    pub(crate) fn record_answered(&mut self) {
        self.has_answered = true;
    }

    /// Records that the request did not crash the endpoint: it did not run there, or was answered.
    pub(crate) fn resolve(&mut self) {
        let unresolved = std::mem::take(&mut self.unresolved);
        self.resolve_all(unresolved);
    }

    fn resolve_all(&self, fingerprints: Vec<Fingerprint>) {
        let incarnation = self.endpoint.incarnation();
        self.task.daemon.shared_view.with(|local_view| {
            for fingerprint in fingerprints {
                local_view.unresolved_requests.resolved(&incarnation, fingerprint);
            }
        });
    }

    /// Records that the connection to the endpoint was lost after the request was sent.
    pub(crate) fn record_connection_lost(&mut self) {
        for fingerprint in &self.unresolved {
            let daemon = &self.task.daemon;
            connection_loss::record_lost(daemon, &self.endpoint, *fingerprint, self.sent_ms);
        }
        self.resolve();
    }
}

impl Drop for SelectedEndpoint {
    fn drop(&mut self) {
        for fingerprint in std::mem::take(&mut self.unresolved) {
            let (daemon, endpoint) = (&self.task.daemon, &self.endpoint);
            let (sent_ms, has_answered) = (self.sent_ms, self.has_answered);
            connection_loss::record_abandoned(daemon, endpoint, fingerprint, sent_ms, has_answered);
        }
        let (model, adapter) = (self.task.head.model.as_ref(), self.task.head.adapter.as_ref());
        self.task
            .daemon
            .shared_view
            .with(|local_view| local_view.request_ended(&self.endpoint, model, adapter));
        slots::report_free(&self.task.daemon, &self.endpoint);
    }
}
