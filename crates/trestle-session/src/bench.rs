//! Measurements of whole sessions, printed by `trestle-bench`.
//!
//! Each measurement prints the figures of one run and has no bounds. Properties that
//! must hold exactly are checked by tests.

use crate::{Result, Session, SessionPlan};
use serde_json::{Value, json};
use std::{
    fs, thread,
    time::{Duration, Instant},
};

/// Two failure domains with one engine each; the model `fast` runs a request in 1 ms, the model
/// `steady` in 100 ms.
const CONFIG: &str = include_str!("../bench.jsonc");
const DAEMONS: [(&str, &str); 4] = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")];
/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Starts the session that all measurements share.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub fn start() -> Result<Session> {
    let intervals = json!({});
    let plan = SessionPlan { config: CONFIG, daemons: &DAEMONS, speed: 1.0, intervals };
    let session = Session::start(&plan)?;
    session.apply()?;
    session.wait_for("every model to be placed", |session| {
        ["fast", "steady"].iter().all(|model| !session.owners_of(model).is_empty())
    })?;
    Ok(session)
}

fn stream(class: &str, model: &str, requests: usize, over_ms: u64, deadline_ms: u64) -> Value {
    json!({
        "tenant": class, "token": format!("{class}-token"), "class": class,
        "requests": requests, "over_ms": over_ms, "deadline_ms": deadline_ms,
        "work": {"models": {"names": [model], "stream": false}},
    })
}

fn latency_us(report: &Value, quantile: &str) -> u64 {
    report["groups"][0]["done_us"][quantile].as_u64().unwrap_or(0)
}

fn done_count(report: &Value, class: &str) -> u64 {
    let groups = report["groups"].as_array().into_iter().flatten();
    let group = groups.into_iter().find(|group| group["class"] == class);
    group.and_then(|group| group["verdicts"]["done"].as_u64()).unwrap_or(0)
}

/// Measures the latency that daemons add to a direct request to the engine, and the processor
/// time of daemons per request.
///
/// # Errors
///
/// Fails if the load tool cannot run.
pub fn overhead(session: &Session) -> Result<()> {
    let requests = 4_000;
    let streams = json!([stream("urgent", "fast", requests, 8_000, 10_000)]);
    session.run_load(&json!([stream("urgent", "fast", 50, 500, 10_000)]))?;
    let engine = session.engine_address("fast");
    let direct = session.run_load_at(&[&engine], &direct_streams(&streams))?;
    let before: f64 = session.daemons.values().map(|d| processor_s(d.pid())).sum();
    let through = session.run_load(&streams)?;
    let after: f64 = session.daemons.values().map(|d| processor_s(d.pid())).sum();
    let added = latency_us(&through, "p50").saturating_sub(latency_us(&direct, "p50"));
    println!(
        "overhead: direct p50 {} us, p99 {} us",
        latency_us(&direct, "p50"),
        latency_us(&direct, "p99")
    );
    println!(
        "overhead: through daemons p50 {} us, p99 {} us; added at the median {added} us",
        latency_us(&through, "p50"),
        latency_us(&through, "p99"),
    );
    let per_request_us = (after - before) * 1e6 / requests as f64;
    println!(
        "overhead: {per_request_us:.0} us of processor time per request, all daemons together"
    );
    Ok(())
}

/// Turns off the checks of answers, since engines send no outcome header.
fn direct_streams(streams: &Value) -> Value {
    let mut streams = streams.clone();
    streams[0]["unchecked"] = json!(true);
    streams
}

/// Requests per second that the engine of the steady model serves: 8 slots, 100 ms a request.
const CAPACITY: usize = 80;
/// Factor by which the request rate of the urgent class is lower than the capacity.
const URGENT_DIVISOR: usize = 8;

/// Results of a run at capacity and of an overload run, which has ten times the requests of the
/// patient class.
#[derive(Debug)]
pub struct Goodput {
    /// Answers per second of the overload run, divided by those of the run at capacity.
    pub ratio: f64,
    /// Total number of violations in both runs.
    pub violations: usize,
    /// Number of requests of the urgent class in each run.
    pub urgent_requests: u64,
    /// Report of the overload run, limited to the urgent class and without violations.
    pub urgent_only: Value,
    reports: [Value; 2],
}

/// Runs the steady model at capacity, and then with ten times the requests of the patient class;
/// returns the results of both runs.
///
/// # Errors
///
/// Fails if the load tool cannot run.
pub fn goodput_ratio(session: &Session, seconds: usize) -> Result<Goodput> {
    let urgent_requests = CAPACITY * seconds / URGENT_DIVISOR;
    let over_ms = seconds as u64 * 1_000;
    let run_at = |factor: usize| {
        let patient = stream("patient", "steady", CAPACITY * factor * seconds, over_ms, 2_000);
        let urgent = stream("urgent", "steady", urgent_requests, over_ms, 2_000);
        session.run_load(&json!([patient, urgent]))
    };
    session.run_load(&json!([stream("urgent", "steady", 10, 1_000, 5_000)]))?;
    let reports = [run_at(1)?, run_at(10)?];
    let goodput = |report: &Value| {
        let all = done_count(report, "patient") + done_count(report, "urgent");
        all as f64 * 1_000.0 / report["took_ms"].as_f64().unwrap_or(1.0)
    };
    let violations = reports.iter().filter_map(|report| report["violations"].as_array());
    let groups = reports[1]["groups"].as_array().cloned().unwrap_or_default();
    let urgent: Vec<Value> =
        groups.into_iter().filter(|group| group["class"] == "urgent").collect();
    Ok(Goodput {
        ratio: goodput(&reports[1]) / goodput(&reports[0]),
        violations: violations.map(Vec::len).sum(),
        urgent_requests: urgent_requests as u64,
        urgent_only: json!({"groups": urgent, "violations": []}),
        reports,
    })
}

/// Prints the results of [`goodput_ratio`].
///
/// # Errors
///
/// Fails if the load tool cannot run.
pub fn overload(session: &Session) -> Result<()> {
    let goodput = goodput_ratio(session, 10)?;
    println!("overload: goodput at 10 times the load is {:.2} of that at capacity", goodput.ratio);
    for report in &goodput.reports {
        for group in report["groups"].as_array().into_iter().flatten() {
            println!(
                "overload: {} {}, done p99 {} us, refused p50 {} us, p99 {} us",
                group["class"],
                group["verdicts"],
                group["done_us"]["p99"],
                group["refused_us"]["p50"],
                group["refused_us"]["p99"],
            );
        }
    }
    println!("overload: {} violations", goodput.violations);
    Ok(())
}

/// Sends many requests while engines swap, truncate and fail some of their answers.
///
/// # Errors
///
/// Fails if the load tool cannot run.
pub fn bad_answers(session: &Session, requests: usize) -> Result<()> {
    let faults = json!({"cross_answers": 300, "cut_answers": 300, "fail_answers": 300});
    let engines: Value = ["a-e1", "b-e1"].iter().map(|name| (*name, faults.clone())).collect();
    session.set_faults(&json!({"engines": engines}))?;
    let over_ms = requests as u64 / 2;
    let report = session.run_load(&json!([stream("urgent", "fast", requests, over_ms, 10_000)]))?;
    session.set_faults(&json!({}))?;
    println!("crossed: {}", report["groups"][0]["verdicts"]);
    println!("crossed: {} violations", report["violations"].as_array().map_or(0, Vec::len));
    Ok(())
}

/// Measures table accesses, orders, processor time, traffic and memory of idle daemons.
///
/// # Errors
///
/// Fails if the stand-in does not answer.
pub fn idle(session: &Session) -> Result<()> {
    let seconds = 20;
    let before = session.counts()?;
    let used_before: f64 = session.daemons.values().map(|d| processor_s(d.pid())).sum();
    let sent_before = loopback_bytes();
    thread::sleep(Duration::from_secs(seconds));
    let after = session.counts()?;
    let used = session.daemons.values().map(|d| processor_s(d.pid())).sum::<f64>() - used_before;
    let sent = loopback_bytes() - sent_before;
    let daemons = session.daemons.len() as f64;
    let rate = |name: &str| {
        let count = |counts: &Value| counts[name].as_f64().unwrap_or(0.0);
        (count(&after) - count(&before)) / seconds as f64 / daemons
    };
    println!("rest: {:.2} table reads/s per daemon", rate("table_reads"));
    println!("rest: {:.2} table writes/s per daemon", rate("table_writes"));
    println!("rest: {:.2} orders/s per daemon", rate("orders"));
    let share = used / seconds as f64 / daemons * 100.0;
    println!("rest: {share:.2} % of a core per daemon");
    let bytes = sent as f64 / seconds as f64 / daemons;
    println!(
        "rest: {bytes:.0} bytes/s per daemon over loopback, including headers and both directions"
    );
    let memory = session.daemons.values().map(|d| memory_kib(d.pid())).max().unwrap_or(0);
    println!("rest: {memory} KiB of memory at most");
    Ok(())
}

/// Measures the time without an owner after a kill, with the platform up and down, and the time
/// until a new configuration is in force.
///
/// # Errors
///
/// Fails if a process of the session does not answer.
pub fn takeover(session: &mut Session) -> Result<()> {
    for platform_down in [false, true] {
        let (_, owner) = session.owners_of("fast").first().cloned().unwrap_or_default();
        let entry = if owner.starts_with('a') { "b-1" } else { "a-1" };
        if platform_down {
            session.set_faults(&json!({"platform": {"down": true}}))?;
            thread::sleep(Duration::from_secs(4));
        }
        session.daemon(&owner).kill();
        let killed = Instant::now();
        let answer = session.complete(entry, "urgent-token", "fast", "still there?", 20_000)?;
        println!(
            "takeover: platform down {platform_down}: status {} after {} ms",
            answer.status,
            killed.elapsed().as_millis(),
        );
        session.set_faults(&json!({}))?;
        session.daemon(&owner).restart()?;
        session.wait_for("the daemon to be a member again", |session| {
            session.status(&owner).is_ok_and(|s| s.ready && s.members.contains_key(&owner))
        })?;
    }
    let started = Instant::now();
    let platform_url = session.platform_url();
    session.run_trestlectl(&["apply", &session.config_path(), "--platform", &platform_url])?;
    session.wait_for("version 2 to be in force", |session| {
        let versions = session.daemons.keys().map(|vm| session.status(vm));
        versions.into_iter().all(|status| status.is_ok_and(|status| status.config_version == 2))
    })?;
    println!("config: in force at every daemon after {} ms", started.elapsed().as_millis());
    Ok(())
}

/// Returns the processor time of a process in seconds; 0 if it cannot be read.
fn processor_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    // User and system time are the 14th and 15th fields of the file.
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns the resident memory of a process in KiB; 0 if it cannot be read.
pub fn memory_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Returns the bytes received over the loopback interface so far; 0 if that cannot be read.
fn loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
