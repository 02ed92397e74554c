//! Load tool: sends bursts of requests and checks every answer against its request.
//!
//! A plan names the daemons and the streams of requests. Each request carries a
//! unique id and a unique text, and its answer must return both completely and by
//! the deadline. An answer that does not is a violation, and the program then
//! exits with an error.

mod args;
mod check;
mod error;
mod plan;
mod report;
mod send;

use crate::{args::Args, error::Result, plan::Plan, report::Report};
use std::process::ExitCode;

fn main() -> ExitCode {
    match smol::block_on(run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the plan; returns whether it ended without violations.
async fn run() -> Result<bool> {
    let Some(args) = Args::from_env()? else { return Ok(true) };
    let plan = Plan::read(&args.plan_path)?;
    let report = send::run(&plan).await;
    print(&report, args.json);
    Ok(report.violations.is_empty())
}

fn print(report: &Report, json: bool) {
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
}
