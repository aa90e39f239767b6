//! The policy for all, as this agent has its part in it: what its state machines want is carried out, and what operators ask is
//! put to whoever leads.

mod asked;
mod budgets;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use log::{info, warn};
use merlinshelf_backend::fault;
use merlinshelf_fleet::fleet_spec::ConsensusConfig;
use merlinshelf_policy::replicated_state::{ChangeOutcome, ReplicatedEvent};
use merlinshelf_policy::rollout_leader::{Action, ServiceWatch};
use merlinshelf_policy::{
    Bootstrap, Entry, HostLeaseManager, HostLeaseResponse, InstanceStatus, RolloutLeader,
    ServiceCounts,
};
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

use self::asked::{Parting, Pending};
use self::budgets::Budgeting;
use crate::council::{Came, Kept, Seat};
use crate::links::{Links, Peer};
use crate::talk::Talk;

/// A beat is given up after so long; an instance that is well answers in a fraction of it.
const BEAT_WITHIN: Duration = Duration::from_millis(400);
/// A round while a dependency fails for all or comes back, seconds: an outage ends sooner by what is heard sooner of its end.
const HURRY_EVERY: f64 = 0.1;
/// Between two words to the other agents about how the instances stand, seconds.
const STANDING_EVERY: f64 = 1.0;

/// What happens beside the loop.
pub enum Happened {
    Peer(String, Peer),
    Beat(String, Result<InstanceStatus, Option<String>>),
    Kept(Kept),
}

pub struct PolicyAgent {
    of: ConsensusConfig,
    founding: Bootstrap,
    seat: Seat,
    links: Links,
    warden: HostLeaseManager,
    conductor: Option<(RolloutLeader, u64)>,
    budgeting: Budgeting,
    hurried: f64,
    pending: Vec<Pending>,
    parting: Vec<Parting>,
    /// How the instances of other agents stand, and when that was heard.
    standings: BTreeMap<String, (f64, Value)>,
    told_standing: f64,
    ticked: f64,
    clock_rate: f64,
    last_counts: BTreeMap<String, (u64, u64)>,
    complained: Option<Bootstrap>,
    pub happened: (UnboundedSender<Happened>, UnboundedReceiver<Happened>),
    peers: UnboundedReceiver<(String, Peer)>,
    kept: UnboundedReceiver<Kept>,
}

impl PolicyAgent {
    /// # Errors
    /// The address for other agents can't be had.
    pub async fn begin(
        of: &ConsensusConfig,
        folder: &Path,
        life: u64,
    ) -> std::io::Result<PolicyAgent> {
        let (heard, peers) = unbounded_channel();
        let links = Links::open(&of.name, &of.listen, &of.agents, heard).await?;
        let (tell, kept) = unbounded_channel();
        let base = of.base.fingerprint();
        // Clocks that run apart are played by one that does.
        let rate = std::env::var("MERLINSHELF_CLOCK_RATE")
            .ok()
            .and_then(|text| text.parse().ok());
        Ok(PolicyAgent {
            founding: Bootstrap {
                lease_ms: of.lease_ms,
                base_fingerprint: base,
            },
            seat: Seat::new(&of.name, &of.agents, folder, life, tell),
            links,
            warden: HostLeaseManager::new(&of.name, life, base, of.drift),
            conductor: None,
            budgeting: Budgeting::new(of, life),
            hurried: 0.0,
            pending: Vec::new(),
            parting: Vec::new(),
            standings: BTreeMap::new(),
            told_standing: 0.0,
            ticked: 0.0,
            clock_rate: rate.filter(|rate| (0.9..1.1).contains(rate)).unwrap_or(1.0),
            last_counts: BTreeMap::new(),
            complained: None,
            happened: unbounded_channel(),
            peers,
            kept,
            of: of.clone(),
        })
    }

    /// Whatever happens next here.
    pub async fn next(&mut self) -> Happened {
        tokio::select! {
            Some((from, peer)) = self.peers.recv() => Happened::Peer(from, peer),
            Some(kept) = self.kept.recv() => Happened::Kept(kept),
            Some(happened) = self.happened.1.recv() => happened,
            else => std::future::pending().await,
        }
    }

    pub fn take(&mut self, now: f64, happened: Happened) {
        let now = now * self.clock_rate;
        match happened {
            Happened::Peer(from, _) if !self.of.agents.contains_key(&from) => {
                warn!("{from}, which is none of the agents, is not heard");
            }
            Happened::Peer(from, Peer::Council(word)) => self.seat.heard(now, &from, word),
            Happened::Peer(_, Peer::Ask(mut ask)) => {
                if let Some((conductor, _)) = &mut self.conductor {
                    self.budgeting.wished(&mut ask);
                    conductor.handle_lease_request(now, ask, &self.seat.ledger);
                }
            }
            Happened::Peer(_, Peer::Word(word)) => self.heard_of_lease(now, &word),
            Happened::Peer(_, word @ (Peer::Propose(_) | Peer::Remove(_))) => {
                self.as_leader(now, word)
            }
            Happened::Peer(from, Peer::Standing(text)) => {
                if let Ok(standing) = serde_json::from_str(&text) {
                    self.standings.insert(from, (now, standing));
                }
            }
            Happened::Kept(kept) => self.seat.kept(now, kept),
            Happened::Beat(name, Ok(mut said)) => {
                if let Some(wishes) = said.quota_requests.take()
                    && self.budgeting.house.handle_request(now, &name, wishes)
                {
                    self.warden.request_soon();
                }
                self.warden.instance_responded(&name, said);
            }
            Happened::Beat(name, Err(why)) => self.warden.instance_unreachable(&name, why),
        }
    }

    /// An instance's sums, for the watch after a change. Sums that went back are another process's.
    pub fn counted(&mut self, name: &str, invocations: u64, succeeded: u64) {
        let before = self
            .last_counts
            .insert(name.to_owned(), (invocations, succeeded));
        let before = before.filter(|before| before.0 <= invocations && before.1 <= succeeded);
        if let Some(before) = before {
            self.warden.add_service_counts(ServiceCounts {
                invocations: invocations - before.0,
                succeeded: succeeded - before.1,
            });
        }
    }

    /// Everything that is to be done by now. `instances` are those that have a process, with their control sockets;
    /// `standing` says how they stand.
    pub fn turn(
        &mut self,
        now: f64,
        unix: f64,
        instances: &BTreeMap<String, PathBuf>,
        standing: impl FnOnce() -> Vec<Value>,
    ) {
        let plain = now;
        let now = now * self.clock_rate;
        if plain >= self.ticked + merlinshelf_consensus::TICK_MS as f64 / 1e3 {
            self.ticked = plain;
            self.seat.tick(now);
            if let Some((conductor, _)) = &mut self.conductor {
                conductor.advance(now, &self.seat.ledger);
            }
        }
        if plain >= self.told_standing + STANDING_EVERY {
            self.told_standing = plain;
            let budgets = self.budgeting.shared_out(now);
            let text =
                json!({ "instances": standing(), "council": self.seat.standing(), "budgets": budgets })
                    .to_string();
            self.links
                .others()
                .for_each(|other| self.links.send(other, &Peer::Standing(text.clone())));
        }
        self.warden.set_instances(now, instances.keys());
        self.bound_budgets(now);
        if now >= self.hurried + HURRY_EVERY && self.budgeting.house.has_unhealthy_dependency(now) {
            self.hurried = now;
            self.warden.request_soon();
            self.warden.heartbeat_soon();
        }
        // Each round may bring about another one; it ends since nothing is done twice.
        for _ in 0..64 {
            let before = self.lead(now);
            let came = self.seat.take();
            let idle = came.is_empty() && !before;
            came.into_iter().for_each(|came| self.came(now, came));
            if idle {
                break;
            }
        }
        while let Some((name, mut beat)) = self.warden.poll_heartbeat(now) {
            beat.quota_grants = self.budgeting.house.take_grants(now, &name);
            let Some(control) = instances.get(&name).cloned() else {
                continue;
            };
            let sender = self.happened.0.clone();
            spawn_local(async move {
                let body = serde_json::to_value(&beat).unwrap_or_default();
                let asked = async {
                    Talk::ask(&control, ControlRequest::Policy, &body, BEAT_WITHIN)
                        .await?
                        .next()
                        .await
                };
                let said = match tokio::time::timeout(BEAT_WITHIN, asked).await {
                    Ok(Ok((ControlMessage::Done, said))) => {
                        serde_json::from_value(said).map_err(|error| Some(error.to_string()))
                    }
                    Ok(Ok((_, report))) if report["text"] == "unreadable question" => {
                        Err(Some("it knows no policies".to_owned()))
                    }
                    Ok(Ok((_, report))) => Err(Some(
                        report["text"].as_str().unwrap_or("it refuses").to_owned(),
                    )),
                    Ok(Err(_)) | Err(_) => Err(None),
                };
                let _ = sender.send(Happened::Beat(name, said));
            });
        }
        self.put_pending(now, unix);
        self.put_parting(now);
    }

    /// Has whoever leads do what operators want, where one is known.
    fn tell_leader(&mut self, now: f64, word: Peer) {
        match self.seat.leader().map(str::to_owned) {
            Some(leader) if leader == self.of.name => self.as_leader(now, word),
            Some(leader) => self.links.send(&leader, &word),
            None => {}
        }
    }

    /// What operators want, where this agent leads.
    fn as_leader(&mut self, now: f64, word: Peer) {
        match word {
            Peer::Propose(entry @ Entry::Propose { .. }) => _ = self.seat.propose(now, &entry),
            // A seat is given up where this agent does not want it any more itself.
            Peer::Remove(name)
                if self.seat.leads().is_some() && !self.of.agents.contains_key(&name) =>
            {
                self.seat.remove(now, &name);
            }
            _ => {}
        }
    }

    /// A word of whoever leads: a lease on what holds, and shares.
    fn heard_of_lease(&mut self, now: f64, word: &HostLeaseResponse) {
        self.warden.handle_lease_response(now, word);
        if let Some(given) = &word.quota_grants
            && self.budgeting.house.handle_grants(now, given)
        {
            self.warden.heartbeat_soon();
        }
    }

    fn came(&mut self, now: f64, came: Came) {
        match came {
            Came::Send(to, word) => self.links.send(&to, &Peer::Council(word)),
            Came::Decided(news) => {
                if let Some(news) = &news {
                    self.log(news);
                    match news {
                        ReplicatedEvent::Bootstrapped(_) => {}
                        ReplicatedEvent::Proposed { version: number } => point("proposed", *number),
                        ReplicatedEvent::Decided {
                            version: number, ..
                        } => point("decided", *number),
                        ReplicatedEvent::Committed { version: number } => point("held", *number),
                    }
                }
                self.warden.state_changed(now, &self.seat.ledger);
                if let (Some(news), Some((conductor, _))) = (news, &mut self.conductor) {
                    conductor.state_changed(now, &news, &self.seat.ledger);
                }
                let agreed = self
                    .seat
                    .ledger
                    .bootstrap
                    .clone()
                    .filter(|agreed| *agreed != self.founding);
                if agreed.is_some() && agreed != self.complained {
                    warn!(
                        "lease_ms or base of this agent's file is another than the installation's: {:?} against {agreed:?}; \
                         instances that start by it get no lease",
                        self.founding
                    );
                    self.complained = agreed;
                }
            }
            Came::Confirmed(number) => {
                if let Some((conductor, _)) = &mut self.conductor {
                    conductor.leadership_confirmed(now, number, &self.seat.ledger);
                }
            }
        }
    }

    fn log(&self, news: &ReplicatedEvent) {
        let ledger = &self.seat.ledger;
        match news {
            ReplicatedEvent::Bootstrapped(founding) => {
                info!(lease_ms = founding.lease_ms; "policy: founded, leases of {} ms", founding.lease_ms)
            }
            ReplicatedEvent::Proposed { version: number } => {
                info!(number = number; "policy {number}: proposed")
            }
            ReplicatedEvent::Decided {
                version: number,
                accepted: true,
            } => {
                info!(number = number; "policy {number}: decided, it holds")
            }
            ReplicatedEvent::Decided {
                version: number,
                accepted: false,
            } => {
                let ended = ledger
                    .completed_changes
                    .iter()
                    .rev()
                    .find(|ended| ended.version == *number);
                let why = ended.map(|ended| why(&ended.outcome)).unwrap_or_default();
                info!(number = number; "policy {number}: refused: {why}");
            }
            ReplicatedEvent::Committed { version: number } => {
                info!(number = number; "policy {number}: held")
            }
        }
    }

    /// What follows from leading or not; whether anything did.
    fn lead(&mut self, now: f64) -> bool {
        let term = self.seat.leads();
        if self.conductor.as_ref().map(|(_, term)| *term) != term {
            self.conductor = term.map(|term| {
                info!(term = term; "this agent leads in term {term}");
                let watch = ServiceWatch {
                    window_seconds: self.of.watch_ms as f64 / 1e3,
                    tolerated_loss: self.of.worse,
                };
                // Also whoever sat once: one that was replaced may have a lease from its former life.
                let roll = self
                    .seat
                    .council()
                    .map(|council| council.membership().clone())
                    .unwrap_or_default();
                let names = roll
                    .members
                    .into_values()
                    .map(|member| member.name)
                    .chain(self.of.agents.keys().cloned());
                let agreed = self
                    .seat
                    .ledger
                    .bootstrap
                    .clone()
                    .unwrap_or_else(|| self.founding.clone());
                (
                    RolloutLeader::elected(now, agreed, self.of.drift, watch, names),
                    term,
                )
            });
            self.budgeting.leads(term);
            self.bound_budgets(now);
        }
        let ask = self.warden.poll_lease_request(now);
        let mut did = ask.is_some();
        if let Some(mut ask) = ask {
            ask.quota_requests = self.budgeting.asks(now);
            match (&mut self.conductor, self.seat.leader()) {
                (Some((conductor, _)), _) => {
                    self.budgeting.wished(&mut ask);
                    conductor.handle_lease_request(now, ask, &self.seat.ledger);
                }
                (None, Some(leader)) => self.links.send(leader, &Peer::Ask(ask)),
                (None, None) => {}
            }
        }
        while let Some(step) = self
            .conductor
            .as_mut()
            .and_then(|(conductor, _)| conductor.poll_action())
        {
            did = true;
            match &step {
                Action::Propose(Entry::Decide {
                    version: number, ..
                }) => point("decides", *number),
                Action::Propose(Entry::Activate { version: number }) => point("opens", *number),
                Action::Respond { response: word, .. } => point("grants", word.granted_version),
                Action::ConfirmLeadership { .. } | Action::Propose(_) => {}
            }
            match step {
                Action::ConfirmLeadership {
                    confirmation_id: number,
                } => self.seat.confirm(now, number),
                Action::Propose(entry) => _ = self.seat.propose(now, &entry),
                Action::Respond {
                    host,
                    response: mut word,
                } => {
                    word.quota_grants = self.budgeting.granted(now, &host, word.request_id);
                    if host == self.of.name {
                        self.heard_of_lease(now, &word);
                    } else {
                        self.links.send(&host, &Peer::Word(word));
                    }
                }
            }
        }
        did
    }

    /// How the instances of other agents stand, for the status of all: agent, seconds since it said so, and its instances.
    pub fn others(&self, now: f64) -> Vec<(String, f64, Value)> {
        let age = |at: f64| now * self.clock_rate - at;
        self.standings
            .iter()
            .map(|(name, (at, said))| (name.clone(), age(*at), said.clone()))
            .collect()
    }
}

/// Where tests let an agent die, by what it is about to do and for which policy.
fn point(what: &str, number: u64) {
    if cfg!(debug_assertions) {
        fault::of_any(&format!("agent.{what}.{number}"));
    }
}

fn why(verdict: &ChangeOutcome) -> String {
    match verdict {
        ChangeOutcome::Committed => String::new(),
        ChangeOutcome::Rejected(by) => by
            .iter()
            .map(|rejection| format!("{}: {}", rejection.rejected_by, rejection.reason))
            .collect::<Vec<_>>()
            .join("; "),
    }
}
