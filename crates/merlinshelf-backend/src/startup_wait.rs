//! A fresh start that waits for a policy lease. Its address is bound meanwhile, and nobody can
//! connect: a client's connection would wait in the kernel, unread and longer than a client waits,
//! while one that is refused goes to another instance at once.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use log::warn;
use tokio::time::Instant;

use crate::exchange::{Exchange, Shared};
use crate::instance::RestoredInstance;
use crate::server::BoundSocket;

/// An instance that does not listen yet.
pub struct StartupWait {
    /// The exchange, to which the agent grants the lease.
    pub exchange: Shared,
    bound: BoundSocket,
    /// When the wait ends without a lease.
    pub deadline: Instant,
}

impl StartupWait {
    /// Waits until the exchange has a policy, at the latest until the deadline.
    pub fn new(exchange: Exchange, bound: BoundSocket, deadline: Instant) -> StartupWait {
        StartupWait {
            exchange: Rc::new(RefCell::new(exchange)),
            bound,
            deadline,
        }
    }

    /// Whether a policy is known or the deadline has passed.
    pub fn is_over(&self) -> bool {
        Instant::now() >= self.deadline || self.exchange.borrow().is_policy_ready()
    }

    /// Listens for clients; without a lease by the base policy.
    ///
    /// # Errors
    /// The address was taken meanwhile.
    pub fn listen(self, name: &str) -> io::Result<RestoredInstance> {
        if !self.exchange.borrow().is_policy_ready() {
            warn!("no policy lease granted in time: {name} serves the base policy");
            self.exchange.borrow_mut().stop_waiting_for_policy();
        }
        Ok(RestoredInstance::fresh(self.exchange, self.bound.listen()?))
    }
}
