//! A host's part: one lease from the agent that leads, out of which its instances get theirs, none ending later; and who of
//! them may still act on what.

use std::collections::{BTreeMap, VecDeque};

use crate::document::Policy;
use crate::messages::{
    Heartbeat, HostLeaseRequest, HostLeaseResponse, InstanceStatus, LeaseGrant, PrepareResult,
};
use crate::replicated_state::{ReplicatedState, Stage};
use crate::{Drift, over_by};

/// An instance that does not say what it thinks of a document for so long is left out of the count, seconds.
const SILENT_S: f64 = 0.5;
/// Parts of a lease between two askings for it, and between two beats to an instance.
const RENEWALS: f64 = 8.0;
/// Questions whose answers are waited for.
const ASKS_MOST: usize = 16;

#[derive(Clone, Debug, Default)]
struct Seen {
    said: Option<InstanceStatus>,
    /// It can't be asked at all, and why.
    refuses: Option<String>,
    beat_at: f64,
    /// A beat is under way.
    waits: bool,
    /// There is something that it should hear before its next turn.
    urgent: bool,
    /// The lowest number that it may hold a lease on unless it said otherwise since, and until when by this host's clock.
    may: Option<(u64, f64)>,
}

/// The state machine of one agent towards its instances. `now` is the agent's own clock in seconds.
#[derive(Clone, Debug)]
pub struct HostLeaseManager {
    host: String,
    life: u64,
    drift: Drift,
    /// The fingerprint of the base policy: of the file until the installation is founded, then the agreed one.
    base: u64,
    /// When this agent began, as far as it matters.
    began: Option<f64>,
    /// None until the installation is founded.
    lease_s: Option<f64>,
    /// The lease of this host: on what, until when.
    lease: Option<(u64, f64)>,
    fence: u64,
    documents: Vec<(u64, Policy)>,
    /// The document that instances are to judge, and since when it is known here.
    judged: Option<(u64, f64)>,
    asks: VecDeque<(u64, f64)>,
    token: u64,
    asked_at: f64,
    told: (u64, Option<PrepareResult>),
    instances: BTreeMap<String, Seen>,
    pub service_counts: (u64, u64),
}

impl HostLeaseManager {
    /// An agent that begins. `life` is a number that no other process of the agent has, `base` the fingerprint of the
    /// base policy of its file.
    pub fn new(host: &str, life: u64, base: u64, drift: Drift) -> HostLeaseManager {
        HostLeaseManager {
            host: host.to_owned(),
            life,
            drift,
            base,
            began: None,
            lease_s: None,
            lease: None,
            fence: 0,
            documents: Vec::new(),
            judged: None,
            asks: VecDeque::new(),
            token: 0,
            asked_at: f64::NEG_INFINITY,
            told: (0, None),
            instances: BTreeMap::new(),
            service_counts: (0, 0),
        }
    }

    /// What is decided by now, as far as this host's log has it.
    pub fn state_changed(&mut self, now: f64, ledger: &ReplicatedState) {
        self.began.get_or_insert(now);
        if let Some(founding) = &ledger.bootstrap {
            // What was agreed counts, whatever this agent's file says by now.
            (self.lease_s, self.base) = (
                Some(founding.lease_ms as f64 / 1e3),
                founding.base_fingerprint,
            );
        }
        let (fence, before) = (ledger.fence_version(), self.fence);
        self.fence = self.fence.max(fence);
        self.lease = self
            .lease
            .filter(|(number, _)| *number == 0 || *number > self.fence);
        let change = ledger.pending_change.as_ref();
        let numbers = [
            Some(ledger.current_version),
            change.map(|change| change.version),
        ];
        let known = numbers
            .into_iter()
            .flatten()
            .filter_map(|of| Some((of, ledger.policy_for_version(of)?.clone())));
        let known: Vec<(u64, Policy)> = known.collect();
        let judged = change
            .filter(|change| change.stage == Stage::Preparing)
            .map(|change| change.version);
        let same = self.judged.map(|(number, _)| number) == judged;
        if !same {
            self.judged = judged.map(|number| (number, now));
        }
        if fence != before || known != self.documents || !same {
            self.heartbeat_soon();
        }
        self.documents = known;
    }

    /// The instances that have a process now. Of a process that is new here nothing is known: it may hold a lease that an
    /// agent before this one gave it.
    pub fn set_instances<'a>(&mut self, now: f64, names: impl Iterator<Item = &'a String>) {
        let names: std::collections::BTreeSet<&String> = names.collect();
        self.began.get_or_insert(now);
        let lease = self.lease_s.unwrap_or(0.0);
        // One whose process is gone acts on nothing. One that is merely out of sight is still named.
        self.instances.retain(|name, _| names.contains(name));
        for name in names {
            self.instances.entry(name.clone()).or_insert_with(|| Seen {
                urgent: true,
                may: Some((0, over_by(now, lease, self.drift))),
                beat_at: f64::NEG_INFINITY,
                ..Seen::default()
            });
        }
    }

    fn beat_every(&self) -> f64 {
        self.lease_s.unwrap_or(1.0) / RENEWALS
    }

    /// The next beat that is due, and to whom. Each is reported by `said` or `silent`.
    pub fn poll_heartbeat(&mut self, now: f64) -> Option<(String, Heartbeat)> {
        self.lease_s?;
        let every = self.beat_every();
        let due = |one: &Seen| !one.waits && (one.urgent || now >= one.beat_at + every);
        let (name, one) = self.instances.iter_mut().find(|(_, one)| due(one))?;
        (one.beat_at, one.waits, one.urgent) = (now, true, false);
        let mut beat = Heartbeat {
            fence_version: self.fence,
            ..Heartbeat::default()
        };
        if let Some(said) = one
            .said
            .as_ref()
            .filter(|said| said.base_fingerprint == self.base)
        {
            beat.incarnation = said.incarnation;
            let lease = self.lease.filter(|(_, until)| now < *until);
            let granted = lease.map(|(number, _)| number);
            let lacks = |number: &u64| !said.known_versions.contains(number);
            let refused = |number: &u64| {
                said.rejected_version
                    .as_ref()
                    .is_some_and(|(of, _)| of == number)
            };
            let first = self
                .documents
                .iter()
                .find(|(number, _)| Some(*number) == granted && lacks(number));
            let other = self
                .documents
                .iter()
                .rev()
                .find(|(number, _)| lacks(number) && !refused(number));
            beat.offered_policy = first.or(other).cloned();
            if let Some((number, until)) = lease {
                beat.grant = Some(LeaseGrant {
                    version: number,
                    requested_at: said.reported_at,
                    duration_seconds: until - now,
                });
                if number > 0 {
                    // Whoever was granted this number holds nothing below it: that was given back before, by all.
                    let until = over_by(now, until - now, self.drift);
                    let before = one.may.map_or(until, |(_, before)| before);
                    one.may = Some((number, until.max(before)));
                }
            }
        }
        Some((name.clone(), beat))
    }

    /// An instance's answer to its beat.
    pub fn instance_responded(&mut self, _now: f64, name: &str, said: InstanceStatus) {
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        (one.waits, one.refuses) = (false, None);
        let granted = self.lease.map(|(number, _)| number).unwrap_or(0);
        let other_life = one
            .said
            .as_ref()
            .is_none_or(|before| before.incarnation != said.incarnation);
        let behind = said.effective_version != Some(granted) && self.lease.is_some();
        // A new process, or one that has not got what holds: told at once, but not without end.
        one.urgent |= other_life
            || behind
                && one
                    .said
                    .as_ref()
                    .is_none_or(|before| before.known_versions != said.known_versions);
        one.said = Some(said);
    }

    /// It did not answer; with a reason where it said that it can't.
    pub fn instance_unreachable(&mut self, name: &str, refuses: Option<String>) {
        if let Some(one) = self.instances.get_mut(name) {
            one.waits = false;
            one.refuses = refuses.or(one.refuses.take());
        }
    }

    /// There is something that whoever leads should hear now.
    pub fn request_soon(&mut self) {
        self.asked_at = f64::NEG_INFINITY;
    }

    /// There is something that all instances should hear now.
    pub fn heartbeat_soon(&mut self) {
        self.instances
            .values_mut()
            .for_each(|one| one.urgent = true);
    }

    /// Everything up to this number is acted on by nobody here any more.
    pub fn fenced_version(&self, now: f64) -> u64 {
        let held = |one: &Seen| {
            let acked = one
                .said
                .as_ref()
                .is_some_and(|said| said.fenced_version >= self.fence);
            !acked
                && one
                    .may
                    .is_some_and(|(number, until)| number <= self.fence && now < until)
        };
        // An agent before this one may have had an instance that this one has not found: its lease is over by then.
        let lease = self.lease_s.unwrap_or(0.0);
        let young = self
            .began
            .is_none_or(|began| now < over_by(began, lease, self.drift));
        if young || self.instances.values().any(held) {
            self.told.0.min(self.fence)
        } else {
            self.fence
        }
    }

    /// What the instances say to the document that is judged, once all have or are late.
    pub fn prepare_result(&self, now: f64) -> Option<PrepareResult> {
        let (number, since) = self.judged?;
        let mut prepared = PrepareResult {
            version: number,
            ..PrepareResult::default()
        };
        let mut waits = false;
        for (name, one) in &self.instances {
            let said = one.said.as_ref();
            let unfit = said
                .and_then(|said| said.rejected_version.clone())
                .filter(|(of, _)| *of == number)
                .map(|(_, why)| why);
            let other = said
                .filter(|said| said.base_fingerprint != self.base)
                .map(|_| "its base policy is another".to_owned());
            if let Some(why) = unfit.or(other).or(one.refuses.clone()) {
                prepared.rejections.push((name.clone(), why));
            } else if said.is_some_and(|said| said.known_versions.contains(&number)) {
                prepared.ready_instances += 1;
            } else if now >= since + SILENT_S {
                prepared.silent_instances += 1;
            } else {
                waits = true;
            }
        }
        (!waits || !prepared.rejections.is_empty()).then_some(prepared)
    }

    /// What the one that leads is to be asked now, where that is due or something has come about.
    pub fn poll_lease_request(&mut self, now: f64) -> Option<HostLeaseRequest> {
        let lease_s = self.lease_s?;
        let told = (self.fenced_version(now), self.prepare_result(now));
        let lacks = self
            .lease
            .is_none_or(|(number, until)| now >= until || number <= self.fence && self.fence > 0);
        let every = if lacks {
            lease_s / RENEWALS / 2.0
        } else {
            lease_s / RENEWALS
        };
        if told == self.told && now < self.asked_at + every {
            return None;
        }
        self.told = told;
        self.asked_at = now;
        self.token += 1;
        if self.asks.len() == ASKS_MOST {
            self.asks.pop_front();
        }
        self.asks.push_back((self.token, now));
        Some(HostLeaseRequest {
            host: self.host.clone(),
            incarnation: self.life,
            request_id: self.token,
            fenced_version: self.told.0,
            prepare_result: self.told.1.clone(),
            service_counts: self.service_counts,
            quota_requests: None,
        })
    }

    /// A lease of the one that leads; counted from when it was asked for.
    pub fn handle_lease_response(&mut self, now: f64, word: &HostLeaseResponse) {
        let (
            Some(lease_s),
            HostLeaseResponse {
                incarnation: life,
                request_id: token,
                granted_version: number,
                ..
            },
        ) = (self.lease_s, word)
        else {
            return;
        };
        let asked = self
            .asks
            .iter()
            .find(|(of, _)| of == token && *life == self.life);
        let Some((_, asked)) = asked else { return };
        let until = asked + lease_s * (1.0 - self.drift);
        let known = *number == 0 || self.documents.iter().any(|(of, _)| of == number);
        let fits = if *number == 0 {
            self.fence == 0
        } else {
            *number > self.fence
        };
        let later = self
            .lease
            .is_none_or(|(of, before)| *number > of || *number == of && until > before);
        if !(known && fits && later && now < until) {
            return;
        }
        if self
            .lease
            .is_none_or(|(of, before)| of != *number || now >= before)
        {
            self.heartbeat_soon();
        }
        self.lease = Some((*number, until));
    }

    /// This host's lease, on what and for how long still; for reports.
    pub fn lease(&self, now: f64) -> Option<(u64, f64)> {
        self.lease
            .filter(|(_, until)| now < *until)
            .map(|(number, until)| (number, until - now))
    }

    /// What an instance last said; for reports.
    pub fn instance_status(&self, name: &str) -> Option<&InstanceStatus> {
        self.instances.get(name)?.said.as_ref()
    }
}
