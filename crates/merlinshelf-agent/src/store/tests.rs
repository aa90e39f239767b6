//! Decoding of the stored record.

use super::*;

#[test]
fn stored_record_is_read_back_and_damage_is_an_error() {
    let mut record = Record {
        last_plan_number: 7,
        ..Record::default()
    };
    record.group_counts.insert("web".into(), 3);
    let mut bytes = encode(&record).expect("a record that can be encoded");
    assert_eq!(decode(&bytes).expect("a complete file"), record);
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err());
    }
    bytes[20] ^= 1;
    assert!(decode(&bytes).is_err());
}
