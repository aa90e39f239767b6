//! The control socket: a Unix socket for operators' tools on this machine. A client that hangs or
//! sends without end occupies one of a few slots for a short time; clients of other users are
//! rejected.

mod connection;
mod request;

use std::cell::Cell;
use std::fs::Permissions;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream as BlockingStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use connection::Connection;
pub use request::PendingRequest;

/// The maximum number of connected clients; further ones are rejected at once.
const MAX_CLIENTS: usize = 8;
/// The pause after a failed accept, mostly for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The mode of the socket: only its owner may use it.
const SOCKET_MODE: u32 = 0o600;

/// The open socket. Dropping this closes it; requests that were received are still answered.
pub struct Control {
    accept_task: JoinHandle<()>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Opens the socket, replacing a stale one or that of this process's predecessor.
///
/// # Errors
/// The socket can't be created there; the text names its path.
pub fn open(path: &Path, requests: UnboundedSender<PendingRequest>) -> io::Result<Control> {
    let listener = bind(path).map_err(|error| {
        let text = format!("control: {}: {error}", path.display());
        io::Error::new(error.kind(), text)
    })?;
    info!(path:% = path.display(); "control socket listening at {}", path.display());
    Ok(Control {
        accept_task: spawn_local(accept(listener, requests)),
    })
}

/// Whether another process listens there.
pub fn is_taken(path: &Path) -> bool {
    BlockingStream::connect(path).is_ok()
}

/// Replaces an old socket atomically by a new one, which has its mode from the start.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    let temporary = PathBuf::from(temporary);
    // Usually there is none. If one can't be removed, the bind below fails.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    let renamed = std::fs::set_permissions(&temporary, Permissions::from_mode(SOCKET_MODE))
        .and_then(|()| std::fs::rename(&temporary, path));
    if let Err(error) = renamed {
        // Only the first error is of interest.
        let _ = std::fs::remove_file(&temporary);
        return Err(error);
    }
    Ok(listener)
}

async fn accept(listener: UnixListener, requests: UnboundedSender<PendingRequest>) {
    let clients = Rc::new(Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("control connection not accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if !is_permitted(&stream) {
            warn!("control connection of another user rejected");
            continue;
        }
        let Some(slot) = ClientSlot::take(&clients) else {
            warn!(limit = MAX_CLIENTS; "control connection rejected: {MAX_CLIENTS} are open");
            continue;
        };
        let connection = Connection::new(stream, requests.clone());
        spawn_local(async move {
            let _slot = slot;
            if let Err(error) = connection.serve().await {
                debug!("control connection failed: {error}");
            }
        });
    }
}

/// Whether the client belongs to this process's user or to root.
fn is_permitted(stream: &UnixStream) -> bool {
    let own_user = rustix::process::geteuid().as_raw();
    stream
        .peer_cred()
        .is_ok_and(|peer| peer.uid() == own_user || peer.uid() == 0)
}

/// The slot of one client, which only dropping it releases.
struct ClientSlot(Rc<Cell<usize>>);

impl ClientSlot {
    /// Takes a slot, if one is free.
    fn take(clients: &Rc<Cell<usize>>) -> Option<ClientSlot> {
        if clients.get() >= MAX_CLIENTS {
            return None;
        }
        clients.set(clients.get() + 1);
        Some(ClientSlot(clients.clone()))
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
