//! Validation and execution of operators' commands.

use super::{Command, Fleet, Selector};
use crate::capacity;
use crate::error::FleetError;
use crate::fleet_spec::FleetSpec;
use crate::instance::Instance;
use crate::plan::{Plan, PlanKind, PlanState};

impl Fleet {
    /// Names of the selected instances, ordered by group and index.
    ///
    /// # Errors
    /// [`FleetError`]: a name or a group is unknown, or no instance matches.
    pub fn select(&self, selector: &Selector) -> Result<Vec<String>, FleetError> {
        let is_unknown = |name: &&String| !self.instances.contains_key(*name);
        if let Some(name) = selector.names.iter().find(is_unknown) {
            return Err(FleetError::UnknownInstance { name: name.clone() });
        }
        let is_unknown = |group: &&String| !self.spec.groups.contains_key(*group);
        if let Some(group) = selector.groups.iter().find(is_unknown) {
            let group = group.clone();
            return Err(FleetError::UnknownGroup { group });
        }
        let mut selected: Vec<&Instance> = self
            .instances
            .values()
            .filter(|instance| self.matches(selector, instance))
            .collect();
        if selected.is_empty() {
            return Err(FleetError::NothingSelected);
        }
        selected.sort_by_key(|instance| (instance.group.clone(), instance.index));
        Ok(selected
            .into_iter()
            .map(|instance| instance.name.clone())
            .collect())
    }

    fn matches(&self, selector: &Selector, instance: &Instance) -> bool {
        let group = self.spec.groups.get(&instance.group);
        let has_label = |(key, value): &(String, String)| {
            group.is_some_and(|group| group.labels.get(key) == Some(value))
        };
        let Selector {
            names,
            groups,
            labels,
        } = selector;
        (names.is_empty() || names.contains(&instance.name))
            && (groups.is_empty() || groups.contains(&instance.group))
            && labels.iter().all(has_label)
    }

    /// Creates the plan for a command without starting it.
    ///
    /// # Errors
    /// [`FleetError`]: another plan is in progress, or the selector is invalid.
    pub fn plan_for(&self, selector: &Selector, command: &Command) -> Result<Plan, FleetError> {
        if let Some(plan) = self.plan.as_ref().filter(|plan| !plan.state.is_over()) {
            let progress = plan.progress();
            return Err(FleetError::PlanUnderWay {
                number: plan.number,
                kind: plan.kind.name(),
                done: progress.done,
                total: progress.total,
            });
        }
        let mut names = self.select(selector)?;
        let all = names.len() as u32;
        let max_unavailable = self.spec.change.out_at_once;
        let (kind, max_in_progress) = match command {
            Command::Start => (PlanKind::Start, all),
            Command::Drain {
                slowest_first,
                max_in_progress,
            } => {
                if *slowest_first {
                    names.sort_by(|left, right| self.run_ms(right).total_cmp(&self.run_ms(left)));
                }
                let kind = PlanKind::Drain {
                    timeout_seconds: None,
                };
                (kind, max_in_progress.unwrap_or(all))
            }
            Command::Stop { timeout_seconds } => {
                let timeout_seconds = Some(*timeout_seconds);
                (PlanKind::Drain { timeout_seconds }, all)
            }
            Command::Restart => (PlanKind::Restart, max_unavailable),
            Command::Upgrade { program } => {
                let program = program.clone();
                (PlanKind::Upgrade { program }, max_unavailable)
            }
        };
        let number = self.last_plan_number + 1;
        Ok(Plan::new(number, kind, names, max_in_progress))
    }

    /// Recent duration of an instance's runs, in milliseconds.
    fn run_ms(&self, name: &str) -> f64 {
        let report = self
            .instances
            .get(name)
            .and_then(|instance| instance.report.as_ref());
        report.and_then(|report| report.run_ms).unwrap_or(0.0)
    }

    /// Starts the plan for a command; returns its number.
    ///
    /// # Errors
    /// The same as for [`Fleet::plan_for`].
    pub fn begin_plan(
        &mut self,
        now: f64,
        selector: &Selector,
        command: &Command,
    ) -> Result<u64, FleetError> {
        let plan = self.plan_for(selector, command)?;
        let number = plan.number;
        let text = format!(
            "plan {number}: {} of {} instances",
            plan.kind.name(),
            plan.targets.len()
        );
        self.last_plan_number = number;
        self.add_event(None, text);
        self.plan = Some(plan);
        self.advance_plan(now);
        Ok(number)
    }

    /// Pauses the plan: changes in progress are completed, and no further ones begin.
    ///
    /// # Errors
    /// [`FleetError::NoRunningPlan`].
    pub fn pause(&mut self) -> Result<(), FleetError> {
        match &mut self.plan {
            Some(plan) if matches!(plan.state, PlanState::Running | PlanState::Waiting(_)) => {
                plan.state = PlanState::Paused;
                self.add_event(None, "the plan is paused");
                Ok(())
            }
            _ => Err(FleetError::NoRunningPlan),
        }
    }

    /// Resumes the paused plan.
    ///
    /// # Errors
    /// [`FleetError::NoPausedPlan`].
    pub fn resume(&mut self, now: f64) -> Result<(), FleetError> {
        match &mut self.plan {
            Some(plan) if plan.state == PlanState::Paused => {
                plan.state = PlanState::Running;
                self.add_event(None, "the plan goes on");
                self.advance_plan(now);
                Ok(())
            }
            _ => Err(FleetError::NoPausedPlan),
        }
    }

    /// Abandons the plan: changes in progress are completed, and no further ones begin.
    ///
    /// # Errors
    /// [`FleetError::NoPlan`].
    pub fn abandon(&mut self) -> Result<(), FleetError> {
        match &mut self.plan {
            Some(plan) if !plan.state.is_over() => {
                plan.state = PlanState::Stopped("abandoned".into());
                self.add_event(None, "the plan is abandoned");
                Ok(())
            }
            _ => Err(FleetError::NoPlan),
        }
    }

    /// Sets the number of a group's instances: surplus ones are drained, missing ones started.
    ///
    /// # Errors
    /// [`FleetError`]: there is no such group, or the instances do not fit the host.
    pub fn scale(&mut self, now: f64, group_name: &str, count: u32) -> Result<(), FleetError> {
        let mut spec = self.spec.clone();
        for (name, count) in &self.group_counts {
            if let Some(group) = spec.groups.get_mut(name) {
                group.count = *count;
            }
        }
        let Some(group) = spec.groups.get_mut(group_name) else {
            let group = group_name.to_owned();
            return Err(FleetError::UnknownGroup { group });
        };
        group.count = count;
        capacity::check(&spec)?;
        self.group_counts.insert(group_name.to_owned(), count);
        self.add_event(None, format!("{group_name} is to have {count}"));
        self.create_instances(now);
        Ok(())
    }

    /// Replaces the specification. A plan in progress continues under the new one.
    ///
    /// # Errors
    /// [`FleetError::Capacity`]: the instances do not fit the host.
    pub fn apply(&mut self, now: f64, spec: FleetSpec) -> Result<(), FleetError> {
        capacity::check(&spec)?;
        self.group_counts.clear();
        self.group_programs.clear();
        self.spec = spec;
        self.add_event(None, "another file counts");
        self.create_instances(now);
        for instance in self.instances.values_mut() {
            let group = self.spec.groups.get(&instance.group);
            if let Some(group) = group.filter(|_| !instance.state.has_process()) {
                instance.program = group.program.to_string_lossy().into_owned();
            }
        }
        Ok(())
    }
}
