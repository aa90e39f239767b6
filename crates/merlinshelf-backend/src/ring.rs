//! The ring buffer of one direction of one connection: small at first, grown on need, shrunk when empty.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};

use rustix::net::{RecvFlags, recv};
use tokio::net::TcpStream;

/// What an empty ring keeps; most messages are shorter.
const KEPT: usize = 1024;
/// Read at one go: several messages, without holding up other connections.
const GULP: usize = 16 * 1024;

#[derive(Debug, Default)]
pub struct Ring {
    bytes: VecDeque<u8>,
}

/// How one go at a socket went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Moved,
    /// Nothing can be had or taken just now.
    Blocked,
    /// The far end has closed its direction.
    Ended,
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

    /// Takes in what the socket has, up to one gulp, as far as the runtime knows of it.
    pub fn fill(&mut self, socket: &TcpStream) -> io::Result<Flow> {
        self.take(|gulp| socket.try_read(gulp))
    }

    /// Takes in what the kernel holds at this moment, up to one gulp: the runtime's remembered readiness may be
    /// older than the last bytes.
    pub fn fill_now(&mut self, socket: &TcpStream) -> io::Result<Flow> {
        self.take(|gulp| Ok(recv(socket, gulp, RecvFlags::DONTWAIT)?.0))
    }

    fn take(&mut self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<Flow> {
        let mut gulp = [0; GULP];
        match read(&mut gulp) {
            Ok(0) => Ok(Flow::Ended),
            Ok(count) => {
                self.bytes.extend(&gulp[..count]);
                Ok(Flow::Moved)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                Ok(Flow::Blocked)
            }
            Err(error) => Err(error),
        }
    }

    /// Hands the socket as much as it takes.
    pub fn drain(&mut self, socket: &TcpStream) -> io::Result<Flow> {
        while !self.bytes.is_empty() {
            match socket.try_write(self.bytes.as_slices().0) {
                Ok(0) => return Ok(Flow::Ended),
                Ok(count) => self.consume(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(Flow::Blocked),
                Err(error) => return Err(error),
            }
        }
        Ok(Flow::Moved)
    }
}

impl<'a> Extend<&'a u8> for Ring {
    fn extend<T: IntoIterator<Item = &'a u8>>(&mut self, bytes: T) {
        self.bytes.extend(bytes);
    }
}
