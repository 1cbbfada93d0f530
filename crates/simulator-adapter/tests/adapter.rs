//! Tests of the replies of the simulator adapter to hand-written input, and of its errors for invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The line that starts an instance with one class of safe requests, `look`.
const HELLO_LINE: &str = "HELLO 7 caps.cancel=true caps.max-attempts=3 caps.second-copies=true \
caps.new-setting=12 classes.count=1 classes.0.effect=free classes.0.name=look classes.0.on-time=1.0 \
classes.0.hard-limit=2.0 n-instances=1 me=0 registry-mode=automatic rules.ask-within=10.0 rules.cold=5.0 \
rules.cold-share=0.2 rules.drain-grace=1.0 rules.fall-multiple=3.0 rules.tip-after=1.0 quantum=0.001 \
tier=1 zone=here zones=here";

/// Runs the adapter with this input until the adapter ends.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may end before it has read all of an invalid input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Returns the replies of the adapter to valid input.
fn replies_to(input: &str) -> String {
    let output = run_adapter(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Returns the lines that select and start an instance, and notify the instance of backend 51.
fn start_lines(instance: &str) -> String {
    format!(
        "SELECT {instance}\n{HELLO_LINE}\nROSTER 0 1\nITEM k 0 51 1 here in_service -\n\
         UPDATE 1 remembered 0\n"
    )
}

#[test]
fn sends_a_request_and_accepts_its_result() {
    let input = format!(
        "BATCH 1 1\nGO\nBATCH 2 2\n{}QUERY 00000000000000a1 0 - 0.5 0 - look -\nGO\n\
         BATCH 2.1 3\nSELECT proxy-1\nRESULT 00000000000000a1 51 0 S 0.1 1 -\nGO\n\
         BATCH 2.2 4\nSELECT proxy-1\nRESULT 00000000000000a1 51 0 X 0.1 1 1,-,2.5\n\
         CLIENT_LEFT 00000000000000a1\nHEALTH 0.1 51 S -\nPEER 2 -\nTICK_DUE 99\nGO\n",
        start_lines("proxy-1")
    );

    let replies = replies_to(&input);

    let lines: Vec<&str> = replies.lines().collect();
    assert_eq!(lines[..2], ["END 1", "BY proxy-1"]);
    assert!(lines[2].starts_with("SLEEP 2.498"), "{}", lines[2]);
    assert!(lines[3].starts_with("SLEEP 2."), "the first retry timer: {}", lines[3]);
    assert_eq!(lines[4..], ["PLACE 00000000000000a1 0.498000 51", "END 2", "END 3", "END 4"]);
}

#[test]
fn accepts_reselected_instances_refilled_lists_and_a_restart_in_one_batch() {
    let input = format!(
        "BATCH 1 1\n{}{}SELECT proxy-1\nROSTER 0 0\nUPDATE 2 all 0\nROSTER 0 1\n\
         ITEM k 0 52 1 here in_service 0\nUPDATE 3 changes 0\nQUERY 00000000000000a1 0 - 0.5 - - look -\n\
         SELECT proxy-2\nQUERY 00000000000000a2 1 00000000000000ff 0.5 1 who look 0.1\n\
         SELECT proxy-1\nTEARDOWN\n\
         {HELLO_LINE}\nUPDATE 3 refused 9\nQUERY 00000000000000a3 0 - 0 0 - look -\nGO\n",
        start_lines("proxy-1"),
        start_lines("proxy-2"),
    );

    let replies = replies_to(&input);

    let lines_starting_with =
        |prefix: &str| replies.lines().filter(|line| line.starts_with(prefix)).collect::<Vec<_>>();
    assert_eq!(lines_starting_with("BY"), ["BY proxy-1", "BY proxy-2", "BY proxy-1"]);
    assert_eq!(lines_starting_with("PLACE 00000000000000a1"), ["PLACE 00000000000000a1 0.498000 52"]);
    assert_eq!(lines_starting_with("PLACE 00000000000000a2"), ["PLACE 00000000000000a2 0.498000 51"]);
    assert_eq!(
        lines_starting_with("REJECT"),
        ["REJECT 00000000000000a3 -"],
        "a request with a timeout of 0 is rejected"
    );
    assert_eq!(lines_starting_with("END"), ["END 1"]);
}

#[test]
fn instances_in_one_process_take_the_same_actions_as_in_separate_processes() {
    let input_lines = |name: &str| {
        let mut lines = start_lines(name);
        for request in 0..9 {
            lines += &format!("QUERY 00000000000000a{request} 0 - 0.5 0 - look -\n");
        }
        lines
    };
    let actions = |batch: String| {
        let replies = replies_to(&format!("BATCH 1 1\n{batch}GO\n"));
        let lines = replies.lines().filter(|line| !line.starts_with("END"));
        lines.map(|line| format!("{line}\n")).collect::<String>()
    };

    let first = actions(input_lines("proxy-1"));
    let second = actions(input_lines("proxy-2"));
    let both = actions(input_lines("proxy-1") + &input_lines("proxy-2"));

    assert_eq!(both, first + &second);
}

#[test]
fn invalid_input_ends_the_process_with_an_error_that_describes_it() {
    let start = start_lines("proxy-1");
    let hello_without = |setting: &str| {
        HELLO_LINE.split(' ').filter(|part| !part.starts_with(setting)).collect::<Vec<_>>().join(" ")
    };
    let cases = [
        ("SELECT proxy-1\n".to_string(), "between batches, line 1: expected BATCH"),
        ("BATCH x 1\n".into(), "expected a number for the clock, got 'x'"),
        ("BATCH inf 1\n".into(), "expected a number for the clock"),
        ("BATCH 1\n".into(), "BATCH takes 2 values, got 1"),
        ("BATCH 1 1\nNOISE 3\n".into(), "batch 1, line 2: unknown event 'NOISE'"),
        ("BATCH 1 1\nTEARDOWN\n".into(), "expected SELECT first"),
        ("BATCH 1 1\nSELECT proxy-1\nTICK_DUE 1\n".into(), "expected HELLO first"),
        ("BATCH 1 1\nSELECT proxy-1\nQUERY 00000000000000a1 0 - 0.5 0 - look -\n".into(), "expected HELLO"),
        ("BATCH 1 1\nROSTER 16 0\n".into(), "a number from 0 to 15"),
        ("BATCH 1 1\nROSTER 0 2\nGO\n".into(), "expected an ITEM line"),
        ("BATCH 1 1\nITEM k 0 51 1 here in_service -\n".into(), "expected a ROSTER"),
        ("BATCH 1 1\nROSTER 0 1\nITEM k 0 51 -1 here in_service -\n".into(), "not below 0"),
        (
            format!("BATCH 1 1\n{start}QUERY 00000000000000a1 0 - 0.5 0 - other -\n"),
            "a class of the settings",
        ),
        (format!("BATCH 1 1\n{start}QUERY a1 0 - 0.5 0 - look -\n"), "16 hex digits"),
        (format!("BATCH 1 1\n{start}QUERY 00000000000000a1 0 - NaN 0 - look -\n"), "expected a number"),
        (format!("BATCH 1 1\n{start}RESULT 00000000000000a1 51 0 Q 0.1 1 -\n"), "one of S E F T C R X N"),
        (format!("BATCH 1 1\n{start}RESULT 00000000000000a1 51 0 S -0.1 1 -\n"), "not below 0"),
        (format!("BATCH 1 1\n{start}UPDATE 1 some 0\n"), "changes, all, remembered or refused"),
        (
            format!("BATCH 1 1\nSELECT p\n{} caps.max-attempts=few\n", hello_without("caps.max-attempts")),
            "a whole number for caps.max-attempts",
        ),
        (
            format!("BATCH 1 1\nSELECT p\n{} caps.cancel=perhaps\n", hello_without("caps.cancel")),
            "true or false for caps.cancel",
        ),
        (
            format!("BATCH 1 1\nSELECT p\n{}\n", hello_without("classes.count")),
            "missing setting classes.count",
        ),
        ("BATCH 1 1\nBATCH 2 2\n".into(), "expected GO before the next BATCH"),
        ("BATCH 1 1\n".into(), "batch 1, line 1: expected GO, got end of input"),
    ];

    for (input, expected) in cases {
        let output = run_adapter(&input);

        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{input}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(expected), "'{message}' does not contain '{expected}'");
        assert!(output.stdout.is_empty(), "no partial reply is written: {input}");
    }
    assert!(run_adapter("").status.success());
}
