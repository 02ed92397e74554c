//! Recorded requests, which can be replayed.

use crate::error::{ReadSnafu, Result, ValueSnafu, WriteSnafu};
use snafu::ResultExt;
use std::{fmt::Write, fs, path::Path};

/// One request as its caller made it.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// Time of the request from the beginning of the run.
    pub at_us: u64,
    /// Name of the request's class.
    pub class: String,
    /// Number of the model.
    pub model: usize,
    /// Number of the model's adapter; `None` if the request names none.
    pub adapter: Option<usize>,
}

/// Writes requests to a file, one JSON object a line.
///
/// # Errors
///
/// Fails if the file cannot be written; the file then keeps its former content.
pub fn write(path: &Path, arrivals: &[Arrival]) -> Result<()> {
    let mut text = String::new();
    for arrival in arrivals {
        let line = serde_json::to_string(arrival).unwrap_or_default();
        let _ = writeln!(text, "{line}");
    }
    write_whole(path, text.as_bytes())
}

/// Reads requests from a file.
///
/// # Errors
///
/// Fails if the file cannot be read, or with the number of the first invalid line.
pub fn read(path: &Path) -> Result<Vec<Arrival>> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(number, line)| {
            serde_json::from_str(line).map_err(|error| {
                let location = format!("{}:{}", path.display(), number + 1);
                ValueSnafu { location, message: error.to_string() }.build()
            })
        })
        .collect()
}

/// Replaces a file's content completely, or leaves it as it was.
pub(crate) fn write_whole(path: &Path, content: &[u8]) -> Result<()> {
    let part = path.with_extension("part");
    fs::write(&part, content).context(WriteSnafu { path })?;
    fs::rename(&part, path).context(WriteSnafu { path })
}

/// Writes an HTML page to a file.
///
/// # Errors
///
/// Fails if the file cannot be written; the file then keeps its former content.
pub fn write_page(path: &Path, page: &str) -> Result<()> {
    write_whole(path, page.as_bytes())
}
