//! The document and an instance's part by hand.

use garde::Validate;
use merlinshelf_admission::Settings;
use merlinshelf_dependencies::Dependencies;
use merlinshelf_policy::messages::{Heartbeat, LeaseGrant};
use merlinshelf_policy::{EffectivePolicy, LeaseExpiryMode, LeaseHolder, Policy};

fn read(text: &str) -> Result<Policy, String> {
    let policy: Policy = json5::from_str(text).map_err(|error| error.to_string())?;
    policy
        .validate()
        .map_err(|report| report.to_string().trim().to_owned())?;
    Ok(policy)
}

fn settings() -> Settings {
    let all = [
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
    all.iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

#[test]
fn a_document_says_what_an_instance_is_set_to() {
    let text =
        "{note: 'evening', operations: {page: {aim_ms: 700, worth: 2, late: 0.25}, search: {admit: false}},
        tenants: {town: 0.5, '1': 0.25}, call_share: 4}";
    let under = read(text)
        .and_then(|policy| policy.settings(&settings()))
        .expect("it fits");
    let changed = under
        .iter()
        .filter(|(name, value)| settings().get(*name) != Some(value));
    let lines: Vec<String> = changed
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(Policy::default().settings(&settings()), Ok(settings()));
}

#[test]
fn what_is_no_policy_or_fits_no_instance_is_named() {
    let wrong = [
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
    let mut lines: Vec<String> = wrong
        .map(|text| read(text).err().unwrap_or("it is taken".into()))
        .to_vec();
    let unfit = [
        "{operations: {pages: {worth: 1}, '0': {worth: 1}}, tenants: {village: 0.1, '7': 0.1}}",
        "{dependencies: {catalogue: {out_most: 0.1}}, operations: {page: {calls: {catalogue: 0.5}}}}",
    ];
    for text in unfit {
        let policy = read(text).expect("it is a policy");
        lines.extend(policy.settings(&settings()).err());
        lines.extend(policy.dependencies(None).err());
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn budgets_and_limits_of_dependencies_are_laid_over_the_operators_own() {
    let own: Dependencies = json5::from_str(
        "{dependencies: {a: {servers: [{address: '127.0.0.1:1'}]}},
          operations: {page: {calls: [{to: 'a', share: 0.3}, {to: 'a', share: 0.6}]}}}",
    )
    .expect("it can be read");
    let policy =
        read("{dependencies: {a: {out_most: 0.2}}, operations: {page: {calls: {a: 0.4}}}}");
    let under = policy
        .and_then(|policy| policy.dependencies(Some(&own)))
        .expect("it fits")
        .expect("there are some");
    let shares: Vec<_> = under.operations["page"]
        .calls
        .iter()
        .map(|call| call.share)
        .collect();
    assert_eq!(
        (under.dependencies["a"].out_most, shares),
        (0.2, vec![Some(0.4), Some(0.4)])
    );
    // Together they would be over the whole of the caller's time.
    let policy = read("{operations: {page: {calls: {a: 0.6}}}}");
    assert!(
        policy
            .and_then(|policy| policy.dependencies(Some(&own)))
            .is_err()
    );
}

/// One beat after the other, with what the instance acts on after each.
#[test]
fn an_instance_acts_on_a_lease_and_on_nothing_that_lay_somewhere_in_between() {
    let mut holder = LeaseHolder::new(7, Policy::default(), LeaseExpiryMode::BasePolicy, 0.01);
    let mut lines = Vec::new();
    let policy = |number: u64| Policy {
        call_share: Some(number as f64),
        ..Policy::default()
    };
    let beat = |life, offer: Option<u64>, fence, grant: Option<(u64, f64)>| Heartbeat {
        incarnation: life,
        offered_policy: offer.map(|number| (number, policy(number))),
        fence_version: fence,
        grant: grant.map(|(number, asked)| LeaseGrant {
            version: number,
            requested_at: asked,
            duration_seconds: 2.0,
        }),
        quota_grants: None,
    };
    let script = [
        ("of nobody", 0.0, beat(0, Some(1), 0, Some((1, 0.0)))),
        (
            "a grant without its document",
            0.1,
            beat(7, None, 0, Some((1, 0.0))),
        ),
        (
            "with its document",
            0.2,
            beat(7, Some(1), 0, Some((1, 0.1))),
        ),
        ("renewed", 1.0, beat(7, None, 0, Some((1, 0.9)))),
        (
            "an older grant that comes late",
            1.1,
            beat(7, None, 0, Some((1, 0.2))),
        ),
        ("for another life", 1.2, beat(8, None, 1, None)),
        ("over", 2.9, beat(0, None, 0, None)),
        (
            "renewed after a pause",
            3.0,
            beat(7, Some(2), 0, Some((1, 2.9))),
        ),
        ("fenced", 3.1, beat(7, None, 1, None)),
        (
            "an old grant after the fence",
            3.2,
            beat(7, None, 0, Some((1, 3.1))),
        ),
        ("the next one", 3.3, beat(7, None, 0, Some((2, 3.2)))),
        ("one that does not fit", 3.4, beat(7, Some(3), 0, None)),
        (
            "a grant of what does not fit",
            3.5,
            beat(7, None, 0, Some((3, 3.4))),
        ),
        (
            "read minutes later",
            300.0,
            beat(7, None, 0, Some((2, 3.5))),
        ),
        (
            "asked in the future",
            300.1,
            beat(7, None, 0, Some((2, 400.0))),
        ),
    ];
    for (what, now, beat) in script {
        let fits = |policy: &Policy| {
            let fits = policy.call_share.is_some_and(|share| share < 3.0);
            if fits {
                Ok(())
            } else {
                Err("no room".to_owned())
            }
        };
        let said = holder.handle_heartbeat(now, beat, fits);
        lines.push(format!(
            "{now:>5} {what}: {:?}, fenced {}, knows {:?}, unfit {:?}, {:.2} s left",
            holder.effective_policy(now),
            said.fenced_version,
            said.known_versions,
            said.rejected_version,
            said.lease_remaining_seconds
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_successor_goes_on_with_the_lease_and_who_takes_back_holds_none() {
    let mut old = LeaseHolder::new(7, Policy::default(), LeaseExpiryMode::RejectAll, 0.01);
    assert_eq!(
        (old.effective_policy(0.0), old.is_ready()),
        (EffectivePolicy::RejectAll, false)
    );
    let grant = LeaseGrant {
        version: 1,
        requested_at: 0.0,
        duration_seconds: 2.0,
    };
    let beat = Heartbeat {
        incarnation: 7,
        offered_policy: Some((1, Policy::default())),
        grant: Some(grant),
        ..Heartbeat::default()
    };
    old.handle_heartbeat(0.1, beat, |_| Ok(()));
    assert_eq!(
        (old.effective_policy(0.2), old.is_ready()),
        (EffectivePolicy::Leased(1), true)
    );
    let passed = old.begin_handover(8);
    assert_eq!(
        old.effective_policy(0.2),
        EffectivePolicy::RejectAll,
        "it may come back when the successor has long given the lease up"
    );
    let mut new = LeaseHolder::new(9, Policy::default(), LeaseExpiryMode::RejectAll, 0.01);
    new.resume(passed);
    assert_eq!(
        (new.effective_policy(0.3), new.effective_policy(2.0)),
        (EffectivePolicy::Leased(1), EffectivePolicy::RejectAll)
    );
    // What was on its way to the old one is nothing for either.
    let late = Heartbeat {
        incarnation: 7,
        grant: Some(LeaseGrant {
            requested_at: 1.0,
            ..grant
        }),
        ..Heartbeat::default()
    };
    assert_eq!(
        new.handle_heartbeat(1.9, late.clone(), |_| Ok(()))
            .lease_remaining_seconds,
        new.status(1.9).lease_remaining_seconds
    );
    old.handle_heartbeat(1.9, late, |_| Ok(()));
    assert_eq!(old.effective_policy(1.9), EffectivePolicy::RejectAll);
}

#[test]
fn an_instance_with_another_base_than_was_agreed_gets_no_lease_and_refuses_by_name() {
    use merlinshelf_policy::messages::{HostLeaseResponse, InstanceStatus};
    use merlinshelf_policy::{Bootstrap, Entry, HostLeaseManager, ReplicatedState};
    let (agreed, own) = (Policy::default().fingerprint(), 7);
    let mut ledger = ReplicatedState::default();
    ledger.apply(Entry::Bootstrap(Bootstrap {
        lease_ms: 2000,
        base_fingerprint: agreed,
    }));
    let mut warden = HostLeaseManager::new("h", 1, own, 0.01);
    warden.state_changed(0.0, &ledger);
    let names = ["web.0".to_owned(), "web.1".to_owned()];
    warden.set_instances(0.0, names.iter());
    let token = warden.poll_lease_request(0.1).expect("it asks").request_id;
    warden.handle_lease_response(
        0.1,
        &HostLeaseResponse {
            incarnation: 1,
            request_id: token,
            ..HostLeaseResponse::default()
        },
    );
    let mut granted = std::collections::BTreeSet::new();
    for _ in 0..6 {
        let Some((name, beat)) = warden.poll_heartbeat(0.2) else {
            break;
        };
        if beat.grant.is_some() {
            granted.insert(name.clone());
        }
        let base = if name == "web.0" { agreed } else { own };
        warden.instance_responded(
            0.2,
            &name,
            InstanceStatus {
                incarnation: 5,
                base_fingerprint: base,
                ..InstanceStatus::default()
            },
        );
    }
    assert_eq!(granted.into_iter().collect::<Vec<_>>(), ["web.0"]);
    ledger.apply(Entry::Propose {
        change_id: "a".into(),
        policy: Box::default(),
        proposed_by: "b".into(),
        proposed_at: 0.0,
    });
    warden.state_changed(0.4, &ledger);
    let prepared = warden.prepare_result(0.5).expect("one refuses");
    assert_eq!(
        prepared.rejections,
        [("web.1".to_owned(), "its base policy is another".to_owned())]
    );
}
