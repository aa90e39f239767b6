//! One instance among those that gossip: when it polls whom, what it sends, what it accepts, its
//! own status, and how much CPU time answering may take. It puts membership and store together; the
//! host carries messages and provides time and randomness.

use std::collections::BTreeMap;

use merlinshelf_admission::{LearnedState, PriorEstimates};

use crate::cpu_budget::CpuBudget;
use crate::membership::{self, Members, MembershipUpdate, PollRate};
use crate::observation::{GossipedObservation, InvalidObservation, Source, SourceStatus};
use crate::observation_store::ObservationStore;
use crate::own_samples::{self, Scope};

/// Most membership updates in one message, whoever sends it.
pub const MAX_UPDATES: usize = 32;
/// Most observations in one message, whoever sends it.
pub const MAX_OBSERVATIONS: usize = 64;

/// A starting instance polls urgently for so long, or until so many peers, or all that are alive,
/// have answered with observations.
const STARTUP_SECONDS: f64 = 3.0;
const STARTUP_ANSWERS: usize = 3;
/// For so long after a start or a rollback, own samples are of the recovery.
const RECOVERY_SECONDS: f64 = 5.0;
/// A young instance wants observations with every poll; later its own samples win, and others'
/// serve for forwarding and for its file.
const YOUNG_SECONDS: f64 = 30.0;
const POLLS_PER_OBSERVATIONS: u64 = 16;
/// An instance with fewer runs has few samples of its own.
const MIN_OWN_RUNS: usize = 24;
/// Downstream calls that failed in a row from which an instance counts as recovering.
const MIN_RECOVERING_FAILURES: u32 = 5;
const MAX_PEER_STATISTICS: usize = 16;
/// The source of an observation is its first hop; who forwards it is another.
const MIN_FORWARDED_HOPS: u8 = 2;

/// What passes between two instances, as a poll or as an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender and its state.
    pub from: MembershipUpdate,
    /// The sender's status as a source of observations.
    pub status: SourceStatus,
    /// In a poll: whether observations are wanted in the answer.
    pub wants_observations: bool,
    /// Updates of other members.
    pub updates: Vec<MembershipUpdate>,
    /// In an answer: the observations that were wanted.
    pub observations: Vec<GossipedObservation>,
}

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Where others reach it; empty: nobody does, and it polls nobody.
    pub address: String,
    /// Addresses of instances to begin with.
    pub seeds: Vec<String>,
    /// What its own samples are of.
    pub scope: Scope,
    /// Share of one core that answering may take, 0 to 1.
    pub cpu_share: f64,
    /// Intervals and limits of membership.
    pub membership: membership::Settings,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a peer. Its answer goes to [`GossipNode::answer_received`]; silence is noticed by
    /// itself.
    Poll {
        /// Where the peer is.
        address: String,
        /// What to send.
        poll: Message,
    },
}

/// What one peer has sent, for reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerStatistics {
    /// When the latest answer with observations came, seconds.
    pub last_answer_at: f64,
    /// How many such answers came.
    pub answers: u64,
    /// Observations that were accepted.
    pub accepted: u64,
    /// Observations that can't be true.
    pub rejected: u64,
}

/// One instance among those that gossip.
#[derive(Clone, Debug)]
pub struct GossipNode {
    settings: Settings,
    started_at: f64,
    store: ObservationStore,
    members: Members,
    status: SourceStatus,
    /// Until when own samples are of a recovery.
    recovering_until: f64,
    is_leaving: bool,
    poll_count: u64,
    peer_statistics: BTreeMap<String, PeerStatistics>,
    cpu_budget: CpuBudget,
    /// Polls that were not answered because answering had taken its CPU time.
    pub rejected_polls: u64,
    /// Polls and answers that were sent.
    pub message_count: u64,
}

impl GossipNode {
    /// An instance without observations. Later incarnations of one name need higher numbers.
    pub fn new(now: f64, incarnation: u64, settings: Settings) -> GossipNode {
        let own = Source {
            name: settings.name.clone(),
            incarnation,
        };
        let members = Members::new(
            now,
            &settings.name,
            &settings.address,
            incarnation,
            &settings.seeds,
            settings.membership,
        );
        GossipNode {
            started_at: now,
            store: ObservationStore::new(own),
            members,
            status: SourceStatus::Recovering,
            recovering_until: now + RECOVERY_SECONDS,
            is_leaving: false,
            poll_count: 0,
            peer_statistics: BTreeMap::new(),
            cpu_budget: CpuBudget::new(now, settings.cpu_share),
            rejected_polls: 0,
            message_count: 0,
            settings,
        }
    }

    /// Its observations and those of others.
    pub fn store(&self) -> &ObservationStore {
        &self.store
    }

    /// The same, to remove observations.
    pub fn store_mut(&mut self) -> &mut ObservationStore {
        &mut self.store
    }

    /// The other instances.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Its status as a source of observations.
    pub fn status(&self) -> SourceStatus {
        self.status
    }

    /// What each peer has sent, by its name.
    pub fn peer_statistics(&self) -> &BTreeMap<String, PeerStatistics> {
        &self.peer_statistics
    }

    /// When [`GossipNode::timer_expired`] must be called though nothing happens.
    pub fn next_timeout(&self) -> Option<f64> {
        (!self.is_alone()).then(|| self.members.next_timeout())
    }

    /// Nobody is polled by who can't be reached.
    fn is_alone(&self) -> bool {
        self.settings.address.is_empty()
    }

    fn poll_rate(&self, now: f64) -> PollRate {
        let wanted_answers = STARTUP_ANSWERS.min(self.members.count_alive().max(1));
        let has_answers = self.peer_statistics.len() >= wanted_answers;
        let is_starting = now < self.started_at + STARTUP_SECONDS;
        if is_starting && !has_answers && !self.is_leaving {
            PollRate::Urgent
        } else {
            PollRate::Normal
        }
    }

    /// Records what the admission controller has learned, whose clock shows `controller_now`.
    pub fn record_own_samples(&mut self, now: f64, controller_now: f64, learned: &LearnedState) {
        self.status = self.source_status(now, learned);
        for observation in self.settings.scope.observations(controller_now, learned) {
            self.store.record_own(now, observation, self.status);
        }
    }

    fn source_status(&self, now: f64, learned: &LearnedState) -> SourceStatus {
        let has_few_runs = own_samples::count_runs(learned) < MIN_OWN_RUNS;
        let has_failing_calls = learned.call_failures >= MIN_RECOVERING_FAILURES;
        if self.is_leaving {
            SourceStatus::Leaving
        } else if has_few_runs && !self.peer_statistics.is_empty() {
            SourceStatus::RecentlySynced
        } else if has_few_runs || now < self.recovering_until || has_failing_calls {
            SourceStatus::Recovering
        } else {
            SourceStatus::Steady
        }
    }

    /// The admission controller's priors, from what others have observed.
    pub fn prior_estimates(&self, now: f64) -> PriorEstimates {
        self.settings.scope.prior_estimates(now, &self.store)
    }

    /// A successor failed and this process serves again: what it observes next is the recovery.
    pub fn handover_rolled_back(&mut self, now: f64) {
        self.recovering_until = now + RECOVERY_SECONDS;
    }

    /// The instance leaves, and announces it with its further polls and answers.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.status = SourceStatus::Leaving;
        self.members.leave();
    }

    /// The time of [`GossipNode::next_timeout`] has come. `random` gives another number from 0 to
    /// under 1 at each call.
    pub fn timer_expired(&mut self, now: f64, random: &mut dyn FnMut() -> f64) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_alone() {
            return actions;
        }
        let rate = self.poll_rate(now);
        self.members.timer_expired(now, rate, random);
        while let Some(membership::Action::Poll { address, updates }) = self.members.poll_action() {
            let poll = self.poll(now, updates);
            actions.push(Action::Poll { address, poll });
        }
        actions
    }

    fn poll(&mut self, now: f64, updates: Vec<MembershipUpdate>) -> Message {
        self.poll_count += 1;
        self.message_count += 1;
        let is_young = now < self.started_at + YOUNG_SECONDS;
        Message {
            from: self.members.own().clone(),
            status: self.status,
            wants_observations: is_young || self.poll_count.is_multiple_of(POLLS_PER_OBSERVATIONS),
            updates,
            observations: Vec::new(),
        }
    }

    /// A peer polls. Returns the answer, or none where answering has taken its CPU time.
    pub fn poll_received(&mut self, now: f64, poll: &Message) -> Option<Message> {
        self.cpu_budget.refill(now);
        if self.cpu_budget.is_overdrawn() {
            self.rejected_polls += 1;
            return None;
        }
        self.message_count += 1;
        let received = &poll.updates[..poll.updates.len().min(MAX_UPDATES)];
        let updates = self.members.poll_received(now, &poll.from, received);
        let observations = if poll.wants_observations {
            self.store.select_for_gossip(now, MAX_OBSERVATIONS)
        } else {
            Vec::new()
        };
        Some(Message {
            from: self.members.own().clone(),
            status: self.status,
            wants_observations: false,
            updates,
            observations,
        })
    }

    /// Charges the CPU time that an answer took.
    pub fn charge_cpu_seconds(&mut self, seconds: f64) {
        self.cpu_budget.charge(seconds);
    }

    /// A polled peer has answered. Returns how many observations were rejected, by reason.
    pub fn answer_received(
        &mut self,
        now: f64,
        answer: &Message,
    ) -> BTreeMap<InvalidObservation, u64> {
        let received = &answer.updates[..answer.updates.len().min(MAX_UPDATES)];
        self.members.answer_received(now, &answer.from, received);
        let mut rejected = BTreeMap::new();
        let mut accepted = 0;
        for observation in answer.observations.iter().take(MAX_OBSERVATIONS) {
            let observation = attribute(answer, observation.clone());
            match self.store.accept(now, observation) {
                Ok(()) => accepted += 1,
                // Peers send everything, with what they have from here.
                Err(InvalidObservation::Echo) => {}
                Err(reason) => *rejected.entry(reason).or_default() += 1,
            }
        }
        let rejected_count = rejected.values().sum::<u64>();
        if accepted > 0 || rejected_count > 0 {
            self.limit_statistics(&answer.from.name);
            self.count_answer(now, &answer.from.name, accepted, rejected_count);
        }
        rejected
    }

    /// Makes place for the statistics of this peer.
    fn limit_statistics(&mut self, name: &str) {
        if self.peer_statistics.contains_key(name)
            || self.peer_statistics.len() < MAX_PEER_STATISTICS
        {
            return;
        }
        let oldest = self
            .peer_statistics
            .iter()
            .min_by(|left, right| left.1.last_answer_at.total_cmp(&right.1.last_answer_at));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.peer_statistics.remove(&name);
        }
    }

    fn count_answer(&mut self, now: f64, name: &str, accepted: u64, rejected: u64) {
        let statistics = self.peer_statistics.entry(name.to_owned()).or_default();
        statistics.last_answer_at = now;
        statistics.answers += 1;
        statistics.accepted += accepted;
        statistics.rejected += rejected;
    }

    /// All observations, for a file or a successor.
    pub fn export(&self, now: f64) -> Vec<GossipedObservation> {
        self.store.export(now)
    }

    /// Accepts what an earlier incarnation of this instance exported, as from a peer. Returns how
    /// many observations were accepted.
    pub fn restore(&mut self, now: f64, observations: Vec<GossipedObservation>) -> usize {
        let mut accepted = 0;
        for observation in observations {
            accepted += usize::from(self.store.accept(now, observation).is_ok());
        }
        if accepted > 0 {
            let name = format!("{} (its own past)", self.settings.name);
            self.count_answer(now, &name, accepted as u64, 0);
        }
        accepted
    }
}

/// The observation as its sender may claim it. Of its own observations the sender's status now
/// counts where that is trusted less; what it forwards came over more hops than one.
fn attribute(answer: &Message, mut observation: GossipedObservation) -> GossipedObservation {
    if observation.source.name != answer.from.name {
        observation.hops = observation.hops.max(MIN_FORWARDED_HOPS);
        return observation;
    }
    let current_trust = answer.status.trust(&observation.metric);
    if current_trust < observation.status.trust(&observation.metric) {
        observation.status = answer.status;
    }
    observation
}
