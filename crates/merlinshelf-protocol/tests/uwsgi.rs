//! What the parser of uwsgi makes of requests, whole, cut at every byte, and of bytes that are none.

use merlinshelf_protocol::uwsgi::{self, Piece, Request};
use proptest::prelude::*;

fn whole(body: &[u8], length: &str) -> Vec<u8> {
    let mut bytes: Vec<u8> = Vec::new();
    uwsgi::request(
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

/// Variables, body, whether its last part came, and bytes that belong to nothing.
type Read = (Vec<u8>, Vec<u8>, bool, usize);

/// What bytes bring that come in parts so long, or the fault.
fn read(bytes: &[u8], part: usize) -> Result<Read, &'static str> {
    let (mut request, mut from, mut come) = (Request::default(), 0, 0);
    let (mut vars, mut body, mut last, mut over) = (Vec::new(), Vec::new(), false, 0);
    while come < bytes.len() {
        come = bytes.len().min(come + part.max(1));
        loop {
            // As after an upgrade: where it stands is all that it knows.
            request = Request::resumed(request.state());
            let (used, piece) = request.next(&bytes[from..come]).map_err(|fault| fault.0)?;
            from += used;
            match piece {
                Some(Piece::Begin) => assert!(vars.is_empty() && body.is_empty()),
                Some(Piece::Vars { bytes, body }) => {
                    vars.extend(bytes);
                    last = body == 0;
                }
                Some(Piece::Part { bytes }) => vars.extend(bytes),
                Some(Piece::Body { bytes, last: end }) => {
                    assert!(!last && !bytes.is_empty());
                    body.extend(bytes);
                    last = end;
                }
                None => over += used,
            }
            if used == 0 {
                break;
            }
        }
    }
    Ok((vars, body, last, over))
}

#[test]
fn a_request_cut_at_every_byte_is_the_same_as_whole() {
    let bytes = [whole(b"four", "4"), b"and more".to_vec()].concat();
    let once = read(&bytes, bytes.len()).expect("it can be read");
    assert_eq!((once.1.as_slice(), once.2, once.3), (&b"four"[..], true, 8));
    let pairs = uwsgi::pairs(&once.0).expect("they fit");
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
    for (bytes, why) in [
        (&[5, 0, 0, 0][..], "another kind"),
        (&[0, 9, 0, 1], "another kind"),
        (&[0; 4], "without variables"),
    ] {
        assert!(
            read(bytes, 1).is_err_and(|fault| fault.contains(why)),
            "{bytes:?}"
        );
    }
    // A length that is none is the variables' fault, and nothing is waited for.
    for length in ["", "-1", "1e3", "99999999999999999999999"] {
        assert!(
            read(&whole(b"", length), 7).is_ok_and(|(_, body, last, _)| body.is_empty() && last),
            "{length}"
        );
    }
    let wrong = [&[0, 6, 0, 0][..], &[9, 0, b'a', 0, 0, 0]].concat();
    let (vars, _, last, _) = read(&wrong, 3).expect("its packet is whole");
    assert!(last && uwsgi::pairs(&vars).is_err());
    // Too long ones are handed on as they come and never end.
    let long = [&[0, 0xff, 0xff, 0][..], &[1; 70_000]].concat();
    let (vars, _, last, over) = read(&long, 1000).expect("it can be passed over");
    assert_eq!((vars.len(), last, over), (0xffff, false, 70_000 - 0xffff));
}

#[test]
fn an_answer_is_that_of_http_with_its_length() {
    let mut out: Vec<u8> = Vec::new();
    uwsgi::answer(
        &mut out,
        "Status: 503 Service Unavailable\r\nX-Come-Back-Ms: 40\r\n\r\n",
        b"abc",
    );
    let text = String::from_utf8(out).expect("text");
    assert_eq!(
        text,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\nConnection: close\r\nX-Come-Back-Ms: 40\r\n\r\nabc"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]
    #[test]
    fn no_bytes_make_it_panic_and_parts_change_nothing(
        mut bytes in prop::collection::vec(any::<u8>(), 0..300), request in any::<bool>(), part in 1..40_usize,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
    ) {
        if request {
            bytes = [whole(b"a body", "6"), bytes].concat();
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
