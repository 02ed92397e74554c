//! What a played day has led to.

use crate::deployment::{Class, Deployment};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Share of a request's worth that a second refusal costs.
const REFUSED_AGAIN_PART: f64 = 0.3;
/// Share of what was unserved at which the logarithmic share of served requests is 1.
const FULL_NINES: f64 = 3.0;
/// Digits of the histograms.
const DIGITS: u8 = 3;

/// How one caller's request ended.
#[trestle_macros::key]
#[derive(Copy)]
pub enum End {
    /// On time, from its first try, and without a long pause.
    OnTime,
    /// Whole, and late.
    Late,
    /// Refused, and not served when it came back.
    Refused,
    /// Its caller left, or its time was over.
    Left,
    /// An engine failed it, or broke off.
    Failed,
}

/// Requests of one class.
#[derive(Debug, Clone)]
pub struct ClassOutcome {
    /// Requests by their end.
    pub ends: BTreeMap<End, u64>,
    /// Those that were refused twice.
    pub refused_again: u64,
    /// Time to the first event, from the first try.
    pub first_ms: Histogram<u64>,
    worth: f64,
    worth_late: f64,
    held_in_vain: f64,
}

/// What a played day has led to.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// By class.
    pub classes: BTreeMap<String, ClassOutcome>,
    /// Waits of first requests whose model was on no engine; those never served count with
    /// the time that they had.
    pub cold_ms: Histogram<u64>,
    /// Share of the engines' memory and time that held models with no request.
    pub idle_share: f64,
    /// Orders that engines accepted.
    pub orders: u64,
    /// Loads from the weight store.
    pub far_loads: u64,
    /// Loads from nearer copies.
    pub near_loads: u64,
    /// Sends that engines refused.
    pub refused_sends: u64,
    /// All sends.
    pub sends: u64,
    /// Orders that would have overfilled an engine; must be none.
    pub overfilled: u64,
    /// Models asked for four times or more and never served.
    pub starved: u64,
    /// Events that were played.
    pub events: u64,
}

/// The figures that runs are compared by.
pub const FIGURES: [&str; 11] = [
    "worth",
    "credit",
    "served",
    "nines",
    "on_time",
    "refused",
    "refused_again",
    "cold_p99_ms",
    "idle_share",
    "far_loads",
    "orders",
];

fn histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("three digits are allowed")
}

impl ClassOutcome {
    fn new(class: &Class) -> Self {
        Self {
            ends: BTreeMap::new(),
            refused_again: 0,
            first_ms: histogram(),
            worth: class.worth,
            worth_late: class.worth_late,
            held_in_vain: 0.0,
        }
    }

    /// Requests in all.
    pub fn asked(&self) -> u64 {
        self.ends.values().sum()
    }

    /// Requests with an end.
    pub fn count(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or_default()
    }

    fn owed(&self) -> f64 {
        self.asked() as f64 * self.worth
    }

    fn earned(&self) -> f64 {
        self.count(End::OnTime) as f64 * self.worth + self.count(End::Late) as f64 * self.worth_late
    }
}

impl Outcome {
    pub(crate) fn new(deployment: &Deployment) -> Self {
        let classes = deployment.classes.iter();
        Self {
            classes: classes.map(|class| (class.name.clone(), ClassOutcome::new(class))).collect(),
            cold_ms: histogram(),
            idle_share: 0.0,
            orders: 0,
            far_loads: 0,
            near_loads: 0,
            refused_sends: 0,
            sends: 0,
            overfilled: 0,
            starved: 0,
            events: 0,
        }
    }

    /// Notes the end of a request; `held_part` is the part of its time for which a request
    /// that was not served was held without being sent.
    pub(crate) fn ended(&mut self, class: &str, end: End, first_ms: Option<u64>, held_part: f64) {
        let Some(of_class) = self.classes.get_mut(class) else { return };
        *of_class.ends.entry(end).or_default() += 1;
        of_class.held_in_vain += held_part;
        if let Some(first_ms) = first_ms {
            // Histograms grow as needed; only values past any day's length fail.
            let _ = of_class.first_ms.record(first_ms);
        }
    }

    pub(crate) fn refused_again(&mut self, class: &str) {
        if let Some(of_class) = self.classes.get_mut(class) {
            of_class.refused_again += 1;
        }
    }

    /// Requests in all.
    pub fn asked(&self) -> u64 {
        self.classes.values().map(ClassOutcome::asked).sum()
    }

    /// Requests with an end.
    pub fn count(&self, end: End) -> u64 {
        self.classes.values().map(|class| class.count(end)).sum()
    }

    /// One of [`FIGURES`].
    pub fn figure(&self, name: &str) -> f64 {
        let asked = (self.asked() as f64).max(1.0);
        let share = |count: u64| count as f64 / asked;
        let owed: f64 = self.classes.values().map(ClassOutcome::owed).sum::<f64>().max(1e-9);
        let earned: f64 = self.classes.values().map(ClassOutcome::earned).sum();
        let served = share(self.count(End::OnTime) + self.count(End::Late));
        let again = self.classes.values().map(|class| class.refused_again).sum::<u64>();
        match name {
            "worth" => self.worth(owed, earned),
            "credit" => earned / owed,
            "served" => served,
            "nines" => nines(served),
            "on_time" => share(self.count(End::OnTime)),
            "refused" => share(self.count(End::Refused)),
            "refused_again" => share(again),
            "cold_p99_ms" => self.cold_ms.value_at_quantile(0.99) as f64,
            "idle_share" => self.idle_share,
            "far_loads" => self.far_loads as f64,
            "orders" => self.orders as f64,
            _ => f64::NAN,
        }
    }

    /// Credit and served requests together, less what second refusals and callers that were
    /// held in vain cost.
    fn worth(&self, owed: f64, earned: f64) -> f64 {
        let asked = (self.asked() as f64).max(1.0);
        let served = (self.count(End::OnTime) + self.count(End::Late)) as f64 / asked;
        let lost = self.classes.values().map(|class| {
            let again = class.refused_again as f64 * REFUSED_AGAIN_PART;
            (again + class.held_in_vain) * class.worth
        });
        0.7 * earned / owed + 0.3 * nines(served) - lost.sum::<f64>() / owed
    }
}

/// The share of served requests on a logarithmic scale: 0.9 is a third, 0.999 all of it.
fn nines(served: f64) -> f64 {
    let unserved = (1.0 - served).max(10f64.powf(-FULL_NINES));
    (-unserved.log10() / FULL_NINES).clamp(0.0, 1.0)
}
