//! Golden files of this package's public formats that outlive a process or are exchanged between processes: the operators'
//! file (JSON5), its schema, and the replies on the control socket (JSON), sent over a real socket.
//!
//! Replies must equal their file under `tests/golden/` byte by byte, except for numbers that differ from run to run, which
//! are checked to be numbers and replaced. No program writes the operators' file; old files must be parsed to the expected
//! values, however a later version would encode them. Every field of a sample has a distinct value that is not the default,
//! so that a field lost by renaming is detected. A failure here means that operators' files, tools or agents of an earlier
//! version are no longer understood. `GOLDEN_WRITE=1` rewrites the replies; without it a missing file is a failure.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use merlinshelf_backend::control::{self, PendingRequest};
use merlinshelf_backend::operator::{
    Control, Format, GossipPeers, Learning, Level, Log, Operator, PolicySettings, Upgrade,
    parse_json5,
};
use merlinshelf_backend::{Start, serve};
use merlinshelf_dependencies::Dependencies;
use merlinshelf_dependencies::config::{Call, Dependency, Fallback, Operation, ServerConfig};
use merlinshelf_gossip::store_format::{PersistedObservation, Record};
use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_handover::predecessor::Progress;
use merlinshelf_policy::{
    Heartbeat, InstanceStatus, LeaseExpiryMode, LeaseGrant, Policy, VersionedPolicy,
};
use merlinshelf_protocol::control::ControlMessage;
use merlinshelf_quota::{CallKind, QuotaGrantBatch};
use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

/// Too large for a 64-bit float to represent exactly, as which a JSON number may be read; it must not be rounded.
const LARGE: u64 = 7_201_234_567_890_123_457;
/// Replies arrive at once; this is the limit on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

// Reading, comparing and writing golden files.

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn read_golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("golden file {}: {error}", path.display()))
}

/// The bytes of a golden file, which must equal `encoded`.
fn assert_golden(name: &str, encoded: &[u8]) -> Vec<u8> {
    if std::env::var("GOLDEN_WRITE").as_deref() == Ok("1") {
        std::fs::write(golden_path(name), encoded).expect("a golden file is written");
    }
    let golden = read_golden(name);
    assert_eq!(
        encoded.escape_ascii().to_string(),
        golden.escape_ascii().to_string(),
        "{name}: the encoded bytes (left) differ from the golden file (right)"
    );
    golden
}

fn read_golden_text(name: &str) -> String {
    String::from_utf8(read_golden(name)).expect("text")
}

/// Asserts that an operators' file is parsed as `expected`, and again after encoding it.
fn assert_operator_file(name: &str, expected: &Operator) {
    let decoded = Operator::parse(&read_golden_text(name)).expect("the golden file is parsed");
    assert_eq!(decoded, *expected, "{name}");
    let encoded = serde_json::to_string(expected).expect("it is encoded");
    let decoded = Operator::parse(&encoded).expect("it is parsed again");
    assert_eq!(decoded, *expected, "{name}, encoded again");
}

// The operators' file.

/// A file with every field.
fn filled_operator() -> Operator {
    let catalogue = Dependency {
        servers: vec![ServerConfig {
            address: "127.0.0.1:5441".into(),
            zone: "erlangen".into(),
            weight: 1.5,
        }],
        max_ejected_share: 0.375,
        subset_size: Some(1),
        fallback_dependency: None,
    };
    let call = Call {
        dependency: "catalogue".into(),
        deadline_share: Some(0.25),
        is_required: true,
        value_loss: 0.125,
        fallback: Fallback::Cached {
            max_age_seconds: 60.5,
        },
    };
    let page = Operation {
        calls: vec![call],
        is_concurrent: false,
    };
    let base = Policy {
        note: "base".into(),
        call_share: Some(5.5),
        budgets: BTreeMap::from([("catalogue".into(), BTreeMap::from([(CallKind::Probe, 8)]))]),
        ..Policy::default()
    };
    Operator {
        control: Some(Control {
            socket: "/run/merlinshelf/n7.control".into(),
        }),
        log: Log {
            level: Some(Level::Warn),
            format: Format::Json,
        },
        upgrade: Some(Upgrade {
            program: Some("/opt/merlinshelf/next".into()),
            ready_ms: 10_001,
            taken_ms: 1_002,
            watched_ms: 2_003,
            silent_ms: 1_004,
            descriptors: Some(2_048),
            memory_mb: Some(384),
        }),
        learning: Some(Learning {
            engine: Some("cx42".into()),
            dependency: "library".into(),
            folder: Some("/var/lib/merlinshelf/n7".into()),
            save_ms: 5_005,
            share: 0.0625,
            peers: Some(GossipPeers {
                listen: "127.0.0.1:7400".into(),
                seeds: vec!["127.0.0.1:7401".into()],
            }),
        }),
        uwsgi: true,
        dependencies: Some(Dependencies {
            zone: "garching".into(),
            dependencies: BTreeMap::from([("catalogue".into(), catalogue)]),
            operations: BTreeMap::from([("page".into(), page)]),
        }),
        policy: Some(PolicySettings {
            base,
            without: LeaseExpiryMode::RejectAll,
            drift: 0.03125,
            wait_ms: 5_006,
            lease_ms: 2_007,
            aside: Some("/var/lib/merlinshelf/aside".into()),
        }),
    }
}

#[test]
fn operator_file_with_every_field() {
    assert_operator_file("operator_filled.json", &filled_operator());
}

/// A file without any optional field, which gets their defaults.
#[test]
fn operator_file_with_required_fields_only() {
    let expected = Operator {
        control: Some(Control {
            socket: "/run/n7".into(),
        }),
        log: Log {
            level: None,
            format: Format::Text,
        },
        upgrade: Some(Upgrade {
            program: None,
            ready_ms: 10_000,
            taken_ms: 1_000,
            watched_ms: 2_000,
            silent_ms: 1_000,
            descriptors: None,
            memory_mb: None,
        }),
        learning: Some(Learning {
            engine: None,
            dependency: "catalogue".into(),
            folder: None,
            save_ms: 5_000,
            share: 0.01,
            peers: Some(GossipPeers {
                listen: "127.0.0.1:7400".into(),
                seeds: Vec::new(),
            }),
        }),
        uwsgi: false,
        dependencies: Some(Dependencies::default()),
        policy: Some(PolicySettings {
            base: Policy::default(),
            without: LeaseExpiryMode::BasePolicy,
            drift: 0.02,
            wait_ms: 5_000,
            lease_ms: 2_000,
            aside: None,
        }),
    };
    assert_operator_file("operator_short.json5", &expected);
    assert_eq!(Operator::parse("{}"), Ok(Operator::default()));
}

/// The contents of `deploy/operator.json5`.
fn example_operator() -> Operator {
    let server = |address: &str, zone: &str| ServerConfig {
        address: address.into(),
        zone: zone.into(),
        weight: 1.0,
    };
    let dependency = |servers: Vec<ServerConfig>| Dependency {
        servers,
        max_ejected_share: 0.5,
        subset_size: None,
        fallback_dependency: None,
    };
    let call = |to: &str, is_required: bool, value_loss: f64, fallback: Fallback| Call {
        dependency: to.into(),
        deadline_share: None,
        is_required,
        value_loss,
        fallback,
    };
    let calls = vec![
        call("catalogue", true, 0.0, Fallback::Nothing),
        call(
            "thumbs",
            false,
            0.2,
            Fallback::Cached {
                max_age_seconds: 60.0,
            },
        ),
    ];
    let thumbnail = Operation {
        calls,
        is_concurrent: false,
    };
    Operator {
        control: Some(Control {
            socket: "/run/merlinshelf/n0.control".into(),
        }),
        log: Log {
            level: Some(Level::Info),
            format: Format::Text,
        },
        upgrade: Some(Upgrade {
            program: None,
            ready_ms: 10_000,
            taken_ms: 1_000,
            watched_ms: 2_000,
            silent_ms: 1_000,
            descriptors: Some(2_048),
            memory_mb: Some(384),
        }),
        learning: Some(Learning {
            engine: Some("cx42".into()),
            dependency: "catalogue".into(),
            folder: Some("/var/lib/merlinshelf/n0".into()),
            save_ms: 5_000,
            share: 0.01,
            peers: Some(GossipPeers {
                listen: "127.0.0.1:7400".into(),
                seeds: vec!["127.0.0.1:7401".into(), "127.0.0.1:7402".into()],
            }),
        }),
        uwsgi: true,
        dependencies: Some(Dependencies {
            zone: "garching".into(),
            dependencies: BTreeMap::from([
                (
                    "catalogue".into(),
                    dependency(vec![
                        server("127.0.0.1:5441", "garching"),
                        server("127.0.0.1:5442", "erlangen"),
                    ]),
                ),
                (
                    "thumbs".into(),
                    dependency(vec![server("127.0.0.1:5451", "")]),
                ),
            ]),
            operations: BTreeMap::from([("thumbnail".into(), thumbnail)]),
        }),
        policy: None,
    }
}

/// Earlier versions of the example file must still be parsed, since operators base their files on it.
#[test]
fn operator_file_of_the_example() {
    assert_operator_file("operator_example.json5", &example_operator());
    let example = include_str!("../../../deploy/operator.json5");
    assert_eq!(Operator::parse(example), Ok(example_operator()));
}

/// Editors validate the file by this schema. To regenerate it, run
/// `merlinshelf check --schema > deploy/operator.schema.json`.
#[test]
fn schema_of_the_operator_file() {
    assert_eq!(
        Operator::schema(),
        include_str!("../../../deploy/operator.schema.json")
    );
}

/// All values of enumerated fields.
#[test]
fn values_of_enumerated_fields() {
    let levels = ["error", "warn", "info", "debug"].map(|word| {
        let text = format!("{{log: {{level: '{word}'}}}}");
        Operator::parse(&text).expect(word).log.level
    });
    let expected = [Level::Error, Level::Warn, Level::Info, Level::Debug];
    assert_eq!(levels, expected.map(Some));
    let formats = ["text", "json"].map(|word| {
        let text = format!("{{log: {{format: '{word}'}}}}");
        Operator::parse(&text).expect(word).log.format
    });
    assert_eq!(formats, [Format::Text, Format::Json]);
    let modes = ["base", "turn_away"].map(|word| {
        let text = format!("{{policy: {{without: '{word}'}}}}");
        let operator = Operator::parse(&text).expect(word);
        operator.policy.expect("a policy").without
    });
    assert_eq!(
        modes,
        [LeaseExpiryMode::BasePolicy, LeaseExpiryMode::RejectAll]
    );
}

/// Policy files are parsed in the same way as the operators' file.
#[test]
fn policy_file_of_an_operator() {
    let policy: Policy = parse_json5(&read_golden_text("policy_file.json5")).expect("it is parsed");
    let budgets = BTreeMap::from([(
        "callers".into(),
        BTreeMap::from([(CallKind::NewConnection, 500)]),
    )]);
    let expected = Policy {
        note: "evening".into(),
        call_share: Some(5.5),
        budgets,
        ..Policy::default()
    };
    assert_eq!(policy, expected);
}

// Replies on the control socket.

/// A temporary folder of one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let name = format!("merlinshelf-golden-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // a leftover does no harm
    }
}

/// Sends a request as tools and agents do, and reads all replies up to the end of the connection: the kind and the body of
/// each.
fn send(socket: &Path, request: &str) -> Vec<Value> {
    let deadline = Instant::now() + TIMEOUT;
    let mut stream = loop {
        match UnixStream::connect(socket) {
            Ok(stream) => break stream,
            Err(error) => assert!(Instant::now() < deadline, "{}: {error}", socket.display()),
        }
        sleep(Duration::from_millis(5));
    };
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut replies = String::new();
    stream.read_to_string(&mut replies).expect("replies");
    let (mut rest, mut all) = (replies.as_str(), Vec::new());
    while !rest.is_empty() {
        let (head, tail) = rest.split_once("\r\n").expect("a line");
        let words: Vec<&str> = head.split(' ').collect();
        let ["say", "1", word, length] = words[..] else {
            panic!("{head:?} is not the head of a reply");
        };
        let length: usize = length.parse().expect("a length");
        let (body, tail) = tail.split_at(length);
        let report: Value = serde_json::from_str(body).expect("JSON");
        assert_eq!(report.to_string(), body, "keys in order, without blanks");
        all.push(json!([word, report]));
        rest = tail.strip_prefix("\r\n").expect("an end");
    }
    all
}

fn request(word: &str, body: &str) -> String {
    format!("ask 1 {word} {}\r\n{body}\r\n", body.len())
}

fn assert_replies(name: &str, replies: &[Value]) {
    let encoded = serde_json::to_string_pretty(replies).expect("it is encoded") + "\n";
    let golden = assert_golden(name, encoded.as_bytes());
    let decoded: Vec<Value> = serde_json::from_slice(&golden).expect("JSON");
    assert_eq!(decoded, replies, "{name}");
}

/// Opens a control socket on which `answer` responds, and sends these requests to it, each on its own connection.
fn send_to_responder(
    name: &str,
    requests: &[String],
    mut answer: impl FnMut(PendingRequest),
) -> Vec<Vec<Value>> {
    let folder = Folder::new(name);
    let socket = folder.0.join("control");
    let tools: JoinHandle<Vec<Vec<Value>>> = {
        let (socket, requests) = (socket.clone(), requests.to_vec());
        spawn(move || {
            requests
                .iter()
                .map(|request| send(&socket, request))
                .collect()
        })
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (sender, mut received) = unbounded_channel();
        let _control = control::open(&socket, sender).expect("a socket");
        while !tools.is_finished() {
            let next = tokio::time::timeout(Duration::from_millis(20), received.recv());
            if let Ok(Some(request)) = next.await {
                answer(request);
            }
        }
    });
    tools.join().expect("all requests are answered")
}

#[test]
fn replies_to_an_upgrade() {
    let sequences: [Vec<Progress>; 4] = [
        vec![
            Progress::Starting,
            Progress::Ready,
            Progress::Activated,
            Progress::Completed,
        ],
        vec![Progress::Rejected("it is leaving".into())],
        vec![
            Progress::Starting,
            Progress::Aborted("it was not ready".into()),
        ],
        vec![
            Progress::Starting,
            Progress::Ready,
            Progress::Activated,
            Progress::Recovered("it was silent".into()),
        ],
    ];
    let mut remaining = sequences.clone().into_iter();
    let requests = vec![request("upgrade", "{}"); sequences.len()];
    let replies = send_to_responder("upgrade", &requests, |received| {
        let PendingRequest::Upgrade(progress) = received else {
            panic!("not an upgrade request");
        };
        for stage in remaining.next().expect("no more requests than sequences") {
            progress.send(stage).expect("the connection waits");
        }
    });
    assert_replies("control_upgrade.json", &replies.concat());
}

#[test]
fn heartbeat_and_its_answer() {
    let expected = Heartbeat {
        incarnation: LARGE,
        offered_policy: Some(VersionedPolicy {
            version: 23,
            policy: Policy {
                note: "evening".into(),
                ..Policy::default()
            },
        }),
        fence_version: 21,
        grant: Some(LeaseGrant {
            version: 22,
            requested_at: 1021.5,
            duration_seconds: 1.625,
        }),
        quota_grants: Some(QuotaGrantBatch {
            incarnation: LARGE,
            request_id: 24,
            ..QuotaGrantBatch::default()
        }),
    };
    let status = InstanceStatus {
        incarnation: LARGE,
        reported_at: 1022.25,
        fenced_version: 21,
        known_versions: vec![22, 23],
        rejected_version: Some((24, "no such dependency".to_owned()).into()),
        effective_version: Some(22),
        lease_remaining_seconds: 1.375,
        base_fingerprint: LARGE + 2,
        quota_requests: None,
    };
    let body = read_golden_text("control_beat.json");
    let mut answers = [None, Some(status)].into_iter();
    let requests = vec![request("policy", &body); 2];
    let replies = send_to_responder("policy", &requests, |received| {
        let PendingRequest::Policy(heartbeat, reply) = received else {
            panic!("not a heartbeat");
        };
        assert_eq!(*heartbeat, expected);
        let answer = answers.next().expect("no more requests than answers");
        reply.send(answer).expect("the connection waits");
    });
    assert_replies("control_policy.json", &replies.concat());
}

/// From these replies agents learn whether an instance supports a request.
#[test]
fn replies_to_unsupported_requests() {
    let requests = [
        request("nonsense", "{}"),
        "ask 2 status 2\r\n{}\r\n".to_owned(),
        request("council", "{}"),
    ];
    let replies = send_to_responder("unreadable", &requests, |_| {
        panic!("no request is passed on")
    });
    assert_replies("control_unreadable.json", &replies.concat());
}

#[test]
fn replies_about_observations_and_to_an_agent() {
    let requests = [
        request("knowledge", "{}"),
        request("knowledge", "{}"),
        request("forget", r#"{"origin":"n4"}"#),
        request("forget", "{}"),
        request("fleet", r#"{"do":"status"}"#),
    ];
    let mut turn = 0;
    let replies = send_to_responder("knowledge", &requests, |received| {
        turn += 1;
        match (turn, received) {
            (1, PendingRequest::Knowledge(reply)) => {
                reply.send(None).expect("the connection waits")
            }
            (2, PendingRequest::Knowledge(reply)) => {
                let pages = vec![json!({ "page": 1 }), json!({ "page": 2 })];
                reply.send(Some(pages)).expect("the connection waits");
            }
            (3, PendingRequest::Forget(origin, reply)) => {
                assert_eq!(origin.as_deref(), Some("n4"));
                reply.send(Some(17)).expect("the connection waits");
            }
            (4, PendingRequest::Forget(origin, reply)) => {
                assert_eq!(origin, None);
                reply.send(None).expect("the connection waits");
            }
            (5, PendingRequest::Fleet(body, reply)) => {
                assert_eq!(body, json!({ "do": "status" }));
                let more = (ControlMessage::More, json!({ "step": 1 }));
                reply.send(more).expect("the connection waits");
                let last = (ControlMessage::Failed, json!({ "text": "no such group" }));
                reply.send(last).expect("the connection waits");
            }
            (turn, _) => panic!("request {turn} was received as another kind"),
        }
    });
    assert_replies("control_knowledge.json", &replies.concat());
}

// Replies of a serving instance.

/// Replaces a value that differs from run to run; it must be a number.
fn replace_number(report: &mut Value, path: &str) {
    let value = report.pointer_mut(path).expect(path);
    assert!(value.is_number(), "{path}: {value}");
    *value = json!("a number");
}

/// Replaces all values that differ from run to run in a status.
fn replace_numbers(status: &mut Value) {
    assert_eq!(status["process"], json!(std::process::id()));
    let version = concat!("merlinshelf ", env!("CARGO_PKG_VERSION"));
    assert_eq!(status["version"], json!(version));
    status["version"] = json!("a version");
    for path in ["/process", "/up_ms", "/memory_kb", "/descriptors"] {
        replace_number(status, path);
    }
    replace_number(status, "/learning/taught_by/0/ago_s");
    replace_number(status, "/policy/left_s");
    let counters = status["counters"].as_object().expect("counters");
    let names: Vec<String> = counters.keys().cloned().collect();
    for name in names {
        replace_number(status, &format!("/counters/{name}"));
    }
}

/// The gossip store of an instance with observations of another one.
fn stored_observations() -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let observation =
        |metric: Metric, value: f64, count: u32, status: SourceStatus| GossipedObservation {
            metric,
            source: Source {
                name: "n4".into(),
                incarnation: LARGE,
            },
            value,
            sample_count: count,
            age_seconds: 1.5,
            sequence: 42,
            hops: 1,
            status,
        };
    let limit = Metric::CallLimit {
        dependency: "library".into(),
    };
    let run = Metric::RunRecent {
        engine: "cx42".into(),
        operation: "thumbnail".into(),
    };
    let mut bytes = merlinshelf_gossip::store_format::header();
    for observation in [
        observation(limit, 48.5, 96, SourceStatus::RecentlySynced),
        observation(run, 0.25, 64, SourceStatus::Steady),
    ] {
        let saved_at = now.clone().expect("a time").as_secs_f64();
        let record = Record::Observation(PersistedObservation {
            saved_at,
            observation,
        });
        let record = merlinshelf_gossip::store_format::encode_record(&record);
        bytes.extend(record.expect("a record that can be encoded"));
    }
    bytes
}

/// A configuration for an instance whose engine, catalogue and registration service are not reachable.
fn configuration() -> Value {
    let text = include_str!("../../../examples/config.json");
    let mut configuration: Value = serde_json::from_str(text).expect("JSON");
    configuration["name"] = json!("n7");
    configuration["listen"] = json!("127.0.0.1:0");
    for peer in ["engine", "members", "backend"] {
        configuration[peer] = json!("127.0.0.1:1");
    }
    configuration
}

/// Starts an instance in this process that has observations, a policy, dependencies and budgets, requests its status and
/// its observations, and drains it.
#[test]
fn replies_of_a_serving_instance() {
    let folder = Folder::new("serve");
    let path = |name: &str| folder.0.join(name);
    let (socket, learning) = (path("control"), path("learning"));
    std::fs::create_dir_all(&learning).expect("a folder");
    std::fs::write(learning.join("knowledge"), stored_observations()).expect("a file");
    std::fs::write(path("config.json"), configuration().to_string()).expect("a file");
    let operator = json!({
        "control": { "socket": socket },
        "log": { "level": "error" },
        "learning": { "engine": "cx42", "dependency": "library", "folder": learning, "save_ms": 600_000 },
        "dependencies": {
            "zone": "garching",
            "dependencies": {
                "assets": { "servers": [{ "address": "127.0.0.1:1", "zone": "garching" }] },
            },
        },
        "policy": {
            "base": { "note": "base", "budgets": { "catalogue": { "probes": 8 }, "assets": { "first": 9 } } },
            "wait_ms": 0,
            "lease_ms": 600_000,
        },
    });
    std::fs::write(path("operator.json5"), operator.to_string()).expect("a file");
    let start = Start {
        config: path("config.json"),
        operator: Some(path("operator.json5")),
    };
    let server = spawn(move || serve(&start).inspect_err(|error| eprintln!("{error}")));

    // Its incarnation and its clock are needed to grant it a lease.
    let report = send(&socket, &request("policy", "{}"))[0][1].clone();
    let (incarnation, requested_at) = (report["life"].clone(), report["asked"].clone());
    let heartbeat = json!({
        "life": incarnation,
        "offer": [7, { "note": "evening", "budgets": { "catalogue": { "probes": 16 }, "assets": { "first": 18 } } }],
        "grant": { "number": 7, "asked": requested_at, "for_s": 600.0 },
    });
    let mut report = send(&socket, &request("policy", &heartbeat.to_string()));
    for path in ["/life", "/asked", "/left_s"] {
        replace_number(&mut report[0][1], path);
    }
    for path in [
        "/life",
        "/places/assets/claims/first/life",
        "/places/catalogue/claims/probes/life",
    ] {
        replace_number(&mut report[0][1]["wishes"], path);
    }
    assert_replies("serving_policy.json", &report);

    // Observations are loaded while the instance already serves.
    let deadline = Instant::now() + TIMEOUT;
    let mut status = loop {
        let status = send(&socket, &request("status", "{}"));
        if status[0][1]["learning"]["taught_by"][0].is_object() {
            break status;
        }
        assert!(Instant::now() < deadline, "{status:?}");
        sleep(Duration::from_millis(5));
    };
    replace_numbers(&mut status[0][1]);
    assert_replies("serving_status.json", &status);

    let mut observations = send(&socket, &request("knowledge", "{}"));
    let figures = observations[0][1]["figures"]
        .as_array_mut()
        .expect("figures");
    for observation in figures {
        replace_number(observation, "/age_s");
        replace_number(observation, "/weight");
    }
    assert_replies("serving_knowledge.json", &observations);

    let refused = ["fleet", "upgrade"].map(|word| send(&socket, &request(word, "{}")));
    assert_replies("serving_refused.json", &refused.concat());
    let forgotten = send(&socket, &request("forget", r#"{"origin":"n4"}"#));
    assert_replies("serving_forget.json", &forgotten);
    let drained = send(&socket, &request("drain", "{}"));
    assert_replies("serving_drain.json", &drained);
    let exit = server.join().expect("no panic");
    assert_eq!(exit.expect("it serves until the drain ends"), 0);
}
