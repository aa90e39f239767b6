//! The calls that have not ended, and which of them have changed.

use std::collections::{BTreeMap, BTreeSet};

use super::call_state::CallState;

/// Calls by number. Every modification goes through [`get_mut`](CallTable::get_mut), so that no
/// change is missed by the host, which passes calls to a successor.
#[derive(Clone, Debug, Default)]
pub(super) struct CallTable {
    calls: BTreeMap<u64, CallState>,
    /// Calls that may have changed since the last [`take_changed`](CallTable::take_changed).
    changed: BTreeSet<u64>,
}

impl CallTable {
    pub(super) fn insert(&mut self, call_id: u64, call: CallState) {
        self.changed.insert(call_id);
        self.calls.insert(call_id, call);
    }

    pub(super) fn get(&self, call_id: u64) -> Option<&CallState> {
        self.calls.get(&call_id)
    }

    pub(super) fn get_mut(&mut self, call_id: u64) -> Option<&mut CallState> {
        let call = self.calls.get_mut(&call_id)?;
        self.changed.insert(call_id);
        Some(call)
    }

    pub(super) fn remove(&mut self, call_id: u64) -> Option<CallState> {
        self.changed.remove(&call_id);
        self.calls.remove(&call_id)
    }

    /// Removes all calls.
    pub(super) fn take_all(&mut self) -> BTreeMap<u64, CallState> {
        self.changed.clear();
        std::mem::take(&mut self.calls)
    }

    /// The calls in progress that may have changed since the last call of this method.
    pub(super) fn take_changed(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.changed)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &CallState)> {
        self.calls.iter().map(|(call_id, call)| (*call_id, call))
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }
}
