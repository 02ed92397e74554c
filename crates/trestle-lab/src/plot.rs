//! Plots in SVG.

use crate::{
    error::{PlotSnafu, Result},
    experiment::Played,
};
use plotters::prelude::*;

const WIDTH: u32 = 900;
/// Height of one variant's line.
const LINE: u32 = 26;
const MARGIN: u32 = 90;
const DOT: i32 = 3;
/// Part of the range that is left free at either side.
const FREE_PART: f64 = 0.08;

/// One line a variant, with a dot a seed and a larger one for the mean.
///
/// # Errors
///
/// Fails if it cannot be drawn.
pub fn variants(figure: &str, played: &[Played]) -> Result<String> {
    let mut svg = String::new();
    let drawn = draw(&mut svg, figure, played);
    match drawn {
        Ok(()) => Ok(svg),
        Err(error) => PlotSnafu { message: error.to_string() }.fail(),
    }
}

fn draw(
    svg: &mut String,
    figure: &str,
    played: &[Played],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let height = MARGIN + LINE * played.len() as u32;
    let root = SVGBackend::with_string(svg, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let values = played.iter().flat_map(|variant| &variant.outcomes);
    let values: Vec<f64> = values.map(|outcome| outcome.figure(figure)).collect();
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let free = ((most - least) * FREE_PART).max(1e-6);
    let lines = played.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(figure, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(190)
        .build_cartesian_2d(least - free..most + free, lines - 0.5..-0.5)?;
    let name = |line: &f64| {
        let is_whole = (line - line.round()).abs() < 1e-6;
        let variant = is_whole.then(|| played.get(line.round().max(0.0) as usize)).flatten();
        variant.map_or(String::new(), |variant| variant.name.clone())
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(2 * played.len() + 1)
        .y_label_formatter(&name)
        .draw()?;
    for (line, variant) in played.iter().enumerate() {
        let line = line as f64;
        let dots = variant.outcomes.iter().map(|outcome| {
            Circle::new((outcome.figure(figure), line), DOT, BLUE.mix(0.35).filled())
        });
        chart.draw_series(dots)?;
        let mean = Circle::new((variant.mean(figure), line), 2 * DOT, RED.filled());
        chart.draw_series([mean])?;
    }
    root.present()?;
    Ok(())
}
