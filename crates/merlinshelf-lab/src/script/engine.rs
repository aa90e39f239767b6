//! An engine's link that answers by itself.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::peer::Peer;

/// Lets the engine answer every run at once, and counts them.
pub fn serve_all(mut engine: Peer, result: &str) -> Arc<AtomicUsize> {
    let answered = Arc::new(AtomicUsize::new(0));
    let (count, result) = (answered.clone(), result.to_owned());
    std::thread::spawn(move || {
        for number in 1.. {
            let run = engine.message();
            if run.is_empty() {
                return;
            }
            let done = format!("DONE {number} {} OK 1 {}\r\n{result}\r\n", &run[4..20], result.len());
            engine.send(done);
            count.store(number, Ordering::SeqCst);
        }
    });
    answered
}
