//! Tables and plots from the logs of several daemons.

use crate::{
    error::{Result, WriteSnafu},
    log_line::{self, LogLine, Logs},
    output, plot, trace,
};
use snafu::ResultExt;
use std::{
    collections::BTreeMap,
    fmt::Write,
    fs,
    path::{Path, PathBuf},
};

/// What happened to requests, and what it took.
#[derive(Debug, Default)]
struct Group {
    ends: BTreeMap<String, u64>,
    first_ms: Vec<u64>,
    whole_ms: Vec<u64>,
    further_sends: u64,
}

/// Prints tables, and writes them with plots as one page if a file is named.
pub(crate) fn print(paths: &[PathBuf], page: Option<&Path>) -> Result<()> {
    let logs = log_line::read(paths)?;
    let tables = tables(&logs);
    output::line(tables.trim_end());
    trace::print_bad(&logs);
    if let Some(path) = page {
        fs::write(path, to_page(&logs, &tables)).context(WriteSnafu { path })?;
    }
    Ok(())
}

fn tables(logs: &Logs) -> String {
    let mut text = requests(logs);
    text.push('\n');
    text.push_str(&changes(logs));
    text.push('\n');
    text.push_str(&beliefs(logs));
    text
}

fn requests(logs: &Logs) -> String {
    let mut groups: BTreeMap<&str, Group> = BTreeMap::new();
    for line in ended(logs) {
        let group = groups.entry(line.text("route").unwrap_or("-")).or_default();
        let end = line.text("end").unwrap_or("-").to_owned();
        if end == "whole" {
            group.whole_ms.extend(line.number("took_ms"));
        }
        *group.ends.entry(end).or_default() += 1;
        group.first_ms.extend(line.number("first_ms"));
        group.further_sends += line.number("sends").unwrap_or(0).saturating_sub(1);
    }
    let mut text = String::from("requests, by route (times in ms)\n");
    let _ = writeln!(
        text,
        "{:<16}{:>8}{:>8}{:>11}{:>11}{:>11}{:>11}{:>8}  ends",
        "route", "all", "whole", "first p50", "first p99", "whole p50", "whole p99", "again"
    );
    for (route, group) in &mut groups {
        let all: u64 = group.ends.values().sum();
        let whole = group.ends.remove("whole").unwrap_or(0);
        let others: Vec<String> =
            group.ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
        let _ = writeln!(
            text,
            "{route:<16}{all:>8}{whole:>8}{:>11}{:>11}{:>11}{:>11}{:>8}  {}",
            quantile(&mut group.first_ms, 0.5),
            quantile(&mut group.first_ms, 0.99),
            quantile(&mut group.whole_ms, 0.5),
            quantile(&mut group.whole_ms, 0.99),
            group.further_sends,
            others.join(", ")
        );
    }
    text
}

fn changes(logs: &Logs) -> String {
    let took = |message: &str| -> Vec<u64> {
        let lines = logs.lines.iter().filter(|line| line.message == message);
        lines.filter_map(|line| line.number("took_ms")).collect()
    };
    let (mut done, failed) = (took("order: A change is done."), took("order: A change failed."));
    format!(
        "changes at engines: {} done (p50 {} ms, p99 {} ms), {} failed\n",
        done.len(),
        quantile(&mut done, 0.5),
        quantile(&mut done, 0.99),
        failed.len()
    )
}

fn beliefs(logs: &Logs) -> String {
    let starts =
        ["lease: This daemon", "sync:", "store: A table", "config: A conf", "stop:", "daemon:"];
    let told = |line: &&LogLine| starts.iter().any(|start| line.message.starts_with(start));
    let mut text = String::from("beliefs lost and regained, stops and starts\n");
    for line in logs.lines.iter().filter(told) {
        let (time, source) = (line.time(), &line.source);
        let _ = writeln!(text, "{time} {source} {} {}", line.message, line.details());
    }
    text
}

fn to_page(logs: &Logs, tables: &str) -> String {
    let mut by_route: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for line in ended(logs) {
        let took_ms = line.number("first_ms").or(line.number("took_ms"));
        if let (Some(at_ms), Some(took_ms)) = (line.day_ms(), took_ms) {
            let route = line.text("route").unwrap_or("-").to_owned();
            by_route.entry(route).or_default().push((at_ms as f64 / 1e3, took_ms as f64));
        }
    }
    let mut changes: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for line in logs.lines.iter().filter(|line| line.message.starts_with("order: A change ")) {
        if let (Some(at_ms), Some(took_ms)) = (line.day_ms(), line.number("took_ms")) {
            let end = if line.message.ends_with("done.") { "done" } else { "failed" };
            changes.entry(end.to_owned()).or_default().push((at_ms as f64 / 1e3, took_ms as f64));
        }
    }
    let escaped = tables.replace('&', "&amp;").replace('<', "&lt;");
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>trestlestile: report of logs</title>\n\
         <pre>{escaped}</pre>\n{}\n{}\n",
        plot::scatter("time until the first part of an answer, by route (ms)", &by_route),
        plot::scatter("time of changes at engines (ms)", &changes),
    )
}

fn ended(logs: &Logs) -> impl Iterator<Item = &LogLine> {
    logs.lines.iter().filter(|line| line.message == "request: Ended.")
}

fn quantile(values: &mut [u64], share: f64) -> String {
    values.sort_unstable();
    let at = (values.len() as f64 * share) as usize;
    values.get(at).map_or_else(|| "-".to_owned(), u64::to_string)
}
