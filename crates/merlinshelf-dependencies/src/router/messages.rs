//! What the router is asked for, the actions that its host carries out, and how calls end.

use crate::retry_budget::Effect;

/// A call of a run.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// The run's operation.
    pub operation: &'a str,
    /// Index of the call among those of its run.
    pub call_index: usize,
    /// The dependency, where the run names one.
    pub named_dependency: Option<&'a str>,
    /// Seconds that the call may take at the most, by the admission controller.
    pub max_wait_seconds: f64,
    /// Seconds until the caller's deadline; `None` where that is unknown.
    pub remaining_seconds: Option<f64>,
    /// Whether it may be made twice.
    pub effect: Effect,
    /// The request's bytes: equal ones may get a cached reply.
    pub payload: &'a [u8],
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// With the reply of the attempt that was reported last.
    Reply {
        /// The dependency that a fallback dependency replied for, if any.
        missing: Option<String>,
    },
    /// With a degraded result.
    Degraded {
        /// Its bytes; `None`: the run continues without any.
        bytes: Option<Vec<u8>>,
        /// The dependency that did not reply.
        missing: String,
    },
    /// It failed, and may have taken effect.
    Failed,
    /// It failed, and no attempt of it ran.
    NeverRan,
}

/// What the host of a [`Router`](super::Router) is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server, and report by
    /// [`attempt_ended`](super::Router::attempt_ended).
    Attempt {
        /// The call.
        call_id: u64,
        /// The attempt.
        attempt_id: u64,
        /// The server's address.
        server: String,
        /// Seconds until the call's deadline.
        timeout_seconds: f64,
    },
    /// Cancel an attempt: its result is no longer needed.
    Cancel {
        /// The attempt.
        attempt_id: u64,
    },
    /// Notify the run that its call ended.
    Complete {
        /// The call.
        call_id: u64,
        /// How it ended.
        end: CallEnd,
    },
}
