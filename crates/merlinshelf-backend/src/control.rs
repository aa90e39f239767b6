//! The control socket: a Unix socket for the operators' tools on this machine. Whoever is stuck on it, sends without
//! end or is somebody else costs one of a few places, for a moment.

use std::cell::Cell;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream as BlockingStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use merlinshelf_handover::predecessor::Progress;
use merlinshelf_policy::{Heartbeat, InstanceStatus};
use merlinshelf_protocol::control::{self, ControlMessage, ControlRequest, PROTOCOL_VERSION};
use serde_json::{Value, json};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Tools that may be connected at one time; one more is closed at once.
const CLIENTS_MOST: usize = 8;
/// A question must have come whole, and an answer must be taken, within this.
const WORD_WITHIN: Duration = Duration::from_secs(2);
/// The longest upgrade is watched for an hour.
const UPGRADE_WITHIN: Duration = Duration::from_secs(2 * 3600);
/// A beat with a document is the longest.
const QUESTION_MOST: usize = 48 * 1024;
const POLICY_OFF: &str = "policies are off: the operators' file has no `policy`";
const LEARNING_OFF: &str = "learning is off: the operators' file has no `learning`";
/// After a failed accept, which mostly says that descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);

/// A question to the process, and where its answer goes.
pub enum PendingRequest {
    Status(oneshot::Sender<Value>),
    Drain(oneshot::Sender<Value>),
    Upgrade(UnboundedSender<Progress>),
    /// All figures in pages; none where learning is off.
    Knowledge(oneshot::Sender<Option<Vec<Value>>>),
    /// Forget what this origin told, or all; how many figures these were, none where learning is off.
    Forget(Option<String>, oneshot::Sender<Option<usize>>),
    /// A beat of the host's agent; none where policies are off.
    Policy(Box<Heartbeat>, oneshot::Sender<Option<InstanceStatus>>),
    /// Something for an agent, and where its answers go: all but the last are `more`.
    Fleet(Value, UnboundedSender<(ControlMessage, Value)>),
}

/// The open socket; dropping it closes it, and leaves what was asked already to its end.
pub struct Control {
    accepting: JoinHandle<()>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Opens the socket in place of one that nobody listens on, or of this process's predecessor's.
pub fn open(path: &Path, asked: UnboundedSender<PendingRequest>) -> io::Result<Control> {
    let named = |error: io::Error| {
        io::Error::new(
            error.kind(),
            format!("control: {}: {error}", path.display()),
        )
    };
    let listener = bind(path).map_err(named)?;
    info!("control at {}", path.display());
    Ok(Control {
        accepting: spawn_local(accept(listener, asked)),
    })
}

/// The new socket takes the old one's place in one go, with its mode from the start.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(format!(".{}", std::process::id()));
    let beside = PathBuf::from(beside);
    let _ = std::fs::remove_file(&beside);
    let listener = UnixListener::bind(&beside)?;
    let placed = std::fs::set_permissions(&beside, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&beside, path));
    if let Err(error) = placed {
        let _ = std::fs::remove_file(&beside);
        return Err(error);
    }
    Ok(listener)
}

/// Whether somebody listens there already.
pub fn is_taken(path: &Path) -> bool {
    BlockingStream::connect(path).is_ok()
}

async fn accept(listener: UnixListener, asked: UnboundedSender<PendingRequest>) {
    let clients = Rc::new(Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("no tool is let in: {error}");
                sleep(PAUSE).await;
                continue;
            }
        };
        let allowed = stream.peer_cred().is_ok_and(|peer| {
            let own = rustix::process::geteuid().as_raw();
            peer.uid() == own || peer.uid() == 0
        });
        if !allowed {
            warn!("a tool of another user is turned away");
            continue;
        }
        if clients.get() >= CLIENTS_MOST {
            warn!("{CLIENTS_MOST} tools are connected; one more is turned away");
            continue;
        }
        let place = Place::take(&clients);
        let asked = asked.clone();
        spawn_local(async move {
            let _place = place;
            if let Err(error) = attend(&stream, asked).await {
                debug!("a tool is gone: {error}");
            }
        });
    }
}

/// One of the tools' places; dropping it is the one way in which it is given back.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(clients: &Rc<Cell<usize>>) -> Place {
        clients.set(clients.get() + 1);
        Place(clients.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn attend(stream: &UnixStream, asked: UnboundedSender<PendingRequest>) -> io::Result<()> {
    let (form, question, body) = match timeout(WORD_WITHIN, read(stream)).await? {
        Ok(read) => read,
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            return say(
                stream,
                ControlMessage::Failed,
                &json!({ "text": error.to_string() }),
            )
            .await;
        }
        Err(error) => return Err(error),
    };
    if form != PROTOCOL_VERSION {
        let text = format!("form {form} is not spoken here, form {PROTOCOL_VERSION} is");
        return say(stream, ControlMessage::Failed, &json!({ "text": text })).await;
    }
    let gone = || io::Error::other("the process ends");
    match question {
        ControlRequest::Status | ControlRequest::Drain => {
            let (sender, answer) = oneshot::channel();
            let ask = if question == ControlRequest::Status {
                PendingRequest::Status
            } else {
                PendingRequest::Drain
            };
            asked.send(ask(sender)).map_err(|_| gone())?;
            let answer = answer.await.map_err(|_| gone())?;
            say(stream, ControlMessage::Done, &answer).await
        }
        ControlRequest::Knowledge => {
            let (sender, pages) = oneshot::channel();
            asked
                .send(PendingRequest::Knowledge(sender))
                .map_err(|_| gone())?;
            let Some(pages) = pages.await.map_err(|_| gone())? else {
                return say(
                    stream,
                    ControlMessage::Refused,
                    &json!({ "text": LEARNING_OFF }),
                )
                .await;
            };
            for page in &pages {
                say(stream, ControlMessage::More, page).await?;
            }
            say(
                stream,
                ControlMessage::Done,
                &json!({ "pages": pages.len() }),
            )
            .await
        }
        ControlRequest::Fleet => {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let (sender, mut answers) = unbounded_channel();
            asked
                .send(PendingRequest::Fleet(body, sender))
                .map_err(|_| gone())?;
            let answered = async {
                while let Some((word, answer)) = answers.recv().await {
                    say(stream, word, &answer).await?;
                    if word != ControlMessage::More {
                        return Ok(());
                    }
                }
                Err(gone())
            };
            timeout(UPGRADE_WITHIN, answered).await?
        }
        ControlRequest::Policy => {
            let beat = match serde_json::from_slice(&body) {
                Ok(beat) => beat,
                Err(error) => {
                    return say(
                        stream,
                        ControlMessage::Failed,
                        &json!({ "text": error.to_string() }),
                    )
                    .await;
                }
            };
            let (sender, said) = oneshot::channel();
            asked
                .send(PendingRequest::Policy(beat, sender))
                .map_err(|_| gone())?;
            match said.await.map_err(|_| gone())? {
                Some(said) => {
                    say(stream, ControlMessage::Done, &serde_json::to_value(&said)?).await
                }
                None => {
                    say(
                        stream,
                        ControlMessage::Refused,
                        &json!({ "text": POLICY_OFF }),
                    )
                    .await
                }
            }
        }
        // What agents say to each other, on their own listener alone.
        ControlRequest::Consensus => {
            say(
                stream,
                ControlMessage::Refused,
                &json!({ "text": "no agent listens here" }),
            )
            .await
        }
        ControlRequest::Forget => {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let origin = body["origin"].as_str().map(str::to_owned);
            let (sender, gone_by) = oneshot::channel();
            asked
                .send(PendingRequest::Forget(origin, sender))
                .map_err(|_| gone())?;
            match gone_by.await.map_err(|_| gone())? {
                Some(count) => {
                    say(stream, ControlMessage::Done, &json!({ "forgotten": count })).await
                }
                None => {
                    say(
                        stream,
                        ControlMessage::Refused,
                        &json!({ "text": LEARNING_OFF }),
                    )
                    .await
                }
            }
        }
        ControlRequest::Upgrade => {
            let (sender, progress) = unbounded_channel();
            asked
                .send(PendingRequest::Upgrade(sender))
                .map_err(|_| gone())?;
            timeout(UPGRADE_WITHIN, report(stream, progress)).await?
        }
    }
}

async fn report(stream: &UnixStream, mut progress: UnboundedReceiver<Progress>) -> io::Result<()> {
    while let Some(one) = progress.recv().await {
        let (word, stage) = match &one {
            Progress::Starting => (ControlMessage::More, "starting"),
            Progress::Ready => (ControlMessage::More, "ready"),
            Progress::Activated => (ControlMessage::More, "took_over"),
            Progress::Completed => (ControlMessage::Done, "done"),
            Progress::Rejected(_) => (ControlMessage::Refused, "refused"),
            Progress::Aborted(_) => (ControlMessage::Failed, "given_up"),
            Progress::Recovered(_) => (ControlMessage::Failed, "taken_back"),
        };
        say(
            stream,
            word,
            &json!({ "stage": stage, "text": one.to_string() }),
        )
        .await?;
        if one.is_final() {
            break;
        }
    }
    Ok(())
}

/// The question, once it has come whole.
async fn read(stream: &UnixStream) -> io::Result<(u32, ControlRequest, Vec<u8>)> {
    let mut come = Vec::new();
    loop {
        match control::question(&come) {
            Ok(Some(((form, question, body), _))) => return Ok((form, question, body.to_vec())),
            Ok(None) if come.len() <= QUESTION_MOST => {}
            Ok(None) => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the question is too long",
                ));
            }
            Err(fault) => return Err(io::Error::new(io::ErrorKind::InvalidData, fault.0)),
        }
        stream.readable().await?;
        let mut gulp = [0; 1024];
        match stream.try_read(&mut gulp) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => come.extend(&gulp[..count]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

async fn say(stream: &UnixStream, word: ControlMessage, report: &Value) -> io::Result<()> {
    let mut bytes: Vec<u8> = Vec::new();
    control::say(&mut bytes, word, report.to_string().as_bytes());
    let written = async {
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            stream.writable().await?;
            match stream.try_write(rest) {
                Ok(count) => rest = &rest[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    };
    timeout(WORD_WITHIN, written).await?
}
