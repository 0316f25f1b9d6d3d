//! Measures the time and the peak memory of a report over many records.
//!
//! `cargo run --release --example report_scale -- RECORDS` writes this number of records of 20 gatherers to a temporary
//! folder, reads them in one pass, and prints the time and the peak memory of both steps.

use gatherer::policy::Time;
use gatherer::program::inspect::Report;
use gatherer::records::folder::Folder;
use gatherer::records::{
    MetricsAccumulator, QueryEnd, QueryLabels, RecordBody, SegmentLimits, Writer, metrics,
};
use std::time::{Duration, Instant};

const GATHERERS: u64 = 20;
/// Queries per gatherer and second of recorded time.
const QUERIES_PER_SECOND: u64 = 4;
/// Segments of 64 MiB, and limits of age and total size that are never reached, so that no record is removed.
const LIMITS: SegmentLimits =
    SegmentLimits { segment_bytes: 64 << 20, max_age: Duration::from_secs(1 << 40), total_bytes: 1 << 50 };

/// Returns the peak resident memory of this process so far, in kB.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find(|line| line.starts_with("VmHWM:"));
    peak.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Writes the records of one gatherer: a start record, and then the metrics of one second each.
fn write_records(folder: &std::path::Path, gatherer: u64, records: u64, random: &mut fastrand::Rng) {
    let mut writer = Writer::new(Folder::new(folder), &format!("g{gatherer}"), "s1", LIMITS);
    let classes = ["audit-report", "envelope-search", "seal-record"].map(str::to_owned).to_vec();
    let tenants = vec!["a".to_owned(), "b".to_owned()];
    let start = RecordBody::Start { configuration: "0".to_owned(), classes, tenants };
    assert!(writer.write(Time(0), 0, start));
    let mut accumulator = MetricsAccumulator::default();
    for second in 1..records {
        for _ in 0..QUERIES_PER_SECOND {
            let labels = QueryLabels { class: random.usize(0..3), tenant: Some(random.usize(0..2)) };
            let latency = Duration::from_micros(random.u64(5_000..80_000));
            let worker = format!("w{}", random.u8(0..12));
            accumulator.record_accepted(labels);
            accumulator.record_end(labels, QueryEnd::CompleteInTime, latency);
            accumulator.record_attempt(&worker, metrics::ATTEMPT_DONE, Duration::from_millis(9));
        }
        let now = Time(second * 1_000_000_000);
        let body = RecordBody::Metrics(accumulator.take_snapshot());
        assert!(writer.write(now, second * 1000, body));
    }
}

fn main() {
    let records: u64 = std::env::args()
        .nth(1)
        .map_or(1_000_000, |text| text.parse().expect("the argument is a number of records"));
    let folder = std::env::temp_dir().join(format!("clayshore-scale-{}", std::process::id()));
    let began_at = Instant::now();
    let mut random = fastrand::Rng::with_seed(7);
    for gatherer in 0..GATHERERS {
        write_records(&folder, gatherer, records / GATHERERS, &mut random);
    }
    let seconds = began_at.elapsed().as_secs_f64();
    println!("written: {records} records in {seconds:.1} s, peak {} kB", peak_memory_kb());
    let began_at = Instant::now();
    let report = Report::read(std::slice::from_ref(&folder), 0..u64::MAX, Duration::from_secs(60));
    let report = report.expect("the records can be read");
    let seconds = began_at.elapsed().as_secs_f64();
    println!("read: {seconds:.1} s, peak {} kB; {}", peak_memory_kb(), report.summary_line());
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}
