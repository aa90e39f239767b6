//! The decisions in their order of precedence.
//!
//! After each event, the first rule whose condition matches is applied, and the table is searched
//! again from the top until no rule matches. A condition selects an invocation. Its effect moves
//! that invocation to a later stage or updates a value so that the condition no longer matches, so
//! that the evaluation terminates.

use crate::controller::AdmissionController;

/// A rule of the decision table.
pub(crate) struct Rule {
    /// Description, for readers and tests.
    #[cfg_attr(not(test), expect(dead_code, reason = "documents the table"))]
    pub name: &'static str,
    /// Selects the invocation to which the rule currently applies.
    pub condition: fn(&AdmissionController) -> Option<usize>,
    /// Applies the rule to that invocation.
    pub effect: fn(&mut AdmissionController, usize),
}

/// All rules, in descending precedence.
pub(crate) const RULES: &[Rule] = &[
    Rule {
        name: "answer before the deadline",
        condition: AdmissionController::find_due,
        effect: AdmissionController::reject_or_fail,
    },
    Rule {
        name: "stop abandoned runs",
        condition: AdmissionController::find_abandoned_run,
        effect: AdmissionController::stop_run,
    },
    Rule {
        name: "stay within the memory limit",
        condition: AdmissionController::find_exceeding_memory,
        effect: AdmissionController::reject_or_fail,
    },
    Rule {
        name: "join repeats to the first attempt",
        condition: AdmissionController::find_repeat,
        effect: AdmissionController::join_repeat,
    },
    Rule {
        name: "reject arrivals after the shutdown grace",
        condition: AdmissionController::find_arrival_after_grace,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "raise the limit while cores are idle",
        condition: AdmissionController::find_arrival_with_idle_cores,
        effect: AdmissionController::raise_limit,
    },
    Rule {
        name: "reject cohort groups above the threshold",
        condition: AdmissionController::find_above_threshold,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "reject arrivals that miss their objective",
        condition: AdmissionController::find_arrival_missing_objective,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "queue admitted arrivals",
        condition: AdmissionController::find_newly_read,
        effect: AdmissionController::enqueue,
    },
    Rule {
        name: "reject queued work that misses its objective",
        condition: AdmissionController::find_queued_missing_objective,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "fail runs whose call can't succeed",
        condition: AdmissionController::find_run_to_fail,
        effect: AdmissionController::reject_or_fail,
    },
    Rule {
        name: "continue without calls that are too late or blocked",
        condition: AdmissionController::find_skippable_call,
        effect: AdmissionController::skip_call,
    },
    Rule {
        name: "call downstream within the quota",
        condition: AdmissionController::find_run_to_call,
        effect: AdmissionController::start_call,
    },
    Rule {
        name: "start the best queued work while cores are free",
        condition: AdmissionController::find_startable,
        effect: AdmissionController::start_run,
    },
    Rule {
        name: "advertise health and load",
        condition: AdmissionController::find_stale_advertisement,
        effect: AdmissionController::advertise,
    },
];
