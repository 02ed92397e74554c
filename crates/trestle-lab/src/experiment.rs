//! Runs several seeds under several policies, and compares the outcomes in pairs.
//!
//! Each seed is run under every policy, so that differences between seeds do not hide the
//! difference between two policies. Runs are spread over a number of threads; the result does not
//! depend on that number.

use crate::{
    deployment::Deployment,
    error::{FileSnafu, ReadSnafu, Result, ValueSnafu},
    outcome::Outcome,
    sim::{self, Workload},
};
use snafu::ResultExt;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::{
    fs,
    path::{Path, PathBuf},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};
use trestle_dispatch::policy::{Mechanism, Policy};

/// Probability that a confidence interval does not contain the true mean difference.
const SIGNIFICANCE_LEVEL: f64 = 0.05;

/// An experiment, as its file describes it.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// Path of the deployment's file, relative to the folder of the experiment's file.
    pub deployment: PathBuf,
    /// Number of seeds; they count from 1.
    pub seeds: u64,
    /// Policies; the others are compared with the first.
    pub variants: Vec<VariantEntry>,
}

/// One policy of an experiment's file.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct VariantEntry {
    /// Name of the variant.
    pub name: String,
    /// Names of the mechanisms that the policy leaves out.
    #[serde(default)]
    pub without: Vec<String>,
}

/// One policy to run, with its deployment.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name of the variant.
    pub name: String,
    /// The policy that decides.
    pub policy: Policy,
    /// The deployment to simulate.
    pub deployment: Deployment,
}

/// The outcomes of one variant, by seed.
#[derive(Debug, Clone)]
pub struct VariantOutcomes {
    /// Name of the variant.
    pub name: String,
    /// Outcomes in the order of the seeds.
    pub outcomes: Vec<Outcome>,
}

/// A mean difference to another variant, with the bounds of its confidence interval.
#[trestle_macros::plain]
#[derive(Copy, PartialOrd)]
pub struct Difference {
    /// The mean, in millionths.
    pub mean_ppm: i64,
    /// The lower bound, in millionths.
    pub lower_ppm: i64,
    /// The upper bound, in millionths.
    pub upper_ppm: i64,
}

impl Difference {
    /// Returns whether the interval excludes 0.
    pub fn is_significant(&self) -> bool {
        self.lower_ppm > 0 || self.upper_ppm < 0
    }
}

impl VariantOutcomes {
    /// Returns the mean over all seeds of one of [`FIGURES`](crate::outcome::FIGURES).
    pub fn mean(&self, figure: &str) -> f64 {
        let sum: f64 = self.outcomes.iter().map(|outcome| outcome.figure(figure)).sum();
        sum / self.outcomes.len().max(1) as f64
    }

    /// Returns the mean difference of a figure to that of another variant, over the same seeds.
    pub fn difference(&self, other: &Self, figure: &str) -> Difference {
        let pairs = self.outcomes.iter().zip(&other.outcomes);
        let differences: Vec<f64> =
            pairs.map(|(own, other)| own.figure(figure) - other.figure(figure)).collect();
        let count = differences.len() as f64;
        let mean = differences.iter().sum::<f64>() / count.max(1.0);
        let variance = differences.iter().map(|value| (value - mean).powi(2)).sum::<f64>()
            / (count - 1.0).max(1.0);
        let half_width = t_quantile(count - 1.0) * (variance / count.max(1.0)).sqrt();
        let ppm = |value: f64| (value * 1e6).round() as i64;
        Difference {
            mean_ppm: ppm(mean),
            lower_ppm: ppm(mean - half_width),
            upper_ppm: ppm(mean + half_width),
        }
    }
}

/// Returns the half width of the confidence interval in standard errors.
fn t_quantile(degrees_of_freedom: f64) -> f64 {
    match StudentsT::new(0.0, 1.0, degrees_of_freedom) {
        Ok(distribution) => distribution.inverse_cdf(1.0 - SIGNIFICANCE_LEVEL / 2.0),
        Err(_) => f64::INFINITY,
    }
}

/// Reads an experiment's file and the deployment that it names. Returns the number of seeds and
/// the variants.
///
/// # Errors
///
/// Fails if a file cannot be read, or is invalid; the error names the position of what is
/// invalid.
pub fn read(path: &Path) -> Result<(u64, Vec<Variant>)> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let name = path.display().to_string();
    let file: ExperimentFile = trestle_config::read_jsonc(&text, &name).context(FileSnafu)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let deployment = Deployment::read(&folder.join(&file.deployment))?;
    let variants = file.variants.iter().map(|entry| {
        let location = format!("{name}: variants: {}", entry.name);
        let policy = policy(&entry.without, &location)?;
        Ok(Variant { name: entry.name.clone(), policy, deployment: deployment.clone() })
    });
    Ok((file.seeds, variants.collect::<Result<_>>()?))
}

/// Returns the policy without the mechanisms of these names; `location` names the file or option
/// that lists them, for errors.
///
/// # Errors
///
/// Fails if a name is unknown; the error lists the known names.
pub fn policy(without: &[String], location: &str) -> Result<Policy> {
    let parsed = without.iter().map(|name| name.parse::<Mechanism>());
    let mechanisms = parsed.collect::<std::result::Result<Vec<_>, _>>();
    match mechanisms {
        Ok(mechanisms) => Ok(Policy::without(mechanisms)),
        Err(unknown) => ValueSnafu { location, message: unknown.to_string() }.fail(),
    }
}

/// Returns a variant with all mechanisms, and for each mechanism a variant without it.
pub fn ablation(deployment: &Deployment) -> Vec<Variant> {
    let variant = |name: &str, policy| Variant {
        name: name.to_owned(),
        policy,
        deployment: deployment.clone(),
    };
    let without = Mechanism::ALL
        .iter()
        .map(|mechanism| variant(mechanism.name(), Policy::without([*mechanism])));
    std::iter::once(variant("everything", Policy::default())).chain(without).collect()
}

/// Runs every variant with the seeds from 1 to `seeds`, in `jobs` threads. After each run,
/// `progress` is called with the number of runs done and of all runs.
pub fn run(
    variants: &[Variant],
    seeds: u64,
    jobs: usize,
    progress: impl Fn(usize, usize) + Sync,
) -> Vec<VariantOutcomes> {
    let runs: Vec<(usize, u64)> = (0..variants.len())
        .flat_map(|variant| (1..=seeds).map(move |seed| (variant, seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let done = AtomicUsize::new(0);
    let outcomes: Mutex<Vec<Option<Outcome>>> = Mutex::new(vec![None; runs.len()]);
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some((variant, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let Variant { policy, deployment, .. } = &variants[*variant];
                    let outcome = sim::run(deployment, policy, *seed, Workload::Generated);
                    let index = variant * seeds as usize + (*seed - 1) as usize;
                    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                    outcomes[index] = Some(outcome);
                    drop(outcomes);
                    progress(done.fetch_add(1, Ordering::Relaxed) + 1, runs.len());
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter();
    let results = variants.iter().map(|variant| VariantOutcomes {
        name: variant.name.clone(),
        outcomes: outcomes.by_ref().take(seeds as usize).flatten().collect(),
    });
    results.collect()
}
