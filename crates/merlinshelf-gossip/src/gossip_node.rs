//! A gossip node: combines membership and the observation store, decides when to poll which peer,
//! what to send and what to accept, tracks its own status, and limits the CPU time of answers. The
//! host transports messages and provides time and randomness.

use std::collections::BTreeMap;

use merlinshelf_admission::{LearnedState, PriorEstimates};

use crate::cpu_budget::CpuBudget;
use crate::membership::{self, Members, MembershipUpdate, PollRate};
use crate::observation::{GossipedObservation, InvalidObservation, Source, SourceStatus};
use crate::observation_store::ObservationStore;
use crate::own_samples::{self, Scope};

/// Maximum number of membership updates in one message, sent or received.
pub const MAX_UPDATES: usize = 32;
/// Maximum number of observations in one message, sent or received.
pub const MAX_OBSERVATIONS: usize = 64;

/// A starting instance polls urgently for this long, or until this many peers (or all peers that
/// are alive, if fewer) have answered with observations.
const STARTUP_SECONDS: f64 = 3.0;
const STARTUP_ANSWERS: usize = 3;
/// How long after a start or a rollback own samples count as taken during recovery.
const RECOVERY_SECONDS: f64 = 5.0;
/// For this long after its start an instance requests observations with every poll, later only with
/// every `POLLS_PER_OBSERVATIONS`th: by then its own samples have more weight, and those of peers
/// are mostly forwarded and persisted.
const YOUNG_SECONDS: f64 = 30.0;
const POLLS_PER_OBSERVATIONS: u64 = 16;
/// With fewer runs an instance is not steady: it relies on the observations of peers.
const MIN_OWN_RUNS: usize = 24;
/// Consecutive failed downstream calls from which an instance counts as recovering.
const MIN_RECOVERING_FAILURES: u32 = 5;
const MAX_PEER_STATISTICS: usize = 16;
/// The first hop is from the source itself; forwarding adds another.
const MIN_FORWARDED_HOPS: u8 = 2;

/// A message between two instances: a poll or an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender and its state.
    pub from: MembershipUpdate,
    /// The sender's status as a source of observations.
    pub status: SourceStatus,
    /// In a poll: whether the answer should contain observations.
    pub wants_observations: bool,
    /// Updates of other members.
    pub updates: Vec<MembershipUpdate>,
    /// In an answer: the requested observations.
    pub observations: Vec<GossipedObservation>,
}

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Address at which peers reach it; if empty, it neither polls nor is polled.
    pub address: String,
    /// Addresses of the instances that are polled first.
    pub seeds: Vec<String>,
    /// The servers and operations that its own samples belong to.
    pub scope: Scope,
    /// Share of one core that answers may use, 0 to 1.
    pub cpu_share: f64,
    /// Intervals and limits of membership.
    pub membership: membership::Settings,
}

/// An action that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a peer. Pass its answer to [`GossipNode::answer_received`]; a missing answer needs no
    /// report.
    Poll {
        /// Address of the peer.
        address: String,
        /// The message to send.
        poll: Message,
    },
}

/// Statistics of the answers from one peer, for reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerStatistics {
    /// When the latest answer with observations arrived, in seconds of the monotonic clock.
    pub last_answer_at: f64,
    /// How many such answers arrived.
    pub answers: u64,
    /// Observations that were accepted.
    pub accepted: u64,
    /// Observations that were rejected as invalid.
    pub rejected: u64,
}

/// The gossip state of one instance.
#[derive(Clone, Debug)]
pub struct GossipNode {
    settings: Settings,
    started_at: f64,
    store: ObservationStore,
    members: Members,
    status: SourceStatus,
    /// Until when own samples count as taken during recovery.
    recovering_until: f64,
    is_leaving: bool,
    poll_count: u64,
    peer_statistics: BTreeMap<String, PeerStatistics>,
    cpu_budget: CpuBudget,
    /// Polls that were not answered because the CPU budget was overdrawn.
    pub rejected_polls: u64,
    /// Polls and answers sent.
    pub message_count: u64,
}

impl GossipNode {
    /// A node without observations. Later incarnations of the same name need higher numbers.
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

    /// The node's own observations and those of others.
    pub fn store(&self) -> &ObservationStore {
        &self.store
    }

    /// Mutable access to the store, to remove observations.
    pub fn store_mut(&mut self) -> &mut ObservationStore {
        &mut self.store
    }

    /// The other instances.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The node's status as a source of observations.
    pub fn status(&self) -> SourceStatus {
        self.status
    }

    /// Statistics of the answers from each peer, by name.
    pub fn peer_statistics(&self) -> &BTreeMap<String, PeerStatistics> {
        &self.peer_statistics
    }

    /// When [`GossipNode::timer_expired`] must be called at the latest; `None` if never.
    pub fn next_timeout(&self) -> Option<f64> {
        (!self.is_alone()).then(|| self.members.next_timeout())
    }

    /// Whether the node has no address: it then polls no peers and needs no timer.
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

    /// Records what the admission controller has learned; `controller_now` is on its clock.
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

    /// Priors for the admission controller, estimated from the observations of others.
    pub fn prior_estimates(&self, now: f64) -> PriorEstimates {
        self.settings.scope.prior_estimates(now, &self.store)
    }

    /// A handover was rolled back and this process serves again: its next samples count as taken
    /// during recovery.
    pub fn handover_rolled_back(&mut self, now: f64) {
        self.recovering_until = now + RECOVERY_SECONDS;
    }

    /// Marks the instance as leaving, which its further polls and answers announce.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.status = SourceStatus::Leaving;
        self.members.leave();
    }

    /// Handles the timeout of [`GossipNode::next_timeout`]. Each call of `random` returns a random
    /// number in [0, 1).
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

    /// Handles a poll. Returns the answer, or `None` if the CPU budget is overdrawn.
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

    /// Charges the CPU time of an answer to the budget.
    pub fn charge_cpu_seconds(&mut self, seconds: f64) {
        self.cpu_budget.charge(seconds);
    }

    /// Handles the answer of a polled peer. Returns how many observations were rejected, by reason.
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
                // Peers also send back the observations of this instance, which is expected.
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

    /// Removes the oldest statistics if those of this peer would exceed the limit.
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

    /// All observations, to persist them or hand them over to a successor.
    pub fn export(&self, now: f64) -> Vec<GossipedObservation> {
        self.store.export(now)
    }

    /// Accepts the observations that an earlier incarnation of this instance exported, like those
    /// of a peer. Returns how many were accepted.
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

/// Corrects what the sender claims about an observation. For the sender's own observations its
/// current status applies if that is trusted less; forwarded ones have at least two hops.
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
