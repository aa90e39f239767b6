//! The invocations in hand, by the module's number and by their id.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_protocol::CallId;

use super::runs::Command;

/// Where an answer goes: a connection's door, and the invocation's tag on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyAddress {
    pub connection: usize,
    pub tag: u16,
}

#[derive(Debug)]
pub struct InFlightInvocation {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    /// None once it was answered or nobody is left to answer.
    pub reply: Option<ReplyAddress>,
    /// The last notice that asked for a call: its number and the call's body.
    pub call_request: Option<(u64, Rc<[u8]>)>,
    /// The dependency that this notice named.
    pub named_dependency: Option<Rc<str>>,
    /// How many calls its run has wanted.
    pub calls_requested: usize,
    /// Parts that its result is without.
    pub missing_parts: Vec<Rc<str>>,
    /// When its caller waits no longer, from the exchange's start.
    pub due_at: Option<Duration>,
    /// Calls made so far, and whether the last one is open.
    pub calls: usize,
    pub is_calling: bool,
    /// Whether a run of it was ever started.
    pub has_started: bool,
    /// How many notices the engine has sent about it.
    pub notifications: u64,
    /// When its open call is given up, from the exchange's start.
    pub call_timeout_at: Option<Duration>,
    /// The last command about it that the engine is not known to have read, and whether it was put on the link.
    pub command: Option<(Command, bool)>,
    /// In which order it came.
    pub arrival_order: u64,
}

#[derive(Debug, Default)]
pub struct InFlightTable {
    slots: Vec<Option<InFlightInvocation>>,
    free: Vec<usize>,
    by_id: HashMap<CallId, usize>,
    arrivals: u64,
    /// While changes are noted: the numbers that may have changed since they were last, and the ids given back.
    pub unsaved: Option<(BTreeSet<usize>, Vec<CallId>)>,
}

impl InFlightTable {
    /// Takes one in; it is the last that came.
    pub fn insert(&mut self, mut invocation: InFlightInvocation) -> usize {
        self.arrivals += 1;
        invocation.arrival_order = self.arrivals;
        let number = self.free.pop().unwrap_or(self.slots.len());
        if number == self.slots.len() {
            self.slots.push(None);
        }
        self.by_id.insert(invocation.id, number);
        self.slots[number] = Some(invocation);
        self.changed(Some(number));
        number
    }

    fn changed(&mut self, number: Option<usize>) {
        if let (Some((changed, _)), Some(number)) = (&mut self.unsaved, number) {
            changed.insert(number);
        }
    }

    /// The one place where an invocation's number and all it holds are given back.
    pub fn remove(&mut self, number: usize) -> Option<InFlightInvocation> {
        let invocation = self.slots.get_mut(number)?.take()?;
        self.by_id.remove(&invocation.id);
        self.free.push(number);
        if let Some((_, gone)) = &mut self.unsaved {
            gone.push(invocation.id);
        }
        Some(invocation)
    }

    /// For changes.
    pub fn get_mut(&mut self, number: usize) -> Option<&mut InFlightInvocation> {
        self.changed(Some(number));
        self.slots.get_mut(number)?.as_mut()
    }

    pub fn get(&self, number: usize) -> Option<&InFlightInvocation> {
        self.slots.get(number)?.as_ref()
    }

    pub fn find(&self, id: CallId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Those whose answers would go through this door.
    pub fn answered_on(&self, connection: usize) -> Vec<usize> {
        self.numbers(|invocation| {
            invocation
                .reply
                .is_some_and(|reply| reply.connection == connection)
        })
    }

    pub fn all(&self) -> Vec<usize> {
        self.numbers(|_| true)
    }

    fn numbers(&self, which: impl Fn(&InFlightInvocation) -> bool) -> Vec<usize> {
        let filled = self.slots.iter().enumerate();
        filled
            .filter(|(_, invocation)| invocation.as_ref().is_some_and(&which))
            .map(|(number, _)| number)
            .collect()
    }
}
