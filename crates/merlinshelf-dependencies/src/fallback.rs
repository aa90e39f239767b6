//! Results of which parts are missing: what a run gets in place of a call that was not made or went wrong, and what its caller is
//! told of it. Never is a part shown as whole.

/// What the operators say of a call that can't be had.
#[derive(Clone, Debug, PartialEq)]
pub enum DegradedResult {
    /// The run fails without it.
    Needed,
    /// Nothing in its place.
    Nothing,
    /// These bytes.
    Fixed(Vec<u8>),
    /// The last good reply to the same question, no older than so many seconds.
    Kept { within: f64 },
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    Whole(Vec<u8>),
    /// A lesser answer, and whether there are bytes.
    Degraded(Option<Vec<u8>>),
    /// The run can't go on.
    Failed,
}

/// In place of a reply that did not come; `kept` is the last good one with its age in seconds.
pub fn instead(lesser: &DegradedResult, kept: Option<(&[u8], f64)>) -> CallResult {
    match lesser {
        DegradedResult::Needed => CallResult::Failed,
        DegradedResult::Nothing => CallResult::Degraded(None),
        DegradedResult::Fixed(bytes) => CallResult::Degraded(Some(bytes.clone())),
        DegradedResult::Kept { within } => match kept {
            Some((bytes, age)) if (0.0..=*within).contains(&age) => {
                CallResult::Degraded(Some(bytes.to_vec()))
            }
            _ => CallResult::Failed,
        },
    }
}

/// Names of the parts that a result is without, in the order of the calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Missing(Vec<String>);

impl Missing {
    pub fn note(&mut self, dependency: &str) {
        if !self.0.iter().any(|known| known == dependency) {
            self.0.push(dependency.to_owned());
        }
    }

    pub fn is_partial(&self) -> bool {
        !self.0.is_empty()
    }

    /// The field's value for the caller; none where nothing is missing. Names hold no commas (`Dependencies::check`).
    pub fn field(&self) -> Option<String> {
        self.is_partial().then(|| self.0.join(", "))
    }

    /// Expected billed value of the result, of `whole`, where the parts cost so much when left out (0 to 1 each).
    pub fn worth(&self, whole: f64, cost: impl Fn(&str) -> f64) -> f64 {
        self.0.iter().fold(whole, |worth, part| {
            worth * (1.0 - cost(part).clamp(0.0, 1.0))
        })
    }
}
