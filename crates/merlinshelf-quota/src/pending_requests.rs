//! The requests whose responses have not come.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// How many requests are remembered; the response to an older one comes too late to matter.
const MAX_PENDING: usize = 16;

/// When requests were sent, by their ids. It is part of what is handed over in an upgrade: encoded
/// as a list of pairs.
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
    /// A request was sent. `sent_at` is the sender's own clock in seconds.
    pub fn record(&mut self, request_id: u64, sent_at: f64) {
        if self.requests.len() == MAX_PENDING {
            self.requests.pop_front();
        }
        self.requests.push_back(PendingRequest {
            request_id,
            sent_at,
        });
    }

    /// When a request was sent, as far as it is remembered.
    pub fn sent_at(&self, request_id: u64) -> Option<f64> {
        self.requests
            .iter()
            .find(|request| request.request_id == request_id)
            .map(|request| request.sent_at)
    }

    /// The response to a request has come: forgets it and all before it, so that a response that
    /// was overtaken has no effect.
    pub(crate) fn complete(&mut self, request_id: u64) {
        self.requests
            .retain(|request| request.request_id > request_id);
    }
}

/// The rounds of a process that requests once a round: a response counts from when its round began.
/// It is part of what is handed over in an upgrade.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RoundTracker {
    #[serde(rename = "token")]
    last_request_id: u64,
    #[serde(rename = "open")]
    pending: PendingRequests,
}

impl RoundTracker {
    /// Begins a round; the result is the id of its request.
    pub fn begin(&mut self, now: f64) -> u64 {
        self.last_request_id += 1;
        self.pending.record(self.last_request_id, now);
        self.last_request_id
    }

    /// When the round of a request began. Each round is completed once, and all before it with it.
    pub fn complete(&mut self, request_id: u64) -> Option<f64> {
        let began_at = self.pending.sent_at(request_id)?;
        self.pending.complete(request_id);
        Some(began_at)
    }
}
