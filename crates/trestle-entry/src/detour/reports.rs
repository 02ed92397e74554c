//! Reports to leaders, which name helpers in return.

use crate::{
    control::message::Leader,
    daemon::Daemon,
    paths,
    peer::{calls, client},
};
use futures_lite::FutureExt;
use smol::Timer;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tarpc::client::RpcError;
use trestle_dispatch::helpers::{Helper, HelperReport};
use trestle_wire::{
    detours::{WireHelper, WireHelperReport},
    replicas::ReplicasClient,
};

/// Time between two reports.
const INTERVAL_MS: u64 = 3_000;
/// Shortest time between two reports while helpers are needed and none is known.
const NEEDED_INTERVAL_MS: u64 = 200;
/// Time limit for an answer.
const ANSWER_MS: u64 = 400;
/// Which of the known leaders each report goes to, in turn. Where several lead, helpers of other
/// failure domains become known by this before the own domain is cut off.
const LEADERS: [usize; 4] = [0, 1, 0, 2];

/// The connection to the leader of the last report.
type Open = Option<(SocketAddr, ReplicasClient)>;

/// Reports to leaders until the process terminates.
pub(crate) async fn run(daemon: Arc<Daemon>) {
    let mut open: Open = None;
    for attempt in LEADERS.into_iter().cycle() {
        let needed = daemon.helpers_needed.listen();
        let named = report(&daemon, &mut open, attempt).await;
        daemon.with_helpers(|known| known.add(named.into_iter().map(Helper::from)));
        Timer::after(Duration::from_millis(NEEDED_INTERVAL_MS)).await;
        let idle = async {
            Timer::after(Duration::from_millis(INTERVAL_MS - NEEDED_INTERVAL_MS)).await;
        };
        needed.or(idle).await;
    }
}

/// Sends one report, and returns the helpers that the leader names; none if it does not answer.
async fn report(daemon: &Arc<Daemon>, open: &mut Open, attempt: usize) -> Vec<WireHelper> {
    let report = own_report(daemon);
    match calls::leader(daemon, attempt).await {
        Leader::Here { .. } => answer(daemon, report),
        Leader::At { address, .. } => match send(open, address, report).await {
            Ok(named) => named,
            Err(error) => {
                tracing::debug!(%address, %error, "detour: A leader named no helpers.");
                Vec::new()
            }
        },
        Leader::Nobody => Vec::new(),
    }
}

/// Returns the report of this daemon.
pub(crate) fn own_report(daemon: &Daemon) -> WireHelperReport {
    let unreached = paths::unreached_services(daemon).iter().map(ToString::to_string).collect();
    let helper =
        WireHelper { address: daemon.peers_address(), domain: daemon.settings.domain.clone() };
    WireHelperReport { vm: daemon.settings.vm.clone(), helper, unreached }
}

async fn send(
    open: &mut Open,
    address: SocketAddr,
    report: WireHelperReport,
) -> Result<Vec<WireHelper>, RpcError> {
    let client = match open.take() {
        Some((open_to, client)) if open_to == address => client,
        _ => client::connect(address).await.map_err(|_| RpcError::Shutdown)?,
    };
    let named = client.find_helpers(client::context_for(ANSWER_MS), report).await?;
    *open = Some((address, client));
    Ok(named)
}

/// Returns helpers for a daemon that reports to this one.
pub(crate) fn answer(daemon: &Daemon, report: WireHelperReport) -> Vec<WireHelper> {
    let received = HelperReport {
        helper: report.helper.into(),
        unreached: report.unreached.into_iter().map(Into::into).collect(),
        reported_ms: daemon.shared_view.now_ms(),
    };
    let named = daemon.with_helper_roster(|roster| {
        roster.report(report.vm.as_str().into(), received, fastrand::u64(..))
    });
    named.into_iter().map(WireHelper::from).collect()
}
