//! Leases of an agent's instances.

use std::collections::BTreeSet;

use merlinshelf_policy::messages::{HostLeaseResponse, InstanceStatus};
use merlinshelf_policy::{Bootstrap, Entry, HostLeaseManager, Policy, Rejection, ReplicatedState};

const INCARNATION: u64 = 1;
const OTHER_BASE_FINGERPRINT: u64 = 7;

/// A manager with a lease on the base policy at 0.1 s. The base policy in its file differs from the
/// one in the replicated state.
fn manager_with_lease(state: &ReplicatedState, instances: &[String]) -> HostLeaseManager {
    let mut manager = HostLeaseManager::new("h", INCARNATION, OTHER_BASE_FINGERPRINT, 0.01);
    manager.state_changed(0.0, state);
    manager.set_instances(0.0, instances.iter());
    let request = manager.poll_lease_request(0.1).expect("a request is due");
    let response = HostLeaseResponse {
        incarnation: INCARNATION,
        request_id: request.request_id,
        ..HostLeaseResponse::default()
    };
    manager.handle_lease_response(0.1, &response);
    manager
}

#[test]
fn an_instance_with_a_different_base_policy_gets_no_lease_and_rejects_changes() {
    let agreed_fingerprint = Policy::default().fingerprint();
    let mut state = ReplicatedState::default();
    state.apply(Entry::Bootstrap(Bootstrap {
        lease_ms: 2000,
        base_fingerprint: agreed_fingerprint,
    }));
    let instances = ["web.0".to_owned(), "web.1".to_owned()];
    let mut manager = manager_with_lease(&state, &instances);
    let mut granted = BTreeSet::new();
    for _ in 0..6 {
        let Some((name, heartbeat)) = manager.poll_heartbeat(0.2) else {
            break;
        };
        if heartbeat.grant.is_some() {
            granted.insert(name.clone());
        }
        let base_fingerprint = if name == "web.0" {
            agreed_fingerprint
        } else {
            OTHER_BASE_FINGERPRINT
        };
        let status = InstanceStatus {
            incarnation: 5,
            base_fingerprint,
            ..InstanceStatus::default()
        };
        manager.instance_responded(&name, status);
    }
    assert_eq!(granted, BTreeSet::from(["web.0".to_owned()]));
    state.apply(Entry::Propose {
        change_id: "a".into(),
        policy: Box::default(),
        proposed_by: "b".into(),
        proposed_at: 0.0,
    });
    manager.state_changed(0.4, &state);
    let result = manager
        .prepare_result(0.5)
        .expect("one instance rejects the document");
    assert_eq!(
        result.rejections,
        [Rejection {
            rejected_by: "web.1".to_owned(),
            reason: "its base policy differs from the installation's".to_owned()
        }]
    );
}
