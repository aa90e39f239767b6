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
    taken: ms(200),
    watched: ms(500),
    silent: ms(300),
};

fn steps(keeper: &mut Predecessor) -> String {
    let mut line = keeper.name().to_owned();
    while let Some(step) = keeper.next_step() {
        let _ = write!(line, " | {step:?}");
    }
    line + "\n"
}

fn hello(forms: &[u32]) -> Message {
    Message::Hello {
        forms: forms.to_vec(),
        program: "next".into(),
    }
}

/// A keeper whose successor has taken over 30 ms after it was asked for.
fn watching() -> Predecessor {
    let mut keeper = Predecessor::new(PATIENCE);
    keeper.upgrade(ms(0), None);
    keeper.heard(ms(10), hello(&[1, 7]));
    keeper.heard(ms(20), Message::Ready);
    keeper.frozen(ms(22));
    keeper.passed(5);
    keeper.heard(ms(30), Message::Taken);
    steps(&mut keeper);
    keeper
}

#[test]
fn an_upgrade_that_goes_well() {
    let mut keeper = Predecessor::new(PATIENCE);
    let mut trace = String::new();
    keeper.upgrade(
        ms(0),
        Some("two processes need 900 descriptors, and 384 may be used".into()),
    );
    trace += &steps(&mut keeper);
    keeper.upgrade(ms(0), None);
    trace += &steps(&mut keeper);
    keeper.heard(ms(10), hello(&[1, 7]));
    trace += &steps(&mut keeper);
    keeper.upgrade(ms(11), None); // turned down
    trace += &steps(&mut keeper);
    keeper.heard(ms(20), Message::Ready);
    trace += &steps(&mut keeper);
    keeper.frozen(ms(22));
    trace += &steps(&mut keeper);
    keeper.passed(5);
    trace += &steps(&mut keeper);
    keeper.heard(ms(30), Message::Taken);
    trace += &steps(&mut keeper);
    keeper.heard(ms(80), Message::Beat);
    keeper.reload();
    trace += &steps(&mut keeper);
    keeper.heard(ms(560), Message::Steady);
    trace += &steps(&mut keeper);
    keeper.died(Some(1)); // it is no business of this process any more
    trace += &steps(&mut keeper);
    assert_snapshot!(trace);
}

#[test]
fn a_successor_that_fails_before_it_takes_over_changes_nothing() {
    let mut trace = String::new();
    let mut play = |what: &str, happens: &dyn Fn(&mut Predecessor)| {
        let mut keeper = Predecessor::new(PATIENCE);
        keeper.upgrade(ms(0), None);
        steps(&mut keeper);
        happens(&mut keeper);
        let _ = write!(trace, "{what}: {}", steps(&mut keeper));
        keeper.died(Some(3));
        let _ = write!(trace, "  then {}", steps(&mut keeper));
        assert!(
            keeper.serves() && keeper.owns() && !keeper.is_busy(),
            "{what}"
        );
    };
    play("can't be executed", &|keeper| {
        keeper.not_started("no such file")
    });
    play("ends at once", &|_| {});
    play("speaks no form of ours", &|keeper| {
        keeper.heard(ms(5), hello(&[2, 3]))
    });
    play("refuses its configuration", &|keeper| {
        keeper.heard(ms(5), hello(&[1]));
        keeper.heard(
            ms(6),
            Message::Refuse {
                why: "no listen".into(),
            },
        );
    });
    play("hangs while it gets ready", &|keeper| {
        keeper.woken(ms(999));
        keeper.woken(ms(1000));
    });
    play("hangs while it takes over", &|keeper| {
        keeper.heard(ms(5), hello(&[1]));
        keeper.heard(ms(6), Message::Ready);
        keeper.frozen(ms(7));
        keeper.passed(3);
        steps(keeper);
        keeper.woken(ms(206));
    });
    play("can't be passed everything", &|keeper| {
        keeper.heard(ms(5), hello(&[1]));
        keeper.heard(ms(6), Message::Ready);
        keeper.frozen(ms(7));
        steps(keeper);
        keeper.not_passed("too many open files");
    });
    play("says it has taken what was never passed", &|keeper| {
        keeper.heard(ms(5), Message::Taken)
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
            !keeper.owns(),
            "{what}: nothing is touched before its end is seen"
        );
        let _ = write!(trace, "{what}: {}", steps(&mut keeper));
        keeper.died(status);
        let _ = write!(trace, "  then {}", steps(&mut keeper));
        assert!(keeper.serves(), "{what}");
    };
    play("dies", None, &|_| {});
    play("exits with 0 unasked", Some(0), &|_| {});
    play("hangs", None, &|keeper| {
        keeper.heard(ms(100), Message::Beat);
        keeper.woken(ms(399));
        keeper.woken(ms(400));
    });
    play("never becomes steady", None, &|keeper| {
        for at in (50..=1400).step_by(50) {
            keeper.heard(ms(at), Message::Beat);
            keeper.woken(ms(at));
        }
    });
    play("cuts the channel", None, &|keeper| {
        keeper.cut_off("it closed the channel")
    });
    play(
        "is killed, and the notice to leave comes",
        None,
        &|keeper| {
            keeper.cut_off("it closed the channel");
            keeper.leave(70.0);
            keeper.leave(80.0);
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
    keeper.leave(70.0);
    say("before", &mut keeper);
    keeper.upgrade(ms(0), None);
    say("then asked for an upgrade", &mut keeper);
    let mut keeper = Predecessor::new(PATIENCE);
    keeper.upgrade(ms(0), None);
    keeper.leave(70.0);
    say("while it starts", &mut keeper);
    keeper.died(None);
    say("  and it is dead", &mut keeper);
    let mut keeper = Predecessor::new(PATIENCE);
    keeper.upgrade(ms(0), None);
    keeper.heard(ms(5), hello(&[1]));
    keeper.heard(ms(6), Message::Ready);
    steps(&mut keeper);
    keeper.leave(70.0);
    say("while frozen", &mut keeper);
    keeper.died(None);
    say("  and it is dead", &mut keeper);
    let mut keeper = watching();
    keeper.leave(70.0);
    keeper.leave(71.0);
    say("while watched", &mut keeper);
    keeper.heard(ms(560), Message::Steady);
    keeper.died(Some(0));
    say("  and it left", &mut keeper);
    let mut keeper = watching();
    keeper.heard(ms(40), Message::Leaves { stop: 70.0 });
    keeper.died(Some(101));
    say("told itself, and died over it", &mut keeper);
    assert_snapshot!(trace);
}

#[test]
fn a_successor_goes_on_alone_only_with_everything_in_hand() {
    let said = |heir: &mut Successor| {
        let mut line = String::new();
        while let Some(step) = heir.next_step() {
            let _ = write!(line, " | {step:?}");
        }
        line + "\n"
    };
    let mut trace = String::new();
    for left_at in 0..5 {
        let mut heir = Successor::new(ms(500), "next");
        let happens: [&dyn Fn(&mut Successor); 4] = [
            &|heir| heir.heard(ms(1), Message::Form { form: 1 }),
            &|heir| {
                heir.heard(
                    ms(2),
                    Message::Pass {
                        roles: vec![Role::Image],
                    },
                );
                heir.heard(ms(3), Message::Passed { count: 1 });
            },
            &|heir| heir.taken(ms(4)),
            &|heir| heir.heard(ms(5), Message::Go),
        ];
        happens
            .iter()
            .take(left_at)
            .for_each(|happens| happens(&mut heir));
        heir.alone(ms(6));
        let _ = write!(trace, "alone after {left_at}{}", said(&mut heir));
        heir.taken(ms(7)); // counts only where it was about to take
        let _ = write!(
            trace,
            "  owns {}, notes {}{}",
            heir.owns(),
            heir.notes(),
            said(&mut heir)
        );
    }
    let mut heir = Successor::new(ms(500), "next");
    heir.heard(ms(1), Message::Form { form: 1 });
    heir.heard(ms(2), Message::Passed { count: 1 });
    let _ = write!(trace, "a transfer that lacks one{}", said(&mut heir));
    assert_snapshot!(trace);
}

#[test]
fn a_predecessor_that_sleeps_is_left_behind_and_takes_nothing_back() {
    let mut heir = Successor::new(ms(500), "next");
    heir.heard(ms(1), Message::Form { form: 1 });
    heir.heard(ms(2), Message::Passed { count: 0 });
    heir.taken(ms(3));
    heir.heard(ms(4), Message::Go);
    let mut said = Vec::new();
    for at in (0..11_000).step_by(50) {
        heir.woken(ms(at));
        while let Some(step) = heir.next_step() {
            match step {
                successor::Action::Say(Message::Beat) => {}
                step => said.push(format!("{at} {step:?}")),
            }
        }
    }
    assert!(heir.owns() && !heir.notes());
    // The old process wakes up and hears all of it at once, the successor's end after it.
    let mut keeper = watching();
    keeper.heard(ms(11_000), Message::Beat);
    keeper.heard(ms(11_000), Message::Unwatched);
    keeper.died(None);
    said.push(steps(&mut keeper));
    assert_snapshot!(said.join("\n"));
}
