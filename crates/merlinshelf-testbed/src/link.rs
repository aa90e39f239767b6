//! Forwarders for the connections between processes under test, which inject faults on demand and can be healed.

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

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Connections stay open, and data is held back until the link heals; it is then delivered, however old.
    Stalled,
    /// All connections are closed, and new ones are closed immediately.
    Cut,
    /// Each piece of data is delayed by this.
    Delayed(Duration),
    /// Data is delivered byte by byte, with this pause after each byte.
    ByteByByte(Duration),
}

/// A proxy between an agent and an instance's control socket. Dropping it restores the socket.
pub struct ControlLink {
    path: PathBuf,
    moved_path: PathBuf,
    mode: watch::Sender<ControlLinkMode>,
    accepting: tokio::task::AbortHandle,
}

/// How a control link treats its traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlLinkMode {
    Forwarding,
    /// Connections are accepted, and no data is forwarded.
    Stalled,
    /// Policy requests are rewritten to an unknown command, so that the answer is that of a program without policy support.
    WithoutPolicies,
}

impl ControlLink {
    /// Replaces the control socket at `path` by a proxy.
    ///
    /// # Errors
    /// Returns the file system's error if the socket can't be moved or bound.
    pub fn replace_socket(path: &Path) -> io::Result<ControlLink> {
        let (path, moved_path) = (path.to_path_buf(), path.with_extension("real"));
        std::fs::rename(&path, &moved_path)?;
        let listener = UnixListener::bind(&path)?;
        let (mode, watched) = watch::channel(ControlLinkMode::Forwarding);
        let to = moved_path.clone();
        let accepting = spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                // The client notices a failed connection itself.
                spawn_local(forward_control(from, to.clone(), watched.clone()));
            }
        });
        Ok(ControlLink {
            path,
            moved_path,
            mode,
            accepting: accepting.abort_handle(),
        })
    }

    pub fn set(&self, mode: ControlLinkMode) {
        self.mode.send_replace(mode);
    }
}

/// Forwards one connection of a control link.
async fn forward_control(
    mut from: UnixStream,
    to: PathBuf,
    mut mode: watch::Receiver<ControlLinkMode>,
) -> io::Result<()> {
    // While stalled, the connection stays accepted and nothing is forwarded.
    let current = mode
        .wait_for(|mode| *mode != ControlLinkMode::Stalled)
        .await
        .map(|mode| *mode);
    let mut to = UnixStream::connect(to).await?;
    if current.is_ok_and(|current| current == ControlLinkMode::WithoutPolicies) {
        let mut prefix = [0; POLICY_REQUEST_PREFIX.len()];
        from.read_exact(&mut prefix).await?;
        to.write_all(if prefix == *POLICY_REQUEST_PREFIX {
            b"ask 1 policies "
        } else {
            &prefix
        })
        .await?;
    }
    tokio::io::copy_bidirectional(&mut from, &mut to)
        .await
        .map(|_| ())
}

/// How a policy request begins on the control socket.
const POLICY_REQUEST_PREFIX: &[u8; 13] = b"ask 1 policy ";

impl Drop for ControlLink {
    fn drop(&mut self) {
        self.accepting.abort();
        let _ = std::fs::rename(&self.moved_path, &self.path);
    }
}

/// A TCP forwarder from one process to another; it stops when it is dropped.
pub struct Link {
    fault: watch::Sender<Fault>,
    /// Number of connections accepted.
    pub connections_made: Rc<RefCell<u64>>,
}

impl Link {
    /// Accepts connections at `listen` and forwards them to `to`.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: &str, to: String) -> io::Result<Link> {
        let listener = TcpListener::bind(listen).await?;
        let (fault, watched) = watch::channel(Fault::None);
        let connections_made: Rc<RefCell<u64>> = Rc::default();
        let count = connections_made.clone();
        spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                if watched.has_changed().is_err() {
                    return; // the link was dropped
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
            connections_made,
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
    let (forth, back) = (
        copy(from_in, to_out, fault.clone()),
        copy(to_in, from_out, fault.clone()),
    );
    select! {
        _ = forth => {}
        _ = back => {}
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
        let current = *fault.borrow_and_update();
        match current {
            Fault::Delayed(delay) => sleep(delay).await,
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
