//! Tasks that end with their owner.

use std::time::Duration;

use log::error;
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use tokio::time::sleep;

/// Pause before a task that panicked is restarted. It bounds the CPU use of a task that panics at
/// every start.
const RESTART_PAUSE: Duration = Duration::from_millis(10);

/// A task that is aborted when this is dropped.
pub(super) struct Task(JoinHandle<()>);

impl Task {
    /// Starts a task.
    pub(super) fn spawn(future: impl Future<Output = ()> + 'static) -> Task {
        Task(spawn_local(future))
    }

    /// Starts a task that is restarted if it panics, so that other tasks are not affected.
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

    /// Waits until the task has ended or was aborted. A panic has been logged before.
    pub(super) async fn wait(&mut self) {
        let _ = (&mut self.0).await;
    }

    /// Aborts the task at its next turn.
    pub(super) fn abort(&self) {
        self.0.abort();
    }

    /// A handle that shows whether the task has ended.
    pub(super) fn abort_handle(&self) -> AbortHandle {
        self.0.abort_handle()
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.abort();
    }
}
