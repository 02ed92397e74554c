//! Tests of simulated deployments: loads under which a mechanism matters, and guarantees of the
//! tool itself.

use std::process::{Command, Output};
use trestle_dispatch::policy::{Mechanism, Policy};
use trestle_lab::{
    deployment::Deployment,
    experiment::{self, Variant, VariantOutcomes},
    sim::{self, Workload},
};

const SMALL: &str = include_str!("../../../examples/lab/small.jsonc");
const CROWDED: &str = include_str!("../../../examples/lab/crowded.jsonc");
const RELEASE: &str = include_str!("../../../examples/lab/release.jsonc");
const SEEDS: u64 = 6;
const JOBS: usize = 4;

fn deployment(text: &str) -> Deployment {
    Deployment::parse(text, "day.jsonc").expect("the example is valid")
}

/// Runs two policies over the same seeds: one with all mechanisms and one without the given
/// mechanism.
fn compare(text: &str, without: Mechanism) -> (VariantOutcomes, VariantOutcomes) {
    let variant = |policy| Variant { name: String::new(), policy, deployment: deployment(text) };
    let variants = [variant(Policy::default()), variant(Policy::without([without]))];
    let mut results = experiment::run(&variants, SEEDS, JOBS, |_, _| {}).into_iter();
    (results.next().expect("the first"), results.next().expect("the second"))
}

macro_rules! ablations {
    ($($(#[$doc:meta])* $name:ident: $file:ident without $mechanism:ident, $figure:literal falls by $min_fall:literal;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let (all, without) = compare($file, Mechanism::$mechanism);
                let (with_it, without_it) = (all.mean($figure), without.mean($figure));
                assert!(with_it - without_it >= $min_fall, "{with_it} with it, {without_it} without");
            }
        )+
    };
}

ablations! {
    /// Half of the models are on no engine when they are requested.
    requests_wait_up_to_the_caller_timeout:
        SMALL without WaitWhileCallerStays, "served" falls by 0.02;
    /// There is no leader for 2 s while demand shifts to other models.
    requests_wait_for_the_next_leader:
        SMALL without AwaitLeader, "served" falls by 0.001;
    /// Every engine is replaced by an empty one within 10 s, and the weight store manages some 28
    /// loads until the end.
    weight_store_loads_go_to_the_largest_demand:
        RELEASE without FarLoadsByValue, "worth" falls by 0.01;
}

#[test]
fn no_order_overfills_an_engine() {
    for text in [SMALL, CROWDED, RELEASE] {
        let deployment = deployment(text);
        for seed in 1..=SEEDS {
            let outcome = sim::run(&deployment, &Policy::default(), seed, Workload::Generated);
            assert_eq!(outcome.overfilled, 0, "seed {seed}");
            assert!(outcome.total() > 1_000, "seed {seed}");
        }
    }
}

#[test]
fn a_recorded_load_gives_the_same_outcome() {
    let deployment = deployment(SMALL);
    let load = sim::generate_workload(&deployment, 5);
    let run = |load| sim::run(&deployment, &Policy::default(), 5, load).figure("worth");
    assert_eq!(run(Workload::Generated).to_bits(), run(Workload::Recorded(&load)).to_bits());
}

#[test]
fn the_same_seed_prints_the_same_bytes() {
    let run = || lab(&["run", &example("small.jsonc"), "--seed", "3", "--json"]).stdout;
    assert_eq!(run(), run());
}

/// Arguments of invalid commands, each with a part of the error message that the tool must print.
const INVALID: [(&[&str], &str); 6] = [
    (&["run"], "0 arguments"),
    (&["fly", "x"], "`fly`"),
    (&["run", "no-such-file"], "no-such-file"),
    (&["run", "small.jsonc", "--without", "magic"], "no mechanism `magic`"),
    (&["sweep", "small.jsonc", "load", "much"], "`much` is not a number"),
    (&["ablate", "small.jsonc", "--seeds", "0"], "nothing to run"),
];

#[test]
fn an_invalid_command_is_named_in_the_error() {
    for (arguments, message) in INVALID {
        let arguments: Vec<String> = arguments
            .iter()
            .map(|argument| {
                if argument.ends_with(".jsonc") {
                    example(argument)
                } else {
                    (*argument).to_owned()
                }
            })
            .collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let output = lab(&arguments);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && error.contains(message), "{arguments:?}: {error}");
    }
}

#[test]
fn an_invalid_file_is_rejected_with_the_position() {
    let unknown = SMALL.replacen("\"daemons\"", "\"demons\"", 1);
    let error = Deployment::parse(&unknown, "day.jsonc").expect_err("a field is unknown");
    assert!(error.to_string().starts_with("day.jsonc:3:"), "{error}");
    let none = SMALL.replacen("\"daemons\": 9", "\"daemons\": 0", 1);
    let error = Deployment::parse(&none, "day.jsonc").expect_err("there are no daemons");
    assert!(error.to_string().contains("day.jsonc: daemons: must be at least 1"), "{error}");
}

fn example(name: &str) -> String {
    format!("{}/../../examples/lab/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_trestle-lab")).args(arguments).output().expect("the tool runs")
}
