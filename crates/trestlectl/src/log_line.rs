//! Lines of daemons' logs.
//!
//! A line is a JSON object; text before it, as collectors of logs put it there,
//! names its source. Lines that are no such object are counted and named with
//! their place, and the rest is read all the same.

use crate::error::{ReadSnafu, Result};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::{fs, path::PathBuf};

/// One line of a daemon's log.
#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// When it was written, as text that sorts by time.
    pub(crate) at: String,
    /// The daemon: the text before the line, or the file it stands in.
    pub(crate) source: String,
    /// What it says.
    pub(crate) message: String,
    /// Everything else in it.
    pub(crate) fields: Map<String, Value>,
}

/// Lines of several logs, in the order of time.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    /// Lines that were understood.
    pub(crate) lines: Vec<LogLine>,
    /// Places of lines that were not.
    pub(crate) bad: Vec<String>,
}

/// Reads logs.
///
/// # Errors
///
/// Fails if a file cannot be read; lines that are not understood are noted.
pub(crate) fn read(paths: &[PathBuf]) -> Result<Logs> {
    let mut logs = Logs::default();
    for path in paths {
        let text = fs::read(path).context(ReadSnafu { path })?;
        let file = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
        for (number, line) in String::from_utf8_lossy(&text).lines().enumerate() {
            match LogLine::parse(line, &file) {
                Some(line) => logs.lines.push(line),
                None if line.trim().is_empty() => {}
                None => logs.bad.push(format!("{}:{}", path.display(), number + 1)),
            }
        }
    }
    logs.lines.sort_by(|one, other| one.at.cmp(&other.at));
    Ok(logs)
}

impl LogLine {
    fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, object) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (at, message) = (take("timestamp")?, take("message")?);
        take("level");
        let source = before.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { at, source, message, fields })
    }

    /// A field as text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field as a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// The time of day, to the millisecond.
    pub(crate) fn time(&self) -> &str {
        self.at.get(11..23).unwrap_or(&self.at)
    }

    /// Milliseconds since midnight.
    pub(crate) fn day_ms(&self) -> Option<u64> {
        let time = self.time();
        let part = |range: std::ops::Range<usize>| time.get(range)?.parse::<u64>().ok();
        let seconds = part(0..2)? * 3_600 + part(3..5)? * 60 + part(6..8)?;
        Some(seconds * 1_000 + part(9..12)?)
    }

    /// All fields but the id, in one line.
    pub(crate) fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| *name != "id");
        let parts: Vec<String> = shown.map(|(name, value)| format!("{name}={value}")).collect();
        parts.join(" ")
    }
}
