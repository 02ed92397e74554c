//! Reports of outcomes, as text, JSON and HTML.

use crate::{
    experiment::VariantOutcomes,
    outcome::{FIGURES, Outcome, RequestEnd},
    plot,
};
use serde_json::{Value, json};
use std::fmt::Write;

/// Ends of requests with their titles, in the order of a report.
const ENDS: [(RequestEnd, &str); 5] = [
    (RequestEnd::OnTime, "on time"),
    (RequestEnd::Late, "late"),
    (RequestEnd::Refused, "refused"),
    (RequestEnd::Left, "left"),
    (RequestEnd::Failed, "failed"),
];

/// Returns the outcome of one run as text.
pub fn run_text(outcome: &Outcome) -> String {
    let mut text = String::new();
    for (name, class) in &outcome.classes {
        let ends = ENDS.iter().map(|(end, title)| format!("{title} {}", class.count(*end)));
        let ends: Vec<String> = ends.collect();
        let quantile = |quantile: f64| class.first_ms.value_at_quantile(quantile);
        let (p50, p99) = (quantile(0.5), quantile(0.99));
        let _ = writeln!(
            text,
            "{name}: {}; first event p50 {p50} ms, p99 {p99} ms; refused again {}",
            ends.join(", "),
            class.refused_again,
        );
    }
    for figure in FIGURES {
        let _ = writeln!(text, "{figure}: {:.4}", outcome.figure(figure));
    }
    let Outcome { local_loads, sends, refused_sends, overfilled, starved, events, .. } = outcome;
    let _ = writeln!(
        text,
        "{local_loads} near loads, {sends} sends, {refused_sends} of them refused; {overfilled} \
         orders would have overfilled an engine, {starved} models starved; {events} events"
    );
    text
}

/// Returns the outcome of one run as JSON.
pub fn run_json(outcome: &Outcome) -> Value {
    let classes = outcome.classes.iter().map(|(name, class)| {
        let ends = ENDS.iter().map(|(end, title)| ((*title).to_owned(), class.count(*end).into()));
        let ends: serde_json::Map<String, Value> = ends.collect();
        let quantile = |quantile: f64| class.first_ms.value_at_quantile(quantile);
        let content = json!({
            "ends": ends, "first_p50_ms": quantile(0.5), "first_p99_ms": quantile(0.99),
            "refused_again": class.refused_again,
        });
        (name.clone(), content)
    });
    let classes: serde_json::Map<String, Value> = classes.collect();
    let figures = FIGURES.iter().map(|name| ((*name).to_owned(), outcome.figure(name).into()));
    let figures: serde_json::Map<String, Value> = figures.collect();
    json!({
        "classes": classes, "figures": figures, "overfilled": outcome.overfilled,
        "starved": outcome.starved, "events": outcome.events,
    })
}

/// Returns a table in Markdown with a row for each variant: its mean figures, and the difference
/// of its worth to that of the first variant.
pub fn table(results: &[VariantOutcomes]) -> String {
    let mut text = String::from("| variant |");
    for figure in FIGURES {
        let _ = write!(text, " {figure} |");
    }
    text.push_str(" worth against the first |\n|---|");
    text.push_str(&"---|".repeat(FIGURES.len() + 1));
    text.push('\n');
    for variant in results {
        let _ = write!(text, "| {} |", variant.name);
        for figure in FIGURES {
            let _ = write!(text, " {} |", number(variant.mean(figure)));
        }
        let difference = variant.difference(&results[0], "worth");
        let part = |ppm: i64| ppm as f64 / 1e6;
        let mark = if difference.is_significant() { "" } else { " (not certain)" };
        let _ = writeln!(
            text,
            " {:+.4} [{:+.4}, {:+.4}]{mark} |",
            part(difference.mean_ppm),
            part(difference.lower_ppm),
            part(difference.upper_ppm),
        );
    }
    text
}

/// Formats a value with four decimals, or without decimals from 10 on.
fn number(value: f64) -> String {
    match value {
        value if value.abs() < 10.0 => format!("{value:.4}"),
        value => format!("{value:.0}"),
    }
}

/// Returns the mean figures of all variants and their differences to the first, as JSON.
pub fn table_json(results: &[VariantOutcomes]) -> Value {
    let variants = results.iter().map(|variant| {
        let figures = FIGURES.iter().map(|figure| {
            let difference = variant.difference(&results[0], figure);
            let content = json!({
                "mean": variant.mean(figure),
                "difference_ppm":
                    [difference.mean_ppm, difference.lower_ppm, difference.upper_ppm],
            });
            ((*figure).to_owned(), content)
        });
        let figures: serde_json::Map<String, Value> = figures.collect();
        json!({"name": variant.name, "seeds": variant.outcomes.len(), "figures": figures})
    });
    variants.collect()
}

/// Returns an HTML page with the table and plots of some figures.
///
/// # Errors
///
/// Fails if a plot cannot be drawn.
pub fn page(title: &str, results: &[VariantOutcomes]) -> crate::error::Result<String> {
    let mut text = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n\
         <style>body{{font:15px/1.5 sans-serif;max-width:72em;margin:2em auto;padding:0 1em}}\
         table{{border-collapse:collapse;font-size:13px}}td,th{{border:1px solid #ccc;\
         padding:.25em .5em;text-align:right}}td:first-child{{text-align:left}}</style>\
         </head><body>\n<h1>{0}</h1>\n",
        escape(title)
    );
    let seeds = results.first().map_or(0, |variant| variant.outcomes.len());
    let _ = writeln!(
        text,
        "<p>{seeds} seeds each; the differences are to <b>{}</b>, over the same seeds, with \
         their 95 % confidence interval.</p>",
        escape(results.first().map_or("", |variant| variant.name.as_str()))
    );
    text.push_str("<table><tr><th>variant</th>");
    for figure in FIGURES {
        let _ = write!(text, "<th>{figure}</th>");
    }
    text.push_str("<th>worth against the first</th></tr>\n");
    for line in table(results).lines().skip(2) {
        let cells = line.trim_matches('|').split('|');
        let cells = cells.map(|cell| format!("<td>{}</td>", escape(cell.trim())));
        let _ = writeln!(text, "<tr>{}</tr>", cells.collect::<String>());
    }
    text.push_str("</table>\n");
    for figure in ["worth", "served", "cold_p99_ms", "idle_share"] {
        text.push_str(&plot::variants(figure, results)?);
    }
    text.push_str("</body></html>\n");
    Ok(text)
}

/// Escapes the characters that have a meaning in HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
