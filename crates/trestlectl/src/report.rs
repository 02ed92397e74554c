//! Prints tables and writes plots from the logs of several daemons.

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

/// Outcomes and times of the finished requests of one route.
#[derive(Debug, Default)]
struct RouteStats {
    count_by_end: BTreeMap<String, u64>,
    first_ms: Vec<u64>,
    whole_ms: Vec<u64>,
    resends: u64,
}

/// Prints tables; if `html_path` is given, also writes them with plots as one HTML page.
pub(crate) fn print(paths: &[PathBuf], html_path: Option<&Path>) -> Result<()> {
    let logs = log_line::read(paths)?;
    let tables = tables(&logs);
    output::line(tables.trim_end());
    trace::print_unparsed(&logs);
    if let Some(path) = html_path {
        fs::write(path, to_html(&logs, &tables)).context(WriteSnafu { path })?;
    }
    Ok(())
}

fn tables(logs: &Logs) -> String {
    let mut text = requests(logs);
    text.push('\n');
    text.push_str(&changes(logs));
    text.push('\n');
    text.push_str(&view_changes(logs));
    text
}

fn requests(logs: &Logs) -> String {
    let mut stats_by_route: BTreeMap<&str, RouteStats> = BTreeMap::new();
    for line in finished_requests(logs) {
        let stats = stats_by_route.entry(line.text("route").unwrap_or("-")).or_default();
        let end = line.text("end").unwrap_or("-").to_owned();
        if end == "whole" {
            stats.whole_ms.extend(line.number("took_ms"));
        }
        *stats.count_by_end.entry(end).or_default() += 1;
        stats.first_ms.extend(line.number("first_ms"));
        stats.resends += line.number("sends").unwrap_or(0).saturating_sub(1);
    }
    let mut text = String::from("requests, by route (times in ms)\n");
    let _ = writeln!(
        text,
        "{:<16}{:>8}{:>8}{:>11}{:>11}{:>11}{:>11}{:>8}  ends",
        "route", "all", "whole", "first p50", "first p99", "whole p50", "whole p99", "again"
    );
    for (route, stats) in &mut stats_by_route {
        let all: u64 = stats.count_by_end.values().sum();
        let whole = stats.count_by_end.remove("whole").unwrap_or(0);
        let other_ends: Vec<String> =
            stats.count_by_end.iter().map(|(end, count)| format!("{end} {count}")).collect();
        let _ = writeln!(
            text,
            "{route:<16}{all:>8}{whole:>8}{:>11}{:>11}{:>11}{:>11}{:>8}  {}",
            quantile(&mut stats.first_ms, 0.5),
            quantile(&mut stats.first_ms, 0.99),
            quantile(&mut stats.whole_ms, 0.5),
            quantile(&mut stats.whole_ms, 0.99),
            stats.resends,
            other_ends.join(", ")
        );
    }
    text
}

fn changes(logs: &Logs) -> String {
    let took_ms_of = |message: &str| -> Vec<u64> {
        let lines = logs.lines.iter().filter(|line| line.message == message);
        lines.filter_map(|line| line.number("took_ms")).collect()
    };
    let (mut done, failed) =
        (took_ms_of("order: A change is done."), took_ms_of("order: A change failed."));
    format!(
        "changes at engines: {} done (p50 {} ms, p99 {} ms), {} failed\n",
        done.len(),
        quantile(&mut done, 0.5),
        quantile(&mut done, 0.99),
        failed.len()
    )
}

fn view_changes(logs: &Logs) -> String {
    let prefixes =
        ["lease: This daemon", "sync:", "store: A table", "config: A conf", "stop:", "daemon:"];
    let is_shown = |line: &&LogLine| prefixes.iter().any(|prefix| line.message.starts_with(prefix));
    let mut text = String::from("beliefs lost and regained, stops and starts\n");
    for line in logs.lines.iter().filter(is_shown) {
        let (time, source) = (line.time(), &line.source);
        let _ = writeln!(text, "{time} {source} {} {}", line.message, line.details());
    }
    text
}

fn to_html(logs: &Logs, tables: &str) -> String {
    let mut by_route: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for line in finished_requests(logs) {
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

fn finished_requests(logs: &Logs) -> impl Iterator<Item = &LogLine> {
    logs.lines.iter().filter(|line| line.message == "request: Ended.")
}

fn quantile(values: &mut [u64], fraction: f64) -> String {
    values.sort_unstable();
    let index = (values.len() as f64 * fraction) as usize;
    values.get(index).map_or_else(|| "-".to_owned(), u64::to_string)
}
