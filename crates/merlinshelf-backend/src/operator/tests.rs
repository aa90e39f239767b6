//! Tests of the operators' file: the example, the schema and the errors.

use super::*;

const EXAMPLE: &str = include_str!("../../../../deploy/operator.json5");

#[test]
fn the_example_is_parsed_and_the_published_schema_is_current() {
    let operator = Operator::parse(EXAMPLE).expect("the example is valid");
    let upgrade = operator.upgrade.expect("upgrades are configured");
    assert_eq!((upgrade.watched_ms, upgrade.silent_ms), (2_000, 1_000));
    let learning = operator.learning.expect("learning is configured");
    assert_eq!(learning.peers.expect("peers").seeds.len(), 2);
    assert_eq!(Operator::parse("{}"), Ok(Operator::default()));
    // To regenerate it, run `merlinshelf check --schema > deploy/operator.schema.json`.
    assert_eq!(
        Operator::schema(),
        include_str!("../../../../deploy/operator.schema.json")
    );
}

#[test]
fn errors_name_line_field_and_reason() {
    let long = format!("{{control: {{socket: '/{}'}}}}", "x".repeat(100));
    let texts = [
        "{",
        "{control: 7}",
        "{\n  // one\n  controls: {socket: '/run/one'},\n}",
        "{\n  upgrade: {\n    watched_ms: -1,\n  },\n}",
        "{\n  upgrade: {\n    ready_ms: 20,\n    watched_ms: 5,\n    silent_ms: 70000,\n  },\n}",
        "{log: {format: 'xml'}}",
        "{log: {level: 3}}",
        &long,
        "{upgrade: {descriptors: 3}}",
        "{learning: {share: 0.9}}",
        "{learning: {engine: ''}}",
        "{learning: {peers: {listen: '10.0.0.1:7400'}}}",
        "{learning: {\n peers: {listen: '127.0.0.1:7400',\n seeds: ['localhost']}}}",
        "{learning: {peers: {listen: '127.0.0.1:0'}}}",
        "{dependencies: {dependencies: {a: {servers: [], instead: 'b'}}, operations: {page: {calls: [{to: 'x'}]}}}}",
        "{dependencies: {dependencys: {}}}",
        "{policy: {without: 'nothing'}}",
        "{policy: {drift: 0.5, base: {tenants: {a: 0.7, b: 0.7}}}}",
    ];
    let errors = texts.map(|text| match Operator::parse(text) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    });
    insta::assert_snapshot!(errors.join("\n"));
}
