//! Finds an endpoint for a request, and waits for its model where that helps.

use crate::{
    broken,
    daemon::Daemon,
    places,
    traffic::{
        answer::{Failure, RETRY_SOON_MS},
        payment,
        task::Task,
    },
};
use futures_lite::FutureExt;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::names::ServiceName;
use trestle_dispatch::{
    admission::Reason,
    endpoint::Endpoint,
    selection::{self, RequestContext, Selection},
    sends::Sends,
};

/// Longest time without a look while waiting: the daemon may be told to stop, and an
/// endpoint that was set aside may be asked again.
const LOOK_MS: u64 = 250;

/// An endpoint that counts a request as running until this is dropped.
#[derive(Debug)]
pub(crate) struct Taken {
    pub(crate) endpoint: Endpoint,
    task: Arc<Task>,
    /// Whether the request has left for it, and may end it.
    is_open: bool,
}

impl Taken {
    /// Notes that the request leaves for the endpoint, which may end under it from now on.
    pub(crate) fn leaves(&mut self) {
        let Some(request) = self.task.head.fingerprint else { return };
        self.is_open = true;
        self.task
            .daemon
            .knowledge
            .with(|local_view| local_view.track_request(&self.endpoint, request));
    }

    /// Notes that the endpoint has not ended under it: it did not run there, or had an answer.
    pub(crate) fn settle(&mut self) {
        let Some(request) = self.task.head.fingerprint.filter(|_| self.is_open) else { return };
        self.is_open = false;
        let incarnation = self.endpoint.incarnation();
        self.task
            .daemon
            .knowledge
            .with(|local_view| local_view.unresolved_requests.resolved(&incarnation, request));
    }

    /// Notes that its connection to the endpoint broke.
    pub(crate) fn broke(&mut self) {
        broken::note(&self.task.daemon, &self.endpoint, self.task.head.fingerprint);
        self.settle();
    }
}

/// Finds an endpoint for the next send.
///
/// # Errors
///
/// Fails at once where none will be there in time; the request did not run by this.
pub(crate) async fn select(task: &Arc<Task>, sends: &Sends) -> Result<Taken, Failure> {
    let mut wish: Option<WishGuard> = None;
    payment::check(task)?;
    loop {
        let changed = task.daemon.knowledge.changed();
        if !task.still_counts() {
            return Err(Failure::NoKey);
        }
        let number = wish.as_ref().map(|wish| wish.number);
        let until_ms = match look(task, sends, number) {
            Selection::Send(endpoint) => {
                return Ok(Taken { endpoint, task: Arc::clone(task), is_open: false });
            }
            Selection::RequestTrial => {
                try_out(task).await?;
                continue;
            }
            Selection::Refuse { retry_after_ms, reason } => {
                if reason != Some(Reason::EndsEndpoints) {
                    expect_back(task, retry_after_ms);
                }
                let why = reason.map_or("no_endpoint", Reason::name);
                return Err(Failure::NotRun { retry_after_ms, why });
            }
            Selection::ChargeQuota => {
                payment::pay(task).await?;
                continue;
            }
            Selection::RequestSendPermit(endpoint) => {
                if let Some(until_ms) = places::ask(&task.daemon, &endpoint, &task.head.id).await {
                    task.place.take(endpoint.incarnation(), until_ms);
                }
                continue;
            }
            Selection::Throttled(held_back) => {
                let retry_after_ms = held_back.for_ms;
                // A rest is over soon; what takes less for longer is brought in elsewhere.
                if held_back.is_limited {
                    expect_back(task, retry_after_ms);
                }
                return Err(Failure::NotRun { retry_after_ms, why: "held_back" });
            }
            Selection::Wait { until_ms } => until_ms,
        };
        if !task.daemon.stopping.can_begin(task.daemon.knowledge.now_ms()) {
            return Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS, why: "stopping" });
        }
        if wish.is_none() {
            wish = Some(WishGuard::new(task));
        }
        let wait_ms = until_ms.saturating_sub(task.elapsed_ms()).clamp(1, LOOK_MS);
        let timer = async {
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        changed.or(timer).await;
    }
}

/// Asks whether a request may run although endpoints may have ended under it.
async fn try_out(task: &Task) -> Result<(), Failure> {
    let Some(request) = task.head.fingerprint else { return Ok(()) };
    let begun = task.trial.begin(&task.daemon, request).await;
    let why = Reason::OnTrial.name();
    begun.map_err(|retry_after_ms| Failure::NotRun { retry_after_ms, why })
}

fn look(task: &Task, sends: &Sends, wish: Option<u64>) -> Selection {
    let lot = fastrand::u64(..);
    let now_ms = task.daemon.knowledge.now_ms();
    let place = task.place.incarnation(now_ms);
    task.daemon.knowledge.with(|local_view| {
        let asking =
            RequestContext { demand_id: wish, send_permit: place.as_ref(), ..task.asking() };
        let selection = selection::select(local_view, asking, sends, lot, now_ms);
        if let Selection::Throttled(held_back) = &selection {
            task.note_held_back(local_view, &held_back.incarnation, now_ms);
        }
        if let Selection::Send(endpoint) = &selection {
            local_view.request_started(
                endpoint,
                task.head.model.as_ref(),
                task.head.adapter.as_ref(),
            );
            task.note_list(local_view, now_ms);
        }
        selection
    })
}

/// Whether another endpoint than the last could take the request over now.
pub(crate) fn has_other(task: &Task, sends: &Sends) -> bool {
    let now_ms = task.daemon.knowledge.now_ms();
    let look =
        |local_view: &mut _| selection::has_alternative(local_view, task.asking(), sends, now_ms);
    task.daemon.knowledge.with(look)
}

/// Has the model kept for a caller that was told to come back.
fn expect_back(task: &Task, retry_after_ms: u64) {
    let daemon = &task.daemon;
    let now_ms = daemon.knowledge.now_ms();
    let number = daemon.next_number();
    daemon.knowledge.with(|local_view| {
        let policy = &local_view.policy;
        let wish = selection::returning_demand(policy, task.asking(), retry_after_ms, now_ms);
        if let Some(wish) = wish {
            local_view.local_demand_for(&task.service).returning.insert(number, wish);
        }
    });
    daemon.knowledge.wish();
}

impl Drop for Taken {
    fn drop(&mut self) {
        if let Some(request) = self.task.head.fingerprint.filter(|_| self.is_open) {
            broken::note_left(&self.task.daemon, &self.endpoint, request);
        }
        let (model, adapter) = (self.task.head.model.as_ref(), self.task.head.adapter.as_ref());
        self.task
            .daemon
            .knowledge
            .with(|local_view| local_view.request_ended(&self.endpoint, model, adapter));
    }
}

/// What a request waits for; told to the leader until this is dropped.
struct WishGuard {
    daemon: Arc<Daemon>,
    service: ServiceName,
    number: u64,
}

impl WishGuard {
    fn new(task: &Task) -> Self {
        let daemon = Arc::clone(&task.daemon);
        let number = daemon.next_number();
        let due_ms = task.arrived_ms + task.route.objective_ms;
        daemon.knowledge.with(|local_view| {
            if let Some(wish) = selection::pending_demand(task.asking(), due_ms) {
                local_view.local_demand_for(&task.service).waiting.insert(number, wish);
            }
        });
        daemon.knowledge.wish();
        Self { daemon, service: task.service.clone(), number }
    }
}

impl Drop for WishGuard {
    fn drop(&mut self) {
        self.daemon.knowledge.with(|local_view| {
            local_view.local_demand_for(&self.service).waiting.remove(&self.number);
        });
    }
}
