//! What the program took in, sent and answered since its start.

use std::fmt;

/// One number for each thing counted, printed by name.
macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $(pub $name: u64),* }

        impl fmt::Display for Counters {
            fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
                let pairs = [$(concat!(stringify!($name), "=").to_owned() + &self.$name.to_string()),*];
                out.write_str(&pairs.join(" "))
            }
        }
    };
}

/// What the process itself uses: most memory so far, and descriptors now.
pub fn usage() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).map_or("?", str::trim);
    let open = std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count().saturating_sub(1));
    format!("memory_peak={} descriptors={open}", peak.replace(' ', ""))
}

counters! {
    // from edge nodes and to them
    connections, refused_connections, invocations, checks, bad, aborted, too_many,
    succeeded, throttled, errored, unheard,
    // to the engine and from it
    engine_links, runs, feeds, skips, stats, done, needs, refused_commands, repeated,
    // calls below
    calls, calls_succeeded, calls_never_ran, calls_failed, calls_timed_out, cancels, late_replies,
    // membership
    reports, failed_reports,
    // most at one time
    most_in_hand, most_doors,
}
