//! The process round an instance: it starts the parts or takes them over, heeds signals and control, hands over to a
//! successor and watches it, and ends. What happens in an upgrade is decided by `merlinshelf-handover`; this carries
//! it out.

mod asked;
mod handing;

use std::cell::RefCell;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use log::{error, info, warn};
use merlinshelf_dependencies::Dependencies;
use merlinshelf_handover::predecessor::{Progress, StageTimeouts};
use merlinshelf_handover::{Message, Predecessor, Successor, successor};
use tokio::runtime::Builder;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::config::{Config, Peers};
use crate::control::{self, Control, PendingRequest};
use crate::counters;
use crate::exchange::{Exchange, OpenedConnection, PassedDescriptors, monotonic};
use crate::fault;
use crate::instance::{Instance, RestoredInstance};
use crate::learning::Learning;
use crate::logger;
use crate::operator::Operator;
use crate::routing::{self, LaidOver, Routing};
use crate::server;
use crate::startup_wait::StartupWait;
use crate::upgrade::channel::Channel;
use crate::upgrade::successor_guard::SuccessorGuard;

/// What a process is started with.
#[derive(Clone, Debug)]
pub struct Start {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operators' own file; without one all that it switches on is off.
    pub operator: Option<PathBuf>,
}

/// The version that a successor and its predecessor tell each other.
pub const VERSION: &str = concat!("merlinshelf ", env!("CARGO_PKG_VERSION"));

/// The channel of a successor that exits ends a moment before the process does.
const EXIT_WITHIN: Duration = Duration::from_millis(100);
/// A predecessor reads what is noted twenty times a second; with so much unread it is asleep.
const UNREAD_MOST: u64 = 32 * 1024 * 1024;
/// Who asked for an upgrade has this long to read how it ended, when the process ends with it.
const LAST_WORD: Duration = Duration::from_millis(200);

/// Serves until told to leave, or until a successor has everything. The status that the process ends with.
///
/// # Errors
/// What can't be used of the files, an address that is taken, or a successor that can't take over.
pub fn serve(start: &Start) -> Result<i32, String> {
    let elder = Channel::inherited()
        .transpose()
        .map_err(|error| error.to_string())?;
    fault::injection_point("heir.start");
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let loaded = load(&start.config).and_then(|(config, exchange)| {
        Ok((config, exchange, Operator::load(start.operator.as_deref())?))
    });
    let (config, exchange, operator) = match loaded {
        Ok(loaded) => loaded,
        Err(why) => {
            if let Some(elder) = elder {
                runtime.block_on(refuse(elder, &why));
            }
            return Err(why);
        }
    };
    logger::start(operator.log.level(), operator.log.format);
    let result = LocalSet::new().block_on(&runtime, async {
        let host = Process::new(start.clone(), config, operator, elder)?;
        host.run(exchange).await
    });
    logger::finish();
    result.map_err(|error| error.to_string())
}

/// Reads the configuration and makes an exchange of it, which shows that all its settings can be used.
pub(crate) fn load(path: &Path) -> Result<(Config, Exchange), String> {
    let config = Config::load(path)?;
    let exchange = Exchange::from_config(&config)?;
    Ok((config, exchange))
}

/// Tells the old process that this one can't take over.
async fn refuse(elder: OwnedFd, why: &str) {
    let mut heir = Successor::new(Duration::ZERO, VERSION);
    heir.decline(why);
    if let Ok(channel) = Channel::new(elder) {
        while let Some(step) = heir.poll_action() {
            if let successor::Action::Send(word) = step {
                let _ = channel.send(&word, &[]).await;
            }
        }
    }
}

type Leaving = Pin<Box<dyn Future<Output = ()>>>;

struct Process {
    start: Start,
    config: Config,
    operator: Operator,
    peers: Peers,
    began: Instant,
    instance: Option<Instance>,
    /// Off where the operators' file does not switch it on.
    learning: Option<Learning>,
    /// None where the operators name no dependencies.
    routing: Option<routing::Shared>,
    /// As the operators' file has them.
    dependencies: Rc<RefCell<Option<Dependencies>>>,
    /// A fresh start that waits to hear which policy holds.
    waiting: Option<StartupWait>,
    leaving: Option<Leaving>,
    // towards a successor
    keeper: Predecessor,
    guard: Option<SuccessorGuard>,
    /// The channel to it has ended.
    cut: bool,
    asked: Option<UnboundedSender<Progress>>,
    // towards a predecessor
    heir: Option<Successor>,
    /// Whom it took over from.
    predecessor: Option<u32>,
    elder: Option<Channel>,
    inherited: PassedDescriptors,
    prepared: Option<RestoredInstance>,
    passing: (
        UnboundedSender<OpenedConnection>,
        UnboundedReceiver<OpenedConnection>,
    ),
    // from outside
    control: Option<Control>,
    requests: (
        UnboundedSender<PendingRequest>,
        UnboundedReceiver<PendingRequest>,
    ),
    signals: Signals,
}

struct Signals {
    hup: Signal,
    term: Signal,
    interrupt: Signal,
    usr1: Signal,
}

/// All that can happen to a process.
enum Event {
    ToLeave,
    Left,
    Reload,
    Counters,
    PendingRequest(PendingRequest),
    FromSuccessor(io::Result<(Message, Vec<OwnedFd>)>),
    SuccessorEnded,
    FromElder(io::Result<(Message, Vec<OwnedFd>)>),
    ToPass(OpenedConnection),
    Woken,
}

impl Process {
    fn new(
        start: Start,
        config: Config,
        operator: Operator,
        elder: Option<OwnedFd>,
    ) -> io::Result<Process> {
        let upgrade = operator.upgrade.clone().unwrap_or_default();
        let patience = StageTimeouts {
            ready: upgrade.ready(),
            takeover: upgrade.taken(),
            probation: upgrade.watched(),
            heartbeat: upgrade.silent(),
        };
        let elder = elder.map(Channel::new).transpose()?;
        Ok(Process {
            heir: elder
                .as_ref()
                .map(|_| Successor::new(upgrade.watched(), VERSION)),
            predecessor: elder.as_ref().map(|_| std::os::unix::process::parent_id()),
            start,
            peers: config.peers,
            learning: operator
                .learning
                .clone()
                .map(|of| Learning::new(&config.name, &config.settings, of)),
            routing: operator
                .dependencies
                .clone()
                .map(|of| Rc::new(RefCell::new(Routing::new(of, &config.name, config.seed)))),
            dependencies: Rc::new(RefCell::new(operator.dependencies.clone())),
            waiting: None,
            config,
            operator,
            began: Instant::now(),
            instance: None,
            leaving: None,
            keeper: Predecessor::new(patience),
            guard: None,
            cut: false,
            asked: None,
            elder,
            inherited: PassedDescriptors::new(),
            prepared: None,
            passing: unbounded_channel(),
            control: None,
            requests: unbounded_channel(),
            signals: Signals {
                hup: signal(SignalKind::hangup())?,
                term: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
                usr1: signal(SignalKind::user_defined1())?,
            },
        })
    }

    /// The status that the process ends with.
    async fn run(mut self, mut exchange: Exchange) -> io::Result<i32> {
        if self.heir.is_none() {
            if let Some(settings) = &self.operator.control
                && control::is_taken(&settings.socket)
            {
                let taken = format!(
                    "control: {}: another process listens there",
                    settings.socket.display()
                );
                return Err(io::Error::new(io::ErrorKind::AddrInUse, taken));
            }
            let bound = server::Bound::to(self.config.listen)?;
            self.hold_policy(&mut exchange).map_err(io::Error::other)?;
            let heard_by = self
                .operator
                .policy
                .as_ref()
                .map(|policy| Duration::from_millis(policy.wait_ms));
            let waiting = StartupWait::new(
                exchange,
                bound,
                Instant::now() + heard_by.unwrap_or_default(),
            );
            match heard_by {
                Some(_) => self.waiting = Some(waiting),
                None => self.begin(waiting)?,
            }
            self.open_control()?;
        }
        let status = loop {
            if let Some(waiting) = self.waiting.take_if(|waiting| waiting.is_over()) {
                self.begin(waiting)?;
            }
            if let Some(status) = self.carry_out().await? {
                break status;
            }
            let event = self.next_event().await;
            if let Some(status) = self.happened(event).await {
                break status;
            }
        };
        if let Some(instance) = &self.instance {
            info!(
                "counters at the end: {} {}",
                instance.exchange.borrow().counters,
                counters::usage()
            );
        }
        if let Some(asked) = &self.asked {
            let _ = timeout(LAST_WORD, asked.closed()).await;
        }
        Ok(status)
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    async fn next_event(&mut self) -> Event {
        let wake = [
            self.keeper.next_timeout(),
            self.heir.as_ref().and_then(Successor::next_timeout),
        ];
        let wake = wake.into_iter().flatten().min().map(|at| self.began + at);
        let wake = wake
            .into_iter()
            .chain(self.waiting.as_ref().map(|waiting| waiting.until))
            .min();
        let Process {
            leaving,
            guard,
            cut,
            elder,
            passing,
            requests,
            signals,
            ..
        } = self;
        let (guard, elder) = (guard.as_ref(), elder.as_ref());
        select! {
            biased;
            _ = signals.term.recv() => Event::ToLeave,
            _ = signals.interrupt.recv() => Event::ToLeave,
            () = ended(guard) => Event::SuccessorEnded,
            word = receive(guard.filter(|_| !*cut).map(|guard| &guard.channel)) => Event::FromSuccessor(word),
            word = receive(elder) => Event::FromElder(word),
            Some(passing) = passing.1.recv() => Event::ToPass(passing),
            _ = signals.hup.recv() => Event::Reload,
            _ = signals.usr1.recv() => Event::Counters,
            () = done(leaving) => Event::Left,
            Some(asked) = requests.1.recv() => Event::PendingRequest(asked),
            () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => Event::Woken,
        }
    }

    async fn happened(&mut self, event: Event) -> Option<i32> {
        let now = self.now();
        match event {
            Event::ToLeave => return self.told_to_leave(),
            Event::Left => return Some(0),
            Event::Reload if self.heir.as_ref().is_some_and(Successor::is_owner) => self.reload(),
            Event::Reload => self.keeper.reload(),
            Event::Counters => {
                if let Some(instance) = &self.instance {
                    info!(
                        "counters: {} {}",
                        instance.exchange.borrow().counters,
                        counters::usage()
                    );
                }
            }
            Event::PendingRequest(asked) => self.asked_for(asked),
            Event::FromSuccessor(Ok((word, descriptors))) => {
                if let (Message::ConnectionOpened { role }, Some(guard)) = (&word, &mut self.guard)
                {
                    guard.opened(*role, descriptors);
                }
                let followed = self.guard.as_mut().map_or(Ok(()), SuccessorGuard::follow);
                self.keeper.handle_message(now, word);
                if let Err(error) = followed {
                    self.keeper
                        .channel_failed(&format!("its notes can't be read: {error}"));
                }
            }
            Event::FromSuccessor(Err(error)) => {
                self.cut = true;
                let ended = match &self.guard {
                    Some(guard) => timeout(EXIT_WITHIN, guard.ended()).await.is_ok(),
                    None => false,
                };
                if !ended {
                    self.keeper
                        .channel_failed(&format!("the channel to the successor ended: {error}"));
                }
            }
            Event::SuccessorEnded => {
                let status = self.guard.as_mut().and_then(SuccessorGuard::reap);
                let served = self.keeper.is_serving();
                for word in self
                    .guard
                    .as_mut()
                    .map(SuccessorGuard::last_words)
                    .unwrap_or_default()
                {
                    self.keeper.handle_message(now, word);
                }
                self.keeper.successor_exited(status);
                if served {
                    self.guard = None; // it never held anything
                }
            }
            Event::FromElder(Ok((word, descriptors))) => {
                if let Message::Descriptors { roles } = &word {
                    fault::injection_point("heir.pass");
                    self.inherited
                        .extend(roles.iter().copied().zip(descriptors));
                }
                if let Some(heir) = &mut self.heir {
                    heir.handle_message(now, word);
                }
            }
            Event::FromElder(Err(_)) => {
                self.elder = None;
                if let Some(heir) = &mut self.heir {
                    heir.predecessor_exited(now);
                }
            }
            Event::ToPass(OpenedConnection {
                role,
                descriptor,
                passed,
            }) => {
                if let Some(elder) = &self.elder {
                    // An error is the predecessor's end, which is seen by itself.
                    let _ = elder
                        .send(&Message::ConnectionOpened { role }, &[descriptor.as_fd()])
                        .await;
                }
                let _ = passed.send(());
            }
            Event::Woken => {
                self.keeper.handle_timeout(now);
                if let Some(heir) = &mut self.heir {
                    heir.handle_timeout(now);
                    if let (true, Some(instance)) = (heir.is_recording(), &self.instance) {
                        let mut exchange = instance.exchange.borrow_mut();
                        exchange.write_instance_to_journal();
                        if exchange.unread_journal_bytes() > UNREAD_MOST {
                            warn!("the predecessor reads no notes: it goes on without it");
                            heir.detach();
                        }
                    }
                }
            }
        }
        None
    }

    fn told_to_leave(&mut self) -> Option<i32> {
        if self.waiting.is_some() {
            return Some(0); // nobody could come in yet
        }
        let stop = monotonic() + self.config.drain_timeout.as_secs_f64();
        match &mut self.heir {
            Some(heir) if heir.is_owner() => heir.drain(stop),
            // The predecessor sees its end and goes on.
            Some(_) => return Some(1),
            None => self.keeper.drain(stop),
        }
        None
    }

    /// Carries out all that is to be done; the process's status where it ends.
    async fn carry_out(&mut self) -> io::Result<Option<i32>> {
        loop {
            if let Some(step) = self.keeper.poll_action() {
                if let Some(status) = self.keeper_step(step).await? {
                    return Ok(Some(status));
                }
            } else if let Some(step) = self.heir.as_mut().and_then(Successor::poll_action) {
                self.heir_step(step).await?;
            } else {
                return Ok(None);
            }
        }
    }

    /// The notice to leave, heeded here: by `stop`, a moment of the monotonic clock, the process has to be gone.
    fn leave(&mut self, stop: f64) {
        let Some(instance) = &self.instance else {
            return;
        };
        if self.leaving.is_some() {
            return;
        }
        let left = Duration::from_secs_f64((stop - monotonic()).clamp(0.0, 1e6));
        let in_hand = instance.exchange.borrow().in_flight();
        info!(
            "notice to leave: {in_hand} in hand, {} ms left",
            left.as_millis()
        );
        if let Some(learning) = &mut self.learning {
            learning.leave();
        }
        self.leaving = Some(Box::pin(instance.leaving(Instant::now() + left)));
    }

    /// Reads the configuration anew. A file that can't be used as a whole changes nothing.
    fn reload(&mut self) {
        let later = match load(&self.start.config) {
            Ok((later, _)) => later,
            Err(reason) => return error!("the configuration stays as it was: {reason}"),
        };
        for name in self.config.fixed(&later) {
            warn!(
                "{name} in the new configuration is another, and stays as it was until the next start"
            );
        }
        let Peers {
            engine,
            catalogue,
            registration: members,
        } = later.peers;
        info!(
            "configuration read anew: engine {engine}, catalogue {catalogue}, membership {members}"
        );
        self.peers = later.peers;
        if let Some(instance) = &self.instance {
            instance.move_to(later.peers);
        }
        self.reload_dependencies();
    }

    /// Other dependencies, servers and lists from here on. A file that can't be used as a whole changes nothing.
    fn reload_dependencies(&mut self) {
        let Some(routing) = &self.routing else { return };
        match Operator::load(self.start.operator.as_deref()) {
            Ok(Operator {
                dependencies: Some(wanted),
                ..
            }) => {
                let count = wanted.dependencies.len();
                *self.dependencies.borrow_mut() = Some(wanted.clone());
                routing.borrow_mut().replace(wanted);
                if let Some(instance) = &self.instance {
                    let parts = |operation: &str| routing.borrow().parts(operation);
                    instance.exchange.borrow_mut().set_dependency_names(parts);
                    instance.exchange.borrow().reapply_overlay();
                }
                info!("dependencies read anew: {count} of them");
            }
            Ok(_) => warn!(
                "dependencies are gone from the operators' file, and stay as they were until the next start"
            ),
            Err(why) => error!("the dependencies stay as they were: {why}"),
        }
    }

    /// Switches the policy for all on, where the operators' file does.
    fn hold_policy(&self, exchange: &mut Exchange) -> Result<(), String> {
        let Some(policy) = &self.operator.policy else {
            return Ok(());
        };
        let laid = LaidOver {
            own: self.dependencies.clone(),
            routing: self.routing.clone(),
        };
        exchange.enable_policy(policy, Box::new(laid))
    }

    /// Takes the first invocations.
    fn begin(&mut self, waiting: StartupWait) -> io::Result<()> {
        let prepared = waiting.begin(&self.config.name)?;
        info!("{} listens on {}", self.config.name, self.config.listen);
        self.instance = Some(self.set_going(prepared));
        self.learn();
        Ok(())
    }

    fn set_going(&self, prepared: RestoredInstance) -> Instance {
        prepared.go(
            &self.config,
            self.peers,
            self.routing.clone(),
            self.operator.uwsgi,
        )
    }

    /// Learns beside the service, where that is switched on.
    fn learn(&mut self) {
        if let (Some(learning), Some(instance)) = (&mut self.learning, &self.instance) {
            let past = std::mem::take(&mut instance.exchange.borrow_mut().gossip_state);
            learning.go(&instance.exchange, past);
        }
    }

    fn open_control(&mut self) -> io::Result<()> {
        if let Some(settings) = &self.operator.control {
            self.control = Some(control::open(&settings.socket, self.requests.0.clone())?);
        }
        Ok(())
    }

    /// Service goes on without it where it can't be had.
    fn try_control(&mut self) {
        if let Err(error) = self.open_control() {
            warn!("no control: {error}");
        }
    }
}

async fn ended(guard: Option<&SuccessorGuard>) {
    match guard {
        Some(guard) => guard.ended().await,
        None => std::future::pending().await,
    }
}

async fn receive(channel: Option<&Channel>) -> io::Result<(Message, Vec<OwnedFd>)> {
    match channel {
        Some(channel) => channel.receive().await,
        None => std::future::pending().await,
    }
}

async fn done(leaving: &mut Option<Leaving>) {
    match leaving {
        Some(leaving) => leaving.await,
        None => std::future::pending().await,
    }
}

/// Whether a configuration can be used.
///
/// # Errors
/// What can't be, with the file and the field.
pub fn check_config(path: &Path) -> Result<(), String> {
    load(path).map(|_| ())
}
