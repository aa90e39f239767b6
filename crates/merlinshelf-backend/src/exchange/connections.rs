//! The exchange's view of client connections: a queue of answers for each.

use std::collections::BTreeSet;
use std::rc::Rc;

use tokio::sync::Notify;

use super::send_queue::SendQueue;
use super::{Answer, Shared};

/// A client connection's access to the exchange. Dropping it releases the connection; nothing else
/// does.
pub struct ConnectionHandle {
    exchange: Shared,
    number: usize,
    /// Number that is unique among all connections, including those of earlier processes.
    stream: u64,
    answers_ready: Rc<Notify>,
}

impl ConnectionHandle {
    pub fn open(exchange: &Shared) -> ConnectionHandle {
        let (number, stream, wake) = exchange.borrow_mut().open_connection(None);
        ConnectionHandle {
            exchange: exchange.clone(),
            number,
            stream,
            answers_ready: wake,
        }
    }

    /// A handle for a connection that another process has opened.
    pub fn reopen(exchange: &Shared, stream: u64) -> ConnectionHandle {
        let (number, stream, wake) = exchange.borrow_mut().open_connection(Some(stream));
        ConnectionHandle {
            exchange: exchange.clone(),
            number,
            stream,
            answers_ready: wake,
        }
    }

    pub fn number(&self) -> usize {
        self.number
    }

    pub fn stream(&self) -> u64 {
        self.stream
    }

    /// Waits until there may be an answer or the connection may have to close.
    pub async fn answer_ready(&self) {
        self.answers_ready.notified().await;
    }

    /// Whether answers are queued.
    pub fn has_answers(&self) -> bool {
        let exchange = self.exchange.borrow();
        let queue = exchange.connections.queue(self.number);
        queue.is_some_and(|(_, answers)| answers.len() > 0)
    }

    pub fn next_answer(&self) -> Option<(u16, Answer)> {
        self.exchange
            .borrow_mut()
            .connections
            .queue_mut(self.number)?
            .pop()
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.exchange.borrow_mut().close_connection(self.number);
    }
}

type Answers = SendQueue<(u16, Answer)>;

/// All client connections, by the numbers of their handles.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    slots: Vec<Option<(u64, Answers)>>,
    free: Vec<usize>,
    /// While a journal is written: the connections whose answers may have changed since the last
    /// write.
    pub unsaved: Option<BTreeSet<usize>>,
}

impl ConnectionTable {
    pub fn open(&mut self, stream: u64) -> (usize, Rc<Notify>) {
        let number = self.free.pop().unwrap_or(self.slots.len());
        if number == self.slots.len() {
            self.slots.push(None);
        }
        let (_, queue) = self.slots[number].insert((stream, SendQueue::default()));
        (number, queue.waker())
    }

    /// Closes a connection. Returns the number of answers that were not sent.
    pub fn close(&mut self, number: usize) -> usize {
        self.free.push(number);
        self.slots[number]
            .take()
            .map_or(0, |(_, queue)| queue.len())
    }

    /// The connection's answers for modification: the next write of the journal includes them.
    pub fn queue_mut(&mut self, number: usize) -> Option<&mut Answers> {
        if let Some(changes) = &mut self.unsaved {
            changes.insert(number);
        }
        self.slots.get_mut(number)?.as_mut().map(|(_, queue)| queue)
    }

    /// The connection's unique number and its pending answers.
    pub fn queue(&self, number: usize) -> Option<(u64, &Answers)> {
        self.slots
            .get(number)?
            .as_ref()
            .map(|(stream, queue)| (*stream, queue))
    }

    /// The numbers in use.
    pub fn numbers(&self) -> impl Iterator<Item = usize> + '_ {
        self.slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.is_some())
            .map(|(number, _)| number)
    }

    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    pub fn wake_all(&self) {
        self.slots
            .iter()
            .flatten()
            .for_each(|(_, queue)| queue.wake());
    }
}
