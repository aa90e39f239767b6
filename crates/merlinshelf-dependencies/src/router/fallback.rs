//! Fallbacks of calls that got no reply: another dependency, a degraded result, or failure.

use super::call_state::CallState;
use super::{Action, CallEnd, Router};
use crate::config::{Call, Fallback};
use crate::fallback::{CallResult, DegradedResult, degraded_result};

/// Why a fallback is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FallbackCause {
    /// No attempt was sent to the present dependency.
    NotMade,
    /// The attempts at the present dependency failed or timed out.
    AttemptFailed,
}

impl Router {
    /// Continues a call at its fallback dependency, or ends it without a reply.
    pub(super) fn fall_back(
        &mut self,
        now: f64,
        call_id: u64,
        cause: FallbackCause,
        random: &mut dyn FnMut() -> f64,
    ) {
        let Some(call) = self.calls.get_mut(call_id) else {
            return;
        };
        let mut fallback_dependency = None;
        if let Some(state) = self.states.get_mut(&call.dependency) {
            state.counters.not_made += u64::from(cause == FallbackCause::NotMade);
            fallback_dependency.clone_from(&state.config.fallback_dependency);
        }
        if let Some(dependency) = fallback_dependency
            && call.can_use_fallback_dependency(now)
        {
            call.redirect(dependency);
            self.begin(now, call_id, random);
        } else {
            self.end_without_reply(now, call_id);
        }
    }

    fn end_without_reply(&mut self, now: f64, call_id: u64) {
        let Some(call) = self.calls.remove(call_id) else {
            return;
        };
        let end = self.result_without_reply(now, &call);
        if matches!(end, CallEnd::Degraded { .. })
            && let Some(state) = self.states.get_mut(&call.config.dependency)
        {
            state.counters.degraded += 1;
        }
        self.actions.push_back(Action::Complete { call_id, end });
    }

    fn result_without_reply(&self, now: f64, call: &CallState) -> CallEnd {
        let dependency = &call.config.dependency;
        let cached = self.reply_cache.get(now, dependency, &call.payload);
        match degraded_result(&configured_result(&call.config), cached) {
            CallResult::Degraded(bytes) => CallEnd::Degraded {
                bytes,
                missing: dependency.clone(),
            },
            // There is no degraded result: the run continues without a call that is not required.
            _ if !call.config.is_required => CallEnd::Degraded {
                bytes: None,
                missing: dependency.clone(),
            },
            _ if call.may_have_run => CallEnd::Failed,
            _ => CallEnd::NeverRan,
        }
    }
}

fn configured_result(config: &Call) -> DegradedResult {
    match &config.fallback {
        Fallback::Nothing if config.is_required => DegradedResult::Required,
        Fallback::Nothing => DegradedResult::Nothing,
        Fallback::Fixed(text) => DegradedResult::Fixed(text.clone().into_bytes()),
        Fallback::Cached { max_age_seconds } => DegradedResult::Cached {
            max_age_seconds: *max_age_seconds,
        },
    }
}
