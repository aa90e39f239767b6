//! Requests to the router, actions for its host, and results of calls.

use crate::retry_budget::Effect;

/// A call of a run.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// The run's operation.
    pub operation: &'a str,
    /// Index of the call among those of its run.
    pub call_index: usize,
    /// The dependency, if the run names one.
    pub named_dependency: Option<&'a str>,
    /// Maximum duration of the call in seconds, set by the admission controller.
    pub max_wait_seconds: f64,
    /// Seconds until the caller's deadline; `None` if unknown.
    pub remaining_seconds: Option<f64>,
    /// Whether the call may be made twice.
    pub effect: Effect,
    /// The request's bytes; equal requests may get a cached reply.
    pub payload: &'a [u8],
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// With the reply of the attempt that was reported last.
    Reply {
        /// The dependency in whose place a fallback dependency replied, if any.
        missing: Option<String>,
    },
    /// With a degraded result.
    Degraded {
        /// Its bytes; `None`: the run continues without any.
        bytes: Option<Vec<u8>>,
        /// The dependency that did not reply.
        missing: String,
    },
    /// The call failed, and may have taken effect.
    Failed,
    /// The call failed, and no attempt of it ran.
    NeverRan,
}

/// An action that the host of a [`Router`](super::Router) must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server, and report the outcome to
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
