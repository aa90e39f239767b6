//! How a dependency fares for all in one zone: when it fails for most it is called by probes alone, and when it answers again
//! it is opened in steps.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How a dependency fares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Called as each sees fit.
    #[default]
    #[serde(rename = "well")]
    Healthy,
    /// It answers again, and first calls are bounded.
    #[serde(rename = "returns")]
    Recovering,
    /// Probes alone.
    #[serde(rename = "fails")]
    Failing,
}

/// What was told, as long as it holds: with the time until which it does.
pub(crate) fn phase_at(told: Option<(Phase, f64)>, now: f64) -> Option<Phase> {
    told.filter(|(_, until)| now < *until)
        .map(|(phase, _)| phase)
}

/// What is seen of a dependency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DependencyHealth {
    /// Who has called it lately.
    #[serde(rename = "instances")]
    pub calling_instances: u32,
    /// Of these, to whom it fails.
    #[serde(rename = "failing")]
    pub failing_instances: u32,
    /// Calls that ended since the last word of this.
    #[serde(rename = "good")]
    pub succeeded_calls: u32,
    #[serde(rename = "bad")]
    pub failed_calls: u32,
}

impl DependencyHealth {
    pub fn add(&mut self, other: &DependencyHealth) {
        self.calling_instances += other.calling_instances;
        self.failing_instances += other.failing_instances;
        self.succeeded_calls = self.succeeded_calls.saturating_add(other.succeeded_calls);
        self.failed_calls = self.failed_calls.saturating_add(other.failed_calls);
    }
}

/// From one step of the opening to the next, seconds: two rounds while something does not fare well. What a step did is heard in
/// the next one; it has let in twice as much by then at the most. With half a second the fleet was a second longer in coming back.
pub const STEP_S: f64 = 0.2;
/// The first step lets in this part of the budget of first calls, which is what the dependency bears when it has only just come
/// back: two doublings open it. With an eighth 3% of the billed value of an outage of 8 s were lost, most of it after its end.
const FIRST_PART: u32 = 4;

fn first_step(most: u32) -> u32 {
    (most / FIRST_PART).max(1)
}

/// From which part of good ends on a step is taken further, and under which the dependency is taken to fail again.
const GOOD: f64 = 0.9;
/// While more than one in five goes well, to hold all back costs more than it saves.
const FAILING: f64 = 0.2;
/// A part of good ends that is no better than this at half as many calls is not for want of room: the dependency is so.
const BETTER: f64 = 0.1;
/// Steps without any call after which it is opened further all the same: nobody needs it, and nothing can be seen of it.
const UNSEEN: u32 = 4;

/// The state machine of one dependency in one zone, as whoever leads has it. `now` is its own clock in seconds.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// For how long a host's word counts, seconds.
    lately: f64,
    hosts: BTreeMap<String, (f64, DependencyHealth)>,
    phase: Phase,
    /// It is what was seen, or what an earlier leader had told.
    known: bool,
    step: u32,
    stepped_at: f64,
    /// Ends since the last step, and steps that saw none.
    seen: (u32, u32),
    unseen: u32,
    /// The part of good ends for which a step was halved last.
    halved_at: Option<f64>,
}

impl Recovery {
    /// Nothing is known of it yet: it is opened in steps, as if it had failed. `most` is the budget of first calls, none where they
    /// are not bounded.
    pub fn new(now: f64, lately: f64, most: Option<u32>) -> Recovery {
        Recovery {
            lately,
            hosts: BTreeMap::new(),
            phase: if most.is_some() {
                Phase::Recovering
            } else {
                Phase::Healthy
            },
            known: false,
            step: most.map_or(1, first_step),
            stepped_at: now,
            seen: (0, 0),
            unseen: 0,
            halved_at: None,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// First calls a second that all of this zone together may make while it returns.
    pub fn calls_per_second(&self) -> u32 {
        if self.phase == Phase::Recovering {
            self.step
        } else {
            0
        }
    }

    /// What a host was told last by whoever led before: gone on with, as long as nothing else is known.
    pub fn resume_from(&mut self, now: f64, phase: Phase, most: Option<u32>) {
        if !self.known {
            self.turn(now, phase, most.map_or(1, first_step));
        }
    }

    /// A host says what its instances see.
    pub fn record_health(&mut self, now: f64, host: &str, sight: DependencyHealth) {
        self.seen = (
            self.seen.0.saturating_add(sight.succeeded_calls),
            self.seen.1.saturating_add(sight.failed_calls),
        );
        self.hosts.insert(host.to_owned(), (now, sight));
        self.hosts.retain(|_, (at, _)| now <= *at + self.lately);
    }

    /// Goes on with what is known by now; `most` is the budget of first calls, none where they are not bounded.
    pub fn advance(&mut self, now: f64, most: Option<u32>) {
        let all = self
            .hosts
            .values()
            .fold(DependencyHealth::default(), |mut sum, (_, sight)| {
                sum.add(sight);
                sum
            });
        let (good, bad) = self.seen;
        let part = f64::from(good) / f64::from((good + bad).max(1));
        match self.phase {
            Phase::Healthy => {
                // For most of those who call it. One who says so alone, or one zone's, moves nobody else.
                if 2 * all.failing_instances > all.calling_instances && part < FAILING {
                    self.turn(now, Phase::Failing, 1);
                } else if now >= self.stepped_at + STEP_S {
                    self.turn(now, Phase::Healthy, 1);
                }
            }
            Phase::Failing => {
                if good > 0 && part >= FAILING {
                    match most {
                        Some(most) => self.turn(now, Phase::Recovering, first_step(most)),
                        None => self.turn(now, Phase::Healthy, 1),
                    }
                } else if now >= self.stepped_at + STEP_S {
                    self.turn(now, Phase::Failing, 1);
                }
            }
            Phase::Recovering => {
                if now < self.stepped_at + STEP_S {
                    return;
                }
                let seen = good + bad > 0;
                let unseen = if seen { 0 } else { self.unseen + 1 };
                let so = self.halved_at.is_some_and(|before| part <= before + BETTER);
                let further = if seen {
                    part >= GOOD || so && part >= FAILING
                } else {
                    unseen >= UNSEEN
                };
                let most = most.unwrap_or(0);
                if further && self.step >= most {
                    self.turn(now, Phase::Healthy, 1);
                } else if further {
                    self.turn(now, Phase::Recovering, (2 * self.step).min(most));
                } else if seen && part < FAILING {
                    self.turn(now, Phase::Failing, 1);
                } else {
                    if seen {
                        self.halved_at = Some(part);
                    }
                    self.turn(
                        now,
                        Phase::Recovering,
                        if seen { self.step / 2 } else { self.step }.max(1),
                    );
                    self.unseen = unseen;
                }
            }
        }
    }

    fn turn(&mut self, now: f64, phase: Phase, step: u32) {
        (self.phase, self.step, self.stepped_at, self.known) = (phase, step, now, true);
        (self.seen, self.unseen) = ((0, 0), 0);
        if phase != Phase::Recovering {
            self.halved_at = None;
        }
        if phase == Phase::Recovering {
            // Who has not called it since it failed says that it fails until it does.
            self.hosts
                .values_mut()
                .for_each(|(_, sight)| sight.failing_instances = 0);
        }
    }
}
