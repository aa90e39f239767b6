//! Recovery of a log file after an unfinished write and after damage.

use merlinshelf_consensus::{LogFileError, Record, RecoveredLog, recover};

#[test]
fn incomplete_last_record_is_dropped_and_earlier_damage_is_an_error() {
    let records = [
        Record::VoterSlot {
            id: 1,
            incarnation: 2,
        },
        Record::HardState {
            term: 3,
            vote: 1,
            commit: 1,
        },
    ];
    let mut bytes = b"MSC1\x01\0\0\0".to_vec();
    let ends: Vec<usize> = records
        .iter()
        .map(|record| {
            bytes.extend(record.encode_frame());
            bytes.len()
        })
        .collect();
    for length in 0..bytes.len() {
        let complete = ends.iter().filter(|end| **end <= length).count();
        assert_eq!(
            recover(&bytes[..length]).map(|log| log.records),
            Ok(records[..complete].to_vec()),
            "{length}"
        );
    }
    let all = RecoveredLog {
        records: records.to_vec(),
        used_bytes: bytes.len(),
    };
    assert_eq!(recover(&bytes), Ok(all));
    bytes[18] ^= 1;
    assert_eq!(
        recover(&bytes),
        Err(LogFileError::CorruptRecord { offset_bytes: 8 })
    );
    assert_eq!(recover(b"something else"), Err(LogFileError::UnknownHeader));
}
