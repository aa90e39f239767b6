//! Edge nodes under load: kept connections that send invocations at a rate, and the checker of what comes back.

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

/// What the edge nodes send.
#[derive(Clone, Debug)]
pub struct Load {
    pub address: String,
    pub connections: usize,
    /// Invocations a second on all connections together.
    pub rate: f64,
    /// Operations, in equal shares.
    pub operations: Vec<String>,
    pub body_bytes: usize,
    pub patience: Duration,
    pub seed: u64,
    pub front_protocol: FrontProtocol,
    /// How often an invocation is sent at the most: what is not served is sent again at once, and heeds nothing.
    pub max_attempts: u32,
}

/// What callers speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrontProtocol {
    #[default]
    FastCgi,
    /// With a connection for each invocation.
    Uwsgi,
    /// The one or the other, by chance.
    Both,
}

/// One invocation, as its edge node saw it.
#[derive(Clone, Debug)]
pub struct SentInvocation {
    pub sent_at: Instant,
    pub operation: String,
    /// When each answer came, and its status.
    pub answers: Vec<(Instant, u16)>,
    body: Vec<u8>,
    /// How often it was sent with this, and the id of its first try.
    attempt: u32,
    /// And how often it may be still.
    attempts_left: u32,
    first_attempt_id: String,
    /// Served without the call that its run wanted to make.
    pub answered_without_call: bool,
    /// The parts that a served answer says it is without.
    pub partial: Option<String>,
    /// A served answer that is none that the run of this invocation made.
    spoilt: bool,
}

/// All that was sent and answered.
#[derive(Debug, Default)]
pub struct LoadRecord {
    pub sent: HashMap<String, SentInvocation>,
    /// Connections that ended though nobody wanted it.
    pub broken: u64,
    /// Answers to nothing that was open.
    pub unmatched_answers: u64,
    /// When the instance was killed outright.
    pub killed_at: Vec<Instant>,
    /// How often the edge node was started anew: it forgets what it waits for, and connects again at once.
    pub restarts: u64,
    /// When the first answer came on each connection.
    pub first_answers: Vec<Instant>,
    /// By the id of its first try: when an invocation was first sent, and when it was served.
    pub first_attempts: HashMap<String, (Instant, Option<Instant>)>,
    /// Further tries to be sent: the operation, how often it was sent, and the id of the first one.
    pending_retries: VecDeque<(String, u32, String)>,
    closing: bool,
}

pub type SharedLoadRecord = Rc<RefCell<LoadRecord>>;

/// What the checker says of a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    pub sent: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// No answer, or none in time.
    pub lost: u64,
    /// No answer, held by an instance when it was killed outright: no longer its duty.
    pub held_by_killed: u64,
    pub doubled: u64,
    /// Served with what no run made of it.
    pub spoilt: u64,
    pub run_twice: u64,
    /// Invocations for which more than one call reached the catalogue; no rule for those that may be repeated.
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
    /// The load of the trials: all operations of the example alike, two thirds of which call below.
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

    /// Opens the connections and sends until told to stop; then waits for what is open.
    pub async fn start(&self) -> io::Result<RunningLoad> {
        let seen = SharedLoadRecord::default();
        let mut writers = Vec::new();
        for _ in 0..self.connections {
            let stream = TcpStream::connect(&self.address).await?;
            let (sender, going) = unbounded_channel();
            let open: OpenInvocations = Rc::default();
            spawn_local(maintain_connection(
                stream,
                self.address.clone(),
                going,
                seen.clone(),
                open.clone(),
            ));
            writers.push((sender, open));
        }
        let (load, shared) = (self.clone(), seen.clone());
        let sending = spawn_local(async move { load.send(writers, shared).await });
        Ok(RunningLoad {
            record: seen,
            sending,
        })
    }

    async fn send(&self, writers: Vec<ConnectionWriter>, seen: SharedLoadRecord) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let (mut at, mut number) = (Instant::now(), 0_u64);
        let (asking, mut drawn_at) = (Rc::new(Cell::new(0_usize)), false);
        while !seen.borrow().closing {
            if !std::mem::replace(&mut drawn_at, true) {
                at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / self.rate);
            }
            let again = loop {
                let again = seen.borrow_mut().pending_retries.pop_front();
                if again.is_some() || Instant::now() >= at || seen.borrow().closing {
                    break again;
                }
                // Further tries come whenever answers do.
                let soon = if self.max_attempts > 1 {
                    at.min(Instant::now() + Duration::from_millis(5))
                } else {
                    at
                };
                sleep_until(soon).await;
            };
            if seen.borrow().closing {
                break;
            }
            number += 1;
            let id = format!("{:016x}", number ^ self.seed.rotate_left(32));
            let place = rng.random_range(0..writers.len());
            let (writer, open) = &writers[place];
            let drawn = &self.operations[rng.random_range(0..self.operations.len())];
            drawn_at = again.is_some(); // a further try puts off no new one
            let (operation, tries, wish) = again.unwrap_or_else(|| (drawn.clone(), 0, id.clone()));
            let operation = &operation;
            if self.max_attempts > 1 && tries == 0 {
                seen.borrow_mut()
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
                let rank = format!("{:.4}", rng.random::<f64>().min(0.999));
                let changes = [
                    ("HTTP_X_CALL_ID", id.as_str()),
                    ("HTTP_X_PATIENCE_MS", &patience),
                    ("HTTP_X_IMPORTANCE", &rank),
                ];
                let bytes = uwsgi_invocation(operation, &body, &changes);
                seen.borrow_mut()
                    .sent
                    .insert(id.clone(), SentInvocation::new(operation, body));
                asking.set(asking.get() + 1);
                let (address, seen, asking, most) = (
                    self.address.clone(),
                    seen.clone(),
                    asking.clone(),
                    self.patience,
                );
                spawn_local(async move {
                    let asked = tokio::time::timeout(
                        most + Duration::from_millis(500),
                        by_uwsgi(&address, &bytes),
                    )
                    .await;
                    seen.borrow_mut()
                        .by_uwsgi(&id, asked.unwrap_or(Came::Nothing));
                    asking.set(asking.get() - 1);
                });
                continue;
            }
            let Some(tag) = (1..=32).find(|tag| !open.borrow().contains_key(tag)) else {
                continue;
            };
            let patience = self.patience.as_millis().to_string();
            let rank = format!("{:.4}", rng.random::<f64>().min(0.999));
            let bytes = fastcgi_invocation(
                tag,
                operation,
                &body,
                &[
                    ("HTTP_X_CALL_ID", &id),
                    ("HTTP_X_PATIENCE_MS", &patience),
                    ("HTTP_X_IMPORTANCE", &rank),
                    ("HTTP_X_REPEAT", if tries > 0 { "1" } else { "0" }),
                ],
            );
            open.borrow_mut().insert(tag, id.clone());
            let left = self.max_attempts.saturating_sub(tries + 1);
            let sent = SentInvocation {
                attempt: tries + 1,
                attempts_left: left,
                first_attempt_id: wish,
                ..SentInvocation::new(operation, body)
            };
            seen.borrow_mut().sent.insert(id, sent);
            let _ = writer.send((tag, bytes));
        }
        // Whatever is open must be answered by its patience.
        let until = Instant::now() + self.patience + Duration::from_secs(1);
        let waits =
            || asking.get() > 0 || writers.iter().any(|(_, open)| !open.borrow().is_empty());
        while Instant::now() < until && waits() {
            sleep_until(Instant::now() + Duration::from_millis(5)).await;
        }
        seen.borrow_mut().closing = true;
    }
}

/// Invocations that wait for an answer on one connection: tag and id.
type OpenInvocations = Rc<RefCell<HashMap<u16, String>>>;
/// Invocations to be written: tag and bytes.
type PendingWrites = UnboundedReceiver<(u16, Vec<u8>)>;
/// Where one connection's invocations are written, and what is open there.
type ConnectionWriter = (UnboundedSender<(u16, Vec<u8>)>, OpenInvocations);

pub struct RunningLoad {
    pub record: SharedLoadRecord,
    sending: tokio::task::JoinHandle<()>,
}

impl RunningLoad {
    /// Stops sending, and lets what is open be.
    pub fn abandon(self) {
        self.record.borrow_mut().closing = true;
    }

    /// Stops sending and waits for the answers to what is open.
    pub async fn stop(self) -> SharedLoadRecord {
        self.record.borrow_mut().closing = true;
        let _ = self.sending.await;
        self.record
    }
}

/// What was sent within this before a backend closed the connection may be sent once more, on a new one.
const RESEND_WINDOW: Duration = Duration::from_millis(50);

/// Between two looks whether the edge node is to be started anew.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Keeps one connection, as an edge node does: closed with nothing open on it, it is opened anew; what crossed the close
/// is sent once more. Closed with anything else open, it was broken.
async fn maintain_connection(
    mut stream: TcpStream,
    address: String,
    mut going: PendingWrites,
    seen: SharedLoadRecord,
    open: OpenInvocations,
) {
    let mut kept: HashMap<u16, (Instant, Vec<u8>)> = HashMap::new();
    let mut restarts = 0;
    loop {
        let _ = stream.set_nodelay(true);
        let (input, mut output) = stream.into_split();
        let again: Vec<(u16, Vec<u8>)> =
            kept.drain().map(|(tag, (_, bytes))| (tag, bytes)).collect();
        for (tag, bytes) in again {
            kept.insert(tag, (Instant::now(), bytes.clone()));
            let _ = output.write_all(&bytes).await; // its end is seen below
        }
        let mut reading = pin!(read_answers(input, seen.clone(), open.clone()));
        loop {
            select! {
                () = &mut reading => break,
                () = sleep(RESTART_CHECK_INTERVAL) => {
                    let now = seen.borrow().restarts;
                    if std::mem::replace(&mut restarts, now) != now {
                        kept.clear();
                        while going.try_recv().is_ok() {} // what it was about to send is forgotten as well
                        for (_, id) in open.borrow_mut().drain() {
                            seen.borrow_mut().sent.remove(&id);
                        }
                        break;
                    }
                }
                bytes = going.recv() => {
                    let Some((tag, bytes)) = bytes else { return reading.await };
                    let _ = output.write_all(&bytes).await; // its end is seen below
                    kept.insert(tag, (Instant::now(), bytes));
                    if kept.len() > 32 {
                        kept.retain(|tag, _| open.borrow().contains_key(tag));
                    }
                }
            }
        }
        if seen.borrow().closing && open.borrow().is_empty() {
            return;
        }
        kept.retain(|tag, _| open.borrow().contains_key(tag));
        if kept.values().any(|(at, _)| at.elapsed() > RESEND_WINDOW) {
            seen.borrow_mut().broken += 1;
            kept.clear();
        }
        // Where nobody listens for a while, what is asked for meanwhile fails at once.
        let mut refused = false;
        stream = loop {
            if let Ok(stream) = TcpStream::connect(&address).await {
                break stream;
            }
            let closing = seen.borrow().closing;
            if !std::mem::replace(&mut refused, true) {
                seen.borrow_mut().broken += 1;
            }
            let nobody = |tag: u16| {
                let id = open.borrow_mut().remove(&tag);
                let mut seen = seen.borrow_mut();
                if let Some(sent) = id.and_then(|id| seen.sent.get_mut(&id)) {
                    sent.answers.push((Instant::now(), STATUS_UNREACHABLE));
                }
            };
            while let Ok((tag, _)) = going.try_recv() {
                kept.remove(&tag);
                nobody(tag);
            }
            if closing {
                // What crossed the close finds nobody any more.
                kept.drain().for_each(|(tag, _)| nobody(tag));
                return;
            }
            sleep(Duration::from_millis(20)).await;
        };
    }
}

/// The status of what found nobody to ask.
const STATUS_UNREACHABLE: u16 = 599;

/// Reads answers until the connection ends.
async fn read_answers(mut input: OwnedReadHalf, seen: SharedLoadRecord, open: OpenInvocations) {
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
                let mut seen = seen.borrow_mut();
                let Some(id) = open.borrow_mut().remove(&tag) else {
                    seen.unmatched_answers += 1;
                    continue;
                };
                if !std::mem::replace(&mut answered, true) {
                    seen.first_answers.push(Instant::now());
                }
                if let Some(sent) = seen.sent.get_mut(&id) {
                    sent.record_answer(&id, status, &out);
                    let (wish, again) = (
                        sent.first_attempt_id.clone(),
                        (
                            sent.operation.clone(),
                            sent.attempt,
                            sent.first_attempt_id.clone(),
                        ),
                    );
                    if status == 200 {
                        seen.first_attempts
                            .entry(wish)
                            .and_modify(|(_, served)| *served = Some(Instant::now()));
                    } else if sent.attempts_left > 0 {
                        seen.pending_retries.push_back(again);
                    }
                }
            }
            _ => {}
        }
    }
}

/// What came of an invocation by uwsgi.
enum Came {
    /// Nobody was there: nothing of it was read.
    Nobody,
    /// The connection ended or stood still without a whole answer.
    Nothing,
    Answer(u16, Vec<u8>),
}

/// One invocation on a connection of its own, to its end.
async fn by_uwsgi(address: &str, bytes: &[u8]) -> Came {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return Came::Nobody;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(bytes).await.is_err() {
        return Came::Nothing;
    }
    let mut out = Vec::new();
    if stream.read_to_end(&mut out).await.is_err() {
        return Came::Nothing;
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
        Some(status) if body.is_some() && body == length => Came::Answer(status, out),
        _ => Came::Nothing,
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

    /// An answer has come: head and body.
    fn record_answer(&mut self, id: &str, status: u16, out: &[u8]) {
        let sent = self;
        let body = out
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .map(|at| &out[at + 4..]);
        let made = run_result(id, &sent.body);
        sent.spoilt |= status == 200 && !body.is_some_and(|body| body.starts_with(&made));
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
    fn by_uwsgi(&mut self, id: &str, came: Came) {
        let Some(sent) = self.sent.get_mut(id) else {
            return;
        };
        match came {
            Came::Nobody => sent.answers.push((Instant::now(), STATUS_UNREACHABLE)),
            Came::Nothing => {}
            Came::Answer(status, out) => sent.record_answer(id, status, &out),
        }
    }

    /// Nothing further is sent.
    pub fn stop(&mut self) {
        self.closing = true;
    }

    /// Holds all that was sent against what came back and what ran.
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
            let twice = records.runs.get(id).is_some_and(|runs| *runs > 1);
            verdict.run_twice += u64::from(twice && !self.crossed_a_kill(sent));
            verdict.called_twice +=
                u64::from(records.calls.get(id).is_some_and(|calls| *calls > 1));
            match sent.answers.first() {
                // The rules on sockets give 50 ms more.
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

    /// Whether an instance was killed while it may have held this: sent before that, or crossing it.
    fn held_by_killed(&self, sent: &SentInvocation, patience: Duration) -> bool {
        self.killed_at
            .iter()
            .any(|at| sent.sent_at <= *at + RESEND_WINDOW && *at <= sent.sent_at + patience)
    }

    /// Whether its edge node may have sent it again because an instance was killed outright just then: what ran of it before is
    /// known to nobody.
    fn crossed_a_kill(&self, sent: &SentInvocation) -> bool {
        self.killed_at
            .iter()
            .any(|at| sent.sent_at <= *at + RESEND_WINDOW && *at <= sent.sent_at + RESEND_WINDOW)
    }

    /// How long served answers took that were asked for or came in this time, in microseconds.
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
