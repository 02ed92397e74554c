//! Parts of the limits of teams: daemons borrow them from their leader, and leaders from each
//! other.

use crate::{
    control::message::{Leader, Message},
    daemon::Daemon,
    peer::calls,
};
use std::net::SocketAddr;
use trestle_core::names::TeamName;
use trestle_dispatch::{
    lender::{Lender, Loan},
    quota::{QuotaBounds, QuotaPlan},
    team::Team,
};
use trestle_wire::{
    lending::{WireBorrowing, WireLoan},
    replicas::ReplicasClient,
};

/// What limits are kept to where settings say nothing.
const NOT_AGREED: QuotaBounds = QuotaBounds { window_ms: 10_000, excess: 0.1, fixed: 0.0 };

/// Why nothing was lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotLent {
    /// The team has used up its limit.
    SpentOut {
        /// Time until there will be enough again.
        in_ms: u64,
    },
    /// No leader could be asked.
    NoLender,
}

/// Takes a request from its team's limit; returns until when it must have been sent.
///
/// # Errors
///
/// Fails where the limit is used up, or nobody can be asked.
pub(crate) async fn spend(daemon: &Daemon, team: &Team, units: u64) -> Result<u64, NotLent> {
    let now_ms = daemon.knowledge.now_ms();
    let at_hand = daemon.with_allowances(|allowances| {
        let spent = allowances.spend(&team.name, units, now_ms);
        spent.ok_or_else(|| allowances.spent_out_for_ms(&team.name, now_ms))
    });
    match at_hand {
        Ok(until_ms) => return Ok(until_ms),
        Err(Some(in_ms)) => return Err(NotLent::SpentOut { in_ms }),
        Err(None) => {}
    }
    match borrow(daemon, &team.name, units).await {
        WireLoan::Lent { .. } => {
            let valid_ms = plan(daemon, &team.name).map_or(0, |plan| plan.valid_ms);
            Ok(now_ms + valid_ms)
        }
        WireLoan::Refused { in_ms } => {
            let now_ms = daemon.knowledge.now_ms();
            daemon.with_allowances(|allowances| allowances.refused(&team.name, in_ms, now_ms));
            Err(NotLent::SpentOut { in_ms })
        }
        WireLoan::NotLending => Err(NotLent::NoLender),
    }
}

/// Asks this daemon's leader, or another one if that does not lend.
async fn borrow(daemon: &Daemon, team: &TeamName, units: u64) -> WireLoan {
    let borrowing = WireBorrowing { team: team.to_string(), units, is_leader: false };
    let ask = async |leader: Leader| {
        let loan = match leader {
            Leader::At { address, .. } => borrow_at(daemon, address, borrowing.clone()).await,
            // It may also have led until a moment ago.
            Leader::Here { .. } | Leader::Nobody => lend(daemon, borrowing.clone()).await,
        };
        Some(loan).filter(|loan| *loan != WireLoan::NotLending)
    };
    calls::first_answer(daemon, ask).await.unwrap_or(WireLoan::NotLending)
}

async fn borrow_at(daemon: &Daemon, address: SocketAddr, borrowing: WireBorrowing) -> WireLoan {
    let ask = async |client: ReplicasClient, context| client.lend(context, borrowing).await;
    daemon.calls.call(address, ask).await.unwrap_or(WireLoan::NotLending)
}

/// Lends, if this daemon leads, what it has, or what other leaders have.
pub(crate) async fn lend(daemon: &Daemon, borrowing: WireBorrowing) -> WireLoan {
    let team = TeamName::from(borrowing.team);
    let Some(plan) = plan(daemon, &team) else { return WireLoan::NotLending };
    let units = borrowing.units;
    if borrowing.is_leader {
        let units = with_lender(daemon, |lender, now_ms| lender.give(&team, units, &plan, now_ms));
        return WireLoan::Lent { units };
    }
    let (loan, wanted) = with_lender(daemon, |lender, now_ms| {
        let loan = lender.lend(&team, units, &plan, now_ms);
        let is_short = matches!(loan, Loan::Refused { .. });
        let wanted = is_short.then(|| lender.to_ask_others(&team, units, &plan, now_ms));
        (loan, wanted.flatten())
    });
    let Some(wanted) = wanted else { return loan.into() };
    let given = ask_others(daemon, &team, wanted).await;
    let again = with_lender(daemon, |lender, now_ms| {
        if given == 0 {
            lender.nothing_given(&team, now_ms);
            return loan;
        }
        lender.receive(&team, given, &plan, now_ms);
        let again = lender.lend(&team, units, &plan, now_ms);
        // Both questions are one.
        lender.met(&team, units);
        again
    });
    again.into()
}

/// Asks other leaders, one after the other, until there is enough.
async fn ask_others(daemon: &Daemon, team: &TeamName, wanted: u64) -> u64 {
    let others = daemon.ask(Message::OtherLeaders).await.unwrap_or_default();
    let mut given = 0;
    for address in others.into_keys() {
        let units = wanted.saturating_sub(given);
        if units == 0 {
            break;
        }
        let borrowing = WireBorrowing { team: team.to_string(), units, is_leader: true };
        if let WireLoan::Lent { units } = borrow_at(daemon, address, borrowing).await {
            given += units;
        }
    }
    given
}

/// Looks at what this daemon may lend, as of the leases that it holds at this moment.
fn with_lender<R>(daemon: &Daemon, look: impl FnOnce(&mut Lender, u64) -> R) -> R {
    daemon.with_lender(|lender| {
        let now_ms = daemon.knowledge.now_ms();
        lender.set_leases(&daemon.order_permits.held(now_ms), now_ms);
        look(lender, now_ms)
    })
}

/// How a team's limit is kept; none if it has none, or is not known.
fn plan(daemon: &Daemon, team: &TeamName) -> Option<QuotaPlan> {
    let limit = daemon.knowledge.catalog()?.teams.get(team)?.limit?;
    let agreed = daemon.quota_bounds().map_or(NOT_AGREED, |quota| QuotaBounds {
        window_ms: (quota.window_s * 1e3) as u64,
        excess: quota.excess,
        fixed: quota.fixed,
    });
    Some(QuotaPlan::new(&limit, &agreed, groups(daemon)))
}

/// Groups whose leaders share limits: each failure domain may have engines, and so a leader.
fn groups(daemon: &Daemon) -> usize {
    let mut groups = daemon.knowledge.with(|beliefs| beliefs.directory.domains());
    groups.extend(daemon.settings.domains.iter().map(|domain| domain.as_str().into()));
    groups.len()
}
