//! Traces one request through the logs of several daemons.
//!
//! Prints the log lines of the request, and then what its daemons knew when it
//! arrived: the configuration, the list of endpoints, the leader. Lines about the
//! request's model and endpoint from shortly before its arrival to its end follow.

use crate::{
    error::{NoRequestSnafu, Result},
    log_line::{self, LogLine, Logs},
    output,
};
use snafu::ensure;
use std::path::PathBuf;

/// Time before the arrival of a request from which lines about its model and endpoint are shown.
const BEFORE_MS: u64 = 10_000;
/// Parts of a daemon's local view: the printed name, and the messages that report a change.
const LOCAL_VIEW: [(&str, &[&str]); 4] = [
    ("configuration", &["config:"]),
    ("list and store", &["endpoint: The list was read", "store: A table"]),
    ("leader", &["sync:"]),
    ("leads itself", &["lease: This daemon"]),
];

/// Prints the trace of a request; fails if no log line is about it.
pub(crate) fn print(id: &str, paths: &[PathBuf]) -> Result<()> {
    let logs = log_line::read(paths)?;
    let request_lines: Vec<&LogLine> =
        logs.lines.iter().filter(|line| line.text("id") == Some(id)).collect();
    ensure!(!request_lines.is_empty(), NoRequestSnafu { id, files: paths.len() });
    for line in &request_lines {
        output::line(&format!("{} {} {}", line.time(), line.source, line.message));
        output::line(&format!("    {}", line.details()));
    }
    let mut daemons: Vec<&str> = request_lines.iter().map(|line| line.source.as_str()).collect();
    daemons.dedup();
    for daemon in daemons {
        print_local_view(&logs, daemon, request_lines[0]);
    }
    print_related(&logs, &request_lines);
    print_unparsed(&logs);
    Ok(())
}

/// Prints the local view of a daemon at the time of a request's first line, and when each part of
/// the view had last changed.
fn print_local_view(logs: &Logs, daemon: &str, first: &LogLine) {
    output::line(&format!("\n{daemon} believed:"));
    let arrived_ms = arrived_ms(first);
    for (name, prefixes) in LOCAL_VIEW {
        let mut earlier = logs
            .lines
            .iter()
            .filter(|line| line.source == daemon && line.timestamp <= first.timestamp);
        let is_report =
            |line: &&LogLine| prefixes.iter().any(|prefix| line.message.starts_with(prefix));
        let last = earlier.rfind(is_report);
        let text = match last {
            None => "nothing was said yet".to_owned(),
            Some(line) => {
                let age_ms = arrived_ms.saturating_sub(line.day_ms().unwrap_or(arrived_ms));
                let seconds = age_ms as f64 / 1e3;
                format!("{} {} ({seconds:.3} s before)", line.message, line.details())
            }
        };
        output::line(&format!("    {name}: {text}"));
    }
}

/// Prints lines about the request's model and endpoint, from [`BEFORE_MS`] before its arrival to
/// its end.
fn print_related(logs: &Logs, request_lines: &[&LogLine]) {
    let value = |name: &str| request_lines.iter().rev().find_map(|line| line.text(name));
    let (model, endpoint) = (value("model"), value("endpoint"));
    let from_ms =
        request_lines.first().map_or(0, |line| arrived_ms(line)).saturating_sub(BEFORE_MS);
    let to_ms = request_lines.last().and_then(|line| line.day_ms()).unwrap_or(u64::MAX);
    output::line("\nmeanwhile, about its model and endpoint:");
    let mut count = 0;
    for line in &logs.lines {
        let is_about =
            |name: &str, wanted: Option<&str>| wanted.is_some() && line.text(name) == wanted;
        let is_order = line.message.starts_with("order:") || line.message.starts_with("endpoint:");
        let is_in_range = line.day_ms().is_some_and(|at_ms| (from_ms..=to_ms).contains(&at_ms));
        let names_model = model.is_some_and(|model| line.details().contains(model));
        if is_order && is_in_range && (names_model || is_about("endpoint", endpoint)) {
            let details = line.details();
            output::line(&format!(
                "    {} {} {} {details}",
                line.time(),
                line.source,
                line.message
            ));
            count += 1;
        }
    }
    if count == 0 {
        output::line("    nothing");
    }
}

/// Returns when a request arrived, in milliseconds since midnight, as its first line shows: the
/// time of the line minus the time that the request had taken by then.
fn arrived_ms(line: &LogLine) -> u64 {
    let after_ms = line.number("took_ms").or(line.number("elapsed_ms")).unwrap_or(0);
    line.day_ms().unwrap_or(0).saturating_sub(after_ms)
}

/// Prints the number of lines that cannot be parsed, and the position of the first.
pub(crate) fn print_unparsed(logs: &Logs) {
    if !logs.unparsed.is_empty() {
        let count = logs.unparsed.len();
        output::line(&format!(
            "\nlines that were not understood: {count}, the first {}",
            logs.unparsed[0]
        ));
    }
}
