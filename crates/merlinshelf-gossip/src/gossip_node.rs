//! One instance among those that teach each other: when it asks whom, what it tells, what it takes, how it stands itself,
//! and how much of the cores teaching may take. It puts members and book together; the host carries messages, time and chance.

use std::collections::BTreeMap;

use merlinshelf_admission::{LearnedState, PriorEstimates};

use crate::membership::{self, Members, MembershipUpdate};
use crate::observation::{GossipedObservation, InvalidObservation, Source, SourceStatus};
use crate::observation_store::ObservationStore;
use crate::own_samples::Scope;

/// What passes between two instances, as a question or as an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Who says it.
    pub from: MembershipUpdate,
    pub standing: SourceStatus,
    /// In a question: whether figures are wanted.
    pub wants: bool,
    pub news: Vec<MembershipUpdate>,
    pub figures: Vec<GossipedObservation>,
}

/// Most news and figures in one message, whoever says it.
pub const MAX_UPDATES: usize = 32;
pub const MAX_OBSERVATIONS: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub name: String,
    /// Where others reach it.
    pub address: String,
    pub seeds: Vec<String>,
    pub scope: Scope,
    /// Share of one core that teaching may take, 0 to 1.
    pub share: f64,
    pub members: membership::Settings,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask at this address; reported by `answered` or, in its time, by nothing.
    Ask { address: String, question: Message },
}

/// By whom it was taught, for reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerStatistics {
    pub at: f64,
    pub times: u64,
    /// Figures taken, and figures that can't be true.
    pub taken: u64,
    pub unbelievable: u64,
}

/// A start is in a hurry for so long, or until it was taught by so many or by all that are there.
const HURRY_FOR: f64 = 3.0;
const HURRY_UNTIL: usize = 3;
/// Who has run for less is still recovering in what it sees.
const RECOVERS_FOR: f64 = 5.0;
/// A young one wants figures with every question; later its own samples win, and they are for passing on and for its file.
const YOUNG_FOR: f64 = 30.0;
const WANTS_EVERY: u64 = 16;
/// Samples of one's own, of all operations together, under which one knows what it was told and little else.
const OWN_FEW: usize = 24;
/// What the share of the cores may save up, seconds.
const SAVED_MOST: f64 = 0.05;
const TEACHERS_MOST: usize = 16;

#[derive(Clone, Debug)]
pub struct GossipNode {
    settings: Settings,
    began: f64,
    book: ObservationStore,
    members: Members,
    standing: SourceStatus,
    /// Its own samples are from after a failed upgrade until then.
    recovers_until: f64,
    leaves: bool,
    questions: u64,
    lessons: BTreeMap<String, PeerStatistics>,
    /// Seconds on the cores that teaching may take at once, and as of when.
    saved: f64,
    saved_at: f64,
    /// Questions that were not answered because teaching had taken its share.
    pub turned_away: u64,
    pub messages: u64,
}

impl GossipNode {
    /// `life` tells this life from others of the same name: later ones have higher numbers.
    pub fn new(now: f64, life: u64, settings: Settings) -> GossipNode {
        let own = Source {
            name: settings.name.clone(),
            life,
        };
        let members = Members::new(
            now,
            &settings.name,
            &settings.address,
            life,
            &settings.seeds,
            settings.members,
        );
        GossipNode {
            began: now,
            book: ObservationStore::new(own),
            members,
            standing: SourceStatus::Recovering,
            recovers_until: now + RECOVERS_FOR,
            leaves: false,
            questions: 0,
            lessons: BTreeMap::new(),
            saved: SAVED_MOST,
            saved_at: now,
            turned_away: 0,
            messages: 0,
            settings,
        }
    }

    pub fn book(&self) -> &ObservationStore {
        &self.book
    }

    pub fn book_mut(&mut self) -> &mut ObservationStore {
        &mut self.book
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn standing(&self) -> SourceStatus {
        self.standing
    }

    /// By whom it was taught.
    pub fn lessons(&self) -> &BTreeMap<String, PeerStatistics> {
        &self.lessons
    }

    /// Nobody is asked where nobody can be reached.
    fn is_alone(&self) -> bool {
        self.settings.address.is_empty()
    }

    pub fn wake_at(&self) -> Option<f64> {
        (!self.is_alone()).then(|| self.members.wake_at())
    }

    fn in_hurry(&self, now: f64) -> bool {
        let taught_by_all =
            self.lessons.len() >= HURRY_UNTIL.min(self.members.count_alive().max(1));
        now < self.began + HURRY_FOR && !taught_by_all && !self.leaves
    }

    /// What the module has learnt by now, on its clock.
    pub fn see(&mut self, now: f64, clock: f64, learnt: &LearnedState) {
        let own: usize = learnt
            .operations
            .iter()
            .map(|of| of.run_durations.len())
            .sum();
        self.standing = if self.leaves {
            SourceStatus::Leaving
        } else if own < OWN_FEW && !self.lessons.is_empty() {
            SourceStatus::JustTaught
        } else if own < OWN_FEW || now < self.recovers_until || learnt.call_failures >= 5 {
            SourceStatus::Recovering
        } else {
            SourceStatus::Steady
        };
        for seen in self.settings.scope.seen(clock, learnt) {
            self.book.see(
                now,
                seen.subject,
                seen.value,
                seen.count,
                seen.age,
                self.standing,
            );
        }
    }

    /// What the module is to believe on the word of others.
    pub fn beliefs(&self, now: f64) -> PriorEstimates {
        self.settings.scope.beliefs(now, &self.book)
    }

    /// Everything was taken back from a failed successor: what is seen next is the recovery.
    pub fn taken_back(&mut self, now: f64) {
        self.recovers_until = now + RECOVERS_FOR;
    }

    /// It leaves, and says so to whom it still asks and answers.
    pub fn leave(&mut self) {
        self.leaves = true;
        self.standing = SourceStatus::Leaving;
        self.members.leave();
    }

    /// A moment that it asked for has come. `chance` is a number from 0 to under 1, another at each call.
    pub fn woken(&mut self, now: f64, chance: &mut dyn FnMut() -> f64) -> Vec<Action> {
        let mut steps = Vec::new();
        if self.is_alone() {
            return steps;
        }
        let hurry = self.in_hurry(now);
        self.members.woken(now, hurry, chance);
        while let Some(membership::Action::Ask { address, news }) = self.members.next_step() {
            self.questions += 1;
            self.messages += 1;
            let young = now < self.began + YOUNG_FOR;
            let wants = young || self.questions.is_multiple_of(WANTS_EVERY);
            let question = Message {
                from: self.members.own().clone(),
                standing: self.standing,
                wants,
                news,
                figures: Vec::new(),
            };
            steps.push(Action::Ask { address, question });
        }
        steps
    }

    /// Somebody asks; the answer, or nothing where teaching has taken its share. MembershipUpdate are answered at all times.
    pub fn asked(&mut self, now: f64, question: &Message) -> Option<Message> {
        self.saved =
            (self.saved + (now - self.saved_at).max(0.0) * self.settings.share).min(SAVED_MOST);
        self.saved_at = now;
        if self.saved < 0.0 {
            self.turned_away += 1;
            return None;
        }
        self.messages += 1;
        let news = &question.news[..question.news.len().min(MAX_UPDATES)];
        let news = self.members.asked(now, &question.from, news);
        let figures = if question.wants {
            self.book.tell(now, MAX_OBSERVATIONS)
        } else {
            Vec::new()
        };
        let from = self.members.own().clone();
        Some(Message {
            from,
            standing: self.standing,
            wants: false,
            news,
            figures,
        })
    }

    /// What answering took on the cores.
    pub fn spent(&mut self, seconds: f64) {
        self.saved -= seconds;
    }

    /// Who was asked has answered. The figures that were not taken, by their reason.
    pub fn answered(&mut self, now: f64, answer: &Message) -> BTreeMap<InvalidObservation, u64> {
        let news = &answer.news[..answer.news.len().min(MAX_UPDATES)];
        self.members.answered(now, &answer.from, news);
        let mut odd = BTreeMap::new();
        let mut taken = 0;
        for told in answer.figures.iter().take(MAX_OBSERVATIONS) {
            let told = self.weighed(answer, told.clone());
            match self.book.hear(now, told) {
                Ok(()) => taken += 1,
                // Who knows one tells it what it has seen itself, too.
                Err(InvalidObservation::Echo) => {}
                Err(why) => *odd.entry(why).or_default() += 1,
            }
        }
        if taken > 0 || !odd.is_empty() {
            if !self.lessons.contains_key(&answer.from.name) && self.lessons.len() >= TEACHERS_MOST
            {
                let oldest = self.lessons.iter().min_by(|a, b| a.1.at.total_cmp(&b.1.at));
                if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                    self.lessons.remove(&name);
                }
            }
            let lessons = self.lessons.entry(answer.from.name.clone()).or_default();
            lessons.at = now;
            lessons.times += 1;
            lessons.taken += taken;
            lessons.unbelievable += odd.values().sum::<u64>();
        }
        odd
    }

    /// A figure as the one who answers stands now: what it saw itself counts no more than it does. Nobody speaks for an
    /// origin over fewer hops than are between: only of oneself one tells over one.
    fn weighed(&self, answer: &Message, mut told: GossipedObservation) -> GossipedObservation {
        if told.origin.name == answer.from.name {
            if answer.standing.trust(&told.subject) < told.standing.trust(&told.subject) {
                told.standing = answer.standing;
            }
        } else {
            told.hops = told.hops.max(2);
        }
        told
    }

    /// What is kept for another process: all that is known, told as by a teacher.
    pub fn kept(&self, now: f64) -> Vec<GossipedObservation> {
        self.book.all(now)
    }

    /// What another process of this instance has kept: a teacher like others, its own earlier life. How many figures were
    /// taken.
    pub fn remember(&mut self, now: f64, kept: Vec<GossipedObservation>) -> usize {
        let mut taken = 0;
        for told in kept {
            taken += usize::from(self.book.hear(now, told).is_ok());
        }
        if taken > 0 {
            let lessons = self
                .lessons
                .entry(format!("{} (its own past)", self.settings.name))
                .or_default();
            lessons.at = now;
            lessons.times += 1;
            lessons.taken += taken as u64;
        }
        taken
    }
}
