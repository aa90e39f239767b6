//! An unbounded queue inside the process, both ends of which the process keeps.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The queue. The process clones the sender for those that fill it, and receives from it itself.
pub(super) struct Queue<T> {
    /// Where items are put in.
    pub sender: UnboundedSender<T>,
    /// Where they are taken out. It never ends, since the sender stays here.
    pub receiver: UnboundedReceiver<T>,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub(super) fn new() -> Queue<T> {
        let (sender, receiver) = unbounded_channel();
        Queue { sender, receiver }
    }
}
