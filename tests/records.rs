//! Records: what is written is read back, whatever happens to the disk and to the files.

use gatherer::policy::Time;
use gatherer::records::metrics::{self, QUERY_ENDS};
use gatherer::records::reader::{DamagedRecord, Reader};
use gatherer::records::record::{
    MAX_RECORD_BYTES, Record, RecordBody, RecordError, RecordedWorkerState, VERSION,
};
use gatherer::records::segments::{SegmentLimits, SegmentName, segments_to_remove};
use gatherer::records::{Disk, MetricsAccumulator, QueryEnd, QueryLabels, Summary, Writer};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

const BOUNDS: SegmentLimits =
    SegmentLimits { segment_bytes: 600, max_age: Duration::from_secs(60), total_bytes: 4000 };

/// A disk in memory that fails whenever it is told to, after a part of what it was to write.
#[derive(Default)]
struct Fake {
    files: BTreeMap<String, Vec<u8>>,
    open: Option<String>,
    /// Calls until the next failure, and how many fail then.
    fails_in: Option<(usize, usize)>,
    calls: usize,
    /// Segments are removed by another process just before this one would.
    shared: bool,
}

impl Fake {
    fn step(&mut self) -> io::Result<()> {
        self.calls += 1;
        match &mut self.fails_in {
            Some((0, 0)) => self.fails_in = None,
            Some((0, more)) => {
                *more -= 1;
                return Err(io::Error::other("No space left on device"));
            }
            Some((calls, _)) => *calls -= 1,
            None => {}
        }
        Ok(())
    }
}

impl Disk for Fake {
    fn begin(&mut self, file: &str) -> io::Result<()> {
        self.step()?;
        assert!(self.files.insert(file.to_owned(), Vec::new()).is_none(), "{file} was there");
        self.open = Some(file.to_owned());
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = self.open.clone().expect("a file was begun");
        let ok = self.step();
        let part = if ok.is_ok() { bytes.len() } else { bytes.len() / 2 };
        self.files.get_mut(&file).expect("it is there").extend_from_slice(&bytes[..part]);
        ok
    }
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.step()?;
        Ok(self.files.iter().map(|(name, bytes)| (name.clone(), bytes.len() as u64)).collect())
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.step()?;
        let removed = self.files.remove(file).filter(|_| !self.shared);
        removed.map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

fn body(number: u64) -> RecordBody {
    RecordBody::Reload { applied: true, detail: format!("number {number}") }
}

fn read(files: &BTreeMap<String, Vec<u8>>) -> (Vec<Record>, Vec<DamagedRecord>) {
    let (mut reader, mut lines, mut faults) = (Reader::default(), Vec::new(), Vec::new());
    for (name, bytes) in files {
        reader
            .read(name, &bytes[..], |line| lines.push(line), |fault| faults.push(fault))
            .expect("memory can be read");
    }
    assert_eq!(reader.valid_records, lines.len() as u64);
    (lines, faults)
}

fn lines(count: u64) -> Vec<Record> {
    let line = |seq| Record {
        version: VERSION,
        gatherer: "g0".to_owned(),
        incarnation: "s1".to_owned(),
        seq,
        at_ms: 1000 * seq,
        body: body(seq),
    };
    (0..count).map(line).collect()
}

#[test]
fn two_processes_of_an_upgrade_that_share_a_folder_lose_no_line_to_each_other() {
    let mut writer = Writer::new(Fake { shared: true, ..Fake::default() }, "g0", "s1", BOUNDS);
    for number in 0..100 {
        let written = writer.write(Time(number * 1_000_000_000), number * 1000, body(number));
        assert!(written, "line {number}: {}", writer.last_loss_reason());
    }
}

#[test]
fn a_disk_that_fails_at_every_point_in_turn_loses_what_it_says_it_lost() {
    for fails_at in 0..60 {
        for times in [1, 3] {
            let disk = Fake { fails_in: Some((fails_at, times)), ..Fake::default() };
            let bounds = SegmentLimits { total_bytes: 1 << 20, ..BOUNDS };
            let mut writer = Writer::new(disk, "g0", "s1", bounds);
            let mut kept = Vec::new();
            for number in 0..60 {
                if writer.write(Time(number * 1_000_000_000), number * 1000, body(number)) {
                    kept.push(number);
                }
            }
            let untold = writer.unreported();
            let (lines, faults) = read(&writer.disk().files);
            assert!(faults.iter().all(|fault| fault.error == RecordError::Torn), "{faults:?}");
            let numbers: Vec<u64> =
                lines.iter().filter(|l| l.body != body(0)).map(|l| l.at_ms / 1000).collect();
            assert!(numbers.is_sorted());
            let written: Vec<u64> = lines
                .iter()
                .filter(|line| matches!(line.body, RecordBody::Reload { .. }))
                .map(|line| line.at_ms / 1000)
                .collect();
            assert_eq!(written, kept, "failing at {fails_at}: what was said to be written is there");
            let told: u64 = lines
                .iter()
                .map(|line| if let RecordBody::Gap { lost, .. } = line.body { lost } else { 0 })
                .sum();
            assert_eq!(
                told + untold + kept.len() as u64,
                60,
                "failing at {fails_at}: all others are told of"
            );
            assert!(untold == 0 || fails_at + 10 > 60, "it goes on once the disk does");
        }
    }
}

#[test]
fn segments_rotate_by_size_and_age_and_the_oldest_go() {
    let mut writer = Writer::new(Fake::default(), "g0", "s1", BOUNDS);
    for number in 0..200 {
        assert!(writer.write(Time(number * 1_000_000), number, body(number)));
        let held: usize = writer.disk().files.values().map(Vec::len).sum();
        assert!(held as u64 <= BOUNDS.total_bytes, "{held} bytes");
        assert!(writer.disk().files.values().all(|bytes| bytes.len() as u64 <= BOUNDS.segment_bytes));
    }
    let before = writer.disk().files.len();
    assert!(writer.write(Time(100_000_000_000), 0, body(0)), "older than a segment may be");
    assert!(writer.disk().files.len() >= before);
    // Another gatherer's segments are not this one's to remove.
    let (mine, other) = (SegmentName::new("g0", "s1", 9), SegmentName::new("g1", "s1", 1));
    let found = vec![(other, 9000), (SegmentName::new("g0", "s0", 7), 3000), (mine.clone(), 3000)];
    assert_eq!(segments_to_remove(found, &mine, &BOUNDS, 600), [SegmentName::new("g0", "s0", 7)]);
    assert_eq!(SegmentName::parse("g0_s1_00000009.records"), Some(mine));
    assert_eq!([SegmentName::parse("g0_s1_9.txt"), SegmentName::parse("x.records")], [None, None]);
}

#[test]
fn damaged_files_are_told_of_by_line_and_count_for_nothing() {
    let all = lines(10);
    let encoded: Vec<Vec<u8>> = all.iter().map(Record::encode).collect();
    let file = |parts: &[&[u8]]| BTreeMap::from([("f".to_owned(), parts.concat())]);
    let whole = |from: usize, to: usize| encoded[from..to].concat();
    let faults = |parts: &[&[u8]]| {
        let (lines, faults) = read(&file(parts));
        (lines.len(), faults.into_iter().map(|fault| (fault.line, fault.error)).collect::<Vec<_>>())
    };
    assert_eq!(faults(&[&whole(0, 10)]), (10, vec![]));
    let cut = encoded[9].len() / 2;
    assert_eq!(faults(&[&whole(0, 9), &encoded[9][..cut]]), (9, vec![(10, RecordError::Torn)]));
    assert_eq!(faults(&[&whole(0, 3), &encoded[2], &whole(3, 5)]), (5, vec![(4, RecordError::Duplicate(2))]));
    let out_of_order = RecordError::OutOfOrder { found: 1, after: 3 };
    assert_eq!(faults(&[&encoded[0], &encoded[3], &encoded[1], &encoded[4]]), (3, vec![(3, out_of_order)]));
    // A line of a later form: its checksum holds, and the rest is not for this program to read.
    let newer = Record { version: 2, ..all[5].clone() }.encode();
    assert_eq!(faults(&[&encoded[0], &newer, &encoded[6]]), (2, vec![(2, RecordError::NewerVersion(2))]));
    let long = [vec![b'x'; MAX_RECORD_BYTES + 10], b"\n".to_vec()].concat();
    assert_eq!(faults(&[&encoded[0], &long, &encoded[1]]), (2, vec![(2, RecordError::TooLong)]));
    assert_eq!(faults(&[b"\n{}\n"]).1.len(), 2);
}

#[test]
fn what_is_written_is_in_the_published_schema() {
    let schema = serde_json::to_value(schemars::schema_for!(Record)).expect("a schema");
    let validator = jsonschema::validator_for(&schema).expect("a sound schema");
    let mut figures = MetricsAccumulator::default();
    for (at, end) in QUERY_ENDS.into_iter().enumerate() {
        let seen = QueryLabels { class: at % 2, tenant: Some(at % 3).filter(|tenant| *tenant > 0) };
        figures.record_accepted(seen);
        figures.record_end(seen, end, Duration::from_millis(7));
        figures.record_attempt("w1", metrics::ATTEMPT_DONE, Duration::from_millis(5));
    }
    let worker = "w1".to_owned();
    let bodies = [
        RecordBody::Start { configuration: "0f".to_owned(), classes: vec!["a".to_owned()], tenants: vec![] },
        RecordBody::Stop,
        body(1),
        RecordBody::EndpointList { revision: 4, complete: true, workers: 3 },
        RecordBody::Worker { worker, state: RecordedWorkerState::Draining },
        RecordBody::Overload { begins: true },
        RecordBody::Gap { lost: 3, reason: "full".to_owned() },
        RecordBody::Metrics(figures.take_snapshot()),
    ];
    for body in bodies {
        let line = Record { body, ..lines(1).remove(0) };
        let json: serde_json::Value = serde_json::from_slice(&line.encode()).expect("JSON");
        assert!(validator.is_valid(&json), "{json}");
        assert_eq!(Record::decode(&line.encode()), Ok(line));
    }
    assert!(!validator.is_valid(&serde_json::json!({"v": 1, "kind": "stop"})));
}

#[test]
fn what_a_killed_gatherer_had_taken_is_unknown_and_not_lost() {
    let mut summary = Summary::new(60_000, 0, u64::MAX);
    let mut figures = MetricsAccumulator::default();
    let seen = QueryLabels { class: 0, tenant: None };
    let line = |start: &str, seq, at_ms, body| Record {
        version: VERSION,
        gatherer: "g0".to_owned(),
        incarnation: start.to_owned(),
        seq,
        at_ms,
        body,
    };
    let begin = || RecordBody::Start {
        configuration: String::new(),
        classes: vec!["seal".to_owned()],
        tenants: vec![],
    };
    (0..5).for_each(|_| figures.record_accepted(seen));
    (0..3).for_each(|_| figures.record_end(seen, QueryEnd::CompleteInTime, Duration::from_millis(20)));
    summary.add_record(line("s1", 0, 60_000, begin()));
    summary.add_record(line("s1", 1, 61_000, RecordBody::Metrics(figures.take_snapshot())));
    // The same name again: its counts are its own, and it ends well.
    figures.record_accepted(seen);
    figures.record_end(seen, QueryEnd::FailedAbandoned, Duration::ZERO);
    figures.record_end(seen, QueryEnd::RejectedShuttingDown, Duration::ZERO);
    summary.add_record(line("s2", 0, 60_500, begin()));
    summary.add_record(line("s2", 3, 130_000, RecordBody::Metrics(figures.take_snapshot())));
    summary.add_record(line("s2", 4, 131_000, RecordBody::Stop));
    summary.finish();
    let counts = summary.totals_by_class()["seal"];
    assert_eq!((counts.received, counts.ended(), counts.unknown), (7, 5, 2));
    assert_eq!((counts.complete_in_time, counts.failed, counts.rejected), (3, 1, 1));
    let unknown =
        |begin: u64| summary.steps[&begin].queries.values().map(|counts| counts.unknown).sum::<u64>();
    assert_eq!((unknown(60_000), unknown(120_000)), (2, 0));
    let start = |name: &str| &summary.incarnations[&("g0".to_owned(), name.to_owned())];
    assert_eq!((start("s1").stopped, start("s2").stopped, start("s2").missing), (false, true, 2));
}

proptest! {
    #[test]
    fn no_damaged_line_is_ever_accepted(at in 0usize..400, to in any::<u8>(), seq in 0u64..1000) {
        let line = Record { seq, ..lines(1).remove(0) };
        let mut bytes = line.encode();
        let at = at % (bytes.len() - 1);
        prop_assume!(bytes[at] != to);
        bytes[at] = to;
        prop_assert!(Record::decode(&bytes).is_err(), "{}", String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn the_reader_never_breaks_and_never_counts_noise(noise in prop::collection::vec(any::<u8>(), 0..3000)) {
        let (lines, _) = read(&BTreeMap::from([("f".to_owned(), noise.clone())]));
        prop_assert!(lines.is_empty());
        // Noise between two lines harms neither.
        let good = lines_between(&noise);
        prop_assert_eq!(good, 2);
    }

    #[test]
    fn figures_add_up_to_what_happened(
        events in prop::collection::vec((0usize..3, 0usize..3, 0usize..10, 0u64..9_000_000), 0..300),
        takes in prop::collection::vec(0usize..300, 0..10),
    ) {
        let (mut figures, mut summary) = (MetricsAccumulator::default(), Summary::new(1000, 0, u64::MAX));
        let names = |count: usize| (0..count).map(|at| at.to_string()).collect();
        let start = RecordBody::Start { configuration: String::new(), classes: names(3), tenants: names(3) };
        let mut seq = 0;
        let mut put = |body| {
            let line = Record { version: 1, gatherer: "g".to_owned(), incarnation: "s".to_owned(), seq, at_ms: seq * 700, body };
            summary.add_record(Record::decode(&line.encode()).expect("whole"));
            seq += 1;
        };
        put(start);
        let (mut taken, mut ended, mut answered) = (0, 0, 0);
        for (at, (class, tenant, end, micros)) in events.iter().enumerate() {
            let seen = QueryLabels { class: *class, tenant: Some(*tenant).filter(|tenant| *tenant < 2) };
            figures.record_accepted(seen);
            taken += 1;
            if let Some(end) = QUERY_ENDS.get(*end) && *end != QueryEnd::RejectedShuttingDown {
                figures.record_end(seen, *end, Duration::from_micros(*micros));
                ended += 1;
                answered += u64::from((*end as usize) < 3);
            }
            if takes.contains(&at) {
                put(RecordBody::Metrics(figures.take_snapshot()));
            }
        }
        put(RecordBody::Metrics(figures.take_snapshot()));
        summary.finish();
        let all = summary.totals_by_class();
        prop_assert_eq!(all.values().map(|counts| counts.received).sum::<u64>(), taken);
        prop_assert_eq!(all.values().map(|counts| counts.ended()).sum::<u64>(), ended);
        prop_assert_eq!(all.values().map(|counts| counts.unknown).sum::<u64>(), taken - ended);
        let latencies: u64 =
            summary.steps.values().flat_map(|step| step.latency.values()).map(|all| all.len()).sum();
        prop_assert_eq!(latencies, answered);
    }

    #[test]
    fn a_histogram_that_is_noise_is_turned_away(noise in prop::collection::vec(any::<u8>(), 0..200)) {
        // It must not break, and must not be made to take memory without end.
        let _ = metrics::decode_histogram(&String::from_utf8_lossy(&noise));
        let _ = metrics::decode_histogram(&base64::Engine::encode(&base64::engine::general_purpose::STANDARD, &noise));
    }
}

fn lines_between(noise: &[u8]) -> usize {
    let all = lines(2);
    let parts = [&all[0].encode()[..], noise, b"\n", &all[1].encode()].concat();
    read(&BTreeMap::from([("f".to_owned(), parts)])).0.len()
}
