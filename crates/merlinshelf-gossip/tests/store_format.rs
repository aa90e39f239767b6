//! Recovery of records from a truncated or corrupt store file.

use merlinshelf_gossip::store_format::{
    FrameError, PersistedObservation, Record, encode_record, header, recover,
};
use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn observation(value: f64, age_seconds: f64) -> GossipedObservation {
    GossipedObservation {
        metric: Metric::CallRecent {
            dependency: "catalogue".into(),
        },
        source: Source {
            name: "a".into(),
            incarnation: 1,
        },
        value,
        sample_count: 24,
        age_seconds,
        sequence: 1,
        hops: 1,
        status: SourceStatus::Steady,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(18),
        ..ProptestConfig::default()
    })]

    /// A file truncated at any byte yields exactly the records before the cut, and a file with a
    /// flipped bit yields exactly the records before the damaged one.
    #[test]
    fn a_truncated_or_corrupt_file_yields_the_records_before_the_damage(
        values in proptest::collection::vec(0.001f64..1.0, 1..12),
        cut in 0usize..3000,
        flip in 0usize..3000,
        bit in 0u8..8,
    ) {
        let persisted = |value: &f64| {
            let observation = observation(*value, 0.5);
            Record::Observation(PersistedObservation { saved_at: 5.0, observation })
        };
        let mut all: Vec<Record> = vec![Record::Incarnation(7)];
        all.extend(values.iter().map(persisted));
        let mut ends = vec![8];
        let mut bytes = header();
        for written in &all {
            bytes.extend(encode_record(written).expect("a record that can be encoded"));
            ends.push(bytes.len());
        }
        let intact = recover(&bytes);
        prop_assert_eq!(&intact.records, &all);
        prop_assert_eq!((intact.valid_bytes, intact.error), (bytes.len(), None));
        let cut = cut.min(bytes.len());
        let torn = recover(&bytes[..cut]);
        let before = ends.iter().filter(|end| **end <= cut).count().saturating_sub(1);
        prop_assert_eq!(torn.records.as_slice(), &all[..before]);
        let is_between_records = cut == 0 || ends.contains(&cut);
        prop_assert_eq!(torn.error.is_none(), is_between_records, "{:?}", torn.error);
        let flip = flip % bytes.len();
        bytes[flip] ^= 1 << bit;
        let corrupt = recover(&bytes);
        let before = ends.iter().filter(|end| **end <= flip).count().saturating_sub(1);
        prop_assert_eq!(corrupt.records.as_slice(), &all[..before]);
        prop_assert!(corrupt.error.is_some());
    }
}

#[test]
fn an_unknown_format_is_reported_and_a_clock_set_back_reduces_no_age() {
    assert_eq!(
        recover(b"SQLite format 3\0").error,
        Some(FrameError::UnknownFormat)
    );
    assert_eq!(
        recover(b"MSK1\x03\0\0\0").error,
        Some(FrameError::UnknownFormat)
    );
    assert_eq!(recover(b"MSK1\x01\0\0\0").error, None);
    assert_eq!(
        (recover(b"").error, recover(b"MS").error),
        (None, Some(FrameError::Torn))
    );
    let persisted = PersistedObservation {
        saved_at: 1000.0,
        observation: observation(0.01, 7.0),
    };
    assert_eq!(persisted.clone().aged_to(1030.0).age_seconds, 37.0);
    assert_eq!(persisted.aged_to(400.0).age_seconds, 7.0);
}
