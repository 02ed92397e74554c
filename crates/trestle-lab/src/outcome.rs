//! The outcome of a simulated run.

use crate::deployment::{Class, Deployment};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Share of a request's worth that is lost when its caller is rejected again.
const REPEATED_REFUSAL_COST: f64 = 0.3;
/// Negative decimal logarithm of the unserved share at which the logarithmic share of served
/// requests is 1.
const MAX_NINES: f64 = 3.0;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// How one caller's request ended.
#[trestle_macros::key]
#[derive(Copy)]
pub enum RequestEnd {
    /// The answer was on time, counted from the first attempt, and had no long pause.
    OnTime,
    /// The answer was complete but late.
    Late,
    /// The request was rejected, and no retry of its caller was served.
    Refused,
    /// The caller left, or its time was over.
    Left,
    /// An engine failed the request or stopped, and no attempt was left.
    Failed,
}

/// The outcome of one class of requests.
#[derive(Debug, Clone)]
pub struct ClassOutcome {
    /// Number of requests by their end.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Number of requests that ended with a rejection after at least one retry.
    pub refused_again: u64,
    /// Time from the first attempt to the first event of served requests.
    pub first_ms: Histogram<u64>,
    worth: f64,
    worth_late: f64,
    wasted_wait: f64,
}

/// The outcome of a simulated run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Outcomes by the name of the class.
    pub classes: BTreeMap<String, ClassOutcome>,
    /// Times to the first event of requests whose model was on no engine when they were made; a
    /// request that was not served counts with its deadline.
    pub cold_ms: Histogram<u64>,
    /// Share of the engines' memory, over time, that held models without requests.
    pub idle_share: f64,
    /// Number of orders that engines accepted.
    pub orders: u64,
    /// Number of loads from the weight store.
    pub remote_loads: u64,
    /// Number of loads from copies in an engine's memory or on its disk.
    pub local_loads: u64,
    /// Number of sends that engines rejected.
    pub refused_sends: u64,
    /// Number of all sends.
    pub sends: u64,
    /// Number of orders that would have exceeded the room of an engine; it must be 0.
    pub overfilled: u64,
    /// Number of models that were requested four times or more and never served.
    pub starved: u64,
    /// Number of events of the simulation.
    pub events: u64,
}

/// Names of the figures by which runs are compared.
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
            wasted_wait: 0.0,
        }
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.ends.values().sum()
    }

    /// Returns the number of requests with an end.
    pub fn count(&self, end: RequestEnd) -> u64 {
        self.ends.get(&end).copied().unwrap_or_default()
    }

    fn max_worth(&self) -> f64 {
        self.total() as f64 * self.worth
    }

    fn earned(&self) -> f64 {
        self.count(RequestEnd::OnTime) as f64 * self.worth
            + self.count(RequestEnd::Late) as f64 * self.worth_late
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
            remote_loads: 0,
            local_loads: 0,
            refused_sends: 0,
            sends: 0,
            overfilled: 0,
            starved: 0,
            events: 0,
        }
    }

    /// Records the end of a request. If its caller left before it was sent, `wasted_share` is the
    /// time that its last attempt waited, as a share of its deadline; otherwise it is 0.
    pub(crate) fn record_end(
        &mut self,
        class: &str,
        end: RequestEnd,
        first_ms: Option<u64>,
        wasted_share: f64,
    ) {
        let Some(of_class) = self.classes.get_mut(class) else { return };
        *of_class.ends.entry(end).or_default() += 1;
        of_class.wasted_wait += wasted_share;
        if let Some(first_ms) = first_ms {
            // Recording fails only for values beyond the length of any run.
            let _ = of_class.first_ms.record(first_ms);
        }
    }

    pub(crate) fn record_repeated_refusal(&mut self, class: &str) {
        if let Some(of_class) = self.classes.get_mut(class) {
            of_class.refused_again += 1;
        }
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.classes.values().map(ClassOutcome::total).sum()
    }

    /// Returns the number of requests with an end.
    pub fn count(&self, end: RequestEnd) -> u64 {
        self.classes.values().map(|class| class.count(end)).sum()
    }

    /// Returns one of [`FIGURES`], or NaN for an unknown name.
    pub fn figure(&self, name: &str) -> f64 {
        let total = (self.total() as f64).max(1.0);
        let share = |count: u64| count as f64 / total;
        let max_worth: f64 =
            self.classes.values().map(ClassOutcome::max_worth).sum::<f64>().max(1e-9);
        let earned: f64 = self.classes.values().map(ClassOutcome::earned).sum();
        let served = share(self.count(RequestEnd::OnTime) + self.count(RequestEnd::Late));
        let repeated = self.classes.values().map(|class| class.refused_again).sum::<u64>();
        match name {
            "worth" => self.worth(max_worth, earned),
            "credit" => earned / max_worth,
            "served" => served,
            "nines" => nines(served),
            "on_time" => share(self.count(RequestEnd::OnTime)),
            "refused" => share(self.count(RequestEnd::Refused)),
            "refused_again" => share(repeated),
            "cold_p99_ms" => self.cold_ms.value_at_quantile(0.99) as f64,
            "idle_share" => self.idle_share,
            "far_loads" => self.remote_loads as f64,
            "orders" => self.orders as f64,
            _ => f64::NAN,
        }
    }

    /// Returns the worth of the run: credit and the logarithmic share of served requests, less the
    /// cost of repeated rejections and of callers that left after waiting for nothing.
    fn worth(&self, max_worth: f64, earned: f64) -> f64 {
        let total = (self.total() as f64).max(1.0);
        let served = (self.count(RequestEnd::OnTime) + self.count(RequestEnd::Late)) as f64 / total;
        let losses = self.classes.values().map(|class| {
            let repeated = class.refused_again as f64 * REPEATED_REFUSAL_COST;
            (repeated + class.wasted_wait) * class.worth
        });
        0.7 * earned / max_worth + 0.3 * nines(served) - losses.sum::<f64>() / max_worth
    }
}

/// Returns the share of served requests on a logarithmic scale: 0.9 gives a third, 0.999 or more
/// gives 1.
fn nines(served: f64) -> f64 {
    let unserved = (1.0 - served).max(10f64.powf(-MAX_NINES));
    (-unserved.log10() / MAX_NINES).clamp(0.0, 1.0)
}
