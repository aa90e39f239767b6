//! The engine's link: held open, taken up again where it breaks, with the last notice that was
//! read.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use merlinshelf_handover::{Flow, Key, Role, records};
use merlinshelf_protocol::Fault;
use merlinshelf_protocol::engine::{self, EngineNotification};
use rustix::net::{Shutdown, shutdown};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{Instant, sleep, sleep_until};

use super::{PeersReceiver, connect, unreadable};
use crate::exchange::{Command, Shared, StoppedPart, monotonic, pass};
use crate::fault;
use crate::ring::{IoProgress, Ring};

/// From one attempt at a link to the next: one that stood for longer is replaced at once, since the
/// cores run dry meanwhile.
const PAUSE: Duration = Duration::from_millis(50);
/// Between two questions for the gauges: a little less than the module's beat of 10 ms, so that
/// mostly the answer brings the beat and the timer need not.
const ASK_EVERY: Duration = Duration::from_millis(8);
/// A link on which a question or a later ATTACH stays unanswered for so long is dead and is
/// replaced.
const SILENT_MOST: Duration = Duration::from_secs(3);
/// Two words on when the engine was started that lie no further apart mean the same start.
const SAME_START: Duration = Duration::from_secs(1);
/// With more than this unsent, commands wait in the exchange.
const UNSENT_MOST: usize = 256 * 1024;

/// What outlives a link.
struct Engine {
    exchange: Shared,
    /// The number of the last notice that was read.
    last: u64,
    /// Sent and not known to have been read: with each, how much had been heard of its invocation,
    /// and the tag of the next question, whose answer proves that it was read.
    unsure: VecDeque<(u64, Command, u64)>,
    tag: u64,
    /// Whether the next link offers that calls may name their dependency: an engine that does not
    /// know of it closes such a link.
    offer: bool,
    /// When the engine was started, as it said.
    born: Option<Instant>,
}

/// One link.
struct Link {
    socket: TcpStream,
    /// Its number among all connections, also of processes before this one.
    stream: u64,
    address: SocketAddr,
    coming: Ring,
    going: Ring,
    hello: bool,
    /// All notices that the last link missed have been read.
    caught_up: bool,
    /// Calls may name their dependency.
    names: bool,
    asked: Option<Instant>,
    ask_at: Instant,
}

/// A link that another process has held, as it left it; without its connection where that was down.
pub type ResumedEngineConnection = (records::EngineConnectionRecord, Option<TcpStream>);

/// Holds the link until everything is to stop where it stands; goes on with one that another
/// process has held.
pub async fn maintain_connection(
    mut peers: PeersReceiver,
    exchange: Shared,
    resumed: Rc<RefCell<Option<ResumedEngineConnection>>>,
) {
    let mut freezing = exchange.borrow().freeze_notice();
    let offer = exchange.borrow().names_dependencies();
    let mut engine = Engine {
        exchange,
        last: 0,
        unsure: VecDeque::new(),
        tag: 0,
        offer,
        born: None,
    };
    let mut link = resumed.take().and_then(|resumed| engine.resume(resumed));
    let mut next = None;
    loop {
        let began = Instant::now();
        let address = peers.borrow_and_update().engine;
        let connected = match (link.take(), next.take()) {
            (Some(link), _) => Ok(link),
            (None, Some((socket, address))) => engine.attach(socket, address).await,
            (None, None) => select! {
                socket = connect(address) => match socket {
                    Ok(socket) => engine.attach(socket, address).await,
                    Err(error) => Err(error),
                },
                Ok(_) = freezing.wait_for(|frozen| *frozen) => return engine.deposit(None),
            },
        };
        match connected {
            Ok(mut link) => {
                // The old link serves on until the new one stands, which takes its place.
                let address = link.address;
                let ended = {
                    let (run, moved) = (
                        pin!(engine.run(&mut link)),
                        pin!(moved(&mut peers, address)),
                    );
                    select! {
                        biased;
                        Ok(_) = freezing.wait_for(|frozen| *frozen) => End::FrozenInstance,
                        reason = run => End::Broken(reason.err().unwrap_or(io::ErrorKind::UnexpectedEof.into())),
                        link = moved => { next = Some(link); End::IoProgress }
                    }
                };
                match ended {
                    End::FrozenInstance => return engine.deposit(Some(link)),
                    End::Broken(reason) => {
                        warn!(
                            "the engine's link broke after notice {}: {reason}",
                            engine.last
                        );
                        engine.offer = engine.exchange.borrow().names_dependencies()
                            && (link.hello || !engine.offer);
                    }
                    End::IoProgress => {
                        info!("the engine's link moves after notice {}", engine.last)
                    }
                }
                engine.close(&link);
            }
            Err(error) => debug!("no link to the engine: {error}"),
        }
        if next.is_none() {
            select! {
                () = sleep_until(began + PAUSE) => {}
                Ok(_) = freezing.wait_for(|frozen| *frozen) => return engine.deposit(None),
            }
        }
    }
}

/// Why a link is served no longer.
enum End {
    FrozenInstance,
    Broken(io::Error),
    IoProgress,
}

/// Waits until the engine is at another address, and for a connection to it.
async fn moved(peers: &mut PeersReceiver, from: SocketAddr) -> (TcpStream, SocketAddr) {
    loop {
        let address = peers.borrow_and_update().engine;
        if address == from {
            if peers.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            continue;
        }
        match connect(address).await {
            Ok(socket) => return (socket, address),
            Err(error) => debug!("no link to the engine's new address yet: {error}"),
        }
        sleep(PAUSE).await;
    }
}

impl Engine {
    /// A new link on a connection, known to a predecessor that watches before anything goes over
    /// it.
    async fn attach(&mut self, socket: TcpStream, address: SocketAddr) -> io::Result<Link> {
        let stream = {
            let mut exchange = self.exchange.borrow_mut();
            exchange.counters.engine_links += 1;
            exchange.next_stream()
        };
        pass(&self.exchange, Role::EngineConnection(stream), &socket).await?;
        let now = Instant::now();
        let (coming, going) = (Ring::default(), Ring::default());
        // The first HELLO waits for the engine to be up; any later one is a question's answer like
        // another.
        let asked = self.born.map(|_| now);
        let (hello, caught_up, ask_at) = (false, false, now);
        let names = false;
        let mut link = Link {
            socket,
            stream,
            address,
            coming,
            going,
            hello,
            caught_up,
            names,
            asked,
            ask_at,
        };
        let offered = self.offer.then_some(engine::NAMES_EXTENSION);
        engine::write_attach(&mut link.going, self.last, offered);
        Ok(link)
    }

    /// Goes on where another process stood.
    fn resume(&mut self, (record, socket): ResumedEngineConnection) -> Option<Link> {
        let now = Instant::now();
        (self.last, self.tag) = (record.last_notification, record.last_request_tag);
        let age = |born: f64| Duration::from_secs_f64((monotonic() - born).clamp(0.0, 1e6));
        self.born = record
            .engine_started_at
            .and_then(|born| now.checked_sub(age(born)));
        // The next question's answer proves that they were read, if the link holds; else its break
        // says what to do.
        let proof = self.tag + 1;
        let inherited = self.exchange.borrow_mut().take_inherited_commands();
        self.unsure = inherited
            .into_iter()
            .map(|(command, heard)| (proof, command, heard))
            .collect();
        let (socket, stream, address) = (socket?, record.stream?, record.address.parse().ok()?);
        let Flow {
            read_bytes: taken,
            written_bytes: given,
            read_buffer: coming,
            write_buffer: going,
        } = record.flow;
        Some(Link {
            socket,
            stream,
            address,
            coming: Ring::restore(coming, taken),
            going: Ring::restore(going, given),
            hello: record.is_greeted,
            caught_up: record.is_caught_up,
            names: record.names_dependencies,
            asked: record.is_request_pending.then_some(now),
            ask_at: now,
        })
    }

    fn record(&self, link: Option<&Link>) -> records::EngineConnectionRecord {
        let now = Instant::now();
        let flow = |link: &Link| Flow {
            read_bytes: link.coming.transferred_bytes(),
            written_bytes: link.going.transferred_bytes(),
            read_buffer: link.coming.to_vec(),
            write_buffer: link.going.to_vec(),
        };
        records::EngineConnectionRecord {
            stream: link.map(|link| link.stream),
            address: link
                .map(|link| link.address.to_string())
                .unwrap_or_default(),
            last_notification: self.last,
            last_request_tag: self.tag,
            is_request_pending: link.is_some_and(|link| link.asked.is_some()),
            is_greeted: link.is_some_and(|link| link.hello),
            is_caught_up: link.is_some_and(|link| link.caught_up),
            names_dependencies: link.is_some_and(|link| link.names),
            engine_started_at: self
                .born
                .map(|born| monotonic() - now.saturating_duration_since(born).as_secs_f64()),
            flow: link.map(flow).unwrap_or_default(),
        }
    }

    /// Notes how it stands, where a predecessor watches: before anything of it shows.
    fn secure(&self, link: Option<&Link>) {
        let mut exchange = self.exchange.borrow_mut();
        if exchange.is_journaling() {
            exchange.journal_record(Key::EngineConnection, &self.record(link));
            exchange.write_journal();
        }
    }

    /// Hands the link in, to be carried on elsewhere.
    fn deposit(&self, link: Option<Link>) {
        let record = self.record(link.as_ref());
        let socket = link.and_then(|link| link.socket.into_std().ok());
        self.exchange
            .borrow_mut()
            .add_stopped_part(StoppedPart::Engine(record, socket));
    }

    /// A link that is served no longer is closed also where a predecessor has a copy.
    fn close(&self, link: &Link) {
        self.secure(None);
        if self.exchange.borrow().is_journaling() {
            let _ = shutdown(&link.socket, Shutdown::Both);
        }
    }

    async fn run(&mut self, link: &mut Link) -> io::Result<()> {
        let wake = self.exchange.borrow().commands_waker();
        loop {
            self.send_commands(link);
            if !link.going.is_empty() {
                self.secure(Some(link));
            }
            let blocked = link.going.drain(&link.socket)? == IoProgress::Blocked;
            fault::injection_point("link.written");
            let interest = if blocked {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            let next = link.asked.map_or(link.ask_at, |asked| asked + SILENT_MOST);
            select! {
                biased;
                ready = link.socket.ready(interest) => { ready?; }
                () = wake.notified() => {}
                () = sleep_until(next), if link.hello || link.asked.is_some() => {}
            }
            let noted = self.exchange.borrow().is_journaling();
            let fill = if noted { Ring::peek } else { Ring::fill };
            let came = fill(&mut link.coming, &link.socket)?;
            if came == IoProgress::Closed {
                return Ok(());
            }
            self.take_in(link)?;
            if noted && came == IoProgress::Advanced {
                self.secure(Some(link));
                fault::injection_point("link.noted");
                link.coming.discard_peeked(&link.socket)?;
            }
            self.ask(link)?;
        }
    }

    /// Asks for the gauges, steadily, one question at a time.
    fn ask(&mut self, link: &mut Link) -> io::Result<()> {
        let now = Instant::now();
        match link.asked {
            Some(asked) if now >= asked + SILENT_MOST => {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "it is silent"));
            }
            None if link.hello && now >= link.ask_at => {
                self.tag += 1;
                engine::write_stat(&mut link.going, self.tag);
                (link.asked, link.ask_at) = (Some(now), now + ASK_EVERY);
            }
            _ => {}
        }
        Ok(())
    }

    fn send_commands(&mut self, link: &mut Link) {
        while link.caught_up && link.going.len() <= UNSENT_MOST {
            let Some((command, heard)) = self.exchange.borrow_mut().next_command() else {
                break;
            };
            match &command {
                Command::Run {
                    id,
                    operation,
                    body,
                } => engine::write_run(&mut link.going, *id, operation, body),
                Command::Feed { id, reply } => engine::write_feed(&mut link.going, *id, reply),
                Command::Skip { id, need } => engine::write_skip(&mut link.going, *id, *need),
            }
            self.unsure.push_back((self.tag + 1, command, heard));
        }
    }

    fn take_in(&mut self, link: &mut Link) -> io::Result<()> {
        let mut coming = std::mem::take(&mut link.coming);
        let result = coming.read(|bytes| match engine::read_notification(bytes) {
            Ok(None) => Ok(0),
            // What was not agreed is not read as something else.
            Ok(Some((EngineNotification::Need { named: Some(_), .. }, _))) if !link.names => {
                Err(unreadable(Fault("a name that was not agreed"), bytes))
            }
            Ok(Some((notice, count))) => {
                self.notice(link, &notice);
                Ok(count)
            }
            Err(fault) => Err(unreadable(fault, bytes)),
        });
        link.coming = coming;
        result
    }

    fn notice(&mut self, link: &mut Link, notice: &EngineNotification) {
        // A remark's number is nobody's business: were it ahead of the next notice's, that one
        // would be lost.
        if let Some(number) = notice.number() {
            if number <= self.last {
                self.exchange.borrow_mut().counters.repeated += 1;
                return;
            }
            self.last = number;
        }
        let mut exchange = self.exchange.borrow_mut();
        match *notice {
            EngineNotification::Hello { warm, up_ms, names } => {
                link.names = names && self.offer;
                info!(
                    "the engine is up, {} for {up_ms} ms",
                    if warm { "warm" } else { "cold" }
                );
                (link.hello, link.asked) = (true, None);
                let up = Duration::from_secs_f64((up_ms / 1e3).clamp(0.0, 1e6));
                let born = Instant::now().checked_sub(up);
                let anew = match (self.born, born) {
                    (Some(before), Some(now)) => now > before + SAME_START,
                    _ => false,
                };
                if anew {
                    warn!("this is another engine than before; what ran there is gone");
                    (self.last, self.born) = (0, born);
                    self.unsure.clear();
                }
                self.born = self.born.or(born);
                exchange.engine_up(warm, up.as_secs_f64(), anew);
            }
            EngineNotification::Done {
                id,
                end,
                took_ms,
                result,
                ..
            } => exchange.run_ended(id, end, took_ms / 1e3, result),
            EngineNotification::Need {
                number,
                id,
                named,
                body,
            } => {
                let named = named.and_then(|name| std::str::from_utf8(name).ok());
                exchange.call_requested(id, number, named, body);
            }
            EngineNotification::No { what } => match engine::parse_rejected_command(what) {
                Some((word, id)) => exchange.command_refused(word, id),
                None => warn!("the engine refused {}", what.escape_ascii()),
            },
            EngineNotification::Note { text, .. } => {
                info!("the engine notes: {}", text.escape_ascii())
            }
            EngineNotification::Stats { tag, ref gauges } => {
                let age = link
                    .asked
                    .take()
                    .map_or(Duration::MAX, |asked| asked.elapsed());
                exchange.gauges_received(gauges, age);
                drop(exchange);
                self.answered(link, tag);
            }
        }
    }

    /// The question of that tag was answered: all that was sent before it has been read. The first
    /// answer on a link also ends the replay; what was sent on the last one and is still unsure may
    /// have been lost.
    fn answered(&mut self, link: &mut Link, tag: u64) {
        if link.caught_up {
            while self.unsure.front().is_some_and(|(proof, ..)| *proof <= tag) {
                if let Some((_, command, heard)) = self.unsure.pop_front() {
                    self.exchange
                        .borrow_mut()
                        .command_acknowledged(&command, heard);
                }
            }
            return;
        }
        link.caught_up = true;
        for (_, command, heard) in std::mem::take(&mut self.unsure) {
            self.exchange.borrow_mut().command_lost(command, heard);
        }
    }
}
