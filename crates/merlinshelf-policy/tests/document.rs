//! The policy document: validation, and the overlay on an instance's configuration.

use garde::Validate;
use merlinshelf_admission::Settings;
use merlinshelf_dependencies::Dependencies;
use merlinshelf_policy::Policy;

/// Parses and validates a document; the error is the message that operators get.
fn parse(text: &str) -> Result<Policy, String> {
    let policy: Policy = json5::from_str(text).map_err(|error| error.to_string())?;
    policy
        .validate()
        .map_err(|report| report.to_string().trim().to_owned())?;
    Ok(policy)
}

fn sample_settings() -> Settings {
    let settings = [
        ("Classes.count", "2"),
        ("Classes.0.Name", "page"),
        ("Classes.0.AimUs", "1000000"),
        ("Classes.1.Name", "search"),
        ("Tenants.count", "2"),
        ("Tenants.0.Name", "town"),
        ("Tenants.0.QuotaPerS", "30"),
        ("Tenants.1.QuotaPerS", "10"),
        ("FamilyInfo.CallShare", "6.25"),
    ];
    settings
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

#[test]
fn a_policy_overlays_the_settings_of_an_instance() {
    let text =
        "{note: 'evening', operations: {page: {aim_ms: 700, worth: 2, late: 0.25}, search: {admit: false}},
        tenants: {town: 0.5, '1': 0.25}, call_share: 4}";
    let policy = parse(text).expect("it is valid");
    let settings = policy
        .settings(&sample_settings())
        .expect("it matches the settings");
    let lines: Vec<String> = settings
        .iter()
        .filter(|(name, value)| sample_settings().get(*name) != Some(value))
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(
        Policy::default().settings(&sample_settings()),
        Ok(sample_settings())
    );
}

#[test]
fn invalid_documents_and_mismatches_are_reported() {
    let invalid = [
        "7",
        "{operation: {}}",
        "{operations: {page: {aim_ms: NaN}}}",
        "{operations: {page: {aim_ms: -1}}}",
        "{operations: {page: {worth: Infinity}}}",
        "{operations: {page: {late: 1.5}}}",
        "{operations: {page: {calls: {catalogue: 0}}}}",
        "{tenants: {town: 0.7, '1': 0.4}}",
        "{tenants: {town: NaN}}",
        "{call_share: 0}",
        "{dependencies: {catalogue: {subset: 0}}}",
    ];
    let mut lines: Vec<String> = invalid
        .map(|text| parse(text).expect_err("it is invalid"))
        .to_vec();
    let mismatched = [
        "{operations: {pages: {worth: 1}, '0': {worth: 1}}, tenants: {village: 0.1, '7': 0.1}}",
        "{dependencies: {catalogue: {out_most: 0.1}}, operations: {page: {calls: {catalogue: 0.5}}}}",
    ];
    for text in mismatched {
        let policy = parse(text).expect("it is valid");
        let errors = [
            policy.settings(&sample_settings()).err(),
            policy.dependencies(None).err(),
        ];
        lines.extend(errors.into_iter().flatten().map(|error| error.to_string()));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_policy_overlays_the_operators_dependencies() {
    let base: Dependencies = json5::from_str(
        "{dependencies: {a: {servers: [{address: '127.0.0.1:1'}]}},
          operations: {page: {calls: [{to: 'a', share: 0.3}, {to: 'a', share: 0.6}]}}}",
    )
    .expect("it can be read");
    let policy =
        parse("{dependencies: {a: {out_most: 0.2}}, operations: {page: {calls: {a: 0.4}}}}")
            .expect("it is valid");
    let dependencies = policy
        .dependencies(Some(&base))
        .expect("it matches the dependencies")
        .expect("there are dependencies");
    let shares: Vec<Option<f64>> = dependencies.operations["page"]
        .calls
        .iter()
        .map(|call| call.deadline_share)
        .collect();
    assert_eq!(dependencies.dependencies["a"].max_ejected_share, 0.2);
    assert_eq!(shares, [Some(0.4), Some(0.4)]);
    // Together the two calls would exceed the caller's time.
    let policy = parse("{operations: {page: {calls: {a: 0.6}}}}").expect("it is valid");
    assert!(policy.dependencies(Some(&base)).is_err());
}
