//! Tests of the format of lines and of the rate limit.

use log::kv::Value;

use super::rate_limit::MAX_LINES_PER_SECOND;
use super::*;

#[test]
fn excess_lines_are_dropped_and_counted_by_part() {
    let logger = Logger::new(sync_channel(1).0, Format::Text);
    let admitted = (0..100)
        .filter(|_| logger.admit("connection", 7).is_some())
        .count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert_eq!(
        (logger.admit("engine", 7), logger.admit("connection", 8)),
        (Some(0), Some(80))
    );
}

#[test]
fn a_json_line_has_the_contents_of_a_text_line_and_the_fields() {
    let values = [
        ("connections", Value::from(3u64)),
        ("of", Value::from("n0")),
    ];
    let record = Record::builder()
        .args(format_args!("3 \"went\" on\n"))
        .level(Level::Warn)
        .target("merlinshelf_backend::host")
        .key_values(&values)
        .build();
    let line = |seconds: u64, milliseconds: u32, missing_lines: u64| Line {
        record: &record,
        part: "host",
        time: Duration::new(seconds, milliseconds * 1_000_000),
        missing_lines,
    };
    insta::assert_snapshot!(line(1_764_576_000, 12, 2).as_json(), @r#"{"connections":3,"level":"warn","lost_before":2,"of":"n0","part":"host","text":"3 \"went\" on\n","time":1764576000.012}"#);
    assert_eq!(
        line(7, 5, 0).as_text(),
        "7.005 WARN host: 3 \"went\" on\n\n"
    );
}

#[test]
fn modules_that_manage_the_process_are_logged_as_the_program() {
    let parts = [
        "merlinshelf_backend::process::signals",
        "merlinshelf_backend::process",
        "merlinshelf_backend::instance::restored",
        "merlinshelf_backend::upgrade::successor_guard",
        "merlinshelf_backend::startup_wait",
        "merlinshelf_backend::control",
        "merlinshelf_backend::exchange::runs",
        "merlinshelf_backend::gossip::store_thread",
        "merlinshelf_backend::client::registration",
        "merlinshelf_agent::host",
    ]
    .map(line::part);
    let program = ["merlinshelf"; 6];
    assert_eq!(parts[..6], program);
    assert_eq!(
        parts[6..],
        ["runs", "learning", "registration", "merlinshelf"]
    );
}
