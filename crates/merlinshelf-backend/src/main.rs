//! One real backend: the decisions of merlinshelf between the sockets of edge nodes and those of what
//! does the work. This file starts the parts, heeds the signals and ends the program.

mod client;
mod config;
mod counters;
mod exchange;
mod logger;
mod ring;
mod server;

use std::cell::RefCell;
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use log::{error, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use config::Config;
use exchange::{Exchange, LANES, Shared};

/// Of the time until the process is killed: from the first on new connections are refused and idle ones
/// closed; by the second the module has answered all, which leaves time to get it out; then it ends.
const REFUSE_BEFORE: Duration = Duration::from_millis(350);
const ANSWER_BEFORE: Duration = Duration::from_millis(200);
const END_BEFORE: Duration = Duration::from_millis(60);

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("merlinshelf: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG names no configuration")?;
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let config = Config::read(&text).map_err(|reason| format!("{path}: {reason}"))?;
    let exchange = Exchange::new(config.settings.clone(), config.seed, config.memory_mb)?;
    logger::start();
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    let exchange = Rc::new(RefCell::new(exchange));
    let result = LocalSet::new().block_on(&runtime, run(config, exchange.clone()));
    info!("counters at the end: {} {}", exchange.borrow().counters, counters::usage());
    logger::finish();
    result.map_err(|error| error.to_string())
}

async fn run(config: Config, exchange: Shared) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let usr1 = signal(SignalKind::user_defined1())?;
    let listener: TcpListener = server::listen(config.listen)?;
    info!("{} listens on {}", config.name, config.listen);
    let close = Rc::new(Notify::new());
    let accepting = {
        let (exchange, close) = (exchange.clone(), close.clone());
        spawn_local(async move { server::accept(listener, exchange, config.sockets, &close).await })
    };
    spawn_local(print_counters(usr1, exchange.clone()));
    let shared = exchange.clone();
    keep("the clock", move || clock(shared.clone()));
    let shared = exchange.clone();
    keep("the engine's link", move || client::engine::hold(config.engine, shared.clone()));
    for lane in 0..LANES {
        let shared = exchange.clone();
        keep("a lane", move || client::catalogue::serve(config.catalogue, shared.clone(), lane));
    }
    let (shared, name) = (exchange.clone(), config.name);
    keep("reporting", move || client::members::report(config.members, name.clone(), shared.clone()));
    select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    let stop = Instant::now() + config.stop;
    let before = |time: Duration| stop.checked_sub(time.min(config.stop / 4)).unwrap_or(stop);
    info!("notice to leave: {} in hand, {} ms left", exchange.borrow().in_hand(), config.stop.as_millis());
    exchange.borrow_mut().leave(before(ANSWER_BEFORE));
    sleep_until(before(REFUSE_BEFORE)).await;
    close.notify_one();
    exchange.borrow_mut().close();
    let closed = async {
        let _ = accepting.await;
        while exchange.borrow().doors_open() > 0 {
            sleep(Duration::from_millis(2)).await;
        }
    };
    if timeout_at(before(END_BEFORE), closed).await.is_err() {
        let open = exchange.borrow().doors_open();
        warn!("ends with {} in hand and {open} connections open", exchange.borrow().in_hand());
    }
    Ok(())
}

/// Runs a part for as long as the program runs: a panic in it costs that part a fresh start, no more.
fn keep<F: Future<Output = ()> + 'static>(what: &'static str, part: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while let Err(error) = spawn_local(part()).await {
            error!("{what} starts afresh: {error}");
            sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Rings the exchange's alarms; nothing else is waited for.
async fn clock(exchange: Shared) {
    let alarmed = exchange.borrow().alarmed();
    loop {
        let next = exchange.borrow().next_alarm();
        select! {
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                exchange.borrow_mut().ring_alarms();
            }
            () = alarmed.notified() => {}
        }
    }
}

async fn print_counters(mut usr1: Signal, exchange: Shared) {
    while usr1.recv().await.is_some() {
        info!("counters: {} {}", exchange.borrow().counters, counters::usage());
    }
}
