//! Presents the outcomes of experiments: a Markdown table, and an SVG chart of the members' observations over time.

use super::outcome::{Outcome, Sample};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, WHITE,
};

/// The width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);
const RUNNING_COLOUR: RGBColor = RGBColor(90, 90, 90);
const CONVERGED_COLOUR: RGBColor = RGBColor(0, 114, 178);
const MIN_ESTIMATE_COLOUR: RGBColor = RGBColor(213, 94, 0);
const MAX_ESTIMATE_COLOUR: RGBColor = RGBColor(240, 190, 110);

/// The header of the table of outcomes.
const TABLE_HEAD: &str = "| experiment | members | seed | killed | known to all, median s | 99 % s \
    | false positives | converged after s | datagrams/s | bytes/s | us/s |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// A chart could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ChartError(#[from] DrawingAreaErrorKind<std::io::Error>);

/// A line of the chart: one value of each sample.
struct Curve {
    label: &'static str,
    colour: RGBColor,
    value: fn(&Sample) -> f64,
}

/// The chart's lines, in the order in which they are drawn.
const CURVES: [Curve; 4] = [
    Curve {
        label: "highest estimate of gatherers",
        colour: MAX_ESTIMATE_COLOUR,
        value: |sample| f64::from(sample.max_estimate),
    },
    Curve {
        label: "lowest estimate of gatherers",
        colour: MIN_ESTIMATE_COLOUR,
        value: |sample| f64::from(sample.min_estimate),
    },
    Curve { label: "running members", colour: RUNNING_COLOUR, value: |sample| sample.living as f64 },
    Curve {
        label: "members that observe exactly those",
        colour: CONVERGED_COLOUR,
        value: |sample| sample.converged as f64,
    },
];

/// A Markdown table with one row for each outcome.
#[must_use]
pub fn table(outcomes: &[Outcome]) -> String {
    let mut out = String::from(TABLE_HEAD);
    outcomes.iter().for_each(|outcome| out.push_str(&table_row(outcome)));
    out
}

fn table_row(outcome: &Outcome) -> String {
    let seconds = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
    let undetected = match outcome.undetected() {
        0 => String::new(),
        count => format!(" ({count} never)"),
    };
    format!(
        "| {} | {} | {} | {}{undetected} | {} | {} | {} | {} | {:.1} | {:.0} | {:.0} |\n",
        outcome.title,
        outcome.members,
        outcome.seed,
        outcome.killed,
        seconds(outcome.detection_quantile(0.5)),
        seconds(outcome.detection_quantile(0.99)),
        outcome.false_positive_count(),
        seconds(outcome.converged_after_s),
        outcome.datagrams_per_s,
        outcome.bytes_per_s,
        outcome.cpu_us,
    )
}

/// A chart of the outcome over time, as SVG.
///
/// # Errors
/// The drawing library cannot draw the chart.
pub fn svg(outcome: &Outcome) -> Result<String, ChartError> {
    let mut text = String::new();
    draw(outcome, &mut text)?;
    Ok(text)
}

fn draw(outcome: &Outcome, text: &mut String) -> Result<(), ChartError> {
    let area = SVGBackend::with_string(text, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let end = outcome.samples.last().map_or(1.0, |sample| sample.at);
    let max_estimate = outcome.samples.iter().map(|sample| sample.max_estimate).max();
    let top = max_estimate.unwrap_or(0).max(outcome.members as u32);
    let caption = format!("{}: {} members, seed {}", outcome.title, outcome.members, outcome.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(top) * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("members").disable_x_mesh().draw()?;
    for Curve { label, colour, value } in CURVES {
        let points = outcome.samples.iter().map(|sample| (sample.at, value(sample)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(RUNNING_COLOUR).draw()?;
    area.present()?;
    Ok(())
}
