//! Parses the logs of daemons.
//!
//! A line is a JSON object. Log collectors may insert words before the object; the
//! last of these words names the daemon. Lines that cannot be parsed are skipped, and
//! their file and line number are recorded.

use crate::error::{ReadSnafu, Result};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::{fs, path::PathBuf};

/// One parsed line of a daemon's log.
#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// Timestamp of the line, as text that sorts by time.
    pub(crate) timestamp: String,
    /// The daemon: the last word before the JSON object, or the name of the file
    /// without its extension.
    pub(crate) source: String,
    /// The message.
    pub(crate) message: String,
    /// All other fields but the level.
    pub(crate) fields: Map<String, Value>,
}

/// The lines of several logs, sorted by time.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    /// Parsed lines.
    pub(crate) lines: Vec<LogLine>,
    /// Positions of lines that cannot be parsed, as `file:line`.
    pub(crate) unparsed: Vec<String>,
}

/// Reads and parses log files.
///
/// # Errors
///
/// Fails if a file cannot be read; a line that cannot be parsed is no error.
pub(crate) fn read(paths: &[PathBuf]) -> Result<Logs> {
    let mut logs = Logs::default();
    for path in paths {
        let text = fs::read(path).context(ReadSnafu { path })?;
        let file = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
        for (number, line) in String::from_utf8_lossy(&text).lines().enumerate() {
            match LogLine::parse(line, &file) {
                Some(line) => logs.lines.push(line),
                None if line.trim().is_empty() => {}
                None => logs.unparsed.push(format!("{}:{}", path.display(), number + 1)),
            }
        }
    }
    logs.lines.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    Ok(logs)
}

impl LogLine {
    fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, object) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let mut take_text = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (timestamp, message) = (take_text("timestamp")?, take_text("message")?);
        take_text("level");
        let source = before.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { timestamp, source, message, fields })
    }

    /// Returns a field that is a string.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that is an unsigned number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns the time of day with milliseconds, as `hh:mm:ss.mmm`.
    pub(crate) fn time(&self) -> &str {
        self.timestamp.get(11..23).unwrap_or(&self.timestamp)
    }

    /// Returns the time of day in milliseconds since midnight; `None` if it cannot be parsed.
    pub(crate) fn day_ms(&self) -> Option<u64> {
        let time = self.time();
        let part = |range: std::ops::Range<usize>| time.get(range)?.parse::<u64>().ok();
        let seconds = part(0..2)? * 3_600 + part(3..5)? * 60 + part(6..8)?;
        Some(seconds * 1_000 + part(9..12)?)
    }

    /// Formats all fields but the id as `name=value`, in one line.
    pub(crate) fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| *name != "id");
        let parts: Vec<String> = shown.map(|(name, value)| format!("{name}={value}")).collect();
        parts.join(" ")
    }
}
