//! Applies a configuration file.
//!
//! The file is written as an object that is named after the id of the apply. Then
//! one transaction advances the head, if the head's row still has the version that
//! was read. If the answer to the transaction is lost, the history row of the new
//! version is read back: it holds the id of the apply that wrote it, which shows
//! whether this apply or another one succeeded.

use crate::{
    error::{ClientSnafu, ConfigSnafu, ConflictSnafu, ReadSnafu, Result, UnknownOutcomeSnafu},
    output,
};
use smol::Timer;
use snafu::{ResultExt, ensure};
use std::{fs, path::Path, time::Duration};
use trestle_client::platform::Platform;
use trestle_config::Config;
use trestle_core::row::CommitOutcome;
use trestle_wire::table::{
    CONFIG_HEAD_KEY, CommitRequest, ConfigHead, config_history_key, config_object,
};

/// Number of attempts to read back the result of an apply whose answer was lost.
const READ_BACK_ATTEMPTS: u32 = 10;
/// Delay between attempts to read back the result of an apply.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);

/// The configuration head and the version of its row; a row version of 0 means no row.
pub(crate) struct StoredHead {
    pub(crate) row_version: u64,
    pub(crate) head: Option<ConfigHead>,
}

/// Checks a configuration file and prints a summary; fails if it cannot be read or is invalid.
pub(crate) fn check(path: &Path) -> Result<(Config, String)> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let config =
        trestle_config::from_str(&text, &path.display().to_string()).context(ConfigSnafu)?;
    output::line(&format!(
        "{}: in order: {} models, {} adapters, {} engines, {} services, {} tenants",
        path.display(),
        config.catalog.models.len(),
        config.adapters.len(),
        config.catalog.engines.len(),
        config.services.len(),
        config.tenants.len(),
    ));
    Ok((config, text))
}

/// Applies a configuration file.
///
/// Fails if the version in force is not `expected_version`, or if another apply succeeds first.
pub(crate) async fn apply(
    path: &Path,
    platform_url: &str,
    expected_version: Option<u64>,
    author: &str,
) -> Result<()> {
    let (_, text) = check(path)?;
    let platform = Platform::new(platform_url);
    let apply_id = format!("{:032x}", fastrand::u128(..));
    platform.put_object(&config_object(&apply_id), text.as_bytes()).await.context(ClientSnafu)?;
    let before = read_head(&platform).await.context(ClientSnafu)?;
    ensure_expected_version(expected_version, before.head.as_ref())?;
    let head = ConfigHead {
        version: before.version() + 1,
        apply_id: apply_id.clone(),
        sha256: trestle_config::digest(&text),
        author: author.to_owned(),
    };
    let (outcome, _) = platform.commit_raw(&commit_request(&head, before.row_version)).await;
    match outcome {
        CommitOutcome::Committed => {}
        CommitOutcome::Conflict => return Err(conflict_error(&platform, &head).await),
        CommitOutcome::Unknown => read_back(&platform, &head).await?,
    }
    output::line(&format!("version {} is accepted (apply {apply_id})", head.version));
    Ok(())
}

/// Reads the configuration head from the platform.
pub(crate) async fn read_head(platform: &Platform) -> trestle_client::Result<StoredHead> {
    let response = platform.read_raw(vec![CONFIG_HEAD_KEY.to_owned()]).await?;
    let Some(row) = response.rows.get(CONFIG_HEAD_KEY) else {
        return Ok(StoredHead { row_version: 0, head: None });
    };
    let head = row.value.clone().and_then(|value| serde_json::from_value(value).ok());
    Ok(StoredHead { row_version: row.version, head })
}

impl StoredHead {
    /// Returns the version in force; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.version)
    }
}

fn ensure_expected_version(expected: Option<u64>, head: Option<&ConfigHead>) -> Result<()> {
    let found = head.map_or(0, |head| head.version);
    let author = head.map_or("nobody", |head| head.author.as_str());
    let expected = expected.unwrap_or(found);
    ensure!(expected == found, ConflictSnafu { expected, found, author });
    Ok(())
}

fn commit_request(head: &ConfigHead, row_version: u64) -> CommitRequest {
    let value = serde_json::to_value(head).ok();
    let mut request = CommitRequest::default();
    request.checks.insert(CONFIG_HEAD_KEY.to_owned(), row_version);
    request.writes.insert(CONFIG_HEAD_KEY.to_owned(), value.clone());
    request.writes.insert(config_history_key(head.version), value);
    request
}

/// Reads back whether an apply succeeded after its answer was lost.
async fn read_back(platform: &Platform, own_head: &ConfigHead) -> Result<()> {
    for _ in 0..READ_BACK_ATTEMPTS {
        let history = history_head(platform, own_head.version).await;
        match history {
            Ok(Some(head)) if head.apply_id == own_head.apply_id => return Ok(()),
            Ok(Some(_)) => return Err(conflict_error(platform, own_head).await),
            Ok(None) | Err(_) => {}
        }
        Timer::after(READ_BACK_INTERVAL).await;
    }
    UnknownOutcomeSnafu { apply_id: &own_head.apply_id }.fail()
}

/// Reads the head of one version from the history; returns `None` if there was no such version.
pub(crate) async fn history_head(
    platform: &Platform,
    version: u64,
) -> trestle_client::Result<Option<ConfigHead>> {
    let key = config_history_key(version);
    let response = platform.read_raw(vec![key.clone()]).await?;
    let value = response.rows.get(&key).and_then(|row| row.value.clone());
    Ok(value.and_then(|value| serde_json::from_value(value).ok()))
}

async fn conflict_error(platform: &Platform, own_head: &ConfigHead) -> crate::error::Error {
    let found = read_head(platform).await.ok().and_then(|read| read.head);
    let author = found.as_ref().map_or("another operator", |head| head.author.as_str());
    let version = found.as_ref().map_or(own_head.version, |head| head.version);
    ConflictSnafu { expected: own_head.version - 1, found: version, author }.build()
}
