//! Sends complete sequences of lines to the adapter and compares its output with snapshots.

use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "SYNC\tTimeUs=1000000\tturn=1\nINIT\tBackend=backend/1\tSalt=5\tClasses.count=1\t\
    Classes.0.AimUs=1000000\tClasses.0.DeadlineUs=2000000\tClasses.0.Effect=read_like\tFamilyInfo.Cores=2\tNew.Key=x\nEOB\n";

/// Runs the adapter with this input and returns its output, its error output and its exit status.
fn run_adapter(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_merlinshelf-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(input.as_bytes())
        .expect("writable input");
    let output = child.wait_with_output().expect("exit status");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace('\t', " ");
    let (replies, errors) = (text(&output.stdout), text(&output.stderr));
    format!("{replies}{errors}success: {}", output.status.success())
}

#[test]
fn an_invocation_is_dispatched_and_completed() {
    let rest = "\nSYNC\tTimeUs=1002000\tturn=2\nSUBMIT\tBackend=backend/1\tJob=t/a\tHeldKb=20.5\tNew=1\n\
        WHAT\tBackend=backend/1\nSUBMIT\tBackend=backend/9\tJob=t/b\nRESULT\tBackend=backend/1\tJob=t/z\tStateCode=completed\nEOB\n\
        SYNC\tTimeUs=1302000\tturn=3\nRESULT\tBackend=backend/1\tJob=t/a\tElapsedUs=300000\tStateCode=completed\n\
        EXPIRED\tBackend=backend/1\tJob=t/a\nCRASH_NOW\tBackend=backend/1\nNOTICE\tBackend=backend/1\tTimeBudgetUs=5\nEOB\n";
    insta::assert_snapshot!(run_adapter(&format!("{START}{rest}")));
}

#[test]
fn malformed_lines_are_reported_and_stop_the_adapter() {
    let malformed = [
        "SUBMIT\tBackend=backend/1\tJob=t/a\tBand=one\n",
        "SUBMIT\tBackend=backend/1\tJob=t/a\tHeldKb=nan\n",
        "SUBMIT\tBackend=backend/1\n",
        "SUBMIT\tBackend=backend/1\tJob\n",
        "ALARM\tBackend=backend/1\tHandle=1\tStats=cpu_busy\n",
        "RESULT\tBackend=backend/9\tJob=t/a\tElapsedUs=-4\tStateCode=completed\n",
        "INIT\tBackend=backend/2\tFamilyInfo.Cores=many\n",
        "SYNC\tTimeUs=1\tturn=3\n",
        "",
    ];
    let outputs: Vec<String> = malformed
        .iter()
        .map(|line| run_adapter(&format!("{START}SYNC\tTimeUs=1002000\tturn=2\n{line}")))
        .collect();
    insta::assert_snapshot!(outputs.join("\n---\n"));
}

#[test]
fn a_panic_of_the_controller_is_reported_as_a_fault() {
    let too_many_operations = START.replace("Classes.count=1", "Classes.count=1e30");
    let output = run_adapter(&too_many_operations);
    let fault = output
        .lines()
        .find(|line| line.starts_with("FAULT"))
        .unwrap_or("none");
    insta::assert_snapshot!(format!("{fault}\n{}", output.lines().last().unwrap_or("")));
}
