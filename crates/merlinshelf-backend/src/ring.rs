//! The buffer of one direction of one connection: small at first, grown on demand, shrunk when
//! empty.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::os::fd::AsFd;

use rustix::net::{RecvFlags, SendFlags, recv, send};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// The capacity of an empty ring; most messages are shorter.
const MIN_CAPACITY_BYTES: usize = 1024;
/// The maximum size of one read: several messages, without delaying other connections.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// The bytes of one direction that were read and not processed yet, or that are still to be
/// written.
#[derive(Debug, Default)]
pub struct Ring {
    bytes: VecDeque<u8>,
    transferred_bytes: u64,
    /// Bytes that were peeked at and are still in the kernel's buffer.
    peeked_bytes: usize,
}

/// The result of one read from or write to a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoProgress {
    /// Bytes were transferred.
    Advanced,
    /// The socket has nothing to read, or accepts no bytes, at this moment.
    Blocked,
    /// The peer has closed its direction.
    Closed,
}

impl Ring {
    /// A ring that continues where another process left off: its contents, and the bytes
    /// transferred before.
    pub fn restore(bytes: Vec<u8>, transferred_bytes: u64) -> Ring {
        Ring {
            bytes: bytes.into(),
            transferred_bytes,
            peeked_bytes: 0,
        }
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it contains no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes read from or written to the socket since the connection was established.
    pub fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes
    }

    /// A copy of the contents.
    pub fn to_vec(&self) -> Vec<u8> {
        self.bytes.iter().copied().collect()
    }

    /// Passes the contents to `parse` repeatedly, until it consumes nothing more. `parse` returns
    /// how many bytes it has consumed.
    ///
    /// # Errors
    /// The error of `parse`. Bytes that it consumed before are removed.
    pub fn read<E>(&mut self, mut parse: impl FnMut(&[u8]) -> Result<usize, E>) -> Result<(), E> {
        let bytes = self.bytes.make_contiguous();
        let mut consumed = 0;
        let result = loop {
            match parse(&bytes[consumed..]) {
                Ok(0) => break Ok(()),
                Ok(count) => consumed += count,
                Err(error) => break Err(error),
            }
        };
        self.consume(consumed);
        result
    }

    /// Removes `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > MIN_CAPACITY_BYTES {
            self.bytes.shrink_to(MIN_CAPACITY_BYTES);
        }
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.consume(usize::MAX);
    }

    /// Copies up to one chunk, if the runtime knows the socket to be readable, and leaves the bytes
    /// in the kernel until `discard_peeked`, so that a process that recovers this connection after
    /// a crash finds them there.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn peek(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.peek_with(|chunk| socket.try_io(Interest::READABLE, || peek_chunk(socket, chunk)))
    }

    /// As `peek`, but asks the kernel, since the runtime may not know of the last bytes yet.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn peek_now(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.peek_with(|chunk| peek_chunk(socket, chunk))
    }

    fn peek_with(
        &mut self,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<IoProgress> {
        let before = self.transferred_bytes;
        let progress = self.fill_with(read)?;
        self.peeked_bytes += (self.transferred_bytes - before) as usize;
        Ok(progress)
    }

    /// Removes the bytes that were peeked at from the kernel's buffer.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn discard_peeked(&mut self, socket: &TcpStream) -> io::Result<()> {
        discard(socket, std::mem::take(&mut self.peeked_bytes))
    }

    /// Reads up to one chunk, if the runtime knows the socket to be readable.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn fill(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.fill_with(|chunk| socket.try_read(chunk))
    }

    /// As `fill`, but asks the kernel, since the runtime may not know of the last bytes yet.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn fill_now(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.fill_with(|chunk| Ok(recv(socket, chunk, RecvFlags::DONTWAIT)?.0))
    }

    fn fill_with(
        &mut self,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<IoProgress> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        match read(&mut chunk) {
            Ok(0) => Ok(IoProgress::Closed),
            Ok(count) => {
                self.bytes.extend(&chunk[..count]);
                self.transferred_bytes += count as u64;
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

    /// Writes as much as the socket accepts, if the runtime knows it to be writable.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn drain(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        self.drain_with(|bytes| socket.try_write(bytes))
    }

    /// As `drain`, but asks the kernel.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn drain_now(&mut self, socket: &TcpStream) -> io::Result<IoProgress> {
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        self.drain_with(|bytes| Ok(send(socket, bytes, flags)?))
    }

    fn drain_with(
        &mut self,
        mut write: impl FnMut(&[u8]) -> io::Result<usize>,
    ) -> io::Result<IoProgress> {
        while !self.bytes.is_empty() {
            match write(self.bytes.as_slices().0) {
                Ok(0) => return Ok(IoProgress::Closed),
                Ok(count) => {
                    self.transferred_bytes += count as u64;
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

fn peek_chunk(socket: &TcpStream, chunk: &mut [u8]) -> io::Result<usize> {
    Ok(recv(socket, chunk, RecvFlags::DONTWAIT | RecvFlags::PEEK)?.0)
}

/// Removes `count` bytes, which were read before, from the kernel's buffer.
///
/// # Errors
/// The kernel has fewer bytes, or the connection is broken.
pub fn discard(socket: &impl AsFd, mut count: usize) -> io::Result<()> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    while count > 0 {
        let length = count.min(READ_CHUNK_BYTES);
        match recv(socket, &mut chunk[..length], RecvFlags::DONTWAIT) {
            Ok((0, _)) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok((removed, _)) => count -= removed,
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
