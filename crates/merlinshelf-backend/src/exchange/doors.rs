//! The connections of the server side, as the exchange sees them: a queue of answers each.

use std::rc::Rc;

use tokio::sync::Notify;

use super::outbox::Outbox;
use super::{Answer, Shared};

/// One connection's door; dropping it is the one way in which it is given back.
pub struct Door {
    exchange: Shared,
    number: usize,
    wake: Rc<Notify>,
}

impl Door {
    pub fn open(exchange: &Shared) -> Door {
        let (number, wake) = exchange.borrow_mut().open_door();
        Door { exchange: exchange.clone(), number, wake }
    }

    pub fn number(&self) -> usize {
        self.number
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

#[derive(Debug, Default)]
pub struct Doors {
    places: Vec<Option<Outbox<(u16, Answer)>>>,
    free: Vec<usize>,
}

impl Doors {
    pub fn open(&mut self) -> (usize, Rc<Notify>) {
        let number = self.free.pop().unwrap_or(self.places.len());
        if number == self.places.len() {
            self.places.push(None);
        }
        let outbox = self.places[number].insert(Outbox::default());
        (number, outbox.wake())
    }

    /// Says how many answers were left in it.
    pub fn close(&mut self, number: usize) -> usize {
        self.free.push(number);
        self.places[number].take().map_or(0, |outbox| outbox.len())
    }

    pub fn outbox(&mut self, number: usize) -> Option<&mut Outbox<(u16, Answer)>> {
        self.places.get_mut(number)?.as_mut()
    }

    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    pub fn nudge_all(&self) {
        self.places.iter().flatten().for_each(Outbox::nudge);
    }
}
