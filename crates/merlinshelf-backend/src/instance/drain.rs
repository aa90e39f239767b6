//! The graceful shutdown of an instance.

use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::exchange::Shared;

/// Time before the deadline at which the listener and idle connections are closed.
const CLOSE_BEFORE: Duration = Duration::from_millis(350);
/// Time before the deadline by which the admission controller has decided every response, which
/// leaves time to write the responses.
const RESPOND_BEFORE: Duration = Duration::from_millis(200);
/// Time before the deadline at which the process exits, even if connections are open.
const EXIT_BEFORE: Duration = Duration::from_millis(60);
/// Interval at which open connections are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A graceful shutdown in progress.
pub(super) struct Drain {
    pub exchange: Shared,
    /// Notified to close the listener.
    pub close_listener: Rc<Notify>,
    pub accept_task: AbortHandle,
    /// The total time that the platform allows for a shutdown.
    pub timeout: Duration,
    /// When the process must have exited.
    pub deadline: Instant,
}

impl Drain {
    /// Completes once all connections are closed, or shortly before the deadline.
    pub(super) async fn run(self) {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let elapsed = self.timeout.saturating_sub(remaining);
        self.exchange
            .borrow_mut()
            .begin_shutdown(self.before_deadline(RESPOND_BEFORE), elapsed);
        self.exchange.borrow_mut().write_instance_to_journal();
        sleep_until(self.before_deadline(CLOSE_BEFORE)).await;
        self.close_listener.notify_one();
        self.exchange.borrow_mut().close_idle_connections();
        let exit_at = self.before_deadline(EXIT_BEFORE);
        if timeout_at(exit_at, self.all_closed()).await.is_err() {
            let exchange = self.exchange.borrow();
            let in_flight = exchange.in_flight();
            let connections = exchange.open_connections();
            warn!(
                in_flight = in_flight, connections = connections;
                "drain deadline reached with {in_flight} invocations in flight \
                 and {connections} client connections open"
            );
        }
    }

    /// The moment `margin` before the deadline. The margin is at most a quarter of the timeout.
    fn before_deadline(&self, margin: Duration) -> Instant {
        self.deadline
            .checked_sub(margin.min(self.timeout / 4))
            .unwrap_or(self.deadline)
    }

    async fn all_closed(&self) {
        while !self.accept_task.is_finished() || self.exchange.borrow().open_connections() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }
}
