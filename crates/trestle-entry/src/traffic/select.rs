//! Finds an endpoint for a request, and waits for its model where that helps.

use crate::{
    daemon::Daemon,
    knowledge::Wish,
    traffic::{
        answer::{Failure, RETRY_SOON_MS},
        sends::{Allowed, Sends},
        task::Task,
    },
};
use futures_lite::FutureExt;
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_dispatch::{
    admission::{self, Admission},
    choice::{self, Known, Need},
    endpoint::Endpoint,
    replicas::ReplicaView,
};

/// When a caller should come back if a plain service has no endpoint left to try.
const PLAIN_RETRY_MS: u64 = 300;
/// Longest time without a look while waiting: the daemon may be told to stop, and an
/// endpoint that was set aside may be asked again.
const LOOK_MS: u64 = 250;
/// Part of the objective within which a refusal still lets the caller be on time.
const EARLY_PART: u64 = 4;
/// Time beyond its return for which a refused caller's model is still kept.
const EXPECTED_MS: u64 = 1_500;

/// An endpoint that counts a request as running until this is dropped.
#[derive(Debug)]
pub(crate) struct Taken {
    pub(crate) endpoint: Endpoint,
    task: Arc<Task>,
}

/// Finds an endpoint for the next send.
///
/// # Errors
///
/// Fails at once where none will be there in time; the request did not run by this.
pub(crate) async fn select(task: &Arc<Task>, sends: &Sends) -> Result<Taken, Failure> {
    let mut wish: Option<WishGuard> = None;
    loop {
        let changed = task.daemon.knowledge.changed();
        if let Some(endpoint) = choose_allowed(task, sends) {
            return Ok(Taken { endpoint, task: Arc::clone(task) });
        }
        if task.head.model.is_none() {
            return Err(Failure::NotRun { retry_after_ms: PLAIN_RETRY_MS });
        }
        if wish.is_none() {
            wish = Some(WishGuard::new(task));
        }
        if !task.daemon.stopping.can_begin(task.daemon.knowledge.now_ms()) {
            return Err(Failure::NotRun { retry_after_ms: RETRY_SOON_MS });
        }
        let until_ms = match how_long(task) {
            Ok(until_ms) => until_ms,
            Err(retry_after_ms) => {
                expect_back(task, retry_after_ms);
                return Err(Failure::NotRun { retry_after_ms });
            }
        };
        let wait_ms = until_ms.saturating_sub(task.elapsed_ms()).clamp(1, LOOK_MS);
        let timer = async {
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        changed.or(timer).await;
    }
}

fn choose_allowed(task: &Task, sends: &Sends) -> Option<Endpoint> {
    let allowed = sends.allowed(task, task.daemon.knowledge.now_ms());
    let chosen = choose(task, &allowed);
    chosen.or_else(|| choose(task, &sends.allowed_again(task)?))
}

/// Whether another endpoint than the last could take the request over now.
pub(crate) fn has_other(task: &Task, sends: &Sends) -> bool {
    let mut allowed = sends.allowed(task, task.daemon.knowledge.now_ms());
    allowed.excluded.extend(sends.last.clone());
    look(task, &allowed, choice::has_sound)
}

fn choose(task: &Task, allowed: &Allowed) -> Option<Endpoint> {
    let lot = fastrand::u64(..);
    let endpoint = look(task, allowed, |known, need| choice::choose(known, need, lot).cloned())?;
    let (model, adapter) = (task.head.model.as_ref(), task.head.adapter.as_ref());
    task.daemon.knowledge.with(|beliefs| beliefs.sent(&endpoint, model, adapter));
    Some(endpoint)
}

/// Looks for endpoints by what is known now.
fn look<R>(task: &Task, allowed: &Allowed, look: impl FnOnce(Known<'_>, Need<'_>) -> R) -> R {
    let daemon = &task.daemon;
    let now_ms = daemon.knowledge.now_ms();
    let need = Need {
        service: &task.service,
        model: task.head.model.as_ref(),
        adapter: task.head.adapter.as_ref(),
        excluded: &allowed.excluded,
        only: allowed.only.as_ref(),
    };
    daemon.knowledge.with(|beliefs| {
        beliefs.directory.tick(now_ms);
        let nothing = ReplicaView::default();
        let known = Known {
            directory: &beliefs.directory,
            replicas: beliefs.replicas.get(&task.service).unwrap_or(&nothing),
            records: &beliefs.records,
            domain: &beliefs.domain,
            now_ms,
        };
        look(known, need)
    })
}

/// Until when to wait, from the request's arrival, or when the caller should come back.
fn how_long(task: &Task) -> Result<u64, u64> {
    let elapsed_ms = task.elapsed_ms();
    let model = task.head.model.as_ref();
    let ready_in_ms = task.daemon.knowledge.with(|beliefs| {
        let view = beliefs.replicas.get(&task.service)?;
        view.ready_in_ms.get(model?).copied()
    });
    let early_ms = task.route.objective_ms / EARLY_PART;
    let decided = admission::decide(&task.route, elapsed_ms, task.allowed_ms, ready_in_ms);
    match decided {
        Admission::Wait { until_ms } if elapsed_ms < until_ms => Ok(until_ms),
        // The leader may not have answered yet.
        Admission::Refuse { .. } if ready_in_ms.is_none() && elapsed_ms < early_ms => Ok(early_ms),
        Admission::Refuse { retry_after_ms } if elapsed_ms <= early_ms => Err(retry_after_ms),
        _ => wait_late(task, elapsed_ms, ready_in_ms),
    }
}

/// For a request that has already waited too long to be refused early: it goes on
/// waiting as long as its caller is likely to stay until the model is ready.
fn wait_late(task: &Task, elapsed_ms: u64, ready_in_ms: Option<u64>) -> Result<u64, u64> {
    let stays_ms = admission::caller_stays_ms(&task.route, task.allowed_ms);
    match ready_in_ms {
        Some(ready_ms) if elapsed_ms + ready_ms < stays_ms && elapsed_ms < stays_ms => Ok(stays_ms),
        _ => Err(admission::retry_after_ms(elapsed_ms, task.allowed_ms, ready_in_ms)),
    }
}

/// Has the model kept for a caller that was told to come back.
fn expect_back(task: &Task, retry_after_ms: u64) {
    let Some(model) = task.head.model.clone() else { return };
    let daemon = &task.daemon;
    let due_ms = daemon.knowledge.now_ms() + retry_after_ms + EXPECTED_MS;
    let adapter = task.head.adapter.clone().filter(|_| is_model_there(task));
    let wish = Wish { priority: task.route.priority, due_ms, model, adapter };
    let number = daemon.next_number();
    daemon.knowledge.with(|beliefs| {
        beliefs.asked_of(&task.service).returning.insert(number, wish);
    });
    daemon.knowledge.wish();
}

/// Whether only the adapter is missing.
fn is_model_there(task: &Task) -> bool {
    let Some(model) = task.head.model.as_ref() else { return false };
    task.daemon.knowledge.with(|beliefs| {
        let nothing = ReplicaView::default();
        let replicas = beliefs.replicas.get(&task.service).unwrap_or(&nothing);
        let mut usable = beliefs.directory.usable(&task.service);
        usable.any(|endpoint| replicas.can_run(endpoint, model, None))
    })
}

impl Drop for Taken {
    fn drop(&mut self) {
        let (model, adapter) = (self.task.head.model.as_ref(), self.task.head.adapter.as_ref());
        self.task.daemon.knowledge.with(|beliefs| beliefs.ended(&self.endpoint, model, adapter));
    }
}

/// What a request waits for; told to the leader until this is dropped.
struct WishGuard {
    daemon: Arc<Daemon>,
    service: trestle_core::names::ServiceName,
    number: u64,
}

impl WishGuard {
    fn new(task: &Task) -> Self {
        let daemon = Arc::clone(&task.daemon);
        let number = daemon.next_number();
        if let Some(model) = task.head.model.clone() {
            let adapter = task.head.adapter.clone().filter(|_| is_model_there(task));
            let due_ms = task.arrived_ms + task.route.objective_ms;
            let wish = Wish { priority: task.route.priority, due_ms, model, adapter };
            daemon.knowledge.with(|beliefs| {
                beliefs.asked_of(&task.service).waiting.insert(number, wish);
            });
            daemon.knowledge.wish();
        }
        Self { daemon, service: task.service.clone(), number }
    }
}

impl Drop for WishGuard {
    fn drop(&mut self) {
        self.daemon.knowledge.with(|beliefs| {
            beliefs.asked_of(&self.service).waiting.remove(&self.number);
        });
    }
}
