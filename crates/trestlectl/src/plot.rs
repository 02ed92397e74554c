//! Draws plots as SVG.

use plotters::prelude::*;
use std::collections::BTreeMap;

const SIZE: (u32, u32) = (900, 360);
const COLORS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, BLACK, RGBColor(200, 120, 0)];

/// Draws a scatter plot of named series over time in seconds, with a logarithmic y axis.
///
/// Returns the error as an HTML paragraph if the plot cannot be drawn.
pub(crate) fn scatter(title: &str, series: &BTreeMap<String, Vec<(f64, f64)>>) -> String {
    let mut svg = String::new();
    match draw(&mut svg, title, series) {
        Ok(()) => svg,
        Err(error) => format!("<p>{title}: no plot ({error})</p>"),
    }
}

fn draw(
    svg: &mut String,
    title: &str,
    series: &BTreeMap<String, Vec<(f64, f64)>>,
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || series.values().flatten();
    let from_s = all().map(|point| point.0).fold(f64::MAX, f64::min);
    let to_s = all().map(|point| point.0).fold(f64::MIN, f64::max);
    if from_s > to_s {
        return Err("there are no points to plot".into());
    }
    let max_value = all().map(|point| point.1).fold(10.0, f64::max);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..(to_s - from_s).max(1.0), (1.0..max_value * 1.2).log_scale())?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (number, (name, series)) in series.iter().enumerate() {
        let color = COLORS[number % COLORS.len()];
        let dots = series
            .iter()
            .map(|(at_s, value)| Circle::new((at_s - from_s, value.max(1.0)), 2, color.filled()));
        chart
            .draw_series(dots)?
            .label(name)
            .legend(move |(x, y)| Circle::new((x, y), 3, color.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    drop(chart);
    Ok(())
}
