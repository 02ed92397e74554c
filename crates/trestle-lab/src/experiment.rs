//! Several seeds under several policies, compared in pairs.
//!
//! Each seed is played under every policy, so that the difference between two policies is not
//! hidden by the difference between days. Seeds are played at once on the cores given; the
//! result does not depend on how many.

use crate::{
    deployment::Deployment,
    error::{FileSnafu, ReadSnafu, Result, ValueSnafu},
    outcome::Outcome,
    sim::{self, Load},
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

/// Part of the differences that a confidence interval leaves out.
const OUTSIDE: f64 = 0.05;

/// An experiment, as its file describes it.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// The deployment's file, from the experiment's own folder.
    pub deployment: PathBuf,
    /// Seeds, from 1 on.
    pub seeds: u64,
    /// Policies; the first is what the others are compared with.
    pub variants: Vec<VariantEntry>,
}

/// One policy of an experiment's file.
#[trestle_macros::wire]
#[serde(deny_unknown_fields)]
pub struct VariantEntry {
    /// Its name.
    pub name: String,
    /// Mechanisms that it leaves out.
    #[serde(default)]
    pub without: Vec<String>,
}

/// One policy to play.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// What decides.
    pub policy: Policy,
    /// What it is played on.
    pub deployment: Deployment,
}

/// What a variant has led to, by seed.
#[derive(Debug, Clone)]
pub struct Played {
    /// Its name.
    pub name: String,
    /// One outcome a seed.
    pub outcomes: Vec<Outcome>,
}

/// A mean difference to another variant, with the bounds of its confidence interval.
#[trestle_macros::plain]
#[derive(Copy, PartialOrd)]
pub struct Difference {
    /// The mean, in millionths.
    pub mean_ppm: i64,
    /// Lower bound.
    pub least_ppm: i64,
    /// Upper bound.
    pub most_ppm: i64,
}

impl Difference {
    /// Whether the interval leaves out 0.
    pub fn is_certain(&self) -> bool {
        self.least_ppm > 0 || self.most_ppm < 0
    }
}

impl Played {
    /// The mean of one of [`FIGURES`](crate::outcome::FIGURES).
    pub fn mean(&self, figure: &str) -> f64 {
        let sum: f64 = self.outcomes.iter().map(|outcome| outcome.figure(figure)).sum();
        sum / self.outcomes.len().max(1) as f64
    }

    /// The mean difference of a figure to another variant's, over the same seeds.
    pub fn difference(&self, other: &Self, figure: &str) -> Difference {
        let pairs = self.outcomes.iter().zip(&other.outcomes);
        let each: Vec<f64> =
            pairs.map(|(one, other)| one.figure(figure) - other.figure(figure)).collect();
        let count = each.len() as f64;
        let mean = each.iter().sum::<f64>() / count.max(1.0);
        let variance =
            each.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
        let half = t_quantile(count - 1.0) * (variance / count.max(1.0)).sqrt();
        let ppm = |value: f64| (value * 1e6).round() as i64;
        Difference { mean_ppm: ppm(mean), least_ppm: ppm(mean - half), most_ppm: ppm(mean + half) }
    }
}

/// By how many standard errors the interval reaches to either side.
fn t_quantile(freedom: f64) -> f64 {
    match StudentsT::new(0.0, 1.0, freedom) {
        Ok(distribution) => distribution.inverse_cdf(1.0 - OUTSIDE / 2.0),
        Err(_) => f64::INFINITY,
    }
}

/// Reads an experiment's file, and the deployment that it names.
///
/// # Errors
///
/// Fails with the place of everything that is wrong.
pub fn read(path: &Path) -> Result<(u64, Vec<Variant>)> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let name = path.display().to_string();
    let file: ExperimentFile = trestle_config::read_jsonc(&text, &name).context(FileSnafu)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let deployment = Deployment::read(&folder.join(&file.deployment))?;
    let variants = file.variants.iter().map(|entry| {
        let place = format!("{name}: variants: {}", entry.name);
        let policy = policy(&entry.without, &place)?;
        Ok(Variant { name: entry.name.clone(), policy, deployment: deployment.clone() })
    });
    Ok((file.seeds, variants.collect::<Result<_>>()?))
}

/// The policy that leaves out the mechanisms with these names.
///
/// # Errors
///
/// Fails if a name is not known, with the names that are.
pub fn policy(without: &[String], place: &str) -> Result<Policy> {
    let parsed = without.iter().map(|name| name.parse::<Mechanism>());
    let mechanisms = parsed.collect::<std::result::Result<Vec<_>, _>>();
    match mechanisms {
        Ok(mechanisms) => Ok(Policy::without(mechanisms)),
        Err(unknown) => ValueSnafu { place, message: unknown.to_string() }.fail(),
    }
}

/// Everything, and everything but one mechanism each.
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

/// Plays every variant with the seeds from 1 on, some at a time; `progress` hears after each
/// day how many are played, of how many.
pub fn play(
    variants: &[Variant],
    seeds: u64,
    jobs: usize,
    progress: impl Fn(usize, usize) + Sync,
) -> Vec<Played> {
    let days: Vec<(usize, u64)> = (0..variants.len())
        .flat_map(|variant| (1..=seeds).map(move |seed| (variant, seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let done = AtomicUsize::new(0);
    let outcomes: Mutex<Vec<Option<Outcome>>> = Mutex::new(vec![None; days.len()]);
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some((variant, seed)) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let Variant { policy, deployment, .. } = &variants[*variant];
                    let outcome = sim::play(deployment, policy, *seed, Load::Drawn);
                    let place = variant * seeds as usize + (*seed - 1) as usize;
                    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                    outcomes[place] = Some(outcome);
                    drop(outcomes);
                    progress(done.fetch_add(1, Ordering::Relaxed) + 1, days.len());
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter();
    let each = variants.iter().map(|variant| Played {
        name: variant.name.clone(),
        outcomes: outcomes.by_ref().take(seeds as usize).flatten().collect(),
    });
    each.collect()
}
