//! What one invocation is turned down for.

/// Why one invocation is turned down, its neighbours untouched: the status and a line for the log.
#[derive(Debug, PartialEq)]
pub struct Bad {
    pub status: u16,
    pub why: String,
}

impl Bad {
    pub fn new(status: u16, why: impl Into<String>) -> Bad {
        Bad {
            status,
            why: why.into(),
        }
    }
}
