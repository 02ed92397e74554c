//! Runs the measurements of `trestle_session::bench` and prints their figures. The first
//! argument, if given, names the only measurement to run.

use std::process::ExitCode;
use trestle_session::{Result, bench};

/// Number of requests while answers are swapped, truncated and failed.
const BAD_ANSWERS_REQUESTS: usize = 100_000;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut session = bench::start()?;
    let only = std::env::args().nth(1);
    let is_wanted = |name: &str| only.as_deref().is_none_or(|only| only == name);
    if is_wanted("rest") {
        bench::idle(&session)?;
    }
    if is_wanted("overhead") {
        bench::overhead(&session)?;
    }
    if is_wanted("overload") {
        bench::overload(&session)?;
    }
    if is_wanted("crossed") {
        bench::bad_answers(&session, BAD_ANSWERS_REQUESTS)?;
    }
    if is_wanted("takeover") {
        bench::takeover(&mut session)?;
    }
    println!("breaches recorded by the stand-in: {}", session.breaches()?.len());
    Ok(())
}
