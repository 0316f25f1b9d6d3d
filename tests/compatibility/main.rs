//! Tests that the formats which other programs and earlier versions read or write do not change: records, the
//! messages of a takeover, the operators' API, the counters, and the errors and exit statuses of `check`. The
//! files under `fixtures/compatibility` were written by the program of 1 December 2026 (records, messages,
//! responses) or hold its output on those. `check.txt` holds the present errors of `check`.
//!
//! The tests use processes and files alone, so that renames in the code cannot hide a changed format.

mod process;
mod takeover;

use process::{
    Gatherer, TestFolder, call, config, endpoint_list, fixture, fixtures, free_address, run, start_discovery,
    wait_until,
};
use serde_json::Value;
use std::collections::BTreeSet;

/// Replaces each number in the text by one 0, so that names, order and punctuation remain.
fn without_numbers(text: &str) -> String {
    let mut shape = String::new();
    for character in text.chars() {
        let is_digit = character.is_ascii_digit();
        let in_number = shape.ends_with('0');
        match character {
            _ if is_digit && in_number => {}
            _ if is_digit => shape.push('0'),
            '.' if in_number => {}
            character => shape.push(character),
        }
    }
    shape
}

/// Empties the sentences of a report, whose wording may change, and cuts the texts of damaged lines to their
/// place.
fn without_sentences(report: &str) -> Value {
    let mut report: Value = serde_json::from_str(report).expect("JSON");
    let clear_field = |list: &mut Value, key: &str| {
        list.as_array_mut().expect("a list").iter_mut().for_each(|entry| entry[key] = "".into());
    };
    clear_field(&mut report["events"], "what");
    clear_field(&mut report["findings"], "evidence");
    for fault in report["lines"]["first_damaged"].as_array_mut().expect("a list") {
        *fault = place(fault.as_str().expect("text")).into();
    }
    report
}

/// The file and line at the front of a message about a damaged record, as `file:line`.
fn place(fault: &str) -> String {
    fault.splitn(3, ':').take(2).collect::<Vec<_>>().join(":")
}

#[test]
fn records_of_an_earlier_version_are_valid_and_in_order() {
    let (status, output, errors) = run(&fixtures(), &["records", "verify", "records"]);
    assert_eq!((status, output.as_str()), (Some(0), fixture("verify.txt").as_str()), "{errors}");
}

#[test]
fn damage_to_records_of_an_earlier_version_is_found_at_the_same_lines() {
    let (status, output, _) = run(&fixtures(), &["records", "verify", "records-damaged"]);
    let places = |text: &str| text.lines().map(place).collect::<Vec<_>>();
    assert_eq!((status, places(&output)), (Some(1), places(&fixture("verify-damaged.txt"))));
}

#[test]
fn the_report_on_records_of_an_earlier_version_has_the_same_keys_and_values() {
    for (folder, expected) in [("records", "report.json"), ("records-damaged", "report-damaged.json")] {
        let (status, output, errors) = run(&fixtures(), &["report", "--json", folder]);
        assert_eq!(status, Some(0), "{errors}");
        assert_eq!(without_sentences(&output), without_sentences(&fixture(expected)), "{folder}");
    }
}

#[test]
fn names_in_records_are_those_of_the_earlier_version() {
    let (status, output, _) = run(&fixtures(), &["records", "schema"]);
    assert_eq!(status, Some(0));
    let mut names = BTreeSet::new();
    collect_names(&serde_json::from_str(&output).expect("JSON"), &mut names);
    let expected = fixture("record-names.txt").lines().map(str::to_owned).collect::<BTreeSet<_>>();
    assert_eq!(names, expected);
}

/// Collects the names of fields and the constant texts of a JSON schema.
fn collect_names(schema: &Value, names: &mut BTreeSet<String>) {
    match schema {
        Value::Object(entries) => {
            for (key, value) in entries {
                match (key.as_str(), value) {
                    ("properties", Value::Object(fields)) => names.extend(fields.keys().cloned()),
                    ("const", Value::String(text)) => drop(names.insert(text.clone())),
                    ("enum", Value::Array(texts)) => {
                        names.extend(texts.iter().filter_map(Value::as_str).map(str::to_owned));
                    }
                    _ => {}
                }
                collect_names(value, names);
            }
        }
        Value::Array(values) => values.iter().for_each(|value| collect_names(value, names)),
        _ => {}
    }
}

#[test]
fn check_prints_the_expected_errors_and_exits_with_the_expected_status() {
    let expected = fixture("check.txt");
    let files: Vec<&str> = expected
        .lines()
        .filter_map(|line| line.strip_prefix("## ").and_then(|rest| rest.split_once(": status ")))
        .map(|(file, _)| file)
        .collect();
    // The list names each file of the folder, and two files that do not exist.
    let existing = std::fs::read_dir(fixtures().join("files")).expect("a folder").count();
    assert_eq!(files.len(), existing + 2);
    let mut printed = String::new();
    for file in files {
        let (status, _, errors) = run(&fixtures().join("files"), &["check", file]);
        printed += &format!("## {file}: status {}\n{errors}", status.expect("a status"));
    }
    assert_eq!(printed, expected);
}

#[test]
fn counters_have_the_same_names_in_the_same_order() {
    let folder = TestFolder::new("compatible-counters");
    let list = endpoint_list(&["w1"]);
    let gatherer = Gatherer::start(&folder, &config("g0", &start_discovery(&list), &list), None);
    let response = call(&gatherer.clients, "GET", "/_counters").expect("a response");
    assert_eq!(without_numbers(&response.body), without_numbers(&fixture("counters.txt")));
}

#[test]
fn operators_calls_get_the_same_responses() {
    let folder = TestFolder::new("compatible-operators");
    let list = endpoint_list(&["w1", "w2"]);
    let gatherer = Gatherer::start(&folder, &config("g0", &start_discovery(&list), &list), None);
    let expected = fixture("operators.txt");
    let mut responses = Vec::new();
    for (request, _) in expected.lines().filter_map(|line| line.split_once(" -> ")) {
        let (method, path) = request.split_once(' ').expect("a method and a path");
        let response = gatherer.operate(method, path);
        let header = |name| response.header(name).unwrap_or("-");
        let head = format!("{request} -> {} {} {}", response.status, header("Content-Type"), header("Allow"));
        responses.push(format!("{head}\n{}\n", response.body.trim_end()));
    }
    assert_eq!(responses.join("\n"), expected);
}

#[test]
fn members_have_the_same_keys_in_the_same_order() {
    let folder = TestFolder::new("compatible-members");
    let list = endpoint_list(&["w1"]);
    let discovery = start_discovery(&list);
    let addresses = [free_address(), free_address()];
    let operator_file = |member: usize| {
        let table = "period_ms = 50\ncluster = \"c\"";
        format!(
            "[membership]\n{table}\nlisten = {:?}\nseeds = [{:?}]\n",
            addresses[member],
            addresses[1 - member]
        )
    };
    let first = Gatherer::start(&folder, &config("g0", &discovery, &list), Some(&operator_file(0)));
    let _second = Gatherer::start(&folder, &config("g1", &discovery, &list), Some(&operator_file(1)));
    let mut view = String::new();
    wait_until("the first member has received messages of the second", || {
        view = first.operate("GET", "/-/members").body;
        let json: Value = serde_json::from_str(&view).expect("JSON");
        json["members"][0]["state"] == "alive" && json["members"][0]["heard_s"].is_number()
    });
    assert_eq!(without_numbers(&view), without_numbers(fixture("members.json").trim_end()));
}
