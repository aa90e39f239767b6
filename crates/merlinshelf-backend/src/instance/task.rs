//! Tasks that end with their owner.

use std::time::Duration;

use log::error;
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use tokio::time::sleep;

/// Before a task that panicked is started again: one that panics at once costs little CPU.
const RESTART_PAUSE: Duration = Duration::from_millis(10);

/// A task that is aborted when this is dropped.
pub(super) struct Task(JoinHandle<()>);

impl Task {
    /// Starts a task.
    pub(super) fn spawn(future: impl Future<Output = ()> + 'static) -> Task {
        Task(spawn_local(future))
    }

    /// Starts a task that begins anew where it panics: a fault in one part costs that part a
    /// restart, no more.
    pub(super) fn supervise<F: Future<Output = ()> + 'static>(
        name: &'static str,
        start: impl Fn() -> F + 'static,
    ) -> Task {
        Task::spawn(async move {
            loop {
                let mut attempt = Task::spawn(start());
                match (&mut attempt.0).await {
                    Ok(()) => return,
                    Err(error) => error!(task = name; "{name} restarted: {error}"),
                }
                sleep(RESTART_PAUSE).await;
            }
        })
    }

    /// Waits for its end, also that of an abort. A panic has been logged.
    pub(super) async fn wait(&mut self) {
        let _ = (&mut self.0).await;
    }

    /// Aborts it at its next turn.
    pub(super) fn abort(&self) {
        self.0.abort();
    }

    /// A handle that shows whether it has ended.
    pub(super) fn abort_handle(&self) -> AbortHandle {
        self.0.abort_handle()
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.abort();
    }
}
