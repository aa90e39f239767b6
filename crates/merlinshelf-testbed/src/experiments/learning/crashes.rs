//! Crashes of the gossip store at every file operation of one incarnation, and again at every operation of the next one, on a
//! folder that loses what was not synced. Compares what is read back with what was written.

use std::collections::BTreeMap;

use merlinshelf_gossip::store::{STORE_FILE, Store, StoreContents};
use merlinshelf_gossip::store_format::PersistedObservation;
use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::disk::Disk;

/// Totals over all crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCounts {
    pub crashes: u64,
    pub read_back: u64,
    /// Stores that returned observations that were never written, lost saved ones, or began an incarnation with a used number.
    pub wrong: u64,
}

type Written = BTreeMap<(Metric, u64), Vec<GossipedObservation>>;

/// What was written in earlier incarnations.
#[derive(Clone, Default)]
struct History {
    /// The observations of the last successful save, with its time.
    saved: Vec<(f64, GossipedObservation)>,
    /// All observations that were ever passed to the store.
    written: Written,
    incarnation: u64,
}

/// Adds a few random observations to these, each replacing the older one of its metric.
fn next_observations(
    rng: &mut Pcg64Mcg,
    sequence: &mut u64,
    before: &[GossipedObservation],
) -> Vec<GossipedObservation> {
    let mut all = before.to_vec();
    for _ in 0..rng.random_range(1..6) {
        *sequence += 1;
        let metric = Metric::RunRecent {
            engine: "e".into(),
            operation: format!("operation-{}", rng.random_range(0..40)),
        };
        let observation = GossipedObservation {
            metric,
            source: Source {
                name: "n0".into(),
                incarnation: 1,
            },
            value: rng.random_range(0.001..1.0),
            sample_count: rng.random_range(1..24),
            age_seconds: rng.random_range(0.0..30.0),
            sequence: *sequence,
            hops: 1,
            status: SourceStatus::Steady,
        };
        all.retain(|other| other.metric != observation.metric);
        all.push(observation);
    }
    all
}

/// Saves observations six times, or until the crash.
fn run_incarnation(
    disk: &mut Disk,
    store: &mut Store,
    history: &mut History,
    rng: &mut Pcg64Mcg,
    clock: &mut f64,
) {
    let mut sequence = history
        .written
        .values()
        .flatten()
        .map(|observation| observation.sequence)
        .max()
        .unwrap_or(0);
    let mut all: Vec<GossipedObservation> = history
        .saved
        .iter()
        .map(|(_, observation)| observation.clone())
        .collect();
    for _ in 0..6 {
        *clock += 5.0;
        all = next_observations(rng, &mut sequence, &all);
        for observation in &all {
            let written = history
                .written
                .entry((observation.metric.clone(), observation.sequence))
                .or_default();
            if !written.contains(observation) {
                written.push(observation.clone());
            }
        }
        if store.save(disk, *clock, &all).is_err() {
            return;
        }
        history.saved = all
            .iter()
            .map(|observation| (*clock, observation.clone()))
            .collect();
    }
}

/// Whether the store returned what was written: every observation was once passed to it unchanged, and none is older than in the
/// last successful save.
fn is_correct(found: &StoreContents, history: &History) -> bool {
    let mut last: BTreeMap<&Metric, &PersistedObservation> = BTreeMap::new();
    for persisted in &found.observations {
        let written = history.written.get(&(
            persisted.observation.metric.clone(),
            persisted.observation.sequence,
        ));
        if !written.is_some_and(|written| written.contains(&persisted.observation)) {
            return false;
        }
        last.insert(&persisted.observation.metric, persisted);
    }
    history.saved.iter().all(|(_, observation)| {
        last.get(&observation.metric)
            .is_some_and(|last| last.observation.sequence >= observation.sequence)
    })
}

/// Crashes one incarnation at each of the first `operations` file operations and, for each of these, the next incarnation too.
pub fn run(seed: u64, operations: u32) -> CrashCounts {
    let mut crashes = CrashCounts::default();
    for first in 0..operations {
        for second in 0..operations {
            let mut rng =
                Pcg64Mcg::seed_from_u64(seed ^ u64::from(first) << 32 ^ u64::from(second) << 8);
            let mut disk = Disk::new(Pcg64Mcg::seed_from_u64(rng.random()));
            let (mut history, mut clock) = (History::default(), 1e9);
            for crash in [Some(first), Some(second), None] {
                if let Some(crash) = crash {
                    disk.crash_after(crash);
                }
                if let Ok((mut store, found)) = Store::open(&mut disk) {
                    crashes.read_back += 1;
                    let incarnation = store.begin_incarnation((clock * 1e3) as u64);
                    if !is_correct(&found, &history) || incarnation <= history.incarnation {
                        crashes.wrong += 1;
                    }
                    history.incarnation = incarnation;
                    // A partly written end of the log may hold newer observations than the last successful save.
                    run_incarnation(&mut disk, &mut store, &mut history, &mut rng, &mut clock);
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
