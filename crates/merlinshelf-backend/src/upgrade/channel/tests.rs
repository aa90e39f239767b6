//! Tests of the channel over a real socket pair.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

use merlinshelf_handover::Role;

use super::*;

#[tokio::test]
async fn messages_and_descriptors_arrive_even_after_the_sender_has_closed() {
    let (ours, theirs) = Channel::pair().expect("a pair");
    let theirs = Channel::new(theirs).expect("an end");
    let (mut near, far) = UnixStream::pair().expect("a pair");
    let roles: Vec<Role> = (0..MAX_DESCRIPTORS_PER_MESSAGE as u64)
        .map(Role::ClientConnection)
        .collect();
    let sent = Message::Descriptors { roles };
    theirs
        .send(&sent, &[far.as_fd(); MAX_DESCRIPTORS_PER_MESSAGE])
        .await
        .expect("it is sent");
    theirs
        .send(&Message::Heartbeat, &[])
        .await
        .expect("it is sent");
    drop((theirs, far));
    let received = ours.receive().await.expect("a message");
    assert_eq!(
        (received.message, received.descriptors.len()),
        (sent, MAX_DESCRIPTORS_PER_MESSAGE)
    );
    near.write_all(b"here").expect("it is open");
    let mut text = [0; 4];
    let last = received.descriptors.into_iter().next_back();
    UnixStream::from(last.expect("a descriptor"))
        .read_exact(&mut text)
        .expect("it is the one that was sent");
    let next = ours.try_receive().map(|received| received.message);
    assert_eq!((&text, next), (b"here", Some(Message::Heartbeat)));
    assert!(ours.receive().await.is_err(), "the end of the channel");
}
