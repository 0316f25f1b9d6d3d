//! Tests of machine-usage tables: their rows become load reports, which move a key off its busy preferred
//! replica.

mod common;

use common::platform::{platform_config, search_request, single_part};
use gatherer::policy::{AttemptOutcome, ClassId, Time};
use gatherer::protocol::machine_usage::{self, TableError};
use gatherer::routing::{AttemptCompletion, Command, Core, ListOrigin, QueryPart, SearchRequest};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Returns a table of two machines with a row for each second: `busy` is at 95% CPU, the other at 5%.
fn usage_table(busy: &str) -> String {
    let mut table = "machine_id,time_stamp,cpu_util_percent,mem_util_percent\n".to_owned();
    for second in 0..30 {
        for machine in ["w1", "w2"] {
            let percent = if machine == busy { 95 } else { 5 };
            let written = writeln!(table, "{machine},{second},{percent},40");
            assert!(written.is_ok(), "a row cannot be written");
        }
    }
    table
}

/// Reports the rows of the table to a core. Returns the worker that a part with this key is then sent to.
fn chosen_worker(table: &str, key: &str) -> String {
    let config = platform_config();
    let start = Time(1_700_000_000_000_000_000);
    let mut core = Core::new(config.contracts);
    core.apply_endpoint_update(
        Time(0),
        &config.initial_workers.expect("the configuration lists workers"),
        ListOrigin::Cache,
    );
    let mut now = start;
    let mut commands = core.step(now);
    for usage in machine_usage::read_rows(table.as_bytes()) {
        let usage = usage.expect("the row is valid");
        now = start.after(usage.at);
        let report = usage.load_report(&core.contracts().settings.report_fields);
        assert!(core.on_load_report(&usage.machine, report), "worker {} is not registered", usage.machine);
        commands.extend(core.step(now));
    }
    let part = QueryPart { key: Some(Arc::from(key)), ..single_part(None) };
    let request =
        SearchRequest { time_left: Duration::from_secs(4), ..search_request(ClassId(0), vec![part]) };
    core.submit(now, request).expect("the query is accepted");
    commands.extend(core.step(now));
    let mut names = Vec::new();
    let mut sent_to = None;
    for command in commands {
        match command {
            Command::UpsertWorker { worker, name, .. } => names.push((worker, name)),
            Command::Call { worker, parts } => {
                let completion = AttemptCompletion::without_value(AttemptOutcome::Succeeded);
                core.on_attempt_finished(now, parts[0].attempt_id, completion);
                sent_to = Some(worker);
            }
            _ => {}
        }
    }
    let commands = core.step(now).into_iter();
    assert_eq!(commands.filter(|command| matches!(command, Command::Respond { .. })).count(), 1);
    names.into_iter().find(|(worker, _)| Some(*worker) == sent_to).expect("the part was sent").1
}

#[test]
fn rows_of_a_table_move_a_key_off_its_busy_preferred_replica() {
    let preferred = chosen_worker("", "account-17");
    let other = if preferred == "w1" { "w2" } else { "w1" };
    assert_eq!(chosen_worker(&usage_table(&preferred), "account-17"), other);
    assert_eq!(chosen_worker(&usage_table(other), "account-17"), preferred);
}

#[test]
fn an_invalid_row_is_reported_with_its_line() {
    let cases = [
        ("m1,1,50\n,2,50\n", "line 2: machine id: missing"),
        ("m1,1,50\nm1,soon,50\n", "line 2: time: no time in seconds \"soon\""),
        ("m1,1,50\nm1,2,50\nm1,-3,50\n", "line 3: time: no time in seconds \"-3\""),
        ("m1,1,120\n", "line 1: CPU share: no percentage \"120\""),
    ];
    for (table, message) in cases {
        let error: TableError =
            machine_usage::read_rows(table.as_bytes()).find_map(Result::err).expect(message);
        assert_eq!(error.to_string(), message);
    }
    // A row without a CPU share is skipped; it is not an error.
    let rows: Vec<_> = machine_usage::read_rows("m1,1,\nm1, 2 ,7.5,3\n".as_bytes())
        .collect::<Result<_, _>>()
        .expect("the rows are valid");
    assert_eq!((rows.len(), rows[0].at, rows[0].utilization), (1, Duration::from_secs(2), 0.075));
}
