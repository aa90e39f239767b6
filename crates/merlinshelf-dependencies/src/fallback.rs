//! Degraded results: what a run gets for a call that was not made or failed, and what its caller is
//! notified of. A degraded result is never presented as a complete one.

/// What replaces a call that can't be made.
#[derive(Clone, Debug, PartialEq)]
pub enum DegradedResult {
    /// Nothing can: the run fails without the call.
    Required,
    /// No bytes; the run continues without the call.
    Nothing,
    /// These bytes.
    Fixed(Vec<u8>),
    /// The last good reply to the same request.
    Cached {
        /// The oldest reply that is used, in seconds.
        max_age_seconds: f64,
    },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The complete reply.
    Complete(Vec<u8>),
    /// A degraded result, and its bytes where it has any.
    Degraded(Option<Vec<u8>>),
    /// The run can't continue.
    Failed,
}

/// A reply to an earlier request of the same payload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedReply<'a> {
    /// The reply.
    pub bytes: &'a [u8],
    /// Seconds since it was received.
    pub age_seconds: f64,
}

/// The result in place of a reply; `cached` is the last good one, if any.
pub fn degraded_result(fallback: &DegradedResult, cached: Option<CachedReply<'_>>) -> CallResult {
    match fallback {
        DegradedResult::Required => CallResult::Failed,
        DegradedResult::Nothing => CallResult::Degraded(None),
        DegradedResult::Fixed(bytes) => CallResult::Degraded(Some(bytes.clone())),
        DegradedResult::Cached { max_age_seconds } => match cached {
            Some(reply) if (0.0..=*max_age_seconds).contains(&reply.age_seconds) => {
                CallResult::Degraded(Some(reply.bytes.to_vec()))
            }
            _ => CallResult::Failed,
        },
    }
}

/// Names of the dependencies that a result lacks, in the order of the calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissingParts(Vec<String>);

impl MissingParts {
    /// Adds a dependency, once.
    pub fn add(&mut self, dependency: &str) {
        if !self.0.iter().any(|known| known == dependency) {
            self.0.push(dependency.to_owned());
        }
    }

    /// Whether anything is missing.
    pub fn is_partial(&self) -> bool {
        !self.0.is_empty()
    }

    /// The value of the field that notifies the caller; `None` where nothing is missing. Names hold
    /// no commas (`Dependencies::check`).
    pub fn field_value(&self) -> Option<String> {
        self.is_partial().then(|| self.0.join(", "))
    }

    /// Expected billed value of the result, where the complete one has `complete_value` and each
    /// missing dependency loses the part `value_loss` of it (0 to 1).
    pub fn expected_value(&self, complete_value: f64, value_loss: impl Fn(&str) -> f64) -> f64 {
        self.0.iter().fold(complete_value, |value, part| {
            value * (1.0 - value_loss(part).clamp(0.0, 1.0))
        })
    }
}
