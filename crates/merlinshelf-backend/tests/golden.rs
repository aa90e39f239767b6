//! What operators' tools and agents read at an instance's control socket, held to golden files: the answers to every
//! question, and the reports of an instance that serves. The counters in its status are by the names under which a
//! handover image carries them.
//!
//! The files hold what programs in the field answered: where a test fails, the code is to be mended, not the file. The
//! records that this package writes into an image are held to their bytes in `merlinshelf-handover`.

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

const PATIENCE: Duration = Duration::from_secs(20);

/// A folder of one test's own, gone with it.
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

fn name_of(word: ControlMessage) -> &'static str {
    match word {
        ControlMessage::More => "more",
        ControlMessage::Done => "done",
        ControlMessage::Failed => "failed",
        ControlMessage::Refused => "refused",
    }
}

/// Sends these bytes to the socket, and returns what it answers before it closes the connection.
fn exchange(socket: &Path, question: &[u8]) -> std::io::Result<Vec<Value>> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(question)?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let (mut rest, mut answers) = (bytes.as_slice(), Vec::new());
    while let Ok(Some((frame, used))) = control::read_message(rest) {
        let body: Value = serde_json::from_slice(frame.body).expect("JSON");
        answers
            .push(json!({ "form": frame.version, "word": name_of(frame.message), "body": body }));
        rest = &rest[used..];
    }
    assert!(rest.is_empty(), "{}", rest.escape_ascii());
    Ok(answers)
}

fn encode(question: ControlRequest, body: &Value) -> Vec<u8> {
    let mut bytes: Vec<u8> = Vec::new();
    control::write_request(&mut bytes, question, body.to_string().as_bytes());
    bytes
}

/// A heartbeat of an agent as JSON, and what it says.
fn heartbeat() -> (Value, Heartbeat) {
    let text = json!({
        "life": 11, "offer": null, "fence": 12, "grant": { "number": 13, "asked": 14.5, "for_s": 15.5 },
    });
    let beat = Heartbeat {
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
    (text, beat)
}

fn status_of_policy() -> InstanceStatus {
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

/// Every way in which an upgrade may go.
fn upgrades() -> Vec<Vec<Progress>> {
    let begun = [Progress::Starting, Progress::Ready, Progress::Activated];
    let until = |stages: usize, end: Progress| {
        let begun = begun[..stages].iter().cloned();
        begun.chain([end]).collect()
    };
    vec![
        until(3, Progress::Completed),
        until(0, Progress::Rejected("upgrades are off".into())),
        until(1, Progress::Aborted("not ready in time".into())),
        until(3, Progress::Recovered("it died".into())),
    ]
}

/// Answers in place of an instance, whose learning and policies are on or off.
async fn answer_all(mut asked: UnboundedReceiver<PendingRequest>, is_on: bool) {
    let mut upgrades = upgrades().into_iter();
    while let Some(asked) = asked.recv().await {
        match asked {
            PendingRequest::Status(reply) => _ = reply.send(json!({ "status": 1 })),
            PendingRequest::Drain(reply) => _ = reply.send(json!({ "drain": 2 })),
            PendingRequest::Upgrade(progress) => {
                for stage in upgrades.next().expect("another upgrade") {
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
                    Some(other) => panic!("another origin than was named: {other}"),
                    None => 6,
                };
                let _ = reply.send(is_on.then_some(count));
            }
            PendingRequest::Policy(beat, reply) => {
                assert_eq!(*beat, heartbeat().1);
                let _ = reply.send(is_on.then(status_of_policy));
            }
            PendingRequest::Fleet(body, replies) => {
                assert_eq!(body, json!({ "fleet": 7 }));
                let _ = replies.send((ControlMessage::More, json!({ "answer": 8 })));
                let _ = replies.send((ControlMessage::Failed, json!({ "answer": 9 })));
            }
        }
    }
}

/// A question's name in the golden file, and its bytes.
type Asking = (&'static str, Vec<u8>);

/// The answers at a control socket to these questions in turn.
async fn answers(name: &str, is_on: bool, questions: Vec<Asking>) -> Value {
    let folder = TestFolder::new(name);
    let socket = folder.path("control");
    let (sender, asked) = unbounded_channel();
    let local = LocalSet::new();
    local.spawn_local(answer_all(asked, is_on));
    local
        .run_until(async {
            let _control = open(&socket, sender).expect("a socket");
            let ask_all = move || -> Vec<Value> {
                let ask = |(name, bytes): &Asking| {
                    let answers = exchange(&socket, bytes).expect("answers");
                    json!({ "question": name, "answers": answers })
                };
                questions.iter().map(ask).collect()
            };
            spawn_blocking(ask_all).await.expect("no panic").into()
        })
        .await
}

#[tokio::test]
async fn answers_at_the_control_socket() {
    let mut questions = vec![
        ("status", encode(ControlRequest::Status, &json!({}))),
        ("drain", encode(ControlRequest::Drain, &json!({}))),
        ("knowledge", encode(ControlRequest::Knowledge, &json!({}))),
        (
            "forget one",
            encode(ControlRequest::Forget, &json!({ "origin": "n5" })),
        ),
        ("forget all", encode(ControlRequest::Forget, &json!({}))),
        ("policy", encode(ControlRequest::Policy, &heartbeat().0)),
        (
            "fleet",
            encode(ControlRequest::Fleet, &json!({ "fleet": 7 })),
        ),
        ("council", encode(ControlRequest::Consensus, &json!({}))),
        ("another form", b"ask 7 status 0\r\n\r\n".to_vec()),
        ("no question", b"ask 1 dance 0\r\n\r\n".to_vec()),
    ];
    let upgrade = ("upgrade", encode(ControlRequest::Upgrade, &json!({})));
    questions.extend(std::iter::repeat_n(upgrade, upgrades().len()));
    golden_file::assert_json("control_answers", &answers("on", true, questions).await);
}

#[tokio::test]
async fn answers_where_learning_and_policies_are_off() {
    let questions = vec![
        ("knowledge", encode(ControlRequest::Knowledge, &json!({}))),
        ("forget", encode(ControlRequest::Forget, &json!({}))),
        ("policy", encode(ControlRequest::Policy, &heartbeat().0)),
    ];
    golden_file::assert_json(
        "control_answers_off",
        &answers("off", false, questions).await,
    );
}

/// A report with what differs from run to run replaced by the kind of value that it is.
fn without_figures(value: &Value) -> Value {
    match value {
        Value::Number(_) => "a number".into(),
        Value::Bool(_) => "true or false".into(),
        Value::Array(items) => items.iter().map(without_figures).collect(),
        Value::Object(fields) => {
            let field = |(name, value): (&String, &Value)| {
                let value = match name.as_str() {
                    "version" => "a text".into(),
                    _ => without_figures(value),
                };
                (name.clone(), value)
            };
            Value::Object(fields.iter().map(field).collect())
        }
        Value::Null | Value::String(_) => value.clone(),
    }
}

/// Asks until the first answer is as it must be.
fn ask_until(
    socket: &Path,
    question: ControlRequest,
    is_enough: impl Fn(&Value) -> bool,
) -> Vec<Value> {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let answers = exchange(socket, &encode(question, &json!({})));
        if let Ok(answers) = &answers
            && answers
                .first()
                .is_some_and(|first| is_enough(&first["body"]))
        {
            return answers.clone();
        }
        assert!(Instant::now() < deadline, "{answers:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The store file of an instance that has heard of another one a moment ago.
fn store_file() -> Vec<u8> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let kept = PersistedObservation {
        saved_at: since_epoch
            .expect("a clock that is set right")
            .as_secs_f64(),
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
        store_format::record(&Record::Observation(kept)).expect("a record that can be encoded"),
    ]
    .concat()
}

/// An instance with everything switched on that has a report of its own. Nobody listens where its peers would be.
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
    let status = ask_until(&socket, ControlRequest::Status, has_saved);
    let knowledge = ask_until(&socket, ControlRequest::Knowledge, |page| {
        page["figures"].is_array()
    });
    let drain = ask_until(&socket, ControlRequest::Drain, |_| true);
    let exit = instance.join().expect("no panic");
    assert_eq!(exit.expect("it serves to its end"), 0);
    let reports = json!({ "status": status, "knowledge": knowledge, "drain": drain });
    golden_file::assert_json("instance_reports", &without_figures(&reports));

    // What it has kept, under the names by which a later program looks for it.
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

    /// Asserts that a value is the one of its golden file, which must be there. With `GOLDEN_WRITE=1` in the environment
    /// a file that is missing is written; one that is there is never changed.
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
            "{name}.json says otherwise than the program:\n{}",
            pretty(value)
        );
    }
}
