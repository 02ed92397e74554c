//! Shows the main job on loopback: stand-ins, seven daemons, the fleet's
//! configuration applied, a first request to a model that is not loaded, and a
//! burst for all models at every daemon at once.

use serde_json::json;
use std::{process::ExitCode, time::Instant};
use trestle_session::{
    Result, Session, SessionPlan,
    fleet::{CONFIG, DAEMONS, PLACEMENTS},
};

/// Loads and requests take this much less time than in the example.
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
    println!("Starting a stand-in and {} daemons; times are {SPEED} times faster.", DAEMONS.len());
    let plan =
        SessionPlan { config: CONFIG, daemons: &DAEMONS, speed: SPEED, intervals: json!({}) };
    let session = Session::start(&plan)?;
    print!("{}", session.apply()?);
    let started = Instant::now();
    session.wait_for("every model placed", all_placed)?;
    println!("Every model has its place after {:.1} s.", started.elapsed().as_secs_f64());
    let text = "Why does my scooter not unlock?";
    let answered = session.complete("caxias-1", "riders-token", "unlock-help-1", text, 20_000)?;
    println!(
        "First request to a model that is not loaded: status {}, {} ms, answer `{}`.",
        answered.status,
        answered.took.as_millis(),
        answered.body["choices"][0]["message"]["content"].as_str().unwrap_or(""),
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
    println!("Breaches seen by engines, services and platform: {}", breaches.len());
    breaches.iter().take(10).for_each(|breach| println!("  {breach}"));
    let is_right = report["violations"].as_array().is_some_and(Vec::is_empty);
    Ok(is_right && breaches.is_empty() && answered.status == 200)
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
    session.load(&json!([
        stream("planners", "planning", for_planners, 0, true),
        stream("riders", "curb", for_riders, 500, false),
    ]))
}
