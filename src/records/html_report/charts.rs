//! Charts of the HTML report, as SVG inside the page.

use super::{END_COLUMNS, time_of_day};
use crate::records::summary::QueryCounts;
use maud::{Markup, PreEscaped};
use plotters::coord::Shift;
use plotters::coord::ranged1d::ValueFormatter;
use plotters::coord::types::RangedCoordu64;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Color, DrawingArea, IntoDrawingArea, IntoFont, LineSeries,
    RGBColor, Ranged, Rectangle, SVGBackend,
};

/// Width and height of a chart in SVG units; the page scales the chart.
const CHART_SIZE: (u32, u32) = (900, 220);
/// Colour of text and lines, readable on dark and on light pages.
const AXIS_COLOUR: RGBColor = RGBColor(128, 134, 139);
/// Colour of the median latency.
const P50_COLOUR: RGBColor = END_COLUMNS[0].colour;
/// Colour of the 99th percentile of latency.
const P99_COLOUR: RGBColor = END_COLUMNS[3].colour;

/// Queries of one class in a time step.
pub(super) struct QueryStep {
    /// Start of the step, in Unix milliseconds.
    pub start_ms: u64,
    /// Number of queries by how they ended.
    pub counts: QueryCounts,
}

/// Latencies of one class in a time step.
pub(super) struct LatencyStep {
    /// Start of the step, in Unix milliseconds.
    pub start_ms: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// Draws a chart. A chart that cannot be drawn is left out: its values are also in the JSON report.
fn draw_chart(draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, Shift>) -> Option<()>) -> Option<Markup> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        draw(&area)?;
        area.present().ok()?;
    }
    Some(PreEscaped(svg))
}

/// Draws the numbers of queries by how they ended, stacked, in steps of `step_ms` milliseconds.
pub(super) fn query_chart(step_ms: u64, steps: &[QueryStep]) -> Option<Markup> {
    let (first_ms, last_ms) = (steps.first()?.start_ms, steps.last()?.start_ms + step_ms);
    let max = steps.iter().map(|step| step.counts.ended() + step.counts.unknown).max()?.max(1);
    draw_chart(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(first_ms..last_ms, 0..max + max / 20)
            .ok()?;
        draw_axes(&mut chart, &|count: &u64| count.to_string())?;
        for step in steps {
            let mut bar_bottom = 0;
            for end in &END_COLUMNS {
                let bar_top = bar_bottom + (end.count)(&step.counts);
                let corners = [(step.start_ms, bar_bottom), (step.start_ms + step_ms, bar_top)];
                let bar = Rectangle::new(corners, end.colour.filled());
                chart.draw_series(std::iter::once(bar)).ok()?;
                bar_bottom = bar_top;
            }
        }
        Some(())
    })
}

/// Draws the median and the 99th percentile of the latency, in steps of `step_ms` milliseconds.
pub(super) fn latency_chart(step_ms: u64, steps: &[LatencyStep]) -> Option<Markup> {
    let (first_ms, last_ms) = (steps.first()?.start_ms, steps.last()?.start_ms + step_ms);
    let max_ms = steps.iter().map(|step| step.p99_ms).fold(1.0, f64::max);
    draw_chart(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(first_ms..last_ms, 0.0..max_ms * 1.05)
            .ok()?;
        draw_axes(&mut chart, &|value: &f64| format!("{value:.0}"))?;
        let middle_ms = |step: &LatencyStep| step.start_ms + step_ms / 2;
        let p50 = steps.iter().map(|step| (middle_ms(step), step.p50_ms));
        chart.draw_series(LineSeries::new(p50, P50_COLOUR.stroke_width(2))).ok()?;
        let p99 = steps.iter().map(|step| (middle_ms(step), step.p99_ms));
        chart.draw_series(LineSeries::new(p99, P99_COLOUR.stroke_width(2))).ok()?;
        Some(())
    })
}

/// Draws the axes: time of day on the x axis, and values with the labels of `y_label` on the y axis.
fn draw_axes<Y: ValueFormatter<<Y as Ranged>::ValueType> + Ranged>(
    chart: &mut ChartContext<'_, SVGBackend<'_>, Cartesian2d<RangedCoordu64, Y>>,
    y_label: &dyn Fn(&<Y as Ranged>::ValueType) -> String,
) -> Option<()> {
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(8)
        .y_labels(5)
        .x_label_formatter(&|ms: &u64| time_of_day(*ms))
        .y_label_formatter(y_label)
        .axis_style(AXIS_COLOUR)
        .light_line_style(AXIS_COLOUR.mix(0.0))
        .bold_line_style(AXIS_COLOUR.mix(0.25))
        .label_style(("sans-serif", 12).into_font().color(&AXIS_COLOUR))
        .draw()
        .ok()
}
