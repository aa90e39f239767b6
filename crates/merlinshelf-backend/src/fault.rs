//! Fault injection, in debug builds only: tests make a process abort, exit or hang at a named
//! point.

/// Injects a fault if `MERLINSHELF_FAULT` is `POINT:PASS:FAULT` and this is that pass of that
/// point. The fault is `abort`, `exit`, `hang`, or `pause` for half a second. Only successors are
/// affected: they inherit the variable from their predecessor, which must keep running.
#[cfg(debug_assertions)]
pub(crate) fn injection_point(name: &str) {
    use std::sync::OnceLock;

    use crate::upgrade::channel::HANDOVER_VARIABLE;

    static IS_SUCCESSOR: OnceLock<bool> = OnceLock::new();
    if *IS_SUCCESSOR.get_or_init(|| std::env::var_os(HANDOVER_VARIABLE).is_some()) {
        injection_point_in_any_process(name);
    }
}

/// Does the same in any process.
#[cfg(debug_assertions)]
pub fn injection_point_in_any_process(name: &str) {
    use std::sync::OnceLock;
    use std::sync::atomic::{AtomicU64, Ordering};

    static INJECTED: OnceLock<Option<InjectedFault>> = OnceLock::new();
    static PASSES: AtomicU64 = AtomicU64::new(0);
    let Some(fault) = INJECTED.get_or_init(InjectedFault::from_environment) else {
        return;
    };
    if fault.point == name && PASSES.fetch_add(1, Ordering::Relaxed) + 1 == fault.pass {
        fault.inject();
    }
}

/// Does nothing in a release build.
#[cfg(not(debug_assertions))]
pub(crate) fn injection_point(_: &str) {}

/// Does nothing in a release build.
#[cfg(not(debug_assertions))]
pub fn injection_point_in_any_process(_: &str) {}

#[cfg(debug_assertions)]
struct InjectedFault {
    point: String,
    /// The pass of the point at which the process fails, counted from 1.
    pass: u64,
    fault: String,
}

#[cfg(debug_assertions)]
impl InjectedFault {
    fn from_environment() -> Option<InjectedFault> {
        let text = std::env::var("MERLINSHELF_FAULT").ok()?;
        let mut parts = text.split(':');
        Some(InjectedFault {
            point: parts.next()?.to_owned(),
            pass: parts.next()?.parse().ok()?,
            fault: parts.next()?.to_owned(),
        })
    }

    fn inject(&self) {
        use std::thread::sleep;
        use std::time::Duration;

        eprintln!("fault {}", self.point); // tests wait for this line
        match self.fault.as_str() {
            "abort" => std::process::abort(),
            "exit" => std::process::exit(3),
            "pause" => sleep(Duration::from_millis(500)),
            _ => loop {
                sleep(Duration::from_secs(1));
            },
        }
    }
}
