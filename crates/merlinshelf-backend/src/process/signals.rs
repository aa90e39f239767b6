//! Signals: graceful shutdown and reload.

use std::time::Duration;

use log::{error, info, warn};
use merlinshelf_handover::SignalRole;
use merlinshelf_handover::messages::MonotonicSeconds;
use tokio::time::Instant;

use super::start::load_config;
use super::{Flow, Process};
use crate::exchange::monotonic_seconds;
use crate::operator::Operator;

/// Upper bound of the time until a deadline, which keeps it within the range of `Duration`.
const MAX_DRAIN_SECONDS: f64 = 1e6;

impl Process {
    /// SIGTERM, SIGINT or a control request asks for the graceful shutdown.
    pub(super) fn request_drain(&mut self) -> Flow {
        if self.startup_wait.is_some() {
            return Flow::Exit(0); // no client could connect yet
        }
        let deadline = monotonic_seconds() + self.config.drain_timeout.as_secs_f64();
        match (self.signal_role(), &mut self.successor) {
            (SignalRole::Successor, Some(role)) => role.state.drain(deadline),
            // The predecessor observes the exit and continues to serve.
            (SignalRole::NotServing, _) => return Flow::Exit(1),
            _ => self.predecessor.state.drain(deadline),
        }
        Flow::Continue
    }

    fn signal_role(&self) -> SignalRole {
        SignalRole::of(self.successor.as_ref().map(|role| &role.state))
    }

    /// SIGHUP arrived.
    pub(super) fn request_reload(&mut self) {
        match self.signal_role() {
            SignalRole::Successor => self.reload(),
            SignalRole::Predecessor | SignalRole::NotServing => self.predecessor.state.reload(),
        }
    }

    /// Begins the graceful shutdown of this process, which must have exited by the deadline.
    pub(super) fn start_drain(&mut self, deadline: MonotonicSeconds) {
        let Some(instance) = &self.instance else {
            return;
        };
        if self.drain.is_some() {
            return;
        }
        let remaining_seconds = (deadline - monotonic_seconds()).clamp(0.0, MAX_DRAIN_SECONDS);
        let remaining = Duration::from_secs_f64(remaining_seconds);
        let remaining_ms = remaining.as_millis() as u64;
        let in_flight = instance.exchange.borrow().in_flight();
        info!(
            in_flight = in_flight, remaining_ms = remaining_ms;
            "drain started: {in_flight} invocations in flight, {remaining_ms} ms remaining"
        );
        if let Some(gossip) = &mut self.gossip {
            gossip.leave();
        }
        self.drain = Some(Box::pin(instance.drain(Instant::now() + remaining)));
    }

    /// Reloads the configuration. A file that can't be used changes nothing.
    pub(super) fn reload(&mut self) {
        let config = match load_config(&self.start.config) {
            Ok((config, _)) => config,
            Err(error) => return error!("the old configuration stays in force: {error}"),
        };
        for field in self.config.changed_fixed_fields(&config) {
            warn!(
                field = field;
                "{field} in the new configuration is different, \
                 and it takes effect only after the next start"
            );
        }
        let peers = config.peers;
        info!(
            "configuration file reloaded: engine {}, catalogue {}, membership {}",
            peers.engine, peers.catalogue, peers.registration
        );
        self.peers = peers;
        if let Some(instance) = &self.instance {
            instance.set_peers(peers);
        }
        self.reload_dependencies();
    }

    /// Reloads the dependencies from the operators' file. A file that can't be used changes
    /// nothing.
    fn reload_dependencies(&mut self) {
        let Some(routing) = &self.routing else { return };
        let dependencies = match Operator::load(self.start.operator.as_deref()) {
            Ok(operator) => operator.dependencies,
            Err(error) => return error!("the old dependencies stay in force: {error}"),
        };
        let Some(dependencies) = dependencies else {
            return warn!(
                "dependencies were removed from the operators' file; \
                 this takes effect after the next start"
            );
        };
        let count = dependencies.dependencies.len();
        *self.dependencies.borrow_mut() = Some(dependencies.clone());
        routing.borrow_mut().update_config(dependencies);
        if let Some(instance) = &self.instance {
            let dependencies =
                |operation: &str| routing.borrow().dependencies_of_operation(operation);
            instance
                .exchange
                .borrow_mut()
                .set_dependency_names(dependencies);
            instance.exchange.borrow().reapply_overlay();
        }
        info!(count = count; "dependencies reloaded: {count}");
    }
}
