//! One server of a dependency: it takes the catalogue's words, a few calls at one time, and fails as it is told.

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

/// What a server does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    Normal,
    /// So many times as slow.
    Slow(f64),
    /// The same, for questions that hold this word alone.
    SlowFor(&'static str, f64),
    /// `internal`, at once.
    Errors,
    /// Each call is taken and never answered.
    Hangs,
    /// Nobody listens.
    Unreachable,
    /// Every other connection is closed under its call.
    DropsConnections,
    /// Every other call ends in `internal`, at once.
    HalfErrors,
}

/// Calls that a server works on at one time; others wait.
const AT_ONCE: usize = 16;

pub struct Server {
    pub address: String,
    pub behavior: Cell<ServerBehavior>,
    call_duration: Duration,
    /// Calls that reached it.
    pub calls: Cell<u64>,
    /// Each call with its time, and when connections were opened.
    pub arrivals: RefCell<Vec<(Instant, String)>>,
    pub connections_opened: RefCell<Vec<Instant>>,
    /// Calls that are here now, and the most that ever were.
    pub open_calls: Cell<usize>,
    pub max_open_calls: Cell<usize>,
    concurrency: Semaphore,
    behavior_changed: Notify,
    listener: RefCell<Option<TcpListener>>,
}

impl Server {
    /// Serves for as long as its task lives; a call takes so long.
    ///
    /// # Errors
    /// There is no address.
    pub async fn start(takes: Duration) -> io::Result<Rc<Server>> {
        Server::with_concurrency(takes, AT_ONCE).await
    }

    /// One that works on so many calls at one time.
    ///
    /// # Errors
    /// There is no address.
    pub async fn with_concurrency(takes: Duration, at_once: usize) -> io::Result<Rc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Rc::new(Server {
            address: listener.local_addr()?.to_string(),
            behavior: Cell::new(ServerBehavior::Normal),
            call_duration: takes,
            calls: Cell::default(),
            arrivals: RefCell::default(),
            connections_opened: RefCell::default(),
            open_calls: Cell::default(),
            max_open_calls: Cell::default(),
            concurrency: Semaphore::new(at_once),
            behavior_changed: Notify::new(),
            listener: RefCell::new(Some(listener)),
        });
        spawn_local(server.clone().serve());
        Ok(server)
    }

    /// From here on it does so. One that is gone breaks all that is open.
    pub fn set_behavior(&self, manners: ServerBehavior) {
        self.behavior.set(manners);
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
            let known = self.listener.take();
            let listener = match known {
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
                        let _ = server.attend(stream).await; // an end is how callers give up
                    });
                },
                () = self.behavior_changed.notified() => {}
            }
            while open.try_join_next().is_some() {}
            self.listener.replace(Some(listener));
        }
    }

    async fn attend(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(Call { id, body, .. }) = lines.read_call().await? {
            self.calls.set(self.calls.get() + 1);
            self.arrivals
                .borrow_mut()
                .push((Instant::now(), id.clone()));
            let times = match self.behavior.get() {
                manners
                    if manners == ServerBehavior::Errors
                        || manners == ServerBehavior::HalfErrors
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
                ServerBehavior::Slow(times) => times,
                ServerBehavior::SlowFor(word, times)
                    if String::from_utf8_lossy(&body).contains(word) =>
                {
                    times
                }
                _ => 1.0,
            };
            let _here = Here::enter(self);
            let room = self.concurrency.acquire().await.map_err(io::Error::other)?;
            sleep(self.call_duration.mul_f64(times)).await;
            drop(room);
            let reply = catalogue_reply(&id, &body);
            let head = format!("{id} ok {}\r\n", reply.len());
            output
                .write_all(&[head.as_bytes(), &reply, b"\r\n"].concat())
                .await?;
        }
        Ok(())
    }
}

/// One call that is here.
struct Here<'a>(&'a Server);

impl Here<'_> {
    fn enter(server: &Server) -> Here<'_> {
        server.open_calls.set(server.open_calls.get() + 1);
        server
            .max_open_calls
            .set(server.max_open_calls.get().max(server.open_calls.get()));
        Here(server)
    }
}

impl Drop for Here<'_> {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}
