//! The adapter's errors: each names the line, message and field, and keeps the error that caused it.

use crate::error::AdapterError;
use crate::serve;
use gatherer::program::settings::InvalidSetting;
use std::error::Error;
use std::io::{self, BufReader, Read};
use std::num::{ParseFloatError, ParseIntError};
use std::str::Utf8Error;

/// The error at which the adapter stops on this input.
fn error_on(input: &[u8]) -> AdapterError {
    serve(&mut &*input, &mut io::sink()).expect_err("the input is malformed")
}

/// The last error of a chain of sources.
fn innermost<'a>(error: &'a (dyn Error + 'static)) -> &'a (dyn Error + 'static) {
    error.source().map_or(error, innermost)
}

#[test]
fn an_error_keeps_its_source() {
    assert!(innermost(&error_on(b"turn x\n")).is::<ParseIntError>());
    assert!(innermost(&error_on(b"turn 5\n\xff\n")).is::<Utf8Error>());
    let started = "turn 5\nto 3\nstart 1\n";
    let report = format!("{started}ping_result 1 done 5 1,x\n");
    assert!(innermost(&error_on(report.as_bytes())).is::<ParseFloatError>());
    let settings = error_on(b"turn 5\nto 3\nstart 1 domain.slices=many\n");
    assert!(innermost(&settings).is::<InvalidSetting>());
}

#[test]
fn a_read_error_of_standard_input_names_its_reason() {
    struct Unreadable;
    impl Read for Unreadable {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    }
    let error =
        serve(&mut BufReader::new(Unreadable), &mut io::sink()).expect_err("the input cannot be read");
    assert_eq!(error.to_string(), "cannot read standard input: connection reset");
    let source_kind = innermost(&error).downcast_ref::<io::Error>().map(io::Error::kind);
    assert_eq!(source_kind, Some(io::ErrorKind::ConnectionReset));
}

#[test]
fn an_error_names_line_message_field_and_value() {
    let texts = [
        ("hello\n", "line 1: expected \"turn\", got \"hello\""),
        ("turn x\n", "line 1: turn: now: bad value \"x\": invalid digit found in string"),
        ("turn 5\nto\n", "line 2: to: who: missing"),
        ("turn 5\nto -\n", "line 2: to: who: absent"),
        ("turn 5\ndue 7\n", "line 2: due: no instance named by \"to\" in this batch"),
        ("turn 5\nto 3\ndue 7\n", "line 3: due: who: instance 3 was never started"),
        ("turn 5\nwhat 1\n", "line 2: unknown message \"what\""),
        ("turn 5\nto 3 4\n", "line 2: to: end of line: unexpected \"4\""),
        ("turn 5\nlist 0 1\nend\n", "line 3: end: expected a list entry (\"m\")"),
        ("turn 5\nregistry C 1 9\n", "line 2: registry: roster-id: no endpoint list of this number"),
        ("turn 5\n", "line 1: input ends inside a batch"),
    ];
    for (input, text) in texts {
        assert_eq!(error_on(input.as_bytes()).to_string(), text);
    }
}
