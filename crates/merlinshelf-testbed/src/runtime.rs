//! Runs a test's processes, fakes and load on a single-threaded runtime, within a time limit.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Runs `what` to completion.
///
/// # Panics
/// Panics if it fails, or does not finish within `time`.
pub fn run_with_timeout<T>(time: Duration, what: impl Future<Output = io::Result<T>>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building the runtime");
    let bounded = async { timeout(time, what).await };
    LocalSet::new()
        .block_on(&runtime, bounded)
        .expect("the scenario did not finish in time")
        .expect("the scenario failed")
}

/// At most two installations run at a time: each consists of a dozen or more processes, which mostly wait, and
/// more of them would distort the times that the tests measure.
static SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// Like [`run_with_timeout`], for an installation: at most two run concurrently in this process.
///
/// # Panics
/// As [`run_with_timeout`].
pub fn run_installation_with_timeout<T>(
    time: Duration,
    what: impl Future<Output = io::Result<T>>,
) -> T {
    let slot = STARTED.fetch_add(1, Ordering::Relaxed) % SLOTS.len();
    let _guard = SLOTS[slot].lock().unwrap_or_else(PoisonError::into_inner);
    run_with_timeout(time, what)
}
