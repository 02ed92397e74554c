//! Tables and plots of the results.

use crate::{
    policy::Policy,
    simulate::{Outcome, simulate},
    workload::{Deployment, MINUTE_MS, SECOND_MS},
};
use plotters::prelude::*;
use std::{error::Error, fmt::Write, path::Path};

const SIZE: (u32, u32) = (760, 440);

/// Fixed keep times that are compared, in milliseconds.
pub const FIXED_MS: [u64; 10] = [
    0,
    30 * SECOND_MS,
    MINUTE_MS,
    2 * MINUTE_MS,
    5 * MINUTE_MS,
    10 * MINUTE_MS,
    20 * MINUTE_MS,
    60 * MINUTE_MS,
    240 * MINUTE_MS,
    u64::MAX,
];
/// Values of the idle time per unit of waiting that are compared.
pub const PRICES: [u64; 8] = [2, 5, 10, 20, 50, 100, 200, 500];

/// One row of a table: a policy and its outcome.
pub type Row = (Policy, Outcome);

/// Simulates every policy on a deployment and returns the outcomes.
pub fn rows(deployment: &Deployment) -> Vec<Row> {
    let fixed = FIXED_MS.iter().map(|keep_ms| Policy::Fixed { keep_ms: *keep_ms });
    let priced = |windows, usage_profiles| {
        PRICES.iter().map(move |price| Policy::Price {
            idle_per_wait: *price,
            windows,
            usage_profiles,
        })
    };
    let foresight = PRICES.iter().map(|price| Policy::Foresight { idle_per_wait: *price });
    let all = fixed
        .chain(priced(false, false))
        .chain(priced(true, false))
        .chain(priced(true, true))
        .chain(foresight);
    all.map(|policy| (policy, simulate(deployment, &policy))).collect()
}

/// Formats the rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| policy | cold of first requests | p50 s | p90 s | p99 s | wait in all, h | idle h |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for (policy, outcome) in rows {
        let seconds = |time_ms: u64| time_ms as f64 / 1e3;
        let _ = writeln!(
            text,
            "| {} | {} of {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.1} |",
            policy.name(),
            outcome.cold,
            outcome.first_requests,
            seconds(outcome.p50_ms),
            seconds(outcome.p90_ms),
            seconds(outcome.p99_ms),
            outcome.total_wait_ms as f64 / 3.6e6,
            outcome.idle_hours(),
        );
    }
    text
}

/// Draws the total waiting time of first requests against idle hours.
///
/// The tables show the 99th percentile instead, which changes in steps and yields no curve.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn plot(path: &Path, title: &str, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let max_idle_hours = rows
        .iter()
        .filter(|(policy, _)| *policy != Policy::Fixed { keep_ms: u64::MAX })
        .map(|(_, outcome)| outcome.idle_hours())
        .fold(1.0, f64::max);
    let max_wait_ms = rows.iter().map(|(_, outcome)| outcome.total_wait_ms).max().unwrap_or(1);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_idle_hours * 1.05, 0.0..max_wait_ms as f64 / 3.6e6 * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc("hours waited by first requests")
        .draw()?;
    for (name, color, is_in_series) in series() {
        let points = rows
            .iter()
            .filter(|(policy, _)| is_in_series(policy))
            .map(|(_, o)| (o.idle_hours(), o.total_wait_ms as f64 / 3.6e6));
        let points: Vec<(f64, f64)> = points.filter(|(idle, _)| *idle <= max_idle_hours).collect();
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
        chart.draw_series(points.into_iter().map(|point| Circle::new(point, 3, color.filled())))?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

type SeriesFilter = fn(&Policy) -> bool;

fn series() -> [(&'static str, RGBColor, SeriesFilter); 5] {
    [
        ("fixed keep time", BLUE, |policy| matches!(policy, Policy::Fixed { .. })),
        ("price", GREEN, |policy| matches!(policy, Policy::Price { windows: false, .. })),
        ("price and windows", MAGENTA, |policy| {
            matches!(policy, Policy::Price { windows: true, usage_profiles: false, .. })
        }),
        ("price, windows and habits", RED, |policy| {
            matches!(policy, Policy::Price { usage_profiles: true, .. })
        }),
        ("foresight", BLACK, |policy| matches!(policy, Policy::Foresight { .. })),
    ]
}
