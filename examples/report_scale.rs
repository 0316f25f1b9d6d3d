//! Measures a report over many lines: `cargo run --release --example report_scale -- LINES`. Writes so many lines of 20
//! gatherers into a temporary folder, reads them in one pass, and prints time and peak memory.

use gatherer::policy::Time;
use gatherer::program::inspect::Report;
use gatherer::records::folder::Folder;
use gatherer::records::{
    MetricsAccumulator, QueryEnd, QueryLabels, RecordBody, SegmentLimits, Writer, metrics,
};
use std::time::{Duration, Instant};

const GATHERERS: u64 = 20;

/// Peak memory of this process so far, in kB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn main() {
    let lines: u64 = std::env::args().nth(1).map_or(1_000_000, |text| text.parse().expect("a number"));
    let folder = std::env::temp_dir().join(format!("clayshore-scale-{}", std::process::id()));
    let bounds = SegmentLimits {
        segment_bytes: 64 << 20,
        max_age: Duration::from_secs(1 << 40),
        total_bytes: 1 << 50,
    };
    let begun = Instant::now();
    let mut random = fastrand::Rng::with_seed(7);
    for gatherer in 0..GATHERERS {
        let mut writer = Writer::new(Folder::new(&folder), &format!("g{gatherer}"), "s1", bounds);
        let classes = ["audit-report", "envelope-search", "seal-record"].map(str::to_owned).to_vec();
        let tenants = vec!["a".to_owned(), "b".to_owned()];
        let start = RecordBody::Start { configuration: "0".to_owned(), classes, tenants };
        assert!(writer.write(Time(0), 0, start));
        let mut figures = MetricsAccumulator::default();
        for second in 1..lines / GATHERERS {
            for _ in 0..4 {
                let seen = QueryLabels { class: random.usize(0..3), tenant: Some(random.usize(0..2)) };
                figures.record_accepted(seen);
                figures.record_end(
                    seen,
                    QueryEnd::CompleteInTime,
                    Duration::from_micros(random.u64(5_000..80_000)),
                );
                figures.record_attempt(
                    &format!("w{}", random.u8(0..12)),
                    metrics::ATTEMPT_DONE,
                    Duration::from_millis(9),
                );
            }
            let now = Time(second * 1_000_000_000);
            assert!(writer.write(now, second * 1000, RecordBody::Metrics(figures.take_snapshot())));
        }
    }
    println!("written: {lines} lines in {:.1} s, peak {} kB", begun.elapsed().as_secs_f64(), peak());
    let begun = Instant::now();
    let report = Report::read(std::slice::from_ref(&folder), 0..u64::MAX, Duration::from_secs(60));
    let report = report.expect("it can be read");
    println!("read: {:.1} s, peak {} kB; {}", begun.elapsed().as_secs_f64(), peak(), report.line());
    std::fs::remove_dir_all(folder).expect("removed");
}
