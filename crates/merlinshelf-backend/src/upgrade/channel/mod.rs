//! The channel between a predecessor and its successor: a socket pair that preserves message
//! boundaries and carries descriptors.

mod outbox;
#[cfg(test)]
mod tests;

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, FromRawFd, OwnedFd, RawFd};
use std::time::Duration;

use merlinshelf_handover::Message;
use rustix::io::{FdFlags, fcntl_setfd};
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketFlags, SocketType, recvmsg, sendmsg, socketpair,
};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::time::timeout;

pub use outbox::Outbox;

/// Maximum number of descriptors per message, well below the kernel's limit of 253.
pub const MAX_DESCRIPTORS_PER_MESSAGE: usize = 64;
/// Maximum size of an encoded message. A message that lists the maximum number of descriptors needs
/// only a fraction of it.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// A process that does not read for this long counts as hung.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The environment variable with the descriptor number of a successor's end of the channel.
pub const HANDOVER_VARIABLE: &str = "MERLINSHELF_HANDOVER";

/// One end of the channel.
pub struct Channel(AsyncFd<OwnedFd>);

/// A message with the descriptors that were attached to it.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The message.
    pub message: Message,
    /// Its descriptors, in the order in which they were attached.
    pub descriptors: Vec<OwnedFd>,
}

impl Channel {
    /// Creates a channel: the end of this process, and the one that a child process inherits.
    ///
    /// # Errors
    /// The socket pair can't be created.
    pub fn pair() -> io::Result<(Channel, OwnedFd)> {
        let flags = SocketFlags::CLOEXEC;
        let (ours, theirs) = socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?;
        fcntl_setfd(&theirs, FdFlags::empty())?;
        Ok((Channel::new(ours)?, theirs))
    }

    /// The end that this process was started with; `None` if it is not a successor.
    ///
    /// # Errors
    /// The environment names a descriptor that is not open.
    pub fn take_inherited() -> io::Result<Option<OwnedFd>> {
        let number = std::env::var(HANDOVER_VARIABLE).ok();
        let Some(number) = number.and_then(|number| number.parse::<RawFd>().ok()) else {
            return Ok(None);
        };
        // SAFETY: the process that set this variable has handed over the descriptor, and this
        // function is called once, at the start.
        let end = unsafe { OwnedFd::from_raw_fd(number) };
        fcntl_setfd(&end, FdFlags::CLOEXEC)?;
        Ok(Some(end))
    }

    /// The channel of this end.
    ///
    /// # Errors
    /// The descriptor can't be registered with the runtime.
    pub fn new(end: OwnedFd) -> io::Result<Channel> {
        rustix::io::ioctl_fionbio(&end, true)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        // SAFETY: `AsyncFd` owns the descriptor, which stays open until the registration ends.
        let registered = unsafe { AsyncFd::register_with_interest(end, interest) }?;
        Ok(Channel(registered))
    }

    /// Sends a message with these descriptors attached.
    ///
    /// # Errors
    /// The other process has exited, or has not read for [`SEND_TIMEOUT`].
    pub async fn send(&self, message: &Message, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let bytes = rmp_serde::to_vec_named(message).map_err(io::Error::other)?;
        let sending = self.0.async_io(Interest::WRITABLE, |end| {
            send_datagram(end, &bytes, descriptors)
        });
        match timeout(SEND_TIMEOUT, sending).await {
            Ok(result) => result,
            Err(elapsed) => Err(elapsed.into()),
        }
    }

    /// Sends a message without waiting.
    ///
    /// # Errors
    /// `WouldBlock` if the other process has not read earlier messages; else it has exited.
    pub fn try_send(&self, message: &Message, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let bytes = rmp_serde::to_vec_named(message).map_err(io::Error::other)?;
        self.0.try_io(Interest::WRITABLE, |end| {
            send_datagram(end, &bytes, descriptors)
        })
    }

    /// Waits until the channel may accept another message.
    pub async fn writable(&self) {
        // An error is the end of the channel, which the next attempt to send reports.
        let _ = self.0.writable().await;
    }

    /// Waits for the next message.
    ///
    /// # Errors
    /// The channel has ended, or the message can't be decoded.
    pub async fn receive(&self) -> io::Result<ReceivedMessage> {
        self.0
            .async_io(Interest::READABLE, |end| receive_datagram(end.as_fd()))
            .await
    }

    /// The next message if it has arrived already, even if its sender has ended since.
    pub fn try_receive(&self) -> Option<ReceivedMessage> {
        // An error is the end of the channel, after which there are no more messages.
        receive_datagram(self.0.get_ref().as_fd()).ok()
    }
}

fn send_datagram(end: &OwnedFd, bytes: &[u8], descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space =
        [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !control.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(io::Error::other("too many descriptors for one message"));
    }
    sendmsg(
        end,
        &[IoSlice::new(bytes)],
        &mut control,
        SendFlags::NOSIGNAL,
    )?;
    Ok(())
}

fn receive_datagram(end: BorrowedFd) -> io::Result<ReceivedMessage> {
    let mut bytes = [0; MAX_MESSAGE_BYTES];
    let mut space =
        [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(
        end,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut control,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    // The descriptors are taken before the message is decoded, so that they are closed if decoding
    // fails.
    let mut descriptors = Vec::new();
    for ancillary in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = ancillary {
            descriptors.extend(rights);
        }
    }
    if received.bytes == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let message = rmp_serde::from_slice(&bytes[..received.bytes]).map_err(io::Error::other)?;
    Ok(ReceivedMessage {
        message,
        descriptors,
    })
}
