//! Plots of figures in SVG.

use crate::{
    error::{PlotSnafu, Result},
    experiment::VariantOutcomes,
};
use plotters::prelude::*;

const WIDTH: u32 = 900;
/// Height of one variant's row.
const ROW_HEIGHT: u32 = 26;
const MARGIN: u32 = 90;
const DOT: i32 = 3;
/// Share of the value range that is left free at either side.
const RANGE_MARGIN: f64 = 0.08;

/// Returns a plot of one figure: a row for each variant, with a dot for each seed and a larger one
/// for the mean.
///
/// # Errors
///
/// Fails if the plot cannot be drawn.
pub fn variants(figure: &str, results: &[VariantOutcomes]) -> Result<String> {
    let mut svg = String::new();
    let drawn = draw_svg(&mut svg, figure, results);
    match drawn {
        Ok(()) => Ok(svg),
        Err(error) => PlotSnafu { message: error.to_string() }.fail(),
    }
}

fn draw_svg(
    svg: &mut String,
    figure: &str,
    results: &[VariantOutcomes],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let height = MARGIN + ROW_HEIGHT * results.len() as u32;
    let root = SVGBackend::with_string(svg, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let values = results.iter().flat_map(|variant| &variant.outcomes);
    let values: Vec<f64> = values.map(|outcome| outcome.figure(figure)).collect();
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let margin = ((max - min) * RANGE_MARGIN).max(1e-6);
    let rows = results.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(figure, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(190)
        .build_cartesian_2d(min - margin..max + margin, rows - 0.5..-0.5)?;
    let name = |row: &f64| {
        let is_row = (row - row.round()).abs() < 1e-6;
        let variant = is_row.then(|| results.get(row.round().max(0.0) as usize)).flatten();
        variant.map_or(String::new(), |variant| variant.name.clone())
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(2 * results.len() + 1)
        .y_label_formatter(&name)
        .draw()?;
    for (row, variant) in results.iter().enumerate() {
        let row = row as f64;
        let dots = variant.outcomes.iter().map(|outcome| {
            Circle::new((outcome.figure(figure), row), DOT, BLUE.mix(0.35).filled())
        });
        chart.draw_series(dots)?;
        let mean = Circle::new((variant.mean(figure), row), 2 * DOT, RED.filled());
        chart.draw_series([mean])?;
    }
    root.present()?;
    Ok(())
}
