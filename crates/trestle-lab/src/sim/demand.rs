//! What callers ask for: few busy models and many rare ones, and which are busy moves.

use crate::{
    deployment::{Class, Deployment, Fault},
    record::Arrival,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Draws the requests of a day, in the order of their times.
pub(super) fn draw(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (number, class) in deployment.classes.iter().enumerate() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(1 + number as u64);
        draw_class(deployment, class, &mut random, &mut arrivals);
    }
    arrivals.sort_by(|one, other| {
        (one.at_us, &one.class, one.model).cmp(&(other.at_us, &other.class, other.model))
    });
    arrivals
}

/// Adapters of a model; busy models have most of them.
pub(super) fn adapters_of(deployment: &Deployment, model: usize) -> usize {
    let (models, adapters) = (deployment.models.count, deployment.models.adapters);
    // Each model has half of what those before it left, and the last ones one each.
    let mut left = adapters;
    for number in 0..models {
        let of_model = left.div_ceil(2).min(left);
        if number == model {
            return of_model;
        }
        left -= of_model;
    }
    0
}

fn draw_class(
    deployment: &Deployment,
    class: &Class,
    random: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let most_per_s = class.per_s * most_times(deployment, &class.name);
    let Ok(gaps) = Exp::new(most_per_s) else { return };
    let mut at_s = 0.0;
    loop {
        at_s += gaps.sample(random);
        if at_s >= deployment.duration_s {
            return;
        }
        // Thinned to the rate of the moment.
        let kept = class.per_s * times(deployment, &class.name, at_s) / most_per_s;
        let (lot, model) = (random.random::<f64>(), draw_model(deployment, at_s, random));
        let adapter = draw_adapter(deployment, model, random);
        if lot < kept {
            let at_us = (at_s * 1e6) as u64;
            arrivals.push(Arrival { at_us, class: class.name.clone(), model, adapter });
        }
    }
}

fn draw_adapter(deployment: &Deployment, model: usize, random: &mut impl Rng) -> Option<usize> {
    let adapters = adapters_of(deployment, model);
    let named = random.random::<f64>() < deployment.models.adapter_share;
    let number = random.random_range(0..adapters.max(1));
    (named && adapters > 0).then_some(number)
}

/// How many times as many requests of a class come at a time.
fn times(deployment: &Deployment, class: &str, at_s: f64) -> f64 {
    let bursts = deployment.faults.iter().filter_map(|fault| match fault {
        Fault::Burst { at_s: from_s, for_s, class: of, times } if of == class => {
            (*from_s <= at_s && at_s < from_s + for_s).then_some(*times)
        }
        _ => None,
    });
    bursts.product()
}

fn most_times(deployment: &Deployment, class: &str) -> f64 {
    let bursts = deployment.faults.iter().filter_map(|fault| match fault {
        Fault::Burst { class: of, times, .. } if of == class => Some(times.max(1.0)),
        _ => None,
    });
    bursts.product()
}

/// Number of the model that a request at a time is for.
fn draw_model(deployment: &Deployment, at_s: f64, random: &mut impl Rng) -> usize {
    let models = &deployment.models;
    let shift = shifts(deployment, at_s, random.random::<f64>());
    let mut lot = random.random::<f64>();
    for (rank, share) in models.busy_shares.iter().enumerate() {
        if lot < *share {
            return (rank + shift) % models.count;
        }
        lot -= share;
    }
    let rare = random.random_range(0..models.count - models.busy_shares.len());
    (rare + models.busy_shares.len() + shift) % models.count
}

/// By how many places the order of busy models has moved for one request; while it moves,
/// some requests already follow the new order.
fn shifts(deployment: &Deployment, at_s: f64, lot: f64) -> usize {
    let moved = deployment.faults.iter().filter(|fault| match fault {
        Fault::ModelShift { at_s: from_s, for_s } => {
            at_s >= *from_s && lot < (at_s - from_s) / for_s.max(1e-9)
        }
        _ => false,
    });
    moved.count()
}
