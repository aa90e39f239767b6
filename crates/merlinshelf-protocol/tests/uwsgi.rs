//! What the parser of uwsgi makes of requests, whole, cut at every byte, and of bytes that are
//! none.

use merlinshelf_protocol::uwsgi::{self, Fragment, Request};
use proptest::prelude::*;

fn request_bytes(body: &[u8], length: &str) -> Vec<u8> {
    let mut bytes: Vec<u8> = Vec::new();
    uwsgi::write_request(
        &mut bytes,
        &[
            ("REQUEST_METHOD", "POST"),
            ("CONTENT_LENGTH", length),
            ("EMPTY", ""),
        ],
    );
    bytes.extend(body);
    bytes
}

#[derive(Debug, Default, PartialEq)]
struct ReadRequest {
    variables: Vec<u8>,
    body: Vec<u8>,
    /// Whether the body's last part came.
    has_ended: bool,
    /// Bytes that belong to nothing.
    stray_bytes: usize,
}

/// What bytes bring that come in parts so long, or the fault.
fn read(bytes: &[u8], part: usize) -> Result<ReadRequest, &'static str> {
    let mut request = Request::default();
    let mut result = ReadRequest::default();
    let mut from = 0;
    let mut received = 0;
    while received < bytes.len() {
        received = bytes.len().min(received + part.max(1));
        loop {
            // As after an upgrade: where it stands is all that it knows.
            request = Request::resume(request.state());
            let next = request.next(&bytes[from..received]);
            let (used, fragment) = next.map_err(|fault| fault.0)?;
            from += used;
            match fragment {
                Some(Fragment::Begin) => {
                    assert!(result.variables.is_empty() && result.body.is_empty());
                }
                Some(Fragment::Variables { bytes, body }) => {
                    result.variables.extend(bytes);
                    result.has_ended = body == 0;
                }
                Some(Fragment::VariablesPart { bytes }) => result.variables.extend(bytes),
                Some(Fragment::Body { bytes, last }) => {
                    assert!(!result.has_ended && !bytes.is_empty());
                    result.body.extend(bytes);
                    result.has_ended = last;
                }
                None => result.stray_bytes += used,
            }
            if used == 0 {
                break;
            }
        }
    }
    Ok(result)
}

#[test]
fn a_request_cut_at_every_byte_is_the_same_as_uncut() {
    let bytes = [request_bytes(b"four", "4"), b"and more".to_vec()].concat();
    let once = read(&bytes, bytes.len()).expect("it can be read");
    assert_eq!(once.body, b"four");
    assert_eq!((once.has_ended, once.stray_bytes), (true, 8));
    let pairs = uwsgi::pairs(&once.variables).expect("they fit");
    assert_eq!(
        pairs,
        [
            (&b"REQUEST_METHOD"[..], &b"POST"[..]),
            (b"CONTENT_LENGTH", b"4"),
            (b"EMPTY", b"")
        ]
    );
    for part in 1..bytes.len() {
        assert_eq!(read(&bytes, part).as_ref(), Ok(&once), "in parts of {part}");
    }
}

#[test]
fn what_is_no_request_or_announces_nothing() {
    for (bytes, reason) in [
        (&[5, 0, 0, 0][..], "unsupported uwsgi modifiers"),
        (&[0, 9, 0, 1], "unsupported uwsgi modifiers"),
        (&[0; 4], "without variables"),
    ] {
        assert!(
            read(bytes, 1).is_err_and(|fault| fault.contains(reason)),
            "{bytes:?}"
        );
    }
    // A length that is none is the variables' fault, and nothing is waited for.
    for length in ["", "-1", "1e3", "99999999999999999999999"] {
        assert!(
            read(&request_bytes(b"", length), 7)
                .is_ok_and(|read| read.body.is_empty() && read.has_ended),
            "{length}"
        );
    }
    let wrong = [&[0, 6, 0, 0][..], &[9, 0, b'a', 0, 0, 0]].concat();
    let unreadable = read(&wrong, 3).expect("a complete packet");
    assert!(unreadable.has_ended && uwsgi::pairs(&unreadable.variables).is_err());
    // Too long ones are forwarded as they come and never end.
    let long = [&[0, 0xff, 0xff, 0][..], &[1; 70_000]].concat();
    let skipped = read(&long, 1000).expect("it can be skipped");
    assert_eq!(skipped.variables.len(), 0xffff);
    assert_eq!(
        (skipped.has_ended, skipped.stray_bytes),
        (false, 70_000 - 0xffff)
    );
}

#[test]
fn an_answer_is_that_of_http_with_its_length() {
    let mut out: Vec<u8> = Vec::new();
    uwsgi::write_answer(
        &mut out,
        "Status: 503 Service Unavailable\r\nX-Come-Back-Ms: 40\r\n\r\n",
        b"abc",
    );
    let text = String::from_utf8(out).expect("text");
    assert_eq!(
        text,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\nConnection: close\r\n\
         X-Come-Back-Ms: 40\r\n\r\nabc"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]
    #[test]
    fn no_bytes_make_it_panic_and_parts_change_nothing(
        mut bytes in prop::collection::vec(any::<u8>(), 0..300),
        request in any::<bool>(),
        part in 1..40_usize,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
    ) {
        if request {
            bytes = [request_bytes(b"a body", "6"), bytes].concat();
        }
        for (place, byte) in changes {
            if !bytes.is_empty() {
                let place = place.index(bytes.len());
                bytes[place] = byte;
            }
        }
        let once = read(&bytes, bytes.len());
        let parts = read(&bytes, part);
        prop_assert_eq!(once, parts);
    }
}
