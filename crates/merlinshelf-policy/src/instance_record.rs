//! An agent's record of one of its instances.

use merlinshelf_quota::lease::{self, Drift};

use crate::messages::{InstanceStatus, LeaseGrant, VersionedPolicy};

/// The lease that the agent must assume an instance to have, unless the instance reported
/// otherwise.
#[derive(Clone, Copy, Debug)]
struct PossibleLease {
    /// The lowest version that the lease may be on.
    lowest_version: u64,
    /// By the agent's clock, in seconds.
    expires_at: f64,
}

/// An instance's response to a document that it is to validate.
#[derive(Clone, Debug)]
pub enum PrepareResponse {
    /// The instance has validated and stored the document.
    Ready,
    /// The instance cannot use the document, for this reason.
    Rejected(String),
    /// The instance has not responded.
    Pending,
}

/// One instance of the host. `now` is in seconds of the agent's own clock.
#[derive(Clone, Debug)]
pub struct InstanceRecord {
    status: Option<InstanceStatus>,
    /// The reason why the instance cannot respond to heartbeats.
    refusal: Option<String>,
    heartbeat_sent_at: f64,
    awaits_response: bool,
    /// Whether a heartbeat is to be sent before the next regular one is due.
    is_urgent: bool,
    possible_lease: Option<PossibleLease>,
}

impl InstanceRecord {
    /// Creates the record of an instance that this agent has not seen before. A previous process of
    /// the agent may have granted it a lease, which lasts at most `lease_seconds` from now.
    pub fn new(now: f64, lease_seconds: f64, drift: Drift) -> InstanceRecord {
        InstanceRecord {
            status: None,
            refusal: None,
            heartbeat_sent_at: f64::NEG_INFINITY,
            awaits_response: false,
            is_urgent: true,
            possible_lease: Some(PossibleLease {
                lowest_version: 0,
                expires_at: lease::grantor_expiry(now, lease_seconds, drift),
            }),
        }
    }

    /// The instance's last status.
    pub fn status(&self) -> Option<&InstanceStatus> {
        self.status.as_ref()
    }

    /// The instance's last status, if it was started with this base policy.
    pub fn status_with_base(&self, base_fingerprint: u64) -> Option<&InstanceStatus> {
        self.status()
            .filter(|status| status.base_fingerprint == base_fingerprint)
    }

    /// Makes the next heartbeat due at once.
    pub fn set_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Whether a heartbeat is due.
    pub fn is_heartbeat_due(&self, now: f64, interval_seconds: f64) -> bool {
        let is_due = self.is_urgent || now >= self.heartbeat_sent_at + interval_seconds;
        is_due && !self.awaits_response
    }

    /// Records that a heartbeat is sent now.
    pub fn heartbeat_sent(&mut self, now: f64) {
        self.heartbeat_sent_at = now;
        self.awaits_response = true;
        self.is_urgent = false;
    }

    /// Records that a lease is granted now. The instance has no lease on a lower version any more:
    /// all lower versions were fenced on all hosts before this one was granted.
    pub fn lease_granted(&mut self, now: f64, grant: &LeaseGrant, drift: Drift) {
        if grant.version == 0 {
            return;
        }
        let expires_at = lease::grantor_expiry(now, grant.duration_seconds, drift);
        let earlier_expires_at = self
            .possible_lease
            .map_or(expires_at, |possible| possible.expires_at);
        self.possible_lease = Some(PossibleLease {
            lowest_version: grant.version,
            expires_at: expires_at.max(earlier_expires_at),
        });
    }

    /// Records the response to a heartbeat. `leased_version` is the version of the host's lease, if
    /// it has one.
    pub fn responded(&mut self, status: InstanceStatus, leased_version: Option<u64>) {
        let previous = self.status.as_ref();
        let is_new_process =
            previous.is_none_or(|previous| previous.incarnation != status.incarnation);
        let is_behind =
            leased_version.is_some_and(|version| status.effective_version != Some(version));
        let has_progressed =
            previous.is_none_or(|previous| previous.known_versions != status.known_versions);
        // A new process, or one that does not act on the leased version yet, gets the next
        // heartbeat at once; without progress it waits for the regular one.
        self.is_urgent |= is_new_process || is_behind && has_progressed;
        self.awaits_response = false;
        self.refusal = None;
        self.status = Some(status);
    }

    /// Records that the instance did not respond. `refusal` is its reason, if it reported one.
    pub fn unreachable(&mut self, refusal: Option<String>) {
        self.awaits_response = false;
        if refusal.is_some() {
            self.refusal = refusal;
        }
    }

    /// Whether the instance may still act on a version up to the fence.
    pub fn may_act_below(&self, now: f64, fence_version: u64) -> bool {
        let has_fenced = self
            .status()
            .is_some_and(|status| status.fenced_version >= fence_version);
        let may_have_lease = self.possible_lease.is_some_and(|possible| {
            possible.lowest_version <= fence_version && now < possible.expires_at
        });
        !has_fenced && may_have_lease
    }

    /// The instance's response to a document.
    pub fn prepare_response(&self, version: u64, base_fingerprint: u64) -> PrepareResponse {
        if let Some(reason) = self.rejection_reason(version, base_fingerprint) {
            return PrepareResponse::Rejected(reason);
        }
        match self.status() {
            Some(status) if status.known_versions.contains(&version) => PrepareResponse::Ready,
            _ => PrepareResponse::Pending,
        }
    }

    fn rejection_reason(&self, version: u64, base_fingerprint: u64) -> Option<String> {
        if let Some(status) = self.status() {
            if let Some(rejected) = &status.rejected_version
                && rejected.version == version
            {
                return Some(rejected.reason.clone());
            }
            if status.base_fingerprint != base_fingerprint {
                return Some("its base policy differs from the installation's".to_owned());
            }
        }
        self.refusal.clone()
    }
}

/// The document to offer to an instance with this status next: first that of the host's lease, then
/// the newest one that the instance lacks and has not rejected.
pub fn select_offer<'a>(
    documents: &'a [VersionedPolicy],
    status: &InstanceStatus,
    leased_version: Option<u64>,
) -> Option<&'a VersionedPolicy> {
    let is_lacking =
        |document: &VersionedPolicy| !status.known_versions.contains(&document.version);
    let is_rejected = |document: &VersionedPolicy| {
        status
            .rejected_version
            .as_ref()
            .is_some_and(|rejected| rejected.version == document.version)
    };
    let leased = documents
        .iter()
        .find(|document| Some(document.version) == leased_version && is_lacking(document));
    leased.or_else(|| {
        documents
            .iter()
            .rev()
            .find(|document| is_lacking(document) && !is_rejected(document))
    })
}
