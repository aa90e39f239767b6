//! The invocations in hand, by the module's number and by their id.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_protocol::CallId;

use super::runs::Command;

/// Where an answer goes: a connection's door, and the invocation's tag on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    pub door: usize,
    pub tag: u16,
}

#[derive(Debug)]
pub struct InHand {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    /// None once it was answered or nobody is left to answer.
    pub reply: Option<Reply>,
    /// The last notice that asked for a call: its number and the call's body.
    pub need: Option<(u64, Rc<[u8]>)>,
    /// The dependency that this notice named.
    pub named: Option<Rc<str>>,
    /// How many calls its run has wanted.
    pub wanted: usize,
    /// Parts that its result is without.
    pub missing: Vec<Rc<str>>,
    /// When its caller waits no longer, from the exchange's start.
    pub due: Option<Duration>,
    /// Calls made so far, and whether the last one is open.
    pub calls: usize,
    pub calling: bool,
    /// Whether a run of it was ever started.
    pub begun: bool,
    /// How many notices the engine has sent about it.
    pub heard: u64,
    /// When its open call is given up, from the exchange's start.
    pub calling_until: Option<Duration>,
    /// The last command about it that the engine is not known to have read, and whether it was put on the link.
    pub command: Option<(Command, bool)>,
    /// In which order it came.
    pub place: u64,
}

#[derive(Debug, Default)]
pub struct Hand {
    places: Vec<Option<InHand>>,
    free: Vec<usize>,
    by_id: HashMap<CallId, usize>,
    came: u64,
    /// While changes are noted: the numbers that may have changed since they were last, and the ids given back.
    pub changes: Option<(BTreeSet<usize>, Vec<CallId>)>,
}

impl Hand {
    /// Takes one in; it is the last that came.
    pub fn take(&mut self, mut one: InHand) -> usize {
        self.came += 1;
        one.place = self.came;
        let number = self.free.pop().unwrap_or(self.places.len());
        if number == self.places.len() {
            self.places.push(None);
        }
        self.by_id.insert(one.id, number);
        self.places[number] = Some(one);
        self.changed(Some(number));
        number
    }

    fn changed(&mut self, number: Option<usize>) {
        if let (Some((changed, _)), Some(number)) = (&mut self.changes, number) {
            changed.insert(number);
        }
    }

    /// The one place where an invocation's number and all it holds are given back.
    pub fn give_back(&mut self, number: usize) -> Option<InHand> {
        let one = self.places.get_mut(number)?.take()?;
        self.by_id.remove(&one.id);
        self.free.push(number);
        if let Some((_, gone)) = &mut self.changes {
            gone.push(one.id);
        }
        Some(one)
    }

    /// For changes.
    pub fn get(&mut self, number: usize) -> Option<&mut InHand> {
        self.changed(Some(number));
        self.places.get_mut(number)?.as_mut()
    }

    pub fn look(&self, number: usize) -> Option<&InHand> {
        self.places.get(number)?.as_ref()
    }

    pub fn find(&self, id: CallId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Those whose answers would go through this door.
    pub fn behind(&self, door: usize) -> Vec<usize> {
        self.numbers(|one| one.reply.is_some_and(|reply| reply.door == door))
    }

    pub fn all(&self) -> Vec<usize> {
        self.numbers(|_| true)
    }

    fn numbers(&self, which: impl Fn(&InHand) -> bool) -> Vec<usize> {
        let filled = self.places.iter().enumerate();
        filled
            .filter(|(_, one)| one.as_ref().is_some_and(&which))
            .map(|(number, _)| number)
            .collect()
    }
}
