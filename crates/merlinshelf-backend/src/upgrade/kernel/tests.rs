//! Tests of the byte counts with a real connection.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

use super::*;

/// Bytes that this side has read from and written to the socket.
fn read_and_written(socket: &TcpStream, opened_by: OpenedBy) -> (u64, u64) {
    let counts = byte_counts(socket, opened_by).expect("counts");
    let read = counts.received_bytes - counts.unread_bytes - u64::from(counts.is_closed_by_peer);
    let written = counts.acknowledged_bytes + counts.unacknowledged_bytes
        - u64::from(counts.is_opened_locally);
    (read, written)
}

#[test]
fn bytes_are_counted_on_both_sides_until_the_connection_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut opened = TcpStream::connect(address).expect("a connection");
    let (mut accepted, _) = listener.accept().expect("a connection");
    let both = |opened: &TcpStream, accepted: &TcpStream| {
        (
            read_and_written(opened, OpenedBy::Us),
            read_and_written(accepted, OpenedBy::Peer),
        )
    };
    assert_eq!(both(&opened, &accepted), ((0, 0), (0, 0)));
    opened.write_all(&[1; 100]).expect("space");
    accepted.read_exact(&mut [0; 40]).expect("bytes");
    accepted.write_all(&[2; 7]).expect("space");
    assert_eq!(both(&opened, &accepted), ((0, 100), (40, 7)));
    opened.shutdown(Shutdown::Write).expect("an end");
    while !byte_counts(&accepted, OpenedBy::Peer)
        .expect("counts")
        .is_closed_by_peer
    {}
    assert_eq!(read_and_written(&accepted, OpenedBy::Peer), (40, 7));
    accepted.read_exact(&mut [0; 60]).expect("bytes");
    let at_end = accepted.read(&mut [0; 8]).expect("an end");
    assert_eq!(
        (at_end, read_and_written(&accepted, OpenedBy::Peer)),
        (0, (100, 7))
    );
}
