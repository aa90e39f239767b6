//! The part of the agent that leads: it grants leases to hosts, and takes a change from its proposal to its end. All that
//! must outlive it stands in the ledger; whoever leads next goes on from there.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{HostLeaseRequest, HostLeaseResponse, PrepareResult};
use crate::replicated_state::{
    Bootstrap, ChangeOutcome, Entry, ReplicatedEvent, ReplicatedState, Stage,
};
use crate::{Drift, over_by};

/// Hosts that have not judged a document by then are left out of the count, seconds.
const PREPARED_WITHIN: f64 = 0.9;
/// A proposal that has not come back as an entry by then is made again, seconds.
const AGAIN_AFTER: f64 = 0.4;
/// Between two looks at the service, seconds, and how many are kept.
const LOOK_EVERY: f64 = 0.25;
const LOOKS_MOST: usize = 480;
/// Fewer invocations than these say nothing of a service.
const ENOUGH: u64 = 50;

/// What the host of this state machine is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Have a majority confirm that this agent still leads; reported by `confirmed` with the number.
    ConfirmLeadership(u64),
    Propose(Entry),
    Respond(String, HostLeaseResponse),
}

/// How service is watched after a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceWatch {
    /// So long before and after, seconds; 0: not at all.
    pub window_seconds: f64,
    /// By how much the succeeded share may be less.
    pub tolerated_loss: f64,
}

#[derive(Clone, Debug, Default)]
struct Host {
    fenced: u64,
    prepared: Option<PrepareResult>,
    /// Until when a lease that was granted here may be held.
    until: f64,
    /// The last question, and the confirmation that it waits for.
    asked: Option<(HostLeaseResponse, u64)>,
    /// One that was asked before a majority confirmed.
    confirmed: Option<HostLeaseResponse>,
    /// What it said first and last of its instances' service.
    service: (u64, u64),
}

/// The state machine. `now` is the agent's own clock in seconds.
#[derive(Clone, Debug)]
pub struct RolloutLeader {
    founding: Bootstrap,
    drift: Drift,
    watch: ServiceWatch,
    /// When every lease that was granted before this agent was elected is over.
    elected_over: f64,
    hosts: BTreeMap<String, Host>,
    /// The number of the next confirmation, and of the one under way with its moment.
    confirm: u64,
    confirming: Option<(u64, f64)>,
    /// The number that was opened here.
    opened: u64,
    /// Since when a document is judged.
    judged: Option<(u64, f64)>,
    /// What was proposed last, and when.
    proposed: Option<(Entry, f64)>,
    looks: VecDeque<(f64, u64, u64)>,
    /// The change that is watched, since when, and the share before it.
    watched: Option<(u64, f64, f64)>,
    steps: VecDeque<Action>,
}

impl RolloutLeader {
    /// An agent that was elected at `now`, over these hosts.
    pub fn elected(
        now: f64,
        founding: Bootstrap,
        drift: Drift,
        watch: ServiceWatch,
        hosts: impl Iterator<Item = String>,
    ) -> RolloutLeader {
        let lease_s = founding.lease_ms as f64 / 1e3;
        RolloutLeader {
            elected_over: over_by(now, lease_s, drift),
            founding,
            drift,
            watch,
            hosts: hosts.map(|name| (name, Host::default())).collect(),
            confirm: 1,
            confirming: None,
            opened: 0,
            judged: None,
            proposed: None,
            looks: VecDeque::new(),
            watched: None,
            steps: VecDeque::new(),
        }
    }

    pub fn poll_action(&mut self) -> Option<Action> {
        self.steps.pop_front()
    }

    fn lease_s(&self) -> f64 {
        self.founding.lease_ms as f64 / 1e3
    }

    /// A host asks for its lease, and says how far it is.
    pub fn handle_lease_request(
        &mut self,
        now: f64,
        ask: HostLeaseRequest,
        ledger: &ReplicatedState,
    ) {
        let host = self.hosts.entry(ask.host).or_default();
        (host.fenced, host.prepared, host.service) =
            (ask.fenced_version, ask.prepare_result, ask.service_counts);
        host.asked = Some((
            HostLeaseResponse {
                incarnation: ask.incarnation,
                request_id: ask.request_id,
                ..HostLeaseResponse::default()
            },
            self.confirm,
        ));
        self.advance(now, ledger);
    }

    /// A majority has confirmed that this agent leads, after the confirmation was asked for.
    pub fn leadership_confirmed(&mut self, now: f64, number: u64, ledger: &ReplicatedState) {
        self.confirming = self.confirming.filter(|(of, _)| *of > number);
        for host in self.hosts.values_mut() {
            if let Some((word, _)) = host.asked.take_if(|(_, waits_for)| *waits_for <= number) {
                host.confirmed = Some(word);
            }
        }
        self.advance(now, ledger);
    }

    /// Something was decided, or time has gone on.
    pub fn advance(&mut self, now: f64, ledger: &ReplicatedState) {
        if self.hosts.values().any(|host| host.asked.is_some())
            && self
                .confirming
                .is_none_or(|(_, since)| now >= since + AGAIN_AFTER)
        {
            self.steps
                .push_back(Action::ConfirmLeadership(self.confirm));
            self.confirming = Some((self.confirm, now));
            self.confirm += 1;
        }
        if ledger.bootstrap.is_none() {
            return self.propose(now, Entry::Bootstrap(self.founding.clone()));
        }
        if let Some(change) = &ledger.pending_change {
            match change.stage {
                Stage::Preparing => self.judge(now, change.version),
                Stage::Fencing => self.fence(now, change.version, ledger.fence_version()),
            }
        }
        self.look(now, ledger);
        self.grant(now, ledger);
    }

    /// An entry has come back.
    pub fn state_changed(&mut self, now: f64, news: &ReplicatedEvent, ledger: &ReplicatedState) {
        if let ReplicatedEvent::Committed(number) = news {
            let before = self.share(now - self.watch.window_seconds, now);
            self.watched = before.map(|share| (*number, now, share));
        }
        self.advance(now, ledger);
    }

    /// Once, and again where it was lost on its way into the log.
    fn propose(&mut self, now: f64, entry: Entry) {
        let under_way = self
            .proposed
            .as_ref()
            .is_some_and(|(of, at)| *of == entry && now < at + AGAIN_AFTER);
        if !under_way {
            self.proposed = Some((entry.clone(), now));
            self.steps.push_back(Action::Propose(entry));
        }
    }

    fn judge(&mut self, now: f64, number: u64) {
        let since = match self.judged {
            Some((of, since)) if of == number => since,
            _ => self.judged.insert((number, now)).1,
        };
        let judged = |host: &Host| {
            host.prepared
                .as_ref()
                .is_some_and(|of| of.version == number)
        };
        let unfit = self
            .hosts
            .values()
            .filter(|host| judged(host))
            .filter_map(|host| host.prepared.as_ref());
        let why: Vec<(String, String)> = unfit.flat_map(|of| of.rejections.clone()).collect();
        if !why.is_empty() {
            self.propose(
                now,
                Entry::Decide {
                    version: number,
                    accepted: false,
                    rejections: why,
                },
            );
        } else if self.hosts.values().all(judged) || now >= since + PREPARED_WITHIN {
            self.propose(
                now,
                Entry::Decide {
                    version: number,
                    accepted: true,
                    rejections: why,
                },
            );
        }
    }

    fn fence(&mut self, now: f64, number: u64, fence: u64) {
        let over = |host: &Host| host.fenced >= fence || now >= host.until.max(self.elected_over);
        if self.opened == number || self.hosts.values().all(over) {
            self.opened = number;
            self.propose(now, Entry::Activate { version: number });
        }
    }

    /// Leases for all who asked before a majority confirmed, on what holds; on nothing while all are fenced.
    fn grant(&mut self, now: f64, ledger: &ReplicatedState) {
        let fencing = ledger
            .pending_change
            .as_ref()
            .filter(|change| change.stage == Stage::Fencing);
        let granted = match fencing {
            Some(change) if change.version != self.opened => return,
            Some(change) => change.version,
            None => ledger.current_version,
        };
        let until = over_by(now, self.lease_s(), self.drift);
        for (name, host) in &mut self.hosts {
            if let Some(word) = host.confirmed.take() {
                host.until = until;
                self.steps.push_back(Action::Respond(
                    name.clone(),
                    HostLeaseResponse {
                        granted_version: granted,
                        ..word
                    },
                ));
            }
        }
    }

    /// Looks at the service of all, and brings the former policy back where the last change made it worse.
    fn look(&mut self, now: f64, ledger: &ReplicatedState) {
        if self
            .looks
            .back()
            .is_some_and(|(at, ..)| now < at + LOOK_EVERY)
        {
            return;
        }
        let sum = |of: fn(&Host) -> u64| self.hosts.values().map(of).sum::<u64>();
        let look = (now, sum(|host| host.service.0), sum(|host| host.service.1));
        if self.looks.len() == LOOKS_MOST {
            self.looks.pop_front();
        }
        self.looks.push_back(look);
        let Some((number, since, before)) =
            self.watched.filter(|_| self.watch.window_seconds > 0.0)
        else {
            return;
        };
        if now < since + self.watch.window_seconds {
            return;
        }
        self.watched = None;
        let last = ledger
            .completed_changes
            .iter()
            .rev()
            .find(|ended| ended.version == number && ended.outcome == ChangeOutcome::Committed);
        let brought_back = last.is_none_or(|ended| ended.proposed_by == ROLLBACK_PROPOSER);
        let (Some(after), Some((_, former)), false) =
            (self.share(since, now), &ledger.previous, brought_back)
        else {
            return;
        };
        if ledger.current_version == number && after + self.watch.tolerated_loss < before {
            let mut policy = former.clone();
            policy.note = format!("back from {number}: served {after:.3}, before it {before:.3}");
            let (id, by) = (format!("back-from-{number}"), ROLLBACK_PROPOSER.to_owned());
            self.propose(
                now,
                Entry::Propose {
                    change_id: id,
                    policy: Box::new(policy),
                    proposed_by: by,
                    proposed_at: 0.0,
                },
            );
        }
    }

    /// The succeeded share of what came between two moments; none where that was too little to tell.
    fn share(&self, from: f64, until: f64) -> Option<f64> {
        let within: Vec<_> = self
            .looks
            .iter()
            .filter(|(at, ..)| *at >= from - 1e-9 && *at <= until + 1e-9)
            .collect();
        let (first, last) = (within.first()?, within.last()?);
        let (came, succeeded) = (last.1.checked_sub(first.1)?, last.2.checked_sub(first.2)?);
        (came >= ENOUGH).then(|| succeeded as f64 / came as f64)
    }
}

/// By whom a change is that brings the former policy back.
pub const ROLLBACK_PROPOSER: &str = "the watch after a change";
