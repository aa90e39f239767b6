//! Decoding of truncated and corrupt images and journals, and of those of later versions.

use merlinshelf_handover::image::DecodeError;
use merlinshelf_handover::records::{
    Answer, ClientConnectionRecord, Invocation, ResponseQueueRecord,
};
use merlinshelf_handover::{Image, Key, Transaction};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(18), ..ProptestConfig::default() })]

    /// A journal truncated at any byte is decoded up to its last complete transaction, and continues
    /// with the rest.
    #[test]
    fn truncated_journal_is_applied_up_to_its_last_complete_transaction(
        changes in proptest::collection::vec((0u64..5, proptest::option::of(0usize..200)), 1..20),
        truncated_at in 0usize..4000,
    ) {
        let mut bytes = Vec::new();
        let mut states = vec![(0, Image::default())];
        for (stream, length) in &changes {
            let mut transaction = Transaction::default();
            match length {
                Some(length) => {
                    let answer = Answer::Succeeded(vec![7; *length].into());
                    transaction.put(Key::ResponseQueue(*stream), &ResponseQueueRecord { answers: vec![(1, answer)] });
                    transaction.put(Key::ClientConnection(*stream), &ClientConnectionRecord { faults: *length as u32, ..ClientConnectionRecord::default() });
                }
                None => transaction.remove(Key::ResponseQueue(*stream)),
            }
            let written = transaction.take();
            let mut image = states.last().map(|(_, image)| image.clone()).unwrap_or_default();
            image.apply(&written).expect("a complete transaction");
            bytes.extend(written);
            states.push((bytes.len(), image));
        }
        let truncated_at = truncated_at.min(bytes.len());
        let mut image = Image::default();
        let applied_bytes = image.apply(&bytes[..truncated_at]).expect("an incomplete transaction is ignored");
        let complete = states.iter().rev().find(|(end, _)| *end <= truncated_at).expect("the first is empty");
        prop_assert_eq!((applied_bytes, &image), (complete.0, &complete.1));
        image.apply(&bytes[applied_bytes..]).expect("the rest");
        prop_assert_eq!(Some(&image), states.last().map(|(_, image)| image));
    }

    /// Arbitrary bytes without the magic are rejected without a panic, and change nothing.
    #[test]
    fn bytes_without_a_transaction_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut image = Image::default();
        if !bytes.starts_with(b"MSH1") {
            prop_assert!(image.apply(&bytes).is_err() || bytes.len() < 8);
            prop_assert_eq!(image, Image::default());
        }
    }
}

#[test]
fn unknown_fields_and_entries_of_a_later_version_are_skipped() {
    #[derive(serde::Serialize)]
    struct LaterInvocation {
        operation: usize,
        colour: String,
        calls: usize,
    }
    let mut transaction = Transaction::default();
    let key = Key::Invocation(*b"0123456789abcdef");
    transaction.put(
        key,
        &LaterInvocation {
            operation: 2,
            colour: "red".into(),
            calls: 1,
        },
    );
    let mut bytes = transaction.take();
    // An entry of a kind that this version does not know.
    bytes.extend([99; 17]);
    bytes.extend(3u32.to_be_bytes());
    bytes.extend(b"new");
    let length = (bytes.len() - 8) as u32;
    bytes[4..8].copy_from_slice(&length.to_be_bytes());
    let mut image = Image::default();
    assert_eq!(image.apply(&bytes), Ok(bytes.len()));
    assert_eq!(image.keys().collect::<Vec<_>>(), [key]);
    let known: Invocation = image.get(key).expect("a record");
    assert_eq!(
        known,
        Invocation {
            operation: 2,
            call_count: 1,
            ..Invocation::default()
        }
    );
}

#[test]
fn corrupt_record_is_distinguished_from_missing_and_removed_records() {
    let corrupt = Key::ClientConnection(1);
    let removed = Key::ClientConnection(2);
    let missing = Key::ClientConnection(3);
    let mut transaction = Transaction::default();
    transaction.put(corrupt, &"no record of a connection");
    transaction.put(removed, &ClientConnectionRecord::default());
    transaction.remove(removed);
    let bytes = transaction.take();
    let mut image = Image::default();
    assert_eq!(image.apply(&bytes), Ok(bytes.len()));
    assert_eq!(image.keys().collect::<Vec<_>>(), [corrupt]);
    let error = image.decode::<ClientConnectionRecord>(corrupt);
    assert!(
        matches!(&error, Err(DecodeError::InvalidRecord { key, .. }) if *key == corrupt),
        "{error:?}"
    );
    assert_eq!(image.get::<ClientConnectionRecord>(corrupt), None);
    for key in [removed, missing] {
        assert_eq!(image.decode::<ClientConnectionRecord>(key), Ok(None));
        assert_eq!(image.is_removed(key), key == removed);
    }
}
