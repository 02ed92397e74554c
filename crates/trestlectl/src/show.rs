//! Prints configuration files and the history of versions.

use crate::{
    apply,
    error::{ClientSnafu, NoConfigSnafu, NoVersionSnafu, NotTextSnafu, Result},
    output,
};
use snafu::{OptionExt, ResultExt};
use trestle_client::platform::Platform;
use trestle_wire::table::config_object;

/// Number of versions that the history lists.
const HISTORY_LENGTH: u64 = 20;

/// Prints the configuration file of a version, or the one in force; fails if there is none.
pub(crate) async fn show(platform_url: &str, version: Option<u64>) -> Result<()> {
    let platform = Platform::new(platform_url);
    let head = match version {
        None => {
            let read = apply::read_head(&platform).await.context(ClientSnafu)?;
            read.head.context(NoConfigSnafu)?
        }
        Some(version) => {
            let head = apply::history_head(&platform, version).await.context(ClientSnafu)?;
            head.context(NoVersionSnafu { version })?
        }
    };
    let object = config_object(&head.apply_id);
    let content = platform.get_object(&object).await.context(ClientSnafu)?;
    let text = String::from_utf8(content).ok().context(NotTextSnafu)?;
    output::line(text.trim_end());
    Ok(())
}

/// Lists the latest versions, newest first.
pub(crate) async fn history(platform_url: &str) -> Result<()> {
    let platform = Platform::new(platform_url);
    let latest = apply::read_head(&platform).await.context(ClientSnafu)?.version();
    for version in (1..=latest).rev().take(HISTORY_LENGTH as usize) {
        let head = apply::history_head(&platform, version).await.context(ClientSnafu)?;
        if let Some(head) = head {
            let digest = head.sha256.get(..12).unwrap_or(&head.sha256);
            output::line(&format!("{version}\t{}\t{digest}\t{}", head.author, head.apply_id));
        }
    }
    Ok(())
}
