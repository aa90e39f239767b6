//! The table of known peers, with the orders in which the protocol visits them.
//!
//! Peers are indexed by deadline and by how often their update was sent, so that each operation
//! takes time logarithmic in the table's size.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::membership::{MembershipUpdate, Settings, State};

/// The known state of one peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: String,
    pub(crate) incarnation: u64,
    pub(crate) refutations: u32,
    pub(crate) state: State,
    pub(crate) state_since: f64,
    /// How often this instance has sent the update of this state.
    pub(crate) sent_count: u32,
}

impl Peer {
    pub(crate) fn from_update(now: f64, update: &MembershipUpdate) -> Peer {
        Peer {
            address: update.address.clone(),
            incarnation: update.incarnation,
            refutations: update.refutations,
            state: update.state,
            state_since: now,
            sent_count: 0,
        }
    }

    /// The same peer in another state, whose update has not been sent yet.
    pub(crate) fn with_state(&self, now: f64, state: State) -> Peer {
        Peer {
            state,
            state_since: now,
            sent_count: 0,
            ..self.clone()
        }
    }

    pub(crate) fn to_update(&self, name: &str) -> MembershipUpdate {
        MembershipUpdate {
            name: name.to_owned(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            refutations: self.refutations,
            state: self.state,
        }
    }

    /// Whether the peer may answer a poll.
    pub(crate) fn is_reachable(&self) -> bool {
        self.state <= State::Suspect
    }

    pub(crate) fn is_older_than(&self, update: &MembershipUpdate) -> bool {
        (self.incarnation, self.refutations, self.state)
            < (update.incarnation, update.refutations, update.state)
    }
}

/// Peers by name. Only [`PeerTable::insert`] and [`PeerTable::remove`] change it, to keep the
/// indexes consistent.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    suspicion_timeout_seconds: f64,
    forget_after_seconds: f64,
    peers: BTreeMap<Arc<str>, Peer>,
    by_sent_count: BTreeSet<(u32, Arc<str>)>,
    /// By the time at which the state ends, as a [`sortable`] integer.
    by_deadline: BTreeSet<(u64, Arc<str>)>,
    alive_count: usize,
}

/// Maps a time to an integer with the same order.
fn sortable(time: f64) -> u64 {
    let bits = time.to_bits();
    let is_positive = bits >> 63 == 0;
    if is_positive { bits | 1 << 63 } else { !bits }
}

impl PeerTable {
    pub(crate) fn new(settings: &Settings) -> PeerTable {
        PeerTable {
            suspicion_timeout_seconds: settings.suspicion_timeout_seconds,
            forget_after_seconds: settings.forget_after_seconds,
            peers: BTreeMap::new(),
            by_sent_count: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            alive_count: 0,
        }
    }

    /// When a suspected peer is declared dead, or a peer that has left or is dead is removed.
    fn deadline(&self, peer: &Peer) -> Option<u64> {
        match peer.state {
            State::Alive => None,
            State::Suspect => Some(sortable(peer.state_since + self.suspicion_timeout_seconds)),
            State::Left | State::Dead => {
                Some(sortable(peer.state_since + self.forget_after_seconds))
            }
        }
    }

    pub(crate) fn insert(&mut self, name: &Arc<str>, peer: Peer) {
        self.remove(name);
        self.by_sent_count.insert((peer.sent_count, name.clone()));
        if let Some(deadline) = self.deadline(&peer) {
            self.by_deadline.insert((deadline, name.clone()));
        }
        self.alive_count += usize::from(peer.state == State::Alive);
        self.peers.insert(name.clone(), peer);
    }

    pub(crate) fn remove(&mut self, name: &Arc<str>) {
        let Some(peer) = self.peers.remove(name) else {
            return;
        };
        self.by_sent_count.remove(&(peer.sent_count, name.clone()));
        if let Some(deadline) = self.deadline(&peer) {
            self.by_deadline.remove(&(deadline, name.clone()));
        }
        self.alive_count -= usize::from(peer.state == State::Alive);
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// The peer and the shared string of its name.
    pub(crate) fn get_key_value(&self, name: &str) -> Option<(&Arc<str>, &Peer)> {
        self.peers.get_key_value(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.peers.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(crate) fn alive_count(&self) -> usize {
        self.alive_count
    }

    /// The next peer whose deadline has passed.
    pub(crate) fn next_due(&self, now: f64) -> Option<(Arc<str>, Peer)> {
        let (deadline, name) = self.by_deadline.first()?;
        if *deadline > sortable(now) {
            return None;
        }
        let peer = self.peers.get(name)?;
        Some((name.clone(), peer.clone()))
    }

    /// Names of the peers whose updates were sent least often, among those sent fewer than
    /// `max_sent_count` times.
    pub(crate) fn least_sent(&self, max_sent_count: u32, max_names: usize) -> Vec<Arc<str>> {
        let least_sent = self
            .by_sent_count
            .iter()
            .take_while(|(sent_count, _)| *sent_count < max_sent_count);
        let names = least_sent.map(|(_, name)| name.clone());
        names.take(max_names).collect()
    }
}
