//! The channel between an old process and its successor: whole words, with descriptors where they bring some.

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

/// Descriptors that go with one word: well under the kernel's 253.
pub const BATCH: usize = 64;
/// A word with a full batch is a fraction of this.
const WORD_MOST: usize = 16 * 1024;
/// Who reads none of its words for so long hangs.
const SEND_WITHIN: Duration = Duration::from_millis(500);

/// The variable that tells a successor its end of the channel.
pub const HANDOVER: &str = "MERLINSHELF_HANDOVER";

pub struct Channel(AsyncFd<OwnedFd>);

impl Channel {
    /// Both ends: this process's, and the one that a child inherits.
    pub fn pair() -> io::Result<(Channel, OwnedFd)> {
        let flags = SocketFlags::CLOEXEC;
        let (ours, theirs) = socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?;
        fcntl_setfd(&theirs, FdFlags::empty())?;
        Ok((Channel::new(ours)?, theirs))
    }

    /// The end that this process was started with, if it is a successor.
    pub fn inherited() -> Option<io::Result<OwnedFd>> {
        let number: RawFd = std::env::var(HANDOVER).ok()?.parse().ok()?;
        // SAFETY: who names the descriptor in this variable has handed it over, and it is taken once, at the start.
        let end = unsafe { OwnedFd::from_raw_fd(number) };
        Some(
            fcntl_setfd(&end, FdFlags::CLOEXEC)
                .map(|()| end)
                .map_err(io::Error::from),
        )
    }

    pub fn new(end: OwnedFd) -> io::Result<Channel> {
        rustix::io::ioctl_fionbio(&end, true)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        // SAFETY: the descriptor is owned, and stays inside until the registration ends.
        Ok(Channel(unsafe {
            AsyncFd::register_with_interest(end, interest)
        }?))
    }

    pub async fn send(&self, word: &Message, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let bytes = rmp_serde::to_vec_named(word).map_err(io::Error::other)?;
        let sent = timeout(
            SEND_WITHIN,
            self.0
                .async_io(Interest::WRITABLE, |end| once(end, &bytes, descriptors)),
        );
        sent.await.unwrap_or_else(|late| Err(late.into()))
    }

    /// The next word; an error at the end of the channel.
    pub async fn receive(&self) -> io::Result<(Message, Vec<OwnedFd>)> {
        self.0
            .async_io(Interest::READABLE, |end| receive(end.as_fd()))
            .await
    }

    /// A word that has come already, if there is one: also from a process that has ended since.
    pub fn receive_now(&self) -> Option<(Message, Vec<OwnedFd>)> {
        receive(self.0.get_ref().as_fd()).ok()
    }
}

fn once(end: &OwnedFd, bytes: &[u8], descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !control.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(io::Error::other("too many descriptors for one word"));
    }
    sendmsg(
        end,
        &[IoSlice::new(bytes)],
        &mut control,
        SendFlags::NOSIGNAL,
    )?;
    Ok(())
}

fn receive(end: BorrowedFd) -> io::Result<(Message, Vec<OwnedFd>)> {
    let mut bytes = [0; WORD_MOST];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let message = recvmsg(
        end,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut control,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let descriptors = control.drain().flat_map(|part| match part {
        RecvAncillaryMessage::ScmRights(all) => all.collect(),
        _ => Vec::new(),
    });
    let descriptors: Vec<OwnedFd> = descriptors.collect();
    if message.bytes == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let word = rmp_serde::from_slice(&bytes[..message.bytes]).map_err(io::Error::other)?;
    Ok((word, descriptors))
}

#[cfg(test)]
mod tests {
    use super::*;
    use merlinshelf_handover::Role;
    use std::io::{Read, Write};
    use std::os::unix::net::UnixStream;

    #[tokio::test]
    async fn words_come_whole_with_their_descriptors_also_after_their_writer_is_gone() {
        let (ours, theirs) = Channel::pair().expect("a pair");
        let theirs = Channel::new(theirs).expect("an end");
        let (mut near, far) = UnixStream::pair().expect("a pair");
        let roles: Vec<Role> = (0..BATCH as u64).map(Role::ClientConnection).collect();
        let word = Message::Descriptors { roles };
        theirs
            .send(&word, &[far.as_fd(); BATCH])
            .await
            .expect("it is taken");
        theirs
            .send(&Message::Heartbeat, &[])
            .await
            .expect("it is taken");
        drop((theirs, far));
        let (come, descriptors) = ours.receive().await.expect("a word");
        assert_eq!((come, descriptors.len()), (word, BATCH));
        near.write_all(b"here").expect("it is open");
        let mut text = [0; 4];
        let mut last = UnixStream::from(descriptors.into_iter().next_back().expect("one"));
        last.read_exact(&mut text)
            .expect("it is the one that was passed");
        assert_eq!(
            (&text, ours.receive_now().map(|(word, _)| word)),
            (b"here", Some(Message::Heartbeat))
        );
        assert!(ours.receive().await.is_err(), "the end of the channel");
    }
}
