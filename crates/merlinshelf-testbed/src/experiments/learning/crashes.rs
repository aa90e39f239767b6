//! CrashCounts of the store: at every operation of a life, and again at every operation of the life after, on a folder that
//! loses what was not synced. What is read back is held against what was written.

use std::collections::BTreeMap;

use merlinshelf_gossip::store::{Found, STORE_FILE, Store};
use merlinshelf_gossip::store_format::PersistedObservation;
use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::disk::Disk;

/// What the crashes came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCounts {
    pub crashes: u64,
    pub read_back: u64,
    /// Stores that gave back what was never written, or lost what was.
    pub wrong: u64,
}

type Written = BTreeMap<(Metric, u64), Vec<GossipedObservation>>;

/// One life as the test knows it: what was kept for certain, and everything that was ever handed to the store.
#[derive(Clone, Default)]
struct Past {
    /// The last saving that went well, as of when.
    certain: Vec<(f64, GossipedObservation)>,
    ever: Written,
    life: u64,
}

fn figures(
    rng: &mut Pcg64Mcg,
    number: &mut u64,
    before: &[GossipedObservation],
) -> Vec<GossipedObservation> {
    let mut all = before.to_vec();
    for _ in 0..rng.random_range(1..6) {
        *number += 1;
        let subject = Metric::RunRecent {
            engine: "e".into(),
            operation: format!("operation-{}", rng.random_range(0..40)),
        };
        let told = GossipedObservation {
            metric: subject,
            source: Source {
                name: "n0".into(),
                incarnation: 1,
            },
            value: rng.random_range(0.001..1.0),
            sample_count: rng.random_range(1..24),
            age_seconds: rng.random_range(0.0..30.0),
            sequence: *number,
            hops: 1,
            status: SourceStatus::Steady,
        };
        all.retain(|one| one.metric != told.metric);
        all.push(told);
    }
    all
}

/// Savings until the end or the crash.
fn live(disk: &mut Disk, store: &mut Store, past: &mut Past, rng: &mut Pcg64Mcg, clock: &mut f64) {
    let mut number = past
        .ever
        .values()
        .flatten()
        .map(|told| told.sequence)
        .max()
        .unwrap_or(0);
    let mut all: Vec<GossipedObservation> =
        past.certain.iter().map(|(_, told)| told.clone()).collect();
    for _ in 0..6 {
        *clock += 5.0;
        all = figures(rng, &mut number, &all);
        for told in &all {
            let ever = past
                .ever
                .entry((told.metric.clone(), told.sequence))
                .or_default();
            if !ever.contains(told) {
                ever.push(told.clone());
            }
        }
        if store.save(disk, *clock, &all).is_err() {
            return;
        }
        past.certain = all.iter().map(|told| (*clock, told.clone())).collect();
    }
}

/// Whether what was found is what was written: every figure one that was handed over as it was, none older than the last
/// saving that went well, and no life begun under a number that was used.
fn right(found: &Found, past: &Past) -> bool {
    let mut last: BTreeMap<&Metric, &PersistedObservation> = BTreeMap::new();
    for kept in &found.observations {
        let known = past
            .ever
            .get(&(kept.observation.metric.clone(), kept.observation.sequence));
        if !known.is_some_and(|known| known.contains(&kept.observation)) {
            return false;
        }
        last.insert(&kept.observation.metric, kept);
    }
    past.certain.iter().all(|(_, told)| {
        last.get(&told.metric)
            .is_some_and(|of| of.observation.sequence >= told.sequence)
    })
}

/// CrashCounts at each operation of a first life and, after that, of a second one.
pub fn run(seed: u64, operations: u32) -> CrashCounts {
    let mut crashes = CrashCounts::default();
    for first in 0..operations {
        for second in 0..operations {
            let mut rng =
                Pcg64Mcg::seed_from_u64(seed ^ u64::from(first) << 32 ^ u64::from(second) << 8);
            let mut disk = Disk::new(Pcg64Mcg::seed_from_u64(rng.random()));
            let (mut past, mut clock) = (Past::default(), 1e9);
            for crash in [Some(first), Some(second), None] {
                if let Some(crash) = crash {
                    disk.crash_after(crash);
                }
                if let Ok((mut store, found)) = Store::open(&mut disk) {
                    crashes.read_back += 1;
                    let began = store.begin_incarnation((clock * 1e3) as u64);
                    if !right(&found, &past) || began <= past.life {
                        crashes.wrong += 1;
                    }
                    past.life = began;
                    // What was found is what is there: a torn end may have held more than was certain.
                    live(&mut disk, &mut store, &mut past, &mut rng, &mut clock);
                }
                if crash.is_some() {
                    crashes.crashes += 1;
                    disk.restart();
                }
            }
            crashes.wrong += u64::from(!disk.contains(STORE_FILE));
        }
    }
    crashes
}
