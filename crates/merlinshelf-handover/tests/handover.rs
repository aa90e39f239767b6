//! Scripted events for the predecessor's and the successor's state machine, with snapshots of the
//! actions that they return.

use std::fmt::Write as _;
use std::time::Duration;

use insta::assert_snapshot;
use merlinshelf_handover::predecessor::{Predecessor, StageTimeouts};
use merlinshelf_handover::{Message, Role, Successor, successor};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const TIMEOUTS: StageTimeouts = StageTimeouts {
    ready: ms(1000),
    takeover: ms(200),
    probation: ms(500),
    heartbeat: ms(300),
};

fn trace_actions(predecessor: &mut Predecessor) -> String {
    let mut line = predecessor.state_name().to_owned();
    while let Some(action) = predecessor.poll_action() {
        let _ = write!(line, " | {action:?}");
    }
    line + "\n"
}

fn hello(format_versions: &[u32]) -> Message {
    Message::Hello {
        format_versions: format_versions.to_vec(),
        program: "next".into(),
    }
}

/// A predecessor whose successor took over 30 ms after the upgrade was requested.
fn on_probation() -> Predecessor {
    let mut predecessor = Predecessor::new(TIMEOUTS);
    predecessor.start_upgrade(ms(0), None);
    predecessor.handle_message(ms(10), hello(&[1, 7]));
    predecessor.handle_message(ms(20), Message::Ready);
    predecessor.freeze_completed(ms(22));
    predecessor.transfer_completed(5);
    predecessor.handle_message(ms(30), Message::Restored);
    trace_actions(&mut predecessor);
    predecessor
}

#[test]
fn successful_upgrade() {
    let mut predecessor = Predecessor::new(TIMEOUTS);
    let mut trace = String::new();
    predecessor.start_upgrade(
        ms(0),
        Some("two processes need 900 descriptors, and 384 may be used".into()),
    );
    trace += &trace_actions(&mut predecessor);
    predecessor.start_upgrade(ms(0), None);
    trace += &trace_actions(&mut predecessor);
    predecessor.handle_message(ms(10), hello(&[1, 7]));
    trace += &trace_actions(&mut predecessor);
    predecessor.start_upgrade(ms(11), None); // rejected
    trace += &trace_actions(&mut predecessor);
    predecessor.handle_message(ms(20), Message::Ready);
    trace += &trace_actions(&mut predecessor);
    predecessor.freeze_completed(ms(22));
    trace += &trace_actions(&mut predecessor);
    predecessor.transfer_completed(5);
    trace += &trace_actions(&mut predecessor);
    predecessor.handle_message(ms(30), Message::Restored);
    trace += &trace_actions(&mut predecessor);
    predecessor.handle_message(ms(80), Message::Heartbeat);
    predecessor.reload();
    trace += &trace_actions(&mut predecessor);
    predecessor.handle_message(ms(560), Message::ProbationCompleted);
    trace += &trace_actions(&mut predecessor);
    predecessor.successor_exited(Some(1)); // ignored after completion
    trace += &trace_actions(&mut predecessor);
    assert_snapshot!(trace);
}

#[test]
fn predecessor_keeps_serving_if_the_successor_fails_before_its_activation() {
    let mut trace = String::new();
    let mut run_case = |name: &str, events: &dyn Fn(&mut Predecessor)| {
        let mut predecessor = Predecessor::new(TIMEOUTS);
        predecessor.start_upgrade(ms(0), None);
        trace_actions(&mut predecessor);
        events(&mut predecessor);
        let _ = write!(trace, "{name}: {}", trace_actions(&mut predecessor));
        predecessor.successor_exited(Some(3));
        let _ = write!(trace, "  then {}", trace_actions(&mut predecessor));
        assert!(
            predecessor.is_serving()
                && predecessor.is_owner()
                && !predecessor.has_upgrade_in_progress(),
            "{name}"
        );
    };
    run_case("can't be executed", &|predecessor| {
        predecessor.start_failed("no such file");
    });
    run_case("ends at once", &|_| {});
    run_case("supports no common format", &|predecessor| {
        predecessor.handle_message(ms(5), hello(&[2, 3]));
    });
    run_case("rejects its configuration", &|predecessor| {
        predecessor.handle_message(ms(5), hello(&[1]));
        predecessor.handle_message(
            ms(6),
            Message::Declined {
                reason: "no listen".into(),
            },
        );
    });
    run_case("hangs while it gets ready", &|predecessor| {
        predecessor.handle_timeout(ms(999));
        predecessor.handle_timeout(ms(1000));
    });
    run_case("hangs while it takes over", &|predecessor| {
        predecessor.handle_message(ms(5), hello(&[1]));
        predecessor.handle_message(ms(6), Message::Ready);
        predecessor.freeze_completed(ms(7));
        predecessor.transfer_completed(3);
        trace_actions(predecessor);
        predecessor.handle_timeout(ms(206));
    });
    run_case("does not receive the whole transfer", &|predecessor| {
        predecessor.handle_message(ms(5), hello(&[1]));
        predecessor.handle_message(ms(6), Message::Ready);
        predecessor.freeze_completed(ms(7));
        trace_actions(predecessor);
        predecessor.transfer_failed("too many open files");
    });
    run_case("reports a restore before the transfer", &|predecessor| {
        predecessor.handle_message(ms(5), Message::Restored);
    });
    assert_snapshot!(trace);
}

#[test]
fn predecessor_recovers_if_the_successor_fails_during_probation() {
    let mut trace = String::new();
    let mut run_case = |name: &str, status: Option<i32>, events: &dyn Fn(&mut Predecessor)| {
        let mut predecessor = on_probation();
        events(&mut predecessor);
        assert!(
            !predecessor.is_owner(),
            "{name}: not the owner before the successor's exit is observed"
        );
        let _ = write!(trace, "{name}: {}", trace_actions(&mut predecessor));
        predecessor.successor_exited(status);
        let _ = write!(trace, "  then {}", trace_actions(&mut predecessor));
        assert!(predecessor.is_serving(), "{name}");
    };
    run_case("dies", None, &|_| {});
    run_case("exits with 0 unexpectedly", Some(0), &|_| {});
    run_case("hangs", None, &|predecessor| {
        predecessor.handle_message(ms(100), Message::Heartbeat);
        predecessor.handle_timeout(ms(399));
        predecessor.handle_timeout(ms(400));
    });
    run_case("never completes probation", None, &|predecessor| {
        for elapsed_ms in (50..=1400).step_by(50) {
            predecessor.handle_message(ms(elapsed_ms), Message::Heartbeat);
            predecessor.handle_timeout(ms(elapsed_ms));
        }
    });
    run_case("closes the channel", None, &|predecessor| {
        predecessor.channel_failed("it closed the channel");
    });
    run_case(
        "is killed, then a drain is requested",
        None,
        &|predecessor| {
            predecessor.channel_failed("it closed the channel");
            predecessor.drain(70.0);
            predecessor.drain(80.0);
            predecessor.reload();
        },
    );
    assert_snapshot!(trace);
}

#[test]
fn owner_drains_by_the_deadline_of_the_first_notification() {
    let mut trace = String::new();
    let mut record = |name: &str, predecessor: &mut Predecessor| {
        let _ = write!(trace, "{name}: {}", trace_actions(predecessor));
    };
    let mut predecessor = Predecessor::new(TIMEOUTS);
    predecessor.drain(70.0);
    record("before", &mut predecessor);
    predecessor.start_upgrade(ms(0), None);
    record("then receives another upgrade request", &mut predecessor);
    let mut predecessor = Predecessor::new(TIMEOUTS);
    predecessor.start_upgrade(ms(0), None);
    predecessor.drain(70.0);
    record("while the successor starts", &mut predecessor);
    predecessor.successor_exited(None);
    record("  after the successor's exit", &mut predecessor);
    let mut predecessor = Predecessor::new(TIMEOUTS);
    predecessor.start_upgrade(ms(0), None);
    predecessor.handle_message(ms(5), hello(&[1]));
    predecessor.handle_message(ms(6), Message::Ready);
    trace_actions(&mut predecessor);
    predecessor.drain(70.0);
    record("while frozen", &mut predecessor);
    predecessor.successor_exited(None);
    record("  after the successor's exit", &mut predecessor);
    let mut predecessor = on_probation();
    predecessor.drain(70.0);
    predecessor.drain(71.0);
    record("during probation", &mut predecessor);
    predecessor.handle_message(ms(560), Message::ProbationCompleted);
    predecessor.successor_exited(Some(0));
    record("  after the successor's exit", &mut predecessor);
    let mut predecessor = on_probation();
    predecessor.handle_message(ms(40), Message::Draining { deadline: 70.0 });
    predecessor.successor_exited(Some(101));
    record(
        "the successor was notified, and died while draining",
        &mut predecessor,
    );
    assert_snapshot!(trace);
}

#[test]
fn successor_continues_without_its_predecessor_only_after_a_complete_transfer() {
    let trace_actions = |successor: &mut Successor| {
        let mut line = String::new();
        while let Some(action) = successor.poll_action() {
            let _ = write!(line, " | {action:?}");
        }
        line + "\n"
    };
    let mut trace = String::new();
    for event_count in 0..5 {
        let mut successor = Successor::new(ms(500), "next");
        let events: [&dyn Fn(&mut Successor); 4] = [
            &|successor| successor.handle_message(ms(1), Message::FormatSelected { version: 1 }),
            &|successor| {
                successor.handle_message(
                    ms(2),
                    Message::Descriptors {
                        roles: vec![Role::Image],
                    },
                );
                successor.handle_message(ms(3), Message::TransferCompleted { count: 1 });
            },
            &|successor| successor.restore_completed(ms(4)),
            &|successor| successor.handle_message(ms(5), Message::Activate),
        ];
        events
            .iter()
            .take(event_count)
            .for_each(|event| event(&mut successor));
        successor.predecessor_exited(ms(6));
        let _ = write!(
            trace,
            "alone after {event_count}{}",
            trace_actions(&mut successor)
        );
        successor.restore_completed(ms(7)); // ignored unless it is restoring
        let _ = write!(
            trace,
            "  owner {}, recording {}{}",
            successor.is_owner(),
            successor.is_recording(),
            trace_actions(&mut successor)
        );
    }
    let mut successor = Successor::new(ms(500), "next");
    successor.handle_message(ms(1), Message::FormatSelected { version: 1 });
    successor.handle_message(ms(2), Message::TransferCompleted { count: 1 });
    let _ = write!(
        trace,
        "incomplete transfer{}",
        trace_actions(&mut successor)
    );
    assert_snapshot!(trace);
}

#[test]
fn successor_detaches_from_a_suspended_predecessor_which_recovers_nothing() {
    let mut successor = Successor::new(ms(500), "next");
    successor.handle_message(ms(1), Message::FormatSelected { version: 1 });
    successor.handle_message(ms(2), Message::TransferCompleted { count: 0 });
    successor.restore_completed(ms(3));
    successor.handle_message(ms(4), Message::Activate);
    let mut trace = Vec::new();
    for elapsed_ms in (0..11_000).step_by(50) {
        successor.handle_timeout(ms(elapsed_ms));
        while let Some(action) = successor.poll_action() {
            match action {
                successor::Action::Send(Message::Heartbeat) => {}
                action => trace.push(format!("{elapsed_ms} {action:?}")),
            }
        }
    }
    assert!(successor.is_owner() && !successor.is_recording());
    // The predecessor resumes and receives all events at once, the exit of the successor last.
    let mut predecessor = on_probation();
    predecessor.handle_message(ms(11_000), Message::Heartbeat);
    predecessor.handle_message(ms(11_000), Message::Detached);
    predecessor.successor_exited(None);
    trace.push(trace_actions(&mut predecessor));
    assert_snapshot!(trace.join("\n"));
}
