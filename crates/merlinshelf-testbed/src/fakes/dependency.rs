//! Fake server of a dependency: speaks the catalogue's protocol with limited concurrency, and fails on request.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::catalogue_reply;
use super::line_reader::{Call, LineReader};

/// How a server answers calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    Normal,
    /// Calls take longer by this factor.
    Slow(f64),
    /// Calls whose body contains this text take longer by this factor.
    SlowFor(&'static str, f64),
    /// Every call fails with `internal` immediately.
    Errors,
    /// Calls are accepted and never answered.
    Hangs,
    /// The listener is closed, and all connections are dropped.
    Unreachable,
    /// Every second call ends in a closed connection.
    DropsConnections,
    /// Every second call fails with `internal` immediately.
    HalfErrors,
}

/// Calls that a server processes concurrently; further calls wait.
const DEFAULT_CONCURRENCY: usize = 16;

pub struct Server {
    pub address: String,
    pub behavior: Cell<ServerBehavior>,
    call_duration: Duration,
    /// Number of calls received.
    pub calls: Cell<u64>,
    /// The time and the invocation of each call received.
    pub arrivals: RefCell<Vec<(Instant, String)>>,
    /// When each connection was accepted.
    pub connections_opened: RefCell<Vec<Instant>>,
    /// Calls waiting or in progress, and the maximum ever reached.
    pub open_calls: Cell<usize>,
    pub max_open_calls: Cell<usize>,
    concurrency: Semaphore,
    behavior_changed: Notify,
    listener: RefCell<Option<TcpListener>>,
}

impl Server {
    /// Starts a server that takes `call_duration` for each call, and serves until its task is dropped.
    ///
    /// # Errors
    /// Returns an error if no listener can be bound.
    pub async fn start(call_duration: Duration) -> io::Result<Rc<Server>> {
        Server::with_concurrency(call_duration, DEFAULT_CONCURRENCY).await
    }

    /// Like [`Server::start`], with at most `concurrency` calls processed at the same time.
    ///
    /// # Errors
    /// Returns an error if no listener can be bound.
    pub async fn with_concurrency(
        call_duration: Duration,
        concurrency: usize,
    ) -> io::Result<Rc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Rc::new(Server {
            address: listener.local_addr()?.to_string(),
            behavior: Cell::new(ServerBehavior::Normal),
            call_duration,
            calls: Cell::default(),
            arrivals: RefCell::default(),
            connections_opened: RefCell::default(),
            open_calls: Cell::default(),
            max_open_calls: Cell::default(),
            concurrency: Semaphore::new(concurrency),
            behavior_changed: Notify::new(),
            listener: RefCell::new(Some(listener)),
        });
        spawn_local(server.clone().serve());
        Ok(server)
    }

    /// Changes the behavior for calls that arrive from now on. `Unreachable` also drops all open connections.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.behavior.set(behavior);
        self.behavior_changed.notify_one();
    }

    async fn serve(self: Rc<Server>) {
        let mut open = JoinSet::new();
        loop {
            if self.behavior.get() == ServerBehavior::Unreachable {
                self.listener.replace(None);
                open.shutdown().await;
                self.behavior_changed.notified().await;
                continue;
            }
            let existing = self.listener.take();
            let listener = match existing {
                Some(listener) => listener,
                None => match TcpListener::bind(&self.address).await {
                    Ok(listener) => listener,
                    Err(_) => {
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            tokio::select! {
                stream = listener.accept() => if let Ok((stream, _)) = stream {
                    let server = self.clone();
                    server.connections_opened.borrow_mut().push(Instant::now());
                    open.spawn_local(async move {
                        let _ = server.handle_connection(stream).await; // callers disconnect to cancel a call
                    });
                },
                () = self.behavior_changed.notified() => {}
            }
            while open.try_join_next().is_some() {}
            self.listener.replace(Some(listener));
        }
    }

    async fn handle_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(Call { id, body, .. }) = lines.read_call().await? {
            self.calls.set(self.calls.get() + 1);
            self.arrivals
                .borrow_mut()
                .push((Instant::now(), id.clone()));
            let slowdown = match self.behavior.get() {
                behavior
                    if behavior == ServerBehavior::Errors
                        || behavior == ServerBehavior::HalfErrors
                            && self.calls.get().is_multiple_of(2) =>
                {
                    output
                        .write_all(format!("{id} internal\r\n").as_bytes())
                        .await?;
                    continue;
                }
                ServerBehavior::Hangs => std::future::pending().await,
                ServerBehavior::DropsConnections if self.calls.get().is_multiple_of(2) => {
                    return Ok(());
                }
                ServerBehavior::Slow(factor) => factor,
                ServerBehavior::SlowFor(text, factor)
                    if String::from_utf8_lossy(&body).contains(text) =>
                {
                    factor
                }
                _ => 1.0,
            };
            let _open = OpenCall::begin(self);
            let permit = self.concurrency.acquire().await.map_err(io::Error::other)?;
            sleep(self.call_duration.mul_f64(slowdown)).await;
            drop(permit);
            let reply = catalogue_reply(&id, &body);
            let head = format!("{id} ok {}\r\n", reply.len());
            output
                .write_all(&[head.as_bytes(), &reply, b"\r\n"].concat())
                .await?;
        }
        Ok(())
    }
}

/// Counts a call as open until it is dropped.
struct OpenCall<'a>(&'a Server);

impl OpenCall<'_> {
    fn begin(server: &Server) -> OpenCall<'_> {
        server.open_calls.set(server.open_calls.get() + 1);
        server
            .max_open_calls
            .set(server.max_open_calls.get().max(server.open_calls.get()));
        OpenCall(server)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}
