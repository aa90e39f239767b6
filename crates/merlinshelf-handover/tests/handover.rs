//! The two state machines, as scripts with their traces: what happens to one side, and what it wants done.

use std::fmt::Write as _;
use std::time::Duration;

use insta::assert_snapshot;
use merlinshelf_handover::predecessor::{Predecessor, StageTimeouts};
use merlinshelf_handover::{Message, Role, Successor, successor};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const PATIENCE: StageTimeouts = StageTimeouts {
    ready: ms(1000),
    takeover: ms(200),
    probation: ms(500),
    heartbeat: ms(300),
};

fn steps(keeper: &mut Predecessor) -> String {
    let mut line = keeper.state_name().to_owned();
    while let Some(step) = keeper.poll_action() {
        let _ = write!(line, " | {step:?}");
    }
    line + "\n"
}

fn hello(forms: &[u32]) -> Message {
    Message::Hello {
        format_versions: forms.to_vec(),
        program: "next".into(),
    }
}

/// A keeper whose successor has taken over 30 ms after it was asked for.
fn watching() -> Predecessor {
    let mut keeper = Predecessor::new(PATIENCE);
    keeper.start_upgrade(ms(0), None);
    keeper.handle_message(ms(10), hello(&[1, 7]));
    keeper.handle_message(ms(20), Message::Ready);
    keeper.freeze_completed(ms(22));
    keeper.transfer_completed(5);
    keeper.handle_message(ms(30), Message::Restored);
    steps(&mut keeper);
    keeper
}

#[test]
fn an_upgrade_that_goes_well() {
    let mut keeper = Predecessor::new(PATIENCE);
    let mut trace = String::new();
    keeper.start_upgrade(
        ms(0),
        Some("two processes need 900 descriptors, and 384 may be used".into()),
    );
    trace += &steps(&mut keeper);
    keeper.start_upgrade(ms(0), None);
    trace += &steps(&mut keeper);
    keeper.handle_message(ms(10), hello(&[1, 7]));
    trace += &steps(&mut keeper);
    keeper.start_upgrade(ms(11), None); // turned down
    trace += &steps(&mut keeper);
    keeper.handle_message(ms(20), Message::Ready);
    trace += &steps(&mut keeper);
    keeper.freeze_completed(ms(22));
    trace += &steps(&mut keeper);
    keeper.transfer_completed(5);
    trace += &steps(&mut keeper);
    keeper.handle_message(ms(30), Message::Restored);
    trace += &steps(&mut keeper);
    keeper.handle_message(ms(80), Message::Heartbeat);
    keeper.reload();
    trace += &steps(&mut keeper);
    keeper.handle_message(ms(560), Message::ProbationCompleted);
    trace += &steps(&mut keeper);
    keeper.successor_exited(Some(1)); // it is no business of this process any more
    trace += &steps(&mut keeper);
    assert_snapshot!(trace);
}

#[test]
fn a_successor_that_fails_before_it_takes_over_changes_nothing() {
    let mut trace = String::new();
    let mut play = |what: &str, happens: &dyn Fn(&mut Predecessor)| {
        let mut keeper = Predecessor::new(PATIENCE);
        keeper.start_upgrade(ms(0), None);
        steps(&mut keeper);
        happens(&mut keeper);
        let _ = write!(trace, "{what}: {}", steps(&mut keeper));
        keeper.successor_exited(Some(3));
        let _ = write!(trace, "  then {}", steps(&mut keeper));
        assert!(
            keeper.is_serving() && keeper.is_owner() && !keeper.has_upgrade_in_progress(),
            "{what}"
        );
    };
    play("can't be executed", &|keeper| {
        keeper.start_failed("no such file")
    });
    play("ends at once", &|_| {});
    play("speaks no format of ours", &|keeper| {
        keeper.handle_message(ms(5), hello(&[2, 3]))
    });
    play("refuses its configuration", &|keeper| {
        keeper.handle_message(ms(5), hello(&[1]));
        keeper.handle_message(
            ms(6),
            Message::Declined {
                reason: "no listen".into(),
            },
        );
    });
    play("hangs while it gets ready", &|keeper| {
        keeper.handle_timeout(ms(999));
        keeper.handle_timeout(ms(1000));
    });
    play("hangs while it takes over", &|keeper| {
        keeper.handle_message(ms(5), hello(&[1]));
        keeper.handle_message(ms(6), Message::Ready);
        keeper.freeze_completed(ms(7));
        keeper.transfer_completed(3);
        steps(keeper);
        keeper.handle_timeout(ms(206));
    });
    play("can't be passed everything", &|keeper| {
        keeper.handle_message(ms(5), hello(&[1]));
        keeper.handle_message(ms(6), Message::Ready);
        keeper.freeze_completed(ms(7));
        steps(keeper);
        keeper.transfer_failed("too many open files");
    });
    play("says it has taken what was never passed", &|keeper| {
        keeper.handle_message(ms(5), Message::Restored)
    });
    assert_snapshot!(trace);
}

#[test]
fn one_that_fails_after_it_took_over_is_taken_back_from() {
    let mut trace = String::new();
    let mut play = |what: &str, status: Option<i32>, happens: &dyn Fn(&mut Predecessor)| {
        let mut keeper = watching();
        happens(&mut keeper);
        assert!(
            !keeper.is_owner(),
            "{what}: nothing is touched before its end is seen"
        );
        let _ = write!(trace, "{what}: {}", steps(&mut keeper));
        keeper.successor_exited(status);
        let _ = write!(trace, "  then {}", steps(&mut keeper));
        assert!(keeper.is_serving(), "{what}");
    };
    play("dies", None, &|_| {});
    play("exits with 0 unasked", Some(0), &|_| {});
    play("hangs", None, &|keeper| {
        keeper.handle_message(ms(100), Message::Heartbeat);
        keeper.handle_timeout(ms(399));
        keeper.handle_timeout(ms(400));
    });
    play("never becomes steady", None, &|keeper| {
        for at in (50..=1400).step_by(50) {
            keeper.handle_message(ms(at), Message::Heartbeat);
            keeper.handle_timeout(ms(at));
        }
    });
    play("cuts the channel", None, &|keeper| {
        keeper.channel_failed("it closed the channel")
    });
    play(
        "is killed, and the notice to leave comes",
        None,
        &|keeper| {
            keeper.channel_failed("it closed the channel");
            keeper.drain(70.0);
            keeper.drain(80.0);
            keeper.reload();
        },
    );
    assert_snapshot!(trace);
}

#[test]
fn the_notice_to_leave_is_heeded_by_who_owns_and_counts_from_its_moment() {
    let mut trace = String::new();
    let mut say = |what: &str, keeper: &mut Predecessor| {
        let _ = write!(trace, "{what}: {}", steps(keeper));
    };
    let mut keeper = Predecessor::new(PATIENCE);
    keeper.drain(70.0);
    say("before", &mut keeper);
    keeper.start_upgrade(ms(0), None);
    say("then asked for an upgrade", &mut keeper);
    let mut keeper = Predecessor::new(PATIENCE);
    keeper.start_upgrade(ms(0), None);
    keeper.drain(70.0);
    say("while it starts", &mut keeper);
    keeper.successor_exited(None);
    say("  and it is dead", &mut keeper);
    let mut keeper = Predecessor::new(PATIENCE);
    keeper.start_upgrade(ms(0), None);
    keeper.handle_message(ms(5), hello(&[1]));
    keeper.handle_message(ms(6), Message::Ready);
    steps(&mut keeper);
    keeper.drain(70.0);
    say("while frozen", &mut keeper);
    keeper.successor_exited(None);
    say("  and it is dead", &mut keeper);
    let mut keeper = watching();
    keeper.drain(70.0);
    keeper.drain(71.0);
    say("while watched", &mut keeper);
    keeper.handle_message(ms(560), Message::ProbationCompleted);
    keeper.successor_exited(Some(0));
    say("  and it left", &mut keeper);
    let mut keeper = watching();
    keeper.handle_message(ms(40), Message::Draining { deadline: 70.0 });
    keeper.successor_exited(Some(101));
    say("told itself, and died over it", &mut keeper);
    assert_snapshot!(trace);
}

#[test]
fn a_successor_goes_on_alone_only_with_everything_in_hand() {
    let said = |heir: &mut Successor| {
        let mut line = String::new();
        while let Some(step) = heir.poll_action() {
            let _ = write!(line, " | {step:?}");
        }
        line + "\n"
    };
    let mut trace = String::new();
    for left_at in 0..5 {
        let mut heir = Successor::new(ms(500), "next");
        let happens: [&dyn Fn(&mut Successor); 4] = [
            &|heir| heir.handle_message(ms(1), Message::FormatSelected { version: 1 }),
            &|heir| {
                heir.handle_message(
                    ms(2),
                    Message::Descriptors {
                        roles: vec![Role::Image],
                    },
                );
                heir.handle_message(ms(3), Message::TransferCompleted { count: 1 });
            },
            &|heir| heir.restore_completed(ms(4)),
            &|heir| heir.handle_message(ms(5), Message::Activate),
        ];
        happens
            .iter()
            .take(left_at)
            .for_each(|happens| happens(&mut heir));
        heir.predecessor_exited(ms(6));
        let _ = write!(trace, "alone after {left_at}{}", said(&mut heir));
        heir.restore_completed(ms(7)); // counts only where it was about to take
        let _ = write!(
            trace,
            "  owns {}, notes {}{}",
            heir.is_owner(),
            heir.is_recording(),
            said(&mut heir)
        );
    }
    let mut heir = Successor::new(ms(500), "next");
    heir.handle_message(ms(1), Message::FormatSelected { version: 1 });
    heir.handle_message(ms(2), Message::TransferCompleted { count: 1 });
    let _ = write!(trace, "a transfer that lacks one{}", said(&mut heir));
    assert_snapshot!(trace);
}

#[test]
fn a_predecessor_that_sleeps_is_left_behind_and_takes_nothing_back() {
    let mut heir = Successor::new(ms(500), "next");
    heir.handle_message(ms(1), Message::FormatSelected { version: 1 });
    heir.handle_message(ms(2), Message::TransferCompleted { count: 0 });
    heir.restore_completed(ms(3));
    heir.handle_message(ms(4), Message::Activate);
    let mut said = Vec::new();
    for at in (0..11_000).step_by(50) {
        heir.handle_timeout(ms(at));
        while let Some(step) = heir.poll_action() {
            match step {
                successor::Action::Send(Message::Heartbeat) => {}
                step => said.push(format!("{at} {step:?}")),
            }
        }
    }
    assert!(heir.is_owner() && !heir.is_recording());
    // The old process wakes up and hears all of it at once, the successor's end after it.
    let mut keeper = watching();
    keeper.handle_message(ms(11_000), Message::Heartbeat);
    keeper.handle_message(ms(11_000), Message::Detached);
    keeper.successor_exited(None);
    said.push(steps(&mut keeper));
    assert_snapshot!(said.join("\n"));
}
