//! The control socket's words: whole, cut at every byte, garbled and endless.

use merlinshelf_protocol::control::{ControlMessage, ControlRequest, ask, question, say, word};

#[test]
fn questions_and_words_come_back_as_they_were_said_however_they_are_cut() {
    let mut bytes: Vec<u8> = Vec::new();
    ask(&mut bytes, ControlRequest::Upgrade, b"{\"a\":1}");
    assert_eq!(bytes, b"ask 1 upgrade 7\r\n{\"a\":1}\r\n");
    for cut in 0..bytes.len() {
        assert_eq!(question(&bytes[..cut]), Ok(None), "cut at {cut}");
    }
    let length = bytes.len();
    bytes.extend(b"ask");
    assert_eq!(
        question(&bytes),
        Ok(Some((
            (1, ControlRequest::Upgrade, b"{\"a\":1}".as_slice()),
            length
        )))
    );
    for (said, text) in [
        (ControlMessage::More, "more"),
        (ControlMessage::Done, "done"),
        (ControlMessage::Failed, "failed"),
        (ControlMessage::Refused, "refused"),
    ] {
        let mut bytes: Vec<u8> = Vec::new();
        say(&mut bytes, said, b"\r\n");
        assert_eq!(bytes, format!("say 1 {text} 2\r\n\r\n\r\n").as_bytes());
        for cut in 0..bytes.len() {
            assert_eq!(word(&bytes[..cut]), Ok(None), "{text} cut at {cut}");
        }
        assert_eq!(
            word(&bytes),
            Ok(Some(((1, said, b"\r\n".as_slice()), bytes.len())))
        );
    }
}

#[test]
fn another_form_is_told_and_what_is_no_word_is_a_fault_at_once() {
    assert_eq!(
        question(b"ask 7 status 0\r\n\r\n"),
        Ok(Some(((7, ControlRequest::Status, b"".as_slice()), 18)))
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
        assert!(question(fault).is_err(), "{}", fault.escape_ascii());
    }
    // A line without an end is not waited for.
    assert!(question(&[b'a'; 2000]).is_err());
}
