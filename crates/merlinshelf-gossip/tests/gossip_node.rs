//! Gossip nodes that exchange messages: the weight of observations by their source, the polls of a
//! starting node, and the CPU budget of answers.

use std::collections::VecDeque;

use merlinshelf_admission::{LearnedOperation, LearnedState, PriorEstimate};
use merlinshelf_gossip::gossip_node::{Action, GossipNode, MAX_OBSERVATIONS, Message, Settings};
use merlinshelf_gossip::{
    GossipedObservation, InvalidObservation, Metric, Scope, Source, SourceStatus, State, membership,
};

fn settings(name: &str, seeds: &[&str]) -> Settings {
    Settings {
        name: name.into(),
        address: name.into(),
        seeds: seeds.iter().map(|seed| (*seed).to_owned()).collect(),
        scope: Scope {
            engine: "e".into(),
            dependency: "d".into(),
            operations: vec!["short".into(), "long".into()],
            keep_alive_seconds: Some(30),
        },
        cpu_share: 0.01,
        membership: membership::Settings::default(),
    }
}

fn node(now: f64, name: &str, seeds: &[&str]) -> GossipNode {
    GossipNode::new(now, 1, settings(name, seeds))
}

/// What a controller has learned from `samples` runs and calls, with `failures` consecutive failed
/// calls up to now. `slowdown` scales the durations of runs.
fn learned(samples: usize, clock: f64, slowdown: f64, failures: u32) -> LearnedState {
    let all = |value: f64| -> VecDeque<f64> { (0..samples.min(24)).map(|_| value).collect() };
    let operation = |seconds: f64| LearnedOperation {
        run_durations: all(seconds * slowdown),
        run_costs: all(1.0),
        downstream_durations: all(0.02),
        lowest_duration: seconds * slowdown * 0.8,
        finishes_until_probe: 50.0,
    };
    LearnedState {
        operations: vec![operation(0.01), operation(1.0)],
        concurrency_limit: 12.0,
        last_progress_at: clock,
        calls: [(clock - 0.02, clock)].into(),
        call_durations: all(0.02),
        lowest_call_mean: 0.015,
        call_limit: 5.0,
        call_failures: failures,
        call_failed_at: clock,
        retry_marks: all(0.0),
        return_gaps: all(2.0),
        ..LearnedState::default()
    }
}

/// The receiver polls the sender once. Returns the reasons for which observations were rejected.
fn poll(now: f64, receiver: &mut GossipNode, sender: &mut GossipNode) -> Vec<InvalidObservation> {
    let poll_message = Message {
        from: receiver.members().own().clone(),
        status: receiver.status(),
        wants_observations: true,
        updates: Vec::new(),
        observations: Vec::new(),
    };
    let answer = sender.poll_received(now, &poll_message).expect("an answer");
    receiver.answer_received(now, &answer).into_keys().collect()
}

fn steady_node(now: f64, name: &str, slowdown: f64) -> GossipNode {
    let mut node = node(now - 100.0, name, &[]);
    node.record_own_samples(now, now, &learned(24, now, slowdown, 0));
    assert_eq!(node.status(), SourceStatus::Steady);
    node
}

#[test]
fn observations_apply_to_engines_of_the_same_kind_and_the_shared_dependency() {
    let mut receiver = node(100.0, "receiver", &[]);
    assert!(poll(100.0, &mut receiver, &mut steady_node(100.0, "sender", 1.0)).is_empty());
    let priors = receiver.prior_estimates(100.0);
    let long = priors.run_durations[1].expect("an estimate");
    assert!((long.value, long.weight > 0.7) == (1.0, true), "{long:?}");
    let value = |prior: Option<PriorEstimate>| prior.map(|prior| prior.value);
    assert_eq!(value(priors.call_limit), Some(5.0));
    assert_eq!(value(priors.call_failures), Some(0.0));
    assert_eq!(value(priors.returning_caller_share), Some(1.0));
    // For another kind of engine only the observations of the dependency apply.
    let mut other = settings("other", &[]);
    other.scope.engine = "another kind".into();
    let mut other = GossipNode::new(100.0, 1, other);
    poll(100.0, &mut other, &mut steady_node(100.0, "sender", 1.0));
    let priors = other.prior_estimates(100.0);
    let mut of_runs = priors.run_durations.iter().chain(&priors.lowest_durations);
    assert!(of_runs.all(Option::is_none) && priors.concurrency_limit.is_none());
    assert!(priors.lowest_call_mean.is_some());
    assert!(priors.downstream_durations.iter().all(Option::is_some));
}

#[test]
fn the_weight_of_observations_depends_on_the_status_of_their_source() {
    let weight_of_long = |sender: &mut GossipNode| {
        let mut receiver = node(200.0, "receiver", &[]);
        poll(200.0, &mut receiver, sender);
        receiver.prior_estimates(200.0).run_durations[1].map_or(0.0, |prior| prior.weight)
    };
    let full = weight_of_long(&mut steady_node(200.0, "a", 1.0));
    // Warming up: few samples, which have little weight.
    let mut warming_up = node(199.0, "b", &[]);
    warming_up.record_own_samples(200.0, 200.0, &learned(3, 200.0, 1.0, 0));
    assert_eq!(warming_up.status(), SourceStatus::Recovering);
    assert!(weight_of_long(&mut warming_up) < 0.15 * full);
    // Breaker open: its runs have less weight, its call failures full weight.
    let mut broken = node(100.0, "c", &[]);
    broken.record_own_samples(200.0, 200.0, &learned(24, 200.0, 1.0, 9));
    let mut receiver = node(200.0, "receiver", &[]);
    poll(200.0, &mut receiver, &mut broken);
    let priors = receiver.prior_estimates(200.0);
    assert!(priors.run_durations[1].expect("an estimate").weight < 0.3 * full);
    let failures = priors.call_failures.expect("an estimate");
    assert!(
        failures.value == 9.0 && failures.weight > 0.9 * full,
        "{failures:?}"
    );
    // Its upgrade was just rolled back.
    let mut rolled_back = steady_node(199.0, "d", 1.0);
    rolled_back.handover_rolled_back(199.5);
    rolled_back.record_own_samples(200.0, 200.0, &learned(23, 200.0, 1.0, 0));
    assert!(weight_of_long(&mut rolled_back) < 0.3 * full);
    // Recently synced: it forwards observations of others with one more hop, and has few own ones.
    let mut synced = node(199.5, "e", &[]);
    poll(199.5, &mut synced, &mut steady_node(199.5, "a", 1.0));
    synced.record_own_samples(200.0, 200.0, &learned(1, 200.0, 1.0, 0));
    assert_eq!(synced.status(), SourceStatus::RecentlySynced);
    let forwarded = weight_of_long(&mut synced);
    assert!(
        forwarded < 0.55 * full && forwarded > 0.4 * full,
        "{forwarded} of {full}"
    );
    // Leaving: its observations keep their weight.
    let mut leaving = steady_node(200.0, "f", 1.0);
    leaving.leave();
    assert!(weight_of_long(&mut leaving) > 0.9 * full);
    let mut receiver = node(200.0, "receiver", &[]);
    poll(200.0, &mut receiver, &mut leaving);
    assert_eq!(
        receiver.members().state_of("f"),
        None,
        "a peer that has left is not polled"
    );
}

#[test]
fn one_false_source_of_three_is_outvoted_and_rejections_are_counted_by_reason() {
    let mut receiver = node(300.0, "receiver", &[]);
    poll(300.0, &mut receiver, &mut steady_node(300.0, "a", 1.0));
    poll(300.0, &mut receiver, &mut steady_node(300.0, "b", 1.2));
    poll(300.0, &mut receiver, &mut steady_node(300.0, "liar", 400.0));
    let long = receiver.prior_estimates(300.0).run_durations[1].expect("an estimate");
    assert!((1.0..=1.2).contains(&long.value), "{long:?}");
    // Invalid observations.
    let gossiped = |value: f64, age_seconds: f64, source: &str, hops: u8| GossipedObservation {
        metric: Metric::RunLowest {
            engine: "e".into(),
            operation: "short".into(),
        },
        source: Source {
            name: source.into(),
            incarnation: 1,
        },
        value,
        sample_count: 24,
        age_seconds,
        sequence: 7,
        hops,
        status: SourceStatus::Steady,
    };
    let observations = vec![
        gossiped(0.0, 0.0, "x", 1),
        gossiped(f64::NAN, 0.0, "x", 1),
        gossiped(0.01, -3600.0, "x", 1),
        gossiped(0.01, 0.0, "receiver", 1),
        gossiped(0.01, 0.0, "y", 9),
    ];
    let mut false_source = node(300.0, "x", &[]);
    false_source.record_own_samples(300.0, 300.0, &learned(24, 300.0, 1.0, 0));
    let from = false_source.members().own().clone();
    let answer = Message {
        from,
        status: SourceStatus::Steady,
        wants_observations: false,
        updates: Vec::new(),
        observations,
    };
    let rejected = receiver.answer_received(300.0, &answer);
    assert_eq!(
        rejected.into_iter().collect::<Vec<_>>(),
        [
            (InvalidObservation::Value, 2),
            (InvalidObservation::Age, 1),
            (InvalidObservation::Hops, 1)
        ]
    );
    // A forwarded observation that claims a single hop is corrected.
    let answer = Message {
        observations: vec![gossiped(0.01, 0.0, "z", 1)],
        ..answer
    };
    receiver.answer_received(300.0, &answer);
    let forwarded_hops = receiver
        .store()
        .observations()
        .find(|entry| entry.source.name == "z")
        .map(|entry| entry.observation.hops);
    assert_eq!(forwarded_hops, Some(2));
}

#[test]
fn ages_are_correct_between_clocks_an_hour_apart() {
    for clock_offset in [-3600.0, 3600.0] {
        let sender_now = 10_000.0 + clock_offset;
        let mut sender = steady_node(sender_now, "sender", 1.0);
        let mut receiver = node(10_000.0, "receiver", &[]);
        let poll_message = Message {
            from: receiver.members().own().clone(),
            status: SourceStatus::Recovering,
            wants_observations: true,
            updates: Vec::new(),
            observations: Vec::new(),
        };
        let answer = sender
            .poll_received(sender_now + 20.0, &poll_message)
            .expect("an answer");
        assert!(receiver.answer_received(10_020.0, &answer).is_empty());
        let recent = receiver
            .store()
            .observations()
            .find(|entry| entry.metric.kind() == "run-recent");
        assert_eq!(
            recent.map(|entry| entry.observation.observed_at),
            Some(10_000.0)
        );
    }
}

#[test]
fn messages_are_bounded_and_a_flood_of_polls_stays_within_the_cpu_share() {
    let mut sender = steady_node(400.0, "sender", 1.0);
    for peer in 0..40 {
        poll(
            400.0,
            &mut sender,
            &mut steady_node(400.0, &format!("peer-{peer}"), 1.0),
        );
    }
    let poll_from = |name: &str| Message {
        from: node(400.0, name, &[]).members().own().clone(),
        status: SourceStatus::Recovering,
        wants_observations: true,
        updates: Vec::new(),
        observations: Vec::new(),
    };
    let answer = sender
        .poll_received(400.0, &poll_from("poller"))
        .expect("an answer");
    assert_eq!(answer.observations.len(), MAX_OBSERVATIONS);
    // Its own observations take precedence.
    let own = answer
        .observations
        .iter()
        .filter(|observation| observation.source.name == "sender")
        .count();
    let known = sender
        .store()
        .observations()
        .filter(|entry| entry.source.name == "sender")
        .count();
    assert_eq!(own, known);
    // A thousand polls a second at a millisecond each: answers get a hundredth of the time, plus
    // the accumulated budget.
    let mut answered = 0;
    for number in 0..10_000 {
        let now = 401.0 + number as f64 / 1e3;
        if sender.poll_received(now, &poll_from("poller")).is_some() {
            sender.charge_cpu_seconds(0.001);
            answered += 1;
        }
    }
    assert!((100..=160).contains(&answered), "{answered}");
    assert_eq!(sender.rejected_polls, 10_000 - answered);
}

#[test]
fn a_starting_node_polls_urgently_with_few_pending_polls_and_then_normally() {
    let seeds = ["a", "b", "c", "d", "e"];
    let mut starting = node(0.0, "me", &seeds);
    let mut now = 0.0;
    let mut polled_at = Vec::new();
    while now < 6.0 {
        let actions = starting.timer_expired(now, &mut || 0.5);
        polled_at.extend(actions.iter().map(|_| now));
        now += 0.01;
    }
    // No peer answers: at most three polls are pending at once, each for half a second, and after
    // three seconds one poll is sent a second.
    let early = polled_at.iter().filter(|time| **time < 3.0).count();
    let late = polled_at.iter().filter(|time| **time >= 3.5).count();
    assert!(
        (6..=21).contains(&early) && (2..=3).contains(&late),
        "{early} {late}"
    );
    // Without an address the node sends no polls and needs no timer.
    let mut alone = GossipNode::new(
        0.0,
        1,
        Settings {
            address: String::new(),
            ..settings("me", &seeds)
        },
    );
    assert_eq!(alone.next_timeout(), None);
    assert!(alone.timer_expired(5.0, &mut || 0.5).is_empty());
}

#[test]
fn restored_observations_of_an_earlier_incarnation_age_like_those_of_a_peer() {
    let before = steady_node(500.0, "me", 1.0);
    let exported = before.export(500.0);
    let is_own =
        |gossiped: &GossipedObservation| gossiped.hops == 1 && gossiped.source.name == "me";
    assert!(exported.iter().all(is_own));
    // The next incarnation starts half a minute later.
    let mut after = GossipNode::new(530.0, 2, settings("me", &[]));
    let persisted: Vec<GossipedObservation> = exported
        .into_iter()
        .map(|gossiped| GossipedObservation {
            age_seconds: gossiped.age_seconds + 30.0,
            ..gossiped
        })
        .collect();
    let count = persisted.len();
    assert_eq!(after.restore(530.0, persisted.clone()), count);
    let long = after.prior_estimates(530.0).run_durations[1].expect("an estimate");
    assert!(
        long.value == 1.0 && (0.4..0.6).contains(&long.weight),
        "{long:?}"
    );
    assert!(
        after
            .peer_statistics()
            .keys()
            .any(|name| name.contains("its own past"))
    );
    // After the engine has changed, peers get the new own observation instead of the restored one.
    after.record_own_samples(531.0, 531.0, &learned(24, 531.0, 2.0, 0));
    let mut receiver = node(531.0, "receiver", &[]);
    poll(531.0, &mut receiver, &mut after);
    let long = receiver.prior_estimates(531.0).run_durations[1].expect("an estimate");
    assert_eq!(long.value, 2.0);
    // The same incarnation rejects its own observations.
    let mut same = GossipNode::new(530.0, 1, settings("me", &[]));
    assert_eq!(same.restore(530.0, persisted), 0);
}

#[test]
fn removing_other_sources_keeps_own_observations() {
    let mut receiver = steady_node(600.0, "me", 1.0);
    poll(600.0, &mut receiver, &mut steady_node(600.0, "a", 1.0));
    poll(600.0, &mut receiver, &mut steady_node(600.0, "b", 1.0));
    let sources = |node: &GossipNode| {
        let mut all: Vec<String> = node
            .store()
            .observations()
            .map(|entry| entry.source.name.clone())
            .collect();
        all.sort();
        all.dedup();
        all
    };
    assert_eq!(sources(&receiver), ["a", "b", "me"]);
    receiver.store_mut().remove_source("a");
    assert_eq!(sources(&receiver), ["b", "me"]);
    receiver.store_mut().remove_gossiped();
    assert_eq!(sources(&receiver), ["me"]);
    assert!(receiver.prior_estimates(600.0).run_durations[1].is_none());
}

#[test]
fn a_leaving_node_announces_it_with_its_polls() {
    let mut leaving = node(0.0, "leaving", &["other"]);
    let mut other = node(0.0, "other", &["leaving"]);
    poll(0.0, &mut other, &mut leaving);
    assert_eq!(other.members().state_of("leaving"), Some(State::Alive));
    leaving.leave();
    let actions = leaving.timer_expired(1.0, &mut || 0.5);
    let Some(Action::Poll { poll, .. }) = actions.first() else {
        panic!("expected a poll")
    };
    other.poll_received(1.0, poll);
    assert_eq!(other.members().state_of("leaving"), Some(State::Left));
}
