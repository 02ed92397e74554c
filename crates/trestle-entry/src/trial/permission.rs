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
/// Number of times that the end of an attempt is reported while no leader answers. A new one, which
/// does not know of the attempt, has begun by then.
const MAX_END_REPORTS: u32 = 10;

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
        let alone = is_alone.then(|| trial_leader::decide_alone(daemon, *request, *number, step));
        // A leader that answers again may have allowed another attempt.
        match answer {
            WireTrialAnswer::Undecided => alone.unwrap_or(WireTrialAnswer::Undecided),
            decided => decided,
        }
    }

    /// Tells the leader of the end of the attempt, again if no leader answers: others wait for it.
    pub(super) async fn tell_end(&self) {
        for _ in 0..MAX_END_REPORTS {
            if self.tell(TrialStep::End).await != WireTrialAnswer::Undecided {
                return;
            }
            Timer::after(Duration::from_millis(RENEWAL_INTERVAL_MS)).await;
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
