//! Degraded results: what a run gets for a call that was not made or failed, and how its caller is
//! notified. A degraded result is never presented as a complete one.

/// What replaces a call that can't be made.
#[derive(Clone, Debug, PartialEq)]
pub enum DegradedResult {
    /// There is no replacement: the run fails without the call.
    Required,
    /// No bytes; the run continues without the call.
    Nothing,
    /// These bytes.
    Fixed(Vec<u8>),
    /// The last good reply to the same request.
    Cached {
        /// Maximum age of the reply, in seconds.
        max_age_seconds: f64,
    },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The complete reply.
    Complete(Vec<u8>),
    /// A degraded result, and its bytes if it has any.
    Degraded(Option<Vec<u8>>),
    /// The run can't continue.
    Failed,
}

/// A reply to an earlier request with the same payload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedReply<'a> {
    /// The reply.
    pub bytes: &'a [u8],
    /// Seconds since it was received.
    pub age_seconds: f64,
}

/// The result in place of a reply; `cached` is the last good reply, if any.
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
    /// Adds a dependency, unless it is already listed.
    pub fn add(&mut self, dependency: &str) {
        if !self.0.iter().any(|known| known == dependency) {
            self.0.push(dependency.to_owned());
        }
    }

    /// Whether anything is missing.
    pub fn is_partial(&self) -> bool {
        !self.0.is_empty()
    }

    /// The value of the header field that notifies the caller; `None` if nothing is missing. Names
    /// contain no commas (`Dependencies::check`).
    pub fn field_value(&self) -> Option<String> {
        self.is_partial().then(|| self.0.join(", "))
    }

    /// Expected billed value of the result, if a complete one has `complete_value` and each missing
    /// dependency reduces it by the share `value_loss` (0 to 1).
    pub fn expected_value(&self, complete_value: f64, value_loss: impl Fn(&str) -> f64) -> f64 {
        self.0.iter().fold(complete_value, |value, dependency| {
            value * (1.0 - value_loss(dependency).clamp(0.0, 1.0))
        })
    }
}
