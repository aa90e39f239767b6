//! What a fleet's budgets let this one spend on calls below, as the module and the router are told
//! it: before anything is decided they hear what is left, and what they made use of is counted.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};

use log::{info, warn};
use merlinshelf_admission::{DownstreamQuota, Stage};
use merlinshelf_quota::reserve::DrawError;
use merlinshelf_quota::{
    Budgets, CATALOGUE, CallKind, CallOutcome, LeaseTerms, Phase, QuotaClient, QuotaGrantBatch,
    QuotaRequestBatch, Remaining, budget, reserve,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::fs::{FlockOperation, flock};
use serde_json::{Value, json};

use super::{Exchange, monotonic};
use crate::operator::PolicySettings;

/// Between two looks at what the host has set aside, seconds: where there is nothing, each call
/// that is wanted would look.
const LOOK_EVERY: f64 = 0.005;

/// What an instance holds of all budgets.
pub struct QuotaSpending {
    spender: QuotaClient,
    /// What the host has set aside, and where that is kept; nowhere: nothing is.
    aside: Budgets,
    folder: Option<PathBuf>,
    drift: f64,
    chance: Pcg64Mcg,
    /// By dependency: what was left when its caller was last told, and whether it failed then.
    told: BTreeMap<String, (Remaining, bool)>,
    looked_at: BTreeMap<(String, CallKind), f64>,
    phases: BTreeMap<String, Phase>,
    complained: bool,
    /// Calls and connections that were bounded and made since they were last counted, and those
    /// drawn from what is set aside.
    made: (u64, u64),
}

/// What is wanted of a dependency at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallDemand {
    /// A first call, or a probe where it fails.
    pub wants_call: bool,
    /// A further one.
    pub wants_retry: bool,
}

impl QuotaSpending {
    pub(super) fn new(life: u64, seed: u64, of: &PolicySettings) -> QuotaSpending {
        let lease = LeaseTerms {
            lease_seconds: of.lease_ms as f64 / 1e3,
            drift: of.drift,
        };
        let mut spender = QuotaClient::new(life, lease);
        spender.set_budgets(&of.base.budgets);
        QuotaSpending {
            spender,
            aside: of.base.budgets.clone(),
            folder: of.aside.clone(),
            drift: of.drift,
            chance: Pcg64Mcg::seed_from_u64(seed ^ life),
            told: BTreeMap::new(),
            looked_at: BTreeMap::new(),
            phases: BTreeMap::new(),
            complained: false,
            made: (0, 0),
        }
    }

    pub(super) fn bound(&mut self, budgets: &Budgets) {
        self.spender.set_budgets(budgets);
    }

    pub(super) fn pass(&mut self, life: u64) -> Vec<u8> {
        rmp_serde::to_vec_named(&self.spender.begin_handover(life)).unwrap_or_default()
    }

    pub(super) fn take(&mut self, passed: &[u8]) {
        if let Ok(spender) = rmp_serde::from_slice(passed) {
            self.spender = spender;
        }
    }

    pub(super) fn heard(&mut self, given: &QuotaGrantBatch) {
        let (now, chance) = (monotonic(), &mut self.chance);
        self.spender
            .handle_grants(now, given, &mut || chance.random());
        for name in given.dependencies.keys() {
            let Some(phase) = self.spender.phase(now, name) else {
                continue;
            };
            if self.phases.insert(name.clone(), phase).unwrap_or_default() != phase {
                info!(dependency = name.as_str(); "budgets: {name} {} for all", said(phase));
            }
        }
    }

    /// What is asked of the host; none where nothing is bounded.
    pub(super) fn asks(&mut self) -> Option<QuotaRequestBatch> {
        let any = self.spender.limited_kinds().next().is_some();
        any.then(|| self.spender.request(monotonic()))
    }

    /// What is left of each, for a caller that was told before: what of that was `left_over`, and
    /// whether the dependency fails.
    fn renew(
        &mut self,
        name: &str,
        left_over: Remaining,
        fails: bool,
        wanting: CallDemand,
    ) -> Option<Remaining> {
        let now = monotonic();
        let before = self.told.get(name).map(|(left, _)| *left);
        if !self.spender.has_budget(name) {
            // It is bounded no more: told once.
            return self.told.remove(name).map(|_| Remaining::UNLIMITED);
        }
        if let Some(before) = before {
            for (kind, told, over) in [
                (
                    CallKind::FirstCall,
                    before.first_calls,
                    left_over.first_calls,
                ),
                (CallKind::Retry, before.retries, left_over.retries),
                (CallKind::Probe, before.probes, left_over.probes),
            ] {
                if told != u32::MAX && told > over {
                    self.spend(now, name, kind, told - over);
                }
            }
        }
        self.spender.set_failing(now, name, fails);
        let closed = self.spender.phase(now, name) == Some(Phase::Failing);
        let call = if fails || closed {
            CallKind::Probe
        } else {
            CallKind::FirstCall
        };
        if wanting.wants_call {
            self.draw(now, name, call);
        }
        if wanting.wants_retry {
            self.draw(now, name, CallKind::Retry);
        }
        let left = self.spender.remaining(now, name);
        self.told.insert(
            name.to_owned(),
            (
                Remaining {
                    reopened: false,
                    ..left
                },
                fails,
            ),
        );
        Some(left)
    }

    fn spend(&mut self, now: f64, name: &str, kind: CallKind, calls: u32) {
        self.made.0 += u64::from(calls);
        self.spender.record_spent(now, name, kind, calls);
    }

    fn wants(&mut self, name: &str, kind: CallKind) {
        self.spender.record_demand(monotonic(), name, kind, 1.0);
    }

    /// One call of what the host has set aside, where nothing else is left of it.
    fn draw(&mut self, now: f64, name: &str, kind: CallKind) {
        let aside = budget::find_budget(&self.aside, name, kind).unwrap_or(0);
        let Some(folder) = self.folder.as_ref().filter(|_| aside > 0) else {
            return;
        };
        let looked = self
            .looked_at
            .get(&(name.to_owned(), kind))
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        if now < looked + LOOK_EVERY || !self.spender.needs_reserve(now, name, kind) {
            return;
        }
        let drawn = draw(folder, name, kind, aside, self.drift);
        self.looked_at.insert((name.to_owned(), kind), now);
        match drawn {
            Ok(true) => {
                self.made.1 += 1;
                self.spender.record_reserve_draw(now, name, kind);
            }
            Ok(false) => {}
            Err(error) if !self.complained => {
                self.complained = true;
                warn!(
                    "budgets: what the host has set aside can't be had: {}: {error}",
                    folder.display()
                );
            }
            Err(_) => {}
        }
    }
}

fn outcome(well: bool) -> CallOutcome {
    if well {
        CallOutcome::Succeeded
    } else {
        CallOutcome::Failed
    }
}

fn said(phase: Phase) -> &'static str {
    match phase {
        Phase::Healthy => "is well",
        Phase::Recovering => "returns",
        Phase::Failing => "fails",
    }
}

/// Draws one call from the file that all instances of the host have in common. Whoever holds it is
/// not waited for.
fn draw(folder: &Path, name: &str, kind: CallKind, aside: u32, drift: f64) -> io::Result<bool> {
    // Names of dependencies may be anything: as a file each byte that is no letter or digit is
    // written as its number.
    let plain = name.bytes().map(|byte| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' => char::from(byte).to_string(),
        _ => format!("%{byte:02x}"),
    });
    let path = folder.join(format!("{}.{}", plain.collect::<String>(), kind.name()));
    let open = || {
        OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path)
    };
    let mut file: File = match open() {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            std::fs::create_dir_all(folder)?;
            open()?
        }
        opened => opened?,
    };
    if flock(file.as_fd(), FlockOperation::NonBlockingLockExclusive).is_err() {
        return Ok(false);
    }
    let mut bytes = Vec::new();
    Read::by_ref(&mut file)
        .take(64 * 1024)
        .read_to_end(&mut bytes)?;
    // The clock is read behind the lock: what is written down stands in the order in which it was
    // drawn.
    let (may, next) = match reserve::draw(&bytes, monotonic(), aside, drift) {
        Ok(next) => (true, Some(next)),
        Err(DrawError::Exhausted) => (false, None),
        Err(DrawError::Corrupt { replacement }) => (false, Some(replacement)),
    };
    if let Some(next) = next {
        // Longer or the same length first, then cut: a process that dies in between leaves too
        // many, not too few.
        file.rewind()?;
        file.write_all(&next)?;
        file.set_len(next.len() as u64)?;
    }
    Ok(may)
}

impl Exchange {
    /// Tells the module what it may spend from here on. `again`: a further call is wanted now;
    /// `call`: one that its run wants.
    pub(super) fn apply_quota(&mut self, wanting: CallDemand) {
        let Some(spending) = &mut self.quota else {
            return;
        };
        if !spending.spender.has_budget(CATALOGUE) && !spending.told.contains_key(CATALOGUE) {
            return;
        }
        let Some(controller) = &mut self.controller else {
            return;
        };
        let usage = controller.set_downstream_quota(DownstreamQuota::default());
        let waits = || {
            self.invocations.all().into_iter().any(|index| {
                controller
                    .invocation(index)
                    .is_some_and(|state| state.stage == Stage::AtCall)
            })
        };
        let wanting = CallDemand {
            wants_call: wanting.wants_call || waits(),
            ..wanting
        };
        let over = Remaining {
            first_calls: usage.unused.first_calls,
            retries: usage.unused.retries,
            probes: usage.unused.probes,
            ..Remaining::UNLIMITED
        };
        let left = spending
            .renew(CATALOGUE, over, usage.is_failing, wanting)
            .unwrap_or(Remaining::UNLIMITED);
        controller.set_downstream_quota(DownstreamQuota {
            first_calls: left.first_calls,
            retries: left.retries,
            probes: left.probes,
            probes_only: left.probes_only,
            reopened: left.reopened,
        });
        self.count_quota_use();
    }

    fn count_quota_use(&mut self) {
        if let Some(spending) = &mut self.quota {
            let (made, drawn) = std::mem::take(&mut spending.made);
            (self.counters.budget_calls, self.counters.budget_drawn) = (
                self.counters.budget_calls + made,
                self.counters.budget_drawn + drawn,
            );
        }
    }

    /// A run wants a call to the one dependency of the platform.
    pub(super) fn note_call_demand(&mut self) {
        if let Some(spending) = &mut self.quota {
            let failing = spending
                .told
                .get(CATALOGUE)
                .is_some_and(|(left, fails)| *fails || left.probes_only);
            spending.wants(
                CATALOGUE,
                if failing {
                    CallKind::Probe
                } else {
                    CallKind::FirstCall
                },
            );
        }
    }

    /// A call to it has ended; whether a further one may follow.
    pub(super) fn note_call_end(&mut self, well: bool, again: bool) {
        if let Some(spending) = &mut self.quota {
            spending
                .spender
                .record_call_end(monotonic(), CATALOGUE, outcome(well));
            if again {
                spending.wants(CATALOGUE, CallKind::Retry);
            }
        }
    }

    /// What may be spent on a dependency that is told apart, for the one who calls it: as `renew`
    /// of it says.
    pub fn renew_quota(
        &mut self,
        name: &str,
        left_over: Remaining,
        fails: bool,
        wanting: CallDemand,
    ) -> Option<Remaining> {
        self.quota.as_mut()?.renew(name, left_over, fails, wanting)
    }

    /// Dependencies whose budgets its caller is to be told of.
    pub fn limited_dependencies(&self) -> Vec<String> {
        let Some(spending) = &self.quota else {
            return Vec::new();
        };
        let names = spending
            .spender
            .limited_kinds()
            .map(|(name, _)| name)
            .chain(spending.told.keys());
        let mut names: Vec<String> = names.filter(|name| *name != CATALOGUE).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// A call to a dependency that is told apart is wanted, or has ended.
    pub fn note_dependency_call(
        &mut self,
        name: &str,
        wants: Option<CallKind>,
        ended: Option<bool>,
    ) {
        let Some(spending) = &mut self.quota else {
            return;
        };
        if let Some(kind) = wants {
            spending.wants(name, kind);
        }
        if let Some(well) = ended {
            spending
                .spender
                .record_call_end(monotonic(), name, outcome(well));
        }
    }

    /// A connection is to be opened for a call that waits for it.
    pub fn note_connection_demand(&mut self, name: &str) {
        if let Some(spending) = &mut self.quota {
            spending.wants(name, CallKind::NewConnection);
        }
    }

    /// Whether a connection may be opened now; it is counted where it may.
    pub fn may_open_connection(&mut self, name: &str) -> bool {
        let Some(spending) = &mut self.quota else {
            return true;
        };
        let now = monotonic();
        if !spending
            .spender
            .is_limited(now, name, CallKind::NewConnection)
        {
            return true;
        }
        spending.draw(now, name, CallKind::NewConnection);
        let may = spending.spender.remaining_connections(now, name) > 0;
        if may {
            spending.spend(now, name, CallKind::NewConnection, 1);
        }
        self.count_quota_use();
        may
    }

    /// What is held of each budget, for reports.
    pub fn quota_report(&self) -> Option<Value> {
        let spending = self.quota.as_ref()?;
        let now = monotonic();
        let of = |(name, kind): (&String, CallKind)| {
            json!({
                "dependency": name, "kind": kind, "share": spending.spender.granted(now, name, kind),
                "fares": spending.spender.phase(now, name),
            })
        };
        let all: Vec<Value> = spending.spender.limited_kinds().map(of).collect();
        (!all.is_empty()).then_some(Value::from(all))
    }
}
