//! Reading and writing gossip messages: complete, in parts of any size, malformed and too long.

use merlinshelf_gossip::gossip_node::{MAX_OBSERVATIONS, MAX_UPDATES};
use merlinshelf_gossip::{
    GossipedObservation, MembershipUpdate, Message, Metric, Source, SourceStatus, State,
};
use merlinshelf_protocol::gossip::{MAX_MESSAGE_BYTES, MessageKind, MessageReader, write_message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn peer(name: &str) -> MembershipUpdate {
    MembershipUpdate {
        name: name.into(),
        address: "127.0.0.1:7400".into(),
        incarnation: 1_796_150_622_705,
        refutations: 2,
        state: State::Suspect,
    }
}

fn observation(metric: Metric, value: f64) -> GossipedObservation {
    GossipedObservation {
        metric,
        source: Source {
            name: "n 1/ü%".into(),
            incarnation: 9,
        },
        value,
        sample_count: 24,
        age_seconds: 0.25,
        sequence: 7,
        hops: 2,
        status: SourceStatus::RecentlySynced,
    }
}

/// An observation of every metric.
fn observations() -> Vec<GossipedObservation> {
    let server = || "cx 42".to_owned();
    let operation = || "-".to_owned();
    let run_lowest = Metric::RunLowest {
        engine: server(),
        operation: operation(),
    };
    let run_recent = Metric::RunRecent {
        engine: server(),
        operation: operation(),
    };
    let limit = Metric::Limit { engine: server() };
    let call_lowest = Metric::CallLowest {
        dependency: server(),
    };
    let call_recent = Metric::CallRecent {
        dependency: server(),
    };
    let call_limit = Metric::CallLimit {
        dependency: server(),
    };
    let call_failures = Metric::CallFailures {
        dependency: server(),
    };
    let run_downstream = Metric::RunDownstream {
        dependency: server(),
        operation: operation(),
    };
    vec![
        observation(run_lowest, 0.0123),
        observation(run_recent, 1e-5),
        observation(limit, 12.0),
        observation(call_lowest, 1.0 / 3.0),
        observation(call_recent, 2.0),
        observation(call_limit, 3.0),
        observation(call_failures, 0.0),
        observation(run_downstream, 600.0),
        observation(Metric::RetryShare, 0.15),
        observation(Metric::ReturningCallerShare, 1.0),
    ]
}

fn message() -> Message {
    let unreachable = MembershipUpdate {
        address: String::new(),
        state: State::Dead,
        ..peer("n3")
    };
    Message {
        from: peer("n0"),
        status: SourceStatus::Recovering,
        wants_observations: true,
        updates: vec![peer("n2"), unreachable],
        observations: observations(),
    }
}

fn bytes(kind: MessageKind, message: &Message) -> Vec<u8> {
    let mut out: Vec<u8> = Vec::new();
    write_message(&mut out, kind, message);
    out
}

#[test]
fn messages_are_read_in_parts_of_any_size() {
    insta::assert_snapshot!(
        String::from_utf8_lossy(&bytes(MessageKind::Poll, &message())).replace('\r', "")
    );
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for (kind, message) in [
        (MessageKind::Poll, message()),
        (MessageKind::Answer, message()),
        (
            MessageKind::Poll,
            Message {
                updates: Vec::new(),
                observations: Vec::new(),
                wants_observations: false,
                ..message()
            },
        ),
    ] {
        let whole = bytes(kind, &message);
        for max_part in [1, 7, 100, whole.len()] {
            let mut reader = MessageReader::default();
            let mut received = Vec::new();
            let mut rest = whole.as_slice();
            let read = loop {
                let count = rng.random_range(1..=max_part).min(rest.len());
                assert!(
                    count > 0,
                    "the message is not complete at the end of the input"
                );
                received.extend(&rest[..count]);
                rest = &rest[count..];
                let (used, read) = reader.read(&received).expect("a valid message");
                received.drain(..used);
                if let Some(read) = read {
                    break read;
                }
            };
            assert_eq!(
                (read, rest.len(), received.len()),
                ((kind, message.clone()), 0, 0)
            );
        }
    }
}

#[test]
fn longest_message_is_within_the_limit_and_excess_lines_are_a_fault() {
    let long = "x".repeat(64);
    let metric = Metric::RunRecent {
        engine: long.clone(),
        operation: long.clone(),
    };
    let message = Message {
        updates: vec![peer(&long); MAX_UPDATES],
        observations: vec![observation(metric, 1.0 / 3.0); MAX_OBSERVATIONS],
        ..message()
    };
    let whole = bytes(MessageKind::Answer, &message);
    assert!(whole.len() < MAX_MESSAGE_BYTES);
    assert_eq!(
        MessageReader::default()
            .read(&whole)
            .expect("a valid message")
            .1,
        Some((MessageKind::Answer, message.clone()))
    );
    for more in [
        Message {
            updates: vec![peer("a"); MAX_UPDATES + 1],
            ..message.clone()
        },
        Message {
            observations: vec![
                observation(Metric::ReturningCallerShare, 0.5);
                MAX_OBSERVATIONS + 1
            ],
            ..message
        },
    ] {
        assert!(
            MessageReader::default()
                .read(&bytes(MessageKind::Answer, &more))
                .is_err()
        );
    }
}

#[test]
fn malformed_messages_are_faults_at_once() {
    let good = bytes(MessageKind::Poll, &message());
    let texts: Vec<Vec<u8>> = vec![
        b"GET / HTTP/1.1\r\n".to_vec(),
        b"ask 2 n0 1 0 alive 127.0.0.1:1 steady 1 0 0\r\n".to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 0\r\n".to_vec(),
        b"ask 1 n0 1 0 dancing 127.0.0.1:1 steady 1 0 0\r\n".to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 99999999999999999999999 0\r\n".to_vec(),
        b"ask 1 n0 -1 0 alive 127.0.0.1:1 steady 1 0 0\r\n".to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 0 1\r\n\
          figure limit - - n 1 1 1 1 1 1 steady\r\n"
            .to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 0 1\r\n\
          figure call-limit d - n 1 x 1 1 1 1 steady\r\n"
            .to_vec(),
        b"\0\x01\x02\x03".to_vec(),
        vec![b'a'; 2000],
    ];
    for text in texts {
        assert!(
            MessageReader::default().read(&text).is_err(),
            "{}",
            text.escape_ascii()
        );
    }
    // A message with one changed byte is a fault, a different message or incomplete. It never makes
    // the reader panic or consume more bytes than there are.
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    for _ in 0..5000 {
        let mut corrupted = good.clone();
        let place = rng.random_range(0..corrupted.len());
        corrupted[place] = rng.random();
        if let Ok((used, _)) = MessageReader::default().read(&corrupted) {
            assert!(used <= corrupted.len());
        }
    }
}
