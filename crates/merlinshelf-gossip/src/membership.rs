//! Membership: discovers peers from a few seeds, polls them in turn, suspects those that do not
//! answer, and spreads changes by gossip. The message rate of one instance does not grow with the
//! number of peers.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala, 2002): peers are polled in an order that is
//! reshuffled for each round, so that every peer is polled once a round; a suspected peer may
//! refute the suspicion; polls and answers carry a few updates each, and each update is sent a
//! number of times that grows with the logarithm of the number of peers.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::peer_table::{Peer, PeerTable};

/// How often each update is sent per doubling of the table's size. With three, one in several
/// thousand changes misses a peer, which the next round corrects.
const SENDS_PER_DOUBLING: u32 = 3;
/// Marks the address of a seed in a round; peer names must not start with it.
const SEED_PREFIX: char = '@';
const MAX_NAME_BYTES: usize = 64;
const MAX_ADDRESS_BYTES: usize = 64;
/// Shortest pause between two polls and the range of its random extension, as parts of the poll
/// interval. The jitter keeps instances that start together from polling in step.
const MIN_PAUSE: f64 = 0.75;
const PAUSE_JITTER: f64 = 0.5;

/// The state of a peer as this instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The peer answers polls.
    Alive,
    /// The peer did not answer a poll of some instance, and may refute the suspicion.
    Suspect,
    /// The peer announced that it is leaving.
    Left,
    /// The suspicion timed out without a refutation.
    #[serde(rename = "Gone")]
    Dead,
}

/// The state of one peer. Within an incarnation the later state in the order of [`State`] wins,
/// unless the peer refuted it; a later incarnation overrides any state of an earlier one.
///
/// Stored by the field names of the first version of the format, hence the `rename`s.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Name of the peer.
    pub name: String,
    /// Address at which it can be polled.
    pub address: String,
    /// Number of its incarnation; later ones are higher.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How often the peer has refuted a suspicion in this incarnation.
    #[serde(rename = "turn")]
    pub refutations: u32,
    /// Its state.
    pub state: State,
}

/// Intervals and limits of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two polls.
    pub poll_interval_seconds: f64,
    /// A peer that has not answered a poll within this time is suspected.
    pub answer_timeout_seconds: f64,
    /// How long a peer is suspected before it is declared dead.
    pub suspicion_timeout_seconds: f64,
    /// How long a peer that has left or is dead stays in the table.
    pub forget_after_seconds: f64,
    /// Maximum number of peers in the table; further ones are ignored.
    pub max_peers: usize,
    /// Maximum number of updates in one poll or answer.
    pub max_updates: usize,
    /// Maximum number of pending polls at [`PollRate::Urgent`].
    pub max_concurrent_polls: usize,
    /// Time between two polls at [`PollRate::Urgent`].
    pub urgent_poll_interval_seconds: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            poll_interval_seconds: 1.0,
            answer_timeout_seconds: 0.5,
            suspicion_timeout_seconds: 5.0,
            forget_after_seconds: 60.0,
            max_peers: 4096,
            max_updates: 32,
            max_concurrent_polls: 3,
            urgent_poll_interval_seconds: 0.05,
        }
    }
}

/// How often peers are polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRate {
    /// One pending poll at a time.
    Normal,
    /// Several pending polls and a short interval, for a starting instance.
    Urgent,
}

/// An action that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a peer. Pass its answer to [`Members::answer_received`]; a missing answer needs no
    /// report.
    Poll {
        /// Address of the peer.
        address: String,
        /// Updates to send with the poll.
        updates: Vec<MembershipUpdate>,
    },
}

/// A peer that can be polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddress<'a> {
    /// Its name.
    pub name: &'a str,
    /// Address at which it can be polled.
    pub address: &'a str,
}

/// A poll that was not answered yet.
#[derive(Clone, Debug)]
struct PendingPoll {
    name: Arc<str>,
    deadline: f64,
}

/// The peers of one instance.
#[derive(Clone, Debug)]
pub struct Members {
    own: MembershipUpdate,
    seeds: Vec<String>,
    settings: Settings,
    peers: PeerTable,
    /// Names of peers, and seeds, that remain to be polled in this round.
    round: VecDeque<Arc<str>>,
    pending_polls: Vec<PendingPoll>,
    poll_at: f64,
    actions: VecDeque<Action>,
}

impl Members {
    /// An instance that knows only its seeds, which are addresses.
    pub fn new(
        now: f64,
        name: &str,
        address: &str,
        incarnation: u64,
        seeds: &[String],
        settings: Settings,
    ) -> Members {
        let own = MembershipUpdate {
            name: name.into(),
            address: address.into(),
            incarnation,
            refutations: 0,
            state: State::Alive,
        };
        let other_seeds = seeds.iter().filter(|seed| *seed != address);
        Members {
            own,
            seeds: other_seeds.cloned().collect(),
            settings,
            peers: PeerTable::new(&settings),
            round: VecDeque::new(),
            pending_polls: Vec::new(),
            poll_at: now,
            actions: VecDeque::new(),
        }
    }

    /// The next action for the host.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Members::timer_expired`] must be called at the latest.
    pub fn next_timeout(&self) -> f64 {
        let deadlines = self.pending_polls.iter().map(|poll| poll.deadline);
        deadlines.fold(self.poll_at, f64::min)
    }

    /// The update about this instance itself, for polls and answers.
    pub fn own(&self) -> &MembershipUpdate {
        &self.own
    }

    /// Peers that are alive.
    pub fn alive(&self) -> impl Iterator<Item = PeerAddress<'_>> {
        let alive = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.state == State::Alive);
        alive.map(|(name, peer)| PeerAddress {
            name,
            address: &peer.address,
        })
    }

    /// How many peers are alive.
    pub fn count_alive(&self) -> usize {
        self.peers.alive_count()
    }

    /// The state of a peer; `None` if it is not in the table.
    pub fn state_of(&self, name: &str) -> Option<State> {
        self.peers.get(name).map(|peer| peer.state)
    }

    /// How many peers are in the table, in any state.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is in the table.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Marks this instance as leaving, which its further polls and answers announce.
    pub fn leave(&mut self) {
        self.own.state = State::Left;
    }

    /// Handles the timeout of [`Members::next_timeout`]. Each call of `random` returns a random
    /// number in [0, 1).
    pub fn timer_expired(&mut self, now: f64, rate: PollRate, random: &mut dyn FnMut() -> f64) {
        self.suspect_silent_peers(now);
        self.end_due_states(now);
        if now >= self.poll_at {
            self.poll_next(now, rate, random);
        }
    }

    fn suspect_silent_peers(&mut self, now: f64) {
        let silent: Vec<PendingPoll> = self
            .pending_polls
            .extract_if(.., |poll| now >= poll.deadline)
            .collect();
        for poll in silent {
            let Some(peer) = self.peers.get(&poll.name) else {
                continue;
            };
            if peer.state == State::Alive {
                let suspect = peer.with_state(now, State::Suspect);
                self.peers.insert(&poll.name, suspect);
            }
        }
    }

    /// Declares peers dead whose suspicion has timed out, and removes peers that have left or are
    /// dead for long enough.
    fn end_due_states(&mut self, now: f64) {
        while let Some((name, peer)) = self.peers.next_due(now) {
            if peer.state == State::Suspect {
                self.peers.insert(&name, peer.with_state(now, State::Dead));
            } else {
                self.peers.remove(&name);
            }
        }
    }

    fn poll_next(&mut self, now: f64, rate: PollRate, random: &mut dyn FnMut() -> f64) {
        let (max_concurrent_polls, interval_seconds) = match rate {
            PollRate::Normal => (1, self.settings.poll_interval_seconds),
            PollRate::Urgent => (
                self.settings.max_concurrent_polls,
                self.settings.urgent_poll_interval_seconds,
            ),
        };
        self.poll_at = now + interval_seconds * (MIN_PAUSE + PAUSE_JITTER * random());
        if self.pending_polls.len() >= max_concurrent_polls {
            return;
        }
        if self.round.is_empty() {
            self.start_round(random);
        }
        while let Some(name) = self.round.pop_front() {
            let Some(address) = self.address_of(&name) else {
                continue;
            };
            if self.pending_polls.iter().any(|poll| poll.name == name) {
                continue;
            }
            self.pending_polls.push(PendingPoll {
                name,
                deadline: now + self.settings.answer_timeout_seconds,
            });
            let updates = self.take_updates();
            self.actions.push_back(Action::Poll { address, updates });
            return;
        }
    }

    /// Starts a round over all reachable peers, shuffled. Seeds at whose address no peer is known
    /// are included, so that partitions that no longer know each other merge again.
    fn start_round(&mut self, random: &mut dyn FnMut() -> f64) {
        let reachable = self.peers.iter().filter(|(_, peer)| peer.is_reachable());
        let mut names: Vec<Arc<str>> = reachable.map(|(name, _)| name.clone()).collect();
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.is_known_address(seed));
        names.extend(unknown_seeds.map(|seed| format!("{SEED_PREFIX}{seed}").into()));
        for last in (1..names.len()).rev() {
            let chosen = (random() * (last + 1) as f64) as usize;
            names.swap(last, chosen);
        }
        self.round = names.into();
    }

    fn is_known_address(&self, address: &str) -> bool {
        self.peers
            .iter()
            .any(|(_, peer)| peer.address == address && peer.is_reachable())
    }

    fn address_of(&self, name: &str) -> Option<String> {
        if let Some(seed) = name.strip_prefix(SEED_PREFIX) {
            return Some(seed.to_owned());
        }
        let peer = self.peers.get(name).filter(|peer| peer.is_reachable())?;
        Some(peer.address.clone())
    }

    /// Handles a poll with the sender's own state and updates of others. Returns the updates to
    /// answer with.
    pub fn poll_received(
        &mut self,
        now: f64,
        from: &MembershipUpdate,
        updates: &[MembershipUpdate],
    ) -> Vec<MembershipUpdate> {
        self.apply_all(now, from, updates);
        self.take_updates()
    }

    /// Handles an answer with the sender's own state and updates of others.
    pub fn answer_received(
        &mut self,
        now: f64,
        from: &MembershipUpdate,
        updates: &[MembershipUpdate],
    ) {
        self.pending_polls.retain(|poll| {
            let is_same_peer = *poll.name == *from.name;
            let is_same_seed = poll
                .name
                .strip_prefix(SEED_PREFIX)
                .is_some_and(|seed| seed == from.address);
            !is_same_peer && !is_same_seed
        });
        self.apply_all(now, from, updates);
    }

    fn apply_all(&mut self, now: f64, from: &MembershipUpdate, updates: &[MembershipUpdate]) {
        self.apply(now, from);
        for update in updates {
            self.apply(now, update);
        }
    }

    fn apply(&mut self, now: f64, update: &MembershipUpdate) {
        if update.name == self.own.name {
            self.refute(update);
            return;
        }
        if !is_valid(update) {
            return;
        }
        let known = self.peers.get_key_value(&update.name);
        let is_newer = match known {
            Some((_, known)) => known.is_older_than(update),
            // An unknown peer that has left or is dead need not be added.
            None => update.state <= State::Suspect && self.peers.len() < self.settings.max_peers,
        };
        if is_newer {
            let name = known.map_or_else(|| update.name.as_str().into(), |(name, _)| name.clone());
            self.peers.insert(&name, Peer::from_update(now, update));
        }
    }

    /// Refutes an update that claims a worse state of this incarnation than the actual one.
    fn refute(&mut self, update: &MembershipUpdate) {
        let is_wrong = update.state > self.own.state
            && update.incarnation == self.own.incarnation
            && update.refutations >= self.own.refutations;
        if is_wrong {
            self.own.refutations = update.refutations.saturating_add(1);
        }
    }

    /// The updates to send next: those sent least often that have not yet been sent the maximum
    /// number of times. Counts them as sent once more.
    fn take_updates(&mut self) -> Vec<MembershipUpdate> {
        let doublings = usize::BITS - self.peers.len().leading_zeros();
        let max_sent_count = SENDS_PER_DOUBLING * (doublings + 1);
        let names = self
            .peers
            .least_sent(max_sent_count, self.settings.max_updates);
        let mut updates = Vec::new();
        for name in names {
            let Some(mut peer) = self.peers.get(&name).cloned() else {
                continue;
            };
            updates.push(peer.to_update(&name));
            peer.sent_count += 1;
            self.peers.insert(&name, peer);
        }
        updates
    }
}

fn is_valid(update: &MembershipUpdate) -> bool {
    !update.name.is_empty()
        && !update.name.starts_with(SEED_PREFIX)
        && update.name.len() <= MAX_NAME_BYTES
        && update.address.len() <= MAX_ADDRESS_BYTES
}
