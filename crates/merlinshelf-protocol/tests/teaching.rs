//! Messages between instances: whole, in pieces of any size, garbled, endless.

use merlinshelf_gossip::gossip_node::{MAX_OBSERVATIONS, MAX_UPDATES};
use merlinshelf_gossip::{
    GossipedObservation, MembershipUpdate, Message, Metric, Source, SourceStatus, State,
};
use merlinshelf_protocol::gossip::{Kind, MESSAGE_MOST, Reading, put_message};
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

fn told(subject: Metric, value: f64) -> GossipedObservation {
    GossipedObservation {
        metric: subject,
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

fn message() -> Message {
    let (server, operation) = ("cx 42".to_owned(), "-".to_owned());
    let figures = vec![
        told(
            Metric::RunLowest {
                engine: server.clone(),
                operation: operation.clone(),
            },
            0.0123,
        ),
        told(
            Metric::RunRecent {
                engine: server.clone(),
                operation: operation.clone(),
            },
            1e-5,
        ),
        told(
            Metric::Limit {
                engine: server.clone(),
            },
            12.0,
        ),
        told(
            Metric::CallLowest {
                dependency: server.clone(),
            },
            1.0 / 3.0,
        ),
        told(
            Metric::CallRecent {
                dependency: server.clone(),
            },
            2.0,
        ),
        told(
            Metric::CallLimit {
                dependency: server.clone(),
            },
            3.0,
        ),
        told(
            Metric::CallFailures {
                dependency: server.clone(),
            },
            0.0,
        ),
        told(
            Metric::RunDownstream {
                dependency: server,
                operation,
            },
            600.0,
        ),
        told(Metric::RetryShare, 0.15),
        told(Metric::ReturningCallerShare, 1.0),
    ];
    let nowhere = MembershipUpdate {
        address: String::new(),
        state: State::Gone,
        ..peer("n3")
    };
    Message {
        from: peer("n0"),
        status: SourceStatus::Recovering,
        wants_observations: true,
        updates: vec![peer("n2"), nowhere],
        observations: figures,
    }
}

fn bytes(kind: Kind, message: &Message) -> Vec<u8> {
    let mut out: Vec<u8> = Vec::new();
    put_message(&mut out, kind, message);
    out
}

#[test]
fn a_message_comes_back_as_it_was_in_pieces_of_any_size() {
    insta::assert_snapshot!(
        String::from_utf8_lossy(&bytes(Kind::Ask, &message())).replace('\r', "")
    );
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for (kind, message) in [
        (Kind::Ask, message()),
        (Kind::Tell, message()),
        (
            Kind::Ask,
            Message {
                updates: Vec::new(),
                observations: Vec::new(),
                wants_observations: false,
                ..message()
            },
        ),
    ] {
        let whole = bytes(kind, &message);
        for most in [1, 7, 100, whole.len()] {
            let (mut reading, mut come, mut rest) =
                (Reading::default(), Vec::new(), whole.as_slice());
            let read = loop {
                let count = rng.random_range(1..=most).min(rest.len());
                assert!(count > 0, "it never ends");
                come.extend(&rest[..count]);
                rest = &rest[count..];
                let (used, read) = reading.read(&come).expect("it can be read");
                come.drain(..used);
                if let Some(read) = read {
                    break read;
                }
            };
            assert_eq!(
                (read, rest.len(), come.len()),
                ((kind, message.clone()), 0, 0)
            );
        }
    }
}

#[test]
fn the_longest_message_is_within_the_bound_and_what_says_it_has_more_is_a_fault() {
    let long = "x".repeat(64);
    let subject = Metric::RunRecent {
        engine: long.clone(),
        operation: long.clone(),
    };
    let message = Message {
        updates: vec![peer(&long); MAX_UPDATES],
        observations: vec![told(subject, 1.0 / 3.0); MAX_OBSERVATIONS],
        ..message()
    };
    let whole = bytes(Kind::Tell, &message);
    assert!(whole.len() < MESSAGE_MOST);
    assert_eq!(
        Reading::default().read(&whole).expect("it can be read").1,
        Some((Kind::Tell, message.clone()))
    );
    for more in [
        Message {
            updates: vec![peer("a"); MAX_UPDATES + 1],
            ..message.clone()
        },
        Message {
            observations: vec![told(Metric::ReturningCallerShare, 0.5); MAX_OBSERVATIONS + 1],
            ..message
        },
    ] {
        assert!(Reading::default().read(&bytes(Kind::Tell, &more)).is_err());
    }
}

#[test]
fn what_is_no_message_is_a_fault_and_not_waited_for() {
    let good = bytes(Kind::Ask, &message());
    let texts: Vec<Vec<u8>> = vec![
        b"GET / HTTP/1.1\r\n".to_vec(),
        b"ask 2 n0 1 0 alive 127.0.0.1:1 steady 1 0 0\r\n".to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 0\r\n".to_vec(),
        b"ask 1 n0 1 0 dancing 127.0.0.1:1 steady 1 0 0\r\n".to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 99999999999999999999999 0\r\n".to_vec(),
        b"ask 1 n0 -1 0 alive 127.0.0.1:1 steady 1 0 0\r\n".to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 0 1\r\nfigure limit - - n 1 1 1 1 1 1 steady\r\n".to_vec(),
        b"ask 1 n0 1 0 alive 127.0.0.1:1 steady 1 0 1\r\nfigure call-limit d - n 1 x 1 1 1 1 steady\r\n"
            .to_vec(),
        b"\0\x01\x02\x03".to_vec(),
        vec![b'a'; 2000],
    ];
    for text in texts {
        assert!(
            Reading::default().read(&text).is_err(),
            "{}",
            text.escape_ascii()
        );
    }
    // A byte changed anywhere gives a fault, another message or the wait for more, and never anything else.
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    for _ in 0..5000 {
        let mut garbled = good.clone();
        let place = rng.random_range(0..garbled.len());
        garbled[place] = rng.random();
        if let Ok((used, _)) = Reading::default().read(&garbled) {
            assert!(used <= garbled.len());
        }
    }
}
