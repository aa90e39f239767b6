//! This agent's replica with its log file and the replicated state. After a failure of the disk or
//! of the raft library, the replica is dropped and restarted from the log file.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use log::{error, info, warn};
use merlinshelf_consensus::{Action, Membership, Message, Replica, ReplicaStatus, StartError};
use merlinshelf_policy::replicated_state::ReplicatedEvent;
use merlinshelf_policy::{Entry, ReplicatedState};
use tokio::sync::mpsc::UnboundedSender;

use crate::consensus_log::{self, LogWriteError, LogWriter, WriteResult};

/// Folder of the log file inside the agent's folder.
const FOLDER: &str = "council";
/// Delay before a failed replica is restarted, in seconds.
const RESTART_DELAY_SECONDS: f64 = 0.5;

/// Why the replica does not run.
#[derive(Debug, thiserror::Error)]
enum NodeError {
    #[error("{0}")]
    Disk(#[from] io::Error),
    #[error("{0}")]
    Start(#[from] StartError),
    #[error("{0}")]
    Write(#[from] LogWriteError),
    /// The raft library panics on a message that contradicts the log.
    #[error("a message from another agent contradicts the log")]
    Panicked,
}

/// Requests and events for the host of the node.
#[derive(Debug)]
pub(crate) enum NodeOutput {
    /// Send a message to another agent.
    Send { to: String, message: Message },
    /// An entry was applied to the state.
    Applied(ReplicatedEvent),
    /// The state was replaced, since the replica was started or has received a snapshot.
    StateReplaced,
    /// A majority confirmed that this agent led after the request.
    LeadershipConfirmed { request_id: u64 },
}

/// A running replica and its log writer.
struct RunningReplica {
    replica: Replica,
    log_writer: LogWriter,
    generation: u64,
    /// A write is in flight; no later action may be carried out before it is durable.
    is_writing: bool,
}

/// This agent's node of the consensus group.
pub(crate) struct ConsensusNode {
    name: String,
    agents: BTreeSet<String>,
    folder: PathBuf,
    running: Option<RunningReplica>,
    /// Counts the starts of the replica.
    generation: u64,
    write_results: UnboundedSender<WriteResult>,
    /// Seconds of the agent's clock.
    failed_at: Option<f64>,
    is_failure_logged: bool,
    boot_id: u64,
    state: ReplicatedState,
    outputs: Vec<NodeOutput>,
}

impl ConsensusNode {
    /// Creates a node that starts with the first tick. `boot_id` is unique to this process. Results
    /// of writes are sent to `write_results`; the host passes them to
    /// [`ConsensusNode::write_finished`].
    pub fn new(
        name: &str,
        agents: &BTreeMap<String, String>,
        folder: &Path,
        boot_id: u64,
        write_results: UnboundedSender<WriteResult>,
    ) -> ConsensusNode {
        ConsensusNode {
            name: name.to_owned(),
            agents: agents.keys().cloned().collect(),
            folder: folder.join(FOLDER),
            running: None,
            generation: 0,
            write_results,
            failed_at: None,
            is_failure_logged: false,
            boot_id: boot_id.max(1),
            state: ReplicatedState::default(),
            outputs: Vec::new(),
        }
    }

    /// The replicated state as of the last applied entry.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The membership; empty while the replica does not run.
    pub fn membership(&self) -> Membership {
        self.replica()
            .map(|replica| replica.membership().clone())
            .unwrap_or_default()
    }

    /// Whether an agent is a member.
    pub fn is_member(&self, name: &str) -> bool {
        self.replica()
            .is_some_and(|replica| replica.membership().slot_of(name).is_some())
    }

    /// The leader that this agent follows.
    pub fn leader(&self) -> Option<&str> {
        self.replica()?.leader()
    }

    /// The term in which this agent leads.
    pub fn leading_term(&self) -> Option<u64> {
        self.replica()?.leading_term()
    }

    /// The node's status as written in replies on the control socket.
    pub fn status_text(&self) -> &'static str {
        match self.replica().map(Replica::status) {
            None => "without its disk",
            Some(ReplicaStatus::Joining) => "seeks a seat",
            Some(ReplicaStatus::Verifying) => "asks whether it remembers all",
            Some(ReplicaStatus::Active) => "sits",
        }
    }

    fn replica(&self) -> Option<&Replica> {
        self.running.as_ref().map(|running| &running.replica)
    }

    fn start(&mut self) -> Result<(), NodeError> {
        let (disk, records) = consensus_log::open(&self.folder)?;
        self.boot_id = next_boot_id(self.boot_id);
        let election_jitter = (self.boot_id >> 33) as usize;
        let replica = Replica::start(
            &self.name,
            &self.agents,
            self.boot_id,
            election_jitter,
            &records,
        )?;
        self.state = ReplicatedState::default();
        self.outputs.push(NodeOutput::StateReplaced);
        self.generation += 1;
        let results = self.write_results.clone();
        let log_writer = LogWriter::start(disk, &self.folder, self.generation, results)?;
        self.running = Some(RunningReplica {
            replica,
            log_writer,
            generation: self.generation,
            is_writing: false,
        });
        self.carry_out_actions();
        Ok(())
    }

    /// Advances the replica's clock by one tick, and starts the replica if it does not run.
    pub fn tick(&mut self, now: f64) {
        let is_start_due = self
            .failed_at
            .is_none_or(|failed_at| now >= failed_at + RESTART_DELAY_SECONDS);
        if self.running.is_none() && is_start_due {
            match self.start() {
                Ok(()) => {
                    if std::mem::take(&mut self.is_failure_logged) {
                        info!("replica running again");
                    }
                    self.failed_at = None;
                }
                Err(error) => self.fail(now, &error),
            }
        }
        self.drive(now, Replica::tick);
    }

    /// Handles the result of a write.
    pub fn write_finished(&mut self, now: f64, write: WriteResult) {
        let Some(running) = &mut self.running else {
            return;
        };
        if write.generation != running.generation {
            return;
        }
        running.is_writing = false;
        match write.result {
            Ok(()) => self.carry_out_actions(),
            Err(error) => self.fail(now, &error.into()),
        }
    }

    /// Handles a message from another agent.
    pub fn handle_message(&mut self, now: f64, from: &str, message: Message) {
        self.drive(now, |replica| replica.handle_message(from, message));
    }

    /// Proposes an entry if this agent leads. The entry may be lost: the proposer must check the
    /// state for it.
    pub fn propose(&mut self, now: f64, entry: &Entry) {
        match rmp_serde::to_vec_named(entry) {
            Ok(bytes) => self.drive(now, |replica| _ = replica.propose(bytes)),
            Err(error) => error!(error:% = error; "entry not encoded and not proposed: {error}"),
        }
    }

    /// Requests the removal of an agent's slot, if this agent leads.
    pub fn remove_member(&mut self, now: f64, name: &str) {
        self.drive(now, |replica| replica.remove_member(name));
    }

    /// Asks a majority to confirm that this agent leads.
    pub fn confirm_leadership(&mut self, now: f64, request_id: u64) {
        self.drive(now, |replica| replica.confirm_leadership(request_id));
    }

    /// The outputs since the last call.
    pub fn take_outputs(&mut self) -> Vec<NodeOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn drive(&mut self, now: f64, event: impl FnOnce(&mut Replica)) {
        let Some(running) = &mut self.running else {
            return;
        };
        // After a panic the replica's memory may be inconsistent, so it restarts from its log file.
        let result = catch_unwind(AssertUnwindSafe(|| event(&mut running.replica)));
        if result.is_err() {
            return self.fail(now, &NodeError::Panicked);
        }
        self.carry_out_actions();
    }

    fn fail(&mut self, now: f64, error: &NodeError) {
        if !self.is_failure_logged {
            warn!(error:% = error; "replica stopped: {error}");
        }
        self.is_failure_logged = true;
        self.running = None;
        self.failed_at = Some(now);
    }

    /// Carries out the replica's actions in order, until one must wait for the disk.
    fn carry_out_actions(&mut self) {
        while let Some(running) = &mut self.running
            && !running.is_writing
        {
            if running.replica.needs_compaction() {
                match rmp_serde::to_vec_named(&self.state) {
                    Ok(state) => running.replica.compact(state),
                    Err(error) => {
                        error!(error:% = error; "replicated state not encoded, log not compacted: {error}");
                    }
                }
            }
            let Some(action) = running.replica.poll_action() else {
                return;
            };
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Append(records) => self.write(|log_writer| log_writer.append(records)),
            Action::ReplaceLog(records) => self.write(|log_writer| log_writer.replace(records)),
            Action::Send { to, message } => self.outputs.push(NodeOutput::Send { to, message }),
            Action::Apply { index, data } => self.apply(index, &data),
            Action::Restore { index, state } => self.restore(index, &state),
            Action::LeadershipConfirmed { request_id } => self
                .outputs
                .push(NodeOutput::LeadershipConfirmed { request_id }),
            Action::ReportDecodeError(error) => error!(error:% = error; "{error}; skipped"),
        }
    }

    fn write(&mut self, write: impl FnOnce(&LogWriter)) {
        if let Some(running) = &mut self.running {
            running.is_writing = true;
            write(&running.log_writer);
        }
    }

    fn apply(&mut self, index: u64, data: &[u8]) {
        match rmp_serde::from_slice(data) {
            Ok(entry) => {
                let event = self.state.apply(entry);
                self.outputs.extend(event.map(NodeOutput::Applied));
            }
            // A later version proposed an entry that this version does not know.
            Err(error) => {
                error!(index = index, error:% = error; "entry {index} not decoded, skipped: {error}");
            }
        }
    }

    fn restore(&mut self, index: u64, state: &[u8]) {
        self.state = if state.is_empty() {
            ReplicatedState::default()
        } else {
            rmp_serde::from_slice(state).unwrap_or_else(|error| {
                // A later version stored the state; the base policy is safe without it.
                error!(index = index, error:% = error; "state at {index} not decoded, serving base policy: {error}");
                ReplicatedState::default()
            })
        };
        self.outputs.push(NodeOutput::StateReplaced);
    }
}

/// The next boot id: a linear congruential generator, odd so that it is never 0.
fn next_boot_id(boot_id: u64) -> u64 {
    boot_id
        .wrapping_mul(0x5851_F42D_4C95_7F2D)
        .wrapping_add(0x1405_7B7E_F767_814F)
        | 1
}
