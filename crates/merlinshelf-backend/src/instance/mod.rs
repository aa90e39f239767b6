//! A running instance: the exchange and its tasks. They start fresh or continue from the image of
//! another process, and run until they end or are frozen for another process.

mod drain;
mod restored;
mod task;

use std::os::fd::OwnedFd;
use std::rc::{Rc, Weak};
use std::time::Duration;

use merlinshelf_handover::Transaction;
use thiserror::Error;
use tokio::select;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::config::{Config, Peers};
use crate::exchange::{PassedDescriptors, Shared};
use crate::routing::SharedRouting;
use crate::server::Listener;
use drain::Drain;
use task::Task;

pub use restored::{IncompatibleImage, RestoreSource, RestoredInstance};

/// Frozen tasks stop at their next turn; one that takes longer than this counts as hung.
const FREEZE_TIMEOUT: Duration = Duration::from_secs(1);

/// An instance that serves.
pub struct Instance {
    /// The exchange, which all tasks share.
    pub exchange: Shared,
    peers: watch::Sender<Peers>,
    /// Owned by the accepting task until that closes it.
    listener: Weak<Listener>,
    close_listener: Rc<Notify>,
    accept_task: Task,
    /// Tasks that deposit their connections when they are frozen.
    depositing_tasks: Vec<Task>,
    _other_tasks: Vec<Task>,
    drain_timeout: Duration,
}

/// How an instance is started.
pub struct InstanceOptions<'a> {
    /// The platform's configuration.
    pub config: &'a Config,
    /// The servers that it connects to.
    pub peers: Peers,
    /// Routing of calls to several dependencies, if the operators name any.
    pub routing: Option<SharedRouting>,
    /// Whether clients may speak uwsgi as well as FastCGI.
    pub accepts_uwsgi: bool,
}

/// A frozen instance: the image, and all descriptors that belong to it.
pub struct FrozenInstance {
    /// The complete image, as one transaction.
    pub image: Transaction,
    /// The connections.
    pub connections: PassedDescriptors,
    /// The listening socket.
    pub listener: OwnedFd,
}

/// Why an instance can't be frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FreezeError {
    /// The instance drains and has closed its listener.
    #[error("the listener is closed")]
    ListenerClosed,
    /// Something other than the accepting task holds the listener.
    #[error("the listener is still in use")]
    ListenerInUse,
    /// A task hangs.
    #[error("a part does not stop")]
    Timeout,
}

impl Instance {
    /// Connects to these servers from now on.
    pub fn set_peers(&self, peers: Peers) {
        self.peers
            .send_if_modified(|current| std::mem::replace(current, peers) != peers);
    }

    /// The graceful shutdown. It completes in time for the process to exit by the deadline.
    pub fn drain(&self, deadline: Instant) -> impl Future<Output = ()> + use<> {
        Drain {
            exchange: self.exchange.clone(),
            close_listener: self.close_listener.clone(),
            accept_task: self.accept_task.abort_handle(),
            timeout: self.drain_timeout,
            deadline,
        }
        .run()
    }

    /// Stops all tasks at their next turn, and takes the image and the connections.
    ///
    /// # Errors
    /// The listener is closed or in use, or a task hangs. The instance has ended even then.
    pub async fn freeze(mut self) -> Result<FrozenInstance, FreezeError> {
        let listener = self.listener.upgrade().ok_or(FreezeError::ListenerClosed)?;
        self.accept_task.abort();
        // The task holds a reference to the listener until it has ended.
        self.accept_task.wait().await;
        self.exchange.borrow_mut().freeze();
        let deadline = Instant::now() + FREEZE_TIMEOUT;
        timeout_at(deadline, self.all_deposited())
            .await
            .map_err(|_| FreezeError::Timeout)?;
        let (image, connections) = self.exchange.borrow_mut().take_snapshot();
        let listener = Rc::try_unwrap(listener).map_err(|_| FreezeError::ListenerInUse)?;
        Ok(FrozenInstance {
            image,
            connections,
            listener: listener.into_inner().into(),
        })
    }

    /// Waits until the tasks and all client connections have deposited their connections.
    async fn all_deposited(&mut self) {
        for task in &mut self.depositing_tasks {
            task.wait().await;
        }
        while self.exchange.borrow().open_connections() > 0 {
            tokio::task::yield_now().await;
        }
    }
}

/// Fires the exchange's timers when they are due.
async fn run_timers(exchange: Shared) {
    let timer_set = exchange.borrow().timers_changed();
    loop {
        let next = exchange.borrow().next_timer();
        select! {
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                exchange.borrow_mut().fire_timers();
            }
            () = timer_set.notified() => {}
        }
    }
}
