//! The last good replies, for calls whose fallback is a cached reply.

use std::collections::BTreeMap;

use crate::fallback::CachedReply;

/// Maximum number of cached replies of all dependencies.
const MAX_REPLIES: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    dependency: String,
    payload: Vec<u8>,
}

#[derive(Clone, Debug)]
struct StoredReply {
    bytes: Vec<u8>,
    received_at: f64,
}

/// The last good replies by dependency and request.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyCache {
    replies: BTreeMap<RequestKey, StoredReply>,
}

impl ReplyCache {
    /// Stores a reply; removes the oldest one if there are too many.
    pub(super) fn insert(&mut self, now: f64, dependency: &str, payload: &[u8], reply: &[u8]) {
        let stored = StoredReply {
            bytes: reply.to_vec(),
            received_at: now,
        };
        self.replies.insert(key(dependency, payload), stored);
        if self.replies.len() > MAX_REPLIES {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .replies
            .iter()
            .min_by(|(_, a), (_, b)| a.received_at.total_cmp(&b.received_at))
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.replies.remove(&key);
        }
    }

    /// The last good reply to a request.
    pub(super) fn get(
        &self,
        now: f64,
        dependency: &str,
        payload: &[u8],
    ) -> Option<CachedReply<'_>> {
        self.replies
            .get(&key(dependency, payload))
            .map(|stored| CachedReply {
                bytes: &stored.bytes,
                age_seconds: now - stored.received_at,
            })
    }
}

fn key(dependency: &str, payload: &[u8]) -> RequestKey {
    RequestKey {
        dependency: dependency.to_owned(),
        payload: payload.to_vec(),
    }
}
