//! Faults on demand, in debug builds alone: the tests let a process die, end or hang at a named point.

/// Fails here if `MERLINSHELF_FAULT` says so: `POINT:TIMES:HOW`, at that pass of the point; `how` is `abort`, `exit`,
/// `hang`, or `pause` for half a second. In successors alone: the variable is passed on from who comes before.
#[cfg(debug_assertions)]
pub(crate) fn injection_point(name: &str) {
    use std::sync::OnceLock;
    static SUCCESSOR: OnceLock<bool> = OnceLock::new();
    if *SUCCESSOR.get_or_init(|| std::env::var_os(crate::upgrade::channel::HANDOVER).is_some()) {
        injection_point_in_any_process(name);
    }
}

/// The same in any process.
#[cfg(debug_assertions)]
pub fn injection_point_in_any_process(name: &str) {
    use std::sync::OnceLock;
    use std::sync::atomic::{AtomicU64, Ordering};
    static FAULT: OnceLock<Option<(String, u64, String)>> = OnceLock::new();
    static PASSED: AtomicU64 = AtomicU64::new(0);
    let fault = FAULT.get_or_init(|| {
        let text = std::env::var("MERLINSHELF_FAULT").ok()?;
        let mut words = text.split(':');
        let (point, times, how) = (words.next()?, words.next()?, words.next()?);
        Some((point.to_owned(), times.parse().ok()?, how.to_owned()))
    });
    let Some((point, times, how)) = fault else {
        return;
    };
    if point != name || PASSED.fetch_add(1, Ordering::Relaxed) + 1 != *times {
        return;
    }
    eprintln!("fault {name}"); // what a test waits for
    match how.as_str() {
        "abort" => std::process::abort(),
        "exit" => std::process::exit(3),
        "pause" => std::thread::sleep(std::time::Duration::from_millis(500)),
        _ => loop {
            std::thread::sleep(std::time::Duration::from_secs(1));
        },
    }
}

#[cfg(not(debug_assertions))]
pub(crate) fn injection_point(_: &str) {}

#[cfg(not(debug_assertions))]
pub fn injection_point_in_any_process(_: &str) {}
