//! A load as it was recorded, to be replayed.

use crate::error::{ReadSnafu, Result, ValueSnafu, WriteSnafu};
use snafu::ResultExt;
use std::{fmt::Write, fs, path::Path};

/// One request as its caller made it.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// When it came, from the day's beginning.
    pub at_us: u64,
    /// Its class.
    pub class: String,
    /// Number of its model.
    pub model: usize,
    /// Number of the model's adapter.
    pub adapter: Option<usize>,
}

/// Writes a load, one request a line.
///
/// # Errors
///
/// Fails if the file cannot be written; nothing is left half written.
pub fn write(path: &Path, arrivals: &[Arrival]) -> Result<()> {
    let mut text = String::new();
    for arrival in arrivals {
        let line = serde_json::to_string(arrival).unwrap_or_default();
        let _ = writeln!(text, "{line}");
    }
    write_whole(path, text.as_bytes())
}

/// Reads a load.
///
/// # Errors
///
/// Fails with the line that is wrong.
pub fn read(path: &Path) -> Result<Vec<Arrival>> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(number, line)| {
            serde_json::from_str(line).map_err(|error| {
                let place = format!("{}:{}", path.display(), number + 1);
                ValueSnafu { place, message: error.to_string() }.build()
            })
        })
        .collect()
}

/// Writes a whole file, or nothing.
pub(crate) fn write_whole(path: &Path, content: &[u8]) -> Result<()> {
    let part = path.with_extension("part");
    fs::write(&part, content).context(WriteSnafu { path })?;
    fs::rename(&part, path).context(WriteSnafu { path })
}

/// Writes a page.
///
/// # Errors
///
/// Fails if the file cannot be written; nothing is left half written.
pub fn write_page(path: &Path, page: &str) -> Result<()> {
    write_whole(path, page.as_bytes())
}
