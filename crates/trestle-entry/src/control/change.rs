//! Carries out one change at one engine, order by order.

use crate::{control::message::Message, daemon::Daemon, net::exchange::CallClient, notices};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trestle_core::names::ServiceName;
use trestle_dispatch::{
    change::Change,
    endpoint::{Endpoint, EngineReport},
    orders::{NextStep, Order, OrderAnswer, OrderChain},
};

/// Time for an engine to answer an order or a question; it answers at once.
const CALL_MS: u64 = 500;
/// Longest time for a change after the time that was planned: a load from the
/// weight store beside others, or an unload behind long streams.
const OVERTIME_MS: u64 = 12_000;

/// Why a change ends whose orders were for an earlier start of the engine.
const STARTED_AGAIN: &str = "the engine has started again, or is gone";

/// Why one ends at an engine that has said meanwhile that it leaves.
const LEAVES: &str = "the engine leaves";

/// Why one ends at an engine that wants nothing for longer than it may take.
const RESTS: &str = "the engine asks for rest";

/// Begins a change in a task of its own.
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
    let client = CallClient::new(endpoint.address);
    let started_ms = daemon.knowledge.now_ms();
    let limit_ms = change.done_at_ms + OVERTIME_MS;
    let failure = loop {
        let (next, not_before_ms) = chain.next();
        let rests_until_ms = daemon.rests_until_ms(&endpoint);
        if rests_until_ms > limit_ms {
            break Some(RESTS.to_owned());
        }
        let wait_ms = not_before_ms.max(rests_until_ms).saturating_sub(daemon.knowledge.now_ms());
        if wait_ms > 0 {
            Timer::after(Duration::from_millis(wait_ms)).await;
            // It may have asked for more rest meanwhile.
            continue;
        }
        let now_ms = daemon.knowledge.now_ms();
        if now_ms > limit_ms {
            break Some("it took too long".to_owned());
        }
        if !daemon.is_listed_start(&endpoint) {
            break Some(STARTED_AGAIN.to_owned());
        }
        if matches!(next, NextStep::Send(..)) && !daemon.is_usable_start(&endpoint) {
            break Some(LEAVES.to_owned());
        }
        match next {
            NextStep::Done => break None,
            NextStep::Failed(failure) => break Some(format!("{failure:?}")),
            NextStep::Report => {
                let report = ask(&daemon, &client, &endpoint).await;
                if report.as_ref().is_some_and(|report| !report.is_from(&endpoint)) {
                    break Some(STARTED_AGAIN.to_owned());
                }
                chain.apply_report(report.as_ref(), daemon.knowledge.now_ms());
            }
            NextStep::Send(order, count) => {
                let Some(answer) = give(&daemon, &client, &endpoint, &order, count).await else {
                    break Some("the lease has run out".to_owned());
                };
                chain.apply_answer(answer, daemon.knowledge.now_ms());
            }
        }
    };
    let took_ms = daemon.knowledge.now_ms() - started_ms;
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
    daemon.metrics.change(failure.is_none(), change.is_remote, took_ms);
    daemon.tell(Message::ChangeEnded { service, engine: endpoint.incarnation(), chain });
}

async fn ask(daemon: &Daemon, client: &CallClient, endpoint: &Endpoint) -> Option<EngineReport> {
    let call = (daemon.wire.endpoint.report_call)();
    let answer = match client.exchange(call, CALL_MS).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::warn!(endpoint = %endpoint.name, %error, "order: No report.");
            return None;
        }
    };
    notices::hear_call(daemon, endpoint, &answer);
    match (daemon.wire.endpoint.report_answer)(answer.status, &answer.body) {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(endpoint = %endpoint.name, %error, "order: No report.");
            None
        }
    }
}

/// Gives an order, if one may leave now.
async fn give(
    daemon: &Daemon,
    client: &CallClient,
    endpoint: &Endpoint,
    order: &Order,
    count: u64,
) -> Option<OrderAnswer> {
    let leader = &daemon.settings.vm;
    let now_ms = daemon.knowledge.now_ms();
    let token = daemon.order_permits.token(&endpoint.domain, now_ms)?;
    if !daemon.with_order_log(|log| log.may_order(&endpoint.name, now_ms)) {
        return None;
    }
    daemon.with_order_log(|log| log.record_send(&endpoint.name, now_ms + CALL_MS));
    let call = (daemon.wire.endpoint.order_call)(&endpoint.name, order, count, leader, token);
    let answer = match client.exchange(call, CALL_MS).await {
        Ok(answer) => {
            notices::hear_call(daemon, endpoint, &answer);
            (daemon.wire.endpoint.order_answer)(answer.status)
        }
        Err(error) => {
            tracing::warn!(endpoint = %endpoint.name, %error, "order: No answer.");
            OrderAnswer::Unknown
        }
    };
    let now_ms = daemon.knowledge.now_ms();
    daemon.with_order_log(|log| log.record_end(&endpoint.name, now_ms));
    tracing::debug!(endpoint = %endpoint.name, ?order, count, token, ?answer, "order: Given.");
    Some(answer)
}
