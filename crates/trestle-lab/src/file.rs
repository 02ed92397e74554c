//! Reading files of this tool, and naming what is wrong in them.

use crate::error::{FileSnafu, ReadSnafu, Result, ValueSnafu};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use std::{fs, path::Path};

/// The text of a file, and the name under which its problems are told.
pub(crate) fn read(path: &Path) -> Result<(String, String)> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    Ok((text, path.display().to_string()))
}

/// What a text in JSON with comments says.
pub(crate) fn parse<T: DeserializeOwned>(text: &str, file: &str) -> Result<T> {
    trestle_config::read_jsonc(text, file).context(FileSnafu)
}

/// Fails with the place of a field whose value cannot work.
pub(crate) fn need(file: &str, holds: bool, field: &str, message: &str) -> Result<()> {
    ensure!(holds, ValueSnafu { place: format!("{file}: {field}"), message });
    Ok(())
}
