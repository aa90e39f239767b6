//! The kernel's byte counts of a TCP connection.

#[cfg(test)]
mod tests;

use std::io;
use std::mem::size_of;
use std::os::fd::{AsFd, AsRawFd};

use merlinshelf_handover::KernelByteCounts;

/// Offsets in the kernel's `tcp_info`. They are stable, since the structure only grows at its end.
const STATE_OFFSET: usize = 0;
const ACKNOWLEDGED_OFFSET: usize = 120;
const RECEIVED_OFFSET: usize = 128;
/// Size of the buffer for `tcp_info`, larger than the structure in current kernels. Fields beyond it
/// are not needed.
const TCP_INFO_BYTES: usize = 256;

/// The states in which the peer has closed its direction: `TIME_WAIT`, `CLOSE_WAIT`, `LAST_ACK`,
/// `CLOSING`.
const CLOSED_BY_PEER_STATES: [u8; 4] = [6, 8, 9, 11];
/// `CLOSE`: the state after a reset.
const RESET_STATE: u8 = 7;
/// Maximum number of attempts to read consistent counts.
const MAX_ATTEMPTS: usize = 100;

/// Which side has opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenedBy {
    /// This process or one of its predecessors.
    Us,
    /// The peer.
    Peer,
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct TcpInfo {
    state: u8,
    acknowledged_bytes: u64,
    received_bytes: u64,
}

/// Consistent counts of a connection.
///
/// # Errors
/// The connection was reset, its counts keep changing, or the kernel does not count bytes.
pub fn byte_counts(socket: &impl AsFd, opened_by: OpenedBy) -> io::Result<KernelByteCounts> {
    let mut before = read_tcp_info(socket)?;
    for _ in 0..MAX_ATTEMPTS {
        let unread_bytes = rustix::io::ioctl_fionread(socket)?;
        let unacknowledged_bytes = read_unacknowledged_bytes(socket)?;
        let after = read_tcp_info(socket)?;
        // The system calls describe the same moment only if no bytes were transferred between the
        // first and the last of them.
        if before == after {
            if after.state == RESET_STATE {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            return Ok(KernelByteCounts {
                received_bytes: after.received_bytes,
                unread_bytes,
                is_closed_by_peer: CLOSED_BY_PEER_STATES.contains(&after.state),
                acknowledged_bytes: after.acknowledged_bytes,
                unacknowledged_bytes,
                is_opened_locally: opened_by == OpenedBy::Us,
            });
        }
        before = after;
    }
    Err(io::Error::other("its byte counts keep changing"))
}

fn read_tcp_info(socket: &impl AsFd) -> io::Result<TcpInfo> {
    let mut bytes = [0u8; TCP_INFO_BYTES];
    let mut length = bytes.len() as libc::socklen_t;
    // SAFETY: the kernel writes at most `length` bytes into the buffer and sets `length` to their
    // number.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            bytes.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    if (length as usize) < RECEIVED_OFFSET + size_of::<u64>() {
        return Err(io::Error::other(
            "the kernel does not report byte counts of connections",
        ));
    }
    let counter = |offset: usize| {
        let mut counter = [0; 8];
        counter.copy_from_slice(&bytes[offset..offset + 8]);
        u64::from_ne_bytes(counter)
    };
    Ok(TcpInfo {
        state: bytes[STATE_OFFSET],
        acknowledged_bytes: counter(ACKNOWLEDGED_OFFSET),
        received_bytes: counter(RECEIVED_OFFSET),
    })
}

fn read_unacknowledged_bytes(socket: &impl AsFd) -> io::Result<u64> {
    let mut count: libc::c_int = 0;
    // SAFETY: this request writes one integer.
    let result = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &raw mut count) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(count.max(0) as u64)
}
