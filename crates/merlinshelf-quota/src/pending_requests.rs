//! The requests that have not been answered yet.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The maximum number of tracked requests; a response to an older one arrives too late to matter.
const MAX_PENDING: usize = 16;

/// The send times of requests by request id. It is handed over in an upgrade, encoded as a list of
/// pairs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PendingRequests {
    requests: VecDeque<PendingRequest>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "(u64, f64)", into = "(u64, f64)")]
struct PendingRequest {
    request_id: u64,
    sent_at: f64,
}

impl From<(u64, f64)> for PendingRequest {
    fn from((request_id, sent_at): (u64, f64)) -> PendingRequest {
        PendingRequest {
            request_id,
            sent_at,
        }
    }
}

impl From<PendingRequest> for (u64, f64) {
    fn from(request: PendingRequest) -> (u64, f64) {
        (request.request_id, request.sent_at)
    }
}

impl PendingRequests {
    /// Records that a request was sent. `sent_at` is in seconds of the sender's clock.
    pub fn record(&mut self, request_id: u64, sent_at: f64) {
        if self.requests.len() == MAX_PENDING {
            self.requests.pop_front();
        }
        self.requests.push_back(PendingRequest {
            request_id,
            sent_at,
        });
    }

    /// When a request was sent; `None` if it is not tracked.
    pub fn sent_at(&self, request_id: u64) -> Option<f64> {
        self.requests
            .iter()
            .find(|request| request.request_id == request_id)
            .map(|request| request.sent_at)
    }

    /// Records the response to a request. Forgets this request and all earlier ones, so that
    /// responses arriving out of order have no effect.
    pub(crate) fn complete(&mut self, request_id: u64) {
        self.requests
            .retain(|request| request.request_id > request_id);
    }
}

/// The rounds of a process that sends one request per round. The validity of a response is counted
/// from the start of its round. It is handed over in an upgrade.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RoundTracker {
    #[serde(rename = "token")]
    last_request_id: u64,
    #[serde(rename = "open")]
    pending: PendingRequests,
}

impl RoundTracker {
    /// Begins a round; returns the id of its request.
    pub fn begin(&mut self, now: f64) -> u64 {
        self.last_request_id += 1;
        self.pending.record(self.last_request_id, now);
        self.last_request_id
    }

    /// Completes a round and all earlier ones; returns when it began, or `None` if it was already
    /// completed or is unknown.
    pub fn complete(&mut self, request_id: u64) -> Option<f64> {
        let began_at = self.pending.sent_at(request_id)?;
        self.pending.complete(request_id);
        Some(began_at)
    }
}
