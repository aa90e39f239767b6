//! One instance as it runs: the exchange and the parts round it, from their start or from where another process left
//! them, until they end or are frozen to be carried on elsewhere.

use std::cell::RefCell;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::{Rc, Weak};
use std::time::Duration;

use log::{error, warn};
use merlinshelf_admission::LearnedState;
use merlinshelf_handover::{Image, Key, Reconciliation, Role, Transaction, records};
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::client;
use crate::config::{Config, Peers};
use crate::exchange::{ConnectionHandle, Exchange, OpenedConnection, PassedDescriptors, Shared};
use crate::journal::Journal;
use crate::ring::discard;
use crate::routing;
use crate::server::{self, Listening, Server};
use crate::upgrade::kernel;

/// Of the time until the process is killed: from the first on new connections are refused and idle ones
/// closed; by the second the module has answered all, which leaves time to get it out; then it ends.
const REFUSE_BEFORE: Duration = Duration::from_millis(350);
const ANSWER_BEFORE: Duration = Duration::from_millis(200);
const END_BEFORE: Duration = Duration::from_millis(60);
/// Parts that are asked to stop where they stand do so at their next turn.
const FROZEN_WITHIN: Duration = Duration::from_secs(1);

/// A task that ends with its owner.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a part for as long as its owner: a panic in it costs that part a fresh start, no more.
fn keep<F: Future<Output = ()> + 'static>(
    what: &'static str,
    part: impl Fn() -> F + 'static,
) -> Task {
    Task(spawn_local(async move {
        loop {
            let mut part = Task(spawn_local(part()));
            match (&mut part.0).await {
                Ok(()) => return,
                Err(error) => error!("{what} starts afresh: {error}"),
            }
            sleep(Duration::from_millis(10)).await;
        }
    }))
}

pub struct Instance {
    pub exchange: Shared,
    told: watch::Sender<Peers>,
    /// Held by the one who accepts, until it closes.
    listener: Weak<Listening>,
    close: Rc<Notify>,
    accepting: Task,
    /// They hand themselves in when frozen.
    handing_in: Vec<Task>,
    _others: Vec<Task>,
    stop: Duration,
}

/// What was frozen: the image, and all that the process holds open for it.
pub struct FrozenInstance {
    pub image: Transaction,
    pub passed: PassedDescriptors,
}

/// All that another process left, made live and not yet set going.
pub struct RestoredInstance {
    exchange: Shared,
    listener: Rc<Listening>,
    edges: Vec<(
        TcpStream,
        ConnectionHandle,
        records::ClientConnectionRecord,
        Reconciliation,
    )>,
    lines: Vec<(
        TcpStream,
        u64,
        records::DownstreamConnectionRecord,
        Reconciliation,
    )>,
    link: Option<client::engine::Resumed>,
    link_discards: usize,
    /// Connections that could not be gone on with.
    pub broken: usize,
}

impl RestoredInstance {
    /// A fresh start.
    pub fn fresh(exchange: Shared, listener: Listening) -> RestoredInstance {
        RestoredInstance {
            exchange,
            listener: Rc::new(listener),
            edges: Vec::new(),
            lines: Vec::new(),
            link: None,
            link_discards: 0,
            broken: 0,
        }
    }

    /// From the image and the connections that another process left. Nothing is read, written or closed by this but
    /// what can't be gone on with. `learnt` counts where the image holds none.
    pub fn carried(
        exchange: Exchange,
        listener: Listening,
        image: &Image,
        mut passed: PassedDescriptors,
        learnt: Option<LearnedState>,
    ) -> io::Result<RestoredInstance> {
        exchange.check_image(image).map_err(io::Error::other)?;
        let mut prepared = RestoredInstance::fresh(Rc::new(RefCell::new(exchange)), listener);
        let record: Option<records::EngineConnectionRecord> = image.get(Key::EngineConnection);
        let socket = record
            .as_ref()
            .and_then(|link| passed.remove(&Role::EngineConnection(link.stream?)));
        if let Some(mut record) = record {
            let live = socket.and_then(|socket| {
                let settled = settle(&socket, &mut record.flow, true)?;
                prepared.link_discards = settled.discard_bytes;
                into_stream(socket)
            });
            prepared.link = Some((record, live));
        }
        for (role, socket) in passed {
            match role {
                Role::ClientConnection(stream)
                    if !image.is_removed(Key::ClientConnection(stream)) =>
                {
                    // One of which nothing was noted was only just taken in.
                    let mut record: records::ClientConnectionRecord =
                        image.get(Key::ClientConnection(stream)).unwrap_or_default();
                    let live = settle(&socket, &mut record.flow, false).zip(into_stream(socket));
                    let Some((settled, socket)) = live else {
                        prepared.broken += 1;
                        continue;
                    };
                    let door = ConnectionHandle::reopen(&prepared.exchange, stream);
                    prepared.edges.push((socket, door, record, settled));
                }
                Role::DownstreamConnection(stream) => {
                    let Some(mut record) = image.get::<records::DownstreamConnectionRecord>(
                        Key::DownstreamConnection(stream),
                    ) else {
                        continue;
                    };
                    if let Some((settled, socket)) =
                        settle(&socket, &mut record.flow, true).zip(into_stream(socket))
                    {
                        prepared.lines.push((socket, stream, record, settled));
                    }
                }
                _ => {}
            }
        }
        let lines: Vec<records::DownstreamConnectionRecord> = prepared
            .lines
            .iter()
            .map(|(_, _, record, _)| record.clone())
            .collect();
        prepared
            .exchange
            .borrow_mut()
            .restore(image, &lines, learnt);
        Ok(prepared)
    }

    /// From here on every change is noted before it shows.
    pub fn note(&self, journal: Journal, passing: mpsc::UnboundedSender<OpenedConnection>) {
        self.exchange.borrow_mut().start_journal(journal, passing);
    }

    /// How many connections of edge nodes, calls below and invocations go on.
    pub fn sums(&self) -> (usize, usize, usize) {
        (
            self.edges.len(),
            self.lines.len(),
            self.exchange.borrow().in_flight(),
        )
    }

    /// Sets it going.
    pub fn go(
        self,
        config: &Config,
        peers: Peers,
        routing: Option<routing::Shared>,
        uwsgi: bool,
    ) -> Instance {
        let RestoredInstance {
            exchange,
            listener,
            edges,
            lines,
            mut link,
            link_discards,
            ..
        } = self;
        if let Some(routing) = &routing {
            exchange
                .borrow_mut()
                .set_dependency_names(|operation| routing.borrow().parts(operation));
        }
        let calls_most = client::calls_most(config.sockets);
        let doors_most = server::doors_most(config.sockets, calls_most);
        let server = Server::new(exchange.clone(), doors_most, uwsgi);
        for (socket, door, record, settled) in edges {
            match discard(&socket, settled.discard_bytes) {
                Ok(()) => server.resume(socket, door, record),
                Err(error) => warn!("a connection can't be gone on with: {error}"),
            }
        }
        if let Some((_, socket)) = &mut link
            && socket
                .as_ref()
                .is_some_and(|socket| discard(socket, link_discards).is_err())
        {
            *socket = None;
        }
        let lines = lines
            .into_iter()
            .filter_map(|(socket, stream, record, settled)| {
                discard(&socket, settled.discard_bytes)
                    .ok()
                    .map(|()| (socket, stream, record))
            });
        let (lines, link) = (
            Rc::new(RefCell::new(lines.collect())),
            Rc::new(RefCell::new(link)),
        );
        let close = Rc::new(Notify::new());
        let standing = Rc::downgrade(&listener);
        let accepting = Task(spawn_local(server::accept(listener, server, close.clone())));
        let (told, watched) = watch::channel(peers);
        let shared = exchange.clone();
        let the_clock = keep("the clock", move || clock(shared.clone()));
        let (shared, peers) = (exchange.clone(), watched.clone());
        let engine = keep("the engine's link", move || {
            client::engine::hold(peers.clone(), shared.clone(), link.clone())
        });
        let (shared, peers) = (exchange.clone(), watched.clone());
        let calling = keep("calling below", move || {
            client::catalogue::serve(
                peers.clone(),
                shared.clone(),
                calls_most,
                lines.clone(),
                routing.clone(),
            )
        });
        let (shared, name) = (exchange.clone(), config.name.clone());
        let reporting = keep("reporting", move || {
            client::registration::report(watched.clone(), name.clone(), shared.clone())
        });
        Instance {
            exchange,
            told,
            listener: standing,
            close,
            accepting,
            handing_in: vec![engine, calling],
            _others: vec![the_clock, reporting],
            stop: config.drain_timeout,
        }
    }
}

impl Instance {
    /// Moves the client side to other far ends.
    pub fn move_to(&self, peers: Peers) {
        self.told
            .send_if_modified(|known| std::mem::replace(known, peers) != peers);
    }

    /// The notice to leave, which came a while ago: by `end` the process has to be gone. Ends when all is done.
    async fn leave(
        exchange: Shared,
        close: Rc<Notify>,
        closed: AbortHandle,
        stop: Duration,
        end: Instant,
    ) {
        let before = |time: Duration| end.checked_sub(time.min(stop / 4)).unwrap_or(end);
        let left = end.saturating_duration_since(Instant::now());
        exchange
            .borrow_mut()
            .begin_shutdown(before(ANSWER_BEFORE), stop.saturating_sub(left));
        exchange.borrow_mut().write_instance_to_journal();
        sleep_until(before(REFUSE_BEFORE)).await;
        close.notify_one();
        exchange.borrow_mut().close_idle_connections();
        let closed = async {
            while !closed.is_finished() || exchange.borrow().open_connections() > 0 {
                sleep(Duration::from_millis(2)).await;
            }
        };
        if timeout_at(before(END_BEFORE), closed).await.is_err() {
            let open = exchange.borrow().open_connections();
            warn!(
                "ends with {} in hand and {open} connections open",
                exchange.borrow().in_flight()
            );
        }
    }

    /// What `leave` needs.
    pub fn leaving(&self, end: Instant) -> impl Future<Output = ()> + use<> {
        let closed = self.accepting.0.abort_handle();
        Instance::leave(
            self.exchange.clone(),
            self.close.clone(),
            closed,
            self.stop,
            end,
        )
    }

    /// Stops everything where it stands and takes it down. The listener stays with the caller.
    pub async fn freeze(self) -> Result<(FrozenInstance, Rc<Listening>), &'static str> {
        let Instance {
            exchange,
            listener,
            mut accepting,
            mut handing_in,
            ..
        } = self;
        let listener = listener.upgrade().ok_or("the listener is closed")?;
        accepting.0.abort();
        let _ = (&mut accepting.0).await; // its hold on the listener ends with it
        exchange.borrow_mut().freeze();
        let all = async {
            for part in &mut handing_in {
                let _ = (&mut part.0).await;
            }
            while exchange.borrow().open_connections() > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout_at(Instant::now() + FROZEN_WITHIN, all)
            .await
            .map_err(|_| "a part does not stop")?;
        let (image, passed) = exchange.borrow_mut().take_snapshot();
        Ok((FrozenInstance { image, passed }, listener))
    }
}

/// Rings the exchange's alarms; nothing else is waited for.
async fn clock(exchange: Shared) {
    let alarmed = exchange.borrow().timers_changed();
    loop {
        let next = exchange.borrow().next_timer();
        select! {
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                exchange.borrow_mut().fire_timers();
            }
            () = alarmed.notified() => {}
        }
    }
}

/// Settles what was noted of a connection with what the kernel counted; none where it can't be gone on with.
fn settle(
    socket: &OwnedFd,
    flow: &mut merlinshelf_handover::Flow,
    opened_here: bool,
) -> Option<Reconciliation> {
    match kernel::counts(socket, opened_here) {
        Ok(counts) => match flow.reconcile(counts) {
            Ok(settled) => Some(settled),
            Err(torn) => {
                error!("a connection can't be gone on with: {torn:?}");
                None
            }
        },
        Err(error) => {
            warn!("a connection is gone: {error}");
            None
        }
    }
}

fn into_stream(socket: OwnedFd) -> Option<TcpStream> {
    let socket = std::net::TcpStream::from(socket);
    let stream = socket
        .set_nonblocking(true)
        .and_then(|()| TcpStream::from_std(socket));
    stream
        .map_err(|error| warn!("a connection can't be gone on with: {error}"))
        .ok()
}
