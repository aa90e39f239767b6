//! The states of a predecessor, with the timeout and the permissions of each.

use std::time::Duration;

use super::failure::Failure;
use super::timeouts::{DrainStatus, StageTimeouts};
use crate::messages::MonotonicSeconds;

/// The state of a handover. Points in time are on the clock of the calling host.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// This process serves, and no upgrade is in progress.
    Serving,
    /// The successor's process is being started or gets ready.
    Starting {
        /// The successor's `Hello` was received and answered.
        is_greeted: bool,
        /// Time by which it must be ready.
        deadline: Duration,
    },
    /// No process serves: the image is being created.
    Freezing {
        /// Time by which the successor must have restored everything.
        deadline: Duration,
    },
    /// No process serves: image and descriptors are being transferred.
    Transferring { deadline: Duration },
    /// No process serves: the successor restores what it received.
    Restoring { deadline: Duration },
    /// The successor serves and is observed until it has completed its probation.
    Probation(Probation),
    /// The successor was killed, and the end of its process is awaited.
    KillingSuccessor {
        failure: Failure,
        recovery: RecoverySource,
    },
    /// The successor owns everything.
    Ended,
}

/// A successor on probation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Probation {
    pub activated_at: Duration,
    pub last_heartbeat_at: Duration,
    /// Time by which the successor must have exited, if it was notified to shut down.
    pub drain_deadline: Option<MonotonicSeconds>,
}

impl Probation {
    /// A probation that begins now.
    pub(super) fn new(now: Duration) -> Probation {
        Probation {
            activated_at: now,
            last_heartbeat_at: now,
            drain_deadline: None,
        }
    }

    /// Time at which the successor counts as failed unless a message is received from it.
    fn next_timeout(&self, timeouts: &StageTimeouts) -> Duration {
        let drain = match self.drain_deadline {
            Some(_) => DrainStatus::Draining,
            None => DrainStatus::Serving,
        };
        let heartbeat_timeout = self.last_heartbeat_at + timeouts.heartbeat;
        heartbeat_timeout.min(self.activated_at + timeouts.probation_limit(drain))
    }

    /// Why the successor failed, once its timeout has passed.
    fn timeout_failure(&self, now: Duration, timeouts: &StageTimeouts) -> Failure {
        if now >= self.last_heartbeat_at + timeouts.heartbeat {
            Failure::HeartbeatLost
        } else {
            Failure::ProbationTimedOut
        }
    }
}

/// The state from which a predecessor serves again once its successor's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecoverySource {
    /// It has served without interruption.
    Uninterrupted,
    /// The frozen image: the successor has changed nothing.
    FrozenImage,
    /// The image and the successor's journal: the successor has served.
    Journal,
}

impl State {
    /// Time at which the state times out, if it has a timeout.
    pub(super) fn next_timeout(&self, timeouts: &StageTimeouts) -> Option<Duration> {
        match self {
            State::Starting { deadline, .. }
            | State::Freezing { deadline }
            | State::Transferring { deadline }
            | State::Restoring { deadline } => Some(*deadline),
            State::Probation(probation) => Some(probation.next_timeout(timeouts)),
            State::Serving | State::KillingSuccessor { .. } | State::Ended => None,
        }
    }

    /// Why the upgrade failed, once the timeout of this state has passed.
    pub(super) fn timeout_failure(
        &self,
        now: Duration,
        timeouts: &StageTimeouts,
    ) -> Option<Failure> {
        match self {
            State::Starting { .. } => Some(Failure::ReadyTimedOut),
            State::Freezing { .. } | State::Transferring { .. } | State::Restoring { .. } => {
                Some(Failure::TakeoverTimedOut)
            }
            State::Probation(probation) => Some(probation.timeout_failure(now, timeouts)),
            State::Serving | State::KillingSuccessor { .. } | State::Ended => None,
        }
    }

    /// What to recover from if the successor fails now; `None` if there is no successor that can
    /// fail.
    pub(super) fn recovery_source(&self) -> Option<RecoverySource> {
        match self {
            State::Starting { .. } => Some(RecoverySource::Uninterrupted),
            State::Freezing { .. } | State::Transferring { .. } | State::Restoring { .. } => {
                Some(RecoverySource::FrozenImage)
            }
            State::Probation(_) => Some(RecoverySource::Journal),
            State::Serving | State::KillingSuccessor { .. } | State::Ended => None,
        }
    }

    /// Whether this process may use the connections, the engine and the catalogue.
    pub(super) fn is_owner(&self) -> bool {
        match self {
            State::KillingSuccessor { recovery, .. } => *recovery != RecoverySource::Journal,
            State::Probation(_) | State::Ended => false,
            State::Serving
            | State::Starting { .. }
            | State::Freezing { .. }
            | State::Transferring { .. }
            | State::Restoring { .. } => true,
        }
    }

    /// Whether this process serves: it owns everything and nothing is frozen.
    pub(super) fn is_serving(&self) -> bool {
        matches!(
            self,
            State::Serving
                | State::Starting { .. }
                | State::KillingSuccessor {
                    recovery: RecoverySource::Uninterrupted,
                    ..
                }
        )
    }

    /// The name in status reports. Names must not change between versions.
    pub(super) fn name(&self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Starting {
                is_greeted: false, ..
            } => "starting",
            State::Starting {
                is_greeted: true, ..
            } => "readying",
            State::Freezing { .. } => "freezing",
            State::Transferring { .. } => "passing",
            State::Restoring { .. } => "taking",
            State::Probation(_) => "watching",
            State::KillingSuccessor { .. } => "killing",
            State::Ended => "ended",
        }
    }
}
