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
    allocation::{WireAllocation, WireAllocationRequest},
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
        WireAllocation::Lent { .. } => {
            let bounds = daemon.shared_view.with(|local_view| local_view.quota_bounds);
            Ok(now_ms + bounds.valid_ms(limit))
        }
        WireAllocation::Refused { in_ms } => {
            let now_ms = daemon.shared_view.now_ms();
            daemon.with_allowances(|allowances| allowances.refused(team, in_ms, now_ms));
            Err(AllocationError::LimitReached { in_ms })
        }
        WireAllocation::NotLending => Err(AllocationError::NoAllocator),
    }
}

/// Asks this daemon's leader for an allocation, or another leader if that one does not allocate.
async fn request_allocation(daemon: &Daemon, team: &TeamName, units: u64) -> WireAllocation {
    let request = WireAllocationRequest { team: team.to_string(), units, is_leader: false };
    let call = async |leader: Leader| {
        let allocation = match leader {
            Leader::At { address, .. } => request_at(daemon, address, request.clone()).await,
            // This daemon may have led until a moment ago.
            Leader::Here { .. } | Leader::Nobody => allocate(daemon, request.clone()).await,
        };
        Some(allocation).filter(|allocation| *allocation != WireAllocation::NotLending)
    };
    calls::first_answer(daemon, call).await.unwrap_or(WireAllocation::NotLending)
}

async fn request_at(
    daemon: &Daemon,
    address: SocketAddr,
    request: WireAllocationRequest,
) -> WireAllocation {
    let call = async |client: ReplicasClient, context| client.lend(context, request).await;
    daemon.calls.call(address, call).await.unwrap_or(WireAllocation::NotLending)
}

/// Allocates units from what this daemon holds as a leader, or from what other leaders hold.
pub(crate) async fn allocate(daemon: &Daemon, request: WireAllocationRequest) -> WireAllocation {
    let team = TeamName::from(request.team);
    let Some(limited_team) = LimitedTeam::of(daemon, &team) else {
        return WireAllocation::NotLending;
    };
    let units = request.units;
    if request.is_leader {
        let transfer = |quota_allocator: &mut QuotaAllocator, plan: &_, now_ms| {
            quota_allocator.transfer_out(&team, units, plan, now_ms)
        };
        return WireAllocation::Lent {
            units: with_quota_allocator(daemon, &limited_team, transfer),
        };
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
    let received = request_from_others(daemon, &team, wanted).await;
    let retried = with_quota_allocator(daemon, &limited_team, |quota_allocator, plan, now_ms| {
        if received == 0 {
            quota_allocator.record_empty_transfer(&team, now_ms);
            return allocation;
        }
        quota_allocator.transfer_in(&team, received, plan, now_ms);
        let retried = quota_allocator.allocate(&team, units, plan, now_ms);
        // Both calls of `allocate` are for the same request; its demand counts once.
        quota_allocator.settle_refusal(&team, units);
        retried
    });
    retried.into()
}

/// Asks other leaders one after the other until there are enough units. Returns how many units they
/// transferred.
async fn request_from_others(daemon: &Daemon, team: &TeamName, wanted: u64) -> u64 {
    let others = daemon.query(Message::OtherLeaders).await.unwrap_or_default();
    let mut received = 0;
    for address in others.into_keys() {
        let units = wanted.saturating_sub(received);
        if units == 0 {
            break;
        }
        let request = WireAllocationRequest { team: team.to_string(), units, is_leader: true };
        if let WireAllocation::Lent { units } = request_at(daemon, address, request).await {
            received += units;
        }
    }
    received
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
