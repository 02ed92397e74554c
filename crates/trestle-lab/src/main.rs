//! Simulates deployments, compares policies, and writes reports.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};
use trestle_lab::{
    control::{self, ControlPlan},
    deployment::Deployment,
    experiment::{self, Variant, VariantOutcomes},
    record, report,
    sim::{self, Workload},
};

const HELP: &str = "\
trestle-lab: simulates deployments in virtual time with the decisions of the daemon

USAGE:
    trestle-lab run DEPLOYMENT [--seed N] [--without NAME]... [--record FILE] [--json]
    trestle-lab replay DEPLOYMENT LOAD [--seed N] [--without NAME]... [--json]
    trestle-lab compare EXPERIMENT [OPTIONS]
    trestle-lab ablate DEPLOYMENT [--seeds N] [OPTIONS]
    trestle-lab sweep DEPLOYMENT (load|engines|places|daemons) FACTOR... [--seeds N] [OPTIONS]
    trestle-lab control PLAN [--seed N]

OPTIONS:
    --seed N        seed of the run [default: 1]
    --seeds N       number of seeds to run, from 1 on [default: 8]
    --jobs N        number of runs in parallel [default: the number of cores]
    --without NAME  disable a mechanism
    --record FILE   write the requests of the run to FILE
    --json          print JSON
    --page FILE     write a page with the table and plots to FILE
    --quiet         print no progress
    --help          print this help
";

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("lab: {failure}");
            ExitCode::FAILURE
        }
    }
}

/// Options that several commands share.
struct Options {
    seed: u64,
    seeds: Option<u64>,
    jobs: usize,
    without: Vec<String>,
    record: Option<PathBuf>,
    page: Option<PathBuf>,
    is_json: bool,
    is_quiet: bool,
}

fn run() -> Result<(), Failure> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let options = Options {
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        seeds: args.opt_value_from_str("--seeds")?,
        jobs: args.opt_value_from_str("--jobs")?.unwrap_or(cores),
        without: args.values_from_str("--without")?,
        record: args.opt_value_from_str("--record")?,
        page: args.opt_value_from_str("--page")?,
        is_json: args.contains("--json"),
        is_quiet: args.contains("--quiet"),
    };
    let command = args.subcommand()?.ok_or("a command is missing; see --help")?;
    let arguments: Vec<String> = args
        .finish()
        .into_iter()
        .map(|argument| {
            argument.into_string().map_err(|argument| format!("{argument:?} is not valid UTF-8"))
        })
        .collect::<Result<_, _>>()?;
    if let Some(option) = arguments.iter().find(|argument| argument.starts_with("--")) {
        return Err(format!("{option} is not a known option; see --help").into());
    }
    match (command.as_str(), arguments.as_slice()) {
        ("run", [deployment]) => run_one(deployment, None, &options),
        ("replay", [deployment, load]) => run_one(deployment, Some(Path::new(load)), &options),
        ("control", [file]) => {
            let plan = ControlPlan::read(Path::new(file))?;
            println!("{}", control::run(&plan, options.seed));
            Ok(())
        }
        ("compare", [file]) => {
            let (seeds, variants) = experiment::read(Path::new(file))?;
            run_all(file, &variants, options.seeds.unwrap_or(seeds), &options)
        }
        ("ablate", [file]) => {
            let deployment = Deployment::read(Path::new(file))?;
            let variants = experiment::ablation(&deployment);
            run_all(file, &variants, options.seeds.unwrap_or(8), &options)
        }
        ("sweep", [file, what, factors @ ..]) if !factors.is_empty() => {
            let deployment = Deployment::read(Path::new(file))?;
            let variants = sweep(&deployment, what, factors)?;
            run_all(file, &variants, options.seeds.unwrap_or(8), &options)
        }
        _ => Err(format!(
            "`{command}` with {} arguments is not a known command; see --help",
            arguments.len()
        )
        .into()),
    }
}

fn run_one(file: &str, load: Option<&Path>, options: &Options) -> Result<(), Failure> {
    let deployment = Deployment::read(Path::new(file))?;
    let policy = experiment::policy(&options.without, "--without")?;
    let arrivals = match load {
        Some(path) => record::read(path)?,
        None => sim::generate_workload(&deployment, options.seed),
    };
    if let Some(path) = &options.record {
        record::write(path, &arrivals)?;
    }
    let outcome = sim::run(&deployment, &policy, options.seed, Workload::Recorded(&arrivals));
    match options.is_json {
        true => println!("{:#}", report::run_json(&outcome)),
        false => print!("{}", report::run_text(&outcome)),
    }
    Ok(())
}

fn run_all(
    title: &str,
    variants: &[Variant],
    seeds: u64,
    options: &Options,
) -> Result<(), Failure> {
    if seeds == 0 || variants.is_empty() {
        return Err("there is nothing to run: expected at least one seed and one variant".into());
    }
    let progress = |done: usize, all: usize| {
        if !options.is_quiet && (done == all || done.is_multiple_of(10)) {
            eprintln!("lab: {done} of {all} runs are done");
        }
    };
    let results: Vec<VariantOutcomes> = experiment::run(variants, seeds, options.jobs, progress);
    if let Some(path) = &options.page {
        record::write_page(path, &report::page(title, &results)?)?;
    }
    match options.is_json {
        true => println!("{:#}", report::table_json(&results)),
        false => print!("{}", report::table(&results)),
    }
    Ok(())
}

/// Returns a variant for each factor by which one quantity of the deployment is scaled.
fn sweep(deployment: &Deployment, what: &str, factors: &[String]) -> Result<Vec<Variant>, Failure> {
    let variants = factors.iter().map(|text| {
        let factor: f64 = text.parse().map_err(|_| format!("`{text}` is not a number"))?;
        if !(factor.is_finite() && factor > 0.0) {
            return Err(format!("`{text}` must be above 0").into());
        }
        let mut scaled = deployment.clone();
        let scale = |count: usize| ((count as f64 * factor).round() as usize).max(1);
        match what {
            "load" => scaled.classes.iter_mut().for_each(|class| class.per_s *= factor),
            "engines" => scaled.engines.count = scale(scaled.engines.count),
            "places" => {
                let memory_mb = scaled.engines.memory_mb as f64 * factor;
                scaled.engines.memory_mb = (memory_mb as u64).max(scaled.models.most_mb);
            }
            "daemons" => scaled.daemons = scale(scaled.daemons),
            _ => return Err(format!("`{what}` cannot be swept; see --help").into()),
        }
        let (name, policy) = (format!("{what} x {text}"), Default::default());
        Ok(Variant { name, policy, deployment: scaled })
    });
    variants.collect()
}
