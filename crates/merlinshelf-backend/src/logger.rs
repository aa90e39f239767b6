//! The program's own logger: lines to standard error by a thread of its own, so that a reader who
//! stands still costs lines and never time.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that wait for the reader; at a few hundred bytes each, well under a megabyte.
const WAITING_MOST: usize = 1000;
/// How long the end of the program waits for the last lines.
const LAST_WORDS: Duration = Duration::from_millis(20);

struct Logger {
    lines: SyncSender<String>,
    lost: AtomicU64,
}

static WRITTEN: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);

/// Starts the logger at the level that the environment names, `info` where it names none.
pub fn start() {
    let level = std::env::var("MERLINSHELF_LOG").ok().and_then(|name| name.parse().ok());
    let (lines, waiting) = sync_channel(WAITING_MOST);
    let logger = Logger { lines, lost: AtomicU64::new(0) };
    let writer = thread::Builder::new().name("logger".into()).spawn(move || write(&waiting));
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

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (seconds, millis) = (time.as_secs(), time.subsec_millis());
        let lost = self.lost.swap(0, Ordering::Relaxed);
        let gap = if lost > 0 { format!(" ({lost} lines lost before this)") } else { String::new() };
        let place = record.target().rsplit("::").next().unwrap_or("");
        let line = format!("{seconds}.{millis:03} {} {place}: {}{gap}\n", record.level(), record.args());
        match self.lines.try_send(line) {
            Ok(()) => _ = SENT.fetch_add(1, Ordering::AcqRel),
            Err(_) => _ = self.lost.fetch_add(lost + 1, Ordering::Relaxed),
        }
    }

    fn flush(&self) {}
}
