//! Polls peers: each poll has a connection, on which the answer must be received within a timeout.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use merlinshelf_gossip::{InvalidObservation, Message};
use merlinshelf_protocol::gossip::{MessageKind, write_message};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Shared;
use super::messages::{MessageError, read_message};
use super::transport::{Plain, Transport};
use crate::exchange::monotonic_seconds;

/// Polls a peer, and passes its answer to the node if it arrives in time.
pub(super) async fn poll_peer(
    address: String,
    poll: Message,
    answer_timeout: Duration,
    state: Shared,
    changed: Rc<Notify>,
) {
    let answer = match timeout(answer_timeout, request(&address, &poll)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return debug!("poll of {address} failed: {error}"),
        Err(_) => return debug!("poll of {address} timed out"),
    };
    let mut state = state.borrow_mut();
    let Some(node) = &mut state.node else {
        return;
    };
    let is_first_answer = !node.peer_statistics().contains_key(&answer.from.name);
    let rejected = node.answer_received(monotonic_seconds(), &answer);
    if answer.observations.is_empty() {
        return;
    }
    if is_first_answer {
        let count = answer.observations.len();
        info!(observations = count; "received {count} observations from {}", answer.from.name);
    }
    log_rejected(&answer.from.name, rejected);
    changed.notify_one();
}

async fn request(address: &str, poll: &Message) -> io::Result<Message> {
    let stream = TcpStream::connect(address).await?;
    let mut stream = Plain.connect(stream, address).await?;
    let mut bytes: Vec<u8> = Vec::new();
    write_message(&mut bytes, MessageKind::Poll, poll);
    stream.write_all(&bytes).await?;
    match read_message(&mut stream).await? {
        (MessageKind::Answer, answer) => Ok(answer),
        (MessageKind::Poll, _) => Err(MessageError::PollInsteadOfAnswer.into()),
    }
}

fn log_rejected(peer: &str, rejected: BTreeMap<InvalidObservation, u64>) {
    for (reason, count) in rejected {
        warn!(count = count; "rejected {count} observations of {peer}: {reason}");
    }
}
