//! Fetches and prints the state of daemons.

use crate::{
    error::{NoDaemonSnafu, Result},
    output,
};
use snafu::ensure;
use trestle_client::http;
use trestle_wire::admin::Status;

/// Timeout of a request to a daemon.
const TIMEOUT_MS: u64 = 2_000;

/// Prints the state of every daemon that answers; fails if none does.
pub(crate) async fn print(daemons: &[String], token: Option<&str>) -> Result<()> {
    for status in fetch_all(daemons, token).await? {
        print_one(&status);
    }
    Ok(())
}

/// Fetches the state of every daemon that answers; fails if none does.
pub(crate) async fn fetch_all(daemons: &[String], token: Option<&str>) -> Result<Vec<Status>> {
    let mut statuses = Vec::new();
    for address in daemons {
        match fetch(address, token).await {
            Some(status) => statuses.push(status),
            None => eprintln!("trestlectl: {address} did not answer, or rejected the token"),
        }
    }
    ensure!(!statuses.is_empty(), NoDaemonSnafu);
    Ok(statuses)
}

async fn fetch(address: &str, token: Option<&str>) -> Option<Status> {
    let client = http::pooled_client();
    let mut conn = client.get(format!("http://{address}/status"));
    if let Some(token) = token {
        conn = conn.with_request_header("authorization", format!("Bearer {token}"));
    }
    let (status, body) = http::exchange(conn, TIMEOUT_MS).await.ok()?;
    if status != 200 {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

fn print_one(status: &Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    let members: Vec<&str> = status.members.keys().map(String::as_str).collect();
    output::line(&format!(
        "{} ({}): {ready}, configuration {}, epoch {}, members {}, platform silent for {} ms",
        status.vm,
        status.domain,
        status.config_version,
        status.epoch,
        members.join(" "),
        status.platform_silent_ms.unwrap_or(0),
    ));
    for (endpoint, state) in &status.endpoints {
        let held: Vec<String> =
            state.held.iter().map(|(model, phase)| format!("{model}={phase}")).collect();
        output::line(&format!(
            "  {endpoint}: {} rank {}, {} placed, holds [{}], {} permits out, {} waiting{}",
            state.role,
            state.rank,
            state.placed.len(),
            held.join(" "),
            state.permits_out,
            state.waiting,
            if state.silent { ", silent" } else { "" },
        ));
    }
}
