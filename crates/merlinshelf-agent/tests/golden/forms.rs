//! Formats that can be tested without a running agent: the replicated log, messages between agents,
//! heartbeats.

use merlinshelf_consensus::{Message, SlotIncarnation};
use merlinshelf_policy::replicated_state::Stage;
use merlinshelf_policy::{
    Bootstrap, Entry, Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus, LeaseGrant,
    ReplicatedState,
};

use crate::support::golden;
use crate::support::peers::{self, PeerMessage};
use crate::support::samples::{
    host_status_of_a, instance_status, lease_request, policy, proposal, quota_grant,
    replicated_state,
};

pub fn encode_state(state: &ReplicatedState) -> Vec<u8> {
    rmp_serde::to_vec_named(state).expect("a state can be encoded")
}

#[test]
fn replicated_state_in_a_snapshot() {
    let samples = [
        (
            "a change that is being prepared",
            replicated_state(Stage::Preparing),
        ),
        (
            "a change that is being fenced",
            replicated_state(Stage::Fencing),
        ),
        ("before the bootstrap", ReplicatedState::default()),
    ];
    golden::check_form("replicated_state.hex", &samples, encode_state, |bytes| {
        rmp_serde::from_slice(bytes).expect("a state")
    });
}

pub fn encode_entry(entry: &Entry) -> Vec<u8> {
    rmp_serde::to_vec_named(entry).expect("an entry can be encoded")
}

pub fn decode_entry(bytes: &[u8]) -> Entry {
    rmp_serde::from_slice(bytes).expect("an entry")
}

#[test]
fn entries_of_the_log() {
    let rejections = vec![("host-1".to_owned(), "unfit".to_owned())];
    let samples = [
        (
            "bootstrap",
            Entry::Bootstrap(Bootstrap {
                lease_ms: 2_062,
                base_fingerprint: 0x6363_6363_6363_6363,
            }),
        ),
        ("proposal", proposal()),
        (
            "decision for it",
            Entry::Decide {
                version: 64,
                accepted: true,
                rejections: Vec::new(),
            },
        ),
        (
            "decision against it",
            Entry::Decide {
                version: 65,
                accepted: false,
                rejections: rejections.into_iter().map(Into::into).collect(),
            },
        ),
        ("leases may be out", Entry::Activate { version: 66 }),
    ];
    golden::check_form("log_entries.hex", &samples, encode_entry, decode_entry);
}

#[test]
fn messages_between_agents() {
    let lease_response = HostLeaseResponse {
        incarnation: 0x1111_1111_1111_1111,
        request_id: 112,
        granted_version: 113,
        quota_grants: Some(quota_grant()),
    };
    let hello = Message::Hello {
        boot_id: 0xD1D1_D1D1_D1D1_D111,
        slot: Some(SlotIncarnation {
            slot: 41,
            incarnation: 42,
        }),
    };
    let samples = [
        ("message of the log", PeerMessage::Council(hello)),
        ("request for a lease", PeerMessage::Ask(lease_request())),
        (
            "request for a first lease",
            PeerMessage::Ask(HostLeaseRequest {
                host: "c".into(),
                ..HostLeaseRequest::default()
            }),
        ),
        ("response with a lease", PeerMessage::Word(lease_response)),
        (
            "response without budgets",
            PeerMessage::Word(HostLeaseResponse {
                request_id: 114,
                ..HostLeaseResponse::default()
            }),
        ),
        ("proposal", PeerMessage::Propose(proposal())),
        ("removal", PeerMessage::Remove("c".into())),
        (
            "status of the instances",
            PeerMessage::Standing(host_status_of_a()),
        ),
    ]
    .map(|(label, message)| (label, ("a".to_owned(), message)));
    let encode = |(sender, message): &(String, PeerMessage)| peers::encode(sender, message);
    golden::check_form("peer_messages.hex", &samples, encode, peers::decode);
}

#[test]
fn heartbeats() {
    let heartbeat = Heartbeat {
        incarnation: 0x3131_3131_3131,
        offered_policy: Some((132, policy("an offered policy", 500)).into()),
        fence_version: 133,
        grant: Some(LeaseGrant {
            version: 134,
            requested_at: 135.5,
            duration_seconds: 136.5,
        }),
        quota_grants: Some(quota_grant()),
    };
    // The agent and its instances use the same encoding.
    let encoded = serde_json::to_value(&heartbeat).expect("a heartbeat can be encoded");
    let file = golden::check_json("heartbeat.json", &encoded);
    let decoded: Heartbeat =
        serde_json::from_slice(file.to_string().as_bytes()).expect("a heartbeat");
    assert_eq!(decoded, heartbeat);
    let encoded = serde_json::to_value(instance_status()).expect("a response can be encoded");
    let file = golden::check_json("heartbeat_response.json", &encoded);
    let decoded: InstanceStatus = serde_json::from_value(file).expect("a response");
    assert_eq!(decoded, instance_status());
}
