//! What came of an experiment, for people: a table, and a chart of what all knew beside the truth.

use super::play::{Moment, Outcome};
use plotters::prelude::*;
use std::fmt::Write;

const SIZE: (u32, u32) = (900, 420);
const TRUTH: RGBColor = RGBColor(90, 90, 90);
const KNOWN: RGBColor = RGBColor(0, 114, 178);
const LEAST: RGBColor = RGBColor(213, 94, 0);
const MOST: RGBColor = RGBColor(240, 190, 110);

/// What a curve shows, its colour, and its value at a moment.
type Curve = (&'static str, RGBColor, fn(&Moment) -> f64);

/// A line of a table for each outcome.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut out = String::from(
        "| experiment | members | seed | killed | known to all, median s | 99 % s | buried alive | agreed after s | datagrams/s | bytes/s | us/s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let seconds = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
    for outcome in outcomes {
        let buried: usize = outcome.buried_alive.values().sum();
        let never = outcome.killed - outcome.known_in.len();
        let late = if never > 0 { format!(" ({never} never)") } else { String::new() };
        let _ = writeln!(
            out,
            "| {} | {} | {} | {}{late} | {} | {} | {buried} | {} | {:.1} | {:.0} | {:.0} |",
            outcome.title,
            outcome.members,
            outcome.seed,
            outcome.killed,
            seconds(outcome.known(0.5)),
            seconds(outcome.known(0.99)),
            seconds(outcome.agreed_after),
            outcome.datagrams,
            outcome.bytes,
            outcome.cpu_us,
        );
    }
    out
}

/// A chart over the play, as SVG.
pub fn svg(outcome: &Outcome) -> Result<String, String> {
    let mut text = String::new();
    draw(outcome, &mut text).map_err(|error| error.to_string())?;
    Ok(text)
}

fn draw(outcome: &Outcome, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let last = outcome.moments.last().map_or(1.0, |moment| moment.at);
    let top = outcome.moments.iter().map(|moment| moment.most).max().unwrap_or(0).max(outcome.members as u32);
    let caption = format!("{}: {} members, seed {}", outcome.title, outcome.members, outcome.seed);
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..last, 0.0..f64::from(top) * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("members").disable_x_mesh().draw()?;
    let lines: [Curve; 4] = [
        ("greatest number gone by", MOST, |moment| f64::from(moment.most)),
        ("least number gone by", LEAST, |moment| f64::from(moment.least)),
        ("living (the truth)", TRUTH, |moment| moment.living as f64),
        ("members that see just those", KNOWN, |moment| moment.agreeing as f64),
    ];
    for (label, colour, value) in lines {
        let points = outcome.moments.iter().map(|moment| (moment.at, value(moment)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(TRUTH).draw()?;
    root.present()?;
    Ok(())
}
