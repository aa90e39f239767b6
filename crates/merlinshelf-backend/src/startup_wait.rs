//! An instance that waits for a policy lease before it serves. Its address is bound meanwhile, but
//! does not accept connections: they would wait in the kernel, unread, for longer than clients
//! wait, whereas a client that is refused tries another instance at once.

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
    bound_socket: BoundSocket,
    /// When the wait ends without a lease.
    pub deadline: Instant,
}

impl StartupWait {
    /// A wait until the exchange has a policy, at the latest until the deadline.
    pub fn new(exchange: Exchange, bound_socket: BoundSocket, deadline: Instant) -> StartupWait {
        StartupWait {
            exchange: Rc::new(RefCell::new(exchange)),
            bound_socket,
            deadline,
        }
    }

    /// Whether a policy is known or the deadline has passed.
    pub fn is_over(&self) -> bool {
        Instant::now() >= self.deadline || self.exchange.borrow().is_policy_ready()
    }

    /// Starts to listen for clients. Without a lease, the base policy applies.
    ///
    /// # Errors
    /// Another process listens at the address by now.
    pub fn listen(self, name: &str) -> io::Result<RestoredInstance> {
        if !self.exchange.borrow().is_policy_ready() {
            warn!("no policy lease granted in time: {name} serves the base policy");
            self.exchange.borrow_mut().stop_waiting_for_policy();
        }
        Ok(RestoredInstance::fresh(
            self.exchange,
            self.bound_socket.listen()?,
        ))
    }
}
