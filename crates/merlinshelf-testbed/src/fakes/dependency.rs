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

use super::line_reader::{Call, LineReader};
use super::reply_to;

/// What a server does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    Well,
    /// So many times as slow.
    Slow(f64),
    /// The same, for questions that hold this word alone.
    SlowFor(&'static str, f64),
    /// `internal`, at once.
    Errors,
    /// Each call is taken and never answered.
    Hangs,
    /// Nobody listens.
    Gone,
    /// Every other connection is closed under its call.
    Breaks,
    /// Every other call ends in `internal`, at once.
    HalfErrors,
}

/// Calls that a server works on at one time; others wait.
const AT_ONCE: usize = 16;

pub struct Server {
    pub address: String,
    pub manners: Cell<ServerBehavior>,
    takes: Duration,
    /// Calls that reached it.
    pub calls: Cell<u64>,
    /// Each call with its time, and when connections were opened.
    pub arrived: RefCell<Vec<(Instant, String)>>,
    pub opened: RefCell<Vec<Instant>>,
    /// Calls that are here now, and the most that ever were.
    pub now_open: Cell<usize>,
    pub most_open: Cell<usize>,
    room: Semaphore,
    told: Notify,
    listener: RefCell<Option<TcpListener>>,
}

impl Server {
    /// Serves for as long as its task lives; a call takes so long.
    ///
    /// # Errors
    /// There is no address.
    pub async fn start(takes: Duration) -> io::Result<Rc<Server>> {
        Server::with_room(takes, AT_ONCE).await
    }

    /// One that works on so many calls at one time.
    ///
    /// # Errors
    /// There is no address.
    pub async fn with_room(takes: Duration, at_once: usize) -> io::Result<Rc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Rc::new(Server {
            address: listener.local_addr()?.to_string(),
            manners: Cell::new(ServerBehavior::Well),
            takes,
            calls: Cell::default(),
            arrived: RefCell::default(),
            opened: RefCell::default(),
            now_open: Cell::default(),
            most_open: Cell::default(),
            room: Semaphore::new(at_once),
            told: Notify::new(),
            listener: RefCell::new(Some(listener)),
        });
        spawn_local(server.clone().serve());
        Ok(server)
    }

    /// From here on it does so. One that is gone breaks all that is open.
    pub fn does(&self, manners: ServerBehavior) {
        self.manners.set(manners);
        self.told.notify_one();
    }

    async fn serve(self: Rc<Server>) {
        let mut open = JoinSet::new();
        loop {
            if self.manners.get() == ServerBehavior::Gone {
                self.listener.replace(None);
                open.shutdown().await;
                self.told.notified().await;
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
                    server.opened.borrow_mut().push(Instant::now());
                    open.spawn_local(async move {
                        let _ = server.attend(stream).await; // an end is how callers give up
                    });
                },
                () = self.told.notified() => {}
            }
            while open.try_join_next().is_some() {}
            self.listener.replace(Some(listener));
        }
    }

    async fn attend(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(Call { id, body, .. }) = lines.call().await? {
            self.calls.set(self.calls.get() + 1);
            self.arrived.borrow_mut().push((Instant::now(), id.clone()));
            let times = match self.manners.get() {
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
                ServerBehavior::Breaks if self.calls.get().is_multiple_of(2) => return Ok(()),
                ServerBehavior::Slow(times) => times,
                ServerBehavior::SlowFor(word, times)
                    if String::from_utf8_lossy(&body).contains(word) =>
                {
                    times
                }
                _ => 1.0,
            };
            let _here = Here::enter(self);
            let room = self.room.acquire().await.map_err(io::Error::other)?;
            sleep(self.takes.mul_f64(times)).await;
            drop(room);
            let reply = reply_to(&id, &body);
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
        server.now_open.set(server.now_open.get() + 1);
        server
            .most_open
            .set(server.most_open.get().max(server.now_open.get()));
        Here(server)
    }
}

impl Drop for Here<'_> {
    fn drop(&mut self) {
        self.0.now_open.set(self.0.now_open.get() - 1);
    }
}
