//! Carries out one change at one engine, one order after another.

use crate::{
    answer_bounds,
    control::message::Message,
    daemon::Daemon,
    net::exchange::CallClient,
    paths::{self, Ways},
    signals,
};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::names::ServiceName;
use trestle_dispatch::{
    change::Change,
    endpoint::{Endpoint, EngineReport},
    orders::{NextStep, Order, OrderAnswer, OrderChain},
};

/// Time limit for an engine's answer to an order or a report request; engines answer both at once.
const CALL_MS: u64 = 500;
/// Longest time by which a change may exceed its planned time. It covers a load from the weight
/// store beside other loads, and an unload that waits for long streams.
const OVERTIME_MS: u64 = 12_000;

/// Failure of a change whose orders were for an earlier incarnation of the engine.
const RESTARTED: &str = "the engine has started again, or is gone";

/// Failure of a change at an engine that has reported meanwhile that it is draining.
const DRAINING: &str = "the engine leaves";

/// Failure of a change at an engine whose requested backoff ends after the change's time limit.
const BACKOFF: &str = "the engine asks for rest";

/// Failure of a change whose orders may no longer be sent.
const NO_LEASE: &str = "the lease has run out";

/// Failure of a change at an engine whose name cannot be sent.
const INVALID_NAME: &str = "the engine's name is not valid in a call";

/// Starts a task that carries out a change.
pub(crate) fn start(
    daemon: &Arc<Daemon>,
    service: ServiceName,
    endpoint: Arc<Endpoint>,
    change: Change,
    chain: OrderChain,
) {
    let (evicted, model, adapter) = (&change.evicted, &change.model, &change.adapter);
    tracing::info!(
        endpoint = %endpoint.name, %model, ?adapter, ?evicted, remote = change.is_remote,
        "order: A change begins."
    );
    smol::spawn(run(Arc::clone(daemon), service, endpoint, change, chain)).detach();
}

async fn run(
    daemon: Arc<Daemon>,
    service: ServiceName,
    endpoint: Arc<Endpoint>,
    change: Change,
    mut chain: OrderChain,
) {
    let client = paths::call_client(&daemon, &endpoint, Ways::Direct);
    let started_ms = daemon.shared_view.now_ms();
    let limit_ms = change.done_at_ms + OVERTIME_MS;
    let failure = loop {
        let (next, not_before_ms) = chain.next();
        let backoff_until_ms = daemon.backoff_until_ms(&endpoint);
        if backoff_until_ms > limit_ms {
            break Some(BACKOFF.to_owned());
        }
        let wait_ms =
            not_before_ms.max(backoff_until_ms).saturating_sub(daemon.shared_view.now_ms());
        if wait_ms > 0 {
            Timer::after(Duration::from_millis(wait_ms)).await;
            // The engine may have requested a longer backoff meanwhile.
            continue;
        }
        let now_ms = daemon.shared_view.now_ms();
        if now_ms > limit_ms {
            break Some("it took too long".to_owned());
        }
        if !daemon.is_listed_incarnation(&endpoint) {
            break Some(RESTARTED.to_owned());
        }
        if matches!(next, NextStep::Send(..)) && !daemon.is_usable_incarnation(&endpoint) {
            break Some(DRAINING.to_owned());
        }
        match next {
            NextStep::Done => break None,
            NextStep::Failed(failure) => break Some(format!("{failure:?}")),
            NextStep::Report => {
                let report = request_report(&daemon, &client, &endpoint).await;
                if report.as_ref().is_some_and(|report| !report.is_from(&endpoint)) {
                    break Some(RESTARTED.to_owned());
                }
                chain.apply_report(report.as_ref(), daemon.shared_view.now_ms());
            }
            NextStep::Send(order, count) => {
                match send_order(&daemon, &client, &endpoint, &order, count).await {
                    Ok(answer) => chain.apply_answer(answer, daemon.shared_view.now_ms()),
                    Err(reason) => break Some(reason.to_owned()),
                }
            }
        }
    };
    let took_ms = daemon.shared_view.now_ms() - started_ms;
    let planned_ms = change.done_at_ms.saturating_sub(started_ms);
    let (name, model) = (&endpoint.name, &change.model);
    match &failure {
        None => {
            tracing::info!(endpoint = %name, %model, took_ms, planned_ms, "order: A change is done.")
        }
        Some(failure) => {
            tracing::warn!(endpoint = %name, %model, took_ms, planned_ms, failure, "order: A change failed.");
        }
    }
    daemon.metrics.record_change(failure.is_none(), change.is_remote, took_ms);
    daemon.send(Message::ChangeFinished { service, engine: endpoint.incarnation(), chain });
}

async fn request_report(
    daemon: &Daemon,
    client: &CallClient,
    endpoint: &Endpoint,
) -> Option<EngineReport> {
    let call = (daemon.wire.endpoint.report_call)();
    let answer = match answer_bounds::exchange(daemon, endpoint, client, call, CALL_MS).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::warn!(endpoint = %endpoint.name, %error, "order: The engine sent no usable report.");
            return None;
        }
    };
    signals::process_call(daemon, endpoint, &answer);
    match (daemon.wire.endpoint.report_answer)(answer.status, &answer.body) {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(endpoint = %endpoint.name, %error, "order: The engine sent no usable report.");
            None
        }
    }
}

/// Sends an order.
///
/// # Errors
///
/// Fails with a reason if no order can be sent now.
async fn send_order(
    daemon: &Daemon,
    client: &CallClient,
    endpoint: &Endpoint,
    order: &Order,
    count: u64,
) -> Result<OrderAnswer, &'static str> {
    let leader = &daemon.settings.vm;
    let token = begin_order(daemon, endpoint).ok_or(NO_LEASE)?;
    let call = (daemon.wire.endpoint.order_call)(&endpoint.name, order, count, leader, token);
    let Some(call) = call else {
        daemon.with_order_log(|log| log.record_end(&endpoint.name, daemon.shared_view.now_ms()));
        return Err(INVALID_NAME);
    };
    let answer = match answer_bounds::exchange(daemon, endpoint, client, call, CALL_MS).await {
        Ok(answer) => {
            signals::process_call(daemon, endpoint, &answer);
            (daemon.wire.endpoint.order_answer)(answer.status)
        }
        Err(error) => {
            tracing::warn!(endpoint = %endpoint.name, %error, "order: The order was not answered.");
            OrderAnswer::Unknown
        }
    };
    let now_ms = daemon.shared_view.now_ms();
    daemon.with_order_log(|log| log.record_end(&endpoint.name, now_ms));
    tracing::debug!(endpoint = %endpoint.name, ?order, count, token, ?answer, "order: An order was sent.");
    Ok(answer)
}

/// Records in the order log that an order is sent now, and returns its fencing number; `None` if none
/// may be sent. The log is locked while the permit is checked: the control thread closes permits before
/// it looks for orders in flight.
fn begin_order(daemon: &Daemon, endpoint: &Endpoint) -> Option<u64> {
    daemon.with_order_log(|log| {
        let now_ms = daemon.shared_view.now_ms();
        let token = daemon.order_permits.token(&endpoint.domain, now_ms)?;
        if !log.may_order(&endpoint.name, now_ms) {
            return None;
        }
        log.record_send(&endpoint.name, now_ms + CALL_MS);
        Some(token)
    })
}
