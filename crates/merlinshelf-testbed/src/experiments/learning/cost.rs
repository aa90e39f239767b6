//! What teaching costs the teacher: time on its cores an invocation, and its clients' 99th latency, with learning off, on, and
//! while many ask.

use std::cell::Cell;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::instance::{Instance, Setup, peer_address};
use crate::load::Load;

/// Questions a second: a hundred instances that all start at once, after their hurry, or two thousand steady ones.
const QUESTIONS: u32 = 100;
const RATE: f64 = 1000.0;
const TIME: Duration = Duration::from_secs(3);
const NUMBER: u8 = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Off,
    On,
    Asked,
}

/// One play.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Microseconds on the cores an invocation.
    pub us: f64,
    pub p99_ms: f64,
    /// Questions that were answered a second.
    pub answered: f64,
}

/// Plays one case.
///
/// # Errors
/// What can't be played.
pub async fn run(program: &Path, case: Case, seed: u64) -> io::Result<Cost> {
    let mut setup = Setup::small(program);
    (setup.cores, setup.fakes.cores) = (64, 64.0);
    if case != Case::Off {
        setup.learning = Some(json!({
            "engine": "lab", "folder": true,
            "peers": { "listen": peer_address(NUMBER), "seeds": [] },
        }));
    }
    let mut instance = Instance::start(&setup, NUMBER).await?;
    let load = Load::with_example_operations(&instance.address, 100, RATE, seed);
    let playing = load.start().await?;
    sleep(Duration::from_millis(700)).await;
    let answered: Rc<Cell<u32>> = Rc::default();
    let asking = (case == Case::Asked).then(|| spawn_local(ask(answered.clone())));
    let (from, before, sent) = (
        Instant::now(),
        instance.cpu_time()?,
        playing.record.borrow().sent.len(),
    );
    sleep(TIME).await;
    let (until, after, now) = (
        Instant::now(),
        instance.cpu_time()?,
        playing.record.borrow().sent.len(),
    );
    if let Some(asking) = asking {
        asking.abort();
    }
    let seen = playing.stop().await.take();
    instance.kill_all().await;
    Ok(Cost {
        us: (after - before).as_secs_f64() * 1e6 / (now - sent).max(1) as f64,
        p99_ms: seen.latencies(from, until).value_at_quantile(0.99) as f64 / 1e3,
        answered: f64::from(answered.get()) / (until - from).as_secs_f64(),
    })
}

/// Asks for all figures, so many times a second.
async fn ask(answered: Rc<Cell<u32>>) {
    loop {
        sleep(Duration::from_secs(1) / QUESTIONS).await;
        let answered = answered.clone();
        spawn_local(async move {
            let Ok(mut stream) = TcpStream::connect(peer_address(NUMBER)).await else {
                return;
            };
            let _ = stream
                .write_all(b"ask 1 pupil 1 0 alive 127.0.0.1:1 steady 1 0 0\r\n")
                .await;
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            answered.set(answered.get() + u32::from(answer.starts_with(b"tell 1 ")));
        });
    }
}
