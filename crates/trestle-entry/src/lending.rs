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
    quota::{QuotaBounds, QuotaPlan},
    quota_allocator::{Allocation, QuotaAllocator},
    team::TeamLimit,
};
use trestle_wire::{
    lending::{WireBorrowing, WireLoan},
    replicas::ReplicasClient,
};

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

/// Takes so much from a team's limit; returns until when the request must have been sent.
///
/// # Errors
///
/// Fails where the limit is used up, or nobody can be asked.
pub(crate) async fn spend(
    daemon: &Daemon,
    team: &TeamName,
    limit: &TeamLimit,
    units: u64,
) -> Result<u64, NotLent> {
    let now_ms = daemon.knowledge.now_ms();
    let at_hand = daemon.with_allowances(|allowances| {
        let spent = allowances.spend(team, units, now_ms);
        spent.ok_or_else(|| allowances.exhausted_for_ms(team, now_ms))
    });
    match at_hand {
        Ok(until_ms) => return Ok(until_ms),
        Err(Some(in_ms)) => return Err(NotLent::SpentOut { in_ms }),
        Err(None) => {}
    }
    match borrow(daemon, team, units).await {
        WireLoan::Lent { .. } => {
            let bounds = daemon.knowledge.with(|local_view| local_view.quota_bounds);
            Ok(now_ms + bounds.valid_ms(limit))
        }
        WireLoan::Refused { in_ms } => {
            let now_ms = daemon.knowledge.now_ms();
            daemon.with_allowances(|allowances| allowances.refused(team, in_ms, now_ms));
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
    let Some(limited) = Limited::of(daemon, &team) else { return WireLoan::NotLending };
    let units = borrowing.units;
    if borrowing.is_leader {
        let give = |quota_allocator: &mut QuotaAllocator, plan: &_, now_ms| {
            quota_allocator.transfer_out(&team, units, plan, now_ms)
        };
        return WireLoan::Lent { units: with_lender(daemon, &limited, give) };
    }
    let (loan, wanted) = with_lender(daemon, &limited, |quota_allocator, plan, now_ms| {
        let loan = quota_allocator.allocate(&team, units, plan, now_ms);
        let is_short = matches!(loan, Allocation::Refused { .. });
        let wanted = is_short.then(|| quota_allocator.units_to_request(&team, units, plan, now_ms));
        (loan, wanted.flatten())
    });
    let Some(wanted) = wanted else { return loan.into() };
    let given = ask_others(daemon, &team, wanted).await;
    let again = with_lender(daemon, &limited, |quota_allocator, plan, now_ms| {
        if given == 0 {
            quota_allocator.record_empty_transfer(&team, now_ms);
            return loan;
        }
        quota_allocator.transfer_in(&team, given, plan, now_ms);
        let again = quota_allocator.allocate(&team, units, plan, now_ms);
        // Both questions are one.
        quota_allocator.settle_refusal(&team, units);
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

/// Looks at what this daemon may lend of a limit, as of the leases that it holds at this moment.
fn with_lender<R>(
    daemon: &Daemon,
    limited: &Limited,
    look: impl FnOnce(&mut QuotaAllocator, &QuotaPlan, u64) -> R,
) -> R {
    daemon.with_lender(|quota_allocator| {
        let now_ms = daemon.knowledge.now_ms();
        quota_allocator.set_leases(&daemon.order_permits.held(now_ms), now_ms);
        let plan = quota_allocator.plan(&limited.limit, &limited.bounds);
        look(quota_allocator, &plan, now_ms)
    })
}

/// A team's limit, and how far it may be exceeded.
struct Limited {
    limit: TeamLimit,
    bounds: QuotaBounds,
}

impl Limited {
    /// That of a team; none if it has none, or is not known.
    fn of(daemon: &Daemon, team: &TeamName) -> Option<Self> {
        daemon.knowledge.with(|local_view| {
            let limit = local_view.catalog.as_ref()?.teams.get(team)?.limit?;
            Some(Self { limit, bounds: local_view.quota_bounds })
        })
    }
}
