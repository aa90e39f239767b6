//! The gossip store on a folder that crashes, is full, is read-only or contains foreign files.

use merlinshelf_gossip::store::{MAX_STORE_BYTES, STORE_FILE, Store, UNREADABLE_STORE_FILE};
use merlinshelf_gossip::store_format::{FrameError, PersistedObservation};
use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_testbed::disk::{Disk, DiskFault};
use merlinshelf_testbed::experiments::learning::crashes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn disk() -> Disk {
    Disk::new(Pcg64Mcg::seed_from_u64(3))
}

fn observation(operation: &str, sequence: u64) -> GossipedObservation {
    GossipedObservation {
        metric: Metric::RunRecent {
            engine: "e".into(),
            operation: operation.into(),
        },
        source: Source {
            name: "n0".into(),
            incarnation: 1,
        },
        value: 0.01,
        sample_count: 24,
        age_seconds: 1.0,
        sequence,
        hops: 1,
        status: SourceStatus::Steady,
    }
}

fn stored_observations(disk: &mut Disk) -> Vec<GossipedObservation> {
    let found = Store::open(disk).expect("opening the store").1;
    assert_eq!(found.error, None);
    found
        .observations
        .into_iter()
        .map(|stored| stored.observation)
        .collect()
}

#[test]
fn two_crashes_in_a_row_at_any_operation_lose_no_saved_observation() {
    let outcome = crashes::run(17, 22);
    assert_eq!(outcome.wrong, 0, "{outcome:?}");
    assert_eq!(outcome.crashes, 2 * 22 * 22);
    assert!(outcome.read_back > outcome.crashes, "{outcome:?}");
}

#[test]
fn changes_are_appended_and_a_long_log_is_rewritten() {
    let mut disk = disk();
    let (mut store, _) = Store::open(&mut disk).expect("opening an empty folder");
    store.begin_incarnation(5);
    let mut longest = 0;
    for number in 0..3000 {
        store
            .save(
                &mut disk,
                100.0 + number as f64,
                &[observation("a", 1), observation("b", number)],
            )
            .expect("saving");
        let before = disk.operations;
        store
            .save(
                &mut disk,
                100.0,
                &[observation("a", 1), observation("b", number)],
            )
            .expect("saving without changes");
        assert_eq!(
            disk.operations, before,
            "observations already saved are not written again"
        );
        longest = longest.max(
            merlinshelf_gossip::Files::read(&mut disk, STORE_FILE)
                .expect("reading the file")
                .map_or(0, |bytes| bytes.len()),
        );
    }
    assert!(longest < 80 * 1024, "{longest}");
    let last = stored_observations(&mut disk);
    assert!(last.contains(&observation("a", 1)) && last.last() == Some(&observation("b", 2999)));
}

#[test]
fn foreign_newer_and_oversized_files_are_set_aside_and_reported() {
    for bytes in [
        b"SQLite format 3\0".to_vec(),
        b"MSK1\x03\0\0\0later".to_vec(),
        vec![7; MAX_STORE_BYTES + 1],
    ] {
        let mut disk = disk();
        disk.insert_file(STORE_FILE, &bytes);
        let (mut store, found) = Store::open(&mut disk).expect("opening the store");
        assert_eq!(
            (found.error, found.was_moved_aside, found.observations.len()),
            (Some(FrameError::UnknownFormat), true, 0)
        );
        assert!(disk.contains(UNREADABLE_STORE_FILE) && !disk.contains(STORE_FILE));
        store
            .save(&mut disk, 1.0, &[observation("a", 1)])
            .expect("saving to a new file");
        assert_eq!(stored_observations(&mut disk), [observation("a", 1)]);
    }
}

#[test]
fn the_previous_format_is_read_and_a_corrupt_record_drops_the_rest() {
    let bytes = rmp_serde::to_vec_named(&PersistedObservation {
        saved_at: 9.0,
        observation: observation("a", 4),
    })
    .expect("encoding a record");
    let mut file = b"MSK1\x01\0\0\0".to_vec();
    file.extend((bytes.len() as u32).to_le_bytes());
    file.extend(crc32fast::hash(&bytes).to_le_bytes());
    file.extend(&bytes);
    let mut disk = disk();
    disk.insert_file(STORE_FILE, &file);
    assert_eq!(stored_observations(&mut disk), [observation("a", 4)]);
    // This version writes the current format.
    let (mut store, _) = Store::open(&mut disk).expect("opening the store");
    let incarnation = store.begin_incarnation(12);
    store
        .save(&mut disk, 10.0, &[observation("a", 4), observation("b", 5)])
        .expect("saving");
    let (mut reopened, found) = Store::open(&mut disk).expect("opening the store");
    assert_eq!(
        (found.incarnation, found.observations.len()),
        (incarnation, 2)
    );
    // The next incarnation is greater even if the clock went back.
    assert_eq!(reopened.begin_incarnation(3), incarnation + 1);
    let mut file = merlinshelf_gossip::Files::read(&mut disk, STORE_FILE)
        .expect("reading the file")
        .expect("the file exists");
    let last = file.len() - 3;
    file[last] ^= 1;
    disk.insert_file(STORE_FILE, &file);
    let (_, found) = Store::open(&mut disk).expect("opening the store");
    assert_eq!(
        (found.error, found.observations.len(), found.was_moved_aside),
        (Some(FrameError::Corrupt), 1, true)
    );
    assert!(
        disk.contains(STORE_FILE),
        "a readable file stays until it is replaced"
    );
}

#[test]
fn a_full_or_read_only_folder_fails_the_save_and_keeps_saved_data() {
    let mut disk = disk();
    let (mut store, _) = Store::open(&mut disk).expect("opening an empty folder");
    store
        .save(&mut disk, 1.0, &[observation("a", 1)])
        .expect("saving");
    for fault in [DiskFault::Full(10), DiskFault::Full(0), DiskFault::ReadOnly] {
        disk.fault = Some(fault);
        assert!(store.save(&mut disk, 2.0, &[observation("a", 2)]).is_err());
        assert!(store.save(&mut disk, 2.5, &[observation("a", 3)]).is_err());
        disk.fault = None;
        let found = Store::open(&mut disk).expect("opening the store").1;
        assert!(
            found
                .observations
                .iter()
                .any(|stored| stored.observation == observation("a", 1)),
            "{fault:?}: {found:?}"
        );
    }
    store
        .save(&mut disk, 3.0, &[observation("a", 4)])
        .expect("saving again");
    assert_eq!(stored_observations(&mut disk), [observation("a", 4)]);
    disk.fault = Some(DiskFault::Unreadable);
    assert!(Store::open(&mut disk).is_err());
}
