//! A fresh start that waits to hear which policy holds. Its address is kept meanwhile, and nobody can come in: who did would
//! wait in the kernel, unread and past what a caller bears, where a refused connection goes elsewhere at once.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use log::warn;
use tokio::time::Instant;

use crate::exchange::{Exchange, Shared};
use crate::instance::RestoredInstance;
use crate::server::Bound;

pub struct StartupWait {
    pub exchange: Shared,
    bound: Bound,
    /// From then on nobody is waited for.
    pub until: Instant,
}

impl StartupWait {
    pub fn new(exchange: Exchange, bound: Bound, until: Instant) -> StartupWait {
        StartupWait {
            exchange: Rc::new(RefCell::new(exchange)),
            bound,
            until,
        }
    }

    /// Whether it is known by what to serve, or has been waited for long enough.
    pub fn is_over(&self) -> bool {
        Instant::now() >= self.until || self.exchange.borrow().is_policy_ready()
    }

    /// Lets callers in.
    ///
    /// # Errors
    /// The address was taken meanwhile.
    pub fn begin(self, name: &str) -> io::Result<RestoredInstance> {
        if !self.exchange.borrow().is_policy_ready() {
            warn!("no agent says which policy holds: {name} begins without a lease");
            self.exchange.borrow_mut().stop_waiting_for_policy();
        }
        Ok(RestoredInstance::fresh(self.exchange, self.bound.listen()?))
    }
}
