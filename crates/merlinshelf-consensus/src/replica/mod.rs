//! One agent's replica of the log, as a state machine without I/O.
//!
//! Each module implements one part of [`Replica`]: `bootstrap` and `verification` lead to
//! [`ReplicaStatus::Active`], `handshake` exchanges the messages that both need, `ready` turns
//! raft's output into actions of the host, `membership_changes` changes the voters, and
//! `compaction` replaces a long log with a snapshot.

mod bootstrap;
mod compaction;
mod handshake;
mod membership_changes;
mod ready;
mod verification;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use protobuf::Message as _;
use raft::prelude::{Config, Message as RaftMessage};
use raft::{RawNode, StateRole};

use crate::action::Action;
use crate::encoding::DecodeError;
use crate::log_storage::LogStorage;
use crate::membership::Membership;
use crate::message::{Message, PeerProgress, SlotIncarnation};
use crate::record::Record;
use handshake::Welcome;

/// Ticks between two hellos of a replica that is not active.
const HELLO_INTERVAL_TICKS: u32 = 2;
/// Ticks without a message from the group after which a replica checks whether it still owns its
/// slot; also the ticks between two attempts to send a snapshot.
const SILENCE_TICKS: u32 = 20;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Bounds of the election timeout: ticks without a heartbeat after which a follower becomes a
/// candidate.
const MIN_ELECTION_TICKS: usize = 10;
const MAX_ELECTION_TICKS: usize = 20;

/// Whether a replica takes part in the consensus group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It has no log: it bootstraps a group together with all other agents, or waits for a slot in
    /// the existing one.
    Joining,
    /// It has restarted and checks with the others whether its disk holds everything that the
    /// replica has acknowledged.
    Verifying,
    /// It votes and replicates the log.
    Active,
}

/// Why a replica can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Raft rejects the stored log.
    #[error("{source}")]
    InvalidLog {
        /// The replica's slot.
        slot: u64,
        /// The error that raft reports.
        source: raft::Error,
    },
}

/// The latest known incarnation of the replica in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerIncarnation {
    incarnation: u64,
    boot_id: u64,
}

/// The state machine of one agent's replica.
pub struct Replica {
    name: String,
    /// Names of all agents in the configuration, including this one.
    configured_agents: BTreeSet<String>,
    boot_id: u64,
    election_jitter: usize,
    own_slot: Option<SlotIncarnation>,
    /// By slot. Kept when this replica loses its own slot: see [`Record::PeerSlot`].
    peer_incarnations: BTreeMap<u64, PeerIncarnation>,
    /// By slot, the highest term and index that its replica has acknowledged to this one.
    peer_progress: BTreeMap<u64, PeerProgress>,
    /// Present once the replica has a slot, but driven only while the replica is active.
    node: Option<RawNode<LogStorage>>,
    status: ReplicaStatus,
    /// By agent, its last answer to a hello.
    welcomes: BTreeMap<String, Welcome>,
    membership: Membership,
    /// By slot, the agent that last sent a message from it. A member without a snapshot has no
    /// membership yet in which to look up the receiver of its answer.
    senders: BTreeMap<u64, String>,
    tick_count: u32,
    ticks_since_message: u32,
    /// Boot ids of the processes of agents that have no valid slot, by agent.
    join_requests: BTreeMap<String, u64>,
    /// Agents whose slots are to be removed.
    removal_requests: BTreeSet<String>,
    applied_index: u64,
    /// A member was added after the last snapshot. It can't start from a snapshot whose membership
    /// lacks it.
    snapshot_lacks_member: bool,
    actions: VecDeque<Action>,
}

impl Replica {
    /// Starts a replica from the records of its log file; without records it has no slot yet.
    ///
    /// `boot_id` is unique to this start and not 0. `election_jitter` is a small number that
    /// spreads the election timeouts of the replicas; it is an argument so that simulations are
    /// reproducible.
    ///
    /// # Errors
    /// [`StartError::InvalidLog`]: raft rejects the stored log.
    pub fn start(
        name: &str,
        configured_agents: &BTreeSet<String>,
        boot_id: u64,
        election_jitter: usize,
        records: &[Record],
    ) -> Result<Replica, StartError> {
        let mut replica = Replica {
            name: name.to_owned(),
            configured_agents: configured_agents.clone(),
            boot_id,
            election_jitter,
            own_slot: None,
            peer_incarnations: BTreeMap::new(),
            peer_progress: BTreeMap::new(),
            node: None,
            status: ReplicaStatus::Joining,
            welcomes: BTreeMap::new(),
            membership: Membership::default(),
            senders: BTreeMap::new(),
            tick_count: 0,
            ticks_since_message: 0,
            join_requests: BTreeMap::new(),
            removal_requests: BTreeSet::new(),
            applied_index: 0,
            snapshot_lacks_member: false,
            actions: VecDeque::new(),
        };
        let log = replica.load_records(records);
        if let Some(previous) = replica.own_slot {
            replica.start_verification(previous, log)?;
        }
        replica.send_hello();
        Ok(replica)
    }

    /// Loads the slots from the records, and returns the log that the other records form.
    fn load_records(&mut self, records: &[Record]) -> LogStorage {
        let mut log = LogStorage::default();
        for record in records {
            match record {
                Record::VoterSlot { id, incarnation } => {
                    self.own_slot = Some(SlotIncarnation {
                        slot: *id,
                        incarnation: *incarnation,
                    });
                }
                Record::PeerSlot {
                    id,
                    incarnation,
                    boot_id,
                } => {
                    let peer = PeerIncarnation {
                        incarnation: *incarnation,
                        boot_id: *boot_id,
                    };
                    self.peer_incarnations.insert(*id, peer);
                }
                Record::HardState { .. } | Record::Entry(_) | Record::Snapshot(_) => {
                    if let Err(error) = log.load_record(record) {
                        self.actions.push_back(Action::ReportDecodeError(error));
                    }
                }
            }
        }
        log
    }

    /// Creates raft's node on the log; it is not driven until the replica is active.
    fn create_node(&mut self, slot: u64, log: LogStorage) -> Result<(), StartError> {
        // Spread by slot rather than by a random number, so that simulations are reproducible.
        let spread = MIN_ELECTION_TICKS + 4 * (slot as usize % 8).min(5) + self.election_jitter % 4;
        let election_ticks = spread.min(MAX_ELECTION_TICKS - 1);
        let config = Config {
            id: slot,
            election_tick: MIN_ELECTION_TICKS,
            min_election_tick: election_ticks,
            max_election_tick: election_ticks + 1,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: 256 * 1024,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let snapshot = log.snapshot.clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger)
            .map_err(|source| StartError::InvalidLog { slot, source })?;
        self.node = Some(node);
        if snapshot.get_metadata().index > 0 {
            self.restore(&snapshot);
        }
        Ok(())
    }

    /// The next action for the host; `None` until another event causes one.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Whether this replica takes part in the group.
    pub fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// The membership as of the last applied entry.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The number of this replica's slot.
    pub fn slot(&self) -> Option<u64> {
        self.own_slot.map(|own| own.slot)
    }

    /// Name of the leader that this replica follows, which may be this agent.
    pub fn leader(&self) -> Option<&str> {
        self.membership.name_of(self.leader_slot()?)
    }

    /// The term in which this replica leads.
    pub fn leading_term(&self) -> Option<u64> {
        let raft = &self.active_node()?.raft;
        (raft.state == StateRole::Leader).then_some(raft.term)
    }

    fn leader_slot(&self) -> Option<u64> {
        let leader = self.active_node()?.raft.leader_id;
        (leader > 0).then_some(leader)
    }

    fn active_node(&self) -> Option<&RawNode<LogStorage>> {
        self.node
            .as_ref()
            .filter(|_| self.status == ReplicaStatus::Active)
    }

    /// Advances the clock by one tick, [`TICK_MS`](crate::TICK_MS).
    pub fn tick(&mut self) {
        self.tick_count += 1;
        if self.status != ReplicaStatus::Active {
            if self.tick_count.is_multiple_of(HELLO_INTERVAL_TICKS) {
                self.send_hello();
            }
            return;
        }
        if let Some(node) = &mut self.node {
            node.tick();
        }
        self.ticks_since_message += 1;
        let is_check_due = self.tick_count.is_multiple_of(SILENCE_TICKS);
        let is_leading = self.leading_term().is_some();
        if !is_leading && self.ticks_since_message > SILENCE_TICKS && is_check_due {
            // Its removal may have been committed while it was disconnected; the others then answer
            // that it was replaced.
            self.send_hello();
        }
        if is_leading {
            self.propose_membership_change();
            if is_check_due {
                self.retry_snapshots();
            }
        }
        self.process_ready();
    }

    /// Handles a message from another agent.
    pub fn handle_message(&mut self, from: &str, message: Message) {
        match message {
            Message::Hello { boot_id, slot } => self.handle_hello(from, boot_id, slot),
            Message::Welcome {
                boot_id,
                state,
                responder_slot,
                progress,
                reserved_slot,
            } => {
                // An answer to an earlier process of this agent is ignored.
                if boot_id == self.boot_id {
                    let welcome = Welcome {
                        state,
                        responder_slot,
                        leader: progress.leader,
                    };
                    self.handle_welcome(from, welcome, progress, reserved_slot);
                }
            }
            Message::Raft(bytes) => self.handle_raft_message(from, &bytes),
        }
    }

    fn handle_raft_message(&mut self, from: &str, bytes: &[u8]) {
        let message = match RaftMessage::parse_from_bytes(bytes) {
            Ok(message) => message,
            Err(error) => {
                let error = DecodeError::RaftMessage {
                    peer: from.to_owned(),
                    reason: error.to_string(),
                };
                self.actions.push_back(Action::ReportDecodeError(error));
                return;
            }
        };
        // A message to a former slot of this agent must not reach the new replica.
        if self.slot() != Some(message.to) || self.status != ReplicaStatus::Active {
            return;
        }
        self.senders.insert(message.from, from.to_owned());
        self.observe_progress(&message);
        self.join_requests.remove(from);
        self.ticks_since_message = 0;
        if let Some(node) = &mut self.node {
            // Raft rejects messages of former terms and of removed members; the sender needs no
            // reply.
            let _ = node.step(message);
        }
        self.process_ready();
    }

    /// Proposes an entry; returns false if this replica does not lead. The entry may be lost until
    /// it is applied.
    pub fn propose(&mut self, data: Vec<u8>) -> bool {
        let is_leading = self.leading_term().is_some();
        let is_proposed = is_leading
            && self
                .node
                .as_mut()
                .is_some_and(|node| node.propose(Vec::new(), data).is_ok());
        self.process_ready();
        is_proposed
    }

    /// Asks a majority to confirm that this replica still leads (thesis, 6.4). The answer is
    /// [`Action::LeadershipConfirmed`]; there is none if it does not lead.
    pub fn confirm_leadership(&mut self, request_id: u64) {
        if let (Some(_), Some(node)) = (self.leading_term(), &mut self.node) {
            node.read_index(request_id.to_le_bytes().to_vec());
        }
        self.process_ready();
    }
}
