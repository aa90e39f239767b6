//! The graceful shutdown of an instance.

use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::exchange::Shared;

/// Before the process must have exited: from here on new connections are refused and idle ones
/// closed.
const CLOSE_BEFORE: Duration = Duration::from_millis(350);
/// By here the admission controller has responded to everything, which leaves time to write the
/// responses.
const RESPOND_BEFORE: Duration = Duration::from_millis(200);
/// Here the process exits, whatever is left.
const EXIT_BEFORE: Duration = Duration::from_millis(60);
/// Between two looks at what is left.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A shutdown and what it needs.
pub(super) struct Drain {
    pub exchange: Shared,
    /// Notified to close the listener.
    pub close_listener: Rc<Notify>,
    pub accept_task: AbortHandle,
    /// The time that the platform grants for a shutdown in all.
    pub timeout: Duration,
    /// When the process must have exited.
    pub deadline: Instant,
}

impl Drain {
    /// Completes once everything is done, or the time is over.
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

    /// So long before the deadline; of a short timeout a quarter at most.
    fn before_deadline(&self, time: Duration) -> Instant {
        self.deadline
            .checked_sub(time.min(self.timeout / 4))
            .unwrap_or(self.deadline)
    }

    async fn all_closed(&self) {
        while !self.accept_task.is_finished() || self.exchange.borrow().open_connections() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }
}
