//! Compares the data transferred from an instance to its successor with golden files: transactions of
//! an image with every kind of record, and the datagrams between the two processes.
//!
//! Every field of a sample has a distinct value that is not its default, so that a field that is
//! lost, swapped or renamed is detected. The files contain the bytes of released versions: if a test
//! fails, fix the code, not the file.

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_admission::{
    Invocation as AdmissionInvocation, InvocationState, LearnedOperation, LearnedState, Stage,
};
use merlinshelf_dependencies::{AttemptSnapshot, CallSnapshot};
use merlinshelf_handover::records::{
    Answer, ClientConnectionRecord, Command, Detached, DownstreamConnectionRecord,
    EngineConnectionRecord, Instance, Invocation, PartialInvocation, PartialRecord, RecentRuns,
    ResponseQueueRecord,
};
use merlinshelf_handover::{Flow, Image, Key, Message, Role, SUPPORTED_FORMATS, Transaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;

fn bytes(text: &str) -> ByteBuf {
    ByteBuf::from(text)
}

fn flow(name: &str, first: u64) -> Flow {
    Flow {
        read_bytes: first,
        written_bytes: first + 1,
        read_buffer: format!("{name} coming").into_bytes(),
        write_buffer: format!("{name} going").into_bytes(),
    }
}

fn learned_state() -> LearnedState {
    let learned_of_operation = |first: f64| LearnedOperation {
        run_durations: VecDeque::from([first, first + 0.25]),
        run_costs: VecDeque::from([first + 1.0, first + 1.25]),
        downstream_durations: VecDeque::from([first + 2.0, first + 2.25]),
        lowest_duration: first + 3.0,
        finishes_until_probe: first + 4.0,
    };
    LearnedState {
        engine_started_at: 11.5,
        shutdown_at: Some((12.5, 13.5)),
        operations: vec![learned_of_operation(20.0), learned_of_operation(30.0)],
        concurrency_limit: 40.5,
        busy: 0.41,
        busy_at: 42.5,
        other_work: VecDeque::from([43.5, 44.5]),
        last_progress_at: 0.45,
        calls: VecDeque::from([(46.5, 47.5), (48.5, 49.5)]),
        call_durations: VecDeque::from([50.5, 51.5]),
        lowest_call_mean: 52.5,
        calls_until_probe: 53,
        call_limit: 54.5,
        call_failures: 55,
        call_failed_at: 56.5,
        arrivals_by_customer: BTreeMap::from([
            (57, VecDeque::from([58.5, 59.5])),
            (60, VecDeque::from([61.5])),
        ]),
        last_arrivals: BTreeMap::from([(62, 63.5), (u64::MAX - 64, 65.5)]),
        return_gaps: VecDeque::from([66.5, 67.5]),
        retry_marks: VecDeque::from([68.5, 69.5]),
    }
}

fn instance() -> Instance {
    Instance {
        clock_offset_seconds: -1234.5,
        operations: vec!["thumbnail".into(), "transcript-search".into()],
        next_stream: 70_001,
        is_healthy: true,
        idle_timeout_seconds: 29.5,
        drain_deadline_at: Some(5678.25),
        fresh_start: Some("true".into()),
        repeats_calls: vec![true, false, true],
        counters: BTreeMap::from([("connections".into(), 71), ("runs".into(), 72)]),
        learned: Some(learned_state()),
        gossip: bytes("the store of observations"),
        policy: bytes("the lease on a policy"),
        quota: bytes("the shares of budgets"),
    }
}

fn engine_connection() -> EngineConnectionRecord {
    EngineConnectionRecord {
        stream: Some(81),
        address: "127.0.0.1:9300".into(),
        last_notification: 82,
        last_request_tag: 83,
        is_request_pending: true,
        is_greeted: true,
        is_caught_up: true,
        names_dependencies: true,
        engine_started_at: Some(84.5),
        flow: flow("link", 85),
    }
}

fn client_connection() -> ClientConnectionRecord {
    ClientConnectionRecord {
        flow: flow("edge", 91),
        partial_record: PartialRecord {
            kind: 93,
            id: 94,
            content_bytes: 95,
            padding_bytes: 96,
        },
        protocol: 2,
        partials: vec![
            PartialInvocation {
                tag: 97,
                keeps_connection: true,
                params: bytes("first params"),
                has_all_params: true,
                body: bytes("first body"),
            },
            PartialInvocation {
                tag: 98,
                keeps_connection: false,
                params: bytes("second params"),
                has_all_params: false,
                body: bytes("second body"),
            },
        ],
        unanswered: vec![(99, true), (100, false)],
        unassigned_bytes: 101,
        faults: 102,
        received_kind: 103,
        is_read_closed: true,
        closes_after_write: true,
    }
}

/// A response queue with every kind of response.
fn response_queue() -> ResponseQueueRecord {
    ResponseQueueRecord {
        answers: vec![
            (111, Answer::Succeeded(bytes("complete result"))),
            (
                112,
                Answer::Partial(bytes("partial result"), "captions,chapters".into()),
            ),
            (
                113,
                Answer::Throttled {
                    retry_after_seconds: 0.75,
                    forbids_failover: true,
                },
            ),
            (
                114,
                Answer::Throttled {
                    retry_after_seconds: 1.5,
                    forbids_failover: false,
                },
            ),
            (115, Answer::Errored),
            (116, Answer::Unknown),
        ],
    }
}

fn downstream_connection() -> DownstreamConnectionRecord {
    DownstreamConnectionRecord {
        address: "127.0.0.1:5432".into(),
        invocation_id: bytes("9b1f03aa5c7e2d41"),
        call_index: 121,
        attempt_id: None,
        carried_invocation_ids: vec![bytes("9b1f03aa5c7e2d42"), bytes("9b1f03aa5c7e2d43")],
        flow: flow("line", 122),
    }
}

fn invocation() -> Invocation {
    Invocation {
        operation: 131,
        body: bytes("body"),
        response_target: Some((132, 133)),
        call_notification: Some((134, bytes("body of a call"))),
        dependency: Some("thumbs-2".into()),
        requested_calls: 135,
        missing_parts: vec!["captions".into(), "chapters".into()],
        call_count: 136,
        call_deadline_at: Some(137.5),
        due_at: None,
        routed_call: None,
        has_started: true,
        notification_count: 138,
        command: Some((Command::Feed(bytes("reply of a call")), true)),
        arrival_order: 139,
        state: InvocationState {
            request: AdmissionInvocation {
                operation: 140,
                customer: 141,
                caller: 0x1234_5678_9abc_def0,
                caller_timeout: Some(1.25),
                age: 0.0625,
                cost_hint: Some(0.375),
                held_kilobytes: 212.5,
                rank: 0.875,
                is_retry: true,
                has_subject: true,
                is_repeat: true,
                original: Some(142),
            },
            arrived_at: 143.5,
            due_at: 144.5,
            objective_deadline: 145.5,
            stage: Stage::Calling,
            stage_entered_at: 146.5,
            started_at: 147.5,
            off_core_seconds: 148.5,
            is_answered: true,
            is_stopping: true,
            has_run: true,
            has_table_entry: true,
            exceeds_quota: true,
            calls: 149,
            has_uncertain_call: true,
        },
    }
}

/// Encodes a transaction that puts these records.
fn transaction<T: Serialize>(records: &[(Key, T)]) -> Vec<u8> {
    let mut transaction = Transaction::default();
    for (key, record) in records {
        transaction.put(*key, record);
    }
    transaction.take()
}

/// Decodes an image, which must consist of complete transactions.
fn image(bytes: &[u8]) -> Image {
    let mut image = Image::default();
    assert_eq!(image.apply(bytes), Ok(bytes.len()));
    image
}

/// Decodes all records of an image, which must be of the same type.
fn records<T: DeserializeOwned>(bytes: &[u8]) -> Vec<(Key, T)> {
    let image = image(bytes);
    let record = |key| image.get(key).expect("a record that can be decoded");
    image.keys().map(|key| (key, record(key))).collect()
}

fn assert_records<T: Serialize + DeserializeOwned + std::fmt::Debug + PartialEq>(
    name: &str,
    expected: Vec<(Key, T)>,
) {
    golden_file::assert_golden(name, &expected, |all| transaction(all), records);
}

#[test]
fn record_of_the_instance() {
    assert_records("instance", vec![(Key::Instance, instance())]);
}

#[test]
fn record_of_the_engine_connection() {
    assert_records("link", vec![(Key::EngineConnection, engine_connection())]);
}

#[test]
fn record_of_a_client_connection() {
    assert_records(
        "edge",
        vec![(
            Key::ClientConnection(0x0102_0304_0506_0708),
            client_connection(),
        )],
    );
}

#[test]
fn record_of_a_response_queue() {
    assert_records(
        "door",
        vec![(Key::ResponseQueue(0x1112_1314_1516_1718), response_queue())],
    );
}

#[test]
fn record_of_a_downstream_connection() {
    assert_records(
        "line",
        vec![(
            Key::DownstreamConnection(0x2122_2324_2526_2728),
            downstream_connection(),
        )],
    );
}

#[test]
fn record_of_an_invocation() {
    let key = Key::Invocation(*b"9b1f03aa5c7e2d41");
    assert_records("invocation", vec![(key, invocation())]);
}

#[test]
fn record_of_recent_runs() {
    let record = RecentRuns {
        ids: bytes("9b1f03aa5c7e2d419b1f03aa5c7e2d42"),
    };
    let key = Key::RecentRuns(0x3132_3334_3536_3738);
    assert_records("recent_runs", vec![(key, record)]);
}

#[test]
fn record_of_a_detachment() {
    assert_records("detached", vec![(Key::Detached, Detached::default())]);
}

#[test]
fn record_of_an_invocation_with_a_deadline() {
    let key = Key::Invocation(*b"9b1f03aa5c7e2d41");
    let invocation = Invocation {
        due_at: Some(181.5),
        ..invocation()
    };
    assert_records("invocation_with_deadline", vec![(key, invocation)]);
}

/// A call that the router makes: the invocation holds its state, the connection its attempt.
#[test]
fn records_of_a_routed_call() {
    let attempt = AttemptSnapshot {
        attempt_id: 171,
        server: "127.0.0.1:5433".into(),
        started_at: 172.5,
        is_hedged: true,
    };
    let call = CallSnapshot {
        dependency: "thumbs".into(),
        fallback_dependency: Some("spare".into()),
        deadline_at: 173.5,
        hedge_at: Some(174.5),
        tried_servers: vec!["127.0.0.1:5433".into(), "127.0.0.1:5434".into()],
        attempts: vec![attempt],
        may_have_run: true,
    };
    let invocation = Invocation {
        routed_call: Some(call),
        ..invocation()
    };
    let key = Key::Invocation(*b"9b1f03aa5c7e2d41");
    assert_records("invocation_with_routed_call", vec![(key, invocation)]);
    let connection = DownstreamConnectionRecord {
        attempt_id: Some(171),
        ..downstream_connection()
    };
    let key = Key::DownstreamConnection(0x2122_2324_2526_2728);
    assert_records("connection_with_routed_call", vec![(key, connection)]);
}

/// Covers every command to the engine and every stage.
#[test]
fn records_of_invocations_by_command_and_stage() {
    let cases = [
        (b"9b1f03aa5c7e2d51", Some((Command::Run, true)), Stage::Read),
        (
            b"9b1f03aa5c7e2d52",
            Some((Command::Run, false)),
            Stage::Queued,
        ),
        (
            b"9b1f03aa5c7e2d53",
            Some((Command::Feed(bytes("reply")), false)),
            Stage::Running,
        ),
        (
            b"9b1f03aa5c7e2d54",
            Some((Command::Skip(151), true)),
            Stage::AwaitingCall,
        ),
        (
            b"9b1f03aa5c7e2d55",
            Some((Command::Skip(152), false)),
            Stage::Calling,
        ),
        (b"9b1f03aa5c7e2d56", None, Stage::Joined),
    ];
    let record = |command, stage| Invocation {
        command,
        state: InvocationState {
            stage,
            ..InvocationState::default()
        },
        ..Invocation::default()
    };
    let records = cases.map(|(id, command, stage)| (Key::Invocation(*id), record(command, stage)));
    assert_records("invocations_by_command", records.into());
}

/// The encoding of default values must not change either.
#[test]
fn records_with_default_values() {
    let mut written = Transaction::default();
    written.put(Key::Instance, &Instance::default());
    written.put(Key::EngineConnection, &EngineConnectionRecord::default());
    written.put(Key::ClientConnection(1), &ClientConnectionRecord::default());
    written.put(Key::ResponseQueue(2), &ResponseQueueRecord::default());
    written.put(
        Key::DownstreamConnection(3),
        &DownstreamConnectionRecord::default(),
    );
    written.put(Key::Invocation([4; 16]), &Invocation::default());
    let written = written.take();
    golden_file::assert_encoded("defaults", &written);
    let image = image(&golden_file::read("defaults", &written));
    assert_eq!(image.get(Key::Instance), Some(Instance::default()));
    assert_eq!(
        image.get(Key::EngineConnection),
        Some(EngineConnectionRecord::default())
    );
    assert_eq!(
        image.get(Key::ClientConnection(1)),
        Some(ClientConnectionRecord::default())
    );
    assert_eq!(
        image.get(Key::ResponseQueue(2)),
        Some(ResponseQueueRecord::default())
    );
    assert_eq!(
        image.get(Key::DownstreamConnection(3)),
        Some(DownstreamConnectionRecord::default())
    );
    assert_eq!(
        image.get(Key::Invocation([4; 16])),
        Some(Invocation::default())
    );
}

/// An image followed by a journal that removes a record of each kind.
#[test]
fn transactions_with_removals() {
    let keys = [
        Key::Instance,
        Key::EngineConnection,
        Key::ClientConnection(161),
        Key::ResponseQueue(162),
        Key::DownstreamConnection(163),
        Key::Invocation(*b"9b1f03aa5c7e2d61"),
    ];
    let remaining = Key::DownstreamConnection(164);
    let mut put = Transaction::default();
    keys.iter()
        .for_each(|key| put.put(*key, &flow("gone", 165)));
    put.put(remaining, &flow("kept", 167));
    let mut removed = Transaction::default();
    keys.iter().for_each(|key| removed.remove(*key));
    let written = [put.take(), removed.take()].concat();

    golden_file::assert_encoded("transactions", &written);
    let mut image = image(&golden_file::read("transactions", &written));
    assert_eq!(image.keys().collect::<Vec<_>>(), [remaining]);
    assert_eq!(image.get(remaining), Some(flow("kept", 167)));
    assert_eq!(image.take_removed(), keys);
}

fn encode_datagrams(messages: &[Message]) -> Vec<u8> {
    let encode = |message| rmp_serde::to_vec_named(message).expect("a plain structure");
    messages.iter().flat_map(encode).collect()
}

fn decode_datagrams(mut rest: &[u8]) -> Vec<Message> {
    let mut messages = Vec::new();
    while !rest.is_empty() {
        messages.push(rmp_serde::from_read(&mut rest).expect("a datagram that can be decoded"));
    }
    messages
}

fn roles() -> Vec<Role> {
    vec![
        Role::Image,
        Role::Journal,
        Role::Listener,
        Role::Control,
        Role::ClientConnection(171),
        Role::DownstreamConnection(172),
        Role::EngineConnection(173),
    ]
}

#[test]
fn datagrams_of_the_successor() {
    let messages = vec![
        Message::Hello {
            format_versions: vec![1, 174],
            program: "merlinshelf 0.1.0".into(),
        },
        Message::Declined {
            reason: "no room".into(),
        },
        Message::Ready,
        Message::Restored,
        Message::ConnectionOpened {
            role: Role::ClientConnection(175),
        },
        Message::Heartbeat,
        Message::ProbationCompleted,
        Message::Draining { deadline: 176.5 },
        Message::Detached,
    ];
    golden_file::assert_golden(
        "datagrams_of_successor",
        &messages,
        |messages| encode_datagrams(messages),
        decode_datagrams,
    );
}

#[test]
fn datagrams_of_the_predecessor() {
    let messages = vec![
        Message::FormatSelected { version: 181 },
        Message::Descriptors { roles: roles() },
        Message::TransferCompleted { count: 182 },
        Message::Activate,
        Message::Released,
        Message::Drain { deadline: 183.5 },
        Message::Reload,
    ];
    golden_file::assert_golden(
        "datagrams_of_predecessor",
        &messages,
        |messages| encode_datagrams(messages),
        decode_datagrams,
    );
}

/// The golden files contain this format version. Another supported version needs its own files.
#[test]
fn format_of_the_golden_files_is_supported() {
    assert_eq!(SUPPORTED_FORMATS, [1]);
}

/// Golden files: `tests/golden/NAME.hex`, sixteen bytes a line, each line with its offset, the
/// bytes in hexadecimal and the same bytes as text.
mod golden_file {
    use std::fmt::Write as _;
    use std::path::{Path, PathBuf};

    const BYTES_PER_LINE: usize = 16;

    fn golden_path(name: &str) -> PathBuf {
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name)
            .with_extension("hex")
    }

    fn format_bytes(bytes: &[u8]) -> String {
        let mut text = String::new();
        for (line, part) in bytes.chunks(BYTES_PER_LINE).enumerate() {
            let hexadecimal: Vec<String> = part.iter().map(|byte| format!("{byte:02x}")).collect();
            let printable = part.iter().map(|byte| match byte {
                b' '..=b'~' => char::from(*byte),
                _ => '.',
            });
            let _ = writeln!(
                text,
                "{:06x}  {:<47}  |{}|",
                line * BYTES_PER_LINE,
                hexadecimal.join(" "),
                printable.collect::<String>()
            );
        }
        text
    }

    fn parse_bytes(text: &str) -> Vec<u8> {
        let byte = |digits: &str| u8::from_str_radix(digits, 16).expect("two hexadecimal digits");
        let columns = text
            .lines()
            .map(|line| line.get(8..55).expect("a full line"));
        columns
            .flat_map(|column| column.split_whitespace().map(byte))
            .collect()
    }

    /// Reads the bytes of a golden file, which must exist. With `GOLDEN_WRITE=1` in the environment a
    /// missing file is written from `encoded`; an existing one is never changed, since released
    /// versions exchange these bytes.
    pub fn read(name: &str, encoded: &[u8]) -> Vec<u8> {
        let path = golden_path(name);
        if std::env::var_os("GOLDEN_WRITE").is_some_and(|value| value == "1") && !path.exists() {
            std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
            std::fs::write(&path, format_bytes(encoded)).expect("a file that can be written");
        }
        let text = std::fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("golden file {}: {error}", path.display()));
        let bytes = parse_bytes(&text);
        assert_eq!(format_bytes(&bytes), text, "{name}.hex is not well formed");
        bytes
    }

    /// Asserts that a value is encoded to the golden bytes.
    pub fn assert_encoded(name: &str, encoded: &[u8]) {
        let golden = read(name, encoded);
        assert_eq!(
            format_bytes(encoded),
            format_bytes(&golden),
            "the value is no longer encoded to the bytes of {name}.hex"
        );
    }

    /// Asserts that the golden bytes are decoded to the value and that the value is encoded to the
    /// golden bytes.
    pub fn assert_golden<T: std::fmt::Debug + PartialEq>(
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> T,
    ) {
        let encoded = encode(value);
        let decoded = decode(&read(name, &encoded));
        assert_eq!(
            &decoded, value,
            "{name}.hex is no longer decoded to the value it was written from"
        );
        assert_encoded(name, &encoded);
    }
}
