//! Scripted engine links that answer without further help of the test.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Instant;

use super::millis;
use super::peer::Peer;
use crate::wire::fastcgi_invocation;

/// Completes every run immediately with `result`, on a thread of its own, and counts the completed runs.
pub fn complete_all_runs(mut engine: Peer, result: &str) -> Arc<AtomicUsize> {
    let answered = Arc::new(AtomicUsize::new(0));
    let (count, result) = (answered.clone(), result.to_owned());
    std::thread::spawn(move || {
        for number in 1.. {
            let run = engine.next_message();
            if run.is_empty() {
                return;
            }
            let done = format!(
                "DONE {number} {} OK 1 {}\r\n{result}\r\n",
                &run[4..20],
                result.len()
            );
            engine.send(done);
            count.store(number, Ordering::SeqCst);
        }
    });
    answered
}

/// Sends invocations in batches of 32 on a connection whose answers are never read, until the program stops reading from it
/// because all buffers in between are full. Returns the number of invocations sent.
pub fn send_until_stalled(slow: &mut Peer, answered: &AtomicUsize) -> usize {
    let mut sent = 0;
    let stalled = |sent: usize| {
        let until = Instant::now() + millis(500);
        while answered.load(Ordering::SeqCst) < sent && Instant::now() < until {
            sleep(millis(1));
        }
        answered.load(Ordering::SeqCst) < sent
    };
    while !stalled(sent) {
        for _ in 0..32 {
            sent += 1;
            slow.send(fastcgi_invocation(
                sent as u16,
                "transcript-search",
                b"",
                &[("HTTP_X_PATIENCE_MS", "60000")],
            ));
        }
        assert!(sent < 32 * 200, "the program never stops reading");
    }
    sent
}
