//! What the kernel counts of a connection.

use std::io;
use std::mem::size_of;
use std::os::fd::{AsFd, AsRawFd};

use merlinshelf_handover::KernelByteCounts;

/// Places in the kernel's `tcp_info`, which only ever grows at its end: state, bytes acknowledged, bytes received.
const STATE: usize = 0;
const ACKNOWLEDGED: usize = 120;
const RECEIVED: usize = 128;
/// States in which the far end has ended its direction, and the one after a reset.
const ENDED: [u8; 4] = [6, 8, 9, 11];
const RESET: u8 = 7;

/// The counts at one moment: they are asked for until nothing moved in between.
pub fn counts(socket: &impl AsFd, opened_here: bool) -> io::Result<KernelByteCounts> {
    let mut before = info(socket)?;
    for _ in 0..100 {
        let unread = rustix::io::ioctl_fionread(socket)?;
        let unacknowledged = unacknowledged(socket)?;
        let after = info(socket)?;
        if before == after {
            let (state, acknowledged, received) = after;
            if state == RESET {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let ended = ENDED.contains(&state);
            return Ok(KernelByteCounts {
                received_bytes: received,
                unread_bytes: unread,
                is_closed_by_peer: ended,
                acknowledged_bytes: acknowledged,
                unacknowledged_bytes: unacknowledged,
                is_opened_locally: opened_here,
            });
        }
        before = after;
    }
    Err(io::Error::other("its counts never stand still"))
}

fn info(socket: &impl AsFd) -> io::Result<(u8, u64, u64)> {
    let mut bytes = [0u8; 256];
    let mut length = bytes.len() as libc::socklen_t;
    // SAFETY: the kernel writes at most `length` bytes into the buffer and says how many they are.
    let failed = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            bytes.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if failed != 0 {
        return Err(io::Error::last_os_error());
    }
    if (length as usize) < RECEIVED + size_of::<u64>() {
        return Err(io::Error::other(
            "this kernel counts no bytes of connections",
        ));
    }
    let number = |at: usize| {
        let mut number = [0; 8];
        number.copy_from_slice(&bytes[at..at + 8]);
        u64::from_ne_bytes(number)
    };
    Ok((bytes[STATE], number(ACKNOWLEDGED), number(RECEIVED)))
}

fn unacknowledged(socket: &impl AsFd) -> io::Result<u64> {
    let mut count: libc::c_int = 0;
    // SAFETY: this request writes one integer.
    let failed = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &raw mut count) };
    if failed != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(count.max(0) as u64)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{Shutdown, TcpListener, TcpStream};

    #[test]
    fn bytes_are_counted_on_both_sides_up_to_the_end() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut opened =
            TcpStream::connect(listener.local_addr().expect("one")).expect("a connection");
        let (mut taken, _) = listener.accept().expect("it");
        let sums = |socket: &TcpStream, here: bool| {
            let of = counts(socket, here).expect("counts");
            let out =
                of.acknowledged_bytes + of.unacknowledged_bytes - u64::from(of.is_opened_locally);
            (
                of.received_bytes - of.unread_bytes - u64::from(of.is_closed_by_peer),
                out,
            )
        };
        assert_eq!((sums(&opened, true), sums(&taken, false)), ((0, 0), (0, 0)));
        opened.write_all(&[1; 100]).expect("room");
        taken.read_exact(&mut [0; 40]).expect("bytes");
        taken.write_all(&[2; 7]).expect("room");
        assert_eq!(
            (sums(&opened, true), sums(&taken, false)),
            ((0, 100), (40, 7))
        );
        opened.shutdown(Shutdown::Write).expect("an end");
        while !counts(&taken, false).expect("counts").is_closed_by_peer {}
        assert_eq!(sums(&taken, false), (40, 7));
        taken.read_exact(&mut [0; 60]).expect("bytes");
        assert_eq!(
            (
                taken.read(&mut [0; 8]).expect("an end"),
                sums(&taken, false)
            ),
            (0, (100, 7))
        );
    }
}
