//! A machine-usage table drives the core: its rows move a key off a busy home.

use bytes::Bytes;
use gatherer::policy::*;
use gatherer::program::config::Config;
use gatherer::protocol::trace::{self, Error};
use gatherer::routing::{AttemptCompletion, Command, Core, QueryPart, SearchRequest};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Two machines, a row each second: `busy` is at 95%, the other at 5%.
fn sample(busy: &str) -> String {
    let mut table = "machine_id,time_stamp,cpu_util_percent,mem_util_percent\n".to_owned();
    for second in 0..30 {
        for machine in ["w1", "w2"] {
            let share = if machine == busy { 95 } else { 5 };
            let written = writeln!(table, "{machine},{second},{share},40");
            assert!(written.is_ok());
        }
    }
    table
}

/// Where a part of this key goes once the table has been played.
fn chosen(table: &str, key: &str) -> String {
    let json = serde_json::from_str(include_str!("scenario/platform.json")).expect("JSON");
    let config = Config::from_json(&json, |_| None).expect("a configuration");
    let start = Time(1_700_000_000_000_000_000);
    let mut core = Core::new(config.contracts);
    core.apply_endpoint_update(Time(0), &config.initial_workers.expect("a list"), true);
    let mut names = Vec::new();
    let mut now = start;
    let mut orders = core.step(now);
    for usage in trace::read(table.as_bytes()) {
        let usage = usage.expect("a row");
        now = start.after(usage.at);
        let report = usage.report(&core.contracts().settings.report_fields);
        assert!(core.on_load_report(&usage.machine, report), "{} is known", usage.machine);
        orders.extend(core.step(now));
    }
    let parts =
        vec![QueryPart { shard: ShardId(0), weight: 1.0, cost_hint: None, key: Some(Arc::from(key)) }];
    let (class, left) = (ClassId(0), Duration::from_secs(4));
    let (label, text) = (Arc::from("a1"), Bytes::new());
    core.submit(
        now,
        SearchRequest { label, class, tenant: None, time_left: left, retry: false, payload: text, parts },
    )
    .expect("there is room");
    orders.extend(core.step(now));
    let mut sent = None;
    for order in orders {
        match order {
            Command::UpsertWorker { worker: leaf, name, .. } => names.push((leaf, name)),
            Command::Call { worker: leaf, parts } => {
                core.on_attempt_finished(
                    now,
                    parts[0].attempt_id,
                    AttemptCompletion::without_value(AttemptOutcome::Succeeded),
                );
                sent = Some(leaf);
            }
            _ => {}
        }
    }
    let settled = core.step(now).into_iter().filter(|order| matches!(order, Command::Respond { .. })).count();
    assert_eq!(settled, 1);
    names.into_iter().find(|(leaf, _)| Some(*leaf) == sent).expect("the part was sent").1
}

#[test]
fn rows_of_a_table_move_a_key_off_its_busy_home() {
    let home = chosen("", "account-17");
    let other = if home == "w1" { "w2" } else { "w1" };
    assert_eq!(chosen(&sample(&home), "account-17"), other);
    assert_eq!(chosen(&sample(other), "account-17"), home);
}

#[test]
fn a_faulty_row_is_named_by_its_line() {
    let cases = [
        ("m1,1,50\n,2,50\n", "line 2: machine id: missing"),
        ("m1,1,50\nm1,soon,50\n", "line 2: time: no time in seconds \"soon\""),
        ("m1,1,50\nm1,2,50\nm1,-3,50\n", "line 3: time: no time in seconds \"-3\""),
        ("m1,1,120\n", "line 1: CPU share: no percentage \"120\""),
    ];
    for (table, message) in cases {
        let error: Error = trace::read(table.as_bytes()).find_map(Result::err).expect(message);
        assert_eq!(error.to_string(), message);
    }
    // A row without a share is no error, and no report.
    let rows: Vec<_> =
        trace::read("m1,1,\nm1, 2 ,7.5,3\n".as_bytes()).collect::<Result<_, _>>().expect("rows");
    assert_eq!((rows.len(), rows[0].at, rows[0].busy), (1, Duration::from_secs(2), 0.075));
}
