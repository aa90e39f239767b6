//! Random walks over all that can happen to both processes, with the invariants by name; and over what passes.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use merlinshelf_handover::predecessor::{Action, Predecessor, StageTimeouts};
use merlinshelf_handover::records::{
    Answer, ClientConnectionRecord, Invocation, ResponseQueueRecord,
};
use merlinshelf_handover::{
    ByteCountMismatch, Flow, Image, KernelByteCounts, Key, Message, Successor, Transaction,
    successor,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const PATIENCE: StageTimeouts = StageTimeouts {
    ready: ms(1000),
    takeover: ms(200),
    probation: ms(500),
    heartbeat: ms(300),
};

#[derive(Clone, Debug)]
enum Happens {
    /// Time goes on by so much, and both get on with what there is to do.
    Turn(u64),
    Upgrade,
    SuccessorDies,
    OldDies,
    SuccessorHangs,
    Leave,
    SuccessorLeaves,
    Reload,
    TransferFails,
    TakingFails,
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        12 => (0u64..120).prop_map(Happens::Turn),
        3 => Just(Happens::Upgrade),
        1 => Just(Happens::SuccessorDies),
        1 => Just(Happens::SuccessorHangs),
        1 => Just(Happens::Leave),
        1 => Just(Happens::SuccessorLeaves),
        1 => Just(Happens::Reload),
        1 => Just(Happens::TransferFails),
        1 => Just(Happens::TakingFails),
        1 => Just(Happens::OldDies),
    ]
}

/// Both processes, the channel between them and the process table.
#[derive(Default)]
struct World {
    now: Duration,
    old: Option<Predecessor>,
    heir: Option<Successor>,
    hangs: bool,
    /// The successor's end, not seen by the old process yet.
    ended: Option<Option<i32>>,
    to_heir: VecDeque<Message>,
    to_old: VecDeque<Message>,
    /// Which process runs the parts.
    old_serves: bool,
    heir_serves: bool,
    left: bool,
    idle_since: Option<Duration>,
    transfer_fails: bool,
    taking_fails: bool,
    trace: String,
}

impl World {
    fn new() -> World {
        World {
            old: Some(Predecessor::new(PATIENCE)),
            old_serves: true,
            ..World::default()
        }
    }

    fn end_heir(&mut self, status: Option<i32>) {
        if self.heir.take().is_some() {
            (self.heir_serves, self.hangs) = (false, false);
            self.ended = Some(status);
            self.to_heir.clear();
        }
    }

    fn keeper_steps(&mut self) {
        while let Some(step) = self.old.as_mut().and_then(Predecessor::poll_action) {
            let _ = writeln!(self.trace, "{:?} old {step:?}", self.now);
            let (now, Some(old)) = (self.now, &mut self.old) else {
                return;
            };
            match step {
                Action::StartSuccessor => {
                    self.heir = Some(Successor::new(PATIENCE.probation, "next"));
                    (self.ended, self.hangs) = (None, false);
                    self.to_old.clear();
                }
                Action::Send(word) => self.to_heir.push_back(word),
                Action::Freeze => {
                    assert!(self.old_serves, "frozen without serving\n{}", self.trace);
                    self.old_serves = false;
                    old.freeze_completed(now);
                }
                Action::Transfer if std::mem::take(&mut self.transfer_fails) => {
                    old.transfer_failed("torn")
                }
                Action::Transfer => old.transfer_completed(0),
                Action::KillSuccessor => self.end_heir(None),
                Action::Resume | Action::Recover => {
                    assert!(
                        self.heir.is_none(),
                        "taken up before its end was seen\n{}",
                        self.trace
                    );
                    assert!(!self.old_serves, "taken up twice\n{}", self.trace);
                    self.old_serves = true;
                }
                Action::Drain { .. } => {
                    assert!(self.old_serves, "leaves without serving\n{}", self.trace);
                    self.left = true;
                }
                Action::Reload => assert!(
                    self.old_serves,
                    "reads anew without serving\n{}",
                    self.trace
                ),
                Action::Exit | Action::ExitWithStatus { .. } => {
                    assert!(!self.old_serves, "ends while it serves\n{}", self.trace);
                    assert!(
                        self.heir.is_some() || self.left,
                        "ends with nobody there\n{}",
                        self.trace
                    );
                    self.old = None;
                }
                Action::ReleaseOwnership | Action::Report(_) => {}
            }
        }
    }

    fn heir_steps(&mut self) {
        let now = self.now;
        while let Some(step) = self.heir.as_mut().and_then(Successor::poll_action) {
            let _ = writeln!(self.trace, "{now:?} new {step:?}");
            let Some(heir) = &mut self.heir else { return };
            match step {
                successor::Action::Send(word) => self.to_old.push_back(word),
                successor::Action::Restore if std::mem::take(&mut self.taking_fails) => {
                    heir.restore_failed("torn")
                }
                successor::Action::Restore => heir.restore_completed(now),
                successor::Action::Activate => {
                    assert!(!self.old_serves, "both serve\n{}", self.trace);
                    self.heir_serves = true;
                }
                successor::Action::Drain { .. } => self.left = true,
                successor::Action::Exit { .. } => {
                    assert!(
                        !self.heir_serves,
                        "ends with everything in hand\n{}",
                        self.trace
                    );
                    self.end_heir(Some(1));
                }
                successor::Action::StopRecording | successor::Action::Reload => {}
            }
        }
    }

    /// Everything that happens by itself, until nothing more does.
    fn turn(&mut self) {
        for _ in 0..100 {
            let now = self.now;
            self.keeper_steps();
            if !self.hangs {
                self.heir_steps();
                while let Some(word) = self.to_heir.pop_front() {
                    if let Some(heir) = &mut self.heir {
                        heir.handle_message(now, word);
                    }
                    self.heir_steps();
                }
                if let Some(heir) = &mut self.heir {
                    if self.old.is_none() {
                        heir.predecessor_exited(now);
                    }
                    heir.handle_timeout(now);
                }
                self.heir_steps();
                if self.heir_serves && self.left {
                    self.end_heir(Some(0));
                }
            }
            if let Some(old) = &mut self.old {
                self.to_old
                    .drain(..)
                    .for_each(|word| old.handle_message(now, word));
                if let Some(status) = self.ended.take() {
                    old.successor_exited(status);
                }
                old.handle_timeout(now);
            }
            self.keeper_steps();
            if (self.hangs || self.to_heir.is_empty())
                && self.to_old.is_empty()
                && self.ended.is_none()
            {
                break;
            }
        }
        assert!(
            !(self.old_serves && self.heir_serves),
            "both serve\n{}",
            self.trace
        );
        let alive = self.old.is_some() || self.heir.is_some();
        // A successor that hangs is found by its silence, which has its own time.
        if self.old_serves || self.heir_serves || !alive || self.left {
            self.idle_since = None;
        } else {
            let since = *self.idle_since.get_or_insert(self.now);
            let most = PATIENCE.takeover + ms(240); // two turns of the walk's longest
            assert!(
                self.now - since <= most,
                "nobody serves since {since:?}\n{}",
                self.trace
            );
        }
    }

    fn happens(&mut self, what: &Happens) {
        let _ = writeln!(self.trace, "{:?} {what:?}", self.now);
        let now = self.now;
        match (what, &mut self.old, &mut self.heir) {
            (Happens::Turn(passes), ..) => self.now += ms(*passes),
            (Happens::Upgrade, Some(old), _) => old.start_upgrade(now, None),
            (Happens::SuccessorDies, ..) => self.end_heir(None),
            (Happens::SuccessorHangs, _, Some(_)) => self.hangs = true,
            // Only where somebody can go on: else its end is the end of the service, with or without upgrades.
            (Happens::OldDies, _, Some(heir)) if heir.is_owner() && !self.hangs => self.old = None,
            (Happens::Leave, Some(old), _) => old.drain(70.0),
            (Happens::SuccessorLeaves, _, Some(heir)) if heir.is_owner() && !self.hangs => {
                heir.drain(70.0);
                self.left = true;
            }
            (Happens::Reload, Some(old), _) => old.reload(),
            (Happens::TransferFails, ..) => self.transfer_fails = true,
            (Happens::TakingFails, ..) => self.taking_fails = true,
            _ => {}
        }
        self.turn();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(18), ..ProptestConfig::default() })]

    /// One owner at any time; nobody serves for longer than a transfer may take; every path comes to its end with
    /// somebody who serves.
    #[test]
    fn whatever_happens_there_is_one_owner(script in proptest::collection::vec(happens(), 1..60)) {
        let mut world = World::new();
        script.iter().for_each(|what| world.happens(what));
        for _ in 0..60 {
            world.happens(&Happens::Turn(100));
        }
        let alive = world.old.is_some() || world.heir.is_some();
        let served = world.old_serves || world.heir_serves;
        prop_assert!(!alive || world.left || served, "nobody serves\n{}", world.trace);
        let busy = world.old.as_ref().is_some_and(Predecessor::has_upgrade_in_progress);
        prop_assert!(!busy || world.left, "an upgrade without an end\n{}", world.trace);
    }

    /// What is torn at any byte is as if its last transaction had never begun.
    #[test]
    fn a_torn_journal_is_read_up_to_its_last_whole_transaction(
        changes in proptest::collection::vec((0u64..5, proptest::option::of(0usize..200)), 1..20),
        cut in 0usize..4000,
    ) {
        let mut bytes = Vec::new();
        let mut states = vec![(0, Image::default())];
        for (stream, length) in &changes {
            let mut transaction = Transaction::default();
            match length {
                Some(length) => {
                    let answer = Answer::Succeeded(vec![7; *length].into());
                    transaction.put(Key::ResponseQueue(*stream), &ResponseQueueRecord { answers: vec![(1, answer)] });
                    transaction.put(Key::ClientConnection(*stream), &ClientConnectionRecord { faults: *length as u32, ..ClientConnectionRecord::default() });
                }
                None => transaction.remove(Key::ResponseQueue(*stream)),
            }
            let written = transaction.take();
            let mut image = states.last().map(|(_, image)| image.clone()).unwrap_or_default();
            image.apply(&written).expect("it is whole");
            bytes.extend(written);
            states.push((bytes.len(), image));
        }
        let cut = cut.min(bytes.len());
        let mut image = Image::default();
        let used = image.apply(&bytes[..cut]).expect("a torn end is none of it");
        let whole = states.iter().rev().find(|(end, _)| *end <= cut).expect("the first is empty");
        prop_assert_eq!((used, &image), (whole.0, &whole.1));
        image.apply(&bytes[used..]).expect("the rest");
        prop_assert_eq!(Some(&image), states.last().map(|(_, image)| image));
    }

    /// Bytes of any kind are no crash, and no image of what was never written.
    #[test]
    fn what_is_no_journal_is_told(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut image = Image::default();
        if !bytes.starts_with(b"MSH1") {
            prop_assert!(image.apply(&bytes).is_err() || bytes.len() < 8);
            prop_assert_eq!(image, Image::default());
        }
    }

    /// However much a process had noted, taken out and written when it died, both are settled to the byte.
    #[test]
    fn notes_and_the_kernels_counts_come_together(
        came in 0u64..5000, taken_out in 0u64..5000, noted in 0u64..3000, ended: bool,
        given in 0u64..5000, more in 0usize..3000, going in 0usize..3000, acknowledged in 0u64..5000,
        opened_here: bool,
    ) {
        let taken_out = taken_out.min(came);
        let ahead = noted.min(came - taken_out);
        let more = more.min(going);
        let written = given + more as u64;
        let acknowledged = acknowledged.min(written);
        let bytes: Vec<u8> = (0..going).map(|at| at as u8).collect();
        let mut flow = Flow { read_bytes: taken_out + ahead, written_bytes: given, read_buffer: Vec::new(), write_buffer: bytes.clone() };
        let kernel = KernelByteCounts {
            received_bytes: came + u64::from(ended),
            unread_bytes: came - taken_out,
            is_closed_by_peer: ended,
            acknowledged_bytes: acknowledged + u64::from(opened_here),
            unacknowledged_bytes: written - acknowledged,
            is_opened_locally: opened_here,
        };
        let settled = flow.reconcile(kernel).expect("they belong together");
        prop_assert_eq!((settled.discard_bytes as u64, settled.written_bytes), (ahead, more));
        prop_assert_eq!((flow.written_bytes, flow.write_buffer), (written, bytes[more..].to_vec()));
        // What was taken out or written and never noted is told.
        if taken_out > 0 {
            let mut lost = Flow { read_bytes: taken_out - 1, written_bytes: given, ..Flow::default() };
            prop_assert_eq!(lost.reconcile(kernel), Err(ByteCountMismatch::UnrecordedRead(1)));
        }
        if written > 0 {
            let mut unknown = Flow { read_bytes: taken_out, written_bytes: written - 1, ..Flow::default() };
            prop_assert_eq!(unknown.reconcile(kernel), Err(ByteCountMismatch::UnrecordedWrite(1)));
        }
    }
}

#[test]
fn a_later_form_of_a_record_is_read_as_far_as_it_is_known() {
    #[derive(serde::Serialize)]
    struct Later {
        operation: usize,
        colour: String,
        calls: usize,
    }
    let mut transaction = Transaction::default();
    let key = Key::Invocation(*b"0123456789abcdef");
    transaction.put(
        key,
        &Later {
            operation: 2,
            colour: "red".into(),
            calls: 1,
        },
    );
    let mut bytes = transaction.take();
    // And an entry of a kind that nobody knows yet.
    bytes.extend([99; 17]);
    bytes.extend(3u32.to_be_bytes());
    bytes.extend(b"new");
    let length = (bytes.len() - 8) as u32;
    bytes[4..8].copy_from_slice(&length.to_be_bytes());
    let mut image = Image::default();
    assert_eq!(image.apply(&bytes), Ok(bytes.len()));
    assert_eq!(image.keys().collect::<Vec<_>>(), [key]);
    let known: Invocation = image.get(key).expect("a record");
    assert_eq!(
        known,
        Invocation {
            operation: 2,
            call_count: 1,
            ..Invocation::default()
        }
    );
}
