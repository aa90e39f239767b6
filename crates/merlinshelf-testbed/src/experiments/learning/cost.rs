//! What answering gossip polls costs an instance: CPU time per invocation and the 99th percentile of latency, with learning off,
//! on, and on while many peers poll.

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

/// The poll rate of 100 instances that started together, after their first fast polls, or of 2,000 steady ones.
const POLLS_PER_S: u32 = 100;
const INVOCATIONS_PER_S: f64 = 1000.0;
const MEASURED_FOR: Duration = Duration::from_secs(3);
const ADDRESS_NUMBER: u8 = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Learning is off.
    Off,
    /// Learning is on, without polls from peers.
    On,
    /// Learning is on, and peers poll.
    Polled,
}

/// The result of one run.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// CPU time per invocation in microseconds.
    pub cpu_us: f64,
    pub p99_ms: f64,
    /// Answered polls per second.
    pub answered_per_s: f64,
}

/// Runs one case.
///
/// # Errors
/// Fails if the instance or its load can't be started.
pub async fn run(program: &Path, case: Case, seed: u64) -> io::Result<Cost> {
    let mut setup = Setup::small(program);
    (setup.cores, setup.fakes.cores) = (64, 64.0);
    if case != Case::Off {
        setup.learning = Some(json!({
            "engine": "lab", "folder": true,
            "peers": { "listen": peer_address(ADDRESS_NUMBER), "seeds": [] },
        }));
    }
    let mut instance = Instance::start(&setup, ADDRESS_NUMBER).await?;
    let load = Load::with_example_operations(&instance.address, 100, INVOCATIONS_PER_S, seed);
    let running_load = load.start().await?;
    sleep(Duration::from_millis(700)).await;
    let answered: Rc<Cell<u32>> = Rc::default();
    let polling = (case == Case::Polled).then(|| spawn_local(send_polls(answered.clone())));
    let (from, cpu_before, sent_before) = (
        Instant::now(),
        instance.cpu_time()?,
        running_load.record.borrow().sent.len(),
    );
    sleep(MEASURED_FOR).await;
    let (until, cpu_after, sent_after) = (
        Instant::now(),
        instance.cpu_time()?,
        running_load.record.borrow().sent.len(),
    );
    if let Some(polling) = polling {
        polling.abort();
    }
    let seen = running_load.stop().await.take();
    instance.kill_all().await;
    Ok(Cost {
        cpu_us: (cpu_after - cpu_before).as_secs_f64() * 1e6
            / (sent_after - sent_before).max(1) as f64,
        p99_ms: seen.latencies(from, until).value_at_quantile(0.99) as f64 / 1e3,
        answered_per_s: f64::from(answered.get()) / (until - from).as_secs_f64(),
    })
}

/// Polls the instance for its observations, each time on a new connection.
async fn send_polls(answered: Rc<Cell<u32>>) {
    loop {
        sleep(Duration::from_secs(1) / POLLS_PER_S).await;
        let answered = answered.clone();
        spawn_local(async move {
            let Ok(mut stream) = TcpStream::connect(peer_address(ADDRESS_NUMBER)).await else {
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
