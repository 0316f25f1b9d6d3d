//! The report as one HTML page that needs nothing else: findings first, then service, latency, workers and events.

use super::diagnosis::{Certainty, Finding, FindingKind};
use super::summary::{QueryCounts, Summary, TimeStep};
use jiff::Timestamp;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Columns of the workers' map and rows of a table at most; more steps are left to the charts and the JSON.
const MAX_MAP_COLUMNS: usize = 120;
const MAX_TABLE_ROWS: usize = 500;
/// Size of a chart, in its own units: it scales with the page.
const CHART_SIZE: (u32, u32) = (900, 220);
/// Text and lines of charts: readable on dark and on light.
const AXIS_COLOUR: RGBColor = RGBColor(128, 134, 139);

/// Ends in the order in which they are stacked, with their colours.
type EndColumn = (&'static str, RGBColor, fn(&QueryCounts) -> u64);
const END_COLUMNS: [EndColumn; 7] = [
    ("complete in time", RGBColor(46, 125, 80), |counts| counts.complete_in_time),
    ("complete late", RGBColor(150, 170, 60), |counts| counts.complete_late),
    ("partial", RGBColor(70, 130, 180), |counts| counts.partial),
    ("rejected", RGBColor(222, 150, 50), |counts| counts.rejected),
    ("failed", RGBColor(200, 62, 62), |counts| counts.failed),
    ("client disconnected", RGBColor(150, 110, 170), |counts| counts.client_disconnected),
    ("unknown", RGBColor(110, 70, 60), |counts| counts.unknown),
];

const STYLE: &str = "
:root{color-scheme:light dark;--line:#8886;--soft:#8882}
body{font:15px/1.45 system-ui,sans-serif;margin:0 auto;max-width:70rem;padding:1rem}
h1{font-size:1.5rem;margin:0}h2{font-size:1.15rem;margin:2rem 0 .5rem}h3{font-size:1rem;margin:1rem 0 .25rem}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}
th,td{padding:.2rem .6rem;text-align:right;border-bottom:1px solid var(--line);white-space:nowrap}
th:first-child,td:first-child,td.text,th.text{text-align:left;white-space:normal}
.wide{overflow-x:auto}.map td{padding:0;min-width:.55rem;height:1.1rem;border:0}.map td:first-child{padding-right:.6rem}
.finding{border-left:.3rem solid #c83e3e;background:var(--soft);padding:.5rem .8rem;margin:.5rem 0}
.finding.possible{border-color:#de9632}.finding b{font-size:1.05rem}.quiet{opacity:.75}
svg{width:100%;height:auto}.key span{display:inline-block;width:.8rem;height:.8rem;margin:0 .3rem 0 .9rem}
@media print{body{max-width:none}details{display:block}.finding{break-inside:avoid}}
";

fn date_time(ms: u64) -> String {
    let moment = i64::try_from(ms).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
    moment.map_or_else(|| ms.to_string(), |moment| moment.strftime("%Y-%m-%d %H:%M:%S").to_string())
}

fn time_of_day(ms: u64) -> String {
    date_time(ms).split_off(11)
}

/// What a finding says, in words.
pub fn finding_title(what: &FindingKind) -> String {
    match what {
        FindingKind::Death { gatherer, incarnation: start } => format!("{gatherer} died (start {start})"),
        FindingKind::RestartLoop { gatherer } => format!("{gatherer} dies again and again"),
        FindingKind::FleetSlow => "The whole fleet was slow".to_owned(),
        FindingKind::WorkerSlow { worker } => format!("Worker {worker} was slow"),
        FindingKind::WorkerUnresponsive { worker } => format!("Worker {worker} lost what it was sent"),
        FindingKind::Overload => "Clients asked for more than could be served".to_owned(),
        FindingKind::RecordsMissing { gatherer } => format!("Records of {gatherer} are missing"),
    }
}

fn certainty_label(certainty: Certainty) -> &'static str {
    match certainty {
        Certainty::Certain => "certain",
        Certainty::Likely => "likely",
        Certainty::Possible => "possible",
    }
}

/// The page of these records; `faults` are lines that did not count, of `damaged` in all.
pub fn render(summary: &Summary, findings: &[Finding], faults: &[String], damaged: u64) -> String {
    let classes = summary.totals_by_class();
    let first = summary.incarnations.values().map(|seen| seen.first_ms).min().unwrap_or(0);
    let last = summary.incarnations.values().map(|seen| seen.last_ms).max().unwrap_or(0);
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width,initial-scale=1";
                title { "Report " (date_time(first)) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "What happened" }
                p.quiet {
                    (date_time(first)) " to " (date_time(last)) " UTC, " (summary.incarnations.len()) " incarnations, in steps of "
                    (summary.step_ms() / 1000) " s"
                }
                h2 { "Findings" }
                @if findings.is_empty() { p { "Nothing out of the ordinary." } }
                @for finding in findings { (finding_card(finding)) }
                h2 { "Queries" }
                (class_totals(&classes))
                p.key { @for (name, colour, _) in END_COLUMNS { span style={"background:" (hex(colour))} {} (name) } }
                @for class in classes.keys() { (class_section(summary, class)) }
                (tenant_totals(summary))
                h2 { "Workers" }
                (worker_map(summary))
                h2 { "Timeline" }
                (timeline(summary))
                h2 { "Records" }
                (record_section(summary, faults, damaged))
            }
        }
    }
    .into_string()
}

fn hex(colour: RGBColor) -> String {
    format!("#{:02x}{:02x}{:02x}", colour.0, colour.1, colour.2)
}

fn finding_card(finding: &Finding) -> Markup {
    let kind = if finding.certainty == Certainty::Possible { "finding possible" } else { "finding" };
    html! {
        div class=(kind) {
            b { (finding_title(&finding.kind)) } " " span.quiet { "(" (certainty_label(finding.certainty)) ")" }
            div { (date_time(finding.from_ms)) " to " (time_of_day(finding.to_ms)) }
            div { (finding.evidence) "." }
            @if let Some(against) = &finding.counter_evidence { div.quiet { "Against it: " (against) "." } }
        }
    }
}

fn count_header(first: &str) -> Markup {
    html! { tr { th { (first) } th { "received" } @for (name, _, _) in END_COLUMNS { th { (name) } } } }
}

fn count_row(first: &str, counts: &QueryCounts) -> Markup {
    html! { tr { td { (first) } td { (counts.received) } @for (_, _, count) in END_COLUMNS { td { (count(counts)) } } } }
}

fn class_totals(classes: &BTreeMap<String, QueryCounts>) -> Markup {
    html! { div.wide { table { (count_header("class")) @for (class, counts) in classes { (count_row(class, counts)) } } } }
}

fn sum_of_class<'a>(step: &'a TimeStep, class: &'a str) -> QueryCounts {
    let mut all = QueryCounts::default();
    step.queries.iter().filter(|((name, _), _)| name == class).for_each(|(_, counts)| all.merge(counts));
    all
}

fn class_section(summary: &Summary, class: &str) -> Markup {
    let steps: Vec<(u64, QueryCounts)> =
        summary.steps.iter().map(|(begin, step)| (*begin, sum_of_class(step, class))).collect();
    let latencies: Vec<(u64, f64, f64)> = summary
        .steps
        .iter()
        .filter_map(|(begin, step)| {
            let all = step.latency.get(class)?;
            let at = |share| all.value_at_quantile(share) as f64 / 1000.0;
            Some((*begin, at(0.5), at(0.99)))
        })
        .collect();
    html! {
        h3 { (class) }
        (query_chart(summary, &steps).unwrap_or_default())
        p.quiet { "Latency in ms, median and 99th percentile" }
        (latency_chart(summary, &latencies).unwrap_or_default())
        details {
            summary { "Counts of " (class) ", step by step" }
            div.wide { table {
                (count_header("from"))
                @for (begin, counts) in steps.iter().take(MAX_TABLE_ROWS) { (count_row(&time_of_day(*begin), counts)) }
            } }
            @if steps.len() > MAX_TABLE_ROWS { p { (steps.len() - MAX_TABLE_ROWS) " further steps are in the JSON." } }
        }
    }
}

/// Draws with this function; a chart that cannot be drawn is left out, because its values are also in the table and in the JSON.
fn draw_chart(
    draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> Option<()>,
) -> Option<Markup> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        draw(&area)?;
        area.present().ok()?;
    }
    Some(PreEscaped(svg))
}

fn query_chart(summary: &Summary, steps: &[(u64, QueryCounts)]) -> Option<Markup> {
    let (first, last) = (steps.first()?.0, steps.last()?.0 + summary.step_ms());
    let most = steps.iter().map(|(_, counts)| counts.ended() + counts.unknown).max()?.max(1);
    draw_chart(|area| {
        let mut plot = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(first..last, 0..most + most / 20)
            .ok()?;
        draw_axes(&mut plot, &|ms: &u64| time_of_day(*ms), &|count: &u64| count.to_string())?;
        for (begin, counts) in steps {
            let mut from = 0;
            for (_, colour, count) in END_COLUMNS {
                let to = from + count(counts);
                let bar = Rectangle::new([(*begin, from), (begin + summary.step_ms(), to)], colour.filled());
                plot.draw_series(std::iter::once(bar)).ok()?;
                from = to;
            }
        }
        Some(())
    })
}

fn latency_chart(summary: &Summary, steps: &[(u64, f64, f64)]) -> Option<Markup> {
    let (first, last) = (steps.first()?.0, steps.last()?.0 + summary.step_ms());
    let most = steps.iter().map(|step| step.2).fold(1.0, f64::max);
    draw_chart(|area| {
        let mut plot = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(first..last, 0.0..most * 1.05)
            .ok()?;
        draw_axes(&mut plot, &|ms: &u64| time_of_day(*ms), &|value: &f64| format!("{value:.0}"))?;
        let middle = |begin: u64| begin + summary.step_ms() / 2;
        let median = steps.iter().map(|step| (middle(step.0), step.1));
        plot.draw_series(LineSeries::new(median, END_COLUMNS[0].1.stroke_width(2))).ok()?;
        let high = steps.iter().map(|step| (middle(step.0), step.2));
        plot.draw_series(LineSeries::new(high, END_COLUMNS[3].1.stroke_width(2))).ok()?;
        Some(())
    })
}

fn draw_axes<Y: plotters::coord::ranged1d::ValueFormatter<<Y as Ranged>::ValueType> + Ranged>(
    plot: &mut ChartContext<'_, SVGBackend<'_>, Cartesian2d<plotters::coord::types::RangedCoordu64, Y>>,
    x: &dyn Fn(&u64) -> String,
    y: &dyn Fn(&<Y as Ranged>::ValueType) -> String,
) -> Option<()> {
    plot.configure_mesh()
        .disable_x_mesh()
        .x_labels(8)
        .y_labels(5)
        .x_label_formatter(x)
        .y_label_formatter(y)
        .axis_style(AXIS_COLOUR)
        .light_line_style(AXIS_COLOUR.mix(0.0))
        .bold_line_style(AXIS_COLOUR.mix(0.25))
        .label_style(("sans-serif", 12).into_font().color(&AXIS_COLOUR))
        .draw()
        .ok()
}

fn tenant_totals(summary: &Summary) -> Markup {
    let mut all: BTreeMap<(String, String), QueryCounts> = BTreeMap::new();
    for (key, counts) in summary.steps.values().flat_map(|step| &step.queries) {
        all.entry(key.clone()).or_default().merge(counts);
    }
    let name = |(class, tenant): &(String, String)| match tenant.as_str() {
        "" => format!("{class}, no tenant given"),
        tenant => format!("{class}, {tenant}"),
    };
    html! {
        details {
            summary { "By class and tenant" }
            div.wide { table { (count_header("class, tenant")) @for (key, counts) in &all { (count_row(&name(key), counts)) } } }
        }
    }
}

/// Workers by time: the redder, the more attempts got no response.
fn worker_map(summary: &Summary) -> Markup {
    let workers: BTreeSet<&String> = summary.steps.values().flat_map(|step| step.attempts.keys()).collect();
    let each = summary.steps.len().div_ceil(MAX_MAP_COLUMNS).max(1);
    let steps: Vec<(&u64, &TimeStep)> = summary.steps.iter().collect();
    let cell = |worker: &String, steps: &[(&u64, &TimeStep)]| {
        let mut all = super::metrics::AttemptMetrics::default();
        steps
            .iter()
            .filter_map(|(_, step)| step.attempts.get(worker))
            .for_each(|more| all.merge(more.clone()));
        let bad = all.total()
            - all.successful()
            - all.ends.get("cancelled").copied().unwrap_or(0).min(all.total() - all.successful());
        let share = bad as f64 / all.total().max(1) as f64;
        let hue = 130.0 * (1.0 - (share * 5.0).min(1.0));
        let colour =
            if all.total() == 0 { "transparent".to_owned() } else { format!("hsl({hue:.0} 55% 45%)") };
        let pace = all.done_us as f64 / all.successful().max(1) as f64 / 1000.0;
        let tooltip = format!(
            "{worker} {}: {} attempts, {bad} without a response, {pace:.1} ms",
            time_of_day(*steps[0].0),
            all.total()
        );
        html! { td style={"background:" (colour)} title=(tooltip) {} }
    };
    html! {
        @if workers.is_empty() { p { "No attempt is on record." } }
        div.wide { table.map {
            @for worker in workers {
                tr { td { (worker) } @for few in steps.chunks(each) { (cell(worker, few)) } }
            }
        } }
        p.quiet { "From left to right as time passes; green: got a response, red: a fifth or more got none; empty: nothing was sent." }
    }
}

fn timeline(summary: &Summary) -> Markup {
    let mut events: Vec<_> = summary.timeline.iter().collect();
    events.sort_by_key(|event| event.at_ms);
    let not_shown = events.len().saturating_sub(MAX_TABLE_ROWS) as u64 + summary.timeline_dropped;
    html! {
        div.wide { table {
            tr { th { "at" } th.text { "gatherer" } th.text { "what" } }
            @for event in events.iter().take(MAX_TABLE_ROWS) {
                tr { td { (date_time(event.at_ms)) } td.text { (event.gatherer) } td.text { (event.description) } }
            }
        } }
        @if not_shown > 0 { p { (not_shown) " further events are not shown." } }
    }
}

fn record_section(summary: &Summary, faults: &[String], damaged: u64) -> Markup {
    html! {
        div.wide { table {
            tr { th { "gatherer" } th.text { "start" } th { "from" } th { "to" } th { "end" } th { "records missing" } }
            @for ((gatherer, start), seen) in summary.incarnations.iter().take(MAX_TABLE_ROWS) {
                tr {
                    td { (gatherer) } td.text { (start) } td { (date_time(seen.first_ms)) } td { (date_time(seen.last_ms)) }
                    td { @if seen.stopped { "stop" } @else { "none on record" } } td { (seen.missing) }
                }
            }
        } }
        @if damaged > 0 {
            p { (damaged) " records are damaged and not counted:" }
            ul { @for fault in faults { li { (fault) } } }
        }
        p.quiet { "Clocks of gatherers may differ; each one's records stand at its own time." }
    }
}
