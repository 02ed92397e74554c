//! Reads the files of this tool, and reports what is invalid in them.

use crate::error::{FileSnafu, ReadSnafu, Result, ValueSnafu};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use std::{fs, path::Path};

/// Returns the text of a file, and the name by which errors refer to it.
pub(crate) fn read(path: &Path) -> Result<(String, String)> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    Ok((text, path.display().to_string()))
}

/// Parses a text in JSON with comments; `file` is its name in errors.
pub(crate) fn parse<T: DeserializeOwned>(text: &str, file: &str) -> Result<T> {
    trestle_config::read_jsonc(text, file).context(FileSnafu)
}

/// Fails with the name of the file and field unless a condition on the field's value holds.
pub(crate) fn require(file: &str, condition: bool, field: &str, message: &str) -> Result<()> {
    ensure!(condition, ValueSnafu { location: format!("{file}: {field}"), message });
    Ok(())
}
