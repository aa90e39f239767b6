//! What an agent knows of one of its instances.

use merlinshelf_quota::lease::{self, Drift};

use crate::messages::{InstanceStatus, LeaseGrant, VersionedPolicy};

/// The lease that an instance may have without having reported otherwise, as the agent has to
/// assume it.
#[derive(Clone, Copy, Debug)]
struct PossibleLease {
    /// The lowest version that it may be on.
    lowest_version: u64,
    /// By the agent's clock, in seconds.
    expires_at: f64,
}

/// How an instance responds to a document that is to be validated.
#[derive(Clone, Debug)]
pub enum PrepareResponse {
    /// It has stored the document.
    Ready,
    /// It cannot use the document, for this reason.
    Rejected(String),
    /// It has not responded.
    Pending,
}

/// One instance of the host. `now` is the agent's own clock in seconds.
#[derive(Clone, Debug)]
pub struct InstanceRecord {
    status: Option<InstanceStatus>,
    /// Why the instance cannot respond to any heartbeat.
    refusal: Option<String>,
    heartbeat_sent_at: f64,
    awaits_response: bool,
    /// There is something that it should learn before its next regular heartbeat.
    is_urgent: bool,
    possible_lease: Option<PossibleLease>,
}

impl InstanceRecord {
    /// An instance that this agent has not seen. An earlier agent may have granted it a lease,
    /// which has expired after this duration.
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

    /// Its last status.
    pub fn status(&self) -> Option<&InstanceStatus> {
        self.status.as_ref()
    }

    /// Its last status, where it was started with this base policy.
    pub fn status_on_base(&self, base_fingerprint: u64) -> Option<&InstanceStatus> {
        self.status()
            .filter(|status| status.base_fingerprint == base_fingerprint)
    }

    /// Its next heartbeat is not to wait for the regular time.
    pub fn set_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Whether a heartbeat is due.
    pub fn is_heartbeat_due(&self, now: f64, interval_seconds: f64) -> bool {
        let is_due = self.is_urgent || now >= self.heartbeat_sent_at + interval_seconds;
        is_due && !self.awaits_response
    }

    /// A heartbeat is sent now.
    pub fn heartbeat_sent(&mut self, now: f64) {
        self.heartbeat_sent_at = now;
        self.awaits_response = true;
        self.is_urgent = false;
    }

    /// A lease is granted now. An instance that is granted this version has no lease on a lower
    /// one: those had been fenced on all hosts before.
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

    /// It responded to a heartbeat. `leased_version` is the version of the host's lease, where it
    /// has one.
    pub fn responded(&mut self, status: InstanceStatus, leased_version: Option<u64>) {
        let previous = self.status.as_ref();
        let is_new_process =
            previous.is_none_or(|previous| previous.incarnation != status.incarnation);
        let is_behind =
            leased_version.is_some_and(|version| status.effective_version != Some(version));
        let has_progressed =
            previous.is_none_or(|previous| previous.known_versions != status.known_versions);
        // A new process, or one that lacks what is in force, is served at once; without progress it
        // waits for its turn.
        self.is_urgent |= is_new_process || is_behind && has_progressed;
        self.awaits_response = false;
        self.refusal = None;
        self.status = Some(status);
    }

    /// It did not respond; with a reason where it reported that it cannot.
    pub fn unreachable(&mut self, refusal: Option<String>) {
        self.awaits_response = false;
        if refusal.is_some() {
            self.refusal = refusal;
        }
    }

    /// Whether it may still act on a version up to the fence.
    pub fn may_act_below(&self, now: f64, fence_version: u64) -> bool {
        let has_fenced = self
            .status()
            .is_some_and(|status| status.fenced_version >= fence_version);
        let may_have_lease = self.possible_lease.is_some_and(|possible| {
            possible.lowest_version <= fence_version && now < possible.expires_at
        });
        !has_fenced && may_have_lease
    }

    /// How it responds to a document.
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
                return Some("its base policy is another".to_owned());
            }
        }
        self.refusal.clone()
    }
}

/// The document that an instance with this status should be offered next: that of the host's lease
/// first, then the newest one that it lacks and has not rejected.
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
