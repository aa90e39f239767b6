//! An unbounded queue of which the process keeps both ends.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// An unbounded queue. Other tasks add items through clones of the sender; the process receives
/// them.
pub(super) struct Queue<T> {
    /// Adds items.
    pub sender: UnboundedSender<T>,
    /// Receives items. It never ends, since the sender is kept here.
    pub receiver: UnboundedReceiver<T>,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub(super) fn new() -> Queue<T> {
        let (sender, receiver) = unbounded_channel();
        Queue { sender, receiver }
    }
}
