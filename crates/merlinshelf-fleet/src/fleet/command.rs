//! Operators' commands to the fleet, and the fleet's actions for its host.

/// An action for the host of this state machine.
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
    /// Request a graceful shutdown over the control socket, or by signal if the socket does not
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

/// Selects the instances that match all non-empty lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    /// Names of instances.
    pub names: Vec<String>,
    /// Names of groups.
    pub groups: Vec<String>,
    /// Keys and values of labels; an instance must have all of them.
    pub labels: Vec<(String, String)>,
}

/// An operators' command to instances.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start instances that are down.
    Start,
    /// Shut down gracefully without a restart.
    Drain {
        /// Drain the instances with the longest runs first.
        slowest_first: bool,
        /// Maximum number of instances that drain concurrently; unlimited if absent.
        max_in_progress: Option<u32>,
    },
    /// Shut down gracefully with a time limit, without a restart.
    Stop {
        /// Time after which a process is killed, in seconds.
        timeout_seconds: f64,
    },
    /// Shut down gracefully and start again, a limited number at a time.
    Restart,
    /// Hand over to another program while serving, a limited number at a time.
    Upgrade {
        /// Path of the program.
        program: String,
    },
}
