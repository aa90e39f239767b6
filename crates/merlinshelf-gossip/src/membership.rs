//! Which other instances there are: peers by name, found from a few seeds, polled in turn,
//! suspected when they are silent, and sent on by gossip. What this costs one instance does not
//! grow with the number of peers.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala, 2002): peers are polled in an order that is
//! shuffled anew for each round, so that every peer is polled once a round; a suspected peer may
//! refute the suspicion; updates go with polls and answers, few at a time, and each is sent a
//! number of times that grows with the logarithm of the number of peers.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::peer_table::{Peer, PeerTable};

/// Each update is sent so many times for each doubling of the table. With three, one in some
/// thousands of changes misses some peer, which its next round makes good.
const SENDS_PER_DOUBLING: u32 = 3;
/// Stands before the address of a seed in the round, where it is no peer's name.
const SEED_PREFIX: char = '@';
const MAX_NAME_BYTES: usize = 64;
const MAX_ADDRESS_BYTES: usize = 64;
/// Shortest pause between two polls, as a part of the interval, and how much chance may add: so
/// that instances that start together do not poll together.
const MIN_PAUSE: f64 = 0.75;
const PAUSE_JITTER: f64 = 0.5;

/// The state that a peer is taken to be in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer somebody, and may refute that.
    Suspect,
    /// It announced that it leaves.
    Left,
    /// It was suspected for too long.
    Gone,
}

/// The state of one peer. Within an incarnation the worse state wins, unless it was refuted; a
/// later incarnation wins over any.
///
/// Stored by the field names of the first version of the format, hence the `rename`s.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Name of the peer.
    pub name: String,
    /// Where it can be polled.
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
    /// Between two polls.
    pub poll_interval_seconds: f64,
    /// Who has not answered by then is suspected.
    pub answer_timeout_seconds: f64,
    /// How long a peer is suspected before it is taken for gone.
    pub suspicion_timeout_seconds: f64,
    /// After how long a peer that has left or is gone is forgotten.
    pub forget_after_seconds: f64,
    /// Peers in the table; more are not taken in.
    pub max_peers: usize,
    /// Updates that go with one poll or answer.
    pub max_updates: usize,
    /// Polls that are awaited at one time at [`PollRate::Urgent`].
    pub max_concurrent_polls: usize,
    /// Between two polls at [`PollRate::Urgent`].
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
    /// One peer at a time.
    Normal,
    /// Several at a time and again soon, as a starting instance does.
    Urgent,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a peer. Its answer goes to [`Members::answer_received`]; silence is noticed by itself.
    Poll {
        /// Where the peer is.
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
    /// Where it can be polled.
    pub address: &'a str,
}

/// A poll whose answer is awaited.
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
    /// Names of peers, and seeds, that are yet to be polled in this round.
    round: VecDeque<Arc<str>>,
    pending_polls: Vec<PendingPoll>,
    poll_at: f64,
    actions: VecDeque<Action>,
}

impl Members {
    /// An instance that knows nobody but its seeds, which are addresses.
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

    /// The next thing that the host is to do.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Members::timer_expired`] must be called though nothing happens.
    pub fn next_timeout(&self) -> f64 {
        let deadlines = self.pending_polls.iter().map(|poll| poll.deadline);
        deadlines.fold(self.poll_at, f64::min)
    }

    /// The state of this instance itself, for polls and answers.
    pub fn own(&self) -> &MembershipUpdate {
        &self.own
    }

    /// Peers that can be polled.
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

    /// How many peers can be polled.
    pub fn count_alive(&self) -> usize {
        self.peers.alive_count()
    }

    /// The state of a peer; none for one that is not in the table.
    pub fn state_of(&self, name: &str) -> Option<State> {
        self.peers.get(name).map(|peer| peer.state)
    }

    /// How many peers are in the table, in whatever state.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is in the table.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// This instance leaves, and announces it with its further polls and answers.
    pub fn leave(&mut self) {
        self.own.state = State::Left;
    }

    /// The time of [`Members::next_timeout`] has come. `random` gives another number from 0 to
    /// under 1 at each call.
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

    /// Suspected peers are gone after a while, and those that have left or are gone forgotten.
    fn end_due_states(&mut self, now: f64) {
        while let Some((name, peer)) = self.peers.next_due(now) {
            if peer.state == State::Suspect {
                self.peers.insert(&name, peer.with_state(now, State::Gone));
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

    /// All peers that may be there, shuffled. Seeds, too, as long as nobody is known at their
    /// address, so that parts of a network that have lost sight of each other meet again.
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

    /// A peer polls, with its own state and updates of others. Returns the updates to answer with.
    pub fn poll_received(
        &mut self,
        now: f64,
        from: &MembershipUpdate,
        updates: &[MembershipUpdate],
    ) -> Vec<MembershipUpdate> {
        self.apply_all(now, from, updates);
        self.take_updates()
    }

    /// A polled peer has answered, with its own state and updates of others.
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
        let is_news = match known {
            Some((_, known)) => known.is_older_than(update),
            // That a peer is gone does not matter to who never knew it.
            None => update.state <= State::Suspect && self.peers.len() < self.settings.max_peers,
        };
        if is_news {
            let name = known.map_or_else(|| update.name.as_str().into(), |(name, _)| name.clone());
            self.peers.insert(&name, Peer::from_update(now, update));
        }
    }

    /// Contradicts a peer that takes this incarnation for worse than it is.
    fn refute(&mut self, update: &MembershipUpdate) {
        let is_wrong = update.state > self.own.state
            && update.incarnation == self.own.incarnation
            && update.refutations >= self.own.refutations;
        if is_wrong {
            self.own.refutations = update.refutations.saturating_add(1);
        }
    }

    /// The updates that were sent least, of those that were not sent often enough, which counts
    /// them as sent once more.
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
