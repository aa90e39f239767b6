//! The task that drives the gossip node: it records own samples, polls peers, updates the
//! controller's priors and saves.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use merlinshelf_gossip::GossipedObservation;
use merlinshelf_gossip::gossip_node::{Action, GossipNode, Settings};
use merlinshelf_gossip::store::StoreContents;
use merlinshelf_gossip::store_format::{Record, recover};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::select;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::store_thread::{StoreEvent, StoreThread};
use super::{SaveOutcome, Shared, polling};
use crate::exchange::{Shared as Exchange, monotonic_seconds, unix_ms};

/// The interval at which own samples are recorded.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// How long the start waits for the store. Observations age meanwhile, and in the first seconds
/// after a start each one is used as soon as it is known.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// The bounds of one sleep until the node's next timeout, in seconds.
const MIN_SLEEP_SECONDS: f64 = 0.002;
const MAX_SLEEP_SECONDS: f64 = 60.0;

/// The task that drives the gossip node.
pub(super) struct GossipTask {
    exchange: Exchange,
    state: Shared,
    changed: Rc<Notify>,
    settings: Settings,
    save_interval: Duration,
    store: Option<StoreThread>,
    /// The store has not reported its contents yet.
    awaits_found: bool,
    save_at: Instant,
    sampled_at: Instant,
    inherited: Vec<u8>,
}

impl GossipTask {
    pub(super) fn new(
        exchange: Exchange,
        state: Shared,
        changed: Rc<Notify>,
        settings: Settings,
        save_interval: Duration,
        store: Option<StoreThread>,
        inherited: Vec<u8>,
    ) -> GossipTask {
        GossipTask {
            exchange,
            state,
            changed,
            settings,
            save_interval,
            awaits_found: store.is_some(),
            store,
            save_at: Instant::now() + save_interval,
            sampled_at: Instant::now() - SAMPLE_INTERVAL,
            inherited,
        }
    }

    /// Runs until it is aborted.
    pub(super) async fn run(mut self) {
        self.start_node().await;
        let seed = unix_ms().to_bits() ^ u64::from(std::process::id());
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        loop {
            self.record_own_samples();
            self.poll_peers(&mut rng);
            self.update_priors();
            self.save();
            let wake_at = self.wake_at();
            select! {
                () = sleep_until(wake_at) => {}
                () = self.changed.notified() => {}
                event = next_event(&mut self.store) => self.store_reported(event),
            }
        }
    }

    /// Starts the node with the number of its incarnation, for which the store is awaited for a
    /// short time. Service does not wait for this.
    async fn start_node(&mut self) {
        if self.state.borrow().node.is_some() {
            return; // the node continues after a failed successor
        }
        let mut incarnation = unix_ms() as u64;
        let mut observations = Vec::new();
        if self.store.is_some() {
            select! {
                event = next_event(&mut self.store) => match event {
                    Some(StoreEvent::Opened { found, incarnation: new_incarnation }) => {
                        self.awaits_found = false;
                        incarnation = incarnation.max(new_incarnation);
                        observations = observations_in(found);
                    }
                    other => self.store_reported(other),
                },
                () = sleep(STORE_TIMEOUT) => warn!("gossip store slow; serving before it is read"),
            }
        }
        let now = monotonic_seconds();
        let mut node = GossipNode::new(now, incarnation, self.settings.clone());
        if self.state.borrow().is_leaving {
            node.leave();
        }
        observations.extend(self.take_inherited());
        let restored = node.restore(now, observations);
        if restored > 0 {
            log_restored(restored);
        }
        self.state.borrow_mut().node = Some(node);
    }

    /// The observations that a predecessor exported, up to the first record that can't be read.
    fn take_inherited(&mut self) -> impl Iterator<Item = GossipedObservation> {
        let recovered = recover(&std::mem::take(&mut self.inherited));
        let records = recovered.records.into_iter();
        records.filter_map(|record| match record {
            Record::Observation(persisted) => Some(persisted.aged_to(unix_ms() / 1e3)),
            Record::Incarnation(_) => None,
        })
    }

    fn store_reported(&mut self, event: Option<StoreEvent>) {
        match event {
            Some(StoreEvent::Opened { found, .. }) => self.restore_late(found),
            Some(StoreEvent::Saved) => self.save_ended(None),
            Some(StoreEvent::Failed(error)) => self.save_ended(Some(error.to_string())),
            None => self.store = None,
        }
    }

    fn restore_late(&mut self, found: StoreContents) {
        let was_awaited = std::mem::take(&mut self.awaits_found);
        let observations = observations_in(found);
        if let (true, Some(node)) = (was_awaited, &mut self.state.borrow_mut().node) {
            log_restored(node.restore(monotonic_seconds(), observations));
        }
    }

    /// Records how a save ended. Of consecutive equal failures, only the first is logged.
    fn save_ended(&mut self, error: Option<String>) {
        let outcome = SaveOutcome {
            ended_at: monotonic_seconds(),
            error: error.clone(),
        };
        let earlier = self.state.borrow_mut().save_outcome.replace(outcome);
        let earlier_error = earlier.and_then(|earlier| earlier.error);
        match error {
            None if earlier_error.is_some() => info!("gossip store written again"),
            None => {}
            Some(error) if earlier_error.as_ref() != Some(&error) => {
                warn!("gossip store not written: {error}");
            }
            Some(_) => {}
        }
    }

    fn record_own_samples(&mut self) {
        if self.sampled_at.elapsed() < SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = Instant::now();
        let learned_state = self.exchange.borrow().learned_state();
        let mut state = self.state.borrow_mut();
        if let (Some((controller_now, learned)), Some(node)) = (learned_state, &mut state.node) {
            node.record_own_samples(monotonic_seconds(), controller_now, &learned);
        }
    }

    fn poll_peers(&mut self, rng: &mut Pcg64Mcg) {
        let actions = match &mut self.state.borrow_mut().node {
            Some(node) => node.timer_expired(monotonic_seconds(), &mut || rng.random()),
            None => Vec::new(),
        };
        let timeout = Duration::from_secs_f64(self.settings.membership.answer_timeout_seconds);
        for Action::Poll { address, poll } in actions {
            let state = self.state.clone();
            let changed = self.changed.clone();
            spawn_local(polling::poll_peer(address, poll, timeout, state, changed));
        }
    }

    fn update_priors(&mut self) {
        if let Some(node) = &self.state.borrow().node {
            let priors = node.prior_estimates(monotonic_seconds());
            self.exchange.borrow_mut().set_prior_estimates(priors);
        }
    }

    fn save(&mut self) {
        let Some(store) = &self.store else { return };
        let mut state = self.state.borrow_mut();
        if Instant::now() < self.save_at && !state.needs_rewrite {
            return;
        }
        let Some(node) = &state.node else {
            return;
        };
        let observations = node.export(monotonic_seconds());
        if state.needs_rewrite {
            state.needs_rewrite = !store.rewrite(observations);
        } else {
            // If an earlier save is still running, the next one includes these observations.
            store.save(observations);
        }
        self.save_at = Instant::now() + self.save_interval;
    }

    fn wake_at(&self) -> Instant {
        let sample_at = self.sampled_at + SAMPLE_INTERVAL;
        let state = self.state.borrow();
        let Some(timeout) = state.node.as_ref().and_then(GossipNode::next_timeout) else {
            return sample_at;
        };
        let seconds = (timeout - monotonic_seconds()).clamp(MIN_SLEEP_SECONDS, MAX_SLEEP_SECONDS);
        sample_at.min(Instant::now() + Duration::from_secs_f64(seconds))
    }
}

async fn next_event(store: &mut Option<StoreThread>) -> Option<StoreEvent> {
    match store {
        Some(store) => store.next_event().await,
        None => std::future::pending().await,
    }
}

fn observations_in(found: StoreContents) -> Vec<GossipedObservation> {
    if let Some(error) = found.error {
        let consequence = if found.was_moved_aside {
            "; moved aside"
        } else {
            ""
        };
        warn!("gossip store not read completely: {error}{consequence}");
    }
    let unix_seconds = unix_ms() / 1e3;
    let observations = found.observations.into_iter();
    observations
        .map(|persisted| persisted.aged_to(unix_seconds))
        .collect()
}

fn log_restored(count: usize) {
    info!(observations = count; "restored {count} observations of earlier incarnations");
}
