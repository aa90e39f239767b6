//! The uwsgi parser on complete, split and malformed requests.

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
    /// Whether the request was read to its end.
    has_ended: bool,
    /// Bytes consumed without a fragment: those after the end of the request.
    stray_bytes: usize,
}

/// Reads a request that is received in parts of `part` bytes. Returns the text of a fault.
fn read(bytes: &[u8], part: usize) -> Result<ReadRequest, &'static str> {
    let mut request = Request::default();
    let mut result = ReadRequest::default();
    let mut from = 0;
    let mut received = 0;
    while received < bytes.len() {
        received = bytes.len().min(received + part.max(1));
        loop {
            // Restores the parser from its state before each step, as after a handover.
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
fn request_split_into_parts_of_any_size_is_read_the_same() {
    let bytes = [request_bytes(b"four", "4"), b"and more".to_vec()].concat();
    let once = read(&bytes, bytes.len()).expect("a valid request");
    assert_eq!(once.body, b"four");
    assert_eq!((once.has_ended, once.stray_bytes), (true, 8));
    let pairs = uwsgi::pairs(&once.variables).expect("complete variables");
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
fn malformed_requests_are_faults_and_invalid_lengths_announce_no_body() {
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
    // An invalid CONTENT_LENGTH is not a fault of the parser, which then expects no body.
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
    // Variables that exceed the limit are forwarded in parts, and no fragment marks their end.
    let long = [&[0, 0xff, 0xff, 0][..], &[1; 70_000]].concat();
    let skipped = read(&long, 1000).expect("a request with long variables");
    assert_eq!(skipped.variables.len(), 0xffff);
    assert_eq!(
        (skipped.has_ended, skipped.stray_bytes),
        (false, 70_000 - 0xffff)
    );
}

#[test]
fn answer_is_an_http_response_with_its_length() {
    let mut out: Vec<u8> = Vec::new();
    uwsgi::write_answer(
        &mut out,
        "Status: 503 Service Unavailable\r\nX-Come-Back-Ms: 40\r\n\r\n",
        b"abc",
    );
    let text = String::from_utf8(out).expect("UTF-8");
    assert_eq!(
        text,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\nConnection: close\r\n\
         X-Come-Back-Ms: 40\r\n\r\nabc"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]
    #[test]
    fn random_bytes_never_panic_and_splitting_does_not_change_the_result(
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
