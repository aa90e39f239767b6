//! Rejections of single requests.

/// Why one request is rejected, while others on its connection continue: the HTTP status and a
/// reason for the log.
#[derive(Debug, PartialEq)]
pub struct Rejection {
    pub status: u16,
    pub reason: String,
}

impl Rejection {
    pub fn new(status: u16, reason: impl Into<String>) -> Rejection {
        Rejection {
            status,
            reason: reason.into(),
        }
    }
}
