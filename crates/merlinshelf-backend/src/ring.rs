//! The ring buffer of one direction of one connection: small at first, grown on need, shrunk when empty.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::os::fd::AsFd;

use rustix::net::{RecvFlags, SendFlags, recv, send};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// What an empty ring keeps; most messages are shorter.
const KEPT: usize = 1024;
/// Read at one go: several messages, without holding up other connections.
const GULP: usize = 16 * 1024;

#[derive(Debug, Default)]
pub struct Ring {
    bytes: VecDeque<u8>,
    /// Bytes that came in from the socket or went out to it, since the connection stood.
    moved: u64,
    /// Bytes that were looked at and still lie in the kernel.
    peeked: usize,
}

/// How one go at a socket went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoProgress {
    Advanced,
    /// Nothing can be had or taken just now.
    Blocked,
    /// The far end has closed its direction.
    Closed,
}

impl Ring {
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Hands out what is in it, from the front on, until nothing more of it is used up.
    pub fn read<E>(&mut self, mut next: impl FnMut(&[u8]) -> Result<usize, E>) -> Result<(), E> {
        let (bytes, mut used) = (self.bytes.make_contiguous(), 0);
        let result = loop {
            match next(&bytes[used..]) {
                Ok(0) => break Ok(()),
                Ok(count) => used += count,
                Err(error) => break Err(error),
            }
        };
        self.consume(used);
        result
    }

    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes.shrink_to(KEPT);
        }
    }

    pub fn clear(&mut self) {
        self.consume(usize::MAX);
    }

    /// One that goes on where another process left it: what is in it, and how much was moved before.
    pub fn restore(bytes: Vec<u8>, moved: u64) -> Ring {
        Ring {
            bytes: bytes.into(),
            moved,
            peeked: 0,
        }
    }

    /// Bytes that came in from the socket or went out to it, since the connection stood.
    pub fn transferred_bytes(&self) -> u64 {
        self.moved
    }

    pub fn to_vec(&self) -> Vec<u8> {
        self.bytes.iter().copied().collect()
    }

    /// Takes in what the socket has, up to one gulp, and leaves it in the kernel until `taken_out`: whoever takes
    /// up this connection after a crash finds it there.
    pub fn peek(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        let look =
            |gulp: &mut [u8]| Ok(recv(socket, gulp, RecvFlags::DONTWAIT | RecvFlags::PEEK)?.0);
        let before = self.moved;
        let flow = self.take(|gulp| socket.try_io(Interest::READABLE, || look(gulp)))?;
        self.peeked += (self.moved - before) as usize;
        Ok(flow)
    }

    /// The same of what the kernel holds at this moment.
    pub fn peek_now(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        let before = self.moved;
        let flow =
            self.take(|gulp| Ok(recv(socket, gulp, RecvFlags::DONTWAIT | RecvFlags::PEEK)?.0))?;
        self.peeked += (self.moved - before) as usize;
        Ok(flow)
    }

    /// Takes out of the kernel what was looked at.
    pub fn discard_peeked(&mut self, socket: &TcpStream) -> io::Result<()> {
        discard(socket, std::mem::take(&mut self.peeked))
    }

    /// Takes in what the socket has, up to one gulp, as far as the runtime knows of it.
    pub fn fill(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.take(|gulp| socket.try_read(gulp))
    }

    /// Takes in what the kernel holds at this moment, up to one gulp: the runtime's remembered readiness may be
    /// older than the last bytes.
    pub fn fill_now(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.take(|gulp| Ok(recv(socket, gulp, RecvFlags::DONTWAIT)?.0))
    }

    fn take(
        &mut self,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<IoProgress> {
        let mut gulp = [0; GULP];
        match read(&mut gulp) {
            Ok(0) => Ok(IoProgress::Closed),
            Ok(count) => {
                self.bytes.extend(&gulp[..count]);
                self.moved += count as u64;
                Ok(IoProgress::Advanced)
            }
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Ok(IoProgress::Blocked)
            }
            Err(error) => Err(error),
        }
    }

    /// Hands the socket as much as it takes, as far as the runtime knows of it.
    pub fn drain(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.give(|bytes| socket.try_write(bytes))
    }

    /// Hands the socket as much as the kernel takes at this moment.
    pub fn drain_now(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.give(|bytes| {
            Ok(send(
                socket,
                bytes,
                SendFlags::DONTWAIT | SendFlags::NOSIGNAL,
            )?)
        })
    }

    fn give(
        &mut self,
        mut write: impl FnMut(&[u8]) -> io::Result<usize>,
    ) -> io::Result<IoProgress> {
        while !self.bytes.is_empty() {
            match write(self.bytes.as_slices().0) {
                Ok(0) => return Ok(IoProgress::Closed),
                Ok(count) => {
                    self.moved += count as u64;
                    self.consume(count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(IoProgress::Blocked);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(IoProgress::Advanced)
    }
}

/// Takes so many bytes out of the kernel that are known already.
pub fn discard(socket: &impl AsFd, mut count: usize) -> io::Result<()> {
    let mut gulp = [0; GULP];
    while count > 0 {
        match recv(socket, &mut gulp[..count.min(GULP)], RecvFlags::DONTWAIT) {
            Ok((0, _)) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok((taken, _)) => count -= taken,
            Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

impl<'a> Extend<&'a u8> for Ring {
    fn extend<T: IntoIterator<Item = &'a u8>>(&mut self, bytes: T) {
        self.bytes.extend(bytes);
    }
}
