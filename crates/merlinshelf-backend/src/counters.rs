//! Counters of events in the process, and its resource usage.

use std::collections::BTreeMap;
use std::fmt;

/// Defines a struct of counters that are printed and stored under the names of their fields. These
/// are part of the status report and of the handover image, so they must not change.
macro_rules! counters {
    ($($(#[$comment:meta])* $name:ident),* $(,)?) => {
        /// How often each event has happened since the process, or its first predecessor, was
        /// started.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[$comment])* pub $name: u64),* }

        impl Counters {
            /// All counters by name.
            pub fn by_name(&self) -> BTreeMap<String, u64> {
                BTreeMap::from([$((stringify!($name).to_owned(), self.$name)),*])
            }

            /// Continues from these values; unknown names are ignored.
            pub fn set(&mut self, by_name: &BTreeMap<String, u64>) {
                $(self.$name = by_name.get(stringify!($name)).copied().unwrap_or(self.$name);)*
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                let pairs = [$(concat!(stringify!($name), "=").to_owned() + &self.$name.to_string()),*];
                formatter.write_str(&pairs.join(" "))
            }
        }
    };
}

/// The resources that the process uses.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// Resident memory, in KB; 0 where the system does not report it.
    pub memory_kb: u64,
    /// Open descriptors; 0 where the system does not report them.
    pub descriptors: u64,
}

impl ResourceUsage {
    /// The current usage, from `/proc`.
    pub fn now() -> ResourceUsage {
        // Reading the directory opens one descriptor more.
        let descriptors = std::fs::read_dir("/proc/self/fd")
            .map_or(0, |entries| entries.count().saturating_sub(1));
        ResourceUsage {
            memory_kb: memory_kb("VmRSS:").unwrap_or(0),
            descriptors: descriptors as u64,
        }
    }
}

/// The peak of memory and the number of open descriptors, for the log.
pub fn usage_text() -> String {
    let peak = memory_kb("VmHWM:").map_or("?".to_owned(), |kb| format!("{kb}kB"));
    let descriptors = ResourceUsage::now().descriptors;
    format!("memory_peak={peak} descriptors={descriptors}")
}

/// The value of a line of `/proc/self/status`, in KB.
fn memory_kb(name: &str) -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().split(' ').next()?.parse().ok()
}

counters! {
    /// Connections accepted from clients.
    connections,
    /// Accepts that failed.
    refused_connections,
    /// Invocations received complete.
    invocations,
    /// Health checks answered.
    checks,
    /// Requests rejected as malformed, unknown or incomplete, and connections closed for that
    /// reason.
    bad,
    /// Invocations aborted by their client.
    aborted,
    /// Invocations beyond the limit of a connection or of the table.
    too_many,
    /// Final responses with a complete result.
    succeeded,
    /// Final responses with parts missing.
    partial,
    /// Final responses of throttled invocations.
    throttled,
    /// Final responses of failed invocations.
    errored,
    /// Invocations or responses whose connection was already closed.
    unheard,
    /// Connections to the engine.
    engine_links,
    /// Commands to run an invocation.
    runs,
    /// Commands to continue a run with the response of a call.
    feeds,
    /// Commands to continue a run without a call.
    skips,
    /// Gauges received from the engine.
    stats,
    /// Notifications of finished runs.
    done,
    /// Notifications of requested downstream calls.
    needs,
    /// Commands that the engine refused.
    refused_commands,
    /// Notifications received a second time and ignored.
    repeated,
    /// Downstream calls.
    calls,
    /// Downstream calls that succeeded.
    calls_succeeded,
    /// Downstream calls replaced by a fallback or answered with a degraded result.
    calls_lesser,
    /// Downstream calls that certainly had no effect.
    calls_never_ran,
    /// Downstream calls that failed.
    calls_failed,
    /// Downstream calls that timed out.
    calls_timed_out,
    /// Downstream calls cancelled.
    cancels,
    /// Responses to calls that had already ended.
    late_replies,
    /// Recoveries from a failed successor.
    taken_back,
    /// Policies applied.
    policies,
    /// Downstream calls under a quota.
    budget_calls,
    /// Quota spent on them, in calls.
    budget_drawn,
    /// Reports to the registration service.
    reports,
    /// Reports that failed.
    failed_reports,
    /// The maximum number of invocations in flight at the same time.
    most_in_hand,
    /// The maximum number of client connections at the same time.
    most_doors,
}
