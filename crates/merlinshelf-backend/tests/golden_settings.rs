//! Golden files of every form of this package that outlives a process or passes between two, as far as it is public: the
//! operators' file (JSON5), its schema, and the replies on the control socket (JSON), asked over a real socket.
//!
//! What the control socket replies must give the bytes of its file under `tests/golden/`, but for figures that differ from
//! run to run: these are checked to be numbers and replaced. No program writes the operators' file: kept files must be read
//! as the expected values, whatever form a later version would write them in. Every field of a sample has a value of its own
//! that is not the default, so that a field that is lost by another name shows. A test that fails here means that operators'
//! files, tools or agents of an earlier version are misunderstood. `GOLDEN_WRITE=1` writes the replies anew; without it a
//! missing file is a failure.

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

/// Larger than what a JSON number holds as a 64-bit float: such numbers must come through whole.
const LARGE: u64 = 7_201_234_567_890_123_457;
/// Replies come at once; a busy machine has this long.
const PATIENCE: Duration = Duration::from_secs(30);

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

/// The bytes of a golden file, which must be those that were encoded now.
fn assert_golden(name: &str, encoded: &[u8]) -> Vec<u8> {
    if std::env::var("GOLDEN_WRITE").as_deref() == Ok("1") {
        std::fs::write(golden_path(name), encoded).expect("a golden file is written");
    }
    let golden = read_golden(name);
    assert_eq!(
        encoded.escape_ascii().to_string(),
        golden.escape_ascii().to_string(),
        "{name}: the encoded form (left) is another than that of the golden file (right)"
    );
    golden
}

fn read_golden_text(name: &str) -> String {
    String::from_utf8(read_golden(name)).expect("text")
}

/// An operators' file, which must be read as `expected`, and still after it was written and read once more.
fn assert_operator_file(name: &str, expected: &Operator) {
    let decoded = Operator::parse(&read_golden_text(name)).expect("the golden file is read");
    assert_eq!(decoded, *expected, "{name}");
    let encoded = serde_json::to_string(expected).expect("it is encoded");
    let decoded = Operator::parse(&encoded).expect("it is read again");
    assert_eq!(decoded, *expected, "{name}, written anew");
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

/// Everything that may be left out, with what stands for it.
#[test]
fn operator_file_with_required_fields_alone() {
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

/// What `deploy/operator.json5` says.
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

/// The file as it was given to operators up to now: files that they wrote after it must still be read.
#[test]
fn operator_file_of_the_example() {
    assert_operator_file("operator_example.json5", &example_operator());
    let shown = include_str!("../../../deploy/operator.json5");
    assert_eq!(Operator::parse(shown), Ok(example_operator()));
}

/// Editors hold the file to it; `merlinshelf check --schema > deploy/operator.schema.json` makes it anew.
#[test]
fn schema_of_the_operator_file() {
    assert_eq!(
        Operator::schema(),
        include_str!("../../../deploy/operator.schema.json")
    );
}

/// All words that a field may have.
#[test]
fn words_of_the_operator_file() {
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

/// A policy is read from operators' files in the same way as the operators' file itself.
#[test]
fn policy_file_as_operators_write_it() {
    let kept: Policy = parse_json5(&read_golden_text("policy_file.json5")).expect("it is read");
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
    assert_eq!(kept, expected);
}

// Replies on the control socket.

/// A folder of one test's own, which is gone with it.
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
        let _ = std::fs::remove_dir_all(&self.0); // a leftover harms nobody
    }
}

/// Asks as tools and agents do, and reads all replies up to the end of the connection: the word and the report of each.
fn ask(socket: &Path, question: &str) -> Vec<Value> {
    let until = Instant::now() + PATIENCE;
    let mut stream = loop {
        match UnixStream::connect(socket) {
            Ok(stream) => break stream,
            Err(error) => assert!(Instant::now() < until, "{}: {error}", socket.display()),
        }
        sleep(Duration::from_millis(5));
    };
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.write_all(question.as_bytes()).expect("it is asked");
    let mut replies = String::new();
    stream.read_to_string(&mut replies).expect("replies");
    let (mut rest, mut all) = (replies.as_str(), Vec::new());
    while !rest.is_empty() {
        let (head, behind) = rest.split_once("\r\n").expect("a line");
        let words: Vec<&str> = head.split(' ').collect();
        let ["say", "1", word, length] = words[..] else {
            panic!("{head:?} is no head of a reply");
        };
        let length: usize = length.parse().expect("a length");
        let (body, behind) = behind.split_at(length);
        let report: Value = serde_json::from_str(body).expect("JSON");
        assert_eq!(report.to_string(), body, "keys in order, without blanks");
        all.push(json!([word, report]));
        rest = behind.strip_prefix("\r\n").expect("an end");
    }
    all
}

fn question(word: &str, body: &str) -> String {
    format!("ask 1 {word} {}\r\n{body}\r\n", body.len())
}

fn assert_replies(name: &str, replies: &[Value]) {
    let encoded = serde_json::to_string_pretty(replies).expect("it is encoded") + "\n";
    let golden = assert_golden(name, encoded.as_bytes());
    let decoded: Vec<Value> = serde_json::from_slice(&golden).expect("JSON");
    assert_eq!(decoded, replies, "{name}");
}

/// Opens a control socket whose questions are answered by `answer`, and asks all of these, one connection each.
fn ask_answerer(
    name: &str,
    questions: &[String],
    mut answer: impl FnMut(PendingRequest),
) -> Vec<Vec<Value>> {
    let folder = Folder::new(name);
    let socket = folder.0.join("control");
    let tools: JoinHandle<Vec<Vec<Value>>> = {
        let (socket, questions) = (socket.clone(), questions.to_vec());
        spawn(move || questions.iter().map(|one| ask(&socket, one)).collect())
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (asked, mut requests) = unbounded_channel();
        let _control = control::open(&socket, asked).expect("a socket");
        while !tools.is_finished() {
            let next = tokio::time::timeout(Duration::from_millis(20), requests.recv());
            if let Ok(Some(request)) = next.await {
                answer(request);
            }
        }
    });
    tools.join().expect("all were answered")
}

#[test]
fn replies_to_an_upgrade() {
    let ways: [Vec<Progress>; 4] = [
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
    let mut coming = ways.clone().into_iter();
    let questions = vec![question("upgrade", "{}"); ways.len()];
    let replies = ask_answerer("upgrade", &questions, |asked| {
        let PendingRequest::Upgrade(progress) = asked else {
            panic!("an upgrade was asked for");
        };
        for one in coming.next().expect("no more questions than ways") {
            progress.send(one).expect("somebody listens");
        }
    });
    assert_replies("control_upgrade.json", &replies.concat());
}

#[test]
fn heartbeat_and_its_answer() {
    let beat = Heartbeat {
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
    let said = InstanceStatus {
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
    let mut answers = [None, Some(said)].into_iter();
    let questions = vec![question("policy", &body); 2];
    let replies = ask_answerer("policy", &questions, |asked| {
        let PendingRequest::Policy(heard, reply) = asked else {
            panic!("a heartbeat came");
        };
        assert_eq!(*heard, beat);
        let answer = answers.next().expect("no more questions than answers");
        reply.send(answer).expect("somebody listens");
    });
    assert_replies("control_policy.json", &replies.concat());
}

/// Agents tell by these replies whether an instance knows what they ask.
#[test]
fn replies_to_what_can_not_be_answered() {
    let questions = [
        question("nonsense", "{}"),
        "ask 2 status 2\r\n{}\r\n".to_owned(),
        question("council", "{}"),
    ];
    let replies = ask_answerer("unreadable", &questions, |_| panic!("nothing was asked"));
    assert_replies("control_unreadable.json", &replies.concat());
}

#[test]
fn replies_about_what_is_known_and_to_an_agent() {
    let questions = [
        question("knowledge", "{}"),
        question("knowledge", "{}"),
        question("forget", r#"{"origin":"n4"}"#),
        question("forget", "{}"),
        question("fleet", r#"{"do":"status"}"#),
    ];
    let mut turn = 0;
    let replies = ask_answerer("knowledge", &questions, |asked| {
        turn += 1;
        match (turn, asked) {
            (1, PendingRequest::Knowledge(reply)) => reply.send(None).expect("somebody listens"),
            (2, PendingRequest::Knowledge(reply)) => {
                let pages = vec![json!({ "page": 1 }), json!({ "page": 2 })];
                reply.send(Some(pages)).expect("somebody listens");
            }
            (3, PendingRequest::Forget(origin, reply)) => {
                assert_eq!(origin.as_deref(), Some("n4"));
                reply.send(Some(17)).expect("somebody listens");
            }
            (4, PendingRequest::Forget(origin, reply)) => {
                assert_eq!(origin, None);
                reply.send(None).expect("somebody listens");
            }
            (5, PendingRequest::Fleet(body, reply)) => {
                assert_eq!(body, json!({ "do": "status" }));
                let more = (ControlMessage::More, json!({ "step": 1 }));
                reply.send(more).expect("somebody listens");
                let last = (ControlMessage::Failed, json!({ "text": "no such group" }));
                reply.send(last).expect("somebody listens");
            }
            (turn, _) => panic!("question {turn} came as another one"),
        }
    });
    assert_replies("control_knowledge.json", &replies.concat());
}

// Replies of an instance that serves.

/// Replaces a figure that differs from run to run; it must be a number.
fn replace_number(value: &mut Value, place: &str) {
    let figure = value.pointer_mut(place).expect(place);
    assert!(figure.is_number(), "{place}: {figure}");
    *figure = json!("a number");
}

/// Replaces all figures that differ from run to run in a status.
fn replace_figures(status: &mut Value) {
    assert_eq!(status["process"], json!(std::process::id()));
    let version = concat!("merlinshelf ", env!("CARGO_PKG_VERSION"));
    assert_eq!(status["version"], json!(version));
    status["version"] = json!("a version");
    for place in ["/process", "/up_ms", "/memory_kb", "/descriptors"] {
        replace_number(status, place);
    }
    replace_number(status, "/learning/taught_by/0/ago_s");
    replace_number(status, "/policy/left_s");
    let counters = status["counters"].as_object().expect("counters");
    let names: Vec<String> = counters.keys().cloned().collect();
    for name in names {
        replace_number(status, &format!("/counters/{name}"));
    }
}

/// What an instance has kept of another one, as its file holds it.
fn kept_observations() -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let told =
        |subject: Metric, value: f64, count: u32, standing: SourceStatus| GossipedObservation {
            metric: subject,
            source: Source {
                name: "n4".into(),
                incarnation: LARGE,
            },
            value,
            sample_count: count,
            age_seconds: 1.5,
            sequence: 42,
            hops: 1,
            status: standing,
        };
    let limit = Metric::CallLimit {
        dependency: "library".into(),
    };
    let run = Metric::RunRecent {
        engine: "cx42".into(),
        operation: "thumbnail".into(),
    };
    let mut bytes = merlinshelf_gossip::store_format::header();
    for told in [
        told(limit, 48.5, 96, SourceStatus::RecentlySynced),
        told(run, 0.25, 64, SourceStatus::Steady),
    ] {
        let at = now.clone().expect("a time").as_secs_f64();
        let kept = Record::Observation(PersistedObservation {
            saved_at: at,
            observation: told,
        });
        let record = merlinshelf_gossip::store_format::record(&kept);
        bytes.extend(record.expect("a record that can be encoded"));
    }
    bytes
}

/// A configuration of the platform for an instance whose engine, catalogue and registry are not there.
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

/// Starts an instance in this process that knows observations, a policy, dependencies and budgets, asks for its status and
/// what it knows, and has it leave.
#[test]
fn replies_of_an_instance_that_serves() {
    let folder = Folder::new("serve");
    let path = |name: &str| folder.0.join(name);
    let (socket, learning) = (path("control"), path("learning"));
    std::fs::create_dir_all(&learning).expect("a folder");
    std::fs::write(learning.join("knowledge"), kept_observations()).expect("a file");
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
    let server = spawn(move || serve(&start).inspect_err(|why| eprintln!("{why}")));

    // Its life and its clock are needed to grant it a lease.
    let beat = question("policy", "{}");
    let said = ask(&socket, &beat)[0][1].clone();
    let (life, asked) = (said["life"].clone(), said["asked"].clone());
    let beat = json!({
        "life": life,
        "offer": [7, { "note": "evening", "budgets": { "catalogue": { "probes": 16 }, "assets": { "first": 18 } } }],
        "grant": { "number": 7, "asked": asked, "for_s": 600.0 },
    });
    let mut said = ask(&socket, &question("policy", &beat.to_string()));
    for place in ["/life", "/asked", "/left_s"] {
        replace_number(&mut said[0][1], place);
    }
    for place in [
        "/life",
        "/places/assets/claims/first/life",
        "/places/catalogue/claims/probes/life",
    ] {
        replace_number(&mut said[0][1]["wishes"], place);
    }
    assert_replies("serving_policy.json", &said);

    // Observations are read beside the service.
    let until = Instant::now() + PATIENCE;
    let mut status = loop {
        let status = ask(&socket, &question("status", "{}"));
        if status[0][1]["learning"]["taught_by"][0].is_object() {
            break status;
        }
        assert!(Instant::now() < until, "{status:?}");
        sleep(Duration::from_millis(5));
    };
    replace_figures(&mut status[0][1]);
    assert_replies("serving_status.json", &status);

    let mut known = ask(&socket, &question("knowledge", "{}"));
    let figures = known[0][1]["figures"].as_array_mut().expect("figures");
    for figure in figures {
        replace_number(figure, "/age_s");
        replace_number(figure, "/weight");
    }
    assert_replies("serving_knowledge.json", &known);

    let refused = ["fleet", "upgrade"].map(|word| ask(&socket, &question(word, "{}")));
    assert_replies("serving_refused.json", &refused.concat());
    let forgotten = ask(&socket, &question("forget", r#"{"origin":"n4"}"#));
    assert_replies("serving_forget.json", &forgotten);
    let drained = ask(&socket, &question("drain", "{}"));
    assert_replies("serving_drain.json", &drained);
    let exit = server.join().expect("no panic");
    assert_eq!(exit.expect("it serves to its end"), 0);
}
