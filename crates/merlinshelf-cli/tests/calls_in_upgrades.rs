//! Downstream calls to dependencies that are in progress when the program is upgraded: the router's
//! state of a call must reach the successor, and the predecessor if that takes back.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::script::{
    Peer, Upgradable, UpgradableOptions, bind_loopback, unique_address,
};
use merlinshelf_testbed::wire::{fastcgi_invocation, invocation_id};
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");
/// A probation that lasts until its test ends it.
const LONG_PROBATION_MS: u64 = 30_000;
/// The share of the caller's remaining time that a call may take.
const DEADLINE_SHARE: f64 = 0.25;
/// How long the caller waits, which is the default of `fastcgi_invocation`.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

/// An instance whose runs of `thumbnail` call the dependency `thumbs`, with `spare` as its fallback.
struct Rig {
    instance: Upgradable,
    engine: Peer,
    edge: Peer,
    thumbs: Option<TcpListener>,
    spare: TcpListener,
}

/// Whether the servers of `thumbs` accept connections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Thumbs {
    Up,
    Down,
}

impl Rig {
    fn start(thumbs: Thumbs, watched_ms: u64, effect: &str) -> Rig {
        let (spare, spare_address) = bind_loopback();
        let (listener, address) = bind_loopback();
        let (thumbs, thumbs_address) = match thumbs {
            Thumbs::Up => (Some(listener), address),
            Thumbs::Down => (None, unique_address()),
        };
        let dependencies = format!(
            "dependencies: {{ dependencies: {{ \
             thumbs: {{ servers: [{{ address: '{thumbs_address}' }}], instead: 'spare' }}, \
             spare: {{ servers: [{{ address: '{spare_address}' }}] }} }}, \
             operations: {{ thumbnail: {{ calls: [{{ to: 'thumbs', needed: true, share: {DEADLINE_SHARE} }}] }} }} }},"
        );
        let effect = format!("\"Effect\": \"{effect}\"");
        let instance = Upgradable::start(&UpgradableOptions {
            program: PROGRAM,
            watched_ms,
            config_changes: &[("\"Effect\": \"read_like\"", &effect)],
            operator_sections: &dependencies,
            ..UpgradableOptions::default()
        });
        // This engine does not support names: it closes the first link and gets the plain protocol.
        let mut first_link = Peer::accept(&instance.rig.engine_listener);
        assert_eq!(first_link.next_message(), "ATTACH 0 NAMES/1");
        drop(first_link);
        let (engine, edge) = (instance.rig.accept_engine(), instance.rig.connect_edge());
        Rig {
            instance,
            engine,
            edge,
            thumbs,
            spare,
        }
    }

    fn begin_run(&mut self) {
        self.edge
            .send(fastcgi_invocation(1, "thumbnail", b"page", &[]));
        assert!(self.engine.next_message().starts_with("RUN "));
    }

    fn request_call(&mut self) {
        self.engine
            .send(format!("NEED 1 {} 4\r\nmore\r\n", invocation_id(1)));
    }

    /// Sends an invocation whose run requests a call.
    fn begin_call(&mut self) {
        self.begin_run();
        self.request_call();
    }

    fn accept_thumbs(&self) -> Peer {
        accept_call(self.thumbs.as_ref().expect("servers that are up"))
    }

    /// Ends the run with the reply of `spare`: the caller must learn that a part is missing.
    fn expect_partial_result(&mut self) {
        let feed = self.engine.next_message();
        assert_eq!(feed, format!("FEED {} 5 spare", invocation_id(1)));
        self.engine
            .send(format!("DONE 2 {} OK 9 4\r\nfine\r\n", invocation_id(1)));
        let answer = self.edge.next_answer();
        assert_eq!(answer, "1 200 OK|X-Partial: thumbs||fine");
    }
}

/// Accepts the connection of a call and reads its request.
fn accept_call(listener: &TcpListener) -> Peer {
    let mut server = Peer::accept(listener);
    let request = server.next_message();
    assert!(
        request.starts_with(&format!("invoke {}", invocation_id(1))),
        "{request}"
    );
    server
}

fn reply_of_spare(server: &mut Peer) {
    server.send(format!("{} ok 5\r\nspare\r\n", invocation_id(1)));
}

/// Guards against a partial result that goes out as a complete one: that a fallback dependency was
/// called was known only to the router of the predecessor.
#[test]
fn a_partial_result_is_marked_after_an_upgrade_during_the_call_to_the_fallback() {
    let mut rig = Rig::start(Thumbs::Down, 300, "read_like");
    rig.begin_call();
    let mut spare = accept_call(&rig.spare);
    rig.instance.upgrade();
    reply_of_spare(&mut spare);
    rig.expect_partial_result();
}

/// Guards against a call that fails in the successor and is not sent to its fallback dependency.
#[test]
fn a_call_that_fails_after_an_upgrade_is_sent_to_its_fallback() {
    let mut rig = Rig::start(Thumbs::Up, 300, "read_like");
    rig.begin_call();
    let mut thumbs = rig.accept_thumbs();
    rig.instance.upgrade();
    thumbs.send(format!("{} overload\r\n", invocation_id(1)));
    let mut spare = accept_call(&rig.spare);
    reply_of_spare(&mut spare);
    rig.expect_partial_result();
}

/// Guards against the same losses where the predecessor takes back what a failed successor changed.
#[test]
fn a_predecessor_that_takes_back_continues_the_call_to_the_fallback() {
    let mut rig = Rig::start(Thumbs::Up, LONG_PROBATION_MS, "read_like");
    rig.begin_call();
    let mut thumbs = rig.accept_thumbs();
    let mut command = rig.instance.start_upgrade_until("took_over");
    thumbs.send(format!("{} overload\r\n", invocation_id(1)));
    let mut spare = accept_call(&rig.spare);
    signal(rig.instance.serving_process(), Signal::KILL);
    assert_eq!(command.wait().expect("an end").code(), Some(1));
    reply_of_spare(&mut spare);
    rig.expect_partial_result();
}

/// Guards against a successor that doesn't know how long the caller waits: the call gets its share of
/// the caller's remaining time.
#[test]
fn a_call_requested_after_an_upgrade_gets_its_share_of_the_callers_time() {
    let mut rig = Rig::start(Thumbs::Up, 300, "read_like");
    rig.begin_run();
    let sent_at = Instant::now();
    rig.instance.upgrade();
    rig.request_call();
    let mut thumbs = Peer::accept(rig.thumbs.as_ref().expect("servers that are up"));
    let remaining = CALLER_PATIENCE - sent_at.elapsed();
    let request = thumbs.next_message();
    let timeout_ms: f64 = request
        .split(' ')
        .nth(2)
        .and_then(|word| word.parse().ok())
        .expect("a timeout");
    let share = timeout_ms / remaining.as_secs_f64() / 1e3;
    assert!((share - DEADLINE_SHARE).abs() < 0.02, "{share}: {request}");
}

/// Guards against a call that has its effect twice: one that broke in the successor may have run, so
/// it must be sent to no other server.
#[test]
fn a_call_with_an_effect_that_breaks_after_an_upgrade_is_not_repeated() {
    let mut rig = Rig::start(Thumbs::Up, 300, "at_most_once");
    rig.begin_call();
    let thumbs = rig.accept_thumbs();
    rig.instance.upgrade();
    drop(thumbs);
    let answer = rig.edge.next_answer();
    assert!(answer.starts_with("1 500"), "{answer}");
    rig.spare.set_nonblocking(true).expect("the blocking mode");
    assert!(rig.spare.accept().is_err(), "the call was repeated");
}
