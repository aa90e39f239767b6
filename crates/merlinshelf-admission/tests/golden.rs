//! Golden tests of the types of this package that are stored in a handover image: the state of an
//! invocation and the learned state of an instance, in MessagePack with field names.
//!
//! Every field of a sample has a distinct value that is not its default, so that a lost, swapped or
//! renamed field makes a test fail. The files hold bytes as written by released programs: if a test
//! fails, fix the code, not the file.

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_admission::{Invocation, InvocationState, LearnedOperation, LearnedState, Stage};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("encodable value")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    rmp_serde::from_slice(bytes).expect("decodable bytes")
}

fn invocation() -> Invocation {
    Invocation {
        operation: 3,
        customer: 41,
        caller: 0x1234_5678_9abc_def0,
        caller_timeout: Some(1.25),
        age: 0.0625,
        cost_hint: Some(0.375),
        held_kilobytes: 212.5,
        rank: 0.875,
        is_retry: true,
        has_subject: true,
        is_repeat: true,
        original: Some(17),
    }
}

fn invocation_state() -> InvocationState {
    InvocationState {
        request: invocation(),
        arrived_at: 100.5,
        due_at: 104.25,
        objective_deadline: 102.125,
        stage: Stage::Calling,
        stage_entered_at: 101.75,
        started_at: 101.5,
        off_core_seconds: 0.1875,
        is_answered: true,
        is_stopping: true,
        has_run: true,
        has_table_entry: true,
        exceeds_quota: true,
        calls: 7,
        has_uncertain_call: true,
    }
}

fn learned_operation(first: f64) -> LearnedOperation {
    LearnedOperation {
        run_durations: VecDeque::from([first, first + 0.25]),
        run_costs: VecDeque::from([first + 1.0, first + 1.25]),
        downstream_durations: VecDeque::from([first + 2.0, first + 2.25]),
        lowest_duration: first + 3.0,
        finishes_until_probe: first + 4.0,
    }
}

fn learned_state() -> LearnedState {
    LearnedState {
        engine_started_at: 11.5,
        shutdown_at: Some((12.5, 13.5)),
        operations: vec![learned_operation(20.0), learned_operation(30.0)],
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

#[test]
fn invocation_as_read() {
    golden_file::assert_form("invocation", &invocation(), encode, decode);
}

#[test]
fn state_of_an_invocation() {
    golden_file::assert_form("invocation_state", &invocation_state(), encode, decode);
}

#[test]
fn stages_of_an_invocation() {
    let stages = vec![
        Stage::Read,
        Stage::Queued,
        Stage::Running,
        Stage::AwaitingCall,
        Stage::Calling,
        Stage::Joined,
    ];
    golden_file::assert_form("stages", &stages, encode, decode);
}

#[test]
fn learned_state_of_an_operation() {
    golden_file::assert_form(
        "learned_of_operation",
        &learned_operation(0.5),
        encode,
        decode,
    );
}

#[test]
fn learned_state_of_an_instance() {
    golden_file::assert_form("learned_state", &learned_state(), encode, decode);
}

/// Default values must keep their encoding as well.
#[test]
fn default_values() {
    let defaults = (
        Invocation::default(),
        InvocationState::default(),
        LearnedOperation::default(),
        LearnedState::default(),
    );
    golden_file::assert_form("defaults", &defaults, encode, decode);
}

/// Golden files `tests/golden/NAME.hex`: sixteen bytes per line, each line with its offset, the
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

    /// Reads the bytes of a golden file, which must exist. With `GOLDEN_WRITE=1` in the
    /// environment, a missing file is written from `encoded`. An existing file is never changed,
    /// since bytes written by released programs don't change either.
    pub fn read(name: &str, encoded: &[u8]) -> Vec<u8> {
        let path = path_of(name);
        if std::env::var_os("GOLDEN_WRITE").is_some_and(|value| value == "1") && !path.exists() {
            std::fs::create_dir_all(path.parent().expect("a directory"))
                .expect("creatable directory");
            std::fs::write(&path, format_bytes(encoded)).expect("writable file");
        }
        let text = std::fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("golden file {}: {error}", path.display()));
        let bytes = parse_bytes(&text);
        assert_eq!(format_bytes(&bytes), text, "{name}.hex is not well formed");
        bytes
    }

    /// Asserts that the encoded value equals the golden bytes.
    pub fn assert_encoded(name: &str, encoded: &[u8]) {
        let golden = read(name, encoded);
        assert_eq!(
            format_bytes(encoded),
            format_bytes(&golden),
            "the value is no longer encoded to the bytes of {name}.hex"
        );
    }

    /// Asserts that the golden bytes decode to exactly this value, and that the value is encoded to
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
            "{name}.hex no longer decodes to the value it was written from"
        );
        assert_encoded(name, &encoded);
    }
}
