//! What goes into the fleet from operators, and what comes out for its host.

/// What the host of this state machine is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a process; reported by [`Fleet::process_started`](super::Fleet::process_started) or
    /// [`Fleet::start_failed`](super::Fleet::start_failed).
    Start {
        /// Name of the instance.
        name: String,
        /// Path of the program.
        program: String,
    },
    /// Request a graceful shutdown over the control socket, or by signal where that does not
    /// answer.
    Drain {
        /// Name of the instance.
        name: String,
    },
    /// Request a graceful shutdown by signal; a stopped process is continued first.
    Terminate {
        /// Name of the instance.
        name: String,
    },
    /// Kill the process.
    Kill {
        /// Name of the instance.
        name: String,
    },
    /// Request a handover to a program; reported by
    /// [`Fleet::upgrade_succeeded`](super::Fleet::upgrade_succeeded) or
    /// [`Fleet::upgrade_failed`](super::Fleet::upgrade_failed).
    Upgrade {
        /// Name of the instance.
        name: String,
        /// Path of the program.
        program: String,
    },
}

/// Selects instances: those that meet every list that is not empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    /// Names of instances.
    pub names: Vec<String>,
    /// Names of groups.
    pub groups: Vec<String>,
    /// Keys and values of labels; an instance must have all of them.
    pub labels: Vec<(String, String)>,
}

/// What operators do to instances.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start what is down.
    Start,
    /// Shut down gracefully, and leave down.
    Drain {
        /// Those whose runs take longest come first.
        slowest_first: bool,
        /// Most instances at one time; all where there is none.
        max_in_progress: Option<u32>,
    },
    /// Shut down gracefully within a time, and leave down.
    Stop {
        /// Time after which a process is killed, in seconds.
        timeout_seconds: f64,
    },
    /// Shut down gracefully and start, some at a time.
    Restart,
    /// Hand over to another program under load, some at a time.
    Upgrade {
        /// Path of the program.
        program: String,
    },
}
