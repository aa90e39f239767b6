//! The process around an instance: it starts or restores the instance, handles signals and control
//! requests, hands over to a successor and observes it, and exits. The state machines in
//! `merlinshelf-handover` decide the steps of an upgrade; this module carries them out.

mod capacity;
mod control_requests;
mod error;
mod events;
mod predecessor_role;
mod queue;
mod restoration;
mod signals;
mod start;
mod status;
mod successor_role;

use std::cell::RefCell;
use std::io;
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use merlinshelf_dependencies::Dependencies;
use tokio::time::{Instant, timeout};

use crate::config::{Config, Peers};
use crate::control::{self, Control, PendingRequest};
use crate::counters;
use crate::exchange::{Exchange, OpenedConnection};
use crate::gossip::Gossip;
use crate::instance::{Instance, InstanceOptions, RestoredInstance};
use crate::operator::Operator;
use crate::routing::{DependencyOverlay, Routing, SharedRouting};
use crate::server;
use crate::startup_wait::StartupWait;
use events::Signals;
use predecessor_role::PredecessorRole;
use queue::Queue;
use successor_role::SuccessorRole;

pub use error::{InvalidSettings, LoadError, RestoreError, ServeError};
pub use start::{Start, VERSION, check_config, serve};

/// How long the process waits before its exit for the client that requested an upgrade to read the
/// result.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A graceful shutdown in progress.
type Drain = Pin<Box<dyn Future<Output = ()>>>;

/// The process.
struct Process {
    start: Start,
    config: Config,
    operator: Operator,
    peers: Peers,
    started_at: Instant,
    /// `None` before the process serves and while it is frozen.
    instance: Option<Instance>,
    /// `None` unless the operators' file enables gossip.
    gossip: Option<Gossip>,
    /// `None` unless the operators' file defines dependencies.
    routing: Option<SharedRouting>,
    /// The dependencies in the operators' file, as loaded last.
    dependencies: Rc<RefCell<Option<Dependencies>>>,
    /// A fresh start that waits for a policy lease.
    startup_wait: Option<StartupWait>,
    drain: Option<Drain>,
    /// State towards a successor.
    predecessor: PredecessorRole,
    /// State towards the predecessor; `None` in a process that was not started by one.
    successor: Option<SuccessorRole>,
    /// Connections that the instance has opened, and of which the predecessor needs copies.
    opened_connections: Queue<OpenedConnection>,
    control: Option<Control>,
    control_requests: Queue<PendingRequest>,
    signals: Signals,
}

/// Whether the process continues or exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    /// The process exits with this status.
    Exit(i32),
}

impl Process {
    fn new(
        start: Start,
        config: Config,
        operator: Operator,
        predecessor: Option<OwnedFd>,
    ) -> io::Result<Process> {
        let timeouts = operator
            .upgrade
            .clone()
            .unwrap_or_default()
            .stage_timeouts();
        let successor = match predecessor {
            Some(channel) => Some(SuccessorRole::new(channel, timeouts.probation)?),
            None => None,
        };
        let gossip = operator
            .learning
            .clone()
            .map(|settings| Gossip::new(&config.name, &config.settings, settings));
        let routing = operator.dependencies.clone().map(|dependencies| {
            let routing = Routing::new(dependencies, &config.name, config.seed);
            Rc::new(RefCell::new(routing))
        });
        Ok(Process {
            start,
            peers: config.peers,
            started_at: Instant::now(),
            instance: None,
            gossip,
            routing,
            dependencies: Rc::new(RefCell::new(operator.dependencies.clone())),
            startup_wait: None,
            drain: None,
            predecessor: PredecessorRole::new(timeouts),
            successor,
            opened_connections: Queue::new(),
            control: None,
            control_requests: Queue::new(),
            signals: Signals::register()?,
            config,
            operator,
        })
    }

    /// Serves until the process is to exit; the exit status.
    async fn run(mut self, exchange: Exchange) -> Result<i32, ServeError> {
        if self.successor.is_none() {
            self.start_fresh(exchange)?;
        }
        let status = self.run_to_exit().await?;
        self.log_counters("final counters");
        if let Some(client) = &self.predecessor.upgrade_client {
            // The client closes its connection once it has read the result. An error means that it
            // has not done so in time.
            let _ = timeout(LAST_RESPONSE_TIMEOUT, client.closed()).await;
        }
        Ok(status)
    }

    async fn run_to_exit(&mut self) -> Result<i32, ServeError> {
        loop {
            if let Some(wait) = self.startup_wait.take_if(|wait| wait.is_over()) {
                self.listen(wait)?;
            }
            if let Flow::Exit(status) = self.carry_out_actions().await? {
                return Ok(status);
            }
            let event = self.next_event().await;
            if let Flow::Exit(status) = self.handle_event(event).await {
                return Ok(status);
            }
            self.handle_due_timeouts();
        }
    }

    /// Time since the start, which is the clock of the state machines.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Binds the address and listens, or waits for a policy lease first.
    fn start_fresh(&mut self, mut exchange: Exchange) -> Result<(), ServeError> {
        if let Some(settings) = &self.operator.control
            && control::is_taken(&settings.socket)
        {
            let path = settings.socket.clone();
            return Err(ServeError::ControlSocketInUse { path });
        }
        let bound = server::BoundSocket::bind(self.config.listen)?;
        self.enable_policy(&mut exchange)?;
        match &self.operator.policy {
            Some(policy) => {
                let deadline = Instant::now() + Duration::from_millis(policy.wait_ms);
                self.startup_wait = Some(StartupWait::new(exchange, bound, deadline));
            }
            None => self.listen(StartupWait::new(exchange, bound, Instant::now()))?,
        }
        self.open_control()?;
        Ok(())
    }

    /// Enables policies by lease in the exchange, if the operators' file configures them.
    fn enable_policy(&self, exchange: &mut Exchange) -> Result<(), InvalidSettings> {
        let Some(policy) = &self.operator.policy else {
            return Ok(());
        };
        let overlay = DependencyOverlay {
            configured: self.dependencies.clone(),
            routing: self.routing.clone(),
        };
        exchange
            .enable_policy(policy, Box::new(overlay))
            .map_err(|reason| InvalidSettings { reason })
    }

    /// Listens and begins to accept clients.
    fn listen(&mut self, wait: StartupWait) -> io::Result<()> {
        let restored = wait.listen(&self.config.name)?;
        info!(
            address:% = self.config.listen;
            "{} listening on {}", self.config.name, self.config.listen
        );
        self.instance = Some(self.run_instance(restored));
        self.start_gossip();
        Ok(())
    }

    fn run_instance(&self, restored: RestoredInstance) -> Instance {
        restored.run(InstanceOptions {
            config: &self.config,
            peers: self.peers,
            routing: self.routing.clone(),
            accepts_uwsgi: self.operator.uwsgi,
        })
    }

    /// Starts gossip for the instance, if it is enabled.
    fn start_gossip(&mut self) {
        if let (Some(gossip), Some(instance)) = (&mut self.gossip, &self.instance) {
            let store = std::mem::take(&mut instance.exchange.borrow_mut().gossip_state);
            gossip.start(&instance.exchange, store);
        }
    }

    fn open_control(&mut self) -> io::Result<()> {
        if let Some(settings) = &self.operator.control {
            let requests = self.control_requests.sender.clone();
            self.control = Some(control::open(&settings.socket, requests)?);
        }
        Ok(())
    }

    /// As `open_control`, but the instance serves without a control socket if opening it fails.
    fn try_open_control(&mut self) {
        if let Err(error) = self.open_control() {
            warn!("control socket not opened: {error}");
        }
    }

    fn log_counters(&self, event: &str) {
        if let Some(instance) = &self.instance {
            let exchange = instance.exchange.borrow();
            info!("{event}: {} {}", exchange.counters, counters::usage_text());
        }
    }
}
