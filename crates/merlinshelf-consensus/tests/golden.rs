//! Golden files of the data that this package stores and sends: the log file, the payload of a
//! snapshot, the context of a membership change and the messages between agents. Each golden file
//! must decode to the expected values, and these must encode to the same bytes, so that two
//! versions of the program can read each other's files and messages.
//!
//! The files are in `tests/golden`. `GOLDEN_WRITE=1 cargo test -p merlinshelf-consensus --test
//! golden` writes them from the current code. Use it for a new format only: a changed file means
//! that an upgrade breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write as _};
use std::path::Path;

use merlinshelf_consensus::{
    Action, BootstrapState, FILE_HEADER, Member, Membership, Message, PeerProgress, Record,
    Replica, SlotIncarnation, recover,
};
use protobuf::Message as _;
use raft::prelude::{ConfChange, ConfChangeType, ConfState, Entry, EntryType, Snapshot};
use serde_bytes::ByteBuf;

/// One value of a format: its current encoding, and the value that a decoder must read from the
/// golden bytes.
struct Sample<T> {
    label: &'static str,
    value: T,
    encoded: Vec<u8>,
}

/// Formats bytes in lines of 16, in hexadecimal and as text.
fn hex_dump(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(16) {
        let hex: Vec<String> = line.iter().map(|byte| format!("{byte:02x}")).collect();
        let printable = |byte: &u8| {
            if byte.is_ascii_graphic() {
                char::from(*byte)
            } else {
                '.'
            }
        };
        let ascii: String = line.iter().map(printable).collect();
        let _ = writeln!(text, "{:<47}  |{ascii}|", hex.join(" "));
    }
    text
}

/// Parses the bytes of a hex dump.
fn parse_hex_dump(text: &str) -> Vec<u8> {
    let columns = text.lines().filter_map(|line| line.split("  |").next());
    let words = columns.flat_map(str::split_whitespace);
    words
        .map(|word| u8::from_str_radix(word, 16).expect("a hexadecimal byte"))
        .collect()
}

/// Checks that all samples of a format encode to and decode from its golden file.
fn check_form<T: Debug + PartialEq>(
    file: &str,
    samples: &[Sample<T>],
    decode: impl Fn(&[u8]) -> T,
) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        let sections = samples
            .iter()
            .map(|sample| format!("# {}\n{}", sample.label, hex_dump(&sample.encoded)));
        let text = sections.collect::<Vec<_>>().join("\n");
        std::fs::write(&path, text).expect("the golden file can be written");
    }
    let text = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let sections: Vec<(&str, &str)> = text
        .split("# ")
        .skip(1)
        .map(|section| section.split_once('\n').expect("a label and a dump"))
        .collect();
    let labels: Vec<&str> = sections.iter().map(|(label, _)| *label).collect();
    let expected: Vec<&str> = samples.iter().map(|sample| sample.label).collect();
    assert_eq!(labels, expected, "samples of {file}");
    for (sample, (label, dump)) in samples.iter().zip(sections) {
        assert_eq!(
            decode(&parse_hex_dump(dump)),
            sample.value,
            "{file}: decoding {label}"
        );
        assert_eq!(
            hex_dump(&sample.encoded),
            dump.trim_end().to_owned() + "\n",
            "{file}: encoding {label}"
        );
    }
}

#[test]
fn log_file() {
    let records = vec![
        Record::VoterSlot {
            id: 11,
            incarnation: 0x1200_0000_0012,
        },
        Record::PeerSlot {
            id: 13,
            incarnation: 14,
            boot_id: 0xF5F5_F5F5_F5F5_F515,
        },
        Record::HardState {
            term: 16,
            vote: 17,
            commit: 0x1_0000_0018,
        },
        Record::Entry(ByteBuf::from(b"an entry".to_vec())),
        Record::Snapshot(ByteBuf::from(b"a snapshot".to_vec())),
    ];
    let mut encoded = FILE_HEADER.to_vec();
    encoded.extend(records.iter().flat_map(Record::encode_frame));
    let samples = [Sample {
        label: "head and one record of each variant",
        value: records,
        encoded,
    }];
    check_form("log_file.hex", &samples, |bytes| {
        let log = recover(bytes).expect("a log file");
        assert_eq!(log.used_bytes, bytes.len());
        log.records
    });
}

/// One message of each kind with its label.
fn labelled_messages() -> [(&'static str, Message); 6] {
    let progress = PeerProgress {
        incarnation: Some(31),
        term: 32,
        index: 0x3300_0000_0033,
        replaced: true,
        leader: Some(34),
    };
    let welcome = |state, responder_slot, progress, reserved_slot| Message::Welcome {
        boot_id: 0xE1E1_E1E1_E1E1_E121,
        state,
        responder_slot,
        progress,
        reserved_slot,
    };
    [
        (
            "hello with a seat",
            Message::Hello {
                boot_id: 0xD1D1_D1D1_D1D1_D111,
                slot: Some(SlotIncarnation {
                    slot: 41,
                    incarnation: 42,
                }),
            },
        ),
        (
            "hello without a seat",
            Message::Hello {
                boot_id: 43,
                slot: None,
            },
        ),
        (
            "welcome of a seated agent",
            welcome(BootstrapState::Established, Some(22), progress, Some(23)),
        ),
        (
            "welcome of an empty agent",
            welcome(BootstrapState::Empty, None, PeerProgress::default(), None),
        ),
        (
            "welcome of a fresh agent",
            welcome(
                BootstrapState::Fresh,
                Some(24),
                PeerProgress {
                    term: 35,
                    ..PeerProgress::default()
                },
                None,
            ),
        ),
        (
            "raft message",
            Message::Raft(ByteBuf::from(b"a message of raft".to_vec())),
        ),
    ]
}

#[test]
fn messages_between_agents() {
    // `merlinshelf-agent` sends them in this encoding inside its own envelope.
    let samples = labelled_messages().map(|(label, value)| {
        let encoded = rmp_serde::to_vec_named(&value).expect("a message can be encoded");
        Sample {
            label,
            value,
            encoded,
        }
    });
    check_form("messages.hex", &samples, |bytes| {
        rmp_serde::from_slice(bytes).expect("a message")
    });
}

const APPLICATION_STATE: &[u8] = b"state of the application";
const BOOT_ID_OF_B: u64 = 0xB0B0_B0B0_B0B0_B0B2;
const BOOT_ID_OF_C: u64 = 0xC0C0_C0C0_C0C0_C0C3;

/// A replica whose actions are carried out in memory.
struct TestReplica {
    replica: Replica,
    /// The current records on its disk.
    disk: Vec<Record>,
    /// All records that were ever written, including replaced ones.
    written: Vec<Record>,
    restored: Option<(u64, Vec<u8>)>,
}

impl TestReplica {
    fn start(name: &str, agents: &[&str], boot_id: u64, disk: Vec<Record>) -> TestReplica {
        let agents: BTreeSet<String> = agents.iter().map(|name| (*name).to_owned()).collect();
        let replica =
            Replica::start(name, &agents, boot_id, 0, &disk).expect("the disk can be used");
        TestReplica {
            replica,
            disk,
            written: Vec::new(),
            restored: None,
        }
    }

    /// Carries out all actions; returns the messages to send, with their receivers.
    fn carry_out(&mut self) -> Vec<(String, Message)> {
        let mut sent = Vec::new();
        loop {
            if self.replica.needs_compaction() {
                self.replica.compact(APPLICATION_STATE.to_vec());
            }
            match self.replica.poll_action() {
                None => return sent,
                Some(Action::Append(records)) => {
                    self.written.extend(records.clone());
                    self.disk.extend(records);
                }
                Some(Action::ReplaceLog(records)) => {
                    self.written.extend(records.clone());
                    self.disk = records;
                }
                Some(Action::Send { to, message }) => sent.push((to, message)),
                Some(Action::Restore { index, state }) => self.restored = Some((index, state)),
                Some(Action::Apply { .. } | Action::LeadershipConfirmed { .. }) => {}
                Some(Action::ReportDecodeError(error)) => panic!("{error}"),
            }
        }
    }

    /// The payload of the last snapshot on the disk.
    fn snapshot_payload(&self) -> Vec<u8> {
        let bytes = self.disk.iter().rev().find_map(|record| match record {
            Record::Snapshot(bytes) => Some(bytes),
            _ => None,
        });
        let snapshot = Snapshot::parse_from_bytes(bytes.expect("a snapshot on the disk"));
        snapshot.expect("a snapshot of raft").get_data().to_vec()
    }

    /// The contexts of all membership changes ever written, in order.
    fn membership_contexts(&self) -> Vec<Vec<u8>> {
        let entries = self.written.iter().filter_map(|record| match record {
            Record::Entry(bytes) => Some(Entry::parse_from_bytes(bytes).expect("an entry of raft")),
            _ => None,
        });
        let changes = entries.filter(|entry| entry.get_entry_type() == EntryType::EntryConfChange);
        changes
            .map(|entry| ConfChange::parse_from_bytes(&entry.data).expect("a change of raft"))
            .filter(|change| change.get_change_type() == ConfChangeType::AddNode)
            .map(|change| change.context.to_vec())
            .collect()
    }
}

/// Ticks the replicas and delivers their messages until a condition holds; messages to agents that
/// are not running are lost.
fn run_until(
    replicas: &mut BTreeMap<&str, TestReplica>,
    what: &str,
    holds: impl Fn(&BTreeMap<&str, TestReplica>) -> bool,
) {
    for _ in 0..1_000 {
        if holds(replicas) {
            return;
        }
        replicas
            .values_mut()
            .for_each(|replica| replica.replica.tick());
        loop {
            let carry_out = |(name, replica): (&&str, &mut TestReplica)| {
                let sent = replica.carry_out();
                sent.into_iter()
                    .map(|(to, message)| (name.to_string(), to, message))
                    .collect::<Vec<_>>()
            };
            let sent: Vec<(String, String, Message)> =
                replicas.iter_mut().flat_map(carry_out).collect();
            if sent.is_empty() {
                break;
            }
            for (from, to, message) in sent {
                if let Some(receiver) = replicas.get_mut(to.as_str()) {
                    receiver.replica.handle_message(&from, message);
                }
            }
        }
    }
    panic!("condition not reached: {what}");
}

/// A replica that has bootstrapped an installation of its own and leads it.
fn bootstrapped_alone() -> TestReplica {
    let mut replicas = BTreeMap::from([("a", TestReplica::start("a", &["a"], 0xA1, Vec::new()))]);
    run_until(&mut replicas, "a leader", |replicas| {
        replicas["a"].replica.leading_term().is_some()
    });
    replicas.remove("a").expect("it runs")
}

/// The leader after a second replica has joined and a third one has joined and been removed.
fn leader_after_membership_changes() -> TestReplica {
    let alone = bootstrapped_alone();
    let agents = ["a", "b", "c"];
    let mut replicas = BTreeMap::from([
        ("a", TestReplica::start("a", &agents, 0xA2, alone.disk)),
        (
            "b",
            TestReplica::start("b", &agents, BOOT_ID_OF_B, Vec::new()),
        ),
    ]);
    let member_counts = |replicas: &BTreeMap<&str, TestReplica>| {
        replicas
            .values()
            .map(|replica| replica.replica.membership().members.len())
            .collect::<Vec<_>>()
    };
    run_until(&mut replicas, "two members", |replicas| {
        member_counts(replicas) == [2, 2]
    });
    let hello = Message::Hello {
        boot_id: BOOT_ID_OF_C,
        slot: None,
    };
    replicas
        .get_mut("a")
        .expect("it runs")
        .replica
        .handle_message("c", hello);
    run_until(&mut replicas, "three members", |replicas| {
        member_counts(replicas) == [3, 3]
    });
    replicas
        .get_mut("a")
        .expect("it runs")
        .replica
        .remove_member("c");
    run_until(&mut replicas, "two members again", |replicas| {
        member_counts(replicas) == [2, 2]
    });
    let mut leader = replicas.remove("a").expect("it runs");
    leader.replica.compact(APPLICATION_STATE.to_vec());
    leader.carry_out();
    leader
}

fn member(name: &str, boot_id: u64) -> Member {
    Member {
        name: name.into(),
        boot_id,
    }
}

/// A snapshot record around a payload.
fn snapshot_record(payload: &[u8], index: u64, voters: &[u64]) -> Record {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(payload.to_vec().into());
    let metadata = snapshot.mut_metadata();
    metadata.index = index;
    metadata.term = 1;
    metadata.set_conf_state(ConfState {
        voters: voters.to_vec(),
        ..ConfState::default()
    });
    Record::Snapshot(ByteBuf::from(
        snapshot
            .write_to_bytes()
            .expect("a snapshot can be encoded"),
    ))
}

#[test]
fn snapshot_payload() {
    let alone = bootstrapped_alone();
    let leader = leader_after_membership_changes();
    let bootstrap = Membership {
        members: BTreeMap::from([(1, member("a", 0))]),
        highest_slot: 1,
    };
    let changed = Membership {
        members: BTreeMap::from([(1, member("a", 0)), (2, member("b", BOOT_ID_OF_B))]),
        highest_slot: 3,
    };
    let samples = [
        Sample {
            label: "at the bootstrap",
            value: (bootstrap, Vec::new()),
            encoded: alone.snapshot_payload(),
        },
        Sample {
            label: "after changes of the membership",
            value: (changed, APPLICATION_STATE.to_vec()),
            encoded: leader.snapshot_payload(),
        },
    ];
    check_form("snapshot_payload.hex", &samples, |payload| {
        let index = 51;
        let disk = vec![
            Record::VoterSlot {
                id: 1,
                incarnation: 1,
            },
            snapshot_record(payload, index, &[1, 2]),
            Record::HardState {
                term: 1,
                vote: 0,
                commit: index,
            },
        ];
        let mut replica = TestReplica::start("a", &["a", "b"], 0xA3, disk);
        replica.carry_out();
        let (restored_index, state) = replica.restored.expect("a restored state");
        assert_eq!(restored_index, index);
        (replica.replica.membership().clone(), state)
    });
}

#[test]
fn context_of_a_membership_change() {
    let contexts = leader_after_membership_changes().membership_contexts();
    let [first, second] = contexts.try_into().expect("two replicas were added");
    let samples = [
        Sample {
            label: "b joins",
            value: member("b", BOOT_ID_OF_B),
            encoded: first,
        },
        Sample {
            label: "c joins",
            value: member("c", BOOT_ID_OF_C),
            encoded: second,
        },
    ];
    let bootstrap = bootstrapped_alone().snapshot_payload();
    check_form("membership_change.hex", &samples, |context| {
        let mut change = ConfChange {
            node_id: 2,
            ..ConfChange::default()
        };
        change.set_change_type(ConfChangeType::AddNode);
        change.set_context(context.to_vec().into());
        let mut entry = Entry {
            term: 1,
            index: 2,
            ..Entry::default()
        };
        entry.set_entry_type(EntryType::EntryConfChange);
        entry.set_data(
            change
                .write_to_bytes()
                .expect("a change can be encoded")
                .into(),
        );
        let disk = vec![
            Record::VoterSlot {
                id: 1,
                incarnation: 1,
            },
            snapshot_record(&bootstrap, 1, &[1]),
            Record::Entry(ByteBuf::from(
                entry.write_to_bytes().expect("an entry can be encoded"),
            )),
            Record::HardState {
                term: 1,
                vote: 0,
                commit: 2,
            },
        ];
        let mut replicas = BTreeMap::from([("a", TestReplica::start("a", &["a"], 0xA4, disk))]);
        run_until(&mut replicas, "a second member", |replicas| {
            replicas["a"].replica.membership().members.len() == 2
        });
        replicas["a"].replica.membership().members[&2].clone()
    });
}
