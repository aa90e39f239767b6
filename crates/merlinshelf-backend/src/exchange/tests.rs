//! Tests of the exchange without its server and client sides, on a clock that the tests advance.

use std::fmt::Write as _;

use insta::assert_snapshot;
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::engine::End;
use tokio::time::advance;

use super::arrivals::admission_request;
use super::*;
use crate::config::Config;

const EXAMPLE: &str = include_str!("../../../../examples/config.json");

/// An exchange with one client connection, and a trace of its answers and commands.
struct Harness {
    shared: Shared,
    connection: ConnectionHandle,
    trace: String,
}

fn id(number: u16) -> CallId {
    CallId::parse(format!("{number:016x}").as_bytes()).expect("an id")
}

fn arrival(number: u16, operation: usize) -> Arrival {
    Arrival {
        id: id(number),
        operation,
        body: Rc::from(*b"body"),
        caller: 4,
        // Ahead of the wall clock, so that the real time that passes in a test does not age it.
        received_at_ms: unix_ms() + 1000.0,
        timeout_ms: Some(2000.0),
        is_retry: false,
        held_kilobytes: 20.0,
        rank: 0.5,
        has_subject: false,
    }
}

impl Harness {
    fn start() -> Harness {
        let config = Config::parse(EXAMPLE).expect("the example is valid");
        let exchange = Exchange::new(config.settings, config.seed, 192).expect("valid settings");
        let shared = Rc::new(RefCell::new(exchange));
        let connection = ConnectionHandle::open(&shared);
        let mut harness = Harness {
            shared,
            connection,
            trace: String::new(),
        };
        harness.step("HELLO", |exchange| exchange.engine_up(true, 0.0, false));
        harness
    }

    /// Passes an event to the exchange and records the resulting answers and commands.
    fn step(&mut self, label: &str, event: impl FnOnce(&mut Exchange)) {
        event(&mut self.shared.borrow_mut());
        let _ = writeln!(self.trace, "{label}");
        while let Some((tag, answer)) = self.connection.next_answer() {
            let _ = match answer {
                Answer::Succeeded(result) => {
                    writeln!(self.trace, "    {tag} <- {}", result.escape_ascii())
                }
                Answer::Partial(result, missing) => {
                    writeln!(
                        self.trace,
                        "    {tag} <- {} without {missing}",
                        result.escape_ascii()
                    )
                }
                Answer::Rejected {
                    retry_after_seconds,
                    no_failover,
                } => {
                    writeln!(
                        self.trace,
                        "    {tag} <- throttled, away {:.3}, last {no_failover}",
                        retry_after_seconds.abs()
                    )
                }
                Answer::Failed => writeln!(self.trace, "    {tag} <- errored"),
                Answer::Unknown => writeln!(self.trace, "    {tag} <- unknown"),
            };
        }
        let exchange = &mut *self.shared.borrow_mut();
        while let Some((command, _)) = exchange.next_command() {
            let _ = match command {
                Command::Run {
                    id,
                    operation,
                    body,
                } => {
                    writeln!(
                        self.trace,
                        "    run {id} {operation} {}",
                        body.escape_ascii()
                    )
                }
                Command::Feed { id, reply } => {
                    writeln!(self.trace, "    feed {id} {}", reply.escape_ascii())
                }
                Command::Skip { id, need } => writeln!(self.trace, "    skip {id} {need}"),
            };
        }
        while let Some(command) = exchange.next_call_command() {
            let _ = match command {
                CallCommand::Invoke {
                    id,
                    number,
                    timeout_seconds,
                    body,
                    ..
                } => {
                    writeln!(
                        self.trace,
                        "    call {id}:{number} {timeout_seconds:.2} s {}",
                        body.escape_ascii()
                    )
                }
                CallCommand::Abandon { id, number } => {
                    writeln!(self.trace, "    give up {id}:{number}")
                }
            };
        }
    }

    fn arrives(&mut self, number: u16, operation: usize) {
        let reply = ReplyAddress {
            connection: self.connection.number(),
            tag: number,
        };
        self.step(&format!("arrives {number}"), |exchange| {
            assert!(exchange.invocation_read(reply, arrival(number, operation)));
        });
    }

    async fn wait(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            advance(Duration::from_millis(10)).await;
            self.shared.borrow_mut().fire_timers();
        }
        self.step(&format!("{millis} ms pass"), |_| {});
    }
}

#[tokio::test(start_paused = true)]
async fn an_invocation_with_a_call_is_run_and_answered() {
    let mut harness = Harness::start();
    harness.arrives(1, 0);
    harness.step("NEED 1", |exchange| {
        exchange.call_requested(id(1), 1, None, b"call")
    });
    harness.step("ok", |exchange| {
        exchange.call_ended(id(1), 1, CallOutcome::Succeeded(Rc::from(*b"reply")))
    });
    harness.step("DONE OK", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 0.1, b"\0result")
    });
    harness.step("DONE again", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 0.1, b"other")
    });
    harness.arrives(2, 1);
    harness.step("DONE ERROR", |exchange| {
        exchange.run_ended(id(2), End::Errored, 0.1, b"")
    });
    harness.arrives(3, 1);
    harness.step("NO RUN", |exchange| exchange.command_refused(b"RUN", id(3)));
    assert_eq!(harness.shared.borrow().in_flight(), 0);
    assert_snapshot!(harness.trace);
}

#[tokio::test(start_paused = true)]
async fn a_timed_out_call_is_abandoned_and_its_late_reply_is_dropped() {
    let mut harness = Harness::start();
    harness.arrives(1, 2);
    harness.step("NEED 1", |exchange| {
        exchange.call_requested(id(1), 1, None, b"call")
    });
    harness.wait(800).await;
    let late = CallOutcome::Succeeded(Rc::from(*b"late"));
    harness.step("late reply", |exchange| exchange.call_ended(id(1), 1, late));
    harness.step("NEED 2", |exchange| {
        exchange.call_requested(id(1), 2, None, b"next call")
    });
    let late = CallOutcome::Succeeded(Rc::from(*b"late"));
    harness.step("late reply", |exchange| exchange.call_ended(id(1), 1, late));
    assert_eq!(harness.shared.borrow().counters.late_replies, 2);
    assert_snapshot!(harness.trace);
}

#[tokio::test(start_paused = true)]
async fn lost_commands_are_repeated_only_where_that_is_safe() {
    let mut harness = Harness::start();
    harness.arrives(1, 1);
    let run = Command::Run {
        id: id(1),
        operation: "transcript-search".into(),
        body: Rc::from(*b"body"),
    };
    harness.step("RUN lost", |exchange| exchange.command_lost(run.clone(), 0));
    harness.step("NEED 1", |exchange| {
        exchange.call_requested(id(1), 1, None, b"call")
    });
    harness.step("RUN lost before", |exchange| exchange.command_lost(run, 0));
    harness.step("ok", |exchange| {
        exchange.call_ended(id(1), 1, CallOutcome::Succeeded(Rc::from(*b"reply")))
    });
    let feed = Command::Feed {
        id: id(1),
        reply: Rc::from(*b"reply"),
    };
    harness.step("FEED lost", |exchange| {
        exchange.command_lost(feed.clone(), 1)
    });
    // A run that makes a second call could take a repeated reply for that of its second call: from
    // here on the admission controller decides about a lost reply again.
    harness.step("NEED 2", |exchange| {
        exchange.call_requested(id(1), 2, None, b"next call")
    });
    harness.step("FEED lost before", |exchange| {
        exchange.command_lost(feed.clone(), 1)
    });
    harness.step("ok", |exchange| {
        exchange.call_ended(id(1), 2, CallOutcome::Succeeded(Rc::from(*b"reply")))
    });
    harness.step("FEED lost", |exchange| exchange.command_lost(feed, 2));
    let skip = Command::Skip { id: id(1), need: 2 };
    harness.step("SKIP lost", |exchange| {
        exchange.command_lost(skip.clone(), 2)
    });
    harness.step("DONE OK", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 0.1, b"result")
    });
    harness.step("SKIP lost after the end", |exchange| {
        exchange.command_lost(skip, 2)
    });
    assert_snapshot!(harness.trace);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_engine_leaves_no_invocation_unanswered() {
    let mut harness = Harness::start();
    (1..=6).for_each(|number| harness.arrives(number, 1));
    harness.step("another HELLO", |exchange| {
        exchange.engine_up(false, 0.1, true)
    });
    assert_eq!(harness.shared.borrow().in_flight(), 0);
    harness.arrives(7, 1);
    assert_snapshot!(harness.trace);
}

#[tokio::test(start_paused = true)]
async fn a_panic_of_the_admission_controller_leaves_no_invocation_unanswered() {
    let mut harness = Harness::start();
    harness.arrives(1, 1);
    harness.step("panic", |exchange| {
        exchange.decide(|_, _| panic!("a fault of the admission controller"))
    });
    harness.arrives(2, 1);
    harness.step("DONE OK", |exchange| {
        exchange.run_ended(id(2), End::Succeeded, 0.1, b"result")
    });
    assert_snapshot!(harness.trace);
}

#[tokio::test(start_paused = true)]
async fn invocations_are_answered_by_their_timeouts_if_the_engine_is_silent() {
    let mut harness = Harness::start();
    (1..=6).for_each(|number| harness.arrives(number, 1));
    harness.wait(2000).await;
    let exchange = harness.shared.borrow();
    let counters = &exchange.counters;
    assert_eq!(
        counters.succeeded + counters.throttled + counters.errored,
        6
    );
    drop(exchange);
    // The engine reports the end later: nothing is answered twice.
    harness.step("DONE OK", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 3.0, b"result")
    });
    assert_snapshot!(harness.trace);
}

#[tokio::test(start_paused = true)]
async fn shutdown_answers_all_invocations_and_starts_no_run_after_the_grace() {
    let mut harness = Harness::start();
    harness.arrives(1, 1);
    let stop = Instant::now() + Duration::from_millis(3000);
    harness.step("notice", |exchange| {
        exchange.begin_shutdown(stop, Duration::ZERO)
    });
    harness.wait(1900).await;
    harness.arrives(2, 1);
    harness.wait(200).await;
    harness.arrives(3, 1);
    harness.wait(900).await;
    assert!(!harness.shared.borrow().is_healthy());
    assert_snapshot!(harness.trace);
}

/// Guards against a grace that begins anew when the engine comes up, or is restarted, after the notice
/// to leave.
#[tokio::test(start_paused = true)]
async fn the_grace_counts_from_the_notice_whenever_the_engine_starts() {
    for engine_was_up in [false, true] {
        let mut harness = Harness::start();
        if !engine_was_up {
            harness.shared.borrow_mut().controller = None;
        }
        let stop = Instant::now() + Duration::from_millis(5000);
        harness.step("notice", |exchange| {
            exchange.begin_shutdown(stop, Duration::ZERO)
        });
        harness.wait(1900).await;
        harness.step("HELLO", |exchange| {
            exchange.engine_up(false, 0.01, engine_was_up)
        });
        harness.arrives(1, 1);
        harness.wait(200).await;
        harness.arrives(2, 1);
        harness.wait(2000).await;
        assert!(harness.trace.contains(&format!("run {}", id(1))));
        assert!(!harness.trace.contains(&format!("run {}", id(2))));
    }
}

#[tokio::test(start_paused = true)]
async fn invocations_before_the_engine_is_up_or_past_their_timeout_are_throttled_at_once() {
    let config = Config::parse(EXAMPLE).expect("the example is valid");
    let exchange = Exchange::new(config.settings, config.seed, 192).expect("valid settings");
    let shared = Rc::new(RefCell::new(exchange));
    let mut harness = Harness {
        connection: ConnectionHandle::open(&shared),
        shared,
        trace: String::new(),
    };
    harness.arrives(1, 0);
    harness.step("HELLO", |exchange| exchange.engine_up(false, 0.0, false));
    let reply = ReplyAddress {
        connection: harness.connection.number(),
        tag: 2,
    };
    let late = Arrival {
        received_at_ms: unix_ms() - 2000.0,
        ..arrival(2, 0)
    };
    harness.step("arrives too late", |exchange| {
        assert!(exchange.invocation_read(reply, late))
    });
    harness.arrives(3, 0);
    let second_reply = ReplyAddress {
        connection: harness.connection.number(),
        tag: 4,
    };
    harness.step("the same id", |exchange| {
        assert!(!exchange.invocation_read(second_reply, arrival(3, 0)))
    });
    assert_snapshot!(harness.trace);
}

#[tokio::test(start_paused = true)]
async fn closing_a_connection_disconnects_the_callers_of_its_invocations() {
    let mut harness = Harness::start();
    (1..=6).for_each(|number| harness.arrives(number, 1));
    let in_flight_before = harness.shared.borrow().in_flight();
    harness.connection = ConnectionHandle::open(&harness.shared); // the first is dropped
    let exchange = harness.shared.borrow();
    assert_eq!((in_flight_before, exchange.counters.unheard), (6, 6));
    // Invocations that run stay in flight until they end, without an answer.
    assert_eq!(
        (exchange.in_flight(), exchange.open_connections()),
        (exchange.counters.runs as usize, 1)
    );
}

#[tokio::test(start_paused = true)]
async fn recent_gauges_fire_the_admission_timer_early_and_old_ones_do_not() {
    let harness = Harness::start();
    let named = harness
        .shared
        .borrow()
        .named_gauges(&[0.5, f64::NAN, 0.25, 7.0, 1.0]);
    assert_eq!(
        format!("{named:?}"),
        r#"{"cpu_busy": 0.5, "mem_used": 0.25, "sockets": 7.0}"#
    );
    let gauges = |age: u64| {
        harness
            .shared
            .borrow_mut()
            .gauges_received(&[0.5, 1.0], Duration::from_millis(age))
    };
    let timers_due_in_ms = || {
        let timers = harness.shared.borrow().timers.admission_timers().clone();
        let now = harness.shared.borrow().origin.elapsed();
        timers
            .values()
            .map(|at| at.saturating_sub(now).as_millis())
            .collect::<Vec<_>>()
    };
    harness.shared.borrow_mut().fire_timers();
    advance(Duration::from_millis(4)).await;
    gauges(101);
    assert_eq!(timers_due_in_ms(), [6], "old gauges are ignored");
    gauges(1);
    assert_eq!(timers_due_in_ms(), [10]);
    // The timer that was due does not fire as well, and timers do not accumulate.
    for _ in 0..100 {
        advance(Duration::from_millis(4)).await;
        gauges(1);
        harness.shared.borrow_mut().fire_timers();
        assert_eq!(timers_due_in_ms(), [10]);
    }
    assert!(harness.shared.borrow().timers.len() <= 4);
    // Without gauges the timer fires when it is due.
    advance(Duration::from_millis(10)).await;
    harness.shared.borrow_mut().fire_timers();
    assert_eq!(timers_due_in_ms(), [10]);
}

#[tokio::test(start_paused = true)]
async fn reading_and_in_flight_invocations_stay_within_the_memory_limit() {
    let mut harness = Harness::start();
    let max_in_flight = harness.shared.borrow().max_in_flight;
    assert_eq!(max_in_flight, 192 * 1024 / 80);
    // Invocations that are begun and abandoned use read memory, but do not count as in flight.
    let mut reservations: Vec<_> =
        std::iter::from_fn(|| harness.shared.borrow().reserve_read()).collect();
    assert_eq!(reservations.len(), 192 * 1024 * 1024 / 16 / 256);
    assert!(!reservations[0].grow(1) && !harness.shared.borrow().is_full());
    reservations.pop();
    assert!(reservations[0].grow(256) && !reservations[0].grow(1));
    drop(reservations);
    harness.shared.borrow_mut().max_in_flight = 6;
    (1..=6).for_each(|number| harness.arrives(number, 1));
    assert!(harness.shared.borrow().is_full() && harness.shared.borrow().reserve_read().is_none());
}

#[test]
fn a_stepped_wall_clock_yields_no_negative_or_excessive_times() {
    let invocation = Arrival {
        received_at_ms: 1_000_000.0,
        ..arrival(1, 0)
    };
    let at = |unix_ms: f64| {
        let request = admission_request(&invocation, unix_ms);
        (request.age, request.caller_timeout)
    };
    assert_eq!(at(1_000_500.0), (0.5, Some(1.5)));
    assert_eq!(
        at(1_002_000.0),
        (2.0, Some(0.0)),
        "an expired timeout, which differs from no timeout"
    );
    assert_eq!(at(900_000.0), (0.0, Some(2.0)), "stepped back");
    assert_eq!(at(9_000_000.0), (2.0, Some(0.0)), "stepped forward");
    assert_eq!(
        admission_request(
            &Arrival {
                timeout_ms: None,
                ..invocation.clone()
            },
            1_000_500.0
        )
        .caller_timeout,
        None
    );
}
