//! The store of what is known, on a folder that crashes, fills up, may only be read or holds something else.

use merlinshelf_gossip::store::{MAX_STORE_BYTES, STORE_FILE, Store, UNREADABLE_STORE_FILE};
use merlinshelf_gossip::store_format::{FrameError, PersistedObservation};
use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_testbed::disk::{Disk, Trouble};
use merlinshelf_testbed::experiments::learning::crashes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn disk() -> Disk {
    Disk::new(Pcg64Mcg::seed_from_u64(3))
}

fn told(operation: &str, number: u64) -> GossipedObservation {
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
        sequence: number,
        hops: 1,
        status: SourceStatus::Steady,
    }
}

fn read(disk: &mut Disk) -> Vec<GossipedObservation> {
    let found = Store::open(disk).expect("it can be read").1;
    assert_eq!(found.error, None);
    found
        .observations
        .into_iter()
        .map(|kept| kept.observation)
        .collect()
}

#[test]
fn a_crash_at_every_operation_twice_in_a_row_loses_nothing_that_was_kept() {
    let came = crashes::run(17, 22);
    assert_eq!(came.wrong, 0, "{came:?}");
    assert_eq!(came.crashes, 2 * 22 * 22);
    assert!(came.read_back > came.crashes, "{came:?}");
}

#[test]
fn what_changes_is_written_behind_and_all_anew_once_the_log_is_long() {
    let mut disk = disk();
    let (mut store, _) = Store::open(&mut disk).expect("it is empty");
    store.begin_incarnation(5);
    let mut longest = 0;
    for number in 0..3000 {
        store
            .save(
                &mut disk,
                100.0 + number as f64,
                &[told("a", 1), told("b", number)],
            )
            .expect("it is kept");
        let before = disk.operations;
        store
            .save(&mut disk, 100.0, &[told("a", 1), told("b", number)])
            .expect("nothing is new");
        assert_eq!(
            disk.operations, before,
            "what is kept already is not written again"
        );
        longest = longest.max(
            merlinshelf_gossip::Files::read(&mut disk, STORE_FILE)
                .expect("it reads")
                .map_or(0, |of| of.len()),
        );
    }
    assert!(longest < 80 * 1024, "{longest}");
    let last = read(&mut disk);
    assert!(last.contains(&told("a", 1)) && last.last() == Some(&told("b", 2999)));
}

#[test]
fn a_foreign_a_later_and_an_endless_file_are_set_aside_and_told() {
    for bytes in [
        b"SQLite format 3\0".to_vec(),
        b"MSK1\x03\0\0\0later".to_vec(),
        vec![7; MAX_STORE_BYTES + 1],
    ] {
        let mut disk = disk();
        disk.put(STORE_FILE, &bytes);
        let (mut store, found) = Store::open(&mut disk).expect("it can be read");
        assert_eq!(
            (found.error, found.was_moved_aside, found.observations.len()),
            (Some(FrameError::UnknownFormat), true, 0)
        );
        assert!(disk.has(UNREADABLE_STORE_FILE) && !disk.has(STORE_FILE));
        store
            .save(&mut disk, 1.0, &[told("a", 1)])
            .expect("a new one is made");
        assert_eq!(read(&mut disk), [told("a", 1)]);
    }
}

#[test]
fn the_form_before_is_read_and_a_garbled_record_costs_what_follows_it() {
    let bytes = rmp_serde::to_vec_named(&PersistedObservation {
        saved_at: 9.0,
        observation: told("a", 4),
    })
    .expect("a record");
    let mut file = b"MSK1\x01\0\0\0".to_vec();
    file.extend((bytes.len() as u32).to_le_bytes());
    file.extend(crc32fast::hash(&bytes).to_le_bytes());
    file.extend(&bytes);
    let mut disk = disk();
    disk.put(STORE_FILE, &file);
    assert_eq!(read(&mut disk), [told("a", 4)]);
    // Written by this version, it is of this form.
    let (mut store, _) = Store::open(&mut disk).expect("it can be read");
    let life = store.begin_incarnation(12);
    store
        .save(&mut disk, 10.0, &[told("a", 4), told("b", 5)])
        .expect("it is kept");
    let (mut again, found) = Store::open(&mut disk).expect("it can be read");
    assert_eq!((found.incarnation, found.observations.len()), (life, 2));
    // The clock went back: the next life is a later one all the same.
    assert_eq!(again.begin_incarnation(3), life + 1);
    let mut whole = merlinshelf_gossip::Files::read(&mut disk, STORE_FILE)
        .expect("it reads")
        .expect("it is there");
    let last = whole.len() - 3;
    whole[last] ^= 1;
    disk.put(STORE_FILE, &whole);
    let (_, found) = Store::open(&mut disk).expect("it can be read");
    assert_eq!(
        (found.error, found.observations.len(), found.was_moved_aside),
        (Some(FrameError::Corrupt), 1, true)
    );
    assert!(
        disk.has(STORE_FILE),
        "what can be read stays until it is replaced"
    );
}

#[test]
fn a_full_or_read_only_folder_costs_the_saving_and_nothing_that_was_kept() {
    let mut disk = disk();
    let (mut store, _) = Store::open(&mut disk).expect("it is empty");
    store
        .save(&mut disk, 1.0, &[told("a", 1)])
        .expect("it is kept");
    for trouble in [Trouble::Full(10), Trouble::Full(0), Trouble::ReadOnly] {
        disk.trouble = Some(trouble);
        assert!(store.save(&mut disk, 2.0, &[told("a", 2)]).is_err());
        assert!(store.save(&mut disk, 2.5, &[told("a", 3)]).is_err());
        disk.trouble = None;
        let found = Store::open(&mut disk).expect("it can be read").1;
        assert!(
            found
                .observations
                .iter()
                .any(|kept| kept.observation == told("a", 1)),
            "{trouble:?}: {found:?}"
        );
    }
    store
        .save(&mut disk, 3.0, &[told("a", 4)])
        .expect("it is kept again");
    assert_eq!(read(&mut disk), [told("a", 4)]);
    disk.trouble = Some(Trouble::Unreadable);
    assert!(Store::open(&mut disk).is_err());
}
