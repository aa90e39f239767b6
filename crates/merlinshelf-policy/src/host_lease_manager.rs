//! A host's role: holds one lease from the leading agent and grants its instances leases that end
//! no later, and tracks which versions the instances may still act on.

use std::collections::{BTreeMap, BTreeSet};

use merlinshelf_quota::PendingRequests;
use merlinshelf_quota::lease;

use crate::Drift;
use crate::instance_record::{InstanceRecord, PrepareResponse, select_offer};
use crate::messages::{
    Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus, LeaseGrant, PrepareResult,
    Rejection, ServiceCounts, VersionedPolicy,
};
use crate::replicated_state::ReplicatedState;

/// How long a host waits for its instances to respond to a document, seconds.
const PREPARE_TIMEOUT_SECONDS: f64 = 0.5;
/// The number of lease renewals, and of heartbeats to each instance, per lease duration.
const RENEWALS_PER_LEASE: f64 = 8.0;

/// A host's lease. The instances' leases on this version expire no later.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostLease {
    version: u64,
    /// By this host's clock, in seconds.
    expires_at: f64,
}

impl HostLease {
    fn is_valid(&self, now: f64) -> bool {
        now < self.expires_at
    }
}

/// A host's lease at a given time, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLeaseReport {
    /// The version of the lease; 0 is the base policy.
    pub version: u64,
    /// The remaining duration, in seconds.
    pub remaining_seconds: f64,
}

/// A document that the instances are to validate.
#[derive(Clone, Copy, Debug)]
struct Preparation {
    version: u64,
    /// When this host learned of the document.
    started_at: f64,
}

/// The progress that a host reports to the leading agent. If it changes, the next request is sent
/// at once.
#[derive(Clone, Debug, Default, PartialEq)]
struct Progress {
    fenced_version: u64,
    prepare_result: Option<PrepareResult>,
}

/// The state machine of one agent for its instances. `now` is in seconds of the agent's own
/// monotonic clock.
#[derive(Clone, Debug)]
pub struct HostLeaseManager {
    host: String,
    incarnation: u64,
    drift: Drift,
    /// The fingerprint of the base policy: that of the agent's file until the installation is
    /// bootstrapped, then the replicated one.
    base_fingerprint: u64,
    /// When this agent handled its first event.
    started_at: Option<f64>,
    /// `None` until the installation is bootstrapped.
    lease_seconds: Option<f64>,
    lease: Option<HostLease>,
    fence_version: u64,
    documents: Vec<VersionedPolicy>,
    preparation: Option<Preparation>,
    pending_requests: PendingRequests,
    last_request_id: u64,
    requested_at: f64,
    reported: Progress,
    instances: BTreeMap<String, InstanceRecord>,
    /// The served invocations of all instances, reported with each request.
    service_counts: ServiceCounts,
}

impl HostLeaseManager {
    /// Creates the state of a new agent process. `incarnation` identifies it among all processes of
    /// the agent; `base_fingerprint` is that of the base policy in the agent's file.
    pub fn new(
        host: &str,
        incarnation: u64,
        base_fingerprint: u64,
        drift: Drift,
    ) -> HostLeaseManager {
        HostLeaseManager {
            host: host.to_owned(),
            incarnation,
            drift,
            base_fingerprint,
            started_at: None,
            lease_seconds: None,
            lease: None,
            fence_version: 0,
            documents: Vec::new(),
            preparation: None,
            pending_requests: PendingRequests::default(),
            last_request_id: 0,
            requested_at: f64::NEG_INFINITY,
            reported: Progress::default(),
            instances: BTreeMap::new(),
            service_counts: ServiceCounts::default(),
        }
    }

    /// Handles a change of the replicated state, up to the last entry that this host has applied.
    pub fn state_changed(&mut self, now: f64, state: &ReplicatedState) {
        self.started_at.get_or_insert(now);
        if let Some(bootstrap) = &state.bootstrap {
            // The replicated values take precedence over those in this agent's file.
            self.lease_seconds = Some(bootstrap.lease_seconds());
            self.base_fingerprint = bootstrap.base_fingerprint;
        }
        let fence_changed = self.update_fence(state.fence_version());
        let documents_changed = self.update_documents(state);
        let preparation_changed = self.update_preparation(now, state);
        if fence_changed || documents_changed || preparation_changed {
            self.expedite_heartbeats();
        }
    }

    fn update_fence(&mut self, fence_version: u64) -> bool {
        let has_changed = fence_version != self.fence_version;
        self.fence_version = self.fence_version.max(fence_version);
        self.lease = self
            .lease
            .filter(|lease| lease.version == 0 || lease.version > self.fence_version);
        has_changed
    }

    fn update_documents(&mut self, state: &ReplicatedState) -> bool {
        let pending_version = state.pending_change.as_ref().map(|change| change.version);
        let documents: Vec<VersionedPolicy> = [Some(state.current_version), pending_version]
            .into_iter()
            .flatten()
            .filter_map(|version| {
                let policy = state.policy_for_version(version)?.clone();
                Some(VersionedPolicy { version, policy })
            })
            .collect();
        let has_changed = documents != self.documents;
        self.documents = documents;
        has_changed
    }

    fn update_preparation(&mut self, now: f64, state: &ReplicatedState) -> bool {
        let version = state.preparing_change().map(|change| change.version);
        if self.preparation.map(|preparation| preparation.version) == version {
            return false;
        }
        self.preparation = version.map(|version| Preparation {
            version,
            started_at: now,
        });
        true
    }

    /// Sets the instances that have a process now. An instance that is new here may have a lease
    /// that a previous process of the agent granted.
    pub fn set_instances<'a>(&mut self, now: f64, names: impl Iterator<Item = &'a String>) {
        let names: BTreeSet<&String> = names.collect();
        self.started_at.get_or_insert(now);
        let lease_seconds = self.lease_seconds.unwrap_or(0.0);
        // An instance whose process has ended does not act on any version. One that is merely
        // unreachable is still in `names`.
        self.instances.retain(|name, _| names.contains(name));
        for name in names {
            self.instances
                .entry(name.clone())
                .or_insert_with(|| InstanceRecord::new(now, lease_seconds, self.drift));
        }
    }

    /// The next heartbeat that is due, with the name of its instance. The caller reports the result
    /// of each by [`instance_responded`](Self::instance_responded) or
    /// [`instance_unreachable`](Self::instance_unreachable).
    pub fn poll_heartbeat(&mut self, now: f64) -> Option<(String, Heartbeat)> {
        let interval_seconds = self.lease_seconds? / RENEWALS_PER_LEASE;
        let lease = self.valid_lease(now);
        let (name, instance) = self
            .instances
            .iter_mut()
            .find(|(_, instance)| instance.is_heartbeat_due(now, interval_seconds))?;
        instance.heartbeat_sent(now);
        let mut heartbeat = Heartbeat {
            fence_version: self.fence_version,
            ..Heartbeat::default()
        };
        let Some(status) = instance.status_with_base(self.base_fingerprint) else {
            return Some((name.clone(), heartbeat));
        };
        heartbeat.incarnation = status.incarnation;
        let leased_version = lease.map(|lease| lease.version);
        heartbeat.offered_policy = select_offer(&self.documents, status, leased_version).cloned();
        heartbeat.grant = lease.map(|lease| LeaseGrant {
            version: lease.version,
            requested_at: status.reported_at,
            duration_seconds: lease.expires_at - now,
        });
        if let Some(grant) = &heartbeat.grant {
            instance.lease_granted(now, grant, self.drift);
        }
        Some((name.clone(), heartbeat))
    }

    fn valid_lease(&self, now: f64) -> Option<HostLease> {
        self.lease.filter(|lease| lease.is_valid(now))
    }

    /// Handles an instance's response to a heartbeat.
    pub fn instance_responded(&mut self, name: &str, status: InstanceStatus) {
        let leased_version = self.lease.map(|lease| lease.version);
        if let Some(instance) = self.instances.get_mut(name) {
            instance.responded(status, leased_version);
        }
    }

    /// Records that an instance did not respond to a heartbeat. `refusal` is its reason, if it
    /// reported one.
    pub fn instance_unreachable(&mut self, name: &str, refusal: Option<String>) {
        if let Some(instance) = self.instances.get_mut(name) {
            instance.unreachable(refusal);
        }
    }

    /// Adds the invocations that an instance has served since they were last counted.
    pub fn add_service_counts(&mut self, counts: ServiceCounts) {
        self.service_counts.invocations += counts.invocations;
        self.service_counts.succeeded += counts.succeeded;
    }

    /// Makes the next request to the leading agent due at once.
    pub fn expedite_request(&mut self) {
        self.requested_at = f64::NEG_INFINITY;
    }

    /// Makes the next heartbeat to each instance due at once.
    pub fn expedite_heartbeats(&mut self) {
        for instance in self.instances.values_mut() {
            instance.set_urgent();
        }
    }

    /// The highest version such that no instance of this host acts on it or a lower one any more.
    fn fenced_version(&self, now: f64) -> u64 {
        let may_act = self
            .instances
            .values()
            .any(|instance| instance.may_act_below(now, self.fence_version));
        if self.may_have_unknown_leases(now) || may_act {
            self.reported.fenced_version.min(self.fence_version)
        } else {
            self.fence_version
        }
    }

    /// Whether an instance that this agent does not know may still have a lease that a previous
    /// process of the agent granted.
    fn may_have_unknown_leases(&self, now: f64) -> bool {
        let lease_seconds = self.lease_seconds.unwrap_or(0.0);
        self.started_at.is_none_or(|started_at| {
            now < lease::grantor_expiry(started_at, lease_seconds, self.drift)
        })
    }

    /// The result of the instances for the document that is being prepared; available once all have
    /// responded, the timeout has passed, or one has rejected it.
    pub fn prepare_result(&self, now: f64) -> Option<PrepareResult> {
        let preparation = self.preparation?;
        let mut result = PrepareResult {
            version: preparation.version,
            ..PrepareResult::default()
        };
        let has_timed_out = now >= preparation.started_at + PREPARE_TIMEOUT_SECONDS;
        for (name, instance) in &self.instances {
            match instance.prepare_response(preparation.version, self.base_fingerprint) {
                PrepareResponse::Ready => result.ready_instances += 1,
                PrepareResponse::Rejected(reason) => result.rejections.push(Rejection {
                    rejected_by: name.clone(),
                    reason,
                }),
                PrepareResponse::Pending => result.silent_instances += 1,
            }
        }
        let is_complete = result.silent_instances == 0 || has_timed_out;
        if !has_timed_out {
            // Before the timeout no instance counts as silent.
            result.silent_instances = 0;
        }
        (is_complete || !result.rejections.is_empty()).then_some(result)
    }

    /// The request to the leading agent, if one is due or there is progress to report.
    pub fn poll_lease_request(&mut self, now: f64) -> Option<HostLeaseRequest> {
        let renewal_seconds = self.lease_seconds? / RENEWALS_PER_LEASE;
        let progress = Progress {
            fenced_version: self.fenced_version(now),
            prepare_result: self.prepare_result(now),
        };
        let interval_seconds = if self.needs_lease(now) {
            renewal_seconds / 2.0
        } else {
            renewal_seconds
        };
        if progress == self.reported && now < self.requested_at + interval_seconds {
            return None;
        }
        self.reported = progress;
        self.requested_at = now;
        self.last_request_id += 1;
        self.pending_requests.record(self.last_request_id, now);
        Some(HostLeaseRequest {
            host: self.host.clone(),
            incarnation: self.incarnation,
            request_id: self.last_request_id,
            fenced_version: self.reported.fenced_version,
            prepare_result: self.reported.prepare_result.clone(),
            service_counts: self.service_counts,
            quota_requests: None,
        })
    }

    /// Whether the host has no lease on a version that may be acted on.
    fn needs_lease(&self, now: f64) -> bool {
        self.valid_lease(now)
            .is_none_or(|lease| self.fence_version > 0 && lease.version <= self.fence_version)
    }

    /// Handles the leading agent's response; the lease starts when it was requested.
    pub fn handle_lease_response(&mut self, now: f64, response: &HostLeaseResponse) {
        if response.incarnation != self.incarnation {
            return;
        }
        let requested_at = self.pending_requests.sent_at(response.request_id);
        let (Some(lease_seconds), Some(requested_at)) = (self.lease_seconds, requested_at) else {
            return;
        };
        let lease = HostLease {
            version: response.granted_version,
            expires_at: lease::holder_expiry(requested_at, lease_seconds, self.drift),
        };
        if !(self.may_accept(lease.version) && self.is_later(&lease) && lease.is_valid(now)) {
            return;
        }
        let is_renewal = self
            .valid_lease(now)
            .is_some_and(|current| current.version == lease.version);
        if !is_renewal {
            self.expedite_heartbeats();
        }
        self.lease = Some(lease);
    }

    /// Whether a lease on this version may be accepted: the document is known here and the version
    /// is not fenced.
    fn may_accept(&self, version: u64) -> bool {
        if version == 0 {
            return self.fence_version == 0;
        }
        let is_known = self
            .documents
            .iter()
            .any(|document| document.version == version);
        is_known && version > self.fence_version
    }

    fn is_later(&self, lease: &HostLease) -> bool {
        self.lease.is_none_or(|current| {
            lease.version > current.version
                || lease.version == current.version && lease.expires_at > current.expires_at
        })
    }

    /// This host's lease, for reports.
    pub fn lease(&self, now: f64) -> Option<HostLeaseReport> {
        self.valid_lease(now).map(|lease| HostLeaseReport {
            version: lease.version,
            remaining_seconds: lease.expires_at - now,
        })
    }

    /// An instance's last status, for reports.
    pub fn instance_status(&self, name: &str) -> Option<&InstanceStatus> {
        self.instances.get(name)?.status()
    }
}
