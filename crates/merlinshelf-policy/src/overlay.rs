//! Overlays a policy on an instance's own configuration: its settings and its dependencies.

use merlinshelf_admission::Settings;
use merlinshelf_dependencies::Dependencies;
use merlinshelf_quota::{CALLERS, CATALOGUE};

use crate::document::{OperationPolicy, Policy};
use crate::error::{Mismatch, PolicyMismatch};

/// The platform's list of operations; entry N has its fields under `Classes.N.`.
const OPERATIONS: &str = "Classes";
/// The platform's list of tenants.
const TENANTS: &str = "Tenants";
/// Objectives are in microseconds in the settings, and in milliseconds in a policy.
const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;

impl Policy {
    /// An instance's settings under the policy: names and values as the admission controller reads
    /// them.
    ///
    /// # Errors
    /// All operations and tenants that the settings do not have.
    pub fn settings(&self, base: &Settings) -> Result<Settings, PolicyMismatch> {
        let mut settings = base.clone();
        let mut mismatches = self.overlay_operations(base, &mut settings);
        mismatches.extend(self.overlay_tenants(base, &mut settings));
        if let Some(calls) = self.call_share {
            settings.insert("FamilyInfo.CallShare".into(), calls.to_string());
        }
        PolicyMismatch::check(mismatches)?;
        Ok(settings)
    }

    fn overlay_operations(&self, base: &Settings, settings: &mut Settings) -> Vec<Mismatch> {
        let mut mismatches = Vec::new();
        for (name, operation) in &self.operations {
            match position_by_name(base, OPERATIONS, name) {
                Some(position) => overlay_operation(settings, position, operation),
                None => mismatches.push(Mismatch::UnknownOperation {
                    operation: name.clone(),
                }),
            }
        }
        mismatches
    }

    fn overlay_tenants(&self, base: &Settings, settings: &mut Settings) -> Vec<Mismatch> {
        let quota_sum: f64 = (0..list_length(base, TENANTS))
            .map(|position| tenant_quota(base, position))
            .sum();
        let mut mismatches = Vec::new();
        for (tenant, fraction) in &self.tenants {
            match position_by_name_or_number(base, TENANTS, tenant) {
                Some(position) => {
                    settings.insert(quota_key(position), (fraction * quota_sum).to_string());
                }
                None => mismatches.push(Mismatch::UnknownTenant {
                    tenant: tenant.clone(),
                }),
            }
        }
        mismatches
    }

    /// The dependencies of the operators' file under the policy; `None` if the file has none.
    ///
    /// # Errors
    /// All dependencies and calls that the operators' file does not have; if there are none, all
    /// findings of the consistency check of the result.
    pub fn dependencies(
        &self,
        base: Option<&Dependencies>,
    ) -> Result<Option<Dependencies>, PolicyMismatch> {
        let mut dependencies = base.cloned().unwrap_or_default();
        let mut mismatches = self.overlay_dependencies(&mut dependencies);
        mismatches.extend(self.unknown_budget_dependencies(&dependencies));
        mismatches.extend(self.overlay_calls(&mut dependencies));
        PolicyMismatch::check(mismatches)?;
        if let Err(findings) = dependencies.check() {
            let mismatches = findings
                .iter()
                .map(|finding| Mismatch::InvalidDependencies {
                    finding: finding.to_string(),
                });
            PolicyMismatch::check(mismatches.collect())?;
        }
        Ok(base.map(|_| dependencies))
    }

    fn overlay_dependencies(&self, dependencies: &mut Dependencies) -> Vec<Mismatch> {
        let mut mismatches = Vec::new();
        for (name, policy) in &self.dependencies {
            let Some(dependency) = dependencies.dependencies.get_mut(name) else {
                mismatches.push(Mismatch::UnknownDependency {
                    dependency: name.clone(),
                });
                continue;
            };
            dependency.max_ejected_share = policy.out_most.unwrap_or(dependency.max_ejected_share);
            dependency.subset_size = policy.subset.or(dependency.subset_size);
        }
        mismatches
    }

    fn unknown_budget_dependencies(&self, dependencies: &Dependencies) -> Vec<Mismatch> {
        let is_known = |name: &str| {
            name == CATALOGUE || name == CALLERS || dependencies.dependencies.contains_key(name)
        };
        self.budgets
            .keys()
            .filter(|name| !is_known(name))
            .map(|name| Mismatch::UnknownBudgetDependency {
                dependency: name.clone(),
            })
            .collect()
    }

    fn overlay_calls(&self, dependencies: &mut Dependencies) -> Vec<Mismatch> {
        let mut mismatches = Vec::new();
        for (operation, policy) in &self.operations {
            for (dependency, fraction) in &policy.calls {
                if !overlay_call(dependencies, operation, dependency, *fraction) {
                    mismatches.push(Mismatch::UnknownCall {
                        operation: operation.clone(),
                        dependency: dependency.clone(),
                    });
                }
            }
        }
        mismatches
    }
}

fn overlay_operation(settings: &mut Settings, position: usize, operation: &OperationPolicy) {
    let mut set = |field: &str, value: Option<f64>| {
        if let Some(value) = value {
            settings.insert(
                format!("{OPERATIONS}.{position}.{field}"),
                value.to_string(),
            );
        }
    };
    let objective_us = operation
        .aim_ms
        .map(|objective_ms| objective_ms * MICROSECONDS_PER_MILLISECOND);
    set("AimUs", objective_us);
    set("Worth", operation.worth);
    set("LateWorth", operation.late);
    // An objective of 0 can never be met: the admission controller rejects all such invocations
    // (docs/design.md).
    set("AimUs", (operation.admit == Some(false)).then_some(0.0));
}

/// Sets the time fraction of all calls of an operation to a dependency; returns whether there are
/// any such calls.
fn overlay_call(
    dependencies: &mut Dependencies,
    operation: &str,
    dependency: &str,
    fraction: f64,
) -> bool {
    let Some(operation) = dependencies.operations.get_mut(operation) else {
        return false;
    };
    let mut is_known = false;
    for call in &mut operation.calls {
        if call.dependency == dependency {
            call.deadline_share = Some(fraction);
            is_known = true;
        }
    }
    is_known
}

fn quota_key(position: usize) -> String {
    format!("{TENANTS}.{position}.QuotaPerS")
}

/// A tenant's quota in invocations per second; 0 if it is missing or invalid in the settings.
fn tenant_quota(settings: &Settings, position: usize) -> f64 {
    settings
        .get(&quota_key(position))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0)
}

fn list_length(settings: &Settings, list: &str) -> usize {
    settings
        .get(&format!("{list}.count"))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// The position of the list entry with this `Name`. A number never counts as a name.
fn position_by_name(settings: &Settings, list: &str, name: &str) -> Option<usize> {
    if name.parse::<usize>().is_ok() {
        return None;
    }
    position_by_name_or_number(settings, list, name)
}

/// The position of the list entry with this `Name`, or else the position that `name` gives as a
/// number.
fn position_by_name_or_number(settings: &Settings, list: &str, name: &str) -> Option<usize> {
    let length = list_length(settings, list);
    let has_name = |position: &usize| {
        settings
            .get(&format!("{list}.{position}.Name"))
            .is_some_and(|entry_name| entry_name == name)
    };
    (0..length)
        .find(has_name)
        .or_else(|| name.parse().ok().filter(|position| *position < length))
}
