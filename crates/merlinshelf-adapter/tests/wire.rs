//! Feeds the adapter whole conversations and compares all that it says with what is kept.

use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "SYNC\tTimeUs=1000000\tturn=1\nINIT\tBackend=backend/1\tSalt=5\tClasses.count=1\t\
    Classes.0.AimUs=1000000\tClasses.0.DeadlineUs=2000000\tClasses.0.Effect=read_like\tFamilyInfo.Cores=2\tNew.Key=x\nEOB\n";

fn talk(input: &str) -> String {
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
        .expect("it reads");
    let output = child.wait_with_output().expect("it ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace('\t', " ");
    let (said, named) = (text(&output.stdout), text(&output.stderr));
    format!("{said}{named}success: {}", output.status.success())
}

#[test]
fn an_invocation_goes_in_and_out() {
    let rest = "\nSYNC\tTimeUs=1002000\tturn=2\nSUBMIT\tBackend=backend/1\tJob=t/a\tHeldKb=20.5\tNew=1\n\
        WHAT\tBackend=backend/1\nSUBMIT\tBackend=backend/9\tJob=t/b\nRESULT\tBackend=backend/1\tJob=t/z\tStateCode=completed\nEOB\n\
        SYNC\tTimeUs=1302000\tturn=3\nRESULT\tBackend=backend/1\tJob=t/a\tElapsedUs=300000\tStateCode=completed\n\
        EXPIRED\tBackend=backend/1\tJob=t/a\nCRASH_NOW\tBackend=backend/1\nNOTICE\tBackend=backend/1\tTimeBudgetUs=5\nEOB\n";
    insta::assert_snapshot!(talk(&format!("{START}{rest}")));
}

#[test]
fn malformed_lines_are_named_and_end_it() {
    let bad = [
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
    let shown: Vec<String> = bad
        .iter()
        .map(|line| talk(&format!("{START}SYNC\tTimeUs=1002000\tturn=2\n{line}")))
        .collect();
    insta::assert_snapshot!(shown.join("\n---\n"));
}

#[test]
fn a_panic_of_the_module_becomes_a_fault() {
    let many = START.replace("Classes.count=1", "Classes.count=1e30");
    let shown = talk(&many);
    let fault = shown
        .lines()
        .find(|line| line.starts_with("FAULT"))
        .unwrap_or("none");
    insta::assert_snapshot!(format!("{fault}\n{}", shown.lines().last().unwrap_or("")));
}
