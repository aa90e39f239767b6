//! An instance's role: stores policy documents and its lease, and determines the policy that the
//! instance acts on at a given time.

use std::collections::BTreeMap;

use merlinshelf_admission::Settings;
use merlinshelf_quota::lease;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Drift;
use crate::document::Policy;
use crate::error::{PolicyMismatch, PolicyRejection};
use crate::messages::{Heartbeat, InstanceStatus, LeaseGrant, RejectedVersion, VersionedPolicy};

/// The maximum number of stored documents: the one in effect, the next one, and a spare.
const MAX_KNOWN_POLICIES: usize = 3;

// The encoded names are those of the operators' file, and the comments are the descriptions in its
// schema.
/// The behaviour of an instance without a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LeaseExpiryMode {
    /// Apply the base policy.
    #[default]
    #[serde(rename = "base")]
    BasePolicy,
    /// Reject all invocations, with a time after which to retry.
    #[serde(rename = "turn_away")]
    RejectAll,
}

/// The policy that an instance acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectivePolicy {
    /// The base policy.
    Base,
    /// The document of this version, under a lease.
    Leased(u64),
    /// No policy: all invocations are rejected.
    RejectAll,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    #[serde(rename = "number")]
    version: u64,
    /// By the instance's clock, in seconds.
    #[serde(rename = "until")]
    expires_at: f64,
}

impl Lease {
    fn is_valid(&self, now: f64) -> bool {
        now < self.expires_at
    }
}

/// The state that a successor process resumes from; it shares the monotonic clock. It is encoded in
/// the handover image, so the names that older versions use are preserved by `#[serde(rename)]`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    lease: Option<Lease>,
    #[serde(rename = "fenced")]
    fenced_version: u64,
    #[serde(rename = "known")]
    known_policies: BTreeMap<u64, Policy>,
}

/// The state machine of an instance. `now` is in seconds of its own monotonic clock.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    incarnation: u64,
    drift: Drift,
    expiry_mode: LeaseExpiryMode,
    base_policy: Policy,
    known_policies: BTreeMap<u64, Policy>,
    rejected_version: Option<RejectedVersion>,
    fenced_version: u64,
    lease: Option<Lease>,
    /// Whether the instance has had a lease, or no longer waits for one.
    is_ready: bool,
}

impl LeaseHolder {
    /// Creates the lease holder of a new process, without a lease. `incarnation` identifies the
    /// process among all processes of the instance and is not 0.
    pub fn new(
        incarnation: u64,
        base_policy: Policy,
        expiry_mode: LeaseExpiryMode,
        drift: Drift,
    ) -> LeaseHolder {
        LeaseHolder {
            incarnation,
            drift,
            expiry_mode,
            base_policy,
            known_policies: BTreeMap::new(),
            rejected_version: None,
            fenced_version: 0,
            lease: None,
            is_ready: false,
        }
    }

    /// Hands over the lease to a successor. This process continues as a new incarnation without a
    /// lease, even if the handover is aborted: by then the successor may have fenced the version of
    /// the lease.
    pub fn begin_handover(&mut self, next_incarnation: u64) -> HandoverState {
        self.incarnation = next_incarnation;
        HandoverState {
            lease: self.lease.take(),
            fenced_version: self.fenced_version,
            known_policies: self.known_policies.clone(),
        }
    }

    /// Resumes from a predecessor's state.
    pub fn resume(&mut self, state: HandoverState) {
        self.lease = state.lease;
        self.fenced_version = state.fenced_version;
        self.known_policies = state.known_policies;
        self.is_ready = true;
    }

    /// The policy to act on at `now`. Must be called for each decision, after its input was read, so
    /// that a process that was paused in between detects that its lease has expired.
    pub fn effective_policy(&self, now: f64) -> EffectivePolicy {
        match self.lease {
            Some(lease) if lease.is_valid(now) => EffectivePolicy::Leased(lease.version),
            _ => match self.expiry_mode {
                LeaseExpiryMode::BasePolicy => EffectivePolicy::Base,
                LeaseExpiryMode::RejectAll => EffectivePolicy::RejectAll,
            },
        }
    }

    /// Whether the instance may admit its first invocation: it knows which policy is in force, or
    /// no longer waits for a lease.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Makes the instance ready even without a lease.
    pub fn stop_waiting_for_lease(&mut self) {
        self.is_ready = true;
    }

    /// The document of an effective policy; the base policy if it has none.
    pub fn policy(&self, effective: EffectivePolicy) -> &Policy {
        match effective {
            EffectivePolicy::Leased(version) => self
                .known_policies
                .get(&version)
                .unwrap_or(&self.base_policy),
            EffectivePolicy::Base | EffectivePolicy::RejectAll => &self.base_policy,
        }
    }

    /// The base policy, whose budgets are the reserves of each host.
    pub fn base_policy(&self) -> &Policy {
        &self.base_policy
    }

    /// The settings under an effective policy.
    ///
    /// # Errors
    /// Those of [`Policy::settings`]; a stored document was validated before.
    pub fn settings(
        &self,
        effective: EffectivePolicy,
        base: &Settings,
    ) -> Result<Settings, PolicyMismatch> {
        self.policy(effective).settings(base)
    }

    /// Handles a heartbeat of the agent; returns the response. `validate` checks whether the
    /// instance can use a document.
    pub fn handle_heartbeat(
        &mut self,
        now: f64,
        heartbeat: Heartbeat,
        validate: impl FnOnce(&Policy) -> Result<(), PolicyRejection>,
    ) -> InstanceStatus {
        if heartbeat.incarnation == self.incarnation {
            if let Some(offered) = heartbeat.offered_policy {
                self.store_offer(offered, validate);
            }
            self.fence(heartbeat.fence_version);
            if let Some(grant) = heartbeat.grant {
                self.handle_grant(now, &grant);
            }
        }
        self.status(now)
    }

    fn store_offer(
        &mut self,
        offered: VersionedPolicy,
        validate: impl FnOnce(&Policy) -> Result<(), PolicyRejection>,
    ) {
        let VersionedPolicy { version, policy } = offered;
        if self.known_policies.get(&version) == Some(&policy) {
            return;
        }
        if let Err(rejection) = validate(&policy) {
            self.rejected_version = Some(RejectedVersion {
                version,
                reason: rejection.to_string(),
            });
            return;
        }
        self.known_policies.insert(version, policy);
        self.rejected_version
            .take_if(|rejected| rejected.version == version);
        self.discard_oldest_policies();
    }

    /// Discards the oldest documents in excess of the maximum, but never that of the lease.
    fn discard_oldest_policies(&mut self) {
        let leased_version = self.lease.map(|lease| lease.version);
        while self.known_policies.len() > MAX_KNOWN_POLICIES {
            let oldest = self
                .known_policies
                .keys()
                .copied()
                .find(|version| Some(*version) != leased_version);
            let Some(oldest) = oldest else {
                return;
            };
            self.known_policies.remove(&oldest);
        }
    }

    fn handle_grant(&mut self, now: f64, grant: &LeaseGrant) {
        if grant.version == 0 {
            // The base policy is in force and needs no lease.
            self.is_ready = true;
            return;
        }
        let is_known = self.known_policies.contains_key(&grant.version);
        let is_fenced = grant.version <= self.fenced_version;
        let is_requested = grant.requested_at <= now;
        if !is_known || is_fenced || !is_requested {
            return;
        }
        self.fence(grant.version - 1);
        // The lease starts when it was requested: a delayed grant may have expired already.
        let lease = Lease {
            version: grant.version,
            expires_at: lease::holder_expiry(
                grant.requested_at,
                grant.duration_seconds,
                self.drift,
            ),
        };
        let is_later = self.lease.is_none_or(|current| {
            current.version < lease.version || current.expires_at < lease.expires_at
        });
        if is_later && lease.is_valid(now) {
            self.lease = Some(lease);
            self.is_ready = true;
        }
    }

    fn fence(&mut self, version: u64) {
        self.fenced_version = self.fenced_version.max(version);
        self.lease = self
            .lease
            .filter(|lease| lease.version > self.fenced_version);
    }

    /// The status that the instance reports to its agent.
    pub fn status(&self, now: f64) -> InstanceStatus {
        InstanceStatus {
            incarnation: self.incarnation,
            reported_at: now,
            fenced_version: self.fenced_version,
            known_versions: self.known_policies.keys().copied().collect(),
            rejected_version: self.rejected_version.clone(),
            effective_version: match self.effective_policy(now) {
                EffectivePolicy::Base => Some(0),
                EffectivePolicy::Leased(version) => Some(version),
                EffectivePolicy::RejectAll => None,
            },
            lease_remaining_seconds: self
                .lease
                .map_or(0.0, |lease| (lease.expires_at - now).max(0.0)),
            base_fingerprint: self.base_policy.fingerprint(),
            quota_requests: None,
        }
    }
}
