//! Periodic reports to the registration service, which keep this backend listed. Their failures do
//! not affect service.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::{debug, warn};
use merlinshelf_protocol::registration;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{PeersReceiver, connect, invalid_message};
use crate::exchange::Shared;
use crate::ring::{IoProgress, Ring};

/// The service removes a name after 3 s without a report, so three may be delayed or lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// How long one report may take, so that the next one is sent on time.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Sends reports until the process ends, and one at once when the shutdown begins.
pub async fn report(mut peers: PeersReceiver, name: String, exchange: Shared) {
    let mut address = peers.borrow_and_update().registration;
    let shutdown_notice = exchange.borrow().shutdown_notice();
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut cached: Option<TcpStream> = None;
    let mut has_failed = false;
    loop {
        select! {
            _ = ticks.tick() => {}
            () = shutdown_notice.notified() => {}
            Ok(()) = peers.changed() => {
                let new_address = peers.borrow_and_update().registration;
                if new_address == address {
                    continue;
                }
                (address, cached) = (new_address, None);
            }
        }
        let phase = if exchange.borrow().is_shutting_down() {
            registration::Phase::Out
        } else {
            registration::Phase::Up
        };
        let mut write_buffer = Ring::default();
        registration::write_report(&mut write_buffer, &address.to_string(), &name, phase);
        let outcome = match timeout(
            REPORT_TIMEOUT,
            send_report(address, cached.take(), write_buffer),
        )
        .await
        {
            Ok(outcome) => outcome,
            Err(elapsed) => Err(elapsed.into()),
        };
        let counters = &mut exchange.borrow_mut().counters;
        match outcome {
            Ok(socket) => {
                counters.reports += 1;
                has_failed = false;
                cached = socket;
            }
            Err(error) => {
                counters.failed_reports += 1;
                if has_failed {
                    debug!("registration report failed: {error}");
                } else {
                    warn!("registration report failed: {error}");
                }
                has_failed = true;
            }
        }
    }
}

/// Sends one report. Returns the connection if it can carry the next one.
async fn send_report(
    address: SocketAddr,
    cached: Option<TcpStream>,
    mut write_buffer: Ring,
) -> io::Result<Option<TcpStream>> {
    let mut read_buffer = Ring::default();
    // A connection that the service has closed meanwhile is replaced.
    let reusable =
        cached.filter(|socket| matches!(read_buffer.fill(socket), Ok(IoProgress::Blocked)));
    let socket = match reusable {
        Some(socket) => socket,
        None => connect(address).await?,
    };
    while write_buffer.drain(&socket)? == IoProgress::Blocked {
        socket.writable().await?;
    }
    loop {
        socket.readable().await?;
        if read_buffer.fill(&socket)? == IoProgress::Closed {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut response = None;
        read_buffer.read(|bytes| match registration::read_response(bytes) {
            Ok(None) => Ok(0),
            Ok(Some((parsed, count))) => {
                response = Some(parsed);
                Ok(count)
            }
            Err(fault) => Err(invalid_message(fault, bytes)),
        })?;
        match response {
            None => {}
            Some(response) if response.status == 204 => {
                return Ok(response.is_reusable.then_some(socket));
            }
            Some(response) => return Err(io::Error::other(format!("status {}", response.status))),
        }
    }
}
