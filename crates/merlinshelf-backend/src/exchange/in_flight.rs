//! The invocations in flight, by the controller's number and by their id.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_protocol::CallId;

use super::runs::Command;

/// Where an answer goes: a connection, and the invocation's tag on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyAddress {
    pub connection: usize,
    pub tag: u16,
}

/// One invocation, from when it was read until it is released.
#[derive(Debug)]
pub struct InFlightInvocation {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    /// None once it was answered or nobody is left to answer.
    pub reply: Option<ReplyAddress>,
    /// The last notification that requested a call: its number and the call's body.
    pub call_request: Option<(u64, Rc<[u8]>)>,
    /// The dependency that this notification named.
    pub named_dependency: Option<Rc<str>>,
    /// How many calls its run has requested.
    pub calls_requested: usize,
    /// Parts that its result lacks.
    pub missing_parts: Vec<Rc<str>>,
    /// When its caller gives up, from the exchange's start.
    pub due_at: Option<Duration>,
    /// Calls made so far, and whether the last one is open.
    pub calls: usize,
    pub is_calling: bool,
    /// Whether a run of it was ever started.
    pub has_started: bool,
    /// How many notifications the engine has sent about it.
    pub notifications: u64,
    /// When its open call times out, from the exchange's start.
    pub call_timeout_at: Option<Duration>,
    /// The last command about it that the engine is not known to have read, and whether it was put
    /// on the link.
    pub command: Option<(Command, bool)>,
    /// Its place in the order of arrival.
    pub arrival_order: u64,
}

/// All invocations in flight.
#[derive(Debug, Default)]
pub struct InFlightTable {
    slots: Vec<Option<InFlightInvocation>>,
    free: Vec<usize>,
    by_id: HashMap<CallId, usize>,
    arrivals: u64,
    /// While a journal is written: the numbers that may have changed since, and the ids that were
    /// released.
    pub unsaved: Option<(BTreeSet<usize>, Vec<CallId>)>,
}

impl InFlightTable {
    /// Adds one as the last arrival.
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

    /// The one place where an invocation's number and all that it owns are released.
    pub fn remove(&mut self, number: usize) -> Option<InFlightInvocation> {
        let invocation = self.slots.get_mut(number)?.take()?;
        self.by_id.remove(&invocation.id);
        self.free.push(number);
        if let Some((_, gone)) = &mut self.unsaved {
            gone.push(invocation.id);
        }
        Some(invocation)
    }

    /// For changes; the journal will have it.
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

    /// Those whose answers would go over this connection.
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
