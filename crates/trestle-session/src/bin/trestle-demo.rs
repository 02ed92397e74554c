//! Demonstrates the system on loopback: starts the stand-in and seven daemons, applies
//! the configuration of the example fleet, sends a first request to a model that is not
//! loaded, and then a burst for all models to every daemon at once.

use serde_json::json;
use std::{process::ExitCode, time::Instant};
use trestle_session::{
    Result, Session, SessionPlan,
    fleet::{CONFIG, DAEMONS, PLACEMENTS},
};

/// Factor by which loads and requests are faster than in the example.
const SPEED: f64 = 5.0;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool> {
    println!(
        "Starting the stand-in and {} daemons; load and service times are divided by {SPEED}.",
        DAEMONS.len()
    );
    let plan =
        SessionPlan { config: CONFIG, daemons: &DAEMONS, speed: SPEED, intervals: json!({}) };
    let session = Session::start(&plan)?;
    print!("{}", session.apply()?);
    let started = Instant::now();
    session.wait_for("every model to be placed", all_placed)?;
    println!("Every model is placed after {:.1} s.", started.elapsed().as_secs_f64());
    let text = "Why does my scooter not unlock?";
    let answer = session.complete("caxias-1", "riders-token", "unlock-help-1", text, 20_000)?;
    println!(
        "First request to a model that is not loaded: status {}, {} ms, answer `{}`.",
        answer.status,
        answer.took.as_millis(),
        answer.body["choices"][0]["message"]["content"].as_str().unwrap_or(""),
    );
    let report = burst(&session)?;
    println!(
        "A burst for 50 models at {} daemons at once, planners first, riders half a second later:",
        DAEMONS.len(),
    );
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    let counts = session.counts()?;
    println!("Loads of each model: {}", counts["loads"]);
    let breaches = session.breaches()?;
    println!("Breaches recorded by engines, services and platform: {}", breaches.len());
    breaches.iter().take(10).for_each(|breach| println!("  {breach}"));
    let is_correct = report["violations"].as_array().is_some_and(Vec::is_empty);
    Ok(is_correct && breaches.is_empty() && answer.status == 200)
}

fn all_placed(session: &Session) -> bool {
    let models: usize = session
        .daemons
        .keys()
        .filter_map(|vm| session.status(vm).ok())
        .flat_map(|status| status.endpoints.into_values())
        .filter(|state| state.role == "owner")
        .map(|state| state.placed.len())
        .sum();
    models >= PLACEMENTS
}

fn burst(session: &Session) -> Result<serde_json::Value> {
    let names: Vec<String> = trestle_config::from_str(&session.config, "fleet.jsonc")
        .map(|config| config.catalog.models.keys().map(ToString::to_string).collect())
        .unwrap_or_default();
    let (for_riders, for_planners) = names.split_at(names.len() / 2);
    let stream = |tenant: &str, class: &str, names: &[String], start_ms: u64, stream: bool| {
        json!({
            "tenant": tenant, "token": format!("{tenant}-token"), "class": class,
            "requests": 350, "start_ms": start_ms, "over_ms": 0, "deadline_ms": 60_000,
            "work": {"models": {"names": names, "stream": stream}},
        })
    };
    session.run_load(&json!([
        stream("planners", "planning", for_planners, 0, true),
        stream("riders", "curb", for_riders, 500, false),
    ]))
}
