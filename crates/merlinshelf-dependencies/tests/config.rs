//! Validation of the operators' settings.

use merlinshelf_dependencies::Dependencies;

fn parse(text: &str) -> Dependencies {
    json5::from_str(text).expect("decodable settings")
}

#[test]
fn check_reports_every_error() {
    let valid = r#"{
        dependencies: {
            prices: { servers: [{ address: "127.0.0.1:1" }, { address: "127.0.0.1:2", zone: "a", weight: 2 }], subset: 2 },
            stock: { servers: [{ address: "127.0.0.1:3" }], instead: "prices" },
        },
        operations: { page: { calls: [{ to: "prices", share: 0.5, needed: true }, { to: "stock", share: 0.5, cost: 0.3 }] } },
    }"#;
    assert_eq!(parse(valid).check(), Ok(()));
    assert_eq!(Dependencies::default().check(), Ok(()));
    let invalid = r#"{
        dependencies: {
            a: { servers: [], instead: "b" },
            b: { servers: [{ address: "nowhere" }, { address: "127.0.0.1:1", weight: 0 }, { address: "127.0.0.1:1" }], instead: "c" },
            c: { servers: [{ address: "127.0.0.1:1" }], instead: "a", out_most: 1.5, subset: 0 },
            "d, e": { servers: [{ address: "127.0.0.1:1" }], instead: "nobody" },
        },
        operations: {
            page: { calls: [{ to: "a", share: 0.7 }, { to: "x", share: 0.6, cost: 2 }, { to: "b", share: 0 }] },
            all: { at_once: true, calls: [{ to: "a", share: 0.7 }, { to: "b", share: 0.7 }] },
        },
    }"#;
    let errors = parse(invalid).check().expect_err("invalid settings");
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(messages.join("\n"));
    assert!(json5::from_str::<Dependencies>("{ dependancies: {} }").is_err());
}
