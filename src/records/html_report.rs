//! The report as one HTML page that needs no other file: findings, then queries with their latency, workers, the
//! timeline and the records.
//!
//! The module consists of pure functions of a [`Summary`] and its findings. Programs read the report's JSON instead.

mod charts;

use self::charts::{LatencyStep, QueryStep, latency_chart, query_chart};
use super::diagnosis::{Certainty, Finding, FindingKind};
use super::metrics::AttemptMetrics;
use super::summary::{QueryCounts, QueryGroup, Summary, TimeStep};
use jiff::Timestamp;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::style::RGBColor;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of columns in the map of workers; where there are more time steps, several share a column.
const MAX_MAP_COLUMNS: usize = 120;
/// Largest number of rows in a table; the JSON has all of them.
const MAX_TABLE_ROWS: usize = 500;
/// Share of attempts without a response at which a cell of the map of workers is fully red.
const RED_AT_UNANSWERED_SHARE: f64 = 0.2;
/// Hue of a cell in which every attempt got a response, in degrees: green. Red is at zero.
const GREEN_HUE: f64 = 130.0;

/// A way in which queries end, as a column of tables and a layer of charts.
struct EndColumn {
    label: &'static str,
    colour: RGBColor,
    count: fn(&QueryCounts) -> u64,
}

/// All ways in which queries end, in the order in which charts stack them.
const END_COLUMNS: [EndColumn; 7] = [
    EndColumn {
        label: "complete in time",
        colour: RGBColor(46, 125, 80),
        count: |counts| counts.complete_in_time,
    },
    EndColumn {
        label: "complete late",
        colour: RGBColor(150, 170, 60),
        count: |counts| counts.complete_late,
    },
    EndColumn { label: "partial", colour: RGBColor(70, 130, 180), count: |counts| counts.partial },
    EndColumn { label: "rejected", colour: RGBColor(222, 150, 50), count: |counts| counts.rejected },
    EndColumn { label: "failed", colour: RGBColor(200, 62, 62), count: |counts| counts.failed },
    EndColumn {
        label: "client disconnected",
        colour: RGBColor(150, 110, 170),
        count: |counts| counts.client_disconnected,
    },
    EndColumn { label: "unknown", colour: RGBColor(110, 70, 60), count: |counts| counts.unknown },
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

/// Formats Unix milliseconds as date and time in UTC.
fn date_time(ms: u64) -> String {
    let moment = i64::try_from(ms).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
    moment.map_or_else(|| ms.to_string(), |moment| moment.strftime("%Y-%m-%d %H:%M:%S").to_string())
}

/// Formats Unix milliseconds as time of day in UTC.
fn time_of_day(ms: u64) -> String {
    date_time(ms).split_off("YYYY-MM-DD ".len())
}

/// Returns the title of a finding as text.
#[must_use]
pub fn finding_title(kind: &FindingKind) -> String {
    match kind {
        FindingKind::Death { gatherer, incarnation } => {
            format!("{gatherer} died (incarnation {incarnation})")
        }
        FindingKind::RestartLoop { gatherer } => format!("{gatherer} is in a restart loop"),
        FindingKind::FleetSlow => "Most workers were slow at the same time".to_owned(),
        FindingKind::WorkerSlow { worker } => format!("Worker {worker} was slow"),
        FindingKind::WorkerUnresponsive { worker } => format!("Worker {worker} did not respond to attempts"),
        FindingKind::Overload => "Clients requested more than could be served".to_owned(),
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

/// Renders the page. `damaged` is the number of damaged records, and `first_damaged` describes the first of them.
#[must_use]
pub fn render(summary: &Summary, findings: &[Finding], first_damaged: &[String], damaged: u64) -> String {
    let classes = summary.totals_by_class();
    let first_ms = summary.incarnations.values().map(|incarnation| incarnation.first_ms).min().unwrap_or(0);
    let last_ms = summary.incarnations.values().map(|incarnation| incarnation.last_ms).max().unwrap_or(0);
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width,initial-scale=1";
                title { "Report " (date_time(first_ms)) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Report" }
                p.quiet {
                    (date_time(first_ms)) " to " (date_time(last_ms)) " UTC, " (summary.incarnations.len())
                    " incarnations, in steps of " (summary.step_ms() / 1000) " s"
                }
                h2 { "Findings" }
                @if findings.is_empty() { p { "No findings." } }
                @for finding in findings { (finding_card(finding)) }
                h2 { "Queries" }
                (class_totals(&classes))
                p.key {
                    @for end in &END_COLUMNS { span style={"background:" (css_colour(end.colour))} {} (end.label) }
                }
                @for class in classes.keys() { (class_section(summary, class)) }
                (tenant_totals(summary))
                h2 { "Workers" }
                (worker_map(summary))
                h2 { "Timeline" }
                (timeline(summary))
                h2 { "Records" }
                (record_section(summary, first_damaged, damaged))
            }
        }
    }
    .into_string()
}

fn css_colour(colour: RGBColor) -> String {
    format!("#{:02x}{:02x}{:02x}", colour.0, colour.1, colour.2)
}

fn finding_card(finding: &Finding) -> Markup {
    let style = if finding.certainty == Certainty::Possible { "finding possible" } else { "finding" };
    html! {
        div class=(style) {
            b { (finding_title(&finding.kind)) }
            " "
            span.quiet { "(" (certainty_label(finding.certainty)) ")" }
            div { (date_time(finding.from_ms)) " to " (time_of_day(finding.to_ms)) }
            div { (finding.evidence) "." }
            @if let Some(counter_evidence) = &finding.counter_evidence {
                div.quiet { "Counter-evidence: " (counter_evidence) "." }
            }
        }
    }
}

fn count_header(row_title: &str) -> Markup {
    html! { tr { th { (row_title) } th { "received" } @for end in &END_COLUMNS { th { (end.label) } } } }
}

fn count_row(row_label: &str, counts: &QueryCounts) -> Markup {
    html! {
        tr {
            td { (row_label) }
            td { (counts.received) }
            @for end in &END_COLUMNS { td { ((end.count)(counts)) } }
        }
    }
}

fn class_totals(classes: &BTreeMap<String, QueryCounts>) -> Markup {
    html! {
        div.wide { table {
            (count_header("class"))
            @for (class, counts) in classes { (count_row(class, counts)) }
        } }
    }
}

/// Sums the counts of one class over all tenants in a time step.
fn sum_of_class(step: &TimeStep, class: &str) -> QueryCounts {
    let mut sum = QueryCounts::default();
    step.queries.iter().filter(|(group, _)| group.class == class).for_each(|(_, counts)| sum.merge(counts));
    sum
}

/// Renders the charts of one class, and its counts in each time step.
fn class_section(summary: &Summary, class: &str) -> Markup {
    let query_steps: Vec<QueryStep> = summary
        .steps
        .iter()
        .map(|(start_ms, step)| QueryStep { start_ms: *start_ms, counts: sum_of_class(step, class) })
        .collect();
    let latency_steps: Vec<LatencyStep> = summary
        .steps
        .iter()
        .filter_map(|(start_ms, step)| {
            let latency = step.latency.get(class)?;
            let quantile_ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
            Some(LatencyStep { start_ms: *start_ms, p50_ms: quantile_ms(0.5), p99_ms: quantile_ms(0.99) })
        })
        .collect();
    html! {
        h3 { (class) }
        (query_chart(summary.step_ms(), &query_steps).unwrap_or_default())
        p.quiet { "Latency in ms, median and 99th percentile" }
        (latency_chart(summary.step_ms(), &latency_steps).unwrap_or_default())
        details {
            summary { "Counts of " (class) " by time step" }
            div.wide { table {
                (count_header("from"))
                @for step in query_steps.iter().take(MAX_TABLE_ROWS) {
                    (count_row(&time_of_day(step.start_ms), &step.counts))
                }
            } }
            @if query_steps.len() > MAX_TABLE_ROWS {
                p { (query_steps.len() - MAX_TABLE_ROWS) " further steps are only in the JSON report." }
            }
        }
    }
}

fn group_label(group: &QueryGroup) -> String {
    let QueryGroup { class, tenant } = group;
    if tenant.is_empty() { format!("{class}, no tenant") } else { format!("{class}, {tenant}") }
}

fn tenant_totals(summary: &Summary) -> Markup {
    let mut totals: BTreeMap<&QueryGroup, QueryCounts> = BTreeMap::new();
    for (group, counts) in summary.steps.values().flat_map(|step| &step.queries) {
        totals.entry(group).or_default().merge(counts);
    }
    html! {
        details {
            summary { "By class and tenant" }
            div.wide { table {
                (count_header("class, tenant"))
                @for (group, counts) in &totals { (count_row(&group_label(group), counts)) }
            } }
        }
    }
}

/// Renders a map of workers over time: the redder a cell, the more attempts got no response.
fn worker_map(summary: &Summary) -> Markup {
    let workers: BTreeSet<&String> = summary.steps.values().flat_map(|step| step.attempts.keys()).collect();
    let steps_per_column = summary.steps.len().div_ceil(MAX_MAP_COLUMNS).max(1);
    let steps: Vec<(&u64, &TimeStep)> = summary.steps.iter().collect();
    html! {
        @if workers.is_empty() { p { "No attempt is on record." } }
        div.wide { table.map {
            @for worker in workers {
                tr {
                    td { (worker) }
                    @for steps in steps.chunks(steps_per_column) { (worker_map_cell(worker, steps)) }
                }
            }
        } }
        p.quiet {
            "Time runs from left to right. Green: no attempt without a response; red: a fifth or more without one; \
             empty: no attempt ended."
        }
    }
}

/// Renders one cell of the map: the attempts at a worker in one or more time steps.
fn worker_map_cell(worker: &str, steps: &[(&u64, &TimeStep)]) -> Markup {
    let mut attempts = AttemptMetrics::default();
    for (_, step) in steps {
        if let Some(step_attempts) = step.attempts.get(worker) {
            attempts.merge(step_attempts.clone());
        }
    }
    let (total, successful) = (attempts.total(), attempts.successful());
    let cancelled = attempts.ends.get("cancelled").copied().unwrap_or(0).min(total - successful);
    let unanswered = total - successful - cancelled;
    let unanswered_share = unanswered as f64 / total.max(1) as f64;
    let hue = GREEN_HUE * (1.0 - (unanswered_share / RED_AT_UNANSWERED_SHARE).min(1.0));
    let colour = if total == 0 { "transparent".to_owned() } else { format!("hsl({hue:.0} 55% 45%)") };
    let mean_ms = attempts.done_us as f64 / successful.max(1) as f64 / 1000.0;
    let tooltip = format!(
        "{worker} {}: {total} attempts, {unanswered} without a response, {mean_ms:.1} ms",
        time_of_day(*steps[0].0)
    );
    html! { td style={"background:" (colour)} title=(tooltip) {} }
}

fn timeline(summary: &Summary) -> Markup {
    let mut events: Vec<_> = summary.timeline.iter().collect();
    events.sort_by_key(|event| event.at_ms);
    let not_shown = events.len().saturating_sub(MAX_TABLE_ROWS) as u64 + summary.timeline_dropped;
    html! {
        div.wide { table {
            tr { th { "at" } th.text { "gatherer" } th.text { "what" } }
            @for event in events.iter().take(MAX_TABLE_ROWS) {
                tr {
                    td { (date_time(event.at_ms)) }
                    td.text { (event.gatherer) }
                    td.text { (event.description) }
                }
            }
        } }
        @if not_shown > 0 { p { (not_shown) " further events are not shown." } }
    }
}

fn record_section(summary: &Summary, first_damaged: &[String], damaged: u64) -> Markup {
    html! {
        div.wide { table {
            tr {
                th { "gatherer" }
                th.text { "start" }
                th { "from" }
                th { "to" }
                th { "end" }
                th { "records missing" }
            }
            @for (id, incarnation) in summary.incarnations.iter().take(MAX_TABLE_ROWS) {
                tr {
                    td { (id.gatherer) }
                    td.text { (id.incarnation) }
                    td { (date_time(incarnation.first_ms)) }
                    td { (date_time(incarnation.last_ms)) }
                    td { @if incarnation.stopped { "stop" } @else { "none on record" } }
                    td { (incarnation.missing) }
                }
            }
        } }
        @if damaged > 0 {
            p { (damaged) " records are damaged and not counted:" }
            ul { @for damage in first_damaged { li { (damage) } } }
        }
        p.quiet { "Clocks of gatherers may differ: each record has the time of the gatherer that wrote it." }
    }
}
