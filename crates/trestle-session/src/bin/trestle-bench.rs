//! Runs the measurements of `trestle_session::bench` and prints their figures.

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
    bench::rest(&session)?;
    bench::overhead(&session)?;
    bench::overload(&session)?;
    bench::crossed(&session, CROSSED_REQUESTS)?;
    bench::takeover(&mut session)?;
    println!("breaches seen at the far side: {}", session.breaches()?.len());
    Ok(())
}
