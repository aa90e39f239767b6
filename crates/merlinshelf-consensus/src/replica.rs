//! One agent's seat in the council.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use protobuf::Message as _;
use raft::prelude::{
    ConfChange, ConfChangeType, ConfState, Config, Entry, EntryType, HardState,
    Message as RaftMessage, MessageType, Snapshot,
};
use raft::{ProgressState, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::log_storage::{LogStorage, entry_record, hard_record, snapshot_record};
use crate::messages::{BootstrapState, Member, Membership, Message, PeerProgress};
use crate::record::Record;

/// Ticks between two greetings of who does not sit yet.
const GREET_EVERY: u32 = 2;
/// Ticks without a word of another member after which one asks whether its seat is still its own.
const QUIET: u32 = 20;
/// Entries behind a snapshot after which a new one is made.
const ENTRIES_MOST: u64 = 400;
/// The index that everything starts behind, so that who comes later must be sent a snapshot.
const FOUNDED_AT: u64 = 1;

/// What the host of this state machine is to do, in this order. Where one can't be done, nothing after it may be: the council
/// is dropped, and made anew from what is kept.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Keep these for good before going on.
    Append(Vec<Record>),
    /// Keep these in place of all that is kept.
    ReplaceLog(Vec<Record>),
    Send(String, Message),
    /// An entry that all have alike, with its number, in its order.
    Apply(u64, Vec<u8>),
    /// The state after the entries up to this number, in place of applying them; empty where there were none.
    Restore(u64, Vec<u8>),
    /// A majority has confirmed that this agent still led after it was asked for.
    LeadershipConfirmed(u64),
}

/// How an agent stands to the council.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It remembers none: it founds one with all others, or asks for a seat.
    Joining,
    /// It has begun, and asks the others whether they know a later life of its seat than its own.
    Verifying,
    Active,
}

/// What a snapshot holds beside the state of whoever uses the log.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SnapshotPayload {
    #[serde(rename = "roll")]
    membership: Membership,
    state: ByteBuf,
}

/// The state machine of one agent.
pub struct Replica {
    name: String,
    /// The names of all agents that are wanted.
    wanted: BTreeSet<String>,
    ticket: u64,
    chance: usize,
    /// Where it sits, and in which life of the seat.
    seat: Option<(u64, u64)>,
    /// The latest life of each seat, and the ticket of the process that lived it.
    met: BTreeMap<u64, (u64, u64)>,
    /// What each seat has said to have kept.
    seen: BTreeMap<u64, PeerProgress>,
    node: Option<RawNode<LogStorage>>,
    standing: ReplicaStatus,
    /// Who has answered its greeting, and how far each is.
    welcomed: BTreeMap<String, (BootstrapState, Option<u64>, Option<u64>)>,
    roll: Membership,
    /// Who spoke last from a seat: a member that was sent nothing yet has no roll to answer by.
    voices: BTreeMap<u64, String>,
    ticks: u32,
    /// Ticks since another member was heard of.
    quiet: u32,
    /// Seats that were given up and whose names want new ones: name and ticket.
    applying: BTreeMap<String, u64>,
    /// Seats that are to be removed, by name.
    leaving: BTreeSet<String>,
    applied: u64,
    /// Somebody came in since the last snapshot, who takes none that does not name it.
    joined: bool,
    steps: VecDeque<Action>,
}

impl Replica {
    /// An agent that begins with what is kept of it; nothing where it has no memory. `ticket` is a new number of its own and
    /// not 0, `chance` a small number that spreads elections.
    ///
    /// # Errors
    /// What `raft` does not take of what is kept.
    pub fn start(
        name: &str,
        wanted: &BTreeSet<String>,
        ticket: u64,
        chance: usize,
        kept: &[Record],
    ) -> Result<Replica, String> {
        let mut council = Replica {
            name: name.to_owned(),
            wanted: wanted.clone(),
            ticket,
            chance,
            seat: None,
            met: BTreeMap::new(),
            seen: BTreeMap::new(),
            node: None,
            standing: ReplicaStatus::Joining,
            welcomed: BTreeMap::new(),
            roll: Membership::default(),
            voices: BTreeMap::new(),
            ticks: 0,
            quiet: 0,
            applying: BTreeMap::new(),
            leaving: BTreeSet::new(),
            applied: 0,
            joined: false,
            steps: VecDeque::new(),
        };
        let mut shelf = LogStorage::default();
        for record in kept {
            match record {
                Record::VoterSlot {
                    id,
                    incarnation: life,
                } => council.seat = Some((*id, *life)),
                Record::PeerSlot {
                    id,
                    incarnation: life,
                    boot_id: ticket,
                } => _ = council.met.insert(*id, (*life, *ticket)),
                other => shelf.take(other),
            }
        }
        if let Some((id, life)) = council.seat {
            let life = life + 1;
            council.seat = Some((id, life));
            council
                .steps
                .push_back(Action::Append(vec![Record::VoterSlot {
                    id,
                    incarnation: life,
                }]));
            council.sit(shelf)?;
            council.standing = ReplicaStatus::Verifying;
            council.greeted();
        }
        council.greet();
        Ok(council)
    }

    /// Makes the node over what is kept; nothing of it shows before this agent sits.
    fn sit(&mut self, shelf: LogStorage) -> Result<(), String> {
        let Some((id, _)) = self.seat else {
            return Ok(());
        };
        let spread = 10 + 4 * (id as usize % 8).min(5) + self.chance % 4;
        let config = Config {
            id,
            // Spread by seat instead of by chance, so that the same seed plays the same.
            election_tick: 10,
            min_election_tick: spread.min(19),
            max_election_tick: spread.min(19) + 1,
            heartbeat_tick: 2,
            max_size_per_msg: 256 * 1024,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let held = shelf.snapshot.clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, shelf, &logger).map_err(|error| error.to_string())?;
        self.node = Some(node);
        if held.get_metadata().index > 0 {
            self.restore(&held);
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        let held: SnapshotPayload = rmp_serde::from_slice(snapshot.get_data()).unwrap_or_default();
        self.roll = held.membership;
        self.applied = snapshot.get_metadata().index;
        self.steps
            .push_back(Action::Restore(self.applied, held.state.into_vec()));
    }

    pub fn poll_action(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    pub fn status(&self) -> &ReplicaStatus {
        &self.standing
    }

    pub fn membership(&self) -> &Membership {
        &self.roll
    }

    pub fn slot(&self) -> Option<u64> {
        self.seat.map(|(id, _)| id)
    }

    /// Whom the majority follows, as far as is known here.
    pub fn leader(&self) -> Option<&str> {
        let id = self
            .node
            .as_ref()
            .map(|node| node.raft.leader_id)
            .filter(|id| *id > 0)?;
        self.roll
            .name_of(id)
            .filter(|_| self.standing == ReplicaStatus::Active)
    }

    /// The term in which this agent leads.
    pub fn leading_term(&self) -> Option<u64> {
        let node = self
            .node
            .as_ref()
            .filter(|_| self.standing == ReplicaStatus::Active)?;
        (node.raft.state == StateRole::Leader).then_some(node.raft.term)
    }

    fn majority(&self) -> usize {
        self.roll.members.len() / 2 + 1
    }

    /// Other agents, those of the file and those of the roll.
    fn others(&self) -> BTreeSet<String> {
        let named = self.roll.members.values().map(|member| &member.name);
        self.wanted
            .iter()
            .chain(named)
            .filter(|name| **name != self.name)
            .cloned()
            .collect()
    }

    fn greet(&mut self) {
        let (ticket, seat) = (self.ticket, self.seat);
        for name in self.others() {
            self.steps.push_back(Action::Send(
                name,
                Message::Hello {
                    boot_id: ticket,
                    slot: seat,
                },
            ));
        }
        self.found();
    }

    /// Time goes on by one tick.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.standing != ReplicaStatus::Active {
            if self.ticks.is_multiple_of(GREET_EVERY) {
                self.greet();
            }
            return;
        }
        if let Some(node) = &mut self.node {
            node.tick();
        }
        self.quiet += 1;
        if self.leading_term().is_none() && self.quiet > QUIET && self.ticks.is_multiple_of(QUIET) {
            self.greet(); // it may have been replaced
        }
        if self.leading_term().is_some() {
            self.change_members();
            if self.ticks.is_multiple_of(QUIET) {
                self.send_snapshots_again();
            }
        }
        self.pump();
    }

    fn state(&self) -> BootstrapState {
        match &self.node {
            None => BootstrapState::Empty,
            Some(node) => {
                let shelf = node.store();
                let fresh =
                    shelf.hard.vote == 0 && shelf.last() == FOUNDED_AT && node.raft.term <= 1;
                if fresh {
                    BootstrapState::Fresh
                } else {
                    BootstrapState::Established
                }
            }
        }
    }

    /// A word from another agent.
    pub fn handle_message(&mut self, from: &str, word: Message) {
        match word {
            Message::Hello {
                boot_id: ticket,
                slot: seat,
            } => self.hello(from, ticket, seat),
            Message::Welcome {
                boot_id: ticket,
                state,
                responder_slot: own,
                progress: known,
                reserved_slot: seat,
            } if ticket == self.ticket => {
                self.welcome(from, state, own, known, seat);
            }
            Message::Welcome { .. } => {}
            Message::Raft(bytes) => {
                let Ok(message) = RaftMessage::parse_from_bytes(&bytes) else {
                    return;
                };
                let own = self.seat.is_some_and(|(id, _)| id == message.to);
                if own && self.standing == ReplicaStatus::Active {
                    self.voices.insert(message.from, from.to_owned());
                    self.see(&message);
                    self.applying.remove(from);
                    self.quiet = 0;
                    // What it does not take is of a former term or of one that sits no more.
                    let _ = self.node.as_mut().map(|node| node.step(message));
                    self.pump();
                }
            }
        }
    }

    fn hello(&mut self, from: &str, ticket: u64, seat: Option<(u64, u64)>) {
        let mut known = PeerProgress::default();
        match seat {
            Some((id, life)) => {
                self.applying.remove(from);
                let met = self.met.get(&id).copied();
                known = self.seen.get(&id).copied().unwrap_or_default();
                // The same life lived by another process is one too many.
                known.incarnation = met
                    .filter(|met| *met != (life, ticket))
                    .map(|(life, _)| life);
                known.replaced = self.standing == ReplicaStatus::Active
                    && !self.roll.members.contains_key(&id)
                    && self.roll.highest_slot >= id;
                let sits = self
                    .node
                    .as_ref()
                    .filter(|_| self.standing == ReplicaStatus::Active);
                known.leader = sits
                    .map(|node| node.raft.leader_id)
                    .filter(|leader| *leader > 0);
                if met.is_none_or(|(before, _)| life > before) {
                    self.met.insert(id, (life, ticket));
                    self.steps.push_back(Action::Append(vec![Record::PeerSlot {
                        id,
                        incarnation: life,
                        boot_id: ticket,
                    }]));
                }
            }
            None if self.state() == BootstrapState::Established => {
                _ = self.applying.insert(from.to_owned(), ticket)
            }
            None => {}
        }
        let kept = self
            .roll
            .members
            .iter()
            .find(|(_, of)| of.name == from && of.boot_id == ticket);
        let (state, own, seat) = (self.state(), self.slot(), kept.map(|(id, _)| *id));
        self.steps.push_back(Action::Send(
            from.to_owned(),
            Message::Welcome {
                boot_id: ticket,
                state,
                responder_slot: own,
                progress: known,
                reserved_slot: seat,
            },
        ));
    }

    /// What a member has kept for sure, by what it says: its words come after.
    fn see(&mut self, message: &RaftMessage) {
        let index = match message.get_msg_type() {
            MessageType::MsgAppendResponse if !message.reject => message.index,
            MessageType::MsgAppend | MessageType::MsgHeartbeat => message.commit,
            MessageType::MsgHeartbeatResponse | MessageType::MsgRequestVote => 0,
            MessageType::MsgRequestVoteResponse if !message.reject => 0,
            _ => return,
        };
        let seen = self.seen.entry(message.from).or_default();
        (seen.term, seen.index) = (seen.term.max(message.term), seen.index.max(index));
    }

    fn welcome(
        &mut self,
        from: &str,
        state: BootstrapState,
        own: Option<u64>,
        known: PeerProgress,
        seat: Option<u64>,
    ) {
        match self.standing {
            ReplicaStatus::Joining => {
                if let Some(id) = seat {
                    // Kept for this very ticket: an empty member that is sent all there is.
                    self.seat = Some((id, 1));
                    let mut records = self.met_records();
                    records.push(Record::VoterSlot { id, incarnation: 1 });
                    self.steps.push_back(Action::ReplaceLog(records));
                    if self.sit(LogStorage::default()).is_ok() {
                        self.standing = ReplicaStatus::Active;
                    }
                    return;
                }
                self.welcomed
                    .insert(from.to_owned(), (state, own, known.leader));
                self.found();
            }
            ReplicaStatus::Verifying => {
                let later = known
                    .incarnation
                    .zip(self.seat)
                    .is_some_and(|(life, (_, own))| life >= own);
                let kept = self.node.as_ref().map_or((0, 0), |node| {
                    let shelf = node.store();
                    (shelf.hard.term, shelf.last())
                });
                if later || known.replaced || known.term > kept.0 || known.index > kept.1 {
                    return self.give_up();
                }
                self.welcomed
                    .insert(from.to_owned(), (state, own, known.leader));
                self.greeted();
            }
            // Only one that was replaced, and never told so, is answered so.
            ReplicaStatus::Active if known.replaced => self.give_up(),
            ReplicaStatus::Active => {}
        }
    }

    /// What is kept here is older than what was promised, or the seat is another's: it is left for good.
    fn give_up(&mut self) {
        (self.seat, self.node, self.standing) = (None, None, ReplicaStatus::Joining);
        self.roll = Membership::default();
        // A seat that is kept for the old one was sat in, and has promised things that are forgotten now.
        self.ticket = self
            .ticket
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.applied, self.ticks) = (0, 0);
        self.welcomed.clear();
        self.steps.push_back(Action::ReplaceLog(self.met_records()));
    }

    /// Enough others know of no later life of this seat.
    fn greeted(&mut self) {
        // Whoever leads hears what each has kept: where there is one, it must have spoken.
        let spoke = |seat: u64| self.welcomed.values().any(|(_, own, _)| *own == Some(seat));
        let (own, mut leaders) = (
            self.slot(),
            self.welcomed.values().filter_map(|(.., leader)| *leader),
        );
        if leaders.any(|leader| Some(leader) != own && !spoke(leader)) {
            return;
        }
        // Who sits elsewhere by now has no memory of what was said to its former seat.
        let same = |name: &str, own: Option<u64>| own.is_some() && self.roll.slot_of(name) == own;
        let heard = self
            .welcomed
            .iter()
            .filter(|(name, (_, own, _))| same(name, *own))
            .count();
        let moved = |name: &str, own: Option<u64>| {
            own.is_some() && self.roll.slot_of(name).is_some_and(|id| Some(id) != own)
        };
        let elsewhere = self
            .welcomed
            .iter()
            .filter(|(name, (_, own, _))| moved(name, *own))
            .count();
        if self.roll.members.is_empty() {
            // It was sent nothing yet that its memory has: whoever sits can say whether it was sent more.
            let sit = self
                .welcomed
                .values()
                .filter(|(_, own, _)| own.is_some())
                .count();
            let led = self.welcomed.values().any(|(.., leader)| leader.is_some());
            if sit + 1 > self.wanted.len() / 2 && led {
                self.standing = ReplicaStatus::Active;
                self.pump();
            }
            return;
        }
        if heard + 1 >= self.majority() {
            self.standing = ReplicaStatus::Active;
            self.pump();
        } else if self.roll.members.len() - elsewhere < self.majority() {
            // Too many of those whom this memory names are replaced: nobody could vouch for it any more.
            self.give_up();
        }
    }

    /// Founds the council where no other agent remembers one. All of them must have said so.
    fn found(&mut self) {
        let none = |name: &String| {
            matches!(
                self.welcomed.get(name),
                Some((BootstrapState::Empty | BootstrapState::Fresh, ..))
            )
        };
        let alone = self
            .wanted
            .iter()
            .filter(|name| **name != self.name)
            .all(none);
        if self.standing != ReplicaStatus::Joining || !alone || !self.wanted.contains(&self.name) {
            return;
        }
        let mut roll = Membership::default();
        for (place, name) in self.wanted.iter().enumerate() {
            roll.highest_slot = place as u64 + 1;
            roll.members.insert(
                roll.highest_slot,
                Member {
                    name: name.clone(),
                    boot_id: 0,
                },
            );
        }
        let Some(id) = roll.slot_of(&self.name) else {
            return;
        };
        let conf = ConfState {
            voters: roll.members.keys().copied().collect(),
            ..ConfState::default()
        };
        let mut snapshot = Snapshot::default();
        let held = SnapshotPayload {
            membership: roll,
            state: ByteBuf::new(),
        };
        snapshot.set_data(rmp_serde::to_vec(&held).unwrap_or_default().into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (FOUNDED_AT, 1);
        meta.set_conf_state(conf);
        let mut shelf = LogStorage::default();
        shelf.put(snapshot.clone());
        shelf.hard = HardState {
            term: 1,
            vote: 0,
            commit: FOUNDED_AT,
            ..HardState::default()
        };
        self.seat = Some((id, 1));
        let mut records = self.met_records();
        records.extend([
            Record::VoterSlot { id, incarnation: 1 },
            snapshot_record(&snapshot),
            hard_record(&shelf.hard),
        ]);
        self.steps.push_back(Action::ReplaceLog(records));
        if self.sit(shelf).is_ok() {
            self.standing = ReplicaStatus::Active;
        }
    }

    /// Puts data into the log; false where this agent does not lead.
    pub fn propose(&mut self, data: Vec<u8>) -> bool {
        let leads = self.leading_term().is_some();
        let put = leads
            && self
                .node
                .as_mut()
                .is_some_and(|node| node.propose(Vec::new(), data).is_ok());
        self.pump();
        put
    }

    /// Has a majority confirm that this agent leads now.
    pub fn confirm_leadership(&mut self, number: u64) {
        if let (Some(_), Some(node)) = (self.leading_term(), &mut self.node) {
            node.read_index(number.to_le_bytes().to_vec());
        }
        self.pump();
    }

    /// An agent is to sit here no more, by whoever leads.
    pub fn remove_member(&mut self, name: &str) {
        self.leaving.insert(name.to_owned());
    }

    /// One seat at a time: what is given up goes, then who wants one gets it.
    fn change_members(&mut self) {
        let Some(node) = &mut self.node else { return };
        if node.raft.has_pending_conf() {
            return;
        }
        let roll = &self.roll;
        self.leaving.retain(|name| roll.slot_of(name).is_some());
        let wanted = &self.wanted;
        self.applying.retain(|name, ticket| {
            let kept = roll
                .slot_of(name)
                .and_then(|id| roll.members.get(&id))
                .is_some_and(|of| of.boot_id == *ticket);
            !kept && wanted.contains(name)
        });
        let own = self.seat.map(|(id, _)| id);
        let vacant = self.leaving.iter().find_map(|name| roll.slot_of(name));
        let change = vacant.or_else(|| self.applying.keys().find_map(|name| roll.slot_of(name)));
        let (kind, id, context) = match (change, self.applying.iter().next()) {
            (Some(id), _) if Some(id) != own => (ConfChangeType::RemoveNode, id, Vec::new()),
            (None, Some((name, ticket))) => {
                let member = Member {
                    name: name.clone(),
                    boot_id: *ticket,
                };
                (
                    ConfChangeType::AddNode,
                    roll.highest_slot + 1,
                    rmp_serde::to_vec(&member).unwrap_or_default(),
                )
            }
            _ => return,
        };
        let mut change = ConfChange {
            node_id: id,
            ..ConfChange::default()
        };
        change.set_change_type(kind);
        change.set_context(context.into());
        let _ = node.propose_conf_change(Vec::new(), change);
    }

    /// A snapshot, or the word that it came, may have been lost on its way.
    fn send_snapshots_again(&mut self) {
        let Some(node) = &mut self.node else { return };
        let sent = |(id, progress): (&u64, &raft::Progress)| {
            (progress.state == ProgressState::Snapshot).then_some(*id)
        };
        let waiting: Vec<u64> = node.raft.prs().iter().filter_map(sent).collect();
        waiting
            .into_iter()
            .for_each(|id| node.report_snapshot(id, SnapshotStatus::Failure));
    }

    fn met_records(&self) -> Vec<Record> {
        let all = self.met.iter();
        all.map(|(id, (life, ticket))| Record::PeerSlot {
            id: *id,
            incarnation: *life,
            boot_id: *ticket,
        })
        .collect()
    }

    /// Takes the state of whoever uses the log, as of all that was applied by now, in place of a long log.
    pub fn compact(&mut self, state: Vec<u8>) {
        let (Some(seat), Some(node)) = (self.seat, &mut self.node) else {
            return;
        };
        let conf = node.raft.prs().conf().to_conf_state();
        let applied = self.applied;
        let shelf = node.mut_store();
        let Ok(term) = raft::Storage::term(shelf, applied) else {
            return;
        };
        let held = SnapshotPayload {
            membership: self.roll.clone(),
            state: ByteBuf::from(state),
        };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(rmp_serde::to_vec(&held).unwrap_or_default().into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (applied, term);
        meta.set_conf_state(conf);
        shelf.put(snapshot);
        self.joined = false;
        let mut records = vec![Record::VoterSlot {
            id: seat.0,
            incarnation: seat.1,
        }];
        records.extend(shelf.records());
        records.extend(self.met_records());
        self.steps.push_back(Action::ReplaceLog(records));
    }

    /// Whether the log is to be made short, once all steps are carried out.
    pub fn needs_compaction(&self) -> bool {
        let base = self
            .node
            .as_ref()
            .map_or(self.applied, |node| node.store().base());
        let behind = self.applied.saturating_sub(base);
        self.steps.is_empty() && (behind > ENTRIES_MOST || self.joined && behind > 0)
    }

    /// Everything that `raft` has to say, as steps in their order.
    fn pump(&mut self) {
        if self.standing != ReplicaStatus::Active {
            return;
        }
        while let Some(node) = &mut self.node
            && node.has_ready()
        {
            let mut ready = node.ready();
            let at_once = ready.take_messages();
            let reads: Vec<Vec<u8>> = ready
                .take_read_states()
                .into_iter()
                .map(|read| read.request_ctx)
                .collect();
            let mut records = Vec::new();
            let snapshot = ready.snapshot().clone();
            let restores = snapshot.get_metadata().index > 0;
            if restores {
                node.mut_store().put(snapshot.clone());
                records.push(snapshot_record(&snapshot));
            }
            let entries = ready.take_entries();
            node.mut_store().append(&entries);
            records.extend(entries.iter().map(entry_record));
            if let Some(hard) = ready.hs().cloned() {
                records.push(hard_record(&hard));
                node.mut_store().hard = hard;
            }
            let committed = ready.take_committed_entries();
            let later = ready.take_persisted_messages();
            self.send(at_once);
            if !records.is_empty() {
                self.steps.push_back(Action::Append(records));
            }
            self.send(later);
            if restores {
                self.restore(&snapshot);
            }
            self.apply(committed);
            for read in reads {
                if let Ok(number) = read.try_into() {
                    self.steps
                        .push_back(Action::LeadershipConfirmed(u64::from_le_bytes(number)));
                }
            }
            let Some(node) = &mut self.node else { return }; // it is replaced
            let mut light = node.advance(ready);
            if let Some(commit) = light.commit_index() {
                node.mut_store().hard.commit = commit;
            }
            let (messages, committed) = (light.take_messages(), light.take_committed_entries());
            self.send(messages);
            self.apply(committed);
            if let Some(node) = &mut self.node {
                node.advance_apply();
            }
        }
    }

    fn send(&mut self, messages: Vec<RaftMessage>) {
        for message in messages {
            let voice = || self.voices.get(&message.to).map(String::as_str);
            let Some(name) = self.roll.name_of(message.to).or_else(voice) else {
                continue;
            };
            let bytes = message.write_to_bytes().unwrap_or_default();
            self.steps.push_back(Action::Send(
                name.to_owned(),
                Message::Raft(ByteBuf::from(bytes)),
            ));
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.applied {
                continue;
            }
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryNormal {
                if !entry.data.is_empty() {
                    self.steps
                        .push_back(Action::Apply(entry.index, entry.data.to_vec()));
                }
                continue;
            }
            let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else {
                continue;
            };
            let Some(node) = &mut self.node else { return };
            if let Ok(conf) = node.apply_conf_change(&change) {
                node.mut_store().conf = conf;
            }
            if change.get_change_type() == ConfChangeType::AddNode {
                let member = rmp_serde::from_slice(&change.context).unwrap_or_default();
                self.roll.members.insert(change.node_id, member);
                self.roll.highest_slot = self.roll.highest_slot.max(change.node_id);
                self.joined = true;
            } else {
                self.roll.members.remove(&change.node_id);
                if Some(change.node_id) == self.slot() {
                    return self.give_up();
                }
            }
        }
    }
}
