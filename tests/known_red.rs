//! Tests of `.ci/known-red`, which reads the list of tests that are known to fail. A malformed list must be
//! rejected, since it could exclude the wrong tests from CI.

use std::process::{Command, Output};

/// Runs the script on a list with this text, or on a missing file.
fn check(text: Option<&str>) -> Output {
    let file = std::env::temp_dir().join(format!("clayshore-known-red-{}.txt", std::process::id()));
    match text {
        Some(text) => std::fs::write(&file, text).expect("written"),
        None => drop(std::fs::remove_file(&file)),
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let output = Command::new(script).arg(&file).output().expect("the script runs");
    drop(std::fs::remove_file(&file));
    output
}

#[test]
fn a_list_has_at_most_three_lines_each_with_test_cause_and_issue() {
    let names = |text: Option<&str>| {
        let output = check(text);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).expect("text")
    };
    assert_eq!(names(None), "");
    assert_eq!(names(Some("a::b | test times out | 28\nc | response lost | issue 9")), "a::b\nc\n");
    let line = "a | cause | 1\n";
    let cases = [
        (line.repeat(4), "more than three lines"),
        (format!("{line}a | | 1\n"), "line 2: expected"),
        ("a | cause |\n".to_owned(), "line 1: expected"),
        ("| cause | 1\n".to_owned(), "line 1: expected"),
        ("a b | cause | 1\n".to_owned(), "line 1: expected"),
        (format!("{line}\n"), "line 2: expected"),
    ];
    for (text, fault) in cases {
        let output = check(Some(&text));
        let errors = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && errors.contains(fault), "{text:?}: {errors}");
    }
}
