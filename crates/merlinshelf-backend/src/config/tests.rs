//! Tests of parsing the platform's configuration.

use super::*;

const EXAMPLE: &str = include_str!("../../../../examples/config.json");

#[test]
fn settings_are_flattened_as_in_the_first_message_of_the_benchmark() {
    let config = Config::parse(EXAMPLE).expect("the example can be read");
    assert_eq!(
        (config.seed, config.drain_timeout),
        (0x8c1f_30d2_7a5b_e964, Duration::from_millis(3200))
    );
    let lines: Vec<String> = config
        .settings
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn errors_name_the_missing_or_invalid_field() {
    let replacements = [
        ("{", "["),
        ("\"listen\": \"127.0.0.1:6565\"", "\"listen\": \"nowhere\""),
        ("\"engine\"", "\"motor\""),
        ("\"members\": \"127.0.0.1:8761\"", "\"members\": 8761"),
        ("8c1f30d27a5be964", "8c1f30d27a5be96x"),
        ("\"stop_ms\": 3200", "\"stop_ms\": -1"),
        ("\"memory_mb\": 192", "\"memory_mb\": \"192\""),
        ("\"sockets\"", "\"plugs\""),
        ("\"name\": \"n0\"", "\"name\": \"a b\""),
        ("\"settings\"", "\"set\""),
    ];
    let errors = replacements.map(|(from, to)| {
        let config = Config::parse(&EXAMPLE.replacen(from, to, 1));
        config.err().map(|error| error.to_string())
    });
    insta::assert_snapshot!(format!("{errors:#?}"));
}
