//! The policy that holds for all instances, as this one acts on it: a lease is looked at before the
//! module is told anything, and a change is a new module that takes up what the former one had,
//! between two events.

use std::panic::catch_unwind;

use log::{error, info};
use merlinshelf_admission::{AdmissionController, Settings};
use merlinshelf_policy::lease_holder::HandoverState;
use merlinshelf_policy::{EffectivePolicy, Heartbeat, InstanceStatus, LeaseHolder, Policy};
use merlinshelf_quota::budget;

use super::quota::QuotaSpending;
use super::{CallDemand, Exchange, monotonic, unix_ms};
use crate::operator::PolicySettings;

/// What else is laid under a policy: told whenever it is another one. Whether it could be is asked
/// first.
pub trait PolicyOverlay {
    /// # Errors
    /// What does not fit.
    fn fits(&self, policy: &Policy) -> Result<(), String>;
    fn lay(&self, policy: &Policy);
}

pub struct ActivePolicy {
    holder: LeaseHolder,
    acting: EffectivePolicy,
    /// The settings as they were configured.
    base: Settings,
    laid: Box<dyn PolicyOverlay>,
}

/// A number that no other process of this machine has, nor this one at another time.
fn life() -> u64 {
    ((unix_ms() * 1e3) as u64) << 22 ^ u64::from(std::process::id())
}

impl Exchange {
    /// Switches the policy for all on.
    ///
    /// # Errors
    /// The base policy does not fit this instance.
    pub fn enable_policy(
        &mut self,
        of: &PolicySettings,
        laid: Box<dyn PolicyOverlay>,
    ) -> Result<(), String> {
        let base = std::mem::take(&mut self.settings);
        let settings = of
            .base
            .settings(&base)
            .map_err(|mismatch| mismatch.to_string())
            .and_then(|settings| laid.fits(&of.base).map(|()| settings));
        let settings = settings.map_err(|why| format!("policy.base: {why}"));
        let life = life();
        let holder = LeaseHolder::new(life, of.base.clone(), of.without, of.drift);
        self.quota = Some(QuotaSpending::new(life, self.seed, of));
        let acting = holder.effective_policy(monotonic());
        laid.lay(&of.base);
        self.settings = settings?;
        self.policy = Some(ActivePolicy {
            holder,
            acting,
            base,
            laid,
        });
        Ok(())
    }

    /// What a successor goes on with. This one holds no lease from here on, also if it takes back.
    pub(super) fn begin_policy_handover(&mut self) -> (Vec<u8>, Vec<u8>) {
        let life = life();
        self.apply_quota(CallDemand::default()); // what was spent since is counted
        let passed = self
            .policy
            .as_mut()
            .map(|policed| policed.holder.begin_handover(life));
        let policy = passed
            .and_then(|passed| rmp_serde::to_vec_named(&passed).ok())
            .unwrap_or_default();
        (
            policy,
            self.quota
                .as_mut()
                .map(|spending| spending.pass(life))
                .unwrap_or_default(),
        )
    }

    /// Goes on with what a predecessor passed.
    pub fn resume_policy(&mut self, passed: &[u8], shares: &[u8]) {
        if let Some(spending) = self.quota.as_mut().filter(|_| !shares.is_empty()) {
            spending.take(shares);
        }
        if let Some(policed) = &mut self.policy {
            let passed: HandoverState = rmp_serde::from_slice(passed).unwrap_or_default();
            policed.holder.resume(passed);
        }
    }

    /// Whether it may take invocations: it knows which policy holds, or has stopped waiting.
    pub fn is_policy_ready(&self) -> bool {
        self.policy
            .as_ref()
            .is_none_or(|policed| policed.holder.is_ready())
    }

    /// Nobody is waited for any more.
    pub fn stop_waiting_for_policy(&mut self) {
        if let Some(policed) = &mut self.policy {
            policed.holder.stop_waiting_for_lease();
        }
    }

    /// A beat of this host's agent; none where policies are off.
    pub fn handle_heartbeat(&mut self, beat: Heartbeat) -> Option<InstanceStatus> {
        let seed = self.seed;
        let policed = self.policy.as_mut()?;
        let ActivePolicy {
            holder, base, laid, ..
        } = policed;
        let given = beat.quota_grants.clone();
        let aside = holder.base_policy().budgets.clone();
        let mut said = holder.handle_heartbeat(monotonic(), beat, |policy| {
            let settings = policy.settings(base)?;
            laid.fits(policy)?;
            budget::validate_against_reserve(&policy.budgets, &aside, None)?;
            AdmissionController::start(0.0, seed, settings).map_err(|error| error.to_string())?;
            Ok(())
        });
        self.apply_current_policy();
        if let Some(spending) = &mut self.quota {
            given.iter().for_each(|given| spending.heard(given));
            said.quota_requests = spending.asks();
        }
        Some(said)
    }

    /// What is laid beside the settings is laid anew, for whoever changed what it is laid on.
    pub fn reapply_overlay(&self) {
        if let Some(policed) = &self.policy {
            policed.laid.lay(policed.holder.policy(policed.acting));
        }
    }

    pub fn policy_status(&self) -> Option<InstanceStatus> {
        self.policy
            .as_ref()
            .map(|policed| policed.holder.status(monotonic()))
    }

    /// How long callers are to stay away where nothing may be served.
    pub(super) fn rejection_by_policy(&self) -> Option<f64> {
        let away = self
            .policy
            .as_ref()
            .is_some_and(|policed| policed.acting == EffectivePolicy::RejectAll);
        let allowed = self
            .settings
            .get("Allowed.RetryAfter")
            .is_some_and(|text| text == "true");
        let most = self
            .settings
            .get("Allowed.MaxRetryAfterUs")
            .and_then(|text| text.parse::<f64>().ok());
        away.then(|| {
            if allowed {
                most.unwrap_or(0.0) / 1e6
            } else {
                0.0
            }
        })
    }

    /// Looks whether something else is to be acted on by now.
    pub(super) fn apply_current_policy(&mut self) {
        let Some(policed) = &mut self.policy else {
            return;
        };
        let acting = policed.holder.effective_policy(monotonic());
        if acting == policed.acting {
            return;
        }
        let before = std::mem::replace(&mut policed.acting, acting);
        let mut settings = match policed.holder.settings(acting, &policed.base) {
            Ok(settings) => settings,
            Err(why) => return error!("a policy that was found to fit does not: {why}"),
        };
        policed.laid.lay(policed.holder.policy(acting));
        if let Some(spending) = &mut self.quota {
            spending.bound(&policed.holder.policy(acting).budgets);
        }
        if let Some(fresh) = self.settings.get("FamilyInfo.FreshStart") {
            settings.insert("FamilyInfo.FreshStart".into(), fresh.clone());
        }
        self.settings = settings;
        self.counters.policies += 1;
        info!(before = format!("{before:?}"), acts = format!("{acting:?}"), in_hand = self.invocations.len(); "policy: acts on {acting:?}, before on {before:?}");
        self.replace_controller();
    }

    /// A new module under the settings as they are takes up all that the former one had.
    fn replace_controller(&mut self) {
        let Some(former) = self.controller.take() else {
            return;
        };
        let (seed, settings, learned) = (self.seed, self.settings.clone(), former.learned_state());
        match catch_unwind(|| AdmissionController::start(learned.engine_started_at, seed, settings))
        {
            Ok(Ok((mut controller, mut decisions))) => {
                controller.restore_learned_state(learned);
                controller.set_prior_estimates(self.prior_estimates.clone());
                let mut numbers: Vec<(u64, usize)> = self
                    .invocations
                    .all()
                    .into_iter()
                    .filter_map(|index| Some((self.invocations.get(index)?.arrival_order, index)))
                    .collect();
                numbers.sort_unstable();
                for (_, index) in numbers {
                    if let Some(it) = former.invocation(index) {
                        controller.restore_invocation(index, it.clone());
                    }
                }
                decisions.health = decisions.health.filter(|good| *good != self.is_healthy);
                self.controller = Some(controller);
                self.carry_out(decisions);
            }
            _ => {
                error!(
                    "the module does not start under another policy: it goes on under the former one"
                );
                self.controller = Some(former);
            }
        }
    }
}
