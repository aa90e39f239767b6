//! The open client connections. When there are as many as allowed, the least important idle one is
//! closed to make room for a new one.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The most important kind of request that a connection has received completely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReceivedKind {
    #[default]
    Nothing,
    /// Health checks, which a new connection can serve as well.
    HealthChecks,
    Invocations,
}

impl ReceivedKind {
    pub fn from_number(number: u8) -> ReceivedKind {
        match number {
            0 => ReceivedKind::Nothing,
            1 => ReceivedKind::HealthChecks,
            _ => ReceivedKind::Invocations,
        }
    }
}

/// How long a new connection may send nothing before it counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// What the table knows of one connection.
#[derive(Debug, Default)]
struct SlotState {
    /// Since when the connection has been idle; `None` while it is busy.
    idle_since: Cell<Option<Instant>>,
    received: Cell<ReceivedKind>,
    is_close_requested: Cell<bool>,
    close_request: Notify,
}

impl SlotState {
    /// The order in which connections are closed, the lowest first; `None` while the connection is
    /// busy.
    fn close_order(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.idle_since.get()?;
        let rank = match self.received.get() {
            ReceivedKind::Nothing if now - since >= SILENCE_TIMEOUT => 0,
            ReceivedKind::HealthChecks => 1,
            ReceivedKind::Nothing => 2,
            ReceivedKind::Invocations => 3,
        };
        Some((rank, since))
    }
}

/// The open connections.
#[derive(Debug, Default)]
pub struct Table {
    slots: RefCell<Vec<Rc<SlotState>>>,
    changed: Notify,
}

/// The entry of one connection, which only dropping it removes.
#[derive(Debug)]
pub struct Slot {
    table: Rc<Table>,
    state: Rc<SlotState>,
}

impl Table {
    pub fn add(self: &Rc<Table>) -> Slot {
        let state = Rc::new(SlotState::default());
        state.idle_since.set(Some(Instant::now()));
        self.slots.borrow_mut().push(state.clone());
        Slot {
            table: self.clone(),
            state,
        }
    }

    pub fn len(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Waits until a slot is removed, or a connection that was asked to close has become busy and
    /// stays.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Asks the least important idle connection to close, unless one was asked already: silent ones
    /// first, then those that received only health checks, and of equal ones the one idle for the
    /// longest. Returns false if all are busy.
    pub fn make_room(&self) -> bool {
        let slots = self.slots.borrow();
        if slots.iter().any(|slot| slot.is_close_requested.get()) {
            return true;
        }
        let now = Instant::now();
        let first = slots
            .iter()
            .filter_map(|slot| Some((slot.close_order(now)?, slot)))
            .min_by_key(|(order, _)| *order);
        if let Some((_, slot)) = first {
            slot.is_close_requested.set(true);
            slot.close_request.notify_one();
        }
        first.is_some()
    }
}

impl Slot {
    /// Updates whether the connection is busy and what it has received.
    pub fn update(&self, is_busy: bool, received: ReceivedKind) {
        let idle_since = self.state.idle_since.get().unwrap_or_else(Instant::now);
        let has_changed = received != self.state.received.replace(received);
        let since = if has_changed {
            Instant::now()
        } else {
            idle_since
        };
        self.state.idle_since.set((!is_busy).then_some(since));
    }

    /// Whether the connection was asked to close. One that has become busy since may stay, and
    /// another one is asked.
    pub fn must_close(&self) -> bool {
        let is_requested = self.state.is_close_requested.get();
        let must_close = is_requested && self.state.idle_since.get().is_some();
        self.state.is_close_requested.set(must_close);
        if is_requested && !must_close {
            self.table.changed.notify_one();
        }
        must_close
    }

    /// Waits until the connection is asked to close.
    pub async fn close_requested(&self) {
        self.state.close_request.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.table
            .slots
            .borrow_mut()
            .retain(|slot| !Rc::ptr_eq(slot, &self.state));
        self.table.changed.notify_one();
    }
}
