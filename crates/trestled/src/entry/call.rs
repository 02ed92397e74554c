//! The parts of a request that are read before its body.

use super::Failure;
use crate::daemon::Daemon;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use trestle_config::{Class, Config, Tenant};
use trestle_core::names::TeamName;
use trestle_wire::headers;
use trillium::Conn;

/// Maximum length of a request id set by a caller.
const MAX_REQUEST_ID_CHARS: usize = 128;
/// Retry delay for a request that exceeds its tenant's limit of concurrent requests.
const TENANT_BUSY_RETRY_MS: u64 = 500;

/// The parts of a request that are read before its body, with the configuration that was in force
/// when it arrived.
pub(crate) struct Call {
    pub(crate) request_id: String,
    pub(crate) tenant: TeamName,
    pub(crate) class: String,
    pub(crate) urgency: u8,
    pub(crate) deadline: Instant,
    pub(crate) config: Arc<Config>,
    _slot: TenantSlot,
}

impl Call {
    /// Reads the token and the headers, and counts the request against its tenant's limit.
    ///
    /// Fails if no configuration is in force yet, if the token or a header is invalid, or if the
    /// tenant's limit is reached.
    pub(crate) fn new(
        daemon: &Arc<Daemon>,
        conn: &Conn,
        started: Instant,
    ) -> Result<Self, Failure> {
        let config = Arc::clone(&daemon.routing().config);
        if config.catalog.version == 0 {
            let message = "no configuration is in force yet; another daemon may have one";
            return Err(Failure::not_run(503, "not_ready", message).with_retry_after_ms(1_000));
        }
        let tenant_name = tenant_of(&config, conn)?;
        let tenant = &config.tenants[&tenant_name];
        let (class_name, class) = class_of(&config, tenant, conn)?;
        let deadline_ms = deadline_ms_of(daemon, class, conn)?;
        let slot = TenantSlot::acquire(daemon, &tenant_name, tenant.max_concurrent)?;
        Ok(Self {
            request_id: request_id_of(conn)?,
            tenant: tenant_name,
            class: class_name,
            urgency: class.urgency,
            deadline: started + Duration::from_millis(deadline_ms),
            config,
            _slot: slot,
        })
    }

    /// Returns the time left until the deadline for the complete answer; zero once it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn tenant_of(config: &Config, conn: &Conn) -> Result<TeamName, Failure> {
    let header = conn.request_headers().get_str("authorization").unwrap_or("");
    let token = header.strip_prefix("Bearer ").unwrap_or("");
    config.tokens.get(&trestle_config::digest(token)).cloned().ok_or_else(|| {
        let message = "send `authorization: Bearer TOKEN` with a token of a declared tenant";
        Failure::not_run(401, "unknown_token", message)
    })
}

fn class_of(config: &Config, tenant: &Tenant, conn: &Conn) -> Result<(String, Class), Failure> {
    let named = conn.request_headers().get_str(headers::CLASS);
    let name = named.unwrap_or_else(|| tenant.classes.first().map_or("", String::as_str));
    let allowed = tenant.classes.iter().any(|class| class == name);
    match config.classes.get(name).filter(|_| allowed) {
        Some(class) => Ok((name.to_owned(), *class)),
        None => {
            let classes = tenant.classes.join(", ");
            let message = format!("`{}` must be one of: {classes}", headers::CLASS);
            Err(Failure::not_run(400, "unknown_class", message))
        }
    }
}

fn deadline_ms_of(daemon: &Daemon, class: Class, conn: &Conn) -> Result<u64, Failure> {
    let Some(text) = conn.request_headers().get_str(headers::DEADLINE_MS) else {
        return Ok(class.deadline_ms);
    };
    let longest_ms = daemon.settings.limits.deadline_ms;
    match text.parse() {
        Ok(deadline_ms) if (1..=longest_ms).contains(&deadline_ms) => Ok(deadline_ms),
        _ => {
            let message = format!(
                "`{}` must be whole milliseconds from 1 to {longest_ms}, without a unit",
                headers::DEADLINE_MS,
            );
            Err(Failure::not_run(400, "bad_deadline", message))
        }
    }
}

fn request_id_of(conn: &Conn) -> Result<String, Failure> {
    let Some(id) = conn.request_headers().get_str(headers::REQUEST_ID) else {
        return Ok(format!("{:032x}", fastrand::u128(..)));
    };
    let is_valid = |c: char| c.is_ascii_graphic();
    if (1..=MAX_REQUEST_ID_CHARS).contains(&id.len()) && id.chars().all(is_valid) {
        return Ok(id.to_owned());
    }
    let message = format!(
        "`{}` must be 1 to {MAX_REQUEST_ID_CHARS} printable characters",
        headers::REQUEST_ID,
    );
    Err(Failure::not_run(400, "bad_request_id", message))
}

/// A request that counts against its tenant's limit of concurrent requests at this daemon until the
/// value is dropped.
struct TenantSlot {
    daemon: Arc<Daemon>,
    tenant: TeamName,
}

impl TenantSlot {
    fn acquire(daemon: &Arc<Daemon>, tenant: &TeamName, limit: usize) -> Result<Self, Failure> {
        let mut traffic = daemon.traffic();
        let count = traffic.requests_by_tenant.entry(tenant.clone()).or_default();
        if *count >= limit {
            let message = format!("the tenant has {limit} requests here already");
            return Err(Failure::not_run(429, "tenant_busy", message)
                .with_retry_after_ms(TENANT_BUSY_RETRY_MS));
        }
        *count += 1;
        Ok(Self { daemon: Arc::clone(daemon), tenant: tenant.clone() })
    }
}

impl Drop for TenantSlot {
    fn drop(&mut self) {
        if let Some(count) = self.daemon.traffic().requests_by_tenant.get_mut(&self.tenant) {
            *count = count.saturating_sub(1);
        }
    }
}
