//! Golden files: reading, comparing and, with `GOLDEN_WRITE=1`, writing them.

use std::fmt::{Debug, Write as _};
use std::path::{Path, PathBuf};

fn golden_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file)
}

pub fn read_golden(file: &str) -> String {
    let path = golden_path(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

pub fn write_golden_on_request(file: &str, text: &str) {
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        std::fs::write(golden_path(file), text).expect("the golden file can be written");
    }
}

/// Formats bytes as lines of sixteen, in hexadecimal and as text.
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

/// Parses the bytes of a dump.
fn parse_hex_dump(text: &str) -> Vec<u8> {
    let columns = text.lines().filter_map(|line| line.split("  |").next());
    let words = columns.flat_map(str::split_whitespace);
    words
        .map(|word| u8::from_str_radix(word, 16).expect("a hexadecimal byte"))
        .collect()
}

/// Checks that labelled values are encoded to the bytes of a golden file and decoded from them.
pub fn check_encoding<T: Debug + PartialEq>(
    file: &str,
    samples: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let sections = samples
        .iter()
        .map(|(label, value)| format!("# {label}\n{}", hex_dump(&encode(value))));
    write_golden_on_request(file, &sections.collect::<Vec<_>>().join("\n"));
    let text = read_golden(file);
    let sections: Vec<(&str, &str)> = text
        .split("# ")
        .skip(1)
        .map(|section| section.split_once('\n').expect("a label and a dump"))
        .collect();
    let labels: Vec<&str> = sections.iter().map(|(label, _)| *label).collect();
    let expected: Vec<&str> = samples.iter().map(|(label, _)| *label).collect();
    assert_eq!(labels, expected, "samples of {file}");
    for ((label, value), (_, dump)) in samples.iter().zip(sections) {
        assert_eq!(
            decode(&parse_hex_dump(dump)),
            *value,
            "{file}: decoding {label}"
        );
        assert_eq!(
            hex_dump(&encode(value)),
            dump.trim_end().to_owned() + "\n",
            "{file}: encoding {label}"
        );
    }
}
