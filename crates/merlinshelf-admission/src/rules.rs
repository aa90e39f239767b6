//! The decisions in their order of precedence.
//!
//! After each event the table is gone through from the top until no rule applies. A rule's
//! condition picks an invocation, its effect moves that invocation on (answered, queued, started,
//! called) or settles a value, so that the evaluation ends.

use crate::controller::AdmissionController;

/// One decision.
pub(crate) struct Rule {
    /// What it decides, for readers and tests.
    #[cfg_attr(not(test), expect(dead_code, reason = "the table's own documentation"))]
    pub name: &'static str,
    /// The invocation that it applies to now.
    pub condition: fn(&AdmissionController) -> Option<usize>,
    /// What it does to that invocation.
    pub effect: fn(&mut AdmissionController, usize),
}

/// All that is decided, the first rule that applies first.
pub(crate) const RULES: &[Rule] = &[
    Rule {
        name: "answer before the deadline",
        condition: AdmissionController::find_due,
        effect: AdmissionController::give_up,
    },
    Rule {
        name: "stop runs that nobody waits for",
        condition: AdmissionController::find_abandoned_run,
        effect: AdmissionController::stop_run,
    },
    Rule {
        name: "stay within the memory limit",
        condition: AdmissionController::find_exceeding_memory,
        effect: AdmissionController::give_up,
    },
    Rule {
        name: "join repeats to the first attempt",
        condition: AdmissionController::find_repeat,
        effect: AdmissionController::join_repeat,
    },
    Rule {
        name: "reject arrivals after the drain grace",
        condition: AdmissionController::find_after_grace,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "raise the limit while cores idle",
        condition: AdmissionController::find_arrival_with_idle_cores,
        effect: AdmissionController::raise_limit,
    },
    Rule {
        name: "reject groups above the threshold",
        condition: AdmissionController::find_above_threshold,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "reject arrivals that miss their objective",
        condition: AdmissionController::find_too_late,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "queue the rest",
        condition: AdmissionController::find_newly_read,
        effect: AdmissionController::enqueue,
    },
    Rule {
        name: "reject queued work past its objective",
        condition: AdmissionController::find_misses_objective,
        effect: AdmissionController::reject,
    },
    Rule {
        name: "fail runs whose call can't succeed",
        condition: AdmissionController::find_lost_call,
        effect: AdmissionController::give_up,
    },
    Rule {
        name: "skip calls that would come too late",
        condition: AdmissionController::find_skippable_call,
        effect: AdmissionController::skip_call,
    },
    Rule {
        name: "call downstream within the quota",
        condition: AdmissionController::find_callable,
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
