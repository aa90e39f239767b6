//! Reading and writing frames of the control socket: complete, cut at every byte, malformed and too
//! long.

use merlinshelf_protocol::control::{
    ControlMessage, ControlRequest, Frame, read_message, read_request, write_message, write_request,
};

#[test]
fn frames_round_trip_and_are_not_read_before_they_are_complete() {
    let mut bytes: Vec<u8> = Vec::new();
    write_request(&mut bytes, ControlRequest::Upgrade, b"{\"a\":1}");
    assert_eq!(bytes, b"ask 1 upgrade 7\r\n{\"a\":1}\r\n");
    for cut in 0..bytes.len() {
        assert_eq!(read_request(&bytes[..cut]), Ok(None), "cut at {cut}");
    }
    let length = bytes.len();
    bytes.extend(b"ask");
    let frame = Frame {
        version: 1,
        message: ControlRequest::Upgrade,
        body: b"{\"a\":1}".as_slice(),
    };
    assert_eq!(read_request(&bytes), Ok(Some((frame, length))));
    for (message, name) in [
        (ControlMessage::More, "more"),
        (ControlMessage::Done, "done"),
        (ControlMessage::Failed, "failed"),
        (ControlMessage::Refused, "refused"),
    ] {
        let mut bytes: Vec<u8> = Vec::new();
        write_message(&mut bytes, message, b"\r\n");
        assert_eq!(bytes, format!("say 1 {name} 2\r\n\r\n\r\n").as_bytes());
        for cut in 0..bytes.len() {
            assert_eq!(read_message(&bytes[..cut]), Ok(None), "{name} cut at {cut}");
        }
        let frame = Frame {
            version: 1,
            message,
            body: b"\r\n".as_slice(),
        };
        assert_eq!(read_message(&bytes), Ok(Some((frame, bytes.len()))));
    }
}

#[test]
fn unsupported_version_is_returned_and_malformed_requests_are_faults_at_once() {
    let frame = Frame {
        version: 7,
        message: ControlRequest::Status,
        body: b"".as_slice(),
    };
    assert_eq!(
        read_request(b"ask 7 status 0\r\n\r\n"),
        Ok(Some((frame, 18)))
    );
    let faults: [&[u8]; 8] = [
        b"ask 1 dance 0\r\n\r\n",
        b"ask 1 status\r\n",
        b"ask 1 status -1\r\n",
        b"ask 99999999999 status 0\r\n\r\n",
        b"ask 1 status 3000000000\r\n",
        b"ask 1 status 2\r\nabcd\r\n",
        b"say 1 done 0\r\n\r\n",
        b"\x16\x03\x01",
    ];
    for fault in faults {
        assert!(read_request(fault).is_err(), "{}", fault.escape_ascii());
    }
    // A line that is too long is rejected without waiting for its end.
    assert!(read_request(&[b'a'; 2000]).is_err());
}
