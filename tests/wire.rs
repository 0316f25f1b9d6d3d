//! The simulator adapter's protocol on standard input and output: every message is accepted, and malformed
//! input is reported with its line and field.

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on this input; returns whether it succeeded, its output and its errors.
fn run_adapter(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a malformed line, so a failed write is no error here.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("the adapter ends");
    (
        out.status.success(),
        String::from_utf8(out.stdout).expect("the output is UTF-8"),
        String::from_utf8(out.stderr).expect("the output is UTF-8"),
    )
}

/// Starts aggregator 3 with one class, two shards and two workers.
const CONFIGURE: &str = "turn 1000000000
to 3
start 51381 allowed.cancel=true allowed.most-tries=3 allowed.probing=true allowed.retry-after=true \
allowed.max-retry-after=2000000000 allowed.second-copies=true balancers=2 categories.count=1 \
categories.0.deadline=5000000000 categories.0.promise=1500000000 categories.0.semantics=repeatable \
categories.0.worth=1.0 discovery=on_request domain.call=28000000 domain.cells=2 domain.per-call=16 \
domain.slices=2 domain.span=2 domain.whole-at=1.0 quantum=5000000 report.fields=busy,colour \
report.source=piggyback rules.cold-share=0.2 rules.fall=1000000000 rules.fall-multiple=3.0 \
rules.warm-up=17000000000 some.new-setting=42
list 0 2
m 51530247 0 0 0 active 1 -
m 747639282 1 0 1 active 1.5 610000000
registry C 41 0
end
";

/// Submits a query and its one part to aggregator 3.
const SUBMIT: &str = "turn 1005000000
to 3
submit 560c18c75d3a91c4 0 0 q:kd6b5sum7ecwe 5005000000 - 214 -1 1 0 0
submit 560c18c75d3a91c5 0 0 q:kd6b5sum7ecwe 5005000000 12000000 214 0 1 0 0
end
";

/// Returns the worker to which the first attempt in the reply is sent.
fn issued_worker(reply: &str) -> String {
    let line = reply.lines().find(|line| line.starts_with("issue ")).expect("the reply has an attempt");
    line.split(' ').nth(2).expect("the attempt has a worker").to_owned()
}

#[test]
fn a_query_is_sent_and_answered() {
    let (_, reply, _) = run_adapter(&format!("{CONFIGURE}{SUBMIT}"));
    let worker = issued_worker(&reply);
    let completed =
        format!("turn 1100000000\nto 3\ncompleted 560c18c75d3a91c5 0 {worker} done 95000000 1 0.5,7\nend\n");
    let (ok, reply, errors) = run_adapter(&format!("turn 1\nend\n{CONFIGURE}{SUBMIT}{completed}"));
    assert!(ok, "{errors}");
    assert!(reply.starts_with("done\nfrom 3\ntail 1\n"), "{reply}");
    assert!(reply.contains("\nissue 560c18c75d3a91c5 "));
    assert!(reply.contains("\nconclude 560c18c75d3a91c4 1\n"));
    assert!(reply.ends_with("done\n"));
}

#[test]
fn every_message_is_accepted() {
    let all_messages = "turn 1200000000
to 3
established 560c18c75d3a91c5 0 51530247 5
client_left 560c18c75d3a91c4
due 0
ping_result 51530247 etimedout 250000000 -
message 1 aGkgNw==
registry X - -
list 0 1
m 51530247 0 0 0 leaving 1 -
registry D 42 0
list 0 1
m 51530247 0 0 0 left 1 -
registry F 43 0
completed 0000000000000001 0 51530247 ecanceled 5 1 -
power_off
start 7 categories.count=0
end
";
    let (ok, reply, errors) = run_adapter(&format!("{CONFIGURE}{SUBMIT}{all_messages}"));
    assert!(ok, "{errors}");
    assert!(reply.ends_with("done\n"));
}

#[test]
fn the_same_input_gives_the_same_output() {
    let input = format!("{CONFIGURE}{SUBMIT}");
    assert_eq!(run_adapter(&input).1, run_adapter(&input).1);
}

#[test]
fn malformed_input_is_reported_with_its_line_and_field() {
    let cases = [
        ("hello\n", "line 1", "turn"),
        ("turn x\n", "line 1", "now"),
        ("turn 5\nto\n", "line 2", "who"),
        ("turn 5\nto 3\ndue 7\n", "line 3", "never started"),
        ("turn 5\nto 3\nstart 1 nonsense\n", "line 3", "env"),
        ("turn 5\nto 3\nstart 1 domain.slices=many\n", "line 3", "domain.slices"),
        ("turn 5\nto 3\nstart 1\nwhat 1\n", "line 4", "unknown message"),
        ("turn 5\nto 3\nstart 1\ndue seven\n", "line 4", "handle"),
        ("turn 5\nto 3\nstart 1\ndue 7 8\n", "line 4", "unexpected"),
        ("turn 5\nto 3\nstart 1\nclient_left xyz\n", "line 4", "corr"),
        ("turn 5\nto 3\nstart 1\nregistry C 1 9\n", "line 4", "roster-id"),
        ("turn 5\nto 3\nstart 1\ncompleted 560c18c75d3a91c5 0 1 fine 5 1 -\n", "line 4", "disposition"),
        ("turn 5\nlist 0 2\nm 1 0 0 0 active 1 -\nend\n", "line 4", "list entry"),
        ("turn 5\nlist 0 1\nm 1 0 0 0 asleep 1 -\nend\n", "line 3", "status"),
        ("turn 5\nto 3\n", "line 2", "inside a batch"),
    ];
    for (input, line, field) in cases {
        let (ok, _, errors) = run_adapter(input);
        assert!(!ok, "accepted {input:?}");
        assert!(errors.contains(line) && errors.contains(field), "{input:?} gave {errors:?}");
        assert!(!errors.contains("panicked"), "{errors}");
    }
}
