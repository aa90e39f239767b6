//! Questions to other instances and answers to theirs: a connection each, with a time in which all of it must be done.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use merlinshelf_gossip::Message;
use merlinshelf_protocol::gossip::{Kind, MESSAGE_MOST, Reading, put_message};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Shared;
use super::secure::{Plain, Secure};
use crate::exchange::monotonic;

/// Who asks at one time; one more is closed at once.
const ASKING_MOST: usize = 16;
/// A question must have come whole and its answer be taken within this.
const ANSWERED_WITHIN: Duration = Duration::from_millis(500);
/// After a failed listen or accept.
const PAUSE: Duration = Duration::from_millis(200);

/// Asks, and takes what is answered in time.
pub async fn ask(
    address: String,
    question: Message,
    within: Duration,
    state: Shared,
    nudge: Rc<Notify>,
) {
    let talk = async {
        let stream = Plain
            .connect(TcpStream::connect(&address).await?, &address)
            .await?;
        let mut bytes: Vec<u8> = Vec::new();
        put_message(&mut bytes, Kind::Ask, &question);
        exchange(stream, &bytes).await
    };
    let answer = match timeout(within, talk).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return debug!("{address} teaches nothing: {error}"),
        Err(_) => return debug!("{address} does not answer in its time"),
    };
    let mut state = state.borrow_mut();
    let Some(learner) = &mut state.learner else {
        return;
    };
    let first = !learner.peer_statistics().contains_key(&answer.from.name);
    let odd = learner.answer_received(monotonic(), &answer);
    if !answer.observations.is_empty() {
        if first {
            let figures = answer.observations.len();
            info!(figures = figures; "taught {figures} figures by {}", answer.from.name);
        }
        for (reason, count) in odd {
            warn!(count = count; "{} figures of {} are not taken: {}", count, answer.from.name, reason);
        }
        nudge.notify_one();
    }
}

async fn exchange(
    mut stream: impl AsyncRead + tokio::io::AsyncWrite + Unpin,
    bytes: &[u8],
) -> io::Result<Message> {
    stream.write_all(bytes).await?;
    match read(&mut stream).await? {
        (Kind::Tell, answer) => Ok(answer),
        (Kind::Ask, _) => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "it asks instead of answering",
        )),
    }
}

/// One message. The time that it may take is its caller's.
async fn read(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<(Kind, Message)> {
    let (mut reading, mut come, mut all) = (Reading::default(), Vec::new(), 0);
    loop {
        let mut gulp = [0; 4096];
        let count = stream.read(&mut gulp).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        come.extend(&gulp[..count]);
        all += count;
        let read = reading.read(&come);
        let (used, message) =
            read.map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault.0))?;
        come.drain(..used);
        if let Some(message) = message {
            return Ok(message);
        }
        if all > MESSAGE_MOST {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "it does not end",
            ));
        }
    }
}

/// Teaches whoever asks, until it is aborted.
pub async fn teach(address: String, state: Shared) {
    let mut told = false;
    let listener = loop {
        match listen(&address) {
            Ok(listener) => break listener,
            Err(error) => {
                if !std::mem::replace(&mut told, true) {
                    warn!("nobody is taught yet: {address}: {error}");
                }
                sleep(PAUSE).await;
            }
        }
    };
    info!("teaches at {address}");
    let asking = Rc::new(Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!("nobody is let in to be taught: {error}");
                sleep(PAUSE).await;
                continue;
            }
        };
        if asking.get() >= ASKING_MOST {
            continue; // closed at once
        }
        let place = Place::take(&asking);
        let state = state.clone();
        spawn_local(async move {
            let _place = place;
            match timeout(ANSWERED_WITHIN, answer(stream, state)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => debug!("who asked was not taught: {error}"),
                Err(_) => debug!("who asked was too slow to be taught"),
            }
        });
    }
}

/// An address that a predecessor has only just left can be listened at.
fn listen(address: &str) -> io::Result<TcpListener> {
    let address: std::net::SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv6() {
        TcpSocket::new_v6()
    } else {
        TcpSocket::new_v4()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ASKING_MOST as u32)
}

async fn answer(stream: TcpStream, state: Shared) -> io::Result<()> {
    let mut stream = Plain.accept(stream).await?;
    let (kind, question) = read(&mut stream).await?;
    if kind != Kind::Ask {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "it answers without being asked",
        ));
    }
    let mut bytes: Vec<u8> = Vec::new();
    {
        let began = Instant::now();
        let mut state = state.borrow_mut();
        let Some(learner) = &mut state.learner else {
            return Ok(());
        };
        let Some(answer) = learner.poll_received(monotonic(), &question) else {
            return Ok(());
        };
        put_message(&mut bytes, Kind::Tell, &answer);
        learner.charge_cpu_seconds(began.elapsed().as_secs_f64());
    }
    stream.write_all(&bytes).await?;
    stream.shutdown().await
}

/// One of the places of those who ask; dropping it is the one way in which it is given back.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(asking: &Rc<Cell<usize>>) -> Place {
        asking.set(asking.get() + 1);
        Place(asking.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
