//! This instance's quota of the fleet's budgets for downstream calls. The admission controller and
//! the router receive the remaining quota before each decision, and what they have used of it is
//! subtracted.

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

use super::{Exchange, monotonic_seconds};
use crate::operator::PolicySettings;

/// Minimum time between two draws from a host's reserve, by dependency and kind of call. Without it,
/// every waiting call would access the file of an exhausted reserve.
const RESERVE_INTERVAL_SECONDS: f64 = 0.005;

/// The quota of an instance and what it has spent of it.
pub struct QuotaSpending {
    client: QuotaClient,
    /// The budgets of the host's reserve.
    reserve: Budgets,
    /// The folder with the reserve's files; without one nothing is drawn.
    reserve_folder: Option<PathBuf>,
    drift: f64,
    random: Pcg64Mcg,
    /// By dependency, the remaining quota that its caller has last received, and whether the
    /// dependency failed then.
    reported: BTreeMap<String, (Remaining, bool)>,
    last_reserve_draws: BTreeMap<(String, CallKind), f64>,
    phases: BTreeMap<String, Phase>,
    has_logged_reserve_error: bool,
    /// Limited calls and connections since the last update of the counters.
    uncounted_calls: u64,
    /// Calls drawn from the reserve since the last update of the counters.
    uncounted_draws: u64,
}

/// The calls to a dependency that need quota now.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallDemand {
    /// A first call, or a probe if the dependency fails.
    pub wants_call: bool,
    /// A retry.
    pub wants_retry: bool,
}

impl QuotaSpending {
    pub(super) fn new(incarnation: u64, seed: u64, settings: &PolicySettings) -> QuotaSpending {
        let terms = LeaseTerms {
            lease_seconds: settings.lease_ms as f64 / 1e3,
            drift: settings.drift,
        };
        let mut client = QuotaClient::new(incarnation, terms);
        client.set_budgets(&settings.base.budgets);
        QuotaSpending {
            client,
            reserve: settings.base.budgets.clone(),
            reserve_folder: settings.aside.clone(),
            drift: settings.drift,
            random: Pcg64Mcg::seed_from_u64(seed ^ incarnation),
            reported: BTreeMap::new(),
            last_reserve_draws: BTreeMap::new(),
            phases: BTreeMap::new(),
            has_logged_reserve_error: false,
            uncounted_calls: 0,
            uncounted_draws: 0,
        }
    }

    pub(super) fn set_budgets(&mut self, budgets: &Budgets) {
        self.client.set_budgets(budgets);
    }

    /// The quotas for a successor, encoded. This instance continues without any.
    pub(super) fn begin_handover(&mut self, next_incarnation: u64) -> Vec<u8> {
        rmp_serde::to_vec_named(&self.client.begin_handover(next_incarnation)).unwrap_or_default()
    }

    /// Continues with the quotas of a predecessor. Bytes that can't be decoded are ignored.
    pub(super) fn resume(&mut self, handed_over: &[u8]) {
        if let Ok(client) = rmp_serde::from_slice(handed_over) {
            self.client = client;
        }
    }

    /// The host's agent has granted quotas.
    pub(super) fn handle_grants(&mut self, grants: &QuotaGrantBatch) {
        let (now, random) = (monotonic_seconds(), &mut self.random);
        self.client
            .handle_grants(now, grants, &mut || random.random());
        for name in grants.dependencies.keys() {
            let Some(phase) = self.client.phase(now, name) else {
                continue;
            };
            if self.phases.insert(name.clone(), phase).unwrap_or_default() != phase {
                info!(dependency = name.as_str(); "budgets: {name} is {} fleet-wide", phase_name(phase));
            }
        }
    }

    /// What this instance requests of the host's agent; `None` if no calls are limited.
    pub(super) fn request(&mut self) -> Option<QuotaRequestBatch> {
        let has_limits = self.client.limited_kinds().next().is_some();
        has_limits.then(|| self.client.request(monotonic_seconds()))
    }

    /// The remaining quota for the caller of a dependency; `None` if the dependency has no budget.
    /// `unused` is what the caller has not used of the quota that it received before, and
    /// `is_failing` whether the dependency fails for it.
    fn update(
        &mut self,
        name: &str,
        unused: Remaining,
        is_failing: bool,
        demand: CallDemand,
    ) -> Option<Remaining> {
        let now = monotonic_seconds();
        let reported = self.reported.get(name).map(|(remaining, _)| *remaining);
        if !self.client.has_budget(name) {
            // The budget was removed, which is reported once.
            return self.reported.remove(name).map(|_| Remaining::UNLIMITED);
        }
        if let Some(reported) = reported {
            for (kind, reported, unused) in [
                (
                    CallKind::FirstCall,
                    reported.first_calls,
                    unused.first_calls,
                ),
                (CallKind::Retry, reported.retries, unused.retries),
                (CallKind::Probe, reported.probes, unused.probes),
            ] {
                if reported != u32::MAX && reported > unused {
                    self.spend(now, name, kind, reported - unused);
                }
            }
        }
        self.client.set_failing(now, name, is_failing);
        let fails_fleet_wide = self.client.phase(now, name) == Some(Phase::Failing);
        let call = if is_failing || fails_fleet_wide {
            CallKind::Probe
        } else {
            CallKind::FirstCall
        };
        if demand.wants_call {
            self.draw_from_reserve(now, name, call);
        }
        if demand.wants_retry {
            self.draw_from_reserve(now, name, CallKind::Retry);
        }
        let remaining = self.client.remaining(now, name);
        self.reported.insert(
            name.to_owned(),
            (
                Remaining {
                    reopened: false,
                    ..remaining
                },
                is_failing,
            ),
        );
        Some(remaining)
    }

    fn spend(&mut self, now: f64, name: &str, kind: CallKind, calls: u32) {
        self.uncounted_calls += u64::from(calls);
        self.client.record_spent(now, name, kind, calls);
    }

    fn record_demand(&mut self, name: &str, kind: CallKind) {
        self.client
            .record_demand(monotonic_seconds(), name, kind, 1.0);
    }

    /// Draws one call from the host's reserve, if no other quota remains.
    fn draw_from_reserve(&mut self, now: f64, name: &str, kind: CallKind) {
        let reserve = budget::find_budget(&self.reserve, name, kind).unwrap_or(0);
        let Some(folder) = self.reserve_folder.as_ref().filter(|_| reserve > 0) else {
            return;
        };
        let last_draw = self
            .last_reserve_draws
            .get(&(name.to_owned(), kind))
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        if now < last_draw + RESERVE_INTERVAL_SECONDS || !self.client.needs_reserve(now, name, kind)
        {
            return;
        }
        let drawn = draw_from_reserve_file(folder, name, kind, reserve, self.drift);
        self.last_reserve_draws.insert((name.to_owned(), kind), now);
        match drawn {
            Ok(true) => {
                self.uncounted_draws += 1;
                self.client.record_reserve_draw(now, name, kind);
            }
            Ok(false) => {}
            Err(error) if !self.has_logged_reserve_error => {
                self.has_logged_reserve_error = true;
                warn!(
                    "budgets: the host's reserve can't be used: {}: {error}",
                    folder.display()
                );
            }
            Err(_) => {}
        }
    }
}

fn call_outcome(succeeded: bool) -> CallOutcome {
    if succeeded {
        CallOutcome::Succeeded
    } else {
        CallOutcome::Failed
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Healthy => "healthy",
        Phase::Recovering => "recovering",
        Phase::Failing => "failing",
    }
}

/// Draws one call from the file of the host's reserve, which all instances of the host share. False
/// if the reserve is exhausted, or without waiting if another process has locked the file.
fn draw_from_reserve_file(
    folder: &Path,
    name: &str,
    kind: CallKind,
    reserve: u32,
    drift: f64,
) -> io::Result<bool> {
    // Names of dependencies may contain any character: in the file name, each byte other than a
    // letter or digit is written as its hexadecimal value.
    let encoded = name.bytes().map(|byte| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' => char::from(byte).to_string(),
        _ => format!("%{byte:02x}"),
    });
    let path = folder.join(format!("{}.{}", encoded.collect::<String>(), kind.name()));
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
    // The clock is read with the file locked, so that the recorded times are in the order of the
    // draws.
    let (is_drawn, next) = match reserve::draw(&bytes, monotonic_seconds(), reserve, drift) {
        Ok(next) => (true, Some(next)),
        Err(DrawError::Exhausted) => (false, None),
        Err(DrawError::Corrupt { replacement }) => (false, Some(replacement)),
    };
    if let Some(next) = next {
        // Written before the file is truncated: a process that dies in between leaves too many
        // times in it, not too few.
        file.rewind()?;
        file.write_all(&next)?;
        file.set_len(next.len() as u64)?;
    }
    Ok(is_drawn)
}

impl Exchange {
    /// Sets the admission controller's quota for calls to the catalogue. `demand` is what the next
    /// event may need.
    pub(super) fn apply_quota(&mut self, demand: CallDemand) {
        let Some(spending) = &mut self.quota else {
            return;
        };
        if !spending.client.has_budget(CATALOGUE) && !spending.reported.contains_key(CATALOGUE) {
            return;
        }
        let Some(controller) = &mut self.controller else {
            return;
        };
        let usage = controller.set_downstream_quota(DownstreamQuota::default());
        let is_call_waiting = || {
            self.invocations.all().into_iter().any(|index| {
                controller
                    .invocation(index)
                    .is_some_and(|state| state.stage == Stage::AwaitingCall)
            })
        };
        let demand = CallDemand {
            wants_call: demand.wants_call || is_call_waiting(),
            ..demand
        };
        let unused = Remaining {
            first_calls: usage.unused.first_calls,
            retries: usage.unused.retries,
            probes: usage.unused.probes,
            ..Remaining::UNLIMITED
        };
        let remaining = spending
            .update(CATALOGUE, unused, usage.is_failing, demand)
            .unwrap_or(Remaining::UNLIMITED);
        controller.set_downstream_quota(DownstreamQuota {
            first_calls: remaining.first_calls,
            retries: remaining.retries,
            probes: remaining.probes,
            probes_only: remaining.probes_only,
            reopened: remaining.reopened,
        });
        self.count_quota_use();
    }

    /// Adds what was spent since the last time to the counters.
    fn count_quota_use(&mut self) {
        if let Some(spending) = &mut self.quota {
            self.counters.budget_calls += std::mem::take(&mut spending.uncounted_calls);
            self.counters.budget_drawn += std::mem::take(&mut spending.uncounted_draws);
        }
    }

    /// A run requests a call to the catalogue.
    pub(super) fn record_call_demand(&mut self) {
        if let Some(spending) = &mut self.quota {
            let needs_probe = spending
                .reported
                .get(CATALOGUE)
                .is_some_and(|(remaining, is_failing)| *is_failing || remaining.probes_only);
            spending.record_demand(
                CATALOGUE,
                if needs_probe {
                    CallKind::Probe
                } else {
                    CallKind::FirstCall
                },
            );
        }
    }

    /// A call to the catalogue has ended; `wants_retry` if a retry may follow.
    pub(super) fn record_call_end(&mut self, succeeded: bool, wants_retry: bool) {
        if let Some(spending) = &mut self.quota {
            spending.client.record_call_end(
                monotonic_seconds(),
                CATALOGUE,
                call_outcome(succeeded),
            );
            if wants_retry {
                spending.record_demand(CATALOGUE, CallKind::Retry);
            }
        }
    }

    /// The remaining quota for the caller of a named dependency; `None` if the dependency has no
    /// budget. `unused` is what the caller has not used of the quota that it received before, and
    /// `is_failing` whether the dependency fails for it.
    pub fn update_quota(
        &mut self,
        name: &str,
        unused: Remaining,
        is_failing: bool,
        demand: CallDemand,
    ) -> Option<Remaining> {
        self.quota
            .as_mut()?
            .update(name, unused, is_failing, demand)
    }

    /// Named dependencies with a budget, or whose removed budget was not reported yet.
    pub fn limited_dependencies(&self) -> Vec<String> {
        let Some(spending) = &self.quota else {
            return Vec::new();
        };
        let names = spending
            .client
            .limited_kinds()
            .map(|(name, _)| name)
            .chain(spending.reported.keys());
        let mut names: Vec<String> = names.filter(|name| *name != CATALOGUE).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// A call to a named dependency is needed, or has ended with success or failure.
    pub fn record_dependency_call(
        &mut self,
        name: &str,
        demand: Option<CallKind>,
        succeeded: Option<bool>,
    ) {
        let Some(spending) = &mut self.quota else {
            return;
        };
        if let Some(kind) = demand {
            spending.record_demand(name, kind);
        }
        if let Some(succeeded) = succeeded {
            spending
                .client
                .record_call_end(monotonic_seconds(), name, call_outcome(succeeded));
        }
    }

    /// A call waits for a connection to be opened.
    pub fn record_connection_demand(&mut self, name: &str) {
        if let Some(spending) = &mut self.quota {
            spending.record_demand(name, CallKind::NewConnection);
        }
    }

    /// Whether a connection may be opened now. If so, it is subtracted from the quota.
    pub fn try_acquire_connection(&mut self, name: &str) -> bool {
        let Some(spending) = &mut self.quota else {
            return true;
        };
        let now = monotonic_seconds();
        if !spending
            .client
            .is_limited(now, name, CallKind::NewConnection)
        {
            return true;
        }
        spending.draw_from_reserve(now, name, CallKind::NewConnection);
        let is_allowed = spending.client.remaining_connections(now, name) > 0;
        if is_allowed {
            spending.spend(now, name, CallKind::NewConnection, 1);
        }
        self.count_quota_use();
        is_allowed
    }

    /// The quota of each budget, for status reports.
    pub fn quota_report(&self) -> Option<Value> {
        let spending = self.quota.as_ref()?;
        let now = monotonic_seconds();
        let report = |(name, kind): (&String, CallKind)| {
            json!({
                "dependency": name, "kind": kind, "share": spending.client.granted(now, name, kind),
                "fares": spending.client.phase(now, name),
            })
        };
        let all: Vec<Value> = spending.client.limited_kinds().map(report).collect();
        (!all.is_empty()).then_some(Value::from(all))
    }
}
