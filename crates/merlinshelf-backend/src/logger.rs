//! The program's own logger: lines to standard error by a thread of its own, so that a reader who
//! stands still costs lines and never time.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Number, json};

use crate::operator::Format;

/// Lines that wait for the reader; at a few hundred bytes each, well under a megabyte.
const WAITING_MOST: usize = 1000;
/// How long the end of the program waits for the last lines.
const LAST_WORDS: Duration = Duration::from_millis(20);

/// Lines that one part may write in a second; what goes beyond is counted, so that a flood of bad input costs
/// neither the log nor the CPU that it takes to write it.
const A_SECOND: u32 = 20;

struct Logger {
    lines: SyncSender<String>,
    format: Format,
    lost: AtomicU64,
    /// By part: the second, the lines in it so far, and those left out since the last that was written.
    parts: Mutex<BTreeMap<String, (u64, u32, u64)>>,
}

impl Logger {
    /// Whether a part may write one more line in this second, and how many were left out before it.
    fn admits(&self, part: &str, second: u64) -> Option<u64> {
        let mut parts = self.parts.lock().ok()?;
        if !parts.contains_key(part) {
            parts.insert(part.to_owned(), (second, 0, 0)); // as many as the program has modules
        }
        let (of, lines, left_out) = parts.get_mut(part)?;
        if *of != second {
            (*of, *lines) = (second, 0);
        }
        *lines += 1;
        if *lines > A_SECOND {
            *left_out += 1;
            return None;
        }
        Some(std::mem::take(left_out))
    }
}

static WRITTEN: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);

/// Starts the logger at the level that the environment names, else at this one, else at `info`.
pub fn start(level: Option<LevelFilter>, format: Format) {
    let level = std::env::var("MERLINSHELF_LOG")
        .ok()
        .and_then(|name| name.parse().ok())
        .or(level);
    let (lines, waiting) = sync_channel(WAITING_MOST);
    let logger = Logger {
        lines,
        format,
        lost: AtomicU64::new(0),
        parts: Mutex::default(),
    };
    let writer = thread::Builder::new()
        .name("logger".into())
        .spawn(move || write(&waiting));
    if writer.is_ok() && log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
        std::panic::set_hook(Box::new(|panic| log::error!("panic: {panic}")));
    }
}

/// Gives the last lines a moment to get out.
pub fn finish() {
    let until = Instant::now() + LAST_WORDS;
    while WRITTEN.load(Ordering::Acquire) < SENT.load(Ordering::Acquire) && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
}

fn write(waiting: &Receiver<String>) {
    for line in waiting {
        let _ = std::io::stderr().write_all(line.as_bytes());
        WRITTEN.fetch_add(1, Ordering::AcqRel);
    }
}

/// The part of the program that a module belongs to: its own name, or the program's for what holds all together.
fn part(target: &str) -> &str {
    match target.rsplit("::").next().unwrap_or("") {
        "process" | "instance" | "successor_guard" | "startup_wait" | "control" => "merlinshelf",
        "folder" | "peers" => "learning",
        part => part,
    }
}

fn text(record: &Record, place: &str, seconds: u64, millis: u32, missing: u64) -> String {
    let gap = if missing > 0 {
        format!(" ({missing} lines lost before this)")
    } else {
        String::new()
    };
    format!(
        "{seconds}.{millis:03} {} {place}: {}{gap}\n",
        record.level(),
        record.args()
    )
}

/// One object: time in Unix seconds, level, part, text, lines lost before it, then the key-values.
fn json_line(record: &Record, place: &str, seconds: u64, millis: u32, missing: u64) -> String {
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields); // what can't be read is left out
    let mut line = json!({
        "level": record.level().as_str().to_lowercase(),
        "part": place,
        "text": record.args().to_string(),
    });
    if let Some(line) = line.as_object_mut() {
        let time = format!("{seconds}.{millis:03}")
            .parse::<Number>()
            .map_or(json!(seconds), |time| json!(time));
        line.insert("time".into(), time);
        if missing > 0 {
            line.insert("lost_before".into(), json!(missing));
        }
        line.extend(fields.0);
    }
    line.to_string() + "\n"
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (
            value.to_u64(),
            value.to_i64(),
            value.to_f64(),
            value.to_bool(),
        ) {
            (Some(number), ..) => json!(number),
            (_, Some(number), ..) => json!(number),
            (_, _, Some(number), _) if number.is_finite() => json!(number),
            (.., Some(truth)) => json!(truth),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let (seconds, millis) = (time.as_secs(), time.subsec_millis());
        let place = part(record.target());
        let admitted = if record.level() >= Level::Debug {
            Some(0)
        } else {
            self.admits(place, seconds)
        };
        let Some(left_out) = admitted else { return };
        let lost = self.lost.swap(0, Ordering::Relaxed);
        let missing = lost + left_out;
        let line = match self.format {
            Format::Text => text(record, place, seconds, millis, missing),
            Format::Json => json_line(record, place, seconds, millis, missing),
        };
        match self.lines.try_send(line) {
            Ok(()) => _ = SENT.fetch_add(1, Ordering::AcqRel),
            Err(_) => _ = self.lost.fetch_add(missing + 1, Ordering::Relaxed),
        }
    }

    fn flush(&self) {}
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_lines_is_cut_and_counted_by_part() {
        let (lines, format) = (sync_channel(1).0, Format::Text);
        let logger = Logger {
            lines,
            format,
            lost: AtomicU64::new(0),
            parts: Mutex::default(),
        };
        let admitted = (0..100)
            .filter(|_| logger.admits("connection", 7).is_some())
            .count();
        assert_eq!(admitted, A_SECOND as usize);
        assert_eq!(
            (logger.admits("engine", 7), logger.admits("connection", 8)),
            (Some(0), Some(80))
        );
    }

    #[test]
    fn a_line_of_json_has_all_that_the_text_has_and_the_key_values() {
        let values = [
            ("connections", Value::from(3u64)),
            ("of", Value::from("n0")),
        ];
        let record = Record::builder()
            .args(format_args!("3 \"went\" on\n"))
            .level(Level::Warn)
            .target("merlinshelf_backend::host")
            .key_values(&values)
            .build();
        insta::assert_snapshot!(json_line(&record, "host", 1_764_576_000, 12, 2), @r#"{"connections":3,"level":"warn","lost_before":2,"of":"n0","part":"host","text":"3 \"went\" on\n","time":1764576000.012}"#);
        assert_eq!(
            text(&record, "host", 7, 5, 0),
            "7.005 WARN host: 3 \"went\" on\n\n"
        );
    }
}
