//! The policy by lease, as this instance acts on it. The lease is checked before each event. When
//! another policy comes into force, a new admission controller takes over the state of the former
//! one between two events.

use std::panic::catch_unwind;

use log::{error, info};
use merlinshelf_admission::{AdmissionController, Settings};
use merlinshelf_policy::lease_holder::HandoverState;
use merlinshelf_policy::{EffectivePolicy, Heartbeat, InstanceStatus, LeaseHolder, Policy};
use merlinshelf_quota::budget;

use super::quota::QuotaSpending;
use super::{CallDemand, Exchange, monotonic_seconds, unix_ms};
use crate::operator::PolicySettings;

/// Applies the parts of a policy that are not settings of the admission controller. A policy is
/// checked before it comes into force.
pub trait PolicyOverlay {
    /// Whether the policy could be applied.
    ///
    /// # Errors
    /// What in the policy does not fit this instance.
    fn check(&self, policy: &Policy) -> Result<(), String>;
    /// Called each time another policy comes into force.
    fn apply(&self, policy: &Policy);
}

/// The policy that this instance acts on, and its lease.
pub struct ActivePolicy {
    holder: LeaseHolder,
    effective: EffectivePolicy,
    /// The settings as they were configured, without any policy.
    configured: Settings,
    overlay: Box<dyn PolicyOverlay>,
}

/// A number that no other process of this host uses, nor this process at another time.
fn new_incarnation() -> u64 {
    ((unix_ms() * 1e3) as u64) << 22 ^ u64::from(std::process::id())
}

impl Exchange {
    /// Enables policies by lease, beginning with the base policy.
    ///
    /// # Errors
    /// The base policy does not fit this instance.
    pub fn enable_policy(
        &mut self,
        policy_settings: &PolicySettings,
        overlay: Box<dyn PolicyOverlay>,
    ) -> Result<(), String> {
        let configured = std::mem::take(&mut self.settings);
        let base = &policy_settings.base;
        let settings = base
            .settings(&configured)
            .map_err(|mismatch| mismatch.to_string())
            .and_then(|settings| overlay.check(base).map(|()| settings));
        let settings = settings.map_err(|reason| format!("policy.base: {reason}"));
        let incarnation = new_incarnation();
        let holder = LeaseHolder::new(
            incarnation,
            base.clone(),
            policy_settings.without,
            policy_settings.drift,
        );
        self.quota = Some(QuotaSpending::new(incarnation, self.seed, policy_settings));
        let effective = holder.effective_policy(monotonic_seconds());
        overlay.apply(base);
        self.settings = settings?;
        self.policy = Some(ActivePolicy {
            holder,
            effective,
            configured,
            overlay,
        });
        Ok(())
    }

    /// The policy lease and the quotas for a successor, encoded. This process holds none from now on,
    /// also if it recovers from a failed handover.
    pub(super) fn begin_policy_handover(&mut self) -> (Vec<u8>, Vec<u8>) {
        let incarnation = new_incarnation();
        self.apply_quota(CallDemand::default()); // subtracts what was used since the last event
        let handed_over = self
            .policy
            .as_mut()
            .map(|active| active.holder.begin_handover(incarnation));
        let policy = handed_over
            .and_then(|state| rmp_serde::to_vec_named(&state).ok())
            .unwrap_or_default();
        (
            policy,
            self.quota
                .as_mut()
                .map(|spending| spending.begin_handover(incarnation))
                .unwrap_or_default(),
        )
    }

    /// Continues with the encoded policy lease and quotas of a predecessor.
    pub fn resume_policy(&mut self, policy: &[u8], quota: &[u8]) {
        if let Some(spending) = self.quota.as_mut().filter(|_| !quota.is_empty()) {
            spending.resume(quota);
        }
        if let Some(active) = &mut self.policy {
            let state: HandoverState = rmp_serde::from_slice(policy).unwrap_or_default();
            active.holder.resume(state);
        }
    }

    /// Whether invocations may be accepted: the instance knows which policy is in force, or has
    /// stopped waiting for a lease.
    pub fn is_policy_ready(&self) -> bool {
        self.policy
            .as_ref()
            .is_none_or(|active| active.holder.is_ready())
    }

    /// Stops waiting for a policy lease.
    pub fn stop_waiting_for_policy(&mut self) {
        if let Some(active) = &mut self.policy {
            active.holder.stop_waiting_for_lease();
        }
    }

    /// Handles a heartbeat of this host's agent. The response; `None` if policies are disabled.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat) -> Option<InstanceStatus> {
        let seed = self.seed;
        let active = self.policy.as_mut()?;
        let ActivePolicy {
            holder,
            configured,
            overlay,
            ..
        } = active;
        let grants = heartbeat.quota_grants.clone();
        let reserve = holder.base_policy().budgets.clone();
        let mut status = holder.handle_heartbeat(monotonic_seconds(), heartbeat, |policy| {
            let settings = policy.settings(configured)?;
            overlay.check(policy)?;
            budget::validate_against_reserve(&policy.budgets, &reserve, None)?;
            AdmissionController::start(0.0, seed, settings).map_err(|error| error.to_string())?;
            Ok(())
        });
        self.apply_current_policy();
        if let Some(spending) = &mut self.quota {
            grants
                .iter()
                .for_each(|grants| spending.handle_grants(grants));
            status.quota_requests = spending.request();
        }
        Some(status)
    }

    /// Applies the overlay again, after the configuration that it modifies has changed.
    pub fn reapply_overlay(&self) {
        if let Some(active) = &self.policy {
            active.overlay.apply(active.holder.policy(active.effective));
        }
    }

    pub fn policy_status(&self) -> Option<InstanceStatus> {
        self.policy
            .as_ref()
            .map(|active| active.holder.status(monotonic_seconds()))
    }

    /// The seconds after which callers may retry, if the policy rejects all invocations.
    pub(super) fn rejection_by_policy(&self) -> Option<f64> {
        let rejects_all = self
            .policy
            .as_ref()
            .is_some_and(|active| active.effective == EffectivePolicy::RejectAll);
        let allows_retry_after = self
            .settings
            .get("Allowed.RetryAfter")
            .is_some_and(|text| text == "true");
        let max_retry_after_us = self
            .settings
            .get("Allowed.MaxRetryAfterUs")
            .and_then(|text| text.parse::<f64>().ok());
        rejects_all.then(|| {
            if allows_retry_after {
                max_retry_after_us.unwrap_or(0.0) / 1e6
            } else {
                0.0
            }
        })
    }

    /// Applies the policy that is in force now, if it differs from the last one.
    pub(super) fn apply_current_policy(&mut self) {
        let Some(active) = &mut self.policy else {
            return;
        };
        let effective = active.holder.effective_policy(monotonic_seconds());
        if effective == active.effective {
            return;
        }
        let previous = std::mem::replace(&mut active.effective, effective);
        let mut settings = match active.holder.settings(effective, &active.configured) {
            Ok(settings) => settings,
            Err(reason) => {
                return error!("policy not applied, although its check passed: {reason}");
            }
        };
        active.overlay.apply(active.holder.policy(effective));
        if let Some(spending) = &mut self.quota {
            spending.set_budgets(&active.holder.policy(effective).budgets);
        }
        if let Some(fresh) = self.settings.get("FamilyInfo.FreshStart") {
            settings.insert("FamilyInfo.FreshStart".into(), fresh.clone());
        }
        self.settings = settings;
        self.counters.policies += 1;
        info!(before = format!("{previous:?}"), acts = format!("{effective:?}"), in_hand = self.invocations.len(); "policy changed from {previous:?} to {effective:?}");
        self.replace_controller();
    }

    /// Starts an admission controller with the current settings, which takes over the state of the
    /// former one.
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
                let mut indexes: Vec<(u64, usize)> = self
                    .invocations
                    .all()
                    .into_iter()
                    .filter_map(|index| Some((self.invocations.get(index)?.arrival_order, index)))
                    .collect();
                indexes.sort_unstable();
                for (_, index) in indexes {
                    if let Some(state) = former.invocation(index) {
                        controller.restore_invocation(index, state.clone());
                    }
                }
                decisions.health = decisions
                    .health
                    .filter(|is_healthy| *is_healthy != self.is_healthy);
                self.controller = Some(controller);
                self.carry_out(decisions);
            }
            _ => {
                error!(
                    "admission controller not started under the new policy: \
                     the former controller continues"
                );
                self.controller = Some(former);
            }
        }
    }
}
