//! The exchange between two sides played by hand, on a clock that only the tests move.

use std::fmt::Write as _;

use insta::assert_snapshot;
use merlinshelf_protocol::CallId;
use merlinshelf_protocol::engine::End;
use tokio::time::advance;

use super::arrivals::admission_request;
use super::*;
use crate::config::Config;

const EXAMPLE: &str = include_str!("../../../../examples/config.json");

/// The exchange with one door, and a trace of all that it gives out.
struct Play {
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
        received_at_ms: unix_ms() + 1000.0, // so that no real time that passes in a test makes it older
        timeout_ms: Some(2000.0),
        is_retry: false,
        held_kilobytes: 20.0,
        rank: 0.5,
        has_subject: false,
    }
}

impl Play {
    fn start() -> Play {
        let config = Config::parse(EXAMPLE).expect("the example can be read");
        let exchange =
            Exchange::new(config.settings, config.seed, 192).expect("settings that are read");
        let shared = Rc::new(RefCell::new(exchange));
        let connection = ConnectionHandle::open(&shared);
        let mut play = Play {
            shared,
            connection,
            trace: String::new(),
        };
        play.tell("HELLO", |exchange| exchange.engine_up(true, 0.0, false));
        play
    }

    /// Tells the exchange something and notes what comes of it.
    fn tell(&mut self, what: &str, tell: impl FnOnce(&mut Exchange)) {
        tell(&mut self.shared.borrow_mut());
        let _ = writeln!(self.trace, "{what}");
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
                    retry_after_seconds: away,
                    no_failover: last,
                } => {
                    writeln!(
                        self.trace,
                        "    {tag} <- throttled, away {:.3}, last {last}",
                        away.abs()
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
        while let Some(order) = exchange.next_call_command() {
            let _ = match order {
                CallCommand::Invoke {
                    id,
                    number,
                    timeout_seconds: wait,
                    body,
                    ..
                } => {
                    writeln!(
                        self.trace,
                        "    call {id}:{number} {wait:.2} s {}",
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
        self.tell(&format!("arrives {number}"), |exchange| {
            assert!(exchange.invocation_read(reply, arrival(number, operation)));
        });
    }

    async fn wait(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            advance(Duration::from_millis(10)).await;
            self.shared.borrow_mut().fire_timers();
        }
        self.tell(&format!("{millis} ms pass"), |_| {});
    }
}

#[tokio::test(start_paused = true)]
async fn an_invocation_goes_through_with_its_call() {
    let mut play = Play::start();
    play.arrives(1, 0);
    play.tell("NEED 1", |exchange| {
        exchange.call_requested(id(1), 1, None, b"call")
    });
    play.tell("ok", |exchange| {
        exchange.call_ended(id(1), 1, CallOutcome::Succeeded(Rc::from(*b"reply")))
    });
    play.tell("DONE OK", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 0.1, b"\0result")
    });
    play.tell("DONE again", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 0.1, b"other")
    });
    play.arrives(2, 1);
    play.tell("DONE ERROR", |exchange| {
        exchange.run_ended(id(2), End::Errored, 0.1, b"")
    });
    play.arrives(3, 1);
    play.tell("NO RUN", |exchange| exchange.command_refused(b"RUN", id(3)));
    assert_eq!(play.shared.borrow().in_flight(), 0);
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn a_call_that_timed_out_is_given_up_and_its_late_reply_dropped() {
    let mut play = Play::start();
    play.arrives(1, 2);
    play.tell("NEED 1", |exchange| {
        exchange.call_requested(id(1), 1, None, b"call")
    });
    play.wait(800).await;
    let late = CallOutcome::Succeeded(Rc::from(*b"late"));
    play.tell("late reply", |exchange| exchange.call_ended(id(1), 1, late));
    play.tell("NEED 2", |exchange| {
        exchange.call_requested(id(1), 2, None, b"next call")
    });
    let late = CallOutcome::Succeeded(Rc::from(*b"late"));
    play.tell("late reply", |exchange| exchange.call_ended(id(1), 1, late));
    assert_eq!(play.shared.borrow().counters.late_replies, 2);
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn lost_commands_are_given_again_only_where_that_is_safe() {
    let mut play = Play::start();
    play.arrives(1, 1);
    let run = Command::Run {
        id: id(1),
        operation: "transcript-search".into(),
        body: Rc::from(*b"body"),
    };
    play.tell("RUN lost", |exchange| exchange.command_lost(run.clone(), 0));
    play.tell("NEED 1", |exchange| {
        exchange.call_requested(id(1), 1, None, b"call")
    });
    play.tell("RUN lost before", |exchange| exchange.command_lost(run, 0));
    play.tell("ok", |exchange| {
        exchange.call_ended(id(1), 1, CallOutcome::Succeeded(Rc::from(*b"reply")))
    });
    let feed = Command::Feed {
        id: id(1),
        reply: Rc::from(*b"reply"),
    };
    play.tell("FEED lost", |exchange| {
        exchange.command_lost(feed.clone(), 1)
    });
    // A run that makes a second call could take a second reply for its own: from then on it is
    // asked for anew.
    play.tell("NEED 2", |exchange| {
        exchange.call_requested(id(1), 2, None, b"next call")
    });
    play.tell("FEED lost before", |exchange| {
        exchange.command_lost(feed.clone(), 1)
    });
    play.tell("ok", |exchange| {
        exchange.call_ended(id(1), 2, CallOutcome::Succeeded(Rc::from(*b"reply")))
    });
    play.tell("FEED lost", |exchange| exchange.command_lost(feed, 2));
    let skip = Command::Skip { id: id(1), need: 2 };
    play.tell("SKIP lost", |exchange| {
        exchange.command_lost(skip.clone(), 2)
    });
    play.tell("DONE OK", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 0.1, b"result")
    });
    play.tell("SKIP lost after the end", |exchange| {
        exchange.command_lost(skip, 2)
    });
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn another_engine_leaves_nothing_unanswered() {
    let mut play = Play::start();
    (1..=6).for_each(|number| play.arrives(number, 1));
    play.tell("another HELLO", |exchange| {
        exchange.engine_up(false, 0.1, true)
    });
    assert_eq!(play.shared.borrow().in_flight(), 0);
    play.arrives(7, 1);
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn a_panic_of_the_module_leaves_nothing_unanswered() {
    let mut play = Play::start();
    play.arrives(1, 1);
    play.tell("panic", |exchange| {
        exchange.decide(|_, _| panic!("a fault of the module"))
    });
    play.arrives(2, 1);
    play.tell("DONE OK", |exchange| {
        exchange.run_ended(id(2), End::Succeeded, 0.1, b"result")
    });
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn all_is_answered_by_its_due_time_without_the_engine() {
    let mut play = Play::start();
    (1..=6).for_each(|number| play.arrives(number, 1));
    play.wait(2000).await;
    let exchange = play.shared.borrow();
    let counters = &exchange.counters;
    assert_eq!(
        counters.succeeded + counters.throttled + counters.errored,
        6
    );
    drop(exchange);
    // The engine says so later; nothing is answered twice.
    play.tell("DONE OK", |exchange| {
        exchange.run_ended(id(1), End::Succeeded, 3.0, b"result")
    });
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn who_leaves_answers_all_and_runs_nothing_from_after_the_grace() {
    let mut play = Play::start();
    play.arrives(1, 1);
    let stop = Instant::now() + Duration::from_millis(3000);
    play.tell("notice", |exchange| {
        exchange.begin_shutdown(stop, Duration::ZERO)
    });
    play.wait(1900).await;
    play.arrives(2, 1);
    play.wait(200).await;
    play.arrives(3, 1);
    play.wait(900).await;
    assert!(!play.shared.borrow().is_healthy());
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn what_comes_before_the_engine_or_too_late_is_throttled_at_once() {
    let config = Config::parse(EXAMPLE).expect("the example can be read");
    let exchange =
        Exchange::new(config.settings, config.seed, 192).expect("settings that are read");
    let shared = Rc::new(RefCell::new(exchange));
    let mut play = Play {
        connection: ConnectionHandle::open(&shared),
        shared,
        trace: String::new(),
    };
    play.arrives(1, 0);
    play.tell("HELLO", |exchange| exchange.engine_up(false, 0.0, false));
    let reply = ReplyAddress {
        connection: play.connection.number(),
        tag: 2,
    };
    let late = Arrival {
        received_at_ms: unix_ms() - 2000.0,
        ..arrival(2, 0)
    };
    play.tell("arrives too late", |exchange| {
        assert!(exchange.invocation_read(reply, late))
    });
    play.arrives(3, 0);
    let again = ReplyAddress {
        connection: play.connection.number(),
        tag: 4,
    };
    play.tell("the same id", |exchange| {
        assert!(!exchange.invocation_read(again, arrival(3, 0)))
    });
    assert_snapshot!(play.trace);
}

#[tokio::test(start_paused = true)]
async fn a_door_that_closes_takes_its_invocations_with_it() {
    let mut play = Play::start();
    (1..=6).for_each(|number| play.arrives(number, 1));
    let held = play.shared.borrow().in_flight();
    play.connection = ConnectionHandle::open(&play.shared); // the first is dropped
    let exchange = play.shared.borrow();
    assert_eq!((held, exchange.counters.unheard), (6, 6));
    // Those that run stay in hand until they end; nobody is answered any more.
    assert_eq!(
        (exchange.in_flight(), exchange.open_connections()),
        (exchange.counters.runs as usize, 1)
    );
}

#[tokio::test(start_paused = true)]
async fn gauges_bring_the_beat_forward_and_old_ones_do_not() {
    let play = Play::start();
    let named = play
        .shared
        .borrow()
        .named_gauges(&[0.5, f64::NAN, 0.25, 7.0, 1.0]);
    assert_eq!(
        format!("{named:?}"),
        r#"{"cpu_busy": 0.5, "mem_used": 0.25, "sockets": 7.0}"#
    );
    let gauges = |age: u64| {
        play.shared
            .borrow_mut()
            .gauges_received(&[0.5, 1.0], Duration::from_millis(age))
    };
    let beat_in = || {
        let wakes = play.shared.borrow().timers.admission_timers().clone();
        let now = play.shared.borrow().origin.elapsed();
        wakes
            .values()
            .map(|at| at.saturating_sub(now).as_millis())
            .collect::<Vec<_>>()
    };
    play.shared.borrow_mut().fire_timers();
    advance(Duration::from_millis(4)).await;
    gauges(101);
    assert_eq!(beat_in(), [6], "old gauges pass for new");
    gauges(1);
    assert_eq!(beat_in(), [10]);
    // The beat that was due stays away, and wakes do not grow in number.
    for _ in 0..100 {
        advance(Duration::from_millis(4)).await;
        gauges(1);
        play.shared.borrow_mut().fire_timers();
        assert_eq!(beat_in(), [10]);
    }
    assert!(play.shared.borrow().timers.len() <= 4);
    // Without gauges the timer brings it.
    advance(Duration::from_millis(10)).await;
    play.shared.borrow_mut().fire_timers();
    assert_eq!(beat_in(), [10]);
}

#[tokio::test(start_paused = true)]
async fn what_is_read_and_what_is_in_hand_stays_within_the_memory() {
    let mut play = Play::start();
    let most = play.shared.borrow().max_in_flight;
    assert_eq!(most, 192 * 1024 / 80);
    // Many that are begun and left take bytes, and no place of those that come whole.
    let mut places: Vec<_> = std::iter::from_fn(|| play.shared.borrow().reserve_read()).collect();
    assert_eq!(places.len(), 192 * 1024 * 1024 / 16 / 256);
    assert!(!places[0].grow(1) && !play.shared.borrow().is_full());
    places.pop();
    assert!(places[0].grow(256) && !places[0].grow(1));
    drop(places);
    play.shared.borrow_mut().max_in_flight = 6;
    (1..=6).for_each(|number| play.arrives(number, 1));
    assert!(play.shared.borrow().is_full() && play.shared.borrow().reserve_read().is_none());
}

#[test]
fn a_wall_clock_that_is_stepped_makes_no_odd_times() {
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
        "used up, which is not none"
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
