//! One request's story, from the logs of several daemons.
//!
//! Shown are the lines of the request itself, and what its daemon believed when
//! it came: its configuration, the list of endpoints, the leader. Lines
//! about the request's model and endpoint shortly before and during it follow.

use crate::{
    error::{NoRequestSnafu, Result},
    log_line::{self, LogLine, Logs},
    output,
};
use snafu::ensure;
use std::path::PathBuf;

/// Time before a request from which changes at engines are shown.
const BEFORE_MS: u64 = 10_000;
/// What tells of a daemon's beliefs, with a name for each kind.
const BELIEFS: [(&str, &[&str]); 4] = [
    ("configuration", &["config:"]),
    ("list and store", &["endpoint: The list was read", "store: A table"]),
    ("leader", &["sync:"]),
    ("leads itself", &["lease: This daemon"]),
];

/// Prints the story of a request.
pub(crate) fn print(id: &str, paths: &[PathBuf]) -> Result<()> {
    let logs = log_line::read(paths)?;
    let own: Vec<&LogLine> = logs.lines.iter().filter(|line| line.text("id") == Some(id)).collect();
    ensure!(!own.is_empty(), NoRequestSnafu { id, files: paths.len() });
    for line in &own {
        output::line(&format!("{} {} {}", line.time(), line.source, line.message));
        output::line(&format!("    {}", line.details()));
    }
    let mut daemons: Vec<&str> = own.iter().map(|line| line.source.as_str()).collect();
    daemons.dedup();
    for daemon in daemons {
        print_beliefs(&logs, daemon, own[0]);
    }
    print_around(&logs, &own);
    print_bad(&logs);
    Ok(())
}

/// What a daemon believed when a line was written, and since when.
fn print_beliefs(logs: &Logs, daemon: &str, first: &LogLine) {
    output::line(&format!("\n{daemon} believed:"));
    let began_ms = began_ms(first);
    for (name, starts) in BELIEFS {
        let mut earlier =
            logs.lines.iter().filter(|line| line.source == daemon && line.at <= first.at);
        let is_told = |line: &&LogLine| starts.iter().any(|start| line.message.starts_with(start));
        let last = earlier.rfind(is_told);
        let text = match last {
            None => "nothing was said yet".to_owned(),
            Some(line) => {
                let age_ms = began_ms.saturating_sub(line.day_ms().unwrap_or(began_ms));
                let seconds = age_ms as f64 / 1e3;
                format!("{} {} ({seconds:.3} s before)", line.message, line.details())
            }
        };
        output::line(&format!("    {name}: {text}"));
    }
}

/// Lines about the request's model and endpoints from shortly before to its end.
fn print_around(logs: &Logs, own: &[&LogLine]) {
    let value = |name: &str| own.iter().rev().find_map(|line| line.text(name));
    let (model, endpoint) = (value("model"), value("endpoint"));
    let from_ms = own.first().map_or(0, |line| began_ms(line)).saturating_sub(BEFORE_MS);
    let to_ms = own.last().and_then(|line| line.day_ms()).unwrap_or(u64::MAX);
    output::line("\nmeanwhile, about its model and endpoint:");
    let mut count = 0;
    for line in &logs.lines {
        let is_about =
            |name: &str, wanted: Option<&str>| wanted.is_some() && line.text(name) == wanted;
        let is_order = line.message.starts_with("order:") || line.message.starts_with("endpoint:");
        let is_near = line.day_ms().is_some_and(|at_ms| (from_ms..=to_ms).contains(&at_ms));
        let names_model = model.is_some_and(|model| line.details().contains(model));
        if is_order && is_near && (names_model || is_about("endpoint", endpoint)) {
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

/// When the request came, by the first line about it.
fn began_ms(line: &LogLine) -> u64 {
    let after_ms = line.number("took_ms").or(line.number("elapsed_ms")).unwrap_or(0);
    line.day_ms().unwrap_or(0).saturating_sub(after_ms)
}

/// Names lines that were not understood.
pub(crate) fn print_bad(logs: &Logs) {
    if !logs.bad.is_empty() {
        let count = logs.bad.len();
        output::line(&format!(
            "\nlines that were not understood: {count}, the first {}",
            logs.bad[0]
        ));
    }
}
