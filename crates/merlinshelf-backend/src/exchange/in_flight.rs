//! The invocations in flight, by the admission controller's index and by their id.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_dependencies::CallSnapshot;
use merlinshelf_protocol::CallId;

use super::runs::Command;

/// Where an answer is sent: a client connection, and the invocation's tag on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyAddress {
    pub connection: usize,
    pub tag: u16,
}

/// One invocation, from when it was read completely until it is released.
#[derive(Debug)]
pub struct InFlightInvocation {
    pub id: CallId,
    pub operation: usize,
    pub body: Rc<[u8]>,
    /// `None` once it was answered or its client has disconnected.
    pub reply: Option<ReplyAddress>,
    /// The number of the engine's latest notification that requested a call, and the call's body.
    pub call_request: Option<(u64, Rc<[u8]>)>,
    /// The dependency that this notification named.
    pub named_dependency: Option<Rc<str>>,
    /// How many calls its run has requested.
    pub calls_requested: usize,
    /// Names of the dependencies whose replies its result lacks.
    pub missing_parts: Vec<Rc<str>>,
    /// When its caller's timeout expires, relative to the exchange's start.
    pub due_at: Option<Duration>,
    /// Calls made so far, including retries, and whether the last one is open.
    pub calls: usize,
    pub is_calling: bool,
    /// The open call as its router knows it; `None` if the router does not make it.
    pub routed_call: Option<CallSnapshot>,
    /// Whether a run of it has been started.
    pub has_started: bool,
    /// How many notifications the engine has sent about it.
    pub notifications: u64,
    /// When its open call times out, relative to the exchange's start.
    pub call_timeout_at: Option<Duration>,
    /// The last command about it that the engine has not acknowledged, and whether it was written to
    /// the engine connection.
    pub command: Option<(Command, bool)>,
    /// Position in the order of arrival.
    pub arrival_order: u64,
}

impl InFlightInvocation {
    /// Its open call has ended; the router's last snapshot of it, if the router made it.
    pub fn close_call(&mut self) -> Option<CallSnapshot> {
        (self.is_calling, self.call_timeout_at) = (false, None);
        self.routed_call.take()
    }
}

/// All invocations in flight.
#[derive(Debug, Default)]
pub struct InFlightTable {
    slots: Vec<Option<InFlightInvocation>>,
    free: Vec<usize>,
    by_id: HashMap<CallId, usize>,
    arrivals: u64,
    /// While a journal is written: the indexes that may have changed since the last write, and the
    /// ids that were released.
    pub unsaved: Option<(BTreeSet<usize>, Vec<CallId>)>,
}

impl InFlightTable {
    /// Adds an invocation as the latest arrival; its index.
    pub fn insert(&mut self, mut invocation: InFlightInvocation) -> usize {
        self.arrivals += 1;
        invocation.arrival_order = self.arrivals;
        let index = self.free.pop().unwrap_or(self.slots.len());
        if index == self.slots.len() {
            self.slots.push(None);
        }
        self.by_id.insert(invocation.id, index);
        self.slots[index] = Some(invocation);
        self.mark_changed(index);
        index
    }

    fn mark_changed(&mut self, index: usize) {
        if let Some((changed, _)) = &mut self.unsaved {
            changed.insert(index);
        }
    }

    /// Removes an invocation and frees its index. Nothing else does either.
    pub fn remove(&mut self, index: usize) -> Option<InFlightInvocation> {
        let invocation = self.slots.get_mut(index)?.take()?;
        self.by_id.remove(&invocation.id);
        self.free.push(index);
        if let Some((_, released)) = &mut self.unsaved {
            released.push(invocation.id);
        }
        Some(invocation)
    }

    /// The invocation for modification: the next write of the journal includes it.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut InFlightInvocation> {
        self.mark_changed(index);
        self.slots.get_mut(index)?.as_mut()
    }

    pub fn get(&self, index: usize) -> Option<&InFlightInvocation> {
        self.slots.get(index)?.as_ref()
    }

    pub fn find(&self, id: CallId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Indexes of the invocations whose answers go to this connection.
    pub fn answered_on(&self, connection: usize) -> Vec<usize> {
        self.indexes(|invocation| {
            invocation
                .reply
                .is_some_and(|reply| reply.connection == connection)
        })
    }

    /// Indexes of all invocations.
    pub fn all(&self) -> Vec<usize> {
        self.indexes(|_| true)
    }

    fn indexes(&self, predicate: impl Fn(&InFlightInvocation) -> bool) -> Vec<usize> {
        let filled = self.slots.iter().enumerate();
        filled
            .filter(|(_, invocation)| invocation.as_ref().is_some_and(&predicate))
            .map(|(index, _)| index)
            .collect()
    }
}
