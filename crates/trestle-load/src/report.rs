//! The report of a run.

use crate::{check::Verdict, plan::Stream, send::RequestResult};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::{collections::BTreeMap, fmt::Write, time::Duration};

/// Significant decimal digits of the histograms.
const DIGITS: u8 = 3;
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)];

/// The results of a run.
#[derive(Default)]
pub(crate) struct Report {
    pub(crate) took: Duration,
    pub(crate) violations: Vec<String>,
    groups: BTreeMap<(String, String), Group>,
}

/// Results of the requests of one tenant and class.
struct Group {
    verdicts: BTreeMap<String, u64>,
    done_us: Histogram<u64>,
    refused_us: Histogram<u64>,
    cold_wait_ms: Histogram<u64>,
}

impl Group {
    fn new() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("three digits are allowed");
        Self {
            verdicts: BTreeMap::new(),
            done_us: histogram(),
            refused_us: histogram(),
            cold_wait_ms: histogram(),
        }
    }
}

impl Report {
    /// Adds the result of one request.
    pub(crate) fn add(&mut self, stream: &Stream, result: &RequestResult) {
        let key = (stream.tenant.clone(), stream.class.clone());
        let group = self.groups.entry(key).or_insert_with(Group::new);
        let name = match &result.verdict {
            Verdict::Done => "done".to_owned(),
            Verdict::NotRun(code) => format!("not_run:{code}"),
            Verdict::Unknown(code) => format!("unknown:{code}"),
            Verdict::Violation(_) => "violation".to_owned(),
            Verdict::Broken(_) => "broken".to_owned(),
        };
        *group.verdicts.entry(name).or_default() += 1;
        let took_us = result.took.as_micros() as u64;
        match &result.verdict {
            Verdict::Done => record(&mut group.done_us, took_us),
            Verdict::NotRun(_) => record(&mut group.refused_us, took_us),
            Verdict::Violation(text) | Verdict::Broken(text) => {
                self.violations.push(format!("{} {}: {text}", stream.tenant, stream.class));
            }
            Verdict::Unknown(_) => {}
        }
        if let Some(wait_ms) = result.cold_wait_ms {
            record(&mut group.cold_wait_ms, wait_ms);
        }
    }

    /// Returns the report as JSON.
    pub(crate) fn to_json(&self) -> Value {
        let groups: Vec<Value> = self
            .groups
            .iter()
            .map(|((tenant, class), group)| {
                json!({
                    "tenant": tenant,
                    "class": class,
                    "verdicts": group.verdicts,
                    "done_us": quantiles(&group.done_us),
                    "refused_us": quantiles(&group.refused_us),
                    "cold_wait_ms": quantiles(&group.cold_wait_ms),
                    "cold": group.cold_wait_ms.len(),
                })
            })
            .collect();
        let took_ms = self.took.as_millis() as u64;
        json!({"took_ms": took_ms, "groups": groups, "violations": self.violations})
    }

    /// Returns the report as text, with at most ten violations.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        for ((tenant, class), group) in &self.groups {
            let verdicts: Vec<String> =
                group.verdicts.iter().map(|(name, count)| format!("{name} {count}")).collect();
            let _ = writeln!(text, "{tenant} {class}: {}", verdicts.join(", "));
            write_quantiles(&mut text, "answers, ms", &group.done_us, 1e3);
            write_quantiles(&mut text, "refusals, ms", &group.refused_us, 1e3);
            write_quantiles(&mut text, "cold waits, ms", &group.cold_wait_ms, 1.0);
        }
        for violation in self.violations.iter().take(10) {
            let _ = writeln!(text, "VIOLATION {violation}");
        }
        let count = self.violations.len();
        let _ = writeln!(text, "{count} violations in {:.1} s", self.took.as_secs_f64());
        text
    }
}

/// Records a value; the histogram resizes as needed.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    // Recording fails only for values far beyond the duration of any run.
    let _ = histogram.record(value);
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let values = QUANTILES.iter().map(|(name, quantile)| {
        ((*name).to_owned(), Value::from(histogram.value_at_quantile(*quantile)))
    });
    Value::Object(values.chain([("max".to_owned(), histogram.max().into())]).collect())
}

fn write_quantiles(text: &mut String, name: &str, histogram: &Histogram<u64>, divisor: f64) {
    if histogram.is_empty() {
        return;
    }
    let values = QUANTILES.iter().map(|(label, quantile)| {
        format!("{label} {:.1}", histogram.value_at_quantile(*quantile) as f64 / divisor)
    });
    let values: Vec<String> = values.collect();
    let max = histogram.max() as f64 / divisor;
    let _ = writeln!(text, "  {name}: {}, max {max:.1} ({})", values.join(", "), histogram.len());
}
