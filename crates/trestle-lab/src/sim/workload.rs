//! Generation of requests: a few busy models and many rare ones, with a set of busy models that
//! shifts over time.

use crate::{
    deployment::{Class, Deployment, Fault},
    record::Arrival,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Generates the requests of one run, in the order of their times.
pub(super) fn generate(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (number, class) in deployment.classes.iter().enumerate() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(1 + number as u64);
        generate_class(deployment, class, &mut random, &mut arrivals);
    }
    arrivals.sort_by(|one, other| {
        (one.at_us, &one.class, one.model).cmp(&(other.at_us, &other.class, other.model))
    });
    arrivals
}

/// Returns the number of adapters of a model; busy models have most of them.
pub(super) fn adapter_count(deployment: &Deployment, model: usize) -> usize {
    let (models, adapters) = (deployment.models.count, deployment.models.adapters);
    // Each model gets half of the adapters that remain after the models before it, rounded up.
    let mut remaining = adapters;
    for number in 0..models {
        let share = remaining.div_ceil(2).min(remaining);
        if number == model {
            return share;
        }
        remaining -= share;
    }
    0
}

/// Appends the requests of one class to `arrivals`.
fn generate_class(
    deployment: &Deployment,
    class: &Class,
    random: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let max_per_s = class.per_s * max_rate_factor(deployment, &class.name);
    let Ok(gaps) = Exp::new(max_per_s) else { return };
    let mut at_s = 0.0;
    loop {
        at_s += gaps.sample(random);
        if at_s >= deployment.duration_s {
            return;
        }
        // Arrivals are drawn at the highest rate and thinned to the current one.
        let keep_share = class.per_s * rate_factor(deployment, &class.name, at_s) / max_per_s;
        let (sample, model) = (random.random::<f64>(), draw_model(deployment, at_s, random));
        let adapter = draw_adapter(deployment, model, random);
        if sample < keep_share {
            let at_us = (at_s * 1e6) as u64;
            arrivals.push(Arrival { at_us, class: class.name.clone(), model, adapter });
        }
    }
}

/// Draws the number of the adapter that a request names, or `None` if it names none.
fn draw_adapter(deployment: &Deployment, model: usize, random: &mut impl Rng) -> Option<usize> {
    let adapters = adapter_count(deployment, model);
    let names_adapter = random.random::<f64>() < deployment.models.adapter_share;
    let number = random.random_range(0..adapters.max(1));
    (names_adapter && adapters > 0).then_some(number)
}

/// Returns the factor by which bursts multiply the rate of a class at a time.
fn rate_factor(deployment: &Deployment, class: &str, at_s: f64) -> f64 {
    let bursts = deployment.faults.iter().filter_map(|fault| match fault {
        Fault::Burst { at_s: from_s, for_s, class: affected, times } if affected == class => {
            (*from_s <= at_s && at_s < from_s + for_s).then_some(*times)
        }
        _ => None,
    });
    bursts.product()
}

/// Returns an upper bound of [`rate_factor`] over the whole run.
fn max_rate_factor(deployment: &Deployment, class: &str) -> f64 {
    let bursts = deployment.faults.iter().filter_map(|fault| match fault {
        Fault::Burst { class: affected, times, .. } if affected == class => Some(times.max(1.0)),
        _ => None,
    });
    bursts.product()
}

/// Draws the index of the model that a request at a time names.
fn draw_model(deployment: &Deployment, at_s: f64, random: &mut impl Rng) -> usize {
    let models = &deployment.models;
    let shift = rank_shift(deployment, at_s, random.random::<f64>());
    let mut sample = random.random::<f64>();
    for (rank, share) in models.busy_shares.iter().enumerate() {
        if sample < *share {
            return (rank + shift) % models.count;
        }
        sample -= share;
    }
    let rare_model = random.random_range(0..models.count - models.busy_shares.len());
    (rare_model + models.busy_shares.len() + shift) % models.count
}

/// Returns by how many ranks the order of models has shifted for one request. During a shift a
/// growing share of requests, selected by `sample`, already follows the new order.
fn rank_shift(deployment: &Deployment, at_s: f64, sample: f64) -> usize {
    let shifts = deployment.faults.iter().filter(|fault| match fault {
        Fault::ModelShift { at_s: from_s, for_s } => {
            at_s >= *from_s && sample < (at_s - from_s) / for_s.max(1e-9)
        }
        _ => false,
    });
    shifts.count()
}
