//! Reads, compares and, with `GOLDEN_WRITE=1`, writes golden files.

use std::fmt::{Debug, Write as _};
use std::path::{Path, PathBuf};

use serde_json::Value;

fn path_of(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file)
}

/// Reads the text of a golden file.
fn read(file: &str) -> String {
    let path = path_of(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn write_on_request(file: &str, text: &str) {
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        std::fs::write(path_of(file), text).expect("the golden file can be written");
    }
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

/// The labels and bytes of the golden file of a binary format.
fn sections(file: &str) -> Vec<(String, Vec<u8>)> {
    let text = read(file);
    let sections = text.split("# ").skip(1);
    let parts = sections.map(|section| section.split_once('\n').expect("a label and a dump"));
    parts
        .map(|(label, dump)| (label.to_owned(), parse_hex_dump(dump)))
        .collect()
}

/// Checks that the labelled values of a binary format encode to and decode from its golden file.
pub fn check_form<T: Debug + PartialEq>(
    file: &str,
    samples: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let written = samples
        .iter()
        .map(|(label, value)| format!("# {label}\n{}", hex_dump(&encode(value))));
    write_on_request(file, &written.collect::<Vec<_>>().join("\n"));
    let golden = sections(file);
    let labels: Vec<&str> = golden.iter().map(|(label, _)| label.as_str()).collect();
    let expected: Vec<&str> = samples.iter().map(|(label, _)| *label).collect();
    assert_eq!(labels, expected, "samples of {file}");
    for ((label, value), (_, bytes)) in samples.iter().zip(golden) {
        assert_eq!(decode(&bytes), *value, "{file}: decoding {label}");
        assert_eq!(
            hex_dump(&encode(value)),
            hex_dump(&bytes),
            "{file}: encoding {label}"
        );
    }
}

/// Compares JSON with its golden file, ignoring the order of keys, and returns the file's content.
pub fn check_json(file: &str, value: &Value) -> Value {
    write_on_request(file, &format!("{value:#}\n"));
    let golden: Value =
        serde_json::from_str(&read(file)).unwrap_or_else(|error| panic!("{file}: {error}"));
    assert!(
        *value == golden,
        "{file} holds\n{golden:#}\nand this is\n{value:#}"
    );
    golden
}

/// Replaces the numbers under these keys, which differ between runs, with a placeholder.
pub fn with_placeholders(value: &Value, keys: &[&str]) -> Value {
    match value {
        Value::Array(all) => all
            .iter()
            .map(|value| with_placeholders(value, keys))
            .collect(),
        Value::Object(fields) => {
            let field = |(key, value): (&String, &Value)| {
                let is_run_dependent = value.is_number() && keys.contains(&key.as_str());
                let value = if is_run_dependent {
                    "NUMBER".into()
                } else {
                    with_placeholders(value, keys)
                };
                (key.clone(), value)
            };
            Value::Object(fields.iter().map(field).collect())
        }
        other => other.clone(),
    }
}
