//! Who is connected, so that with a full table the one that is missed least makes room for a newcomer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// What has come whole on a connection so far, the most telling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Said {
    #[default]
    Nothing,
    /// Checks of health, for which a new connection does as well.
    Checks,
    Invocations,
}

impl Said {
    pub fn from_number(number: u8) -> Said {
        match number {
            0 => Said::Nothing,
            1 => Said::Checks,
            _ => Said::Invocations,
        }
    }
}

/// Who has just come in has this long to say something before it counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(100);

/// What the table knows of one connection.
#[derive(Debug, Default)]
struct Standing {
    /// Since when nothing of it is in hand; none while something is.
    idle_since: Cell<Option<Instant>>,
    said: Cell<Said>,
    leaves: Cell<bool>,
    word: Notify,
}

impl Standing {
    /// How much it would be missed, the least first; none while something of it is in hand.
    fn missed(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.idle_since.get()?;
        let rank = match self.said.get() {
            Said::Nothing if now - since >= SILENT_AFTER => 0,
            Said::Checks => 1,
            Said::Nothing => 2,
            Said::Invocations => 3,
        };
        Some((rank, since))
    }
}

#[derive(Debug, Default)]
pub struct Table {
    places: RefCell<Vec<Rc<Standing>>>,
    freed: Notify,
}

/// One connection's seat; dropping it is the one way in which it is given back.
#[derive(Debug)]
pub struct Seat {
    table: Rc<Table>,
    standing: Rc<Standing>,
}

impl Table {
    pub fn sit(self: &Rc<Table>) -> Seat {
        let standing = Rc::new(Standing::default());
        standing.idle_since.set(Some(Instant::now()));
        self.places.borrow_mut().push(standing.clone());
        Seat {
            table: self.clone(),
            standing,
        }
    }

    pub fn len(&self) -> usize {
        self.places.borrow().len()
    }

    /// Waits until a seat was given back, or who was asked for it stays.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Asks the one to leave that is missed least: silent ones first, then those that only asked for health,
    /// of either the one that has had nothing in hand for the longest. False where all have something in hand.
    pub fn make_room(&self) -> bool {
        let places = self.places.borrow();
        if places.iter().any(|one| one.leaves.get()) {
            return true;
        }
        let now = Instant::now();
        let least = places
            .iter()
            .filter_map(|one| Some((one.missed(now)?, one)))
            .min_by_key(|(missed, _)| *missed);
        if let Some((_, one)) = least {
            one.leaves.set(true);
            one.word.notify_one();
        }
        least.is_some()
    }
}

impl Seat {
    /// Notes whether anything is in hand, and what has come whole so far.
    pub fn note(&self, busy: bool, said: Said) {
        let idle_since = self.standing.idle_since.get().unwrap_or_else(Instant::now);
        let fresh = said != self.standing.said.replace(said);
        let since = if fresh { Instant::now() } else { idle_since };
        self.standing.idle_since.set((!busy).then_some(since));
    }

    /// Whether it was asked to make room. One that has something in hand by now may stay, and another is asked.
    pub fn leaves(&self) -> bool {
        let asked = self.standing.leaves.get();
        let leaves = asked && self.standing.idle_since.get().is_some();
        self.standing.leaves.set(leaves);
        if asked && !leaves {
            self.table.freed.notify_one();
        }
        leaves
    }

    /// Waits to be asked to make room.
    pub async fn word(&self) {
        self.standing.word.notified().await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.table
            .places
            .borrow_mut()
            .retain(|one| !Rc::ptr_eq(one, &self.standing));
        self.table.freed.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn who_is_missed_least_makes_room_first() {
        let table = Rc::new(Table::default());
        let seats: Vec<Seat> = (0..6).map(|_| table.sit()).collect();
        let say = |seat: usize, busy: bool, said: Said| seats[seat].note(busy, said);
        say(0, false, Said::Invocations);
        say(1, true, Said::Invocations);
        advance(Duration::from_millis(10)).await;
        say(2, false, Said::Invocations);
        say(3, false, Said::Checks);
        advance(SILENT_AFTER).await;
        let newcomer = table.sit();
        newcomer.note(false, Said::Nothing);
        let mut order = Vec::new();
        while table.make_room() {
            let asked = seats
                .iter()
                .chain([&newcomer])
                .position(|seat| seat.leaves())
                .expect("one is asked");
            order.push(asked);
            // It stays after all, as something of it is in hand now: then another is asked.
            if let Some(seat) = seats.get(asked) {
                seat.note(true, seat.standing.said.get());
            } else {
                newcomer.note(true, Said::Nothing);
            }
            assert!(!seats.iter().chain([&newcomer]).any(|seat| seat.leaves()));
        }
        // Two silent ones, the one that only checked, the newcomer, then who has been idle for longest.
        assert_eq!(order, [4, 5, 3, 6, 0, 2]);
        drop(seats);
        assert_eq!(table.len(), 1);
    }
}
