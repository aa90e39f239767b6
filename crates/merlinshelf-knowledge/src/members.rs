//! Who else is there: peers by name, found from a few seeds, asked in turn, suspected when they are silent, and told of by
//! those that asked. What a peer costs does not grow with how many there are.
//!
//! A peer is asked in an order drawn anew for each round, so that each is asked once a round by each; the news that go with
//! a question or an answer are few, and each is told a number of times that grows with the logarithm of the table alone.

use std::collections::{BTreeMap, VecDeque};

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
pub struct News {
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
    /// News that go with a question or an answer.
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
pub enum Step {
    /// Ask at this address, telling these news; reported by `answered` or, in its time, by nothing.
    Ask { address: String, news: Vec<News> },
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

/// The peers of one instance.
#[derive(Clone, Debug)]
pub struct Members {
    own: News,
    /// How often the newest word of oneself was told.
    own_told: u32,
    seeds: Vec<String>,
    settings: Settings,
    peers: BTreeMap<String, Peer>,
    /// Names still to be asked in this round.
    round: VecDeque<String>,
    /// Who was asked, and until when its answer counts.
    asked: Vec<(String, f64)>,
    ask_at: f64,
    steps: VecDeque<Step>,
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
        let own = News { name: name.into(), address: address.into(), life, turn: 0, state: State::Alive };
        let seeds = seeds.iter().filter(|seed| *seed != address).cloned().collect();
        Members {
            own,
            own_told: 0,
            seeds,
            settings,
            peers: BTreeMap::new(),
            round: VecDeque::new(),
            asked: Vec::new(),
            ask_at: now,
            steps: VecDeque::new(),
        }
    }

    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// When it wants to be woken though nothing happens.
    pub fn wake_at(&self) -> f64 {
        self.asked.iter().map(|(_, until)| *until).fold(self.ask_at, f64::min)
    }

    /// Peers that can be asked, by name and address.
    pub fn alive(&self) -> impl Iterator<Item = (&str, &str)> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.state == State::Alive);
        alive.map(|(name, peer)| (name.as_str(), peer.address.as_str()))
    }

    pub fn state_of(&self, name: &str) -> Option<State> {
        self.peers.get(name).map(|peer| peer.state)
    }

    pub fn len(&self) -> usize {
        self.peers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// This instance leaves: it says so to whom it still asks or answers.
    pub fn leave(&mut self) {
        (self.own.state, self.own_told) = (State::Left, 0);
    }

    /// A moment that it asked for has come. `chance` is a number from 0 to under 1, another at each call.
    /// One in a hurry asks several at once and again soon.
    pub fn woken(&mut self, now: f64, hurry: bool, chance: &mut dyn FnMut() -> f64) {
        let late: Vec<String> =
            self.asked.extract_if(.., |(_, until)| now >= *until).map(|(name, _)| name).collect();
        late.iter().for_each(|name| self.silent(now, name));
        for peer in self.peers.values_mut() {
            if peer.state == State::Suspect && now >= peer.since + self.settings.suspect_for {
                (peer.state, peer.since, peer.told) = (State::Gone, now, 0);
            }
        }
        let keep = self.settings.forget_after;
        self.peers.retain(|_, peer| peer.state <= State::Suspect || now < peer.since + keep);
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
            let Some(address) = self.address_of(&name) else { continue };
            if self.asked.iter().any(|(asked, _)| *asked == name) {
                continue;
            }
            let until = now + self.settings.answer_within;
            self.asked.push((name, until));
            let news = self.news();
            return self.steps.push_back(Step::Ask { address, news });
        }
    }

    /// All that may be there, in an order by chance; seeds too, by their address, as long as nobody is known there: so
    /// that parts that lost sight of each other find together again.
    fn new_round(&mut self, chance: &mut dyn FnMut() -> f64) {
        let may = self.peers.iter().filter(|(_, peer)| peer.state <= State::Suspect);
        let mut names: Vec<String> = may.map(|(name, _)| name.clone()).collect();
        let unknown = self.seeds.iter().filter(|seed| {
            !self.peers.values().any(|peer| peer.address == **seed && peer.state <= State::Suspect)
        });
        names.extend(unknown.map(|seed| format!("@{seed}")));
        for place in (1..names.len()).rev() {
            names.swap(place, (chance() * (place + 1) as f64) as usize);
        }
        self.round = names.into();
    }

    fn address_of(&self, name: &str) -> Option<String> {
        if let Some(seed) = name.strip_prefix('@') {
            return Some(seed.to_owned());
        }
        self.peers.get(name).filter(|peer| peer.state <= State::Suspect).map(|peer| peer.address.clone())
    }

    /// Somebody asked, and told this of itself and of others; the news to answer with.
    pub fn asked(&mut self, now: f64, from: &News, news: &[News]) -> Vec<News> {
        self.heard(now, from);
        news.iter().for_each(|news| self.heard(now, news));
        self.news()
    }

    /// Who was asked has answered, with this of itself and of others.
    pub fn answered(&mut self, now: f64, from: &News, news: &[News]) {
        self.asked.retain(|(name, _)| {
            *name != from.name && name.strip_prefix('@').is_none_or(|seed| seed != from.address)
        });
        self.heard(now, from);
        news.iter().for_each(|news| self.heard(now, news));
    }

    fn silent(&mut self, now: f64, name: &str) {
        if let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.state == State::Alive) {
            (peer.state, peer.since, peer.told) = (State::Suspect, now, 0);
        }
    }

    fn heard(&mut self, now: f64, news: &News) {
        if news.name == self.own.name {
            // Somebody thinks worse of this life than it is: it says otherwise, with a higher turn.
            let worse =
                news.state > self.own.state && news.life == self.own.life && news.turn >= self.own.turn;
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
        let (told, room) = (0, self.peers.len() < self.settings.peers_most);
        let News { address, life, turn, state, .. } = news.clone();
        let heard = Peer { address, life, turn, state, since: now, told };
        match self.peers.get_mut(&news.name) {
            Some(known) => {
                let newer = (heard.life, heard.turn, heard.state) > (known.life, known.turn, known.state);
                if newer {
                    *known = heard;
                }
            }
            // Of one that was never here nobody needs to know that it is gone.
            None if state > State::Suspect => {}
            None if room => {
                self.peers.insert(news.name.clone(), heard);
            }
            None => {}
        }
    }

    /// The word of oneself, for questions and answers.
    pub fn own(&self) -> &News {
        &self.own
    }

    /// The news that were told least, of those that were not told often enough.
    fn news(&mut self) -> Vec<News> {
        let enough = TOLD_EACH * (usize::BITS - self.peers.len().leading_zeros() + 1);
        let mut least: Vec<(u32, &String)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.told < enough)
            .map(|(name, peer)| (peer.told, name))
            .collect();
        // Only the first few are wanted: of thousands the rest need not be in order.
        let most = self.settings.news_most;
        if least.len() > most && most > 0 {
            least.select_nth_unstable(most - 1);
        }
        let names: Vec<String> = least.into_iter().take(most).map(|(_, name)| name.clone()).collect();
        let mut news = Vec::new();
        for name in names {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.told += 1;
                news.push(News {
                    name,
                    address: peer.address.clone(),
                    life: peer.life,
                    turn: peer.turn,
                    state: peer.state,
                });
            }
        }
        news
    }
}
