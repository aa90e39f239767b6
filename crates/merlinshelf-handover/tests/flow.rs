//! Reconciliation of recorded byte counts with the kernel's, for random counts.

use merlinshelf_handover::{ByteCountMismatch, Flow, KernelByteCounts};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(18), ..ProptestConfig::default() })]

    /// The record matches the kernel's counts to the byte after reconciliation, wherever the process
    /// died between recording, reading and writing.
    #[test]
    fn records_are_reconciled_with_the_kernels_counts(
        received in 0u64..5000, read in 0u64..5000, recorded_ahead in 0u64..3000, is_closed_by_peer: bool,
        recorded_written in 0u64..5000, written_ahead in 0usize..3000, buffered in 0usize..3000, acknowledged in 0u64..5000,
        is_opened_locally: bool,
    ) {
        let read = read.min(received);
        let read_ahead = recorded_ahead.min(received - read);
        let written_ahead = written_ahead.min(buffered);
        let written = recorded_written + written_ahead as u64;
        let acknowledged = acknowledged.min(written);
        let bytes: Vec<u8> = (0..buffered).map(|index| index as u8).collect();
        let mut flow = Flow { read_bytes: read + read_ahead, written_bytes: recorded_written, read_buffer: Vec::new(), write_buffer: bytes.clone() };
        let kernel = KernelByteCounts {
            received_bytes: received + u64::from(is_closed_by_peer),
            unread_bytes: received - read,
            is_closed_by_peer,
            acknowledged_bytes: acknowledged + u64::from(is_opened_locally),
            unacknowledged_bytes: written - acknowledged,
            is_opened_locally,
        };
        let reconciliation = flow.reconcile(kernel).expect("consistent counts");
        prop_assert_eq!((reconciliation.discard_bytes as u64, reconciliation.written_bytes), (read_ahead, written_ahead));
        prop_assert_eq!((flow.written_bytes, flow.write_buffer), (written, bytes[written_ahead..].to_vec()));
        // Bytes that were read or written and never recorded are detected.
        if read > 0 {
            let mut lost = Flow { read_bytes: read - 1, written_bytes: recorded_written, ..Flow::default() };
            prop_assert_eq!(lost.reconcile(kernel), Err(ByteCountMismatch::UnrecordedRead(1)));
        }
        if written > 0 {
            let mut unknown = Flow { read_bytes: read, written_bytes: written - 1, ..Flow::default() };
            prop_assert_eq!(unknown.reconcile(kernel), Err(ByteCountMismatch::UnrecordedWrite(1)));
        }
    }
}
