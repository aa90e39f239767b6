//! Links between processes under trial, each through a forwarder that does to it what a schedule says: both ways alike or one way
//! alone, and heals.

use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::select;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What happens to what is sent over a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Connections stay open, and what is sent lies until the link heals: it then arrives, however old.
    Stalled,
    /// All connections end, and new ones are closed at once.
    Cut,
    /// Each piece comes so much later.
    Delayed(Duration),
    /// Byte by byte, with a pause after each.
    ByteByByte(Duration),
}

/// Stands between an agent and the control socket of an instance, which it gives back when it is dropped.
pub struct ControlLink {
    path: PathBuf,
    moved_path: PathBuf,
    mode: watch::Sender<ControlLinkMode>,
    accepting: tokio::task::AbortHandle,
}

/// What becomes of what is said over a control link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlLinkMode {
    Forwarding,
    /// It lies, on connections that stay open.
    Stalled,
    /// Questions about policies come as a word that nobody knows: the answer is that of a program from before there were any.
    WithoutPolicies,
}

impl ControlLink {
    /// Takes the socket's place.
    ///
    /// # Errors
    /// The file system's.
    pub fn replace_socket(path: &Path) -> io::Result<ControlLink> {
        let (path, real) = (path.to_path_buf(), path.with_extension("real"));
        std::fs::rename(&path, &real)?;
        let listener = UnixListener::bind(&path)?;
        let (manner, watched) = watch::channel(ControlLinkMode::Forwarding);
        let to = real.clone();
        let accepting = spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                // What became of one is seen by who asked.
                spawn_local(forward_control(from, to.clone(), watched.clone()));
            }
        });
        Ok(ControlLink {
            path,
            moved_path: real,
            mode: manner,
            accepting: accepting.abort_handle(),
        })
    }

    pub fn set(&self, manner: ControlLinkMode) {
        self.mode.send_replace(manner);
    }
}

/// One connection of a control link.
async fn forward_control(
    mut from: UnixStream,
    to: PathBuf,
    mut manner: watch::Receiver<ControlLinkMode>,
) -> io::Result<()> {
    // Half open: it was let in, and nothing of what it says goes on.
    let now = manner
        .wait_for(|manner| *manner != ControlLinkMode::Stalled)
        .await
        .map(|manner| *manner);
    let mut to = UnixStream::connect(to).await?;
    if now.is_ok_and(|now| now == ControlLinkMode::WithoutPolicies) {
        let mut word = [0; ASK.len()];
        from.read_exact(&mut word).await?;
        to.write_all(if word == *ASK {
            b"ask 1 policies "
        } else {
            &word
        })
        .await?;
    }
    tokio::io::copy_bidirectional(&mut from, &mut to)
        .await
        .map(|_| ())
}

/// How a question about policies begins.
const ASK: &[u8; 13] = b"ask 1 policy ";

impl Drop for ControlLink {
    fn drop(&mut self) {
        self.accepting.abort();
        let _ = std::fs::rename(&self.moved_path, &self.path);
    }
}

/// A link from one process to another; it ends with its owner.
pub struct Link {
    fault: watch::Sender<Fault>,
    /// Connections that were made over it.
    pub connections_made: Rc<RefCell<u64>>,
}

impl Link {
    /// Takes connections at one address and passes them on to another.
    ///
    /// # Errors
    /// The address can't be had.
    pub async fn start(listen: &str, to: String) -> io::Result<Link> {
        let listener = TcpListener::bind(listen).await?;
        let (fault, watched) = watch::channel(Fault::None);
        let made: Rc<RefCell<u64>> = Rc::default();
        let count = made.clone();
        spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                if watched.has_changed().is_err() {
                    return; // its owner is gone
                }
                if *watched.borrow() == Fault::Cut {
                    continue;
                }
                *count.borrow_mut() += 1;
                spawn_local(forward(from, to.clone(), watched.clone()));
            }
        });
        Ok(Link {
            fault,
            connections_made: made,
        })
    }

    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    pub fn fault(&self) -> Fault {
        *self.fault.borrow()
    }
}

async fn forward(from: TcpStream, to: String, mut fault: watch::Receiver<Fault>) {
    let Ok(to) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_in, from_out), (to_in, to_out)) = (from.into_split(), to.into_split());
    let (one, other) = (
        copy(from_in, to_out, fault.clone()),
        copy(to_in, from_out, fault.clone()),
    );
    select! {
        _ = one => {}
        _ = other => {}
        _ = fault.wait_for(|fault| *fault == Fault::Cut) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
) -> io::Result<()> {
    let mut piece = [0; 16 * 1024];
    loop {
        let count = from.read(&mut piece).await?;
        if count == 0 {
            return Ok(());
        }
        let now = *fault.borrow_and_update();
        match now {
            Fault::Delayed(by) => sleep(by).await,
            Fault::ByteByByte(pause) => {
                for byte in &piece[..count] {
                    to.write_all(std::slice::from_ref(byte)).await?;
                    sleep(pause).await;
                }
                continue;
            }
            Fault::Stalled => {
                let _ = fault.wait_for(|fault| *fault != Fault::Stalled).await;
            }
            Fault::None | Fault::Cut => {}
        }
        to.write_all(&piece[..count]).await?;
    }
}
