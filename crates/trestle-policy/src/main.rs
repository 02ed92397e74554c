//! Prints the tables of both deployments and draws their plots.

use std::{error::Error, path::PathBuf, process::ExitCode};
use trestle_policy::{report, workload};

const HELP: &str = "\
trestle-policy: compares keep-time policies by tail cold-start time and idle accelerator hours

USAGE:
    trestle-policy [--seed N] [--plots FOLDER]

OPTIONS:
    --seed N         seed of the generated requests [default: 1]
    --plots FOLDER   draw fleet.svg and herbarium.svg there
    --help           print this
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("policy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let plots: Option<PathBuf> = args.opt_value_from_str("--plots")?;
    let deployments = [
        ("fleet", "The fleet's ninth day", workload::fleet(seed)),
        ("herbarium", "The herbarium's year", workload::herbarium(seed)),
    ];
    for (name, title, deployment) in deployments {
        let rows = report::rows(&deployment);
        println!("### {title}, seed {seed}\n\n{}", report::table(&rows));
        if let Some(folder) = &plots {
            std::fs::create_dir_all(folder)?;
            report::plot(&folder.join(format!("{name}.svg")), title, &rows)?;
        }
    }
    Ok(())
}
