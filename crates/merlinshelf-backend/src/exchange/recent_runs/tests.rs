//! Tests of the limit on remembered ids, and of their records.

use super::*;

fn id(number: usize) -> CallId {
    CallId::parse(format!("{number:016x}").as_bytes()).expect("an id")
}

fn count_remembered(runs: &mut RecentRuns, total: usize) -> usize {
    (0..total)
        .filter(|number| runs.contains(id(*number)))
        .count()
}

#[test]
fn the_latest_ids_are_remembered_within_the_limit() {
    let (megabytes, total) = (2, 5000);
    let mut runs = RecentRuns::new(megabytes);
    for number in 0..total {
        runs.insert(id(number));
    }
    let limit = megabytes as usize * IDS_PER_MEGABYTE;
    let latest = total - (limit - IDS_PER_BLOCK)..total;
    assert!(latest.into_iter().all(|number| runs.contains(id(number))));
    assert!(count_remembered(&mut runs, total) <= limit);
    assert!(!runs.contains(id(0)));
}

/// Whatever was written to the journal, the records that remain hold all ids that are remembered.
#[test]
fn journaled_blocks_restore_the_same_ids() {
    let mut runs = RecentRuns::new(1);
    for number in 0..100 {
        runs.insert(id(number));
    }
    let mut stored: std::collections::BTreeMap<_, _> = runs.records().collect();
    runs.start_journal();
    let total = 1000;
    for number in 100..total {
        runs.insert(id(number));
        if number % 7 == 0 {
            let unsaved = runs.take_unsaved();
            for number in unsaved.forgotten {
                stored.remove(&number);
            }
            for number in unsaved.changed {
                stored.insert(number, runs.record(number).expect("a block"));
            }
        }
    }
    let mut restored = RecentRuns::new(1);
    for (number, record) in &stored {
        restored.restore(*number, record);
    }
    let last_written = total - total % 7;
    for number in 0..last_written {
        assert_eq!(
            restored.contains(id(number)),
            runs.contains(id(number)),
            "{number}"
        );
    }
    // The successor of that process continues the numbers of the blocks.
    restored.insert(id(total));
    assert!(restored.contains(id(total)));
    assert!(
        restored
            .blocks
            .iter()
            .is_sorted_by_key(|block| block.number)
    );
}
