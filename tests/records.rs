//! Records are read back as they were written, and losses and damage are reported, whatever fails on the
//! disk.

use gatherer::policy::Time;
use gatherer::records::metrics::{self, QUERY_ENDS};
use gatherer::records::reader::{DamagedRecord, Reader};
use gatherer::records::record::{
    MAX_RECORD_BYTES, Record, RecordBody, RecordError, RecordedWorkerState, VERSION,
};
use gatherer::records::segments::{SegmentLimits, SegmentName, segments_to_remove};
use gatherer::records::{
    Disk, IncarnationId, MetricsAccumulator, QueryEnd, QueryLabels, StoredFile, StoredSegment, Summary,
    Writer,
};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, prop_assume, proptest};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

const LIMITS: SegmentLimits =
    SegmentLimits { segment_bytes: 600, max_age: Duration::from_secs(60), total_bytes: 4000 };

/// Failures that a disk in memory simulates.
struct PlannedFailures {
    /// Calls that succeed before the first failure.
    calls_before: usize,
    /// Consecutive calls that fail after that.
    failures: usize,
}

/// A disk in memory. A planned failure of an append writes half of the bytes.
#[derive(Default)]
struct MemoryDisk {
    files: BTreeMap<String, Vec<u8>>,
    open: Option<String>,
    planned_failures: Option<PlannedFailures>,
    /// Whether another process removes each segment just before this one does.
    shared: bool,
}

impl MemoryDisk {
    /// Counts a call; fails if a failure is planned for it.
    fn count_call(&mut self) -> io::Result<()> {
        match &mut self.planned_failures {
            Some(PlannedFailures { calls_before: 0, failures: 0 }) => self.planned_failures = None,
            Some(PlannedFailures { calls_before: 0, failures }) => {
                *failures -= 1;
                return Err(io::Error::other("No space left on device"));
            }
            Some(PlannedFailures { calls_before, .. }) => *calls_before -= 1,
            None => {}
        }
        Ok(())
    }
}

impl Disk for MemoryDisk {
    fn create(&mut self, file: &str) -> io::Result<()> {
        self.count_call()?;
        assert!(self.files.insert(file.to_owned(), Vec::new()).is_none(), "{file} exists already");
        self.open = Some(file.to_owned());
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = self.open.clone().expect("a file was created");
        let result = self.count_call();
        let written = if result.is_ok() { bytes.len() } else { bytes.len() / 2 };
        self.files.get_mut(&file).expect("the file exists").extend_from_slice(&bytes[..written]);
        result
    }
    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        self.count_call()?;
        let stored =
            |(name, bytes): (&String, &Vec<u8>)| StoredFile { name: name.clone(), bytes: bytes.len() as u64 };
        Ok(self.files.iter().map(stored).collect())
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.count_call()?;
        let removed = self.files.remove(file).filter(|_| !self.shared);
        removed.map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// A body that identifies the record with this number.
fn reload_body(number: u64) -> RecordBody {
    RecordBody::Reload { applied: true, detail: format!("number {number}") }
}

/// Reads all files; returns the valid records and the damaged ones.
fn read_files(files: &BTreeMap<String, Vec<u8>>) -> (Vec<Record>, Vec<DamagedRecord>) {
    let (mut reader, mut records, mut damaged) = (Reader::default(), Vec::new(), Vec::new());
    for (name, bytes) in files {
        reader
            .read(name, &bytes[..], |record| records.push(record), |damage| damaged.push(damage))
            .expect("memory can be read");
    }
    assert_eq!(reader.valid_records, records.len() as u64);
    (records, damaged)
}

/// Makes records with the sequence numbers from 0.
fn make_records(count: u64) -> Vec<Record> {
    let record = |seq| Record {
        version: VERSION,
        gatherer: "g0".to_owned(),
        incarnation: "s1".to_owned(),
        seq,
        at_ms: 1000 * seq,
        body: reload_body(seq),
    };
    (0..count).map(record).collect()
}

#[test]
fn two_processes_of_a_hot_restart_that_share_a_folder_lose_no_record_to_each_other() {
    let mut writer = Writer::new(MemoryDisk { shared: true, ..MemoryDisk::default() }, "g0", "s1", LIMITS);
    for number in 0..100 {
        let written = writer.write(Time(number * 1_000_000_000), number * 1000, reload_body(number));
        assert!(written, "record {number}: {}", writer.last_loss_reason());
    }
}

#[test]
fn a_disk_that_fails_at_any_point_loses_exactly_what_is_reported_as_lost() {
    for calls_before in 0..60 {
        for failures in [1, 3] {
            let planned_failures = Some(PlannedFailures { calls_before, failures });
            let disk = MemoryDisk { planned_failures, ..MemoryDisk::default() };
            let limits = SegmentLimits { total_bytes: 1 << 20, ..LIMITS };
            let mut writer = Writer::new(disk, "g0", "s1", limits);
            let mut reported_written = Vec::new();
            for number in 0..60 {
                if writer.write(Time(number * 1_000_000_000), number * 1000, reload_body(number)) {
                    reported_written.push(number);
                }
            }
            let unreported = writer.unreported();
            let (records, damaged) = read_files(&writer.disk().files);
            assert!(damaged.iter().all(|damage| damage.error == RecordError::Torn), "{damaged:?}");
            let numbers: Vec<u64> = records
                .iter()
                .filter(|record| record.body != reload_body(0))
                .map(|record| record.at_ms / 1000)
                .collect();
            assert!(numbers.is_sorted());
            let found: Vec<u64> = records
                .iter()
                .filter(|record| matches!(record.body, RecordBody::Reload { .. }))
                .map(|record| record.at_ms / 1000)
                .collect();
            assert_eq!(
                found, reported_written,
                "failure after {calls_before} calls: the records reported as written are read"
            );
            let lost_in = |record: &Record| match record.body {
                RecordBody::Gap { lost, .. } => lost,
                _ => 0,
            };
            let reported_lost: u64 = records.iter().map(lost_in).sum();
            assert_eq!(
                reported_lost + unreported + reported_written.len() as u64,
                60,
                "failure after {calls_before} calls: all other records are reported as lost"
            );
            assert!(unreported == 0 || calls_before + 10 > 60, "writing resumes once the disk works");
        }
    }
}

#[test]
fn segments_rotate_by_size_and_age_and_the_oldest_are_removed() {
    let mut writer = Writer::new(MemoryDisk::default(), "g0", "s1", LIMITS);
    for number in 0..200 {
        assert!(writer.write(Time(number * 1_000_000), number, reload_body(number)));
        let total: usize = writer.disk().files.values().map(Vec::len).sum();
        assert!(total as u64 <= LIMITS.total_bytes, "{total} bytes");
        assert!(writer.disk().files.values().all(|bytes| bytes.len() as u64 <= LIMITS.segment_bytes));
    }
    let before = writer.disk().files.len();
    assert!(writer.write(Time(100_000_000_000), 0, reload_body(0)), "the segment is over its age");
    assert!(writer.disk().files.len() >= before);
    // A gatherer does not remove the segments of another gatherer.
    let (own, other) = (SegmentName::new("g0", "s1", 9), SegmentName::new("g1", "s1", 1));
    let found = [(other, 9000), (SegmentName::new("g0", "s0", 7), 3000), (own.clone(), 3000)];
    let found = found.map(|(name, bytes)| StoredSegment { name, bytes }).to_vec();
    assert_eq!(segments_to_remove(found, &own, &LIMITS, 600), [SegmentName::new("g0", "s0", 7)]);
    assert_eq!(SegmentName::parse("g0_s1_00000009.records"), Some(own));
    assert_eq!([SegmentName::parse("g0_s1_9.txt"), SegmentName::parse("x.records")], [None, None]);
}

#[test]
fn damaged_records_are_reported_by_line_and_not_counted() {
    let all = make_records(10);
    let encoded: Vec<Vec<u8>> = all.iter().map(Record::encode).collect();
    let file = |parts: &[&[u8]]| BTreeMap::from([("f".to_owned(), parts.concat())]);
    let range = |from: usize, to: usize| encoded[from..to].concat();
    let read_parts = |parts: &[&[u8]]| {
        let (records, damaged) = read_files(&file(parts));
        let errors: Vec<_> = damaged.into_iter().map(|damage| (damage.line, damage.error)).collect();
        (records.len(), errors)
    };
    assert_eq!(read_parts(&[&range(0, 10)]), (10, vec![]));
    let cut = encoded[9].len() / 2;
    assert_eq!(read_parts(&[&range(0, 9), &encoded[9][..cut]]), (9, vec![(10, RecordError::Torn)]));
    let duplicate = (4, RecordError::Duplicate(2));
    assert_eq!(read_parts(&[&range(0, 3), &encoded[2], &range(3, 5)]), (5, vec![duplicate]));
    let out_of_order = (3, RecordError::OutOfOrder { found: 1, after: 3 });
    assert_eq!(read_parts(&[&encoded[0], &encoded[3], &encoded[1], &encoded[4]]), (3, vec![out_of_order]));
    // The checksum of a record of a newer version matches, but the content must not be decoded.
    let newer = Record { version: 2, ..all[5].clone() }.encode();
    let newer_version = (2, RecordError::NewerVersion(2));
    assert_eq!(read_parts(&[&encoded[0], &newer, &encoded[6]]), (2, vec![newer_version]));
    let long = [vec![b'x'; MAX_RECORD_BYTES + 10], b"\n".to_vec()].concat();
    assert_eq!(read_parts(&[&encoded[0], &long, &encoded[1]]), (2, vec![(2, RecordError::TooLong)]));
    assert_eq!(read_parts(&[b"\n{}\n"]).1.len(), 2);
}

#[test]
fn every_kind_of_record_has_the_form_of_the_published_schema() {
    let schema = serde_json::to_value(schemars::schema_for!(Record)).expect("the schema is JSON");
    let validator = jsonschema::validator_for(&schema).expect("the schema is valid");
    let mut accumulator = MetricsAccumulator::default();
    for (number, end) in QUERY_ENDS.into_iter().enumerate() {
        let labels = QueryLabels { class: number % 2, tenant: Some(number % 3).filter(|tenant| *tenant > 0) };
        accumulator.record_accepted(labels);
        accumulator.record_end(labels, end, Duration::from_millis(7));
        accumulator.record_attempt("w1", metrics::ATTEMPT_DONE, Duration::from_millis(5));
    }
    let worker = "w1".to_owned();
    let bodies = [
        RecordBody::Start { configuration: "0f".to_owned(), classes: vec!["a".to_owned()], tenants: vec![] },
        RecordBody::Stop,
        reload_body(1),
        RecordBody::EndpointList { revision: 4, complete: true, workers: 3 },
        RecordBody::Worker { worker, state: RecordedWorkerState::Draining },
        RecordBody::Overload { begins: true },
        RecordBody::Gap { lost: 3, reason: "full".to_owned() },
        RecordBody::Metrics(accumulator.take_snapshot()),
    ];
    for body in bodies {
        let record = Record { body, ..make_records(1).remove(0) };
        let json: serde_json::Value = serde_json::from_slice(&record.encode()).expect("JSON");
        assert!(validator.is_valid(&json), "{json}");
        assert_eq!(Record::decode(&record.encode()), Ok(record));
    }
    assert!(!validator.is_valid(&serde_json::json!({"v": 1, "kind": "stop"})));
}

#[test]
fn queries_that_a_killed_gatherer_had_accepted_count_as_unknown() {
    let mut summary = Summary::new(60_000, 0, u64::MAX);
    let mut accumulator = MetricsAccumulator::default();
    let labels = QueryLabels { class: 0, tenant: None };
    let record = |incarnation: &str, seq, at_ms, body| Record {
        version: VERSION,
        gatherer: "g0".to_owned(),
        incarnation: incarnation.to_owned(),
        seq,
        at_ms,
        body,
    };
    let start = || RecordBody::Start {
        configuration: String::new(),
        classes: vec!["seal".to_owned()],
        tenants: vec![],
    };
    (0..5).for_each(|_| accumulator.record_accepted(labels));
    (0..3).for_each(|_| accumulator.record_end(labels, QueryEnd::CompleteInTime, Duration::from_millis(20)));
    summary.add_record(record("s1", 0, 60_000, start()));
    summary.add_record(record("s1", 1, 61_000, RecordBody::Metrics(accumulator.take_snapshot())));
    // Another incarnation of the same gatherer is counted separately, and shuts down gracefully.
    accumulator.record_accepted(labels);
    accumulator.record_end(labels, QueryEnd::FailedAbandoned, Duration::ZERO);
    accumulator.record_end(labels, QueryEnd::RejectedShuttingDown, Duration::ZERO);
    summary.add_record(record("s2", 0, 60_500, start()));
    summary.add_record(record("s2", 3, 130_000, RecordBody::Metrics(accumulator.take_snapshot())));
    summary.add_record(record("s2", 4, 131_000, RecordBody::Stop));
    summary.finish();
    let counts = summary.totals_by_class()["seal"];
    assert_eq!((counts.received, counts.ended(), counts.unknown), (7, 5, 2));
    assert_eq!((counts.complete_in_time, counts.failed, counts.rejected), (3, 1, 1));
    let unknown =
        |begin: u64| summary.steps[&begin].queries.values().map(|counts| counts.unknown).sum::<u64>();
    assert_eq!((unknown(60_000), unknown(120_000)), (2, 0));
    let incarnation = |name: &str| {
        let id = IncarnationId { gatherer: "g0".to_owned(), incarnation: name.to_owned() };
        &summary.incarnations[&id]
    };
    let (killed, stopped) = (incarnation("s1"), incarnation("s2"));
    assert_eq!((killed.stopped, stopped.stopped, stopped.missing), (false, true, 2));
}

proptest! {
    #[test]
    fn no_damaged_record_is_ever_accepted(
        position in 0usize..400,
        changed in any::<u8>(),
        seq in 0u64..1000,
    ) {
        let record = Record { seq, ..make_records(1).remove(0) };
        let mut bytes = record.encode();
        let position = position % (bytes.len() - 1);
        prop_assume!(bytes[position] != changed);
        bytes[position] = changed;
        prop_assert!(Record::decode(&bytes).is_err(), "{}", String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn the_reader_never_panics_and_never_counts_noise(noise in prop::collection::vec(any::<u8>(), 0..3000)) {
        let (found, _) = read_files(&BTreeMap::from([("f".to_owned(), noise.clone())]));
        prop_assert!(found.is_empty());
        // Noise between two records does not damage either of them.
        prop_assert_eq!(valid_records_around(&noise), 2);
    }

    #[test]
    fn metrics_add_up_to_what_happened(
        events in prop::collection::vec((0usize..3, 0usize..3, 0usize..10, 0u64..9_000_000), 0..300),
        snapshots_at in prop::collection::vec(0usize..300, 0..10),
    ) {
        let (mut accumulator, mut summary) =
            (MetricsAccumulator::default(), Summary::new(1000, 0, u64::MAX));
        let names = |count: usize| (0..count).map(|number| number.to_string()).collect();
        let start = RecordBody::Start { configuration: String::new(), classes: names(3), tenants: names(3) };
        let mut seq = 0;
        let mut add = |body| {
            let (gatherer, incarnation) = ("g".to_owned(), "s".to_owned());
            let record = Record { version: 1, gatherer, incarnation, seq, at_ms: seq * 700, body };
            summary.add_record(Record::decode(&record.encode()).expect("a valid record"));
            seq += 1;
        };
        add(start);
        let (mut accepted, mut ended, mut with_response) = (0, 0, 0);
        for (index, (class, tenant, end, latency_us)) in events.iter().enumerate() {
            let labels = QueryLabels { class: *class, tenant: Some(*tenant).filter(|tenant| *tenant < 2) };
            accumulator.record_accepted(labels);
            accepted += 1;
            if let Some(end) = QUERY_ENDS.get(*end) && *end != QueryEnd::RejectedShuttingDown {
                accumulator.record_end(labels, *end, Duration::from_micros(*latency_us));
                ended += 1;
                with_response += u64::from((*end as usize) < 3);
            }
            if snapshots_at.contains(&index) {
                add(RecordBody::Metrics(accumulator.take_snapshot()));
            }
        }
        add(RecordBody::Metrics(accumulator.take_snapshot()));
        summary.finish();
        let totals = summary.totals_by_class();
        prop_assert_eq!(totals.values().map(|counts| counts.received).sum::<u64>(), accepted);
        prop_assert_eq!(totals.values().map(|counts| counts.ended()).sum::<u64>(), ended);
        prop_assert_eq!(totals.values().map(|counts| counts.unknown).sum::<u64>(), accepted - ended);
        let latencies: u64 =
            summary.steps.values().flat_map(|step| step.latency.values()).map(|latency| latency.len()).sum();
        prop_assert_eq!(latencies, with_response);
    }

    #[test]
    fn a_histogram_that_is_noise_is_rejected(noise in prop::collection::vec(any::<u8>(), 0..200)) {
        // Decoding must neither panic nor allocate without bound.
        let _ = metrics::decode_histogram(&String::from_utf8_lossy(&noise));
        let _ = metrics::decode_histogram(&base64::Engine::encode(
            &base64::engine::general_purpose::STANDARD,
            &noise,
        ));
    }
}

/// Returns how many of two records are valid with this noise between them.
fn valid_records_around(noise: &[u8]) -> usize {
    let records = make_records(2);
    let parts = [&records[0].encode()[..], noise, b"\n", &records[1].encode()].concat();
    read_files(&BTreeMap::from([("f".to_owned(), parts)])).0.len()
}
