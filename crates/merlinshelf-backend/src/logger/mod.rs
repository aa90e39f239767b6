//! The program's logger. A separate thread writes the lines to standard error, so that a reader
//! that is blocked loses lines but never delays the program.

mod line;
mod rate_limit;
#[cfg(test)]
mod tests;

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record};

use crate::operator::Format;
use line::Line;
use rate_limit::RateLimit;

/// The maximum number of lines that wait to be written: a few hundred bytes each, well under a
/// megabyte together.
const MAX_QUEUED_LINES: usize = 1000;
/// How long the program waits before it exits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(20);
/// How often it checks whether they are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

struct Logger {
    lines: SyncSender<String>,
    format: Format,
    /// Lines dropped because the queue was full, since the last one that was queued.
    lost_lines: AtomicU64,
    rate_limit: Mutex<RateLimit>,
}

/// Starts the logger at the level set in the environment, else at `level`, else at `info`.
pub fn start(level: Option<LevelFilter>, format: Format) {
    let configured = std::env::var("MERLINSHELF_LOG")
        .ok()
        .and_then(|name| name.parse().ok());
    let level = configured.or(level).unwrap_or(LevelFilter::Info);
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let writer = thread::Builder::new()
        .name("logger".into())
        .spawn(move || write_lines(&queue));
    if writer.is_ok() && log::set_boxed_logger(Box::new(Logger::new(lines, format))).is_ok() {
        log::set_max_level(level);
        std::panic::set_hook(Box::new(|panic| log::error!("panic: {panic}")));
    }
}

/// Waits a short time until the last lines are written.
pub fn finish() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let is_written =
        || WRITTEN_LINES.load(Ordering::Acquire) >= QUEUED_LINES.load(Ordering::Acquire);
    while !is_written() && Instant::now() < deadline {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

fn write_lines(queue: &Receiver<String>) {
    for line in queue {
        // If standard error fails, the failure can't be reported anywhere.
        let _ = std::io::stderr().write_all(line.as_bytes());
        WRITTEN_LINES.fetch_add(1, Ordering::AcqRel);
    }
}

impl Logger {
    fn new(lines: SyncSender<String>, format: Format) -> Logger {
        Logger {
            lines,
            format,
            lost_lines: AtomicU64::new(0),
            rate_limit: Mutex::default(),
        }
    }

    /// The number of this part's lines dropped before this one if it may write one more line in
    /// this second, else `None`.
    fn admit(&self, part: &str, second: u64) -> Option<u64> {
        // Only a panic within the rate limit poisons the lock; without the limit nothing is
        // written.
        self.rate_limit.lock().ok()?.admit(part, second)
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
            .unwrap_or_default(); // a clock set before 1970 is shown as 0
        let part = line::part(record.target());
        let dropped = if record.level() >= Level::Debug {
            0
        } else {
            match self.admit(part, time.as_secs()) {
                Some(dropped) => dropped,
                None => return,
            }
        };
        let missing_lines = self.lost_lines.swap(0, Ordering::Relaxed) + dropped;
        let line = Line {
            record,
            part,
            time,
            missing_lines,
        };
        match self.lines.try_send(line.format(self.format)) {
            Ok(()) => {
                QUEUED_LINES.fetch_add(1, Ordering::AcqRel);
            }
            Err(_) => {
                self.lost_lines
                    .fetch_add(missing_lines + 1, Ordering::Relaxed);
            }
        }
    }

    fn flush(&self) {}
}
