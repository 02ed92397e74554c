//! Runs the measurements of `trestle_session::bench` and prints their figures; a
//! name as the first argument runs that one alone.

use std::process::ExitCode;
use trestle_session::{Result, bench};

/// Requests while answers are crossed and cut.
const CROSSED_REQUESTS: usize = 100_000;

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
        bench::rest(&session)?;
    }
    if is_wanted("overhead") {
        bench::overhead(&session)?;
    }
    if is_wanted("overload") {
        bench::overload(&session)?;
    }
    if is_wanted("crossed") {
        bench::crossed(&session, CROSSED_REQUESTS)?;
    }
    if is_wanted("takeover") {
        bench::takeover(&mut session)?;
    }
    println!("breaches seen at the far side: {}", session.breaches()?.len());
    Ok(())
}
