//! Putting a configuration file in force.
//!
//! The file is written as an object that is named after the apply. Then one
//! transaction moves the head on, if it still has the version that was read.
//! If the answer to that is lost, the head is read back: it names the apply
//! that made it, so there is no doubt who won.

use crate::{
    error::{AmbiguousSnafu, ClientSnafu, ConfigSnafu, LostSnafu, ReadSnafu, Result},
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

/// Tries to find out what became of an apply.
const READ_BACK_TRIES: u32 = 10;
/// Time between them.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);

/// The head as it was read.
pub(crate) struct ReadHead {
    pub(crate) row_version: u64,
    pub(crate) head: Option<ConfigHead>,
}

/// Checks a file.
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

/// Puts a file in force.
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
    ensure_expected(expected_version, before.head.as_ref())?;
    let head = ConfigHead {
        version: before.version() + 1,
        apply_id: apply_id.clone(),
        sha256: trestle_config::digest(&text),
        author: author.to_owned(),
    };
    let (outcome, _) = platform.commit_raw(&request(&head, before.row_version)).await;
    match outcome {
        CommitOutcome::Committed => {}
        CommitOutcome::Conflict => return Err(lost(&platform, &head).await),
        CommitOutcome::Unknown => read_back(&platform, &head).await?,
    }
    output::line(&format!("version {} is accepted (apply {apply_id})", head.version));
    Ok(())
}

/// Reads the head.
pub(crate) async fn read_head(platform: &Platform) -> trestle_client::Result<ReadHead> {
    let response = platform.read_raw(vec![CONFIG_HEAD_KEY.to_owned()]).await?;
    let Some(row) = response.rows.get(CONFIG_HEAD_KEY) else {
        return Ok(ReadHead { row_version: 0, head: None });
    };
    let head = row.value.clone().and_then(|value| serde_json::from_value(value).ok());
    Ok(ReadHead { row_version: row.version, head })
}

impl ReadHead {
    /// The version in force, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.version)
    }
}

fn ensure_expected(expected: Option<u64>, head: Option<&ConfigHead>) -> Result<()> {
    let found = head.map_or(0, |head| head.version);
    let author = head.map_or("nobody", |head| head.author.as_str());
    let expected = expected.unwrap_or(found);
    ensure!(expected == found, LostSnafu { expected, found, author });
    Ok(())
}

fn request(head: &ConfigHead, row_version: u64) -> CommitRequest {
    let value = serde_json::to_value(head).ok();
    let mut request = CommitRequest::default();
    request.checks.insert(CONFIG_HEAD_KEY.to_owned(), row_version);
    request.writes.insert(CONFIG_HEAD_KEY.to_owned(), value.clone());
    request.writes.insert(config_history_key(head.version), value);
    request
}

/// Finds out what became of an apply whose answer was lost.
async fn read_back(platform: &Platform, ours: &ConfigHead) -> Result<()> {
    for _ in 0..READ_BACK_TRIES {
        let history = history_head(platform, ours.version).await;
        match history {
            Ok(Some(head)) if head.apply_id == ours.apply_id => return Ok(()),
            Ok(Some(_)) => return Err(lost(platform, ours).await),
            Ok(None) | Err(_) => {}
        }
        Timer::after(READ_BACK_INTERVAL).await;
    }
    AmbiguousSnafu { apply_id: &ours.apply_id }.fail()
}

/// The head of a version.
pub(crate) async fn history_head(
    platform: &Platform,
    version: u64,
) -> trestle_client::Result<Option<ConfigHead>> {
    let key = config_history_key(version);
    let response = platform.read_raw(vec![key.clone()]).await?;
    let value = response.rows.get(&key).and_then(|row| row.value.clone());
    Ok(value.and_then(|value| serde_json::from_value(value).ok()))
}

async fn lost(platform: &Platform, ours: &ConfigHead) -> crate::error::Error {
    let found = read_head(platform).await.ok().and_then(|read| read.head);
    let author = found.as_ref().map_or("another operator", |head| head.author.as_str());
    let version = found.as_ref().map_or(ours.version, |head| head.version);
    LostSnafu { expected: ours.version - 1, found: version, author }.build()
}
