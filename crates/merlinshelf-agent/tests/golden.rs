//! Golden files of what the agent stores and exchanges: its store, messages between agents, entries and state of the replicated log,
//! heartbeats to instances, replies on its control socket and the files that it makes for instances. Each golden file decodes to the
//! expected values, and these encode to the same bytes.
//!
//! The forms whose types are private are pinned twice: `support::peers::PeerMessage` is compared with the golden bytes, and a real
//! agent in a process of its own must understand and send the very same.
//!
//! The files lie in `tests/golden`. `GOLDEN_WRITE=1 cargo test -p merlinshelf-agent --test golden` writes them from the code as it
//! stands: for a new form alone, since a changed file is a broken upgrade.

mod support;

use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use merlinshelf_consensus::{
    Action, Message, Record as LogRecord, Replica, SlotIncarnation, recover,
};
use merlinshelf_fleet::Record;
use merlinshelf_fleet::record::InstanceRecord;
use merlinshelf_gossip::store_format::{framed, unframed};
use merlinshelf_policy::replicated_state::Stage;
use merlinshelf_policy::{
    Bootstrap, Entry, Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus, LeaseGrant,
    Policy, PrepareResult, ReplicatedState,
};
use merlinshelf_quota::{
    CallKind, DependencyGrant, DependencyRequest, Phase, QuotaGrant, QuotaGrantBatch, QuotaRequest,
};
use serde_json::{Value, json};

use support::agent::{Agent, FLEET_FILE, FakeInstance, Folder, own_address, own_host};
use support::golden::{self, with_placeholders};
use support::peers::{self, PeerMessage, Peers};
use support::samples::{
    LEASE_MS, by_name, claim, instance_status, lease_request, policy, proposal, quota_grant,
    quota_request, replicated_state, standing_of_a, store_record,
};
use support::{Pace, wait_for};

/// The head of the store's file, and the file's name in the agent's folder.
const STORE_HEAD: &[u8; 8] = b"MSF1\x01\0\0\0";
const STORE_FILE: &str = "run/fleet";
const RECORD_BYTES_MOST: usize = 64 * 1024 * 1024;
/// The log of the replica in the agent's folder.
const LOG_FILE: &str = "run/council/council";

/// The agent of the other tests, which start it as a process of its own. By itself it does nothing.
#[test]
#[ignore = "started by the other tests as a process of its own"]
fn agent_process() {
    if let Some(file) = std::env::var_os(FLEET_FILE) {
        merlinshelf_agent::serve(Path::new(&file)).expect("the agent serves");
    }
}

// The agent's store.

fn encode_store(record: &Record) -> Vec<u8> {
    [STORE_HEAD.to_vec(), framed(record)].concat()
}

fn decode_store(bytes: &[u8]) -> Record {
    let rest = bytes.strip_prefix(STORE_HEAD).expect("the head");
    let (record, used) = unframed(rest, RECORD_BYTES_MOST).expect("one record");
    assert_eq!(used, rest.len());
    rmp_serde::from_slice(record).expect("a record")
}

#[test]
fn store_file() {
    let samples = [("every field", store_record())];
    golden::check_form("store.hex", &samples, encode_store, decode_store);
}

#[test]
fn agent_goes_on_from_the_store_and_keeps_the_same() {
    let folder = Folder::new("store");
    let record = store_record();
    folder.write(STORE_FILE, &encode_store(&record));
    let agent = Agent::start(&folder, &json!({ "folder": "run", "groups": {} }));
    // The one process that is named is gone; all else is as it was.
    let mut expected = record;
    expected
        .instances
        .get_mut("web.0")
        .expect("it is there")
        .identity = None;
    let kept = wait_for("what the agent keeps", || {
        let bytes = std::fs::read(folder.path(STORE_FILE)).expect("the store's file");
        (decode_store(&bytes).instances["web.0"].identity.is_none()).then_some(bytes)
    });
    assert_eq!(decode_store(&kept), expected);
    assert_eq!(kept, encode_store(&expected));
    let replies = json!({
        "plan": agent.ask(&json!({ "op": "plan" })),
        "history": agent.ask(&json!({ "op": "history" })),
        "status": agent.ask(&json!({ "op": "status" })),
        "unknown": agent.ask(&json!({ "op": "sing" })),
        "policy": agent.ask(&json!({ "op": "policy", "what": "show" })),
    });
    let replies = folder.replace_in(&replies);
    golden::check_json(
        "fleet_replies.json",
        &with_placeholders(&replies, &["since_s"]),
    );
}

// The replicated log.

fn encode_state(state: &ReplicatedState) -> Vec<u8> {
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

fn encode_entry(entry: &Entry) -> Vec<u8> {
    rmp_serde::to_vec_named(entry).expect("an entry can be encoded")
}

fn decode_entry(bytes: &[u8]) -> Entry {
    rmp_serde::from_slice(bytes).expect("an entry")
}

#[test]
fn entries_of_the_log() {
    let why = vec![("host-1".to_owned(), "unfit".to_owned())];
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
                rejections: why,
            },
        ),
        ("leases may be out", Entry::Activate { version: 66 }),
    ];
    golden::check_form("log_entries.hex", &samples, encode_entry, decode_entry);
}

// Messages between agents.

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
            PeerMessage::Standing(standing_of_a()),
        ),
    ]
    .map(|(label, message)| (label, ("a".to_owned(), message)));
    let encode = |(sender, message): &(String, PeerMessage)| peers::encode(sender, message);
    golden::check_form("peer_messages.hex", &samples, encode, peers::decode);
}

// Heartbeats between an agent and its instances.

#[test]
fn heartbeats() {
    let heartbeat = Heartbeat {
        incarnation: 0x3131_3131_3131,
        offered_policy: Some((132, policy("an offered policy", 500))),
        fence_version: 133,
        grant: Some(LeaseGrant {
            version: 134,
            requested_at: 135.5,
            duration_seconds: 136.5,
        }),
        quota_grants: Some(quota_grant()),
    };
    // As the agent and its instances encode and decode them.
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

// A real agent among others.

/// A fleet's file of agent `name`. The group `web` has three instances whose program ends at once.
fn spec(folder: &Folder, name: &str, agents: &[(&str, String)]) -> Value {
    folder.write("web.json", include_bytes!("../../../examples/config.json"));
    folder.write("program", b"#!/bin/sh\nexit 3\n");
    let executable = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(folder.path("program"), executable)
        .expect("it can be made executable");
    let agents: BTreeMap<&str, &String> = agents
        .iter()
        .map(|(name, address)| (*name, address))
        .collect();
    let catalogue = json!({ "again": 3, "probes": 4, "first": 5, "opened": 6 });
    let base = json!({ "note": "the base policy", "budgets": { "catalogue": catalogue, "callers": { "opened": 7 } } });
    json!({
        "folder": "run",
        "change": { "warm_ms": 200 },
        "restarts": { "pause_ms": 600_000, "pause_most_ms": 600_000 },
        "council": {
            "name": name, "listen": agents[name], "agents": agents, "lease_ms": LEASE_MS, "zone": "garching",
            "base": base, "without": "turn_away",
        },
        "groups": { "web": {
            "count": 3, "program": "program", "config": "web.json", "listen": own_address(6565),
            "engine": own_address(9300), "learning": true,
        } },
    })
}

/// Numbers in replies that are of the run.
const OF_THE_RUN: [&str; 6] = [
    "since_s",
    "age_s",
    "left_s",
    "process",
    "served_per_s",
    "spent_s",
];

/// What has come from the agent under test since this was last done. As the leader, `a` answers requests for leases, and says how its
/// instances stand.
fn serve_as_leader(peers: &mut Peers) -> Vec<PeerMessage> {
    let received = std::mem::take(&mut peers.received);
    for message in &received {
        if let PeerMessage::Ask(request) = message {
            peers.send("a", &PeerMessage::Word(lease_response(request)));
            peers.send("a", &PeerMessage::Standing(standing_of_a()));
        }
    }
    received
}

/// The last heartbeat that the instance got; its body must hold what the type encodes to and nothing else.
fn last_heartbeat(instance: &FakeInstance) -> Option<Heartbeat> {
    let body = instance.last_heartbeat()?;
    let heartbeat: Heartbeat = serde_json::from_slice(&body).expect("a heartbeat");
    let decoded: Value = serde_json::from_slice(&body).expect("JSON");
    let encoded = serde_json::to_value(&heartbeat).expect("a heartbeat can be encoded");
    // Read as JSON and as a number, a time may differ in its last digit.
    let without_times = |value| with_placeholders(value, &["for_s"]);
    assert_eq!(without_times(&decoded), without_times(&encoded));
    Some(heartbeat)
}

#[test]
fn agent_that_follows_another_one() {
    let folder = Folder::new("follower");
    let addresses = [("a", own_address(7701)), ("c", own_address(7703))];
    let spec = spec(&folder, "c", &addresses);

    // An earlier agent left one instance that serves, one that is down and one that was never started.
    let status = json!({
        "state": "serving", "healthy": true, "in_hand": 51, "run_ms": 52.5, "memory_kb": 53, "predecessor": null,
        "counters": { "invocations": 54, "succeeded": 55 },
    });
    let response = serde_json::to_value(instance_status()).expect("a response can be encoded");
    let instance = FakeInstance::start(
        &folder.path("run/web.0/control"),
        &own_address(6565),
        status,
        response,
    );
    let serving = InstanceRecord {
        identity: Some(instance.identity()),
        program: "/programs/web.0".into(),
        ..InstanceRecord::default()
    };
    let down = InstanceRecord {
        program: "/programs/web.1".into(),
        down: true,
        crashes_in_a_row: 56,
        ..InstanceRecord::default()
    };
    let record = Record {
        instances: by_name([("web.0", serving), ("web.1", down)]),
        ..Record::default()
    };
    folder.write(STORE_FILE, &encode_store(&record));

    // The other agents are a leader and one more, which the file of the agent under test does not name: a majority, so that the
    // leader stays the leader however slow the agent under test is.
    let state = encode_state(&replicated_state(Stage::Preparing));
    let mut peers = Peers::new(
        "c",
        &addresses[1].1,
        Duration::from_millis(50),
        state.clone(),
    );
    peers.begin("a", &["a"], Vec::new());
    peers.run_until("a leads alone", |peers| peers.leader().map(|_| ()));
    let disk = peers.end("a");
    peers.begin("a", &["a", "b", "c", "d"], disk);
    peers.begin("b", &["a", "b"], Vec::new());
    peers.run_until("b is a member", |peers| {
        (peers.membership("b").members.len() == 2 && peers.leader() == Some("a")).then_some(())
    });
    peers.listen("a", &addresses[0].1);
    let agent = Agent::start(&folder, &spec);

    // It joins, is sent the state in a snapshot, and asks for a lease, with what its instance says of the policy that comes.
    let prepared = PrepareResult {
        version: 8,
        ready_instances: 0,
        silent_instances: 0,
        rejections: vec![("web.0".into(), "it has no such operation".into())],
    };
    let request = peers.run_until("a request for a lease", |peers| {
        serve_as_leader(peers)
            .into_iter()
            .find_map(|message| match message {
                PeerMessage::Ask(request) if request.prepare_result.as_ref() == Some(&prepared) => {
                    Some(request)
                }
                _ => None,
            })
    });
    assert_eq!(
        (request.host.as_str(), request.service_counts),
        ("c", (0, 0))
    );
    // The fence is at 6 as soon as no lease of an earlier agent can be out any more.
    assert!(
        [0, 6].contains(&request.fenced_version),
        "{}",
        request.fenced_version
    );
    assert!(request.incarnation > 0 && request.request_id > 0);
    let wishes = request.quota_requests.expect("it asks for budgets");
    assert_eq!(
        (wishes.zone.as_str(), wishes.incarnation),
        ("garching", request.incarnation)
    );
    assert_eq!(
        wishes.dependencies.keys().collect::<Vec<_>>(),
        ["callers", "catalogue"]
    );
    assert!(
        wishes.dependencies["catalogue"]
            .requests
            .keys()
            .eq(&CallKind::ALL)
    );

    // It is granted a lease and shares, and passes both on to its instance.
    let heartbeat = peers.run_until("a heartbeat with a lease and shares", |peers| {
        serve_as_leader(peers);
        let heartbeat = last_heartbeat(&instance)?;
        let phase = heartbeat
            .quota_grants
            .as_ref()
            .and_then(|given| given.dependencies.get("catalogue")?.phase);
        (heartbeat.grant.is_some() && phase == Some(Phase::Failing)).then_some(heartbeat)
    });
    let (grant, given) = (
        heartbeat.grant.expect("a lease"),
        heartbeat.quota_grants.expect("shares"),
    );
    assert_eq!(
        (heartbeat.incarnation, heartbeat.fence_version),
        (instance_status().incarnation, 6)
    );
    assert_eq!(
        (grant.version, grant.requested_at),
        (7, instance_status().reported_at)
    );
    assert_eq!(
        heartbeat.offered_policy,
        Some((7, policy("the policy that holds", 100)))
    );
    assert_eq!(
        (given.incarnation, given.request_id),
        (quota_request("").incarnation, quota_request("").request_id)
    );
    assert!(
        given.dependencies["catalogue"]
            .grants
            .keys()
            .eq(&CallKind::ALL)
    );

    // What its operators are shown, once all that was sent to it shows there.
    let new_policy = policy("a proposed policy", 400);
    let what = |what: &str| agent.ask(&json!({ "op": "policy", "what": what }));
    let replies = peers.run_until("replies that show it all", |peers| {
        serve_as_leader(peers);
        let (status, budgets, show) = (
            agent.ask(&json!({ "op": "status" })),
            what("budgets"),
            what("show"),
        );
        let held = budgets[0][1]["here"].as_array().expect("what is held here");
        let complete = status[0][1]["instances"][0]["state"] == "serving"
            && status.len() == 3
            && show[0][1]["lease"]["number"] == 7
            && budgets[0][1]["budgets"].is_array()
            && held
                .iter()
                .all(|one| one["held"] == 9 && one["to"]["web.0"] == 9 && one["fares"] == "fails");
        complete.then(|| {
            json!({
                "status": status,
                "policy show": show,
                "policy budgets": budgets,
                "policy document": what("document"),
                "policy history": what("history"),
                "policy propose, as a trial": agent.ask(&json!({
                    "op": "policy", "what": "propose", "policy": new_policy, "dry_run": true,
                })),
                "policy outcome of an unknown change": agent.ask(&json!({
                    "op": "policy", "what": "outcome", "id": "change-0",
                })),
            })
        })
    });
    let replies = folder.replace_in(&replies);
    golden::check_json(
        "installation_replies.json",
        &with_placeholders(&replies, &OF_THE_RUN),
    );
    let standing = peers.run_until("its own instances' status", |peers| {
        serve_as_leader(peers)
            .into_iter()
            .find_map(|message| match message {
                PeerMessage::Standing(text) => Some(text),
                _ => None,
            })
    });
    let standing: Value = serde_json::from_str(&standing).expect("JSON");
    let standing = folder.replace_in(&standing);
    golden::check_json(
        "status_to_peers.json",
        &with_placeholders(&standing, &OF_THE_RUN),
    );

    // The files that it made for the instance that it started.
    let made = |name: &str| -> Value {
        let text = std::fs::read_to_string(folder.path("run/web.2").join(name))
            .expect("the instance's file");
        serde_json::from_str(&text.replace(&own_host(), "HOST")).expect("JSON")
    };
    golden::check_json(
        "instance_operator.json",
        &folder.replace_in(&made("operator.json5")),
    );
    let config = made("config.json");
    let own = ["name", "listen", "engine", "seed"].map(|key| (key, &config[key]));
    golden::check_json("instance_config.json", &json!(BTreeMap::from(own)));

    // What its operators want goes to the leader.
    let _proposing = agent.begin_asking(&json!({
        "op": "policy", "what": "propose", "policy": new_policy, "id": "change-61", "by": "operator of 61",
    }));
    let _removing = agent.begin_asking(&json!({ "op": "policy", "what": "remove", "name": "b" }));
    let (mut proposed, mut removed) = (None, None);
    peers.run_until("a proposal and a removal", |peers| {
        for message in serve_as_leader(peers) {
            match message {
                PeerMessage::Propose(entry) => proposed = Some(entry),
                PeerMessage::Remove(name) => removed = Some(name),
                _ => {}
            }
        }
        (proposed.is_some() && removed.is_some()).then_some(())
    });
    let Some(Entry::Propose {
        change_id: id,
        policy,
        proposed_by: by,
        proposed_at: at,
    }) = proposed
    else {
        panic!("{proposed:?} is no proposal");
    };
    assert_eq!(
        (id.as_str(), *policy, by.as_str()),
        ("change-61", new_policy, "operator of 61")
    );
    assert!(at > 1_700_000_000.0, "seconds of Unix time: {at}");
    assert_eq!(removed.as_deref(), Some("b"));

    // One more joins: the agent puts a snapshot with the state in the place of its log.
    peers.tell(
        "a",
        "d",
        Message::Hello {
            boot_id: 0xD0D0,
            slot: None,
        },
    );
    let (members, restored) = peers.run_until("a snapshot in the agent's own log", |_| {
        let bytes = std::fs::read(folder.path(LOG_FILE)).expect("the agent's log");
        let log = recover(&bytes).expect("a log file");
        restored_from(&log.records).filter(|(members, _)| members.len() == 4)
    });
    assert_eq!(members, ["a", "b", "c", "d"]);
    assert_eq!(restored, state);
}

/// The names of the members and the state that a replica begins with.
fn restored_from(records: &[LogRecord]) -> Option<(Vec<String>, Vec<u8>)> {
    let mut replica = Replica::start("c", &Default::default(), 1, 0, records).ok()?;
    let state = std::iter::from_fn(|| replica.poll_action()).find_map(|step| match step {
        Action::Restore { state, .. } => Some(state),
        _ => None,
    })?;
    let members = replica
        .membership()
        .members
        .values()
        .map(|member| member.name.clone());
    Some((members.collect(), state))
}

/// The leader's answer to a request: a lease on policy 7, and shares where budgets were asked for.
fn lease_response(request: &HostLeaseRequest) -> HostLeaseResponse {
    let share = |claim: &QuotaRequest| QuotaGrant {
        incarnation: claim.incarnation,
        request_id: claim.request_id,
        allocator_id: 3,
        grant_number: claim.request_id,
        calls_per_second: 9,
        duration_seconds: 8.0,
    };
    let place = |(name, of): (&String, &DependencyRequest)| {
        let shares = of
            .requests
            .iter()
            .map(|(kind, claim)| (*kind, share(claim)))
            .collect();
        (
            name.clone(),
            DependencyGrant {
                phase: Some(Phase::Failing),
                grants: shares,
            },
        )
    };
    let given = request
        .quota_requests
        .as_ref()
        .map(|wishes| QuotaGrantBatch {
            incarnation: wishes.incarnation,
            request_id: wishes.request_id,
            dependencies: wishes.dependencies.iter().map(place).collect(),
        });
    HostLeaseResponse {
        incarnation: request.incarnation,
        request_id: request.request_id,
        granted_version: 7,
        quota_grants: given,
    }
}

#[test]
fn agent_that_leads_others() {
    let folder = Folder::new("leader");
    let addresses = [
        ("a", own_address(7711)),
        ("b", own_address(7712)),
        ("c", own_address(7713)),
    ];
    let names = ["a", "b", "c"];
    // Far slower than the agent under test, so that it is always the first one to stand for election.
    let mut peers = Peers::new("a", &addresses[0].1, Duration::from_millis(200), Vec::new());
    for (name, address) in &addresses[1..] {
        peers.begin(name, &names, Vec::new());
        peers.listen(name, address);
    }
    let mut file = spec(&folder, "a", &addresses);
    file["groups"] = json!({});
    let agent = Agent::start(&folder, &file);
    peers.run_until("the agent leads", |peers| {
        (peers.leader_of("b") == Some("a")).then_some(())
    });

    // It bootstraps the installation, and grants a lease and shares to whoever asks.
    let request = PeerMessage::Ask(lease_request());
    let applied = |peers: &Peers| -> Vec<Entry> {
        let entries = peers.applied.get("b").into_iter().flatten();
        let decode_exactly = |bytes: &Vec<u8>| {
            let entry = decode_entry(bytes);
            assert_eq!(
                encode_entry(&entry),
                *bytes,
                "{entry:?} is encoded otherwise by the agent"
            );
            entry
        };
        entries.map(decode_exactly).collect()
    };
    let mut pace = Pace::new();
    let response = peers.run_until("a lease", |peers| {
        if pace.is_due() {
            peers.send("b", &request);
        }
        let received = std::mem::take(&mut peers.received);
        received.into_iter().find_map(|message| match message {
            PeerMessage::Word(response) if response.quota_grants.is_some() => Some(response),
            _ => None,
        })
    });
    let given = response.quota_grants.expect("shares");
    assert_eq!(
        (
            response.incarnation,
            response.request_id,
            response.granted_version
        ),
        (lease_request().incarnation, 102, 0)
    );
    assert_eq!(
        (given.incarnation, given.request_id),
        (quota_request("").incarnation, 79)
    );
    assert_eq!(
        given.dependencies.keys().collect::<Vec<_>>(),
        ["callers", "catalogue"]
    );
    let shares = &given.dependencies["catalogue"].grants;
    assert!(shares.keys().eq(&CallKind::ALL));
    assert_eq!(
        (
            shares[&CallKind::Retry].incarnation,
            shares[&CallKind::Retry].request_id
        ),
        (claim(100).incarnation, claim(100).request_id)
    );

    assert!(
        peers
            .consensus_messages
            .iter()
            .eq(&["hello", "raft", "welcome"]),
        "{:?}",
        peers.consensus_messages
    );

    // A proposal comes into the log, and to its end.
    peers.run_until("a change that holds", |peers| {
        let entries = applied(peers);
        if pace.is_due() && !entries.contains(&proposal()) {
            peers.send("b", &PeerMessage::Propose(proposal()));
        }
        entries
            .contains(&Entry::Activate { version: 1 })
            .then_some(())
    });
    // A message that is sent again may come into the log again, where it counts for nothing.
    let mut entries: Vec<Entry> = Vec::new();
    for entry in applied(&peers) {
        if !entries.contains(&entry) {
            entries.push(entry);
        }
    }
    let [Entry::Bootstrap(founding), proposed, decided, opened] = &entries[..] else {
        panic!("{entries:?}");
    };
    let base: Policy = serde_json::from_value(file["council"]["base"].clone()).expect("a policy");
    assert_eq!(
        *founding,
        Bootstrap {
            lease_ms: LEASE_MS,
            base_fingerprint: base.fingerprint()
        }
    );
    assert_eq!(*proposed, proposal());
    assert_eq!(
        *decided,
        Entry::Decide {
            version: 1,
            accepted: true,
            rejections: Vec::new()
        }
    );
    assert_eq!(*opened, Entry::Activate { version: 1 });
    let replies = peers.run_until("the end of the change in the replies", |_| {
        let history = agent.ask(&json!({ "op": "policy", "what": "history" }));
        (history.len() == 2).then(|| json!({ "policy history": history }))
    });
    golden::check_json("leader_replies.json", &replies);

    // After a start without c in its file it removes c from the membership, where another agent wants that.
    drop(agent);
    peers.end("c");
    let council = &mut file["council"];
    council["agents"]
        .as_object_mut()
        .expect("agents by name")
        .remove("c");
    let _agent = Agent::start(&folder, &file);
    peers.run_until("c is no member", |peers| {
        if pace.is_due() {
            peers.send("b", &PeerMessage::Remove("c".into()));
        }
        (peers.membership("b").slot_of("c").is_none()).then_some(())
    });
    assert_eq!(peers.membership("b").members.len(), 2);
}
