//! The control socket: a Unix socket for operators' tools on this machine. A client that hangs,
//! sends without end or belongs to another user costs one of a few places, for a moment.

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

/// Clients that may be connected at one time; one more is rejected at once.
const MAX_CLIENTS: usize = 8;
/// After an accept that failed, mostly for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Of the socket: for its owner alone.
const SOCKET_MODE: u32 = 0o600;

/// The open socket. Dropping it closes it; requests that were received are still answered.
pub struct Control {
    accept_task: JoinHandle<()>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Opens the socket in place of one that nobody listens on, or of this process's predecessor's.
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

/// Replaces the old socket atomically by a new one, which has its mode from the start.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    let temporary = PathBuf::from(temporary);
    // Mostly there is none; one that can't be removed fails the bind below.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    let renamed = std::fs::set_permissions(&temporary, Permissions::from_mode(SOCKET_MODE))
        .and_then(|()| std::fs::rename(&temporary, path));
    if let Err(error) = renamed {
        // The first error is the one that matters.
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

/// Clients of the user of this process, and of root.
fn is_permitted(stream: &UnixStream) -> bool {
    let own_user = rustix::process::geteuid().as_raw();
    stream
        .peer_cred()
        .is_ok_and(|peer| peer.uid() == own_user || peer.uid() == 0)
}

/// The place of one client; dropping it is the only way in which it is released.
struct ClientSlot(Rc<Cell<usize>>);

impl ClientSlot {
    /// A place, if one is free.
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
