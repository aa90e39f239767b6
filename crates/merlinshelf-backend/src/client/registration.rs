//! Reports to the membership service that keep this backend listed. Whatever becomes of them harms
//! nothing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::{debug, warn};
use merlinshelf_protocol::registration;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{PeersReceiver, connect, unreadable};
use crate::exchange::Shared;
use crate::ring::{IoProgress, Ring};

/// The service drops a name after 3 s without a report: three may be late or lost.
const EVERY: Duration = Duration::from_millis(700);
const WAIT_MOST: Duration = Duration::from_millis(600);

/// Reports for as long as the program runs.
pub async fn report(mut peers: PeersReceiver, name: String, exchange: Shared) {
    let mut address = peers.borrow_and_update().registration;
    let left = exchange.borrow().shutdown_notice();
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut kept: Option<TcpStream> = None;
    let mut failing = false;
    loop {
        select! {
            _ = ticks.tick() => {}
            () = left.notified() => {}
            Ok(()) = peers.changed() => {
                let now = peers.borrow_and_update().registration;
                if now == address {
                    continue;
                }
                (address, kept) = (now, None);
            }
        }
        let phase = if exchange.borrow().is_shutting_down() {
            registration::Phase::Out
        } else {
            registration::Phase::Up
        };
        let mut going = Ring::default();
        registration::write_report(&mut going, &address.to_string(), &name, phase);
        let outcome = match timeout(WAIT_MOST, once(address, kept.take(), going)).await {
            Ok(outcome) => outcome,
            Err(late) => Err(late.into()),
        };
        let counters = &mut exchange.borrow_mut().counters;
        match outcome {
            Ok(socket) => {
                counters.reports += 1;
                failing = false;
                kept = socket;
            }
            Err(error) => {
                counters.failed_reports += 1;
                if failing {
                    debug!("the membership service: {error}");
                } else {
                    warn!("the membership service can't be told: {error}");
                }
                failing = true;
            }
        }
    }
}

/// One report; the connection comes back where it may carry the next.
async fn once(
    address: SocketAddr,
    kept: Option<TcpStream>,
    mut going: Ring,
) -> io::Result<Option<TcpStream>> {
    let mut coming = Ring::default();
    // One that the far end has closed since is seen here and replaced.
    let alive = kept.filter(|socket| matches!(coming.fill(socket), Ok(IoProgress::Blocked)));
    let socket = match alive {
        Some(socket) => socket,
        None => connect(address).await?,
    };
    while going.drain(&socket)? == IoProgress::Blocked {
        socket.writable().await?;
    }
    loop {
        socket.readable().await?;
        if coming.fill(&socket)? == IoProgress::Closed {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut answer = None;
        coming.read(|bytes| match registration::read_response(bytes) {
            Ok(None) => Ok(0),
            Ok(Some((one, count))) => {
                answer = Some(one);
                Ok(count)
            }
            Err(fault) => Err(unreadable(fault, bytes)),
        })?;
        match answer {
            None => {}
            Some(answer) if answer.status == 204 => {
                return Ok(answer.is_reusable.then_some(socket));
            }
            Some(answer) => return Err(io::Error::other(format!("status {}", answer.status))),
        }
    }
}
