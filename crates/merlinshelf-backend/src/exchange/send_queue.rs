//! A queue from the exchange to a task, which is woken when an item is added.

use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

/// Items for a task, which removes them when it is woken.
#[derive(Debug)]
pub struct SendQueue<T> {
    waiting: VecDeque<T>,
    wake: Rc<Notify>,
}

impl<T> Default for SendQueue<T> {
    fn default() -> Self {
        SendQueue {
            waiting: VecDeque::new(),
            wake: Rc::default(),
        }
    }
}

impl<T> SendQueue<T> {
    pub fn push(&mut self, item: T) {
        self.waiting.push_back(item);
        self.wake.notify_one();
    }

    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_front()
    }

    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Wakes the task without an item, so that it checks the state of the exchange.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    pub fn waker(&self) -> Rc<Notify> {
        self.wake.clone()
    }
}
