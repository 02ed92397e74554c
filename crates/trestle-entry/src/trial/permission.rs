//! The exchange with the leader about one permitted attempt.

use crate::{daemon::Daemon, trial_leader};
use smol::Timer;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use trestle_dispatch::{fingerprint::Fingerprint, trials::TRIAL_MS};
use trestle_wire::trials::{TrialStep, WireTrialAnswer};

/// Time between two renewals of a permission, so that one of them may be lost.
const RENEWAL_INTERVAL_MS: u64 = TRIAL_MS / 3;

/// The permission of one attempt.
#[derive(Debug, Clone)]
pub(super) struct Permission {
    pub(super) daemon: Arc<Daemon>,
    pub(super) request: Fingerprint,
    /// Number of the attempt, unique in this process.
    pub(super) number: u64,
    /// Whether this daemon gave the permission itself because it reached no leader.
    pub(super) is_alone: bool,
}

impl Permission {
    /// Tells the leader about the attempt.
    pub(super) async fn tell(&self, step: TrialStep) -> WireTrialAnswer {
        let Self { daemon, request, number, is_alone } = self;
        let answer = trial_leader::ask(daemon, *request, *number, step).await;
        match is_alone {
            true => trial_leader::decide_alone(daemon, *request, *number, step),
            false => answer,
        }
    }

    /// Renews the permission again and again.
    pub(super) async fn renew(self, valid_until_ms: Arc<AtomicU64>) {
        loop {
            Timer::after(Duration::from_millis(RENEWAL_INTERVAL_MS)).await;
            let asked_ms = self.daemon.shared_view.now_ms();
            if self.tell(TrialStep::Renew).await == WireTrialAnswer::Runs {
                valid_until_ms.store(asked_ms + TRIAL_MS, Ordering::Relaxed);
            }
        }
    }
}
