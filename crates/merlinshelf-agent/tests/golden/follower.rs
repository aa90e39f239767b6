//! A real agent that follows a leader: its messages to the leader and to its instance, and its
//! replies to operators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use merlinshelf_consensus::{Action, Message, Record as LogRecord, Replica, recover};
use merlinshelf_fleet::Record;
use merlinshelf_fleet::record::InstanceRecord;
use merlinshelf_policy::replicated_state::Stage;
use merlinshelf_policy::{Entry, Heartbeat, HostLeaseRequest, PrepareResult};
use merlinshelf_quota::{CallKind, Phase, QuotaGrantBatch, QuotaRequestBatch};
use serde_json::{Value, json};

use crate::forms::encode_state;
use crate::installation::{RUN_DEPENDENT_KEYS, serve_as_leader, spec};
use crate::store::{STORE_FILE, encode_store};
use crate::support::agent::{Agent, FakeInstance, Folder, own_address, own_host};
use crate::support::golden::{self, with_placeholders};
use crate::support::peers::{PeerMessage, Peers};
use crate::support::samples::{by_name, instance_status, policy, quota_request, replicated_state};

/// The log of the replica in the test's folder.
const LOG_FILE: &str = "run/council/council";

/// The agent `c`, its instance, and the other agents.
struct Follower {
    folder: Folder,
    instance: FakeInstance,
    peers: Peers,
    agent: Agent,
}

#[test]
fn follower_output_matches_golden_files() {
    let mut follower = Follower::start();
    follower.check_lease_request();
    follower.check_heartbeat();
    follower.check_replies();
    follower.check_host_status();
    follower.check_instance_files();
    follower.check_requests_to_the_leader();
    follower.check_snapshot();
}

impl Follower {
    fn start() -> Follower {
        let folder = Folder::new("follower");
        let addresses = [("a", own_address(7701)), ("c", own_address(7703))];
        let spec = spec(&folder, "c", &addresses);
        let instance = start_instance(&folder);
        write_store(&folder, &instance);
        let peers = start_peers(&addresses[0].1, &addresses[1].1);
        let agent = Agent::start(&folder, &spec);
        Follower {
            folder,
            instance,
            peers,
            agent,
        }
    }

    /// The agent joins, receives the state in a snapshot, and requests a lease. The request carries
    /// its instance's answer to the policy that is being prepared.
    fn check_lease_request(&mut self) {
        let prepared = PrepareResult {
            version: 8,
            ready_instances: 0,
            silent_instances: 0,
            rejections: vec![("web.0".to_owned(), "it has no such operation".to_owned()).into()],
        };
        let has_prepared =
            |request: &HostLeaseRequest| request.prepare_result.as_ref() == Some(&prepared);
        let request = self.peers.run_until("a request for a lease", |peers| {
            serve_as_leader(peers)
                .into_iter()
                .find_map(|message| match message {
                    PeerMessage::Ask(request) if has_prepared(&request) => Some(request),
                    _ => None,
                })
        });
        assert_eq!(
            (request.host.as_str(), request.service_counts),
            ("c", (0, 0).into())
        );
        // The fence is at 6 once no lease of an earlier agent can be valid.
        assert!(
            [0, 6].contains(&request.fenced_version),
            "{}",
            request.fenced_version
        );
        assert!(request.incarnation > 0 && request.request_id > 0);
        let quota = request.quota_requests.expect("it requests quota");
        assert_eq!(quota.incarnation, request.incarnation);
        check_quota_request(&quota);
    }

    /// The agent is granted a lease and quota, and forwards both to its instance.
    fn check_heartbeat(&mut self) {
        let instance = &self.instance;
        let heartbeat = self
            .peers
            .run_until("a heartbeat with a lease and quota", |peers| {
                serve_as_leader(peers);
                let heartbeat = last_heartbeat(instance)?;
                let phase = heartbeat
                    .quota_grants
                    .as_ref()
                    .and_then(|grants| grants.dependencies.get("catalogue")?.phase);
                let is_complete = heartbeat.grant.is_some() && phase == Some(Phase::Failing);
                is_complete.then_some(heartbeat)
            });
        assert_eq!(
            (heartbeat.incarnation, heartbeat.fence_version),
            (instance_status().incarnation, 6)
        );
        let grant = heartbeat.grant.expect("a lease");
        assert_eq!(
            (grant.version, grant.requested_at),
            (7, instance_status().reported_at)
        );
        assert_eq!(
            heartbeat.offered_policy,
            Some((7, policy("the policy that holds", 100)).into())
        );
        check_quota_grants(&heartbeat.quota_grants.expect("quota"));
    }

    /// The replies to operators, once they show everything that was sent to the agent.
    fn check_replies(&mut self) {
        let Follower {
            folder,
            peers,
            agent,
            ..
        } = self;
        let replies = peers.run_until("replies that show it all", |peers| {
            serve_as_leader(peers);
            complete_replies(agent)
        });
        let replies = folder.replace_in(&replies);
        golden::check_json(
            "installation_replies.json",
            &with_placeholders(&replies, &RUN_DEPENDENT_KEYS),
        );
    }

    fn check_host_status(&mut self) {
        let status = self.peers.run_until("the status of its host", |peers| {
            serve_as_leader(peers)
                .into_iter()
                .find_map(|message| match message {
                    PeerMessage::Standing(text) => Some(text),
                    _ => None,
                })
        });
        let status: Value = serde_json::from_str(&status).expect("JSON");
        let status = self.folder.replace_in(&status);
        golden::check_json(
            "status_to_peers.json",
            &with_placeholders(&status, &RUN_DEPENDENT_KEYS),
        );
    }

    /// The files that the agent has written for the instance that it started.
    fn check_instance_files(&self) {
        let read = |name: &str| -> Value {
            let path = self.folder.path("run/web.2").join(name);
            let text = std::fs::read_to_string(path).expect("the instance's file");
            serde_json::from_str(&text.replace(&own_host(), "HOST")).expect("JSON")
        };
        golden::check_json(
            "instance_operator.json",
            &self.folder.replace_in(&read("operator.json5")),
        );
        let config = read("config.json");
        let own = ["name", "listen", "engine", "seed"].map(|key| (key, &config[key]));
        golden::check_json("instance_config.json", &json!(BTreeMap::from(own)));
    }

    /// The agent forwards its operators' requests to the leader.
    fn check_requests_to_the_leader(&mut self) {
        let new_policy = policy("a proposed policy", 400);
        let _proposing = self.agent.begin_request(&json!({
            "op": "policy", "what": "propose", "policy": new_policy, "id": "change-61", "by": "operator of 61",
        }));
        let _removing = self
            .agent
            .begin_request(&json!({ "op": "policy", "what": "remove", "name": "b" }));
        let mut proposal = None;
        let mut removal = None;
        self.peers.run_until("a proposal and a removal", |peers| {
            for message in serve_as_leader(peers) {
                match message {
                    PeerMessage::Propose(entry) => proposal = Some(entry),
                    PeerMessage::Remove(name) => removal = Some(name),
                    _ => {}
                }
            }
            (proposal.is_some() && removal.is_some()).then_some(())
        });
        let Some(Entry::Propose {
            change_id,
            policy,
            proposed_by,
            proposed_at,
        }) = proposal
        else {
            panic!("{proposal:?} is no proposal");
        };
        assert_eq!(
            (change_id.as_str(), *policy, proposed_by.as_str()),
            ("change-61", new_policy, "operator of 61")
        );
        assert!(
            proposed_at > 1_700_000_000.0,
            "seconds of Unix time: {proposed_at}"
        );
        assert_eq!(removal.as_deref(), Some("b"));
    }

    /// After another agent joins, the agent replaces its log with a snapshot of the state.
    fn check_snapshot(&mut self) {
        let hello = Message::Hello {
            boot_id: 0xD0D0,
            slot: None,
        };
        self.peers.deliver("a", "d", hello);
        let folder = &self.folder;
        let restored = self
            .peers
            .run_until("a snapshot in the agent's own log", |_| {
                let bytes = std::fs::read(folder.path(LOG_FILE)).expect("the agent's log");
                let log = recover(&bytes).expect("a log file");
                RestoredReplica::from_log(&log.records)
                    .filter(|restored| restored.members.len() == 4)
            });
        assert_eq!(restored.members, ["a", "b", "c", "d"]);
        assert_eq!(
            restored.state,
            encode_state(&replicated_state(Stage::Preparing))
        );
    }
}

/// A running instance that an earlier agent started.
fn start_instance(folder: &Folder) -> FakeInstance {
    let status = json!({
        "state": "serving", "healthy": true, "in_hand": 51, "run_ms": 52.5, "memory_kb": 53, "predecessor": null,
        "counters": { "invocations": 54, "succeeded": 55 },
    });
    let response = serde_json::to_value(instance_status()).expect("a response can be encoded");
    let control = folder.path("run/web.0/control");
    FakeInstance::start(&control, &own_address(6565), status, response)
}

/// Writes the store of that agent: one instance serves, one is down, and one was never started.
fn write_store(folder: &Folder, instance: &FakeInstance) {
    let serving = InstanceRecord {
        identity: Some(instance.identity()),
        program: "/programs/web.0".into(),
        ..InstanceRecord::default()
    };
    let down = InstanceRecord {
        program: "/programs/web.1".into(),
        is_disabled: true,
        crashes_in_a_row: 56,
        ..InstanceRecord::default()
    };
    let record = Record {
        instances: by_name([("web.0", serving), ("web.1", down)]),
        ..Record::default()
    };
    folder.write(STORE_FILE, &encode_store(&record));
}

/// Starts the leader `a` and another agent, which the file of the agent under test does not name.
/// The two are a majority, so that `a` keeps leading even if the agent under test is slow.
fn start_peers(leader_address: &str, agent_address: &str) -> Peers {
    let state = encode_state(&replicated_state(Stage::Preparing));
    let mut peers = Peers::new("c", agent_address, Duration::from_millis(50), state);
    peers.start("a", &["a"], Vec::new());
    peers.run_until("a leads alone", |peers| peers.leader().map(|_| ()));
    let disk = peers.stop("a");
    peers.start("a", &["a", "b", "c", "d"], disk);
    peers.start("b", &["a", "b"], Vec::new());
    peers.run_until("b is a member", |peers| {
        let is_member = peers.membership("b").members.len() == 2 && peers.leader() == Some("a");
        is_member.then_some(())
    });
    peers.listen("a", leader_address);
    peers
}

fn check_quota_request(quota: &QuotaRequestBatch) {
    assert_eq!(quota.zone, "garching");
    assert_eq!(
        quota.dependencies.keys().collect::<Vec<_>>(),
        ["callers", "catalogue"]
    );
    let kinds = quota.dependencies["catalogue"].requests.keys();
    assert!(kinds.eq(&CallKind::ALL));
}

fn check_quota_grants(grants: &QuotaGrantBatch) {
    assert_eq!(
        (grants.incarnation, grants.request_id),
        (quota_request("").incarnation, quota_request("").request_id)
    );
    let kinds = grants.dependencies["catalogue"].grants.keys();
    assert!(kinds.eq(&CallKind::ALL));
}

/// The last heartbeat that the instance received; its body must be exactly the encoding of the
/// decoded value.
fn last_heartbeat(instance: &FakeInstance) -> Option<Heartbeat> {
    let body = instance.last_heartbeat()?;
    let heartbeat: Heartbeat = serde_json::from_slice(&body).expect("a heartbeat");
    let decoded: Value = serde_json::from_slice(&body).expect("JSON");
    let encoded = serde_json::to_value(&heartbeat).expect("a heartbeat can be encoded");
    // A time may differ in its last digit between its JSON text and the parsed number.
    let without_times = |value| with_placeholders(value, &["for_s"]);
    assert_eq!(without_times(&decoded), without_times(&encoded));
    Some(heartbeat)
}

/// The agent's replies, once they show the lease, the quota and the other host.
fn complete_replies(agent: &Agent) -> Option<Value> {
    let policy_request = |what: &str| agent.request(&json!({ "op": "policy", "what": what }));
    let status = agent.request(&json!({ "op": "status" }));
    let budgets = policy_request("budgets");
    let show = policy_request("show");
    let granted = budgets[0][1]["here"].as_array().expect("this host's quota");
    let has_quota = granted
        .iter()
        .all(|quota| quota["held"] == 9 && quota["to"]["web.0"] == 9 && quota["fares"] == "fails");
    let is_complete = status[0][1]["instances"][0]["state"] == "serving"
        && status.len() == 3
        && show[0][1]["lease"]["number"] == 7
        && budgets[0][1]["budgets"].is_array()
        && has_quota;
    is_complete.then(|| {
        json!({
            "status": status,
            "policy show": show,
            "policy budgets": budgets,
            "policy document": policy_request("document"),
            "policy history": policy_request("history"),
            "policy propose, as a trial": agent.request(&json!({
                "op": "policy", "what": "propose", "policy": policy("a proposed policy", 400), "dry_run": true,
            })),
            "policy outcome of an unknown change": agent.request(&json!({
                "op": "policy", "what": "outcome", "id": "change-0",
            })),
        })
    })
}

/// The state from which a replica starts.
struct RestoredReplica {
    members: Vec<String>,
    state: Vec<u8>,
}

impl RestoredReplica {
    fn from_log(records: &[LogRecord]) -> Option<RestoredReplica> {
        let mut replica = Replica::start("c", &BTreeSet::new(), 1, 0, records).ok()?;
        let actions = std::iter::from_fn(|| replica.poll_action());
        let state = actions.into_iter().find_map(|action| match action {
            Action::Restore { state, .. } => Some(state),
            _ => None,
        })?;
        let members = replica.membership().members.values();
        Some(RestoredReplica {
            members: members.map(|member| member.name.clone()).collect(),
            state,
        })
    }
}
