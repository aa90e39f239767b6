//! Learners among others: who is believed how far, a start all at once, halves that restart or part, one that answers nobody,
//! and how little teaching may take.

use std::collections::VecDeque;

use merlinshelf_admission::{LearnedOperation, LearnedState};
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
            keep_idle: Some(30),
        },
        share: 0.01,
        members: membership::Settings::default(),
    }
}

fn learner(now: f64, name: &str, seeds: &[&str]) -> GossipNode {
    GossipNode::new(now, 1, settings(name, seeds))
}

/// What a module has learnt from so many runs and calls, with so many failures in a row by now.
fn learnt(samples: usize, clock: f64, speed: f64, failures: u32) -> LearnedState {
    let all = |value: f64| -> VecDeque<f64> { (0..samples.min(24)).map(|_| value).collect() };
    let of = |seconds: f64| LearnedOperation {
        run_durations: all(seconds * speed),
        run_costs: all(1.0),
        downstream_durations: all(0.02),
        lowest_duration: seconds * speed * 0.8,
        finishes_until_probe: 50.0,
    };
    LearnedState {
        operations: vec![of(0.01), of(1.0)],
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

/// One asks the other once; the figures that were not taken.
fn ask(now: f64, pupil: &mut GossipNode, teacher: &mut GossipNode) -> Vec<InvalidObservation> {
    let question = Message {
        from: pupil.members().own().clone(),
        standing: pupil.standing(),
        wants: true,
        news: Vec::new(),
        figures: Vec::new(),
    };
    let answer = teacher.asked(now, &question).expect("it has time to teach");
    pupil.answered(now, &answer).into_keys().collect()
}

fn steady(now: f64, name: &str, speed: f64) -> GossipNode {
    let mut one = learner(now - 100.0, name, &[]);
    one.see(now, now, &learnt(24, now, speed, 0));
    assert_eq!(one.standing(), SourceStatus::Steady);
    one
}

#[test]
fn a_steady_teachers_figures_are_believed_of_like_machines_and_of_the_shared_dependency() {
    let mut pupil = learner(100.0, "pupil", &[]);
    assert!(ask(100.0, &mut pupil, &mut steady(100.0, "teacher", 1.0)).is_empty());
    let of = pupil.beliefs(100.0);
    let long = of.run_durations[1].expect("it is told of");
    assert!((long.value, long.weight > 0.7) == (1.0, true), "{long:?}");
    assert_eq!(of.call_limit.map(|of| of.value), Some(5.0));
    assert_eq!(of.call_failures.map(|of| of.value), Some(0.0));
    assert_eq!(of.returning_caller_share.map(|of| of.value), Some(1.0));
    // One on another kind of machine drops what holds for engines, and keeps what holds for the dependency.
    let mut other = settings("other", &[]);
    other.scope.engine = "another kind".into();
    let mut other = GossipNode::new(100.0, 1, other);
    ask(100.0, &mut other, &mut steady(100.0, "teacher", 1.0));
    let of = other.beliefs(100.0);
    assert!(
        of.run_durations
            .iter()
            .chain(&of.lowest_durations)
            .all(Option::is_none)
            && of.concurrency_limit.is_none()
    );
    assert!(of.call_lowest.is_some() && of.downstream_durations.iter().all(Option::is_some));
}

#[test]
fn a_teacher_that_recovers_leaves_was_taken_back_or_was_just_taught_itself_counts_accordingly() {
    let weight_of_long = |teacher: &mut GossipNode| {
        let mut pupil = learner(200.0, "pupil", &[]);
        ask(200.0, &mut pupil, teacher);
        pupil.beliefs(200.0).run_durations[1].map_or(0.0, |of| of.weight)
    };
    let full = weight_of_long(&mut steady(200.0, "a", 1.0));
    // Cold: few samples, and little trust in them.
    let mut cold = learner(199.0, "b", &[]);
    cold.see(200.0, 200.0, &learnt(3, 200.0, 1.0, 0));
    assert_eq!(cold.standing(), SourceStatus::Recovering);
    assert!(weight_of_long(&mut cold) < 0.15 * full);
    // Its breaker open: what it knows of runs counts less, that calls fail counts in full.
    let mut broken = learner(100.0, "c", &[]);
    broken.see(200.0, 200.0, &learnt(24, 200.0, 1.0, 9));
    let mut pupil = learner(200.0, "pupil", &[]);
    ask(200.0, &mut pupil, &mut broken);
    let of = pupil.beliefs(200.0);
    assert!(of.run_durations[1].expect("it is told of").weight < 0.3 * full);
    let failures = of.call_failures.expect("it is told of");
    assert!(
        failures.value == 9.0 && failures.weight > 0.9 * full,
        "{failures:?}"
    );
    // Taken back a moment ago.
    let mut back = steady(199.0, "d", 1.0);
    back.taken_back(199.5);
    back.see(200.0, 200.0, &learnt(23, 200.0, 1.0, 0));
    assert!(weight_of_long(&mut back) < 0.3 * full);
    // Just taught: it passes on whose figures these are, over one hop more, and of its own it says little.
    let mut middle = learner(199.5, "e", &[]);
    ask(199.5, &mut middle, &mut steady(199.5, "a", 1.0));
    middle.see(200.0, 200.0, &learnt(1, 200.0, 1.0, 0));
    assert_eq!(middle.standing(), SourceStatus::JustTaught);
    let second_hand = weight_of_long(&mut middle);
    assert!(
        second_hand < 0.55 * full && second_hand > 0.4 * full,
        "{second_hand} of {full}"
    );
    // One that leaves knows as much as before.
    let mut leaving = steady(200.0, "f", 1.0);
    leaving.leave();
    assert!(weight_of_long(&mut leaving) > 0.9 * full);
    let mut pupil = learner(200.0, "pupil", &[]);
    ask(200.0, &mut pupil, &mut leaving);
    assert_eq!(
        pupil.members().state_of("f"),
        None,
        "one that has left is nobody to ask"
    );
}

#[test]
fn one_liar_among_three_is_outvoted_and_what_can_not_be_is_named() {
    let mut pupil = learner(300.0, "pupil", &[]);
    ask(300.0, &mut pupil, &mut steady(300.0, "a", 1.0));
    ask(300.0, &mut pupil, &mut steady(300.0, "b", 1.2));
    ask(300.0, &mut pupil, &mut steady(300.0, "liar", 400.0));
    let long = pupil.beliefs(300.0).run_durations[1].expect("it is told of");
    assert!((1.0..=1.2).contains(&long.value), "{long:?}");
    // Word of what can't be.
    let told = |value: f64, age: f64, origin: &str, hops: u8| GossipedObservation {
        subject: Metric::RunLowest {
            engine: "e".into(),
            operation: "short".into(),
        },
        origin: Source {
            name: origin.into(),
            life: 1,
        },
        value,
        count: 24,
        age,
        number: 7,
        hops,
        standing: SourceStatus::Steady,
    };
    let figures = vec![
        told(0.0, 0.0, "x", 1),
        told(f64::NAN, 0.0, "x", 1),
        told(0.01, -3600.0, "x", 1),
        told(0.01, 0.0, "pupil", 1),
        told(0.01, 0.0, "y", 9),
    ];
    let mut liar = learner(300.0, "x", &[]);
    liar.see(300.0, 300.0, &learnt(24, 300.0, 1.0, 0));
    let from = liar.members().own().clone();
    let answer = Message {
        from,
        standing: SourceStatus::Steady,
        wants: false,
        news: Vec::new(),
        figures,
    };
    let odd = pupil.answered(300.0, &answer);
    assert_eq!(
        odd.into_iter().collect::<Vec<_>>(),
        [
            (InvalidObservation::Value, 2),
            (InvalidObservation::Age, 1),
            (InvalidObservation::Hops, 1)
        ]
    );
    // Who tells another one's figures as if over one hop is put right.
    let answer = Message {
        figures: vec![told(0.01, 0.0, "z", 1)],
        ..answer
    };
    pupil.answered(300.0, &answer);
    let z = pupil
        .book()
        .figures()
        .find(|(_, origin, _)| origin.name == "z")
        .map(|(_, _, figure)| figure.hops);
    assert_eq!(z, Some(2));
}

#[test]
fn clocks_that_are_an_hour_apart_disagree_about_nothing() {
    for apart in [-3600.0, 3600.0] {
        let (now, mut teacher) = (10_000.0 + apart, steady(10_000.0 + apart, "teacher", 1.0));
        let mut pupil = learner(10_000.0, "pupil", &[]);
        let question = Message {
            from: pupil.members().own().clone(),
            standing: SourceStatus::Recovering,
            wants: true,
            news: Vec::new(),
            figures: Vec::new(),
        };
        let answer = teacher.asked(now + 20.0, &question).expect("an answer");
        assert!(pupil.answered(10_020.0, &answer).is_empty());
        let long = pupil
            .book()
            .figures()
            .find(|(subject, ..)| subject.kind() == "run-recent");
        assert_eq!(long.map(|(_, _, figure)| figure.seen), Some(10_000.0));
    }
}

#[test]
fn a_message_of_any_size_is_bounded_and_a_flood_of_questions_takes_no_more_than_the_share() {
    let mut teacher = steady(400.0, "teacher", 1.0);
    for peer in 0..40 {
        ask(
            400.0,
            &mut teacher,
            &mut steady(400.0, &format!("peer-{peer}"), 1.0),
        );
    }
    let question = |name: &str| Message {
        from: learner(400.0, name, &[]).members().own().clone(),
        standing: SourceStatus::Recovering,
        wants: true,
        news: Vec::new(),
        figures: Vec::new(),
    };
    let answer = teacher.asked(400.0, &question("asker")).expect("an answer");
    assert_eq!(answer.figures.len(), MAX_OBSERVATIONS);
    // What it has seen itself goes first.
    let own = answer
        .figures
        .iter()
        .filter(|told| told.origin.name == "teacher")
        .count();
    let known = teacher
        .book()
        .figures()
        .filter(|(_, origin, _)| origin.name == "teacher")
        .count();
    assert_eq!(own, known);
    // A thousand questions a second that take a millisecond each: a hundredth of the time is theirs, and what was saved up.
    let mut answered = 0;
    for number in 0..10_000 {
        let now = 401.0 + number as f64 / 1e3;
        if teacher.asked(now, &question("asker")).is_some() {
            teacher.spent(0.001);
            answered += 1;
        }
    }
    assert!((100..=160).contains(&answered), "{answered}");
    assert_eq!(teacher.turned_away, 10_000 - answered);
}

#[test]
fn a_start_is_in_a_hurry_asks_few_at_once_and_calms_down() {
    let seeds = ["a", "b", "c", "d", "e"];
    let mut one = learner(0.0, "me", &seeds);
    let (mut now, mut asked) = (0.0, Vec::new());
    while now < 6.0 {
        let steps = one.woken(now, &mut || 0.5);
        asked.extend(
            steps
                .into_iter()
                .map(|Action::Ask { address, .. }| (now, address)),
        );
        now += 0.01;
    }
    // Nobody answers: at most three are waited for at once, each for half a second, and after three seconds one a second.
    let early = asked.iter().filter(|(at, _)| *at < 3.0).count();
    let late = asked.iter().filter(|(at, _)| *at >= 3.5).count();
    assert!(
        (6..=21).contains(&early) && (2..=3).contains(&late),
        "{early} {late}"
    );
    // Alone it asks nobody and never wakes for it.
    let mut alone = GossipNode::new(
        0.0,
        1,
        Settings {
            address: String::new(),
            ..settings("me", &seeds)
        },
    );
    assert_eq!(alone.wake_at(), None);
    assert!(alone.woken(5.0, &mut || 0.5).is_empty());
}

#[test]
fn its_own_past_is_a_teacher_like_others_that_grows_old() {
    let before = steady(500.0, "me", 1.0);
    let kept = before.kept(500.0);
    assert!(
        kept.iter()
            .all(|told| told.hops == 1 && told.origin.name == "me")
    );
    // The next life, on the same machine: half a minute of it went by.
    let mut after = GossipNode::new(530.0, 2, settings("me", &[]));
    let kept: Vec<GossipedObservation> = kept
        .into_iter()
        .map(|told| GossipedObservation {
            age: told.age + 30.0,
            ..told
        })
        .collect();
    let count = kept.len();
    assert_eq!(after.remember(530.0, kept.clone()), count);
    let long = after.beliefs(530.0).run_durations[1].expect("it knows");
    assert!(
        long.value == 1.0 && (0.4..0.6).contains(&long.weight),
        "{long:?}"
    );
    assert!(
        after
            .lessons()
            .keys()
            .any(|name| name.contains("its own past"))
    );
    // The world has changed: what it sees itself is told to others, not what it remembers of that.
    after.see(531.0, 531.0, &learnt(24, 531.0, 2.0, 0));
    let mut pupil = learner(531.0, "pupil", &[]);
    ask(531.0, &mut pupil, &mut after);
    let long = pupil.beliefs(531.0).run_durations[1].expect("it is told of");
    assert_eq!(long.value, 2.0);
    // The same life does not teach itself.
    let mut same = GossipNode::new(530.0, 1, settings("me", &[]));
    assert_eq!(same.remember(530.0, kept), 0);
}

#[test]
fn forgetting_one_origin_or_all_leaves_what_was_seen_here() {
    let mut one = steady(600.0, "me", 1.0);
    ask(600.0, &mut one, &mut steady(600.0, "a", 1.0));
    ask(600.0, &mut one, &mut steady(600.0, "b", 1.0));
    let origins = |one: &GossipNode| {
        let mut all: Vec<String> = one
            .book()
            .figures()
            .map(|(_, origin, _)| origin.name.clone())
            .collect();
        all.sort();
        all.dedup();
        all
    };
    assert_eq!(origins(&one), ["a", "b", "me"]);
    one.book_mut().forget("a");
    assert_eq!(origins(&one), ["b", "me"]);
    one.book_mut().forget_others();
    assert_eq!(origins(&one), ["me"]);
    assert!(one.beliefs(600.0).run_durations[1].is_none());
}

#[test]
fn a_leaving_one_says_so_to_whom_it_asks() {
    let (mut one, mut other) = (
        learner(0.0, "one", &["other"]),
        learner(0.0, "other", &["one"]),
    );
    ask(0.0, &mut other, &mut one);
    assert_eq!(other.members().state_of("one"), Some(State::Alive));
    one.leave();
    let steps = one.woken(1.0, &mut || 0.5);
    let Some(Action::Ask { question, .. }) = steps.into_iter().next() else {
        panic!("it asks")
    };
    other.asked(1.0, &question);
    assert_eq!(other.members().state_of("one"), Some(State::Left));
}
