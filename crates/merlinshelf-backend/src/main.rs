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
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use log::{error, info, warn};
use tokio::runtime::Builder;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use config::{Config, Peers};
use exchange::{Exchange, Shared};

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
    let path = std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG names no configuration")?;
    let path = PathBuf::from(path);
    let (config, exchange) = load(&path)?;
    logger::start();
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    let exchange = Rc::new(RefCell::new(exchange));
    let result = LocalSet::new().block_on(&runtime, run(path, config, exchange.clone()));
    info!("counters at the end: {} {}", exchange.borrow().counters, counters::usage());
    logger::finish();
    result.map_err(|error| error.to_string())
}

/// Reads the configuration and makes an exchange of it, which shows that all its settings can be used.
fn load(path: &Path) -> Result<(Config, Exchange), String> {
    let config = Config::load(path)?;
    let exchange = Exchange::new(config.settings.clone(), config.seed, config.memory_mb)?;
    Ok((config, exchange))
}

async fn run(path: PathBuf, config: Config, exchange: Shared) -> io::Result<()> {
    let hup = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let usr1 = signal(SignalKind::user_defined1())?;
    let listener = server::listen(config.listen)?;
    info!("{} listens on {}", config.name, config.listen);
    let close = Rc::new(Notify::new());
    let calls_most = client::calls_most(config.sockets);
    let doors_most = server::doors_most(config.sockets, calls_most);
    let accepting = {
        let (exchange, close) = (exchange.clone(), close.clone());
        spawn_local(async move { server::accept(listener, exchange, doors_most, &close).await })
    };
    spawn_local(print_counters(usr1, exchange.clone()));
    let shared = exchange.clone();
    keep("the clock", move || clock(shared.clone()));
    let stop = config.stop;
    let (told, peers) = watch::channel(config.peers);
    let (shared, watched) = (exchange.clone(), peers.clone());
    keep("the engine's link", move || client::engine::hold(watched.clone(), shared.clone()));
    let (shared, watched) = (exchange.clone(), peers.clone());
    keep("calling below", move || client::catalogue::serve(watched.clone(), shared.clone(), calls_most));
    let (shared, name) = (exchange.clone(), config.name.clone());
    keep("reporting", move || client::members::report(peers.clone(), name.clone(), shared.clone()));
    spawn_local(read_anew(hup, path, config, told));
    select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    let end = Instant::now() + stop;
    let before = |time: Duration| end.checked_sub(time.min(stop / 4)).unwrap_or(end);
    info!("notice to leave: {} in hand, {} ms left", exchange.borrow().in_hand(), stop.as_millis());
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

/// Reads the configuration anew at each SIGHUP. A file that can't be used as a whole changes nothing.
async fn read_anew(mut hup: Signal, path: PathBuf, config: Config, told: watch::Sender<Peers>) {
    while hup.recv().await.is_some() {
        let later = match load(&path) {
            Ok((later, _)) => later,
            Err(reason) => {
                error!("the configuration stays as it was: {reason}");
                continue;
            }
        };
        for name in config.fixed(&later) {
            warn!("{name} in the new configuration is another, and stays as it was until the next start");
        }
        let Peers { engine, catalogue, members } = later.peers;
        info!("configuration read anew: engine {engine}, catalogue {catalogue}, membership {members}");
        told.send_if_modified(|peers| std::mem::replace(peers, later.peers) != later.peers);
    }
}

async fn print_counters(mut usr1: Signal, exchange: Shared) {
    while usr1.recv().await.is_some() {
        info!("counters: {} {}", exchange.borrow().counters, counters::usage());
    }
}
