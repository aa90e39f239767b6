//! What operators ask of instances, and whether it can be had.

use super::{Command, Fleet, Refusal, Selector};
use crate::capacity;
use crate::fleet_spec::FleetSpec;
use crate::instance::Instance;
use crate::plan::{Kind, Plan, PlanState};

impl Fleet {
    /// The instances that are meant, in order.
    ///
    /// # Errors
    /// Names, groups or labels that nobody has.
    pub fn select(&self, selector: &Selector) -> Result<Vec<String>, Refusal> {
        let Selector {
            names,
            groups,
            labels,
        } = selector;
        if let Some(name) = names
            .iter()
            .find(|name| !self.instances.contains_key(*name))
        {
            return Err(Refusal(format!("there is no instance {name}")));
        }
        if let Some(group) = groups
            .iter()
            .find(|group| !self.wanted.groups.contains_key(*group))
        {
            return Err(Refusal(format!("there is no group {group}")));
        }
        let labelled = |one: &Instance| {
            let of = self
                .wanted
                .groups
                .get(&one.group)
                .map(|group| &group.labels);
            labels
                .iter()
                .all(|(key, value)| of.is_some_and(|of| of.get(key) == Some(value)))
        };
        let meant = |one: &&Instance| {
            (names.is_empty() || names.contains(&one.name))
                && (groups.is_empty() || groups.contains(&one.group))
                && labelled(one)
        };
        let mut all: Vec<&Instance> = self.instances.values().filter(meant).collect();
        all.sort_by_key(|one| (one.group.clone(), one.number));
        if all.is_empty() {
            return Err(Refusal("no instance is meant by this".into()));
        }
        Ok(all.into_iter().map(|one| one.name.clone()).collect())
    }

    /// The plan that a command would be, without beginning it.
    ///
    /// # Errors
    /// Why it can't be begun.
    pub fn plan_for(&self, selector: &Selector, command: &Command) -> Result<Plan, Refusal> {
        if let Some(plan) = self.plan.as_ref().filter(|plan| !plan.state.is_over()) {
            let (done, all) = plan.progress();
            let kind = plan.kind.name();
            return Err(Refusal(format!(
                "plan {} ({kind}, {done} of {all}) is under way",
                plan.number
            )));
        }
        let mut names = self.select(selector)?;
        let count = names.len() as u32;
        let (kind, at_once) = match command {
            Command::Start => (Kind::Start, count),
            Command::Drain {
                slowest_first,
                at_once,
            } => {
                if *slowest_first {
                    let slow = |name: &String| {
                        let report = self.instances.get(name).and_then(|one| one.report.as_ref());
                        report.and_then(|report| report.run_ms).unwrap_or(0.0)
                    };
                    names.sort_by(|a, b| slow(b).total_cmp(&slow(a)));
                }
                (Kind::Drain { within: None }, at_once.unwrap_or(count))
            }
            Command::Stop { within } => (
                Kind::Drain {
                    within: Some(*within),
                },
                count,
            ),
            Command::Restart => (Kind::Restart, self.wanted.change.out_at_once),
            Command::Upgrade { program } => (
                Kind::Upgrade {
                    program: program.clone(),
                },
                self.wanted.change.out_at_once,
            ),
        };
        Ok(Plan::new(self.plans + 1, kind, names, at_once))
    }

    /// Begins a plan; its number.
    ///
    /// # Errors
    /// Why it can't be begun.
    pub fn command(
        &mut self,
        now: f64,
        selector: &Selector,
        command: &Command,
    ) -> Result<u64, Refusal> {
        let plan = self.plan_for(selector, command)?;
        let number = plan.number;
        self.plans = number;
        self.note(
            None,
            format!(
                "plan {number}: {} of {} instances",
                plan.kind.name(),
                plan.targets.len()
            ),
        );
        self.plan = Some(plan);
        self.advance(now);
        Ok(number)
    }

    /// # Errors
    /// There is no plan that could be paused.
    pub fn pause(&mut self) -> Result<(), Refusal> {
        match &mut self.plan {
            Some(plan) if matches!(plan.state, PlanState::Running | PlanState::Waiting(_)) => {
                plan.state = PlanState::Paused;
                self.note(None, "the plan is paused");
                Ok(())
            }
            _ => Err(Refusal("no plan is running".into())),
        }
    }

    /// # Errors
    /// No plan is paused.
    pub fn resume(&mut self, now: f64) -> Result<(), Refusal> {
        match &mut self.plan {
            Some(plan) if plan.state == PlanState::Paused => {
                plan.state = PlanState::Running;
                self.note(None, "the plan goes on");
                self.advance(now);
                Ok(())
            }
            _ => Err(Refusal("no plan is paused".into())),
        }
    }

    /// Ends the plan where it stands: what is under way comes to its end, nothing further begins.
    ///
    /// # Errors
    /// There is no plan.
    pub fn abandon(&mut self) -> Result<(), Refusal> {
        match &mut self.plan {
            Some(plan) if !plan.state.is_over() => {
                plan.state = PlanState::Stopped("abandoned".into());
                self.note(None, "the plan is abandoned");
                Ok(())
            }
            _ => Err(Refusal("there is no plan under way".into())),
        }
    }

    /// Another count of a group: what is too many drains, what is too few starts.
    ///
    /// # Errors
    /// No such group, or no room for so many.
    pub fn scale(&mut self, now: f64, group: &str, count: u32) -> Result<(), Refusal> {
        let mut wanted = self.wanted.clone();
        let Some(of) = wanted.groups.get_mut(group) else {
            return Err(Refusal(format!("there is no group {group}")));
        };
        of.count = count;
        for (name, count) in &self.counts {
            if let Some(of) = wanted.groups.get_mut(name).filter(|_| name != group) {
                of.count = *count;
            }
        }
        capacity::check(&wanted).map_err(|misfit| Refusal(misfit.to_string()))?;
        self.counts.insert(group.to_owned(), count);
        self.note(None, format!("{group} is to have {count}"));
        self.make_instances(now);
        Ok(())
    }

    /// Another file. What changed in it counts from here on; running plans go on by it.
    ///
    /// # Errors
    /// It does not fit.
    pub fn apply(&mut self, now: f64, wanted: FleetSpec) -> Result<(), Refusal> {
        capacity::check(&wanted).map_err(|misfit| Refusal(misfit.to_string()))?;
        self.counts.clear();
        self.programs.clear();
        self.wanted = wanted;
        self.note(None, "another file counts");
        self.make_instances(now);
        for one in self.instances.values_mut().filter(|one| !one.state.is_up()) {
            if let Some(group) = self.wanted.groups.get(&one.group) {
                one.program = group.program.to_string_lossy().into_owned();
            }
        }
        Ok(())
    }

    // What is done.
}
