//! What a test plays: processes, stand-ins and load, on one thread.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Plays to the end of it.
///
/// # Panics
/// It does not end in time, or can't be played.
pub fn run_with_timeout<T>(time: Duration, what: impl Future<Output = io::Result<T>>) -> T {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bounded = async { timeout(time, what).await };
    LocalSet::new()
        .block_on(&runtime, bounded)
        .expect("it ends in time")
        .expect("it can be played")
}

/// Two installations at a time: each is a dozen processes and more that mostly wait, and what is timed is theirs.
static LANES: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static PLAYED: AtomicUsize = AtomicUsize::new(0);

/// The same for an installation, beside one other one of this process at the most.
///
/// # Panics
/// As `play_within`.
pub fn run_installation_with_timeout<T>(
    time: Duration,
    what: impl Future<Output = io::Result<T>>,
) -> T {
    let lane = PLAYED.fetch_add(1, Ordering::Relaxed) % LANES.len();
    let _alone = LANES[lane].lock().unwrap_or_else(PoisonError::into_inner);
    run_with_timeout(time, what)
}
