//! Compares the text protocols between merlinshelf processes with golden files: gossip messages
//! with every metric, status and state, and the framing of the control socket with every request
//! and message. It also covers samples that `wire.rs` lacks: a report to the membership service
//! that an instance is up, a run that failed, and the numbers that store the state of a parser in a
//! handover image.
//!
//! Every field of a sample has a distinct value other than its default, so that a lost or swapped
//! field is detected. The files contain bytes as deployed versions write them: if a test fails, fix
//! the code, not the file.

use merlinshelf_gossip::{
    GossipedObservation, MembershipUpdate, Message, Metric, Source, SourceStatus, State,
};
use merlinshelf_protocol::control::{self, ControlRequest, Frame};
use merlinshelf_protocol::engine::{self, End, EngineNotification};
use merlinshelf_protocol::gossip::{MessageKind, MessageReader, write_message};
use merlinshelf_protocol::{CallId, Parsed, fastcgi, registration, uwsgi};

const INCARNATION: u64 = 1_796_150_622_705;
const STATUSES: [SourceStatus; 4] = [
    SourceStatus::Steady,
    SourceStatus::Recovering,
    SourceStatus::RecentlySynced,
    SourceStatus::Leaving,
];
const STATES: [State; 4] = [State::Alive, State::Suspect, State::Left, State::Dead];

/// Every metric, each with distinct names, some of which contain bytes that are escaped.
fn metrics() -> Vec<Metric> {
    vec![
        Metric::RunLowest {
            engine: "engine 1".into(),
            operation: "100%".into(),
        },
        Metric::RunRecent {
            engine: "-".into(),
            operation: "übertragung".into(),
        },
        Metric::Limit {
            engine: "engine-3".into(),
        },
        Metric::CallLowest {
            dependency: "dependency-4".into(),
        },
        Metric::CallRecent {
            dependency: "dependency-5".into(),
        },
        Metric::CallLimit {
            dependency: "dependency-6".into(),
        },
        Metric::CallFailures {
            dependency: "dependency-7".into(),
        },
        Metric::RunDownstream {
            dependency: "dependency-8".into(),
            operation: "operation-8".into(),
        },
        Metric::RetryShare,
        Metric::ReturningCallerShare,
    ]
}

fn observations() -> Vec<GossipedObservation> {
    let observation = |(place, metric): (usize, Metric)| GossipedObservation {
        metric,
        source: Source {
            name: format!("origin {place}"),
            incarnation: INCARNATION + 1 + place as u64,
        },
        value: 0.0625 + place as f64,
        sample_count: 20 + place as u32,
        age_seconds: 40.5 + place as f64,
        sequence: 300_000 + place as u64,
        hops: 60 + place as u8,
        status: STATUSES[place % STATUSES.len()],
    };
    metrics().into_iter().enumerate().map(observation).collect()
}

/// One peer in each state; the last one has no address.
fn updates() -> Vec<MembershipUpdate> {
    let peer = |(state, place): (State, u32)| MembershipUpdate {
        name: format!("peer {place}"),
        address: match state {
            State::Dead => String::new(),
            _ => format!("127.0.0.1:74{place:02}"),
        },
        incarnation: INCARNATION + 100 + u64::from(place),
        refutations: 80 + place,
        state,
    };
    STATES.into_iter().zip(1..).map(peer).collect()
}

/// A message and its kind.
type Gossip = (MessageKind, Message);

fn poll_of_peer() -> Gossip {
    let message = Message {
        from: MembershipUpdate {
            name: "n0".into(),
            address: "127.0.0.1:7400".into(),
            incarnation: INCARNATION,
            refutations: 2,
            state: State::Alive,
        },
        status: SourceStatus::Recovering,
        wants_observations: true,
        updates: updates(),
        observations: observations(),
    };
    (MessageKind::Poll, message)
}

/// Answers with different numbers of updates and observations, and with the three statuses that the
/// poll does not contain.
fn answers_of_peer() -> Vec<Gossip> {
    let statuses = [
        SourceStatus::Steady,
        SourceStatus::RecentlySynced,
        SourceStatus::Leaving,
    ];
    let answer = |(status, place): (SourceStatus, usize)| {
        let message = Message {
            from: MembershipUpdate {
                name: format!("n{place}"),
                address: format!("127.0.0.1:75{place:02}"),
                incarnation: INCARNATION + 200 + place as u64,
                refutations: 90 + place as u32,
                state: STATES[place],
            },
            status,
            wants_observations: false,
            updates: updates().into_iter().take(place).collect(),
            observations: observations().into_iter().take(2 * place).collect(),
        };
        (MessageKind::Answer, message)
    };
    statuses.into_iter().zip(1..).map(answer).collect()
}

fn encode_gossip(all: &[Gossip]) -> Vec<u8> {
    let mut bytes: Vec<u8> = Vec::new();
    for (kind, message) in all {
        write_message(&mut bytes, *kind, message);
    }
    bytes
}

fn decode_gossip(mut rest: &[u8]) -> Vec<Gossip> {
    let mut all = Vec::new();
    while !rest.is_empty() {
        let (used, message) = MessageReader::default().read(rest).expect("a message");
        all.push(message.expect("a complete message"));
        rest = &rest[used..];
    }
    all
}

#[test]
fn poll_of_a_peer() {
    golden_file::assert_round_trip(
        "gossip_question",
        &vec![poll_of_peer()],
        |all| encode_gossip(all),
        decode_gossip,
    );
}

#[test]
fn answers_of_peers() {
    golden_file::assert_round_trip(
        "gossip_answers",
        &answers_of_peer(),
        |all| encode_gossip(all),
        decode_gossip,
    );
}

/// The version, the request or message, and the body of a control socket frame.
type Framed<T> = (u32, T, Vec<u8>);

const PROTOCOL_VERSION: u32 = 1;

fn decode_framed<T>(
    mut rest: &[u8],
    read: impl Fn(&[u8]) -> Parsed<Frame<'_, T>>,
) -> Vec<Framed<T>> {
    let mut all = Vec::new();
    while !rest.is_empty() {
        let (frame, used) = read(rest).expect("a frame").expect("a complete frame");
        all.push((frame.version, frame.message, frame.body.to_vec()));
        rest = &rest[used..];
    }
    all
}

/// Combines the messages with four bodies in turn: one line, empty, several lines and binary.
fn framed<T: Copy>(messages: &[T]) -> Vec<Framed<T>> {
    let bodies: [&[u8]; 4] = [b"{\"of\":1}", b"", b"{\r\n\"of\":3}\r\n", b"\x81\xa2of\x04"];
    let bodies = bodies.into_iter().cycle().map(<[u8]>::to_vec);
    let all = messages.iter().zip(bodies);
    all.map(|(message, body)| (PROTOCOL_VERSION, *message, body))
        .collect()
}

#[test]
fn requests_at_the_control_socket() {
    let requests = framed(&[
        ControlRequest::Status,
        ControlRequest::Drain,
        ControlRequest::Upgrade,
        ControlRequest::Knowledge,
        ControlRequest::Forget,
        ControlRequest::Fleet,
        ControlRequest::Policy,
        ControlRequest::Consensus,
    ]);
    let encode = |requests: &Vec<Framed<ControlRequest>>| {
        let mut bytes: Vec<u8> = Vec::new();
        for (_, request, body) in requests {
            control::write_request(&mut bytes, *request, body);
        }
        bytes
    };
    let decode = |bytes: &[u8]| decode_framed(bytes, control::read_request);
    golden_file::assert_round_trip("control_questions", &requests, encode, decode);
}

/// Messages between agents are read by a separate function.
#[test]
fn message_between_agents() {
    let message = framed(&[ControlRequest::Consensus]);
    let encode = |message: &Vec<Framed<ControlRequest>>| {
        let mut bytes: Vec<u8> = Vec::new();
        control::write_request(&mut bytes, message[0].1, &message[0].2);
        bytes
    };
    let decode = |bytes: &[u8]| decode_framed(bytes, control::read_consensus_request);
    golden_file::assert_round_trip("control_between_agents", &message, encode, decode);
}

#[test]
fn answers_at_the_control_socket() {
    use control::ControlMessage;
    let messages = framed(&[
        ControlMessage::More,
        ControlMessage::Done,
        ControlMessage::Failed,
        ControlMessage::Refused,
    ]);
    let encode = |messages: &Vec<Framed<ControlMessage>>| {
        let mut bytes: Vec<u8> = Vec::new();
        for (_, message, body) in messages {
            control::write_message(&mut bytes, *message, body);
        }
        bytes
    };
    let decode = |bytes: &[u8]| decode_framed(bytes, control::read_message);
    golden_file::assert_round_trip("control_answers", &messages, encode, decode);
}

#[test]
fn report_that_an_instance_is_up() {
    let mut bytes: Vec<u8> = Vec::new();
    registration::write_report(&mut bytes, "127.0.0.1:8761", "n3", registration::Phase::Up);
    golden_file::assert_encoded("registration_up", &bytes);
}

#[test]
fn notification_of_a_run_that_failed() {
    let id = CallId::parse(b"9b1f03aa5c7e2d41").expect("an id");
    let bytes = b"DONE 6 9b1f03aa5c7e2d41 ERROR 12.5 4\r\nfail\r\n";
    let notification = EngineNotification::Done {
        number: 6,
        id,
        end: End::Errored,
        took_ms: 12.5,
        result: b"fail",
    };
    assert_eq!(
        engine::read_notification(bytes),
        Ok(Some((notification, bytes.len())))
    );
}

/// A handover image contains these four numbers (`records::ClientConnectionRecord`).
#[test]
fn fastcgi_parser_state_is_saved_and_restored() {
    let mut records = fastcgi::Records::default();
    let received = [&[1, 5, 1, 2, 0, 9, 7, 0][..], b"four"].concat();
    let (head, _) = records.next(&received).expect("a record's head");
    let (body, _) = records
        .next(&received[head..])
        .expect("a part of its content");
    assert_eq!((head, body), (8, 4));
    let state = fastcgi::RecordsState {
        kind: 5,
        id: 0x0102,
        content_bytes: 5,
        padding_bytes: 7,
    };
    assert_eq!(records.state(), state);
    assert_eq!(fastcgi::Records::resume(state).state(), state);
}

/// For a uwsgi connection a handover image contains these two numbers in the same record.
#[test]
fn uwsgi_parser_state_is_saved_and_restored() {
    let mut packet: Vec<u8> = Vec::new();
    uwsgi::write_request(&mut packet, &[("CONTENT_LENGTH", "9")]);
    let mut request = uwsgi::Request::default();
    let mut states = vec![request.state()];
    let mut rest = [&packet[..], b"four", b"-five"].concat();
    for available in [packet.len(), packet.len(), 4, 5] {
        let (used, _) = request
            .next(&rest[..available.min(rest.len())])
            .expect("a request");
        rest.drain(..used);
        states.push(request.state());
    }
    let variables = packet.len() - 4;
    assert_eq!(states, [(0, 0), (1, variables), (3, 9), (3, 5), (4, 0)]);

    // Variables that exceed the limit are skipped.
    let mut request = uwsgi::Request::default();
    let (used, _) = request.next(&[0, 0xff, 0xff, 0]).expect("a head");
    assert_eq!((used, request.state()), (4, (2, 0xffff)));
    for state in [(0, 0), (1, 11), (2, 12), (3, 13), (4, 0)] {
        assert_eq!(uwsgi::Request::resume(state).state(), state);
    }
}

/// Golden files: `tests/golden/NAME.hex`, with sixteen bytes per line. Each line contains its
/// offset, the bytes in hexadecimal and the same bytes as text.
mod golden_file {
    use std::fmt::Write as _;
    use std::path::{Path, PathBuf};

    const BYTES_PER_LINE: usize = 16;

    fn path_of(name: &str) -> PathBuf {
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

    /// Reads the bytes of a golden file and panics if it is missing. With `GOLDEN_WRITE=1` in the
    /// environment a missing file is written from `encoded`. An existing file is never overwritten,
    /// since deployed versions keep using its format.
    pub fn read(name: &str, encoded: &[u8]) -> Vec<u8> {
        let path = path_of(name);
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

    /// Asserts that the golden bytes decode to exactly this value and that the value encodes to the
    /// golden bytes.
    pub fn assert_round_trip<T: std::fmt::Debug + PartialEq>(
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
