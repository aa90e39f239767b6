//! Load generator: edge nodes that send invocations at a rate over persistent connections, and the check of their answers.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::select;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::fakes::{Records, run_result};
use crate::wire::{fastcgi_invocation, uwsgi_invocation};

/// The load that the edge nodes send.
#[derive(Clone, Debug)]
pub struct Load {
    pub address: String,
    pub connections: usize,
    /// Invocations per second over all connections together.
    pub rate: f64,
    /// Operations, drawn with equal probability.
    pub operations: Vec<String>,
    pub body_bytes: usize,
    pub patience: Duration,
    pub seed: u64,
    pub front_protocol: FrontProtocol,
    /// Maximum number of times an invocation is sent. One that is not served is sent again immediately, whatever retry delay the
    /// answer asks for.
    pub max_attempts: u32,
}

/// The protocol that callers use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrontProtocol {
    #[default]
    FastCgi,
    /// uwsgi, with a new connection for each invocation.
    Uwsgi,
    /// Either protocol, drawn at random for each invocation.
    Both,
}

/// An invocation, as observed by its edge node.
#[derive(Clone, Debug)]
pub struct SentInvocation {
    pub sent_at: Instant,
    pub operation: String,
    /// When each answer arrived, and its status.
    pub answers: Vec<(Instant, u16)>,
    body: Vec<u8>,
    /// Which attempt this is, counted from 1.
    attempt: u32,
    /// How many further attempts are allowed.
    attempts_left: u32,
    /// The id of the first attempt.
    first_attempt_id: String,
    /// Served although the call that its run made was skipped.
    pub answered_without_call: bool,
    /// The parts that a served answer lacks, as its `X-Partial` header lists them.
    pub partial: Option<String>,
    /// A served answer is not the result of this invocation's run.
    spoilt: bool,
}

/// Everything that was sent and answered.
#[derive(Debug, Default)]
pub struct LoadRecord {
    pub sent: HashMap<String, SentInvocation>,
    /// Connections that were closed unexpectedly.
    pub broken: u64,
    /// Answers that matched no open invocation.
    pub unmatched_answers: u64,
    /// When the instance was killed with `SIGKILL`.
    pub killed_at: Vec<Instant>,
    /// How often the edge node was restarted. A restart forgets all open invocations and reconnects immediately.
    pub restarts: u64,
    /// When the first answer arrived on each connection.
    pub first_answers: Vec<Instant>,
    /// By the id of the first attempt: when an invocation was first sent, and when it was served.
    pub first_attempts: HashMap<String, (Instant, Option<Instant>)>,
    /// Retries to be sent: the operation, the number of attempts so far, and the id of the first attempt.
    pending_retries: VecDeque<(String, u32, String)>,
    closing: bool,
}

pub type SharedLoadRecord = Rc<RefCell<LoadRecord>>;

/// The result of checking a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    pub sent: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Not answered, or answered too late.
    pub lost: u64,
    /// Not answered because the instance that held it was killed; not counted as lost.
    pub held_by_killed: u64,
    pub doubled: u64,
    /// Served with something other than the result of its run.
    pub spoilt: u64,
    pub run_twice: u64,
    /// Invocations for which more than one call reached the catalogue. This is allowed for operations that may be repeated.
    pub called_twice: u64,
    pub wrong_feeds: u64,
    pub broken: u64,
}

impl Verdict {
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled + self.spoilt + self.run_twice + self.wrong_feeds + self.broken
            == 0
    }
}

impl Load {
    /// The load of the experiments: equal shares of three operations of the example configuration, two of which make a call.
    pub fn with_example_operations(
        address: &str,
        connections: usize,
        rate: f64,
        seed: u64,
    ) -> Load {
        let operations = ["thumbnail", "transcript-search", "playback-token"]
            .map(str::to_owned)
            .to_vec();
        let (address, patience) = (address.to_owned(), Duration::from_secs(4));
        Load {
            address,
            connections,
            rate,
            operations,
            body_bytes: 120,
            patience,
            seed,
            front_protocol: FrontProtocol::default(),
            max_attempts: 1,
        }
    }

    /// Opens the connections and starts sending, until the load is stopped or abandoned.
    pub async fn start(&self) -> io::Result<RunningLoad> {
        let record = SharedLoadRecord::default();
        let mut writers = Vec::new();
        for _ in 0..self.connections {
            let stream = TcpStream::connect(&self.address).await?;
            let (sender, pending_writes) = unbounded_channel();
            let open: OpenInvocations = Rc::default();
            spawn_local(maintain_connection(
                stream,
                self.address.clone(),
                pending_writes,
                record.clone(),
                open.clone(),
            ));
            writers.push((sender, open));
        }
        let (load, shared) = (self.clone(), record.clone());
        let sending = spawn_local(async move { load.send(writers, shared).await });
        Ok(RunningLoad { record, sending })
    }

    async fn send(&self, writers: Vec<ConnectionWriter>, record: SharedLoadRecord) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let (mut next_at, mut number) = (Instant::now(), 0_u64);
        let (open_uwsgi, mut next_at_drawn) = (Rc::new(Cell::new(0_usize)), false);
        while !record.borrow().closing {
            if !std::mem::replace(&mut next_at_drawn, true) {
                next_at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / self.rate);
            }
            let retry = loop {
                let retry = record.borrow_mut().pending_retries.pop_front();
                if retry.is_some() || Instant::now() >= next_at || record.borrow().closing {
                    break retry;
                }
                // Answers may add retries at any time.
                let wake_at = if self.max_attempts > 1 {
                    next_at.min(Instant::now() + Duration::from_millis(5))
                } else {
                    next_at
                };
                sleep_until(wake_at).await;
            };
            if record.borrow().closing {
                break;
            }
            number += 1;
            let id = format!("{:016x}", number ^ self.seed.rotate_left(32));
            let index = rng.random_range(0..writers.len());
            let (writer, open) = &writers[index];
            let drawn = &self.operations[rng.random_range(0..self.operations.len())];
            next_at_drawn = retry.is_some(); // a retry does not delay the next new invocation
            let (operation, previous_attempts, first_attempt_id) =
                retry.unwrap_or_else(|| (drawn.clone(), 0, id.clone()));
            let operation = &operation;
            if self.max_attempts > 1 && previous_attempts == 0 {
                record
                    .borrow_mut()
                    .first_attempts
                    .insert(id.clone(), (Instant::now(), None));
            }
            let body: Vec<u8> = (0..self.body_bytes).map(|_| rng.random()).collect();
            let uwsgi = match self.front_protocol {
                FrontProtocol::FastCgi => false,
                FrontProtocol::Uwsgi => true,
                FrontProtocol::Both => rng.random(),
            };
            if uwsgi {
                let patience = self.patience.as_millis().to_string();
                let importance = format!("{:.4}", rng.random::<f64>().min(0.999));
                let changes = [
                    ("HTTP_X_CALL_ID", id.as_str()),
                    ("HTTP_X_PATIENCE_MS", &patience),
                    ("HTTP_X_IMPORTANCE", &importance),
                ];
                let bytes = uwsgi_invocation(operation, &body, &changes);
                record
                    .borrow_mut()
                    .sent
                    .insert(id.clone(), SentInvocation::new(operation, body));
                open_uwsgi.set(open_uwsgi.get() + 1);
                let (address, record, open_uwsgi, patience) = (
                    self.address.clone(),
                    record.clone(),
                    open_uwsgi.clone(),
                    self.patience,
                );
                spawn_local(async move {
                    let outcome = tokio::time::timeout(
                        patience + Duration::from_millis(500),
                        send_by_uwsgi(&address, &bytes),
                    )
                    .await;
                    record
                        .borrow_mut()
                        .record_uwsgi_outcome(&id, outcome.unwrap_or(UwsgiOutcome::NoAnswer));
                    open_uwsgi.set(open_uwsgi.get() - 1);
                });
                continue;
            }
            let Some(tag) = (1..=32).find(|tag| !open.borrow().contains_key(tag)) else {
                continue;
            };
            let patience = self.patience.as_millis().to_string();
            let importance = format!("{:.4}", rng.random::<f64>().min(0.999));
            let bytes = fastcgi_invocation(
                tag,
                operation,
                &body,
                &[
                    ("HTTP_X_CALL_ID", &id),
                    ("HTTP_X_PATIENCE_MS", &patience),
                    ("HTTP_X_IMPORTANCE", &importance),
                    (
                        "HTTP_X_REPEAT",
                        if previous_attempts > 0 { "1" } else { "0" },
                    ),
                ],
            );
            open.borrow_mut().insert(tag, id.clone());
            let attempts_left = self.max_attempts.saturating_sub(previous_attempts + 1);
            let sent = SentInvocation {
                attempt: previous_attempts + 1,
                attempts_left,
                first_attempt_id,
                ..SentInvocation::new(operation, body)
            };
            record.borrow_mut().sent.insert(id, sent);
            let _ = writer.send((tag, bytes));
        }
        // Open invocations must be answered within their patience.
        let deadline = Instant::now() + self.patience + Duration::from_secs(1);
        let any_open =
            || open_uwsgi.get() > 0 || writers.iter().any(|(_, open)| !open.borrow().is_empty());
        while Instant::now() < deadline && any_open() {
            sleep_until(Instant::now() + Duration::from_millis(5)).await;
        }
        record.borrow_mut().closing = true;
    }
}

/// Invocations waiting for an answer on one connection: tag and id.
type OpenInvocations = Rc<RefCell<HashMap<u16, String>>>;
/// Invocations to be written to a connection: tag and bytes.
type PendingWrites = UnboundedReceiver<(u16, Vec<u8>)>;
/// The sending side of one connection, and its open invocations.
type ConnectionWriter = (UnboundedSender<(u16, Vec<u8>)>, OpenInvocations);

/// A load that has been started.
pub struct RunningLoad {
    pub record: SharedLoadRecord,
    sending: tokio::task::JoinHandle<()>,
}

impl RunningLoad {
    /// Stops sending, without waiting for open invocations.
    pub fn abandon(self) {
        self.record.borrow_mut().closing = true;
    }

    /// Stops sending, and waits for the answers to open invocations.
    pub async fn stop(self) -> SharedLoadRecord {
        self.record.borrow_mut().closing = true;
        let _ = self.sending.await;
        self.record
    }
}

/// An invocation sent within this time before the backend closed the connection may be sent once more on a new connection.
const RESEND_WINDOW: Duration = Duration::from_millis(50);

/// Interval between checks for a requested restart of the edge node.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maintains one connection as an edge node does. After a close it reconnects, and resends invocations sent shortly before the
/// close ([`RESEND_WINDOW`]). If any other invocation was open, the connection counts as broken.
async fn maintain_connection(
    mut stream: TcpStream,
    address: String,
    mut pending_writes: PendingWrites,
    record: SharedLoadRecord,
    open: OpenInvocations,
) {
    let mut unanswered: HashMap<u16, (Instant, Vec<u8>)> = HashMap::new();
    let mut restarts = 0;
    loop {
        let _ = stream.set_nodelay(true);
        let (input, mut output) = stream.into_split();
        let resent: Vec<(u16, Vec<u8>)> = unanswered
            .drain()
            .map(|(tag, (_, bytes))| (tag, bytes))
            .collect();
        for (tag, bytes) in resent {
            unanswered.insert(tag, (Instant::now(), bytes.clone()));
            let _ = output.write_all(&bytes).await; // a closed connection is detected below
        }
        let mut reading = pin!(read_answers(input, record.clone(), open.clone()));
        loop {
            select! {
                () = &mut reading => break,
                () = sleep(RESTART_CHECK_INTERVAL) => {
                    let now = record.borrow().restarts;
                    if std::mem::replace(&mut restarts, now) != now {
                        unanswered.clear();
                        while pending_writes.try_recv().is_ok() {} // invocations not written yet are forgotten as well
                        for (_, id) in open.borrow_mut().drain() {
                            record.borrow_mut().sent.remove(&id);
                        }
                        break;
                    }
                }
                bytes = pending_writes.recv() => {
                    let Some((tag, bytes)) = bytes else { return reading.await };
                    let _ = output.write_all(&bytes).await; // a closed connection is detected below
                    unanswered.insert(tag, (Instant::now(), bytes));
                    if unanswered.len() > 32 {
                        unanswered.retain(|tag, _| open.borrow().contains_key(tag));
                    }
                }
            }
        }
        if record.borrow().closing && open.borrow().is_empty() {
            return;
        }
        unanswered.retain(|tag, _| open.borrow().contains_key(tag));
        if unanswered
            .values()
            .any(|(at, _)| at.elapsed() > RESEND_WINDOW)
        {
            record.borrow_mut().broken += 1;
            unanswered.clear();
        }
        // While no process listens, new invocations fail immediately.
        let mut refused = false;
        stream = loop {
            if let Ok(stream) = TcpStream::connect(&address).await {
                break stream;
            }
            let closing = record.borrow().closing;
            if !std::mem::replace(&mut refused, true) {
                record.borrow_mut().broken += 1;
            }
            let mark_unreachable = |tag: u16| {
                let id = open.borrow_mut().remove(&tag);
                let mut record = record.borrow_mut();
                if let Some(sent) = id.and_then(|id| record.sent.get_mut(&id)) {
                    sent.answers.push((Instant::now(), STATUS_UNREACHABLE));
                }
            };
            while let Ok((tag, _)) = pending_writes.try_recv() {
                unanswered.remove(&tag);
                mark_unreachable(tag);
            }
            if closing {
                // No process is left to resend the remaining invocations to.
                unanswered
                    .drain()
                    .for_each(|(tag, _)| mark_unreachable(tag));
                return;
            }
            sleep(Duration::from_millis(20)).await;
        };
    }
}

/// The status recorded for an invocation that could not be sent because no process was listening.
const STATUS_UNREACHABLE: u16 = 599;

/// Reads answers until the connection ends.
async fn read_answers(mut input: OwnedReadHalf, record: SharedLoadRecord, open: OpenInvocations) {
    let mut outs: HashMap<u16, Vec<u8>> = HashMap::new();
    let mut answered = false;
    loop {
        let mut head = [0; 8];
        let mut content = Vec::new();
        let read = async {
            input.read_exact(&mut head).await?;
            content.resize(
                usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]),
                0,
            );
            input.read_exact(&mut content).await
        };
        if read.await.is_err() {
            return;
        }
        let tag = u16::from_be_bytes([head[2], head[3]]);
        let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
        match head[1] {
            6 => outs.entry(tag).or_default().extend(&content[..length]),
            3 => {
                let out = outs.remove(&tag).unwrap_or_default();
                let status = if content.get(4) == Some(&0) {
                    status_of(&out)
                } else {
                    503
                };
                let mut record = record.borrow_mut();
                let Some(id) = open.borrow_mut().remove(&tag) else {
                    record.unmatched_answers += 1;
                    continue;
                };
                if !std::mem::replace(&mut answered, true) {
                    record.first_answers.push(Instant::now());
                }
                if let Some(sent) = record.sent.get_mut(&id) {
                    sent.record_answer(&id, status, &out);
                    let (first_attempt_id, retry) = (
                        sent.first_attempt_id.clone(),
                        (
                            sent.operation.clone(),
                            sent.attempt,
                            sent.first_attempt_id.clone(),
                        ),
                    );
                    if status == 200 {
                        record
                            .first_attempts
                            .entry(first_attempt_id)
                            .and_modify(|(_, served)| *served = Some(Instant::now()));
                    } else if sent.attempts_left > 0 {
                        record.pending_retries.push_back(retry);
                    }
                }
            }
            _ => {}
        }
    }
}

/// The outcome of an invocation by uwsgi.
enum UwsgiOutcome {
    /// No connection could be made, so nothing was received.
    Unreachable,
    /// The connection was closed or timed out before a complete answer.
    NoAnswer,
    Answer(u16, Vec<u8>),
}

/// Sends one invocation on a new connection and reads until the connection is closed.
async fn send_by_uwsgi(address: &str, bytes: &[u8]) -> UwsgiOutcome {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return UwsgiOutcome::Unreachable;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(bytes).await.is_err() {
        return UwsgiOutcome::NoAnswer;
    }
    let mut out = Vec::new();
    if stream.read_to_end(&mut out).await.is_err() {
        return UwsgiOutcome::NoAnswer;
    }
    let text = String::from_utf8_lossy(&out[..out.len().min(1024)]).into_owned();
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let status = text
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3)?.parse().ok());
    let length = field("Content-Length: ").and_then(|length| length.parse::<usize>().ok());
    let body = out
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| out.len() - at - 4);
    match status {
        Some(status) if body.is_some() && body == length => UwsgiOutcome::Answer(status, out),
        _ => UwsgiOutcome::NoAnswer,
    }
}

impl SentInvocation {
    fn new(operation: &str, body: Vec<u8>) -> SentInvocation {
        SentInvocation {
            sent_at: Instant::now(),
            operation: operation.to_owned(),
            answers: Vec::new(),
            body,
            attempt: 1,
            attempts_left: 0,
            first_attempt_id: String::new(),
            answered_without_call: false,
            partial: None,
            spoilt: false,
        }
    }

    /// Records an answer, given as head and body.
    fn record_answer(&mut self, id: &str, status: u16, out: &[u8]) {
        let sent = self;
        let body = out
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .map(|at| &out[at + 4..]);
        let expected = run_result(id, &sent.body);
        sent.spoilt |= status == 200 && !body.is_some_and(|body| body.starts_with(&expected));
        sent.answered_without_call |= body.is_some_and(|body| body.ends_with(b", poorer"));
        let text = String::from_utf8_lossy(&out[..out.len().min(1024)]).into_owned();
        sent.partial = text
            .lines()
            .find_map(|line| line.strip_prefix("X-Partial: "))
            .map(str::to_owned);
        sent.answers.push((Instant::now(), status));
    }
}

fn status_of(out: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(&out[..out.len().min(20)]).into_owned();
    text.strip_prefix("Status: ")
        .and_then(|rest| rest.get(..3)?.parse().ok())
        .unwrap_or(0)
}

impl LoadRecord {
    fn record_uwsgi_outcome(&mut self, id: &str, outcome: UwsgiOutcome) {
        let Some(sent) = self.sent.get_mut(id) else {
            return;
        };
        match outcome {
            UwsgiOutcome::Unreachable => sent.answers.push((Instant::now(), STATUS_UNREACHABLE)),
            UwsgiOutcome::NoAnswer => {}
            UwsgiOutcome::Answer(status, out) => sent.record_answer(id, status, &out),
        }
    }

    /// Stops sending further invocations.
    pub fn stop_sending(&mut self) {
        self.closing = true;
    }

    /// Compares everything that was sent with the answers and with the runs and calls that the fakes recorded.
    pub fn check(&self, records: &Records, patience: Duration) -> Verdict {
        let mut verdict = Verdict {
            broken: self.broken,
            ..Verdict::default()
        };
        verdict.wrong_feeds = records.wrong_feeds.into();
        verdict.doubled += self.unmatched_answers;
        for (id, sent) in &self.sent {
            verdict.sent += 1;
            verdict.doubled += (sent.answers.len() as u64).saturating_sub(1);
            verdict.spoilt += u64::from(sent.spoilt);
            let ran_twice = records.runs.get(id).is_some_and(|runs| *runs > 1);
            verdict.run_twice += u64::from(ran_twice && !self.resent_after_kill(sent));
            verdict.called_twice +=
                u64::from(records.calls.get(id).is_some_and(|calls| *calls > 1));
            match sent.answers.first() {
                // Answers may take 50 ms longer on the socket.
                Some((at, _)) if *at > sent.sent_at + patience + Duration::from_millis(50) => {
                    verdict.lost += 1
                }
                None if self.held_by_killed(sent, patience) => verdict.held_by_killed += 1,
                None => verdict.lost += 1,
                Some((_, 200)) => verdict.served += 1,
                Some((_, 429 | 503)) => verdict.refused += 1,
                Some(_) => verdict.failed += 1,
            }
        }
        verdict
    }

    /// Whether an instance was killed while it may have held this invocation: after it was sent, or shortly before.
    fn held_by_killed(&self, sent: &SentInvocation, patience: Duration) -> bool {
        self.killed_at
            .iter()
            .any(|at| sent.sent_at <= *at + RESEND_WINDOW && *at <= sent.sent_at + patience)
    }

    /// Whether its edge node may have resent it because an instance was killed at that time, in which case no process knows
    /// whether it ran before.
    fn resent_after_kill(&self, sent: &SentInvocation) -> bool {
        self.killed_at
            .iter()
            .any(|at| sent.sent_at <= *at + RESEND_WINDOW && *at <= sent.sent_at + RESEND_WINDOW)
    }

    /// Latencies of served answers in microseconds, of invocations in flight at any time between `from` and `until`.
    pub fn latencies(&self, from: Instant, until: Instant) -> Histogram<u64> {
        let mut histogram =
            Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("bounds"));
        for sent in self.sent.values() {
            if let Some((at, 200)) = sent.answers.first()
                && sent.sent_at <= until
                && *at >= from
            {
                histogram.saturating_record((*at - sent.sent_at).as_micros() as u64);
            }
        }
        histogram
    }
}
