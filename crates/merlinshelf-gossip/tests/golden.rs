//! Golden tests of the formats that outlive an instance's process: the store file in both of its
//! versions, the names of the store's files, and the types of this package that are encoded with
//! field names.
//!
//! Every field of a sample has a distinct value other than its default, so that the tests detect a
//! field that is lost, swapped or renamed on the wire. The files contain bytes as released programs
//! wrote them: if a test fails, fix the code, not the file.

use std::collections::BTreeMap;
use std::io;

use merlinshelf_gossip::store::{
    Files, STORE_FILE, Store, StoreContents, TEMPORARY_STORE_FILE, UNREADABLE_STORE_FILE,
};
use merlinshelf_gossip::store_format::{
    self, EncodeError, PersistedObservation, Record, Recovered,
};
use merlinshelf_gossip::{
    GossipedObservation, MembershipUpdate, Metric, Observation, Source, SourceStatus, State,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const INCARNATION: u64 = 1_796_150_622_705;
const SAVED_AT: f64 = 1_796_150_700.25;
const SAVED_AGAIN_AT: f64 = 1_796_150_730.5;

fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("a plain structure")
}

fn encoded(record: Result<Vec<u8>, EncodeError>) -> Vec<u8> {
    record.expect("a plain structure")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    rmp_serde::from_slice(bytes).expect("bytes that can be decoded")
}

/// One metric of every kind, each with distinct names.
fn metrics() -> Vec<Metric> {
    vec![
        Metric::RunLowest {
            engine: "engine 1".into(),
            operation: "operation 1".into(),
        },
        Metric::RunRecent {
            engine: "engine 2".into(),
            operation: "operation 2".into(),
        },
        Metric::Limit {
            engine: "engine 3".into(),
        },
        Metric::CallLowest {
            dependency: "dependency 4".into(),
        },
        Metric::CallRecent {
            dependency: "dependency 5".into(),
        },
        Metric::CallLimit {
            dependency: "dependency 6".into(),
        },
        Metric::CallFailures {
            dependency: "dependency 7".into(),
        },
        Metric::RunDownstream {
            dependency: "dependency 8".into(),
            operation: "operation 8".into(),
        },
        Metric::RetryShare,
        Metric::ReturningCallerShare,
    ]
}

const STATUSES: [SourceStatus; 4] = [
    SourceStatus::Steady,
    SourceStatus::Recovering,
    SourceStatus::RecentlySynced,
    SourceStatus::Leaving,
];

/// An observation of every metric, from sources of every status.
fn observations() -> Vec<GossipedObservation> {
    let observation = |(number, metric): (usize, Metric)| GossipedObservation {
        metric,
        source: Source {
            name: format!("n{number}"),
            incarnation: INCARNATION + 1 + number as u64,
        },
        value: 0.0625 + number as f64,
        sample_count: 20 + number as u32,
        age_seconds: 40.5 + number as f64,
        sequence: 300_000 + number as u64,
        hops: 60 + number as u8,
        status: STATUSES[number % STATUSES.len()],
    };
    metrics().into_iter().enumerate().map(observation).collect()
}

/// A later observation in number of the first one.
fn later_observation() -> GossipedObservation {
    GossipedObservation {
        value: 77.5,
        sample_count: 78,
        age_seconds: 79.5,
        sequence: 300_080,
        ..observations().remove(0)
    }
}

/// A folder in memory.
#[derive(Default)]
struct MemoryFolder(BTreeMap<String, Vec<u8>>);

impl Files for MemoryFolder {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.get(name).cloned())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.insert(name.to_owned(), Vec::new());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.0.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.extend(bytes);
        Ok(())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let file = self.0.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.0.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn persisted(saved_at: f64, observation: GossipedObservation) -> PersistedObservation {
    PersistedObservation {
        saved_at,
        observation,
    }
}

/// The contents of the store file after two saves, the second of which appends the changes.
fn expected_contents() -> StoreContents {
    let first = observations()
        .into_iter()
        .map(|observation| persisted(SAVED_AT, observation));
    let second = persisted(SAVED_AGAIN_AT, later_observation());
    StoreContents {
        observations: first.chain([second]).collect(),
        incarnation: INCARNATION,
        error: None,
        was_moved_aside: false,
    }
}

fn write_store() -> Vec<u8> {
    let mut folder = MemoryFolder::default();
    let (mut store, _) = Store::open(&mut folder).expect("an empty folder");
    assert_eq!(store.begin_incarnation(INCARNATION), INCARNATION);
    let mut all = observations();
    store
        .save(&mut folder, SAVED_AT, &all)
        .expect("in-memory writes succeed");
    all[0] = later_observation();
    store
        .save(&mut folder, SAVED_AGAIN_AT, &all)
        .expect("in-memory writes succeed");
    let names: Vec<&str> = folder.0.keys().map(String::as_str).collect();
    assert_eq!(names, ["knowledge"]);
    folder.0.remove("knowledge").expect("the store file")
}

fn open_store(bytes: &[u8]) -> StoreContents {
    let mut folder = MemoryFolder::default();
    folder.0.insert("knowledge".into(), bytes.to_vec());
    let (_, contents) = Store::open(&mut folder).expect("in-memory reads succeed");
    contents
}

#[test]
fn store_file() {
    golden_file::assert_form(
        "store_file",
        &expected_contents(),
        |_| write_store(),
        open_store,
    );
}

/// The same bytes record by record: the format in which a handover image carries them.
#[test]
fn records_of_the_store_file() {
    let observations = expected_contents()
        .observations
        .into_iter()
        .map(Record::Observation);
    let records: Vec<Record> = [Record::Incarnation(INCARNATION)]
        .into_iter()
        .chain(observations)
        .collect();
    let encode = |records: &Vec<Record>| {
        let framed = records
            .iter()
            .flat_map(|record| encoded(store_format::encode_record(record)));
        store_format::header().into_iter().chain(framed).collect()
    };
    let decode = |bytes: &[u8]| {
        let Recovered {
            records,
            valid_bytes,
            error,
        } = store_format::recover(bytes);
        assert_eq!((valid_bytes, error), (bytes.len(), None));
        records
    };
    golden_file::assert_form("store_file", &records, encode, decode);
}

/// Version 1 is no longer written, but existing files must still be readable.
#[test]
fn store_file_of_version_1() {
    let expected: Vec<PersistedObservation> = observations()
        .into_iter()
        .map(|observation| persisted(SAVED_AT, observation))
        .collect();
    let encode = |all: &Vec<PersistedObservation>| {
        let framed = all
            .iter()
            .flat_map(|value| encoded(store_format::encode_frame(value)));
        b"MSK1\x01\0\0\0".iter().copied().chain(framed).collect()
    };
    let decode = |bytes: &[u8]| {
        let contents = open_store(bytes);
        assert_eq!(
            (
                contents.incarnation,
                contents.error,
                contents.was_moved_aside
            ),
            (0, None, false)
        );
        contents.observations
    };
    golden_file::assert_form("store_file_first_form", &expected, encode, decode);
}

/// Later versions find the files of earlier ones by these names.
#[test]
fn names_of_the_stores_files() {
    assert_eq!(
        [STORE_FILE, TEMPORARY_STORE_FILE, UNREADABLE_STORE_FILE],
        ["knowledge", "knowledge.new", "knowledge.aside"]
    );
}

#[test]
fn stored_observations() {
    let observations: Vec<Observation> = STATUSES
        .into_iter()
        .zip(1..)
        .map(|(status, number)| Observation {
            value: 0.125 + f64::from(number),
            sample_count: 10 + number,
            observed_at: 20.5 + f64::from(number),
            sequence: 300_000 + u64::from(number),
            hops: 40 + number as u8,
            status,
        })
        .collect();
    golden_file::assert_form("figures", &observations, encode, decode);
}

#[test]
fn membership_updates() {
    let states = [State::Alive, State::Suspect, State::Left, State::Dead];
    let updates: Vec<MembershipUpdate> = states
        .into_iter()
        .zip(1..)
        .map(|(state, number)| MembershipUpdate {
            name: format!("n{number}"),
            address: format!("127.0.0.1:74{number:02}"),
            incarnation: INCARNATION + u64::from(number),
            refutations: 10 + number,
            state,
        })
        .collect();
    golden_file::assert_form("news", &updates, encode, decode);
}

/// Golden files: `tests/golden/NAME.hex`, sixteen bytes a line, each line with its offset, the
/// bytes in hexadecimal and the same bytes as text.
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

    /// The bytes of a golden file, which must be there. With `GOLDEN_WRITE=1` in the environment a
    /// file that is missing is written from `encoded`; one that is there is never changed, since
    /// bytes in the field don't change either.
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

    /// Asserts that the golden bytes are decoded to exactly this value, and the value encoded to
    /// the golden bytes.
    pub fn assert_form<T: std::fmt::Debug + PartialEq>(
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
