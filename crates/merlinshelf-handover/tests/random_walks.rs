//! Random sequences of events of both processes, with checks of the handover's invariants.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use merlinshelf_handover::predecessor::{Action, Predecessor, StageTimeouts};
use merlinshelf_handover::{Message, Successor, successor};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const TIMEOUTS: StageTimeouts = StageTimeouts {
    ready: ms(1000),
    takeover: ms(200),
    probation: ms(500),
    heartbeat: ms(300),
};

#[derive(Clone, Debug)]
enum Event {
    /// Time passes, in milliseconds.
    Elapse(u64),
    Upgrade,
    SuccessorDies,
    PredecessorDies,
    SuccessorHangs,
    Drain,
    DrainSuccessor,
    Reload,
    TransferFails,
    RestoreFails,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0u64..120).prop_map(Event::Elapse),
        3 => Just(Event::Upgrade),
        1 => Just(Event::SuccessorDies),
        1 => Just(Event::SuccessorHangs),
        1 => Just(Event::Drain),
        1 => Just(Event::DrainSuccessor),
        1 => Just(Event::Reload),
        1 => Just(Event::TransferFails),
        1 => Just(Event::RestoreFails),
        1 => Just(Event::PredecessorDies),
    ]
}

/// Both processes, the channel between them and the process table.
#[derive(Default)]
struct World {
    now: Duration,
    predecessor: Option<Predecessor>,
    successor: Option<Successor>,
    is_successor_hanging: bool,
    /// The exit status of the successor's process, until the predecessor observes it.
    successor_exit: Option<Option<i32>>,
    to_successor: VecDeque<Message>,
    to_predecessor: VecDeque<Message>,
    /// Which process serves.
    is_predecessor_serving: bool,
    is_successor_serving: bool,
    is_draining: bool,
    unserved_since: Option<Duration>,
    fails_transfer: bool,
    fails_restore: bool,
    trace: String,
}

impl World {
    fn new() -> World {
        World {
            predecessor: Some(Predecessor::new(TIMEOUTS)),
            is_predecessor_serving: true,
            ..World::default()
        }
    }

    fn end_successor(&mut self, status: Option<i32>) {
        if self.successor.take().is_some() {
            self.is_successor_serving = false;
            self.is_successor_hanging = false;
            self.successor_exit = Some(status);
            self.to_successor.clear();
        }
    }

    fn carry_out_predecessor_actions(&mut self) {
        while let Some(action) = self.predecessor.as_mut().and_then(Predecessor::poll_action) {
            let _ = writeln!(self.trace, "{:?} predecessor {action:?}", self.now);
            let (now, Some(predecessor)) = (self.now, &mut self.predecessor) else {
                return;
            };
            match action {
                Action::StartSuccessor => {
                    self.successor = Some(Successor::new(TIMEOUTS.probation, "next"));
                    self.successor_exit = None;
                    self.is_successor_hanging = false;
                    self.to_predecessor.clear();
                }
                Action::Send(message) => self.to_successor.push_back(message),
                Action::Freeze => {
                    assert!(
                        self.is_predecessor_serving,
                        "frozen without serving\n{}",
                        self.trace
                    );
                    self.is_predecessor_serving = false;
                    predecessor.freeze_completed(now);
                }
                Action::Transfer if std::mem::take(&mut self.fails_transfer) => {
                    predecessor.transfer_failed("injected fault");
                }
                Action::Transfer => predecessor.transfer_completed(0),
                Action::KillSuccessor => self.end_successor(None),
                Action::Resume | Action::Recover => self.recover(),
                Action::Drain { .. } => {
                    assert!(
                        self.is_predecessor_serving,
                        "drains without serving\n{}",
                        self.trace
                    );
                    self.is_draining = true;
                }
                Action::Reload => assert!(
                    self.is_predecessor_serving,
                    "reloads without serving\n{}",
                    self.trace
                ),
                Action::Exit | Action::ExitWithStatus { .. } => self.exit_predecessor(),
                Action::ReleaseOwnership | Action::Report(_) => {}
            }
        }
    }

    fn recover(&mut self) {
        assert!(
            self.successor.is_none(),
            "recovered before the end of the successor\n{}",
            self.trace
        );
        assert!(
            !self.is_predecessor_serving,
            "recovered while serving\n{}",
            self.trace
        );
        self.is_predecessor_serving = true;
    }

    fn exit_predecessor(&mut self) {
        assert!(
            !self.is_predecessor_serving,
            "exits while it serves\n{}",
            self.trace
        );
        assert!(
            self.successor.is_some() || self.is_draining,
            "exits without a successor\n{}",
            self.trace
        );
        self.predecessor = None;
    }

    fn carry_out_successor_actions(&mut self) {
        let now = self.now;
        while let Some(action) = self.successor.as_mut().and_then(Successor::poll_action) {
            let _ = writeln!(self.trace, "{now:?} successor {action:?}");
            let Some(successor) = &mut self.successor else {
                return;
            };
            match action {
                successor::Action::Send(message) => self.to_predecessor.push_back(message),
                successor::Action::Restore if std::mem::take(&mut self.fails_restore) => {
                    successor.restore_failed("injected fault");
                }
                successor::Action::Restore => successor.restore_completed(now),
                successor::Action::Activate => {
                    assert!(!self.is_predecessor_serving, "both serve\n{}", self.trace);
                    self.is_successor_serving = true;
                }
                successor::Action::Drain { .. } => self.is_draining = true,
                successor::Action::Exit { .. } => {
                    assert!(
                        !self.is_successor_serving,
                        "exits while it serves\n{}",
                        self.trace
                    );
                    self.end_successor(Some(1));
                }
                successor::Action::StopRecording | successor::Action::Reload => {}
            }
        }
    }

    /// Carries out actions and delivers messages until neither process has any left.
    fn run_until_idle(&mut self) {
        for _ in 0..100 {
            let now = self.now;
            self.carry_out_predecessor_actions();
            if !self.is_successor_hanging {
                self.carry_out_successor_actions();
                while let Some(message) = self.to_successor.pop_front() {
                    if let Some(successor) = &mut self.successor {
                        successor.handle_message(now, message);
                    }
                    self.carry_out_successor_actions();
                }
                if let Some(successor) = &mut self.successor {
                    if self.predecessor.is_none() {
                        successor.predecessor_exited(now);
                    }
                    successor.handle_timeout(now);
                }
                self.carry_out_successor_actions();
                if self.is_successor_serving && self.is_draining {
                    self.end_successor(Some(0));
                }
            }
            if let Some(predecessor) = &mut self.predecessor {
                self.to_predecessor
                    .drain(..)
                    .for_each(|message| predecessor.handle_message(now, message));
                if let Some(status) = self.successor_exit.take() {
                    predecessor.successor_exited(status);
                }
                predecessor.handle_timeout(now);
            }
            self.carry_out_predecessor_actions();
            if (self.is_successor_hanging || self.to_successor.is_empty())
                && self.to_predecessor.is_empty()
                && self.successor_exit.is_none()
            {
                break;
            }
        }
        assert!(
            !(self.is_predecessor_serving && self.is_successor_serving),
            "both serve\n{}",
            self.trace
        );
        let is_alive = self.predecessor.is_some() || self.successor.is_some();
        // A hanging successor is detected by the heartbeat timeout, which has its own limit.
        if self.is_predecessor_serving || self.is_successor_serving || !is_alive || self.is_draining
        {
            self.unserved_since = None;
        } else {
            let since = *self.unserved_since.get_or_insert(self.now);
            let limit = TIMEOUTS.takeover + ms(240); // two of the longest `Event::Elapse`
            assert!(
                self.now - since <= limit,
                "no process has served since {since:?}\n{}",
                self.trace
            );
        }
    }

    fn handle_event(&mut self, event: &Event) {
        let _ = writeln!(self.trace, "{:?} {event:?}", self.now);
        let now = self.now;
        match (event, &mut self.predecessor, &mut self.successor) {
            (Event::Elapse(milliseconds), ..) => self.now += ms(*milliseconds),
            (Event::Upgrade, Some(predecessor), _) => predecessor.start_upgrade(now, None),
            (Event::SuccessorDies, ..) => self.end_successor(None),
            (Event::SuccessorHangs, _, Some(_)) => self.is_successor_hanging = true,
            // Only if the successor can continue: otherwise the death of the predecessor ends the
            // service, with or without an upgrade.
            (Event::PredecessorDies, _, Some(successor))
                if successor.is_owner() && !self.is_successor_hanging =>
            {
                self.predecessor = None;
            }
            (Event::Drain, Some(predecessor), _) => predecessor.drain(70.0),
            (Event::DrainSuccessor, _, Some(successor))
                if successor.is_owner() && !self.is_successor_hanging =>
            {
                successor.drain(70.0);
                self.is_draining = true;
            }
            (Event::Reload, Some(predecessor), _) => predecessor.reload(),
            (Event::TransferFails, ..) => self.fails_transfer = true,
            (Event::RestoreFails, ..) => self.fails_restore = true,
            _ => {}
        }
        self.run_until_idle();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(18), ..ProptestConfig::default() })]

    /// At most one process serves at any time, service is interrupted for at most the duration of a
    /// takeover, and in the end a process serves.
    #[test]
    fn one_process_serves_after_random_events(script in proptest::collection::vec(event(), 1..60)) {
        let mut world = World::new();
        script.iter().for_each(|event| world.handle_event(event));
        for _ in 0..60 {
            world.handle_event(&Event::Elapse(100));
        }
        let is_alive = world.predecessor.is_some() || world.successor.is_some();
        let is_served = world.is_predecessor_serving || world.is_successor_serving;
        prop_assert!(!is_alive || world.is_draining || is_served, "no process serves\n{}", world.trace);
        let is_upgrading = world.predecessor.as_ref().is_some_and(Predecessor::has_upgrade_in_progress);
        prop_assert!(!is_upgrading || world.is_draining, "the upgrade does not end\n{}", world.trace);
    }
}
