//! The connections of the server side, as the exchange sees them: a queue of answers each.

use std::collections::BTreeSet;
use std::rc::Rc;

use tokio::sync::Notify;

use super::outbox::Outbox;
use super::{Answer, Shared};

/// One connection's door; dropping it is the one way in which it is given back.
pub struct Door {
    exchange: Shared,
    number: usize,
    /// The connection's number among all that ever were, also in processes before this one.
    stream: u64,
    wake: Rc<Notify>,
}

impl Door {
    pub fn open(exchange: &Shared) -> Door {
        let (number, stream, wake) = exchange.borrow_mut().open_door(None);
        Door {
            exchange: exchange.clone(),
            number,
            stream,
            wake,
        }
    }

    /// The door of a connection that another process has opened.
    pub fn reopen(exchange: &Shared, stream: u64) -> Door {
        let (number, stream, wake) = exchange.borrow_mut().open_door(Some(stream));
        Door {
            exchange: exchange.clone(),
            number,
            stream,
            wake,
        }
    }

    pub fn number(&self) -> usize {
        self.number
    }

    pub fn stream(&self) -> u64 {
        self.stream
    }

    /// Waits until there may be an answer or a word on closing.
    pub async fn knock(&self) {
        self.wake.notified().await;
    }

    pub fn next_answer(&self) -> Option<(u16, Answer)> {
        self.exchange.borrow_mut().doors.outbox(self.number)?.pop()
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.exchange.borrow_mut().close_door(self.number);
    }
}

type Answers = Outbox<(u16, Answer)>;

#[derive(Debug, Default)]
pub struct Doors {
    places: Vec<Option<(u64, Answers)>>,
    free: Vec<usize>,
    /// While changes are noted: the doors whose answers may have changed since.
    pub changes: Option<BTreeSet<usize>>,
}

impl Doors {
    pub fn open(&mut self, stream: u64) -> (usize, Rc<Notify>) {
        let number = self.free.pop().unwrap_or(self.places.len());
        if number == self.places.len() {
            self.places.push(None);
        }
        let (_, outbox) = self.places[number].insert((stream, Outbox::default()));
        (number, outbox.wake())
    }

    /// Says how many answers were left in it.
    pub fn close(&mut self, number: usize) -> usize {
        self.free.push(number);
        self.places[number]
            .take()
            .map_or(0, |(_, outbox)| outbox.len())
    }

    /// For changes.
    pub fn outbox(&mut self, number: usize) -> Option<&mut Answers> {
        if let Some(changes) = &mut self.changes {
            changes.insert(number);
        }
        self.places
            .get_mut(number)?
            .as_mut()
            .map(|(_, outbox)| outbox)
    }

    /// The connection behind a door, and the answers that wait there.
    pub fn look(&self, number: usize) -> Option<(u64, &Answers)> {
        self.places
            .get(number)?
            .as_ref()
            .map(|(stream, outbox)| (*stream, outbox))
    }

    /// The doors that are open.
    pub fn numbers(&self) -> impl Iterator<Item = usize> + '_ {
        self.places
            .iter()
            .enumerate()
            .filter(|(_, place)| place.is_some())
            .map(|(number, _)| number)
    }

    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    pub fn nudge_all(&self) {
        self.places
            .iter()
            .flatten()
            .for_each(|(_, outbox)| outbox.nudge());
    }
}
