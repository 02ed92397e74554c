//! What daemons are told of a service, made anew only when it has changed or grown old.

use trestle_core::names::ServiceName;
use trestle_dispatch::{directory::Directory, service_state::ServiceState};
use trestle_wire::replicas::WireView;

/// Age up to which what was told to one daemon is told to the next; it grows old by that
/// much less than by its way and the pause between two questions.
const TOLD_MS: u64 = 30;

/// What daemons were told last of one service.
#[derive(Debug)]
pub(crate) struct Told {
    at_ms: u64,
    news: u64,
    view: WireView,
}

impl Told {
    /// What is told now, given what was told last.
    pub(crate) fn now<'a>(
        told: &'a mut Option<Self>,
        state: &ServiceState,
        service: &ServiceName,
        directory: &Directory,
        now_ms: u64,
    ) -> &'a WireView {
        let fresh = told.take().filter(|told| told.news == state.news());
        let fresh = fresh.filter(|told| now_ms < told.at_ms + TOLD_MS);
        let make = || Self {
            at_ms: now_ms,
            news: state.news(),
            view: WireView::from(&state.view(service, directory, now_ms)),
        };
        &told.insert(fresh.unwrap_or_else(make)).view
    }
}
