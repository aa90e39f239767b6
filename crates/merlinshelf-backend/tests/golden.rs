//! Compares what operators' tools and agents read from an instance's control socket with golden files: the responses to
//! every request, and the reports of a serving instance. The counters in its status have the names under which a
//! handover image stores them.
//!
//! The files contain the responses of released programs. If a test fails, the code must be corrected, not the file. The
//! records that this package writes into an image are compared byte by byte in `merlinshelf-handover`.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use merlinshelf_backend::control::{PendingRequest, open};
use merlinshelf_backend::gossip::disk;
use merlinshelf_backend::{Start, serve};
use merlinshelf_gossip::store_format::{self, PersistedObservation, Record};
use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_handover::predecessor::Progress;
use merlinshelf_policy::{Heartbeat, InstanceStatus, LeaseGrant};
use merlinshelf_protocol::control::{self, ControlMessage, ControlRequest};
use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{LocalSet, spawn_blocking};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A temporary folder of one test, removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("merlinshelf-{process}-golden-{name}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        TestFolder(folder)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn message_name(message: ControlMessage) -> &'static str {
    match message {
        ControlMessage::More => "more",
        ControlMessage::Done => "done",
        ControlMessage::Failed => "failed",
        ControlMessage::Refused => "refused",
    }
}

/// Sends these bytes to the socket, and returns all responses until it closes the connection.
fn exchange(socket: &Path, request: &[u8]) -> std::io::Result<Vec<Value>> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(request)?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let (mut rest, mut answers) = (bytes.as_slice(), Vec::new());
    while let Ok(Some((frame, used))) = control::read_message(rest) {
        let body: Value = serde_json::from_slice(frame.body).expect("JSON");
        answers.push(
            json!({ "form": frame.version, "word": message_name(frame.message), "body": body }),
        );
        rest = &rest[used..];
    }
    assert!(rest.is_empty(), "{}", rest.escape_ascii());
    Ok(answers)
}

fn encode(request: ControlRequest, body: &Value) -> Vec<u8> {
    let mut bytes: Vec<u8> = Vec::new();
    control::write_request(&mut bytes, request, body.to_string().as_bytes());
    bytes
}

/// A heartbeat of an agent, as JSON and as a value.
fn sample_heartbeat() -> (Value, Heartbeat) {
    let text = json!({
        "life": 11, "offer": null, "fence": 12, "grant": { "number": 13, "asked": 14.5, "for_s": 15.5 },
    });
    let heartbeat = Heartbeat {
        incarnation: 11,
        offered_policy: None,
        fence_version: 12,
        grant: Some(LeaseGrant {
            version: 13,
            requested_at: 14.5,
            duration_seconds: 15.5,
        }),
        quota_grants: None,
    };
    (text, heartbeat)
}

fn policy_status() -> InstanceStatus {
    InstanceStatus {
        incarnation: 21,
        reported_at: 22.5,
        fenced_version: 23,
        known_versions: vec![24, 25],
        rejected_version: Some((26, "no such operation".to_owned()).into()),
        effective_version: Some(27),
        lease_remaining_seconds: 28.5,
        base_fingerprint: 29,
        quota_requests: None,
    }
}

/// The progress reports of upgrades with every possible end.
fn upgrade_sequences() -> Vec<Vec<Progress>> {
    let all_stages = [Progress::Starting, Progress::Ready, Progress::Activated];
    let sequence = |count: usize, end: Progress| {
        let reached = all_stages[..count].iter().cloned();
        reached.chain([end]).collect()
    };
    vec![
        sequence(3, Progress::Completed),
        sequence(0, Progress::Rejected("upgrades are off".into())),
        sequence(1, Progress::Aborted("not ready in time".into())),
        sequence(3, Progress::Recovered("it died".into())),
    ]
}

/// Responds in place of an instance, with gossip and policies on or off.
async fn answer_all(mut requests: UnboundedReceiver<PendingRequest>, is_on: bool) {
    let mut upgrades = upgrade_sequences().into_iter();
    while let Some(request) = requests.recv().await {
        match request {
            PendingRequest::Status(reply) => _ = reply.send(json!({ "status": 1 })),
            PendingRequest::Drain(reply) => _ = reply.send(json!({ "drain": 2 })),
            PendingRequest::Upgrade(progress) => {
                for stage in upgrades.next().expect("no more requests than upgrades") {
                    let _ = progress.send(stage);
                }
            }
            PendingRequest::Knowledge(reply) => {
                let pages = vec![json!({ "page": 3 }), json!({ "page": 4 })];
                let _ = reply.send(is_on.then_some(pages));
            }
            PendingRequest::Forget(origin, reply) => {
                let count = match origin.as_deref() {
                    Some("n5") => 5,
                    Some(other) => panic!("unexpected origin: {other}"),
                    None => 6,
                };
                let _ = reply.send(is_on.then_some(count));
            }
            PendingRequest::Policy(heartbeat, reply) => {
                assert_eq!(*heartbeat, sample_heartbeat().1);
                let _ = reply.send(is_on.then(policy_status));
            }
            PendingRequest::Fleet(body, replies) => {
                assert_eq!(body, json!({ "fleet": 7 }));
                let _ = replies.send((ControlMessage::More, json!({ "answer": 8 })));
                let _ = replies.send((ControlMessage::Failed, json!({ "answer": 9 })));
            }
        }
    }
}

/// A request's name in the golden file, and its bytes.
type NamedRequest = (&'static str, Vec<u8>);

/// The responses of a control socket to these requests, sent one after the other.
async fn answers(name: &str, is_on: bool, requests: Vec<NamedRequest>) -> Value {
    let folder = TestFolder::new(name);
    let socket = folder.path("control");
    let (sender, received) = unbounded_channel();
    let local = LocalSet::new();
    local.spawn_local(answer_all(received, is_on));
    local
        .run_until(async {
            let _control = open(&socket, sender).expect("a socket");
            let send_all = move || -> Vec<Value> {
                let send = |(name, bytes): &NamedRequest| {
                    let answers = exchange(&socket, bytes).expect("answers");
                    json!({ "question": name, "answers": answers })
                };
                requests.iter().map(send).collect()
            };
            spawn_blocking(send_all).await.expect("no panic").into()
        })
        .await
}

#[tokio::test]
async fn control_socket_responses() {
    let mut requests = vec![
        ("status", encode(ControlRequest::Status, &json!({}))),
        ("drain", encode(ControlRequest::Drain, &json!({}))),
        ("knowledge", encode(ControlRequest::Knowledge, &json!({}))),
        (
            "forget one",
            encode(ControlRequest::Forget, &json!({ "origin": "n5" })),
        ),
        ("forget all", encode(ControlRequest::Forget, &json!({}))),
        (
            "policy",
            encode(ControlRequest::Policy, &sample_heartbeat().0),
        ),
        (
            "fleet",
            encode(ControlRequest::Fleet, &json!({ "fleet": 7 })),
        ),
        ("council", encode(ControlRequest::Consensus, &json!({}))),
        ("another form", b"ask 7 status 0\r\n\r\n".to_vec()),
        ("no question", b"ask 1 dance 0\r\n\r\n".to_vec()),
    ];
    let upgrade = ("upgrade", encode(ControlRequest::Upgrade, &json!({})));
    requests.extend(std::iter::repeat_n(upgrade, upgrade_sequences().len()));
    golden_file::assert_json("control_answers", &answers("on", true, requests).await);
}

#[tokio::test]
async fn control_socket_responses_with_gossip_and_policies_off() {
    let requests = vec![
        ("knowledge", encode(ControlRequest::Knowledge, &json!({}))),
        ("forget", encode(ControlRequest::Forget, &json!({}))),
        (
            "policy",
            encode(ControlRequest::Policy, &sample_heartbeat().0),
        ),
    ];
    golden_file::assert_json(
        "control_answers_off",
        &answers("off", false, requests).await,
    );
}

/// A report in which values that differ from run to run are replaced by their types.
fn without_values(value: &Value) -> Value {
    match value {
        Value::Number(_) => "a number".into(),
        Value::Bool(_) => "true or false".into(),
        Value::Array(items) => items.iter().map(without_values).collect(),
        Value::Object(fields) => {
            let field = |(name, value): (&String, &Value)| {
                let value = match name.as_str() {
                    "version" => "a text".into(),
                    _ => without_values(value),
                };
                (name.clone(), value)
            };
            Value::Object(fields.iter().map(field).collect())
        }
        Value::Null | Value::String(_) => value.clone(),
    }
}

/// Repeats a request until its first response is as expected.
fn request_until(
    socket: &Path,
    request: ControlRequest,
    is_expected: impl Fn(&Value) -> bool,
) -> Vec<Value> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let answers = exchange(socket, &encode(request, &json!({})));
        if let Ok(answers) = &answers
            && answers
                .first()
                .is_some_and(|first| is_expected(&first["body"]))
        {
            return answers.clone();
        }
        assert!(Instant::now() < deadline, "{answers:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The gossip store of an instance that has just received an observation of another one.
fn store_file() -> Vec<u8> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let stored = PersistedObservation {
        saved_at: since_epoch.expect("a clock set after 1970").as_secs_f64(),
        observation: GossipedObservation {
            metric: Metric::CallLowest {
                dependency: "catalogue".into(),
            },
            source: Source {
                name: "n9".into(),
                incarnation: 5,
            },
            value: 0.25,
            sample_count: 24,
            age_seconds: 1.5,
            sequence: 7,
            hops: 1,
            status: SourceStatus::Steady,
        },
    };
    [
        store_format::header(),
        store_format::encode_record(&Record::Observation(stored))
            .expect("a record that can be encoded"),
    ]
    .concat()
}

/// The reports of an instance with all features that have a report. Its peers are not reachable.
#[test]
fn reports_of_an_instance() {
    let folder = TestFolder::new("instance");
    let socket = folder.path("control");
    let store = folder.path("store");
    let config = include_str!("../../../examples/config.json")
        .replace("127.0.0.1:6565", "127.0.0.1:0")
        .replace("127.0.0.1:9300", "127.0.0.1:1")
        .replace("127.0.0.1:8761", "127.0.0.1:1")
        .replace("127.0.0.1:5432", "127.0.0.1:1")
        .replace("\"stop_ms\": 3200", "\"stop_ms\": 300");
    let operator = json!({
        "control": { "socket": socket },
        "log": { "level": "error" },
        "learning": { "dependency": "catalogue", "folder": store, "save_ms": 100 },
        "dependencies": {
            "dependencies": { "catalogue": { "servers": [{ "address": "127.0.0.1:1", "zone": "garching" }] } },
            "operations": { "thumbnail": { "calls": [{ "to": "catalogue", "needed": true }] } },
        },
        "policy": { "base": { "budgets": { "catalogue": { "again": 3 } } }, "wait_ms": 0 },
    });
    std::fs::create_dir_all(&store).expect("a folder");
    std::fs::write(store.join("knowledge"), store_file()).expect("a file");
    std::fs::write(folder.path("config.json"), config).expect("a file");
    std::fs::write(folder.path("operator.json5"), operator.to_string()).expect("a file");
    let start = Start {
        config: folder.path("config.json"),
        operator: Some(folder.path("operator.json5")),
    };
    let instance = std::thread::spawn(move || serve(&start));

    let has_saved = |status: &Value| status["learning"]["saved"]["ago_s"].is_number();
    let status = request_until(&socket, ControlRequest::Status, has_saved);
    let knowledge = request_until(&socket, ControlRequest::Knowledge, |page| {
        page["figures"].is_array()
    });
    let drain = request_until(&socket, ControlRequest::Drain, |_| true);
    let exit = instance.join().expect("no panic");
    assert_eq!(exit.expect("it serves until the drain ends"), 0);
    let reports = json!({ "status": status, "knowledge": knowledge, "drain": drain });
    golden_file::assert_json("instance_reports", &without_values(&reports));

    // What it has stored, under the file names that later programs expect.
    let found = disk::read_store(&store).expect("a folder that can be read");
    assert_eq!((found.observations.len(), found.error), (1, None));
    let entries = std::fs::read_dir(&store).expect("a folder");
    let name = |entry: std::io::Result<std::fs::DirEntry>| entry.expect("an entry").file_name();
    let mut names: Vec<_> = entries.map(name).collect();
    names.sort();
    assert_eq!(names, ["knowledge", "lock"]);
}

/// Golden files: `tests/golden/NAME.json`.
mod golden_file {
    use std::path::Path;

    use serde_json::Value;

    /// Asserts that a value equals its golden file, which must exist. With `GOLDEN_WRITE=1` in the environment a missing
    /// file is written; an existing one is never changed.
    pub fn assert_json(name: &str, value: &Value) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name)
            .with_extension("json");
        let pretty =
            |value: &Value| serde_json::to_string_pretty(value).expect("JSON can be written");
        if std::env::var_os("GOLDEN_WRITE").is_some_and(|value| value == "1") && !path.exists() {
            std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
            std::fs::write(&path, pretty(value) + "\n").expect("a file that can be written");
        }
        let text = std::fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("golden file {}: {error}", path.display()));
        let golden: Value = serde_json::from_str(&text).expect("a golden file in JSON");
        assert!(
            *value == golden,
            "{name}.json differs from the program's value:\n{}",
            pretty(value)
        );
    }
}
