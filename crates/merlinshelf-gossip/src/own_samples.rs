//! Between the decision module and the book: what the module has learnt as figures, and what is believed in the module's form.

use std::collections::VecDeque;

use merlinshelf_admission::{LearnedState, PriorEstimate, PriorEstimates};

use crate::observation::Metric;
use crate::observation_store::ObservationStore;

/// What figures are of, here. Figures of an engine hold for engines of one kind only, those of a dependency for all that
/// share it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope {
    pub engine: String,
    pub dependency: String,
    /// Names of the operations, in the order of the settings.
    pub operations: Vec<String>,
    /// For how long callers keep a connection, seconds; those that came back within it came back.
    pub keep_idle: Option<u64>,
}

/// One figure out of what the module has learnt; `age` is how long ago the newest of its samples was taken, seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub subject: Metric,
    pub value: f64,
    pub count: u32,
    pub age: f64,
}

fn mean(samples: &VecDeque<f64>) -> f64 {
    samples.iter().sum::<f64>() / samples.len().max(1) as f64
}

impl Scope {
    fn run(&self, recent: bool, operation: &str) -> Metric {
        let (engine, operation) = (self.engine.clone(), operation.to_owned());
        if recent {
            Metric::RunRecent { engine, operation }
        } else {
            Metric::RunLowest { engine, operation }
        }
    }

    fn below(&self, operation: &str) -> Metric {
        Metric::RunBelow {
            dependency: self.dependency.clone(),
            operation: operation.to_owned(),
        }
    }

    /// The figures of what was learnt, as of `now` on the module's clock.
    pub fn seen(&self, now: f64, learnt: &LearnedState) -> Vec<Seen> {
        let mut all = Vec::new();
        let mut add = |subject: Metric, value: f64, count: usize, age: f64| {
            if count > 0 {
                all.push(Seen {
                    subject,
                    value,
                    count: count as u32,
                    age: age.max(0.0),
                });
            }
        };
        let ran = now - learnt.last_progress_at;
        for (name, of) in self.operations.iter().zip(&learnt.operations) {
            let (took, cost) = (
                of.run_durations.iter().sum::<f64>(),
                of.run_costs.iter().sum::<f64>(),
            );
            add(
                self.run(true, name),
                took / cost.max(1e-9),
                of.run_durations.len(),
                ran,
            );
            add(
                self.run(false, name),
                of.lowest_duration,
                of.run_durations.len(),
                ran,
            );
            if of.downstream_durations.iter().any(|below| *below > 0.0) {
                add(
                    self.below(name),
                    mean(&of.downstream_durations),
                    of.downstream_durations.len(),
                    ran,
                );
            }
        }
        let runs = learnt
            .operations
            .iter()
            .map(|of| of.run_durations.len())
            .sum();
        add(
            Metric::Limit {
                engine: self.engine.clone(),
            },
            learnt.concurrency_limit,
            runs,
            ran,
        );
        let dependency = || self.dependency.clone();
        let called = learnt.calls.back().map_or(5.0, |(_, end)| now - end);
        let calls = learnt.call_durations.len();
        add(
            Metric::CallRecent {
                dependency: dependency(),
            },
            mean(&learnt.call_durations),
            calls,
            called,
        );
        // Of fewer the module has not taken its lowest yet.
        if learnt.lowest_call_mean > 0.0 && calls >= 8 {
            add(
                Metric::CallLowest {
                    dependency: dependency(),
                },
                learnt.lowest_call_mean,
                calls,
                called,
            );
            add(
                Metric::CallLimit {
                    dependency: dependency(),
                },
                learnt.call_limit,
                calls,
                called,
            );
        }
        let failures = learnt.call_failures;
        if failures > 0 || calls > 0 {
            let age = if failures > 0 {
                now - learnt.call_failed_at
            } else {
                called
            };
            let count = calls.max(failures as usize).min(24);
            add(
                Metric::CallFailures {
                    dependency: dependency(),
                },
                f64::from(failures),
                count,
                age,
            );
        }
        add(
            Metric::CallersAgain,
            mean(&learnt.retry_marks),
            learnt.retry_marks.len(),
            ran,
        );
        if let Some(idle) = self.keep_idle {
            let back = learnt
                .return_gaps
                .iter()
                .filter(|gap| **gap <= idle as f64)
                .count() as f64;
            add(
                Metric::CallersBack,
                back / learnt.return_gaps.len().max(1) as f64,
                learnt.return_gaps.len(),
                ran,
            );
        }
        all
    }

    /// What is believed of these on the word of others.
    pub fn beliefs(&self, now: f64, book: &ObservationStore) -> PriorEstimates {
        let of = |subject: Metric| {
            book.believe(now, &subject).map(|it| PriorEstimate {
                value: it.value,
                weight: it.weight,
            })
        };
        let each = |subject: &dyn Fn(&str) -> Metric| -> Vec<Option<PriorEstimate>> {
            self.operations
                .iter()
                .map(|name| of(subject(name)))
                .collect()
        };
        let dependency = || self.dependency.clone();
        PriorEstimates {
            run_durations: each(&|name| self.run(true, name)),
            lowest_durations: each(&|name| self.run(false, name)),
            downstream_durations: each(&|name| self.below(name)),
            concurrency_limit: of(Metric::Limit {
                engine: self.engine.clone(),
            }),
            call_lowest: of(Metric::CallLowest {
                dependency: dependency(),
            }),
            call_limit: of(Metric::CallLimit {
                dependency: dependency(),
            }),
            call_failures: of(Metric::CallFailures {
                dependency: dependency(),
            }),
            retry_share: of(Metric::CallersAgain),
            returning_caller_share: of(Metric::CallersBack),
        }
    }
}
