//! Allocation of team limits: daemons request parts of a limit from their leader, and leaders from
//! each other.

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

/// Why nothing was allocated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AllocationError {
    /// The team has used up its limit.
    LimitReached {
        /// Time until enough units will be available again.
        in_ms: u64,
    },
    /// No leader could be reached.
    NoAllocator,
}

/// Spends units of a team's limit. Returns until when the request must have been sent.
///
/// # Errors
///
/// Fails if the limit is used up, or no leader can be reached.
pub(crate) async fn spend(
    daemon: &Daemon,
    team: &TeamName,
    limit: &TeamLimit,
    units: u64,
) -> Result<u64, AllocationError> {
    let now_ms = daemon.shared_view.now_ms();
    let spent_here = daemon.with_allowances(|allowances| {
        let spent = allowances.spend(team, units, now_ms);
        spent.ok_or_else(|| allowances.exhausted_for_ms(team, now_ms))
    });
    match spent_here {
        Ok(until_ms) => return Ok(until_ms),
        Err(Some(in_ms)) => return Err(AllocationError::LimitReached { in_ms }),
        Err(None) => {}
    }
    match request_allocation(daemon, team, units).await {
        WireLoan::Lent { .. } => {
            let bounds = daemon.shared_view.with(|local_view| local_view.quota_bounds);
            Ok(now_ms + bounds.valid_ms(limit))
        }
        WireLoan::Refused { in_ms } => {
            let now_ms = daemon.shared_view.now_ms();
            daemon.with_allowances(|allowances| allowances.refused(team, in_ms, now_ms));
            Err(AllocationError::LimitReached { in_ms })
        }
        WireLoan::NotLending => Err(AllocationError::NoAllocator),
    }
}

/// Asks this daemon's leader for an allocation, or another leader if that one does not allocate.
async fn request_allocation(daemon: &Daemon, team: &TeamName, units: u64) -> WireLoan {
    let request = WireBorrowing { team: team.to_string(), units, is_leader: false };
    let call = async |leader: Leader| {
        let allocation = match leader {
            Leader::At { address, .. } => request_at(daemon, address, request.clone()).await,
            // This daemon may have led until a moment ago.
            Leader::Here { .. } | Leader::Nobody => allocate(daemon, request.clone()).await,
        };
        Some(allocation).filter(|allocation| *allocation != WireLoan::NotLending)
    };
    calls::first_answer(daemon, call).await.unwrap_or(WireLoan::NotLending)
}

async fn request_at(daemon: &Daemon, address: SocketAddr, request: WireBorrowing) -> WireLoan {
    let call = async |client: ReplicasClient, context| client.lend(context, request).await;
    daemon.calls.call(address, call).await.unwrap_or(WireLoan::NotLending)
}

/// Allocates units from what this daemon holds as a leader, or from what other leaders hold.
pub(crate) async fn allocate(daemon: &Daemon, request: WireBorrowing) -> WireLoan {
    let team = TeamName::from(request.team);
    let Some(limited_team) = LimitedTeam::of(daemon, &team) else { return WireLoan::NotLending };
    let units = request.units;
    if request.is_leader {
        let give = |quota_allocator: &mut QuotaAllocator, plan: &_, now_ms| {
            quota_allocator.transfer_out(&team, units, plan, now_ms)
        };
        return WireLoan::Lent { units: with_quota_allocator(daemon, &limited_team, give) };
    }
    let (allocation, wanted) =
        with_quota_allocator(daemon, &limited_team, |quota_allocator, plan, now_ms| {
            let allocation = quota_allocator.allocate(&team, units, plan, now_ms);
            let is_short = matches!(allocation, Allocation::Refused { .. });
            let wanted =
                is_short.then(|| quota_allocator.units_to_request(&team, units, plan, now_ms));
            (allocation, wanted.flatten())
        });
    let Some(wanted) = wanted else { return allocation.into() };
    let given = request_from_others(daemon, &team, wanted).await;
    let second = with_quota_allocator(daemon, &limited_team, |quota_allocator, plan, now_ms| {
        if given == 0 {
            quota_allocator.record_empty_transfer(&team, now_ms);
            return allocation;
        }
        quota_allocator.transfer_in(&team, given, plan, now_ms);
        let second = quota_allocator.allocate(&team, units, plan, now_ms);
        // Both calls of `allocate` are for the same request; its demand counts once.
        quota_allocator.settle_refusal(&team, units);
        second
    });
    second.into()
}

/// Asks other leaders one after the other until there are enough units. Returns how many they
/// gave.
async fn request_from_others(daemon: &Daemon, team: &TeamName, wanted: u64) -> u64 {
    let others = daemon.query(Message::OtherLeaders).await.unwrap_or_default();
    let mut given = 0;
    for address in others.into_keys() {
        let units = wanted.saturating_sub(given);
        if units == 0 {
            break;
        }
        let request = WireBorrowing { team: team.to_string(), units, is_leader: true };
        if let WireLoan::Lent { units } = request_at(daemon, address, request).await {
            given += units;
        }
    }
    given
}

/// Calls a function with the allocator after updating it to the leases that this daemon holds at
/// this moment.
fn with_quota_allocator<R>(
    daemon: &Daemon,
    limited_team: &LimitedTeam,
    f: impl FnOnce(&mut QuotaAllocator, &QuotaPlan, u64) -> R,
) -> R {
    daemon.with_quota_allocator(|quota_allocator| {
        let now_ms = daemon.shared_view.now_ms();
        quota_allocator.set_leases(&daemon.order_permits.held(now_ms), now_ms);
        let plan = quota_allocator.plan(&limited_team.limit, &limited_team.bounds);
        f(quota_allocator, &plan, now_ms)
    })
}

/// A team's limit, and the bounds on exceeding it.
struct LimitedTeam {
    limit: TeamLimit,
    bounds: QuotaBounds,
}

impl LimitedTeam {
    /// Returns the limit of a team; `None` if the team has none or is not configured.
    fn of(daemon: &Daemon, team: &TeamName) -> Option<Self> {
        daemon.shared_view.with(|local_view| {
            let limit = local_view.catalog.as_ref()?.teams.get(team)?.limit?;
            Some(Self { limit, bounds: local_view.quota_bounds })
        })
    }
}
