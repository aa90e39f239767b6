//! Calls below. Each lane is a connection of its own, opened on need and closed when idle.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::catalogue::{self, Reply};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::{connect, unreadable};
use crate::exchange::{Called, Order, Shared};
use crate::ring::{Flow, Ring};

/// Idle connections are closed well before the far end does so after 10 s: a call that met its close
/// would have an end that proves nothing.
const IDLE_MOST: Duration = Duration::from_secs(7);
/// With more than this unsent, orders wait in the exchange.
const UNSENT_MOST: usize = 256 * 1024;

struct Lane {
    number: usize,
    exchange: Shared,
    /// Sent and not replied to.
    open: HashSet<CallId>,
    coming: Ring,
    going: Ring,
    idle_since: Instant,
}

/// Serves one lane for as long as the program runs.
pub async fn serve(address: SocketAddr, exchange: Shared, number: usize) {
    let wake = exchange.borrow().orders_wake(number);
    let (coming, going) = (Ring::default(), Ring::default());
    let mut lane = Lane { number, exchange, open: HashSet::new(), coming, going, idle_since: Instant::now() };
    loop {
        while !lane.exchange.borrow().has_orders(number) {
            wake.notified().await;
        }
        match connect(address).await {
            Ok(socket) => {
                lane.idle_since = Instant::now();
                if let Err(error) = lane.run(&socket, &wake).await {
                    warn!("lane {number} to the catalogue broke with {} calls: {error}", lane.open.len());
                }
                drop(socket);
                lane.end();
            }
            Err(error) => {
                warn!("the catalogue can't be reached: {error}");
                lane.refuse();
            }
        }
    }
}

impl Lane {
    fn next(&self) -> Option<Order> {
        self.exchange.borrow_mut().next_order(self.number)
    }

    /// Nothing that waited for a connection that never stood has run.
    fn refuse(&mut self) {
        let mut orders: Vec<Order> = std::iter::from_fn(|| self.next()).collect();
        for order in orders.drain(..) {
            if let Order::Invoke { id, .. } = order {
                self.exchange.borrow_mut().call_ended(id, self.number, Called::NeverRan);
            }
        }
    }

    /// The connection is gone. That proves nothing of what was sent on it.
    fn end(&mut self) {
        self.coming.clear();
        self.going.clear();
        for id in std::mem::take(&mut self.open) {
            self.exchange.borrow_mut().call_ended(id, self.number, Called::Failed);
        }
    }

    fn send(&mut self, order: Order) {
        match order {
            Order::Invoke { id, wait, body } => {
                self.open.insert(id);
                catalogue::invoke(&mut self.going, id, (wait * 1e3).ceil() as u64, &body);
            }
            Order::Cancel { id } => {
                if self.open.remove(&id) {
                    catalogue::cancel(&mut self.going, id);
                }
            }
            Order::Forget { id } => {
                self.open.remove(&id);
            }
        }
        self.idle_since = Instant::now();
    }

    async fn run(&mut self, socket: &TcpStream, wake: &Rc<Notify>) -> io::Result<()> {
        loop {
            // Read first, so that nothing is sent where the far end has closed already.
            match self.coming.fill(socket)? {
                Flow::Ended => return Ok(()),
                Flow::Moved => self.take_in()?,
                Flow::Blocked => {}
            }
            while self.going.len() <= UNSENT_MOST {
                let Some(order) = self.next() else { break };
                self.send(order);
            }
            let blocked = self.going.drain(socket)? == Flow::Blocked;
            let interest = if blocked { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
            let idle = self.open.is_empty() && !blocked;
            select! {
                biased;
                ready = socket.ready(interest) => { ready?; }
                () = wake.notified() => {}
                () = sleep_until(self.idle_since + IDLE_MOST), if idle => {
                    debug!("lane {} to the catalogue is idle and closed", self.number);
                    return Ok(());
                }
            }
        }
    }

    fn take_in(&mut self) -> io::Result<()> {
        let mut coming = std::mem::take(&mut self.coming);
        let result = coming.read(|bytes| match catalogue::reply(bytes) {
            Ok(None) => Ok(0),
            Ok(Some(((id, reply), count))) => {
                self.replied(id, reply);
                Ok(count)
            }
            Err(fault) => Err(unreadable(fault, bytes)),
        });
        self.coming = coming;
        result
    }

    fn replied(&mut self, id: CallId, reply: Reply) {
        self.idle_since = Instant::now();
        if !self.open.remove(&id) {
            self.exchange.borrow_mut().counters.late_replies += 1;
            return;
        }
        let called = match reply {
            Reply::Succeeded(body) => Called::Succeeded(body.into()),
            Reply::Overload | Reply::Stale => Called::NeverRan,
            Reply::Internal | Reply::Deadline => Called::Failed,
        };
        self.exchange.borrow_mut().call_ended(id, self.number, called);
    }
}
