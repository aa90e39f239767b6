//! Who else is there: peers by name, found from a few seeds, asked in turn, suspected when they are silent, and told of by
//! those that asked. What a peer costs does not grow with how many there are.
//!
//! A peer is asked in an order drawn anew for each round, so that each is asked once a round by each; the news that go with
//! a question or an answer are few, and each is told a number of times that grows with the logarithm of the table alone. Nor does a moment
//! cost more than that: what is due next and what was told least are kept in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How a peer is taken to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// It did not answer somebody; it may say otherwise.
    Suspect,
    /// It said that it leaves.
    Left,
    /// It was suspected for too long.
    Gone,
}

/// Word of one peer. Of two words of one life the worse counts, a later life counts over any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    pub name: String,
    pub address: String,
    pub life: u64,
    /// Within one life a peer answers a suspicion with a higher turn.
    pub turn: u32,
    pub state: State,
}

/// The figures of membership, in seconds and counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Between two questions.
    pub ask_every: f64,
    pub answer_within: f64,
    /// How long one is suspected before it is gone.
    pub suspect_for: f64,
    /// After how long one that is gone or left is forgotten.
    pub forget_after: f64,
    pub peers_most: usize,
    /// MembershipUpdate that go with a question or an answer.
    pub news_most: usize,
    /// Peers that are asked at one time by one in a hurry, and between two questions of it.
    pub at_once: usize,
    pub hurry_every: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ask_every: 1.0,
            answer_within: 0.5,
            suspect_for: 5.0,
            forget_after: 60.0,
            peers_most: 4096,
            news_most: 32,
            at_once: 3,
            hurry_every: 0.05,
        }
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask at this address, telling these news; reported by `answered` or, in its time, by nothing.
    Ask {
        address: String,
        news: Vec<MembershipUpdate>,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    address: String,
    life: u64,
    turn: u32,
    state: State,
    since: f64,
    /// How often the newest word of it was told from here.
    told: u32,
}

/// Peers by name, with what is asked of them at every moment kept beside. `put` is the one place where any of it changes.
#[derive(Clone, Debug, Default)]
struct Peers {
    all: BTreeMap<Arc<str>, Peer>,
    /// By how often the newest word of them was told.
    told: BTreeSet<(u32, Arc<str>)>,
    /// By the moment at which one that is suspected is gone, and one that is gone forgotten.
    due: BTreeSet<(u64, Arc<str>)>,
    alive: usize,
}

/// A moment as a number that is ordered alike.
fn ordered(moment: f64) -> u64 {
    let bits = moment.to_bits();
    if bits >> 63 == 0 {
        bits | 1 << 63
    } else {
        !bits
    }
}

impl Peers {
    /// This is known of a peer from now on; nothing: it is forgotten.
    fn put(&mut self, name: &Arc<str>, peer: Option<Peer>, settings: &Settings) {
        let due = |peer: &Peer| match peer.state {
            State::Alive => None,
            State::Suspect => Some(ordered(peer.since + settings.suspect_for)),
            State::Left | State::Gone => Some(ordered(peer.since + settings.forget_after)),
        };
        if let Some(before) = self.all.remove(name) {
            self.told.remove(&(before.told, name.clone()));
            if let Some(due) = due(&before) {
                self.due.remove(&(due, name.clone()));
            }
            self.alive -= usize::from(before.state == State::Alive);
        }
        if let Some(peer) = peer {
            self.told.insert((peer.told, name.clone()));
            if let Some(due) = due(&peer) {
                self.due.insert((due, name.clone()));
            }
            self.alive += usize::from(peer.state == State::Alive);
            self.all.insert(name.clone(), peer);
        }
    }

    /// The next one whose state ends by then.
    fn due(&self, now: f64) -> Option<(Arc<str>, Peer)> {
        let (_, name) = self.due.first().filter(|(due, _)| *due <= ordered(now))?;
        self.all.get(name).map(|peer| (name.clone(), peer.clone()))
    }
}

/// The peers of one instance.
#[derive(Clone, Debug)]
pub struct Members {
    own: MembershipUpdate,
    /// How often the newest word of oneself was told.
    own_told: u32,
    seeds: Vec<String>,
    settings: Settings,
    peers: Peers,
    /// Names still to be asked in this round.
    round: VecDeque<Arc<str>>,
    /// Who was asked, and until when its answer counts.
    asked: Vec<(Arc<str>, f64)>,
    ask_at: f64,
    steps: VecDeque<Action>,
}

/// Each news is told so many times for each doubling of the table: with three, one in some thousands of changes misses some
/// peer, which its next round makes good.
const TOLD_EACH: u32 = 3;

impl Members {
    pub fn new(
        now: f64,
        name: &str,
        address: &str,
        life: u64,
        seeds: &[String],
        settings: Settings,
    ) -> Members {
        let own = MembershipUpdate {
            name: name.into(),
            address: address.into(),
            life,
            turn: 0,
            state: State::Alive,
        };
        let seeds = seeds
            .iter()
            .filter(|seed| *seed != address)
            .cloned()
            .collect();
        Members {
            own,
            own_told: 0,
            seeds,
            settings,
            peers: Peers::default(),
            round: VecDeque::new(),
            asked: Vec::new(),
            ask_at: now,
            steps: VecDeque::new(),
        }
    }

    pub fn next_step(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    /// When it wants to be woken though nothing happens.
    pub fn wake_at(&self) -> f64 {
        self.asked
            .iter()
            .map(|(_, until)| *until)
            .fold(self.ask_at, f64::min)
    }

    /// Peers that can be asked, by name and address.
    pub fn alive(&self) -> impl Iterator<Item = (&str, &str)> {
        let alive = self
            .peers
            .all
            .iter()
            .filter(|(_, peer)| peer.state == State::Alive);
        alive.map(|(name, peer)| (&**name, peer.address.as_str()))
    }

    /// How many can be asked.
    pub fn count_alive(&self) -> usize {
        self.peers.alive
    }

    pub fn state_of(&self, name: &str) -> Option<State> {
        self.peers.all.get(name).map(|peer| peer.state)
    }

    pub fn len(&self) -> usize {
        self.peers.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.peers.all.is_empty()
    }

    /// This instance leaves: it says so to whom it still asks or answers.
    pub fn leave(&mut self) {
        (self.own.state, self.own_told) = (State::Left, 0);
    }

    /// A moment that it asked for has come. `chance` is a number from 0 to under 1, another at each call.
    /// One in a hurry asks several at once and again soon.
    pub fn woken(&mut self, now: f64, hurry: bool, chance: &mut dyn FnMut() -> f64) {
        let late: Vec<Arc<str>> = self
            .asked
            .extract_if(.., |(_, until)| now >= *until)
            .map(|(name, _)| name)
            .collect();
        late.iter().for_each(|name| self.silent(now, name));
        while let Some((name, peer)) = self.peers.due(now) {
            let gone = Peer {
                state: State::Gone,
                since: now,
                told: 0,
                ..peer.clone()
            };
            let after = (peer.state == State::Suspect).then_some(gone);
            self.peers.put(&name, after, &self.settings);
        }
        if now < self.ask_at {
            return;
        }
        let (at_once, every) = match hurry {
            true => (self.settings.at_once, self.settings.hurry_every),
            false => (1, self.settings.ask_every),
        };
        // A part of the pause by chance, so that instances that start together do not ask together.
        self.ask_at = now + every * (0.75 + 0.5 * chance());
        if self.asked.len() >= at_once {
            return;
        }
        if self.round.is_empty() {
            self.new_round(chance);
        }
        while let Some(name) = self.round.pop_front() {
            let Some(address) = self.address_of(&name) else {
                continue;
            };
            if self.asked.iter().any(|(asked, _)| *asked == name) {
                continue;
            }
            let until = now + self.settings.answer_within;
            self.asked.push((name, until));
            let news = self.news();
            return self.steps.push_back(Action::Ask { address, news });
        }
    }

    /// All that may be there, in an order by chance; seeds too, by their address, as long as nobody is known there: so
    /// that parts that lost sight of each other find together again.
    fn new_round(&mut self, chance: &mut dyn FnMut() -> f64) {
        let may = self
            .peers
            .all
            .iter()
            .filter(|(_, peer)| peer.state <= State::Suspect);
        let mut names: Vec<Arc<str>> = may.map(|(name, _)| name.clone()).collect();
        let unknown = self.seeds.iter().filter(|seed| {
            !self
                .peers
                .all
                .values()
                .any(|peer| peer.address == **seed && peer.state <= State::Suspect)
        });
        names.extend(unknown.map(|seed| format!("@{seed}").into()));
        for place in (1..names.len()).rev() {
            names.swap(place, (chance() * (place + 1) as f64) as usize);
        }
        self.round = names.into();
    }

    fn address_of(&self, name: &str) -> Option<String> {
        if let Some(seed) = name.strip_prefix('@') {
            return Some(seed.to_owned());
        }
        self.peers
            .all
            .get(name)
            .filter(|peer| peer.state <= State::Suspect)
            .map(|peer| peer.address.clone())
    }

    /// Somebody asked, and told this of itself and of others; the news to answer with.
    pub fn asked(
        &mut self,
        now: f64,
        from: &MembershipUpdate,
        news: &[MembershipUpdate],
    ) -> Vec<MembershipUpdate> {
        self.heard(now, from);
        news.iter().for_each(|news| self.heard(now, news));
        self.news()
    }

    /// Who was asked has answered, with this of itself and of others.
    pub fn answered(&mut self, now: f64, from: &MembershipUpdate, news: &[MembershipUpdate]) {
        self.asked.retain(|(name, _)| {
            **name != *from.name
                && name
                    .strip_prefix('@')
                    .is_none_or(|seed| seed != from.address)
        });
        self.heard(now, from);
        news.iter().for_each(|news| self.heard(now, news));
    }

    fn silent(&mut self, now: f64, name: &str) {
        let Some((name, peer)) = self.peers.all.get_key_value(name) else {
            return;
        };
        if peer.state == State::Alive {
            let suspect = Peer {
                state: State::Suspect,
                since: now,
                told: 0,
                ..peer.clone()
            };
            self.peers.put(&name.clone(), Some(suspect), &self.settings);
        }
    }

    fn heard(&mut self, now: f64, news: &MembershipUpdate) {
        if news.name == self.own.name {
            // Somebody thinks worse of this life than it is: it says otherwise, with a higher turn.
            let worse = news.state > self.own.state
                && news.life == self.own.life
                && news.turn >= self.own.turn;
            if worse {
                (self.own.turn, self.own_told) = (news.turn.saturating_add(1), 0);
            }
            return;
        }
        if news.name.is_empty()
            || news.name.starts_with('@')
            || news.name.len() > 64
            || news.address.len() > 64
        {
            return;
        }
        let known = self.peers.all.get_key_value(news.name.as_str());
        let newer = match known {
            Some((_, known)) => {
                (news.life, news.turn, news.state) > (known.life, known.turn, known.state)
            }
            // Of one that was never here nobody needs to know that it is gone.
            None => news.state <= State::Suspect && self.peers.all.len() < self.settings.peers_most,
        };
        if newer {
            let name = known.map_or_else(|| news.name.as_str().into(), |(name, _)| name.clone());
            let MembershipUpdate {
                address,
                life,
                turn,
                state,
                ..
            } = news.clone();
            let heard = Peer {
                address,
                life,
                turn,
                state,
                since: now,
                told: 0,
            };
            self.peers.put(&name, Some(heard), &self.settings);
        }
    }

    /// The word of oneself, for questions and answers.
    pub fn own(&self) -> &MembershipUpdate {
        &self.own
    }

    /// The news that were told least, of those that were not told often enough.
    fn news(&mut self) -> Vec<MembershipUpdate> {
        let enough = TOLD_EACH * (usize::BITS - self.peers.all.len().leading_zeros() + 1);
        let least = self
            .peers
            .told
            .iter()
            .take_while(|(told, _)| *told < enough);
        let names: Vec<Arc<str>> = least
            .take(self.settings.news_most)
            .map(|(_, name)| name.clone())
            .collect();
        let mut news = Vec::new();
        for name in names {
            let Some(peer) = self.peers.all.get(&name).cloned() else {
                continue;
            };
            news.push(MembershipUpdate {
                name: name.to_string(),
                address: peer.address.clone(),
                life: peer.life,
                turn: peer.turn,
                state: peer.state,
            });
            self.peers.put(
                &name,
                Some(Peer {
                    told: peer.told + 1,
                    ..peer
                }),
                &self.settings,
            );
        }
        news
    }
}
