//! Restores an instance: in a successor from its predecessor, and in a predecessor from a failed
//! successor.

use std::fs::File;
use std::io::{Read, Seek};
use std::net::TcpListener;
use std::os::fd::OwnedFd;

use log::{error, info, warn};
use merlinshelf_handover::{Image, Key, Role, records};
use tokio::time::Instant;

use super::Process;
use super::error::{InvalidSettings, RestoreError};
use super::start::load_config;
use crate::exchange::{Exchange, PassedDescriptors};
use crate::instance::{RestoreSource, RestoredInstance};
use crate::journal::Journal;
use crate::server;

/// Which process owned the state of the image before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ImageOwner {
    /// The predecessor, which served until it froze.
    Predecessor,
    /// This process itself, or its failed successor.
    Successor,
}

impl Process {
    /// Recovers from a failed successor: serves again from the frozen state and the changes that the
    /// successor has recorded since.
    pub(super) fn recover(&mut self) -> Result<(), RestoreError> {
        let started_at = Instant::now();
        let guard = self.predecessor.guard.take();
        let mut guard = guard.ok_or(RestoreError::NothingToRecover)?;
        let state = guard.take_recovered_state()?;
        self.update_peers();
        let source = RestoreSource {
            image: &state.image,
            connections: state.connections,
            learned: state.learned,
        };
        let restored = self.restore_from(source, ImageOwner::Successor)?;
        let totals = restored.totals();
        let lost = restored.lost_connections;
        let instance = self.run_instance(restored);
        instance.exchange.borrow_mut().counters.taken_back += 1;
        self.instance = Some(instance);
        if let Some(gossip) = &mut self.gossip {
            gossip.handover_rolled_back();
        }
        self.start_gossip();
        self.try_open_control();
        let elapsed_ms = started_at.elapsed().as_millis() as u64;
        info!(
            connections = totals.client_connections,
            calls = totals.downstream_calls,
            in_flight = totals.invocations,
            lost = lost,
            elapsed_ms = elapsed_ms;
            "resumed within {elapsed_ms} ms: {totals}, {lost} connections lost"
        );
        Ok(())
    }

    /// Loads the addresses of the peers again, since a SIGHUP may have reached only the successor.
    fn update_peers(&mut self) {
        match load_config(&self.start.config) {
            Ok((config, _)) => self.peers = config.peers,
            Err(error) => warn!("the old configuration stays in force: {error}"),
        }
    }

    /// Restores the instance that the predecessor has transferred, without running it yet.
    pub(super) fn restore_received(&mut self) -> Result<RestoredInstance, RestoreError> {
        let mut received = match &mut self.successor {
            Some(role) => std::mem::take(&mut role.received),
            None => PassedDescriptors::new(),
        };
        let image = received
            .remove(&Role::Image)
            .ok_or(RestoreError::MissingImage)?;
        let journal = received
            .remove(&Role::Journal)
            .ok_or(RestoreError::MissingJournal)?;
        let image = read_image(image)?;
        let source = RestoreSource {
            image: &image,
            connections: received,
            learned: None,
        };
        let restored = self.restore_from(source, ImageOwner::Predecessor)?;
        let opened = self.opened_connections.sender.clone();
        restored.start_recording(Journal::new(journal), opened);
        Ok(restored)
    }

    fn restore_from(
        &self,
        mut source: RestoreSource,
        owner: ImageOwner,
    ) -> Result<RestoredInstance, RestoreError> {
        let listener = source
            .connections
            .remove(&Role::Listener)
            .ok_or(RestoreError::MissingListener)?;
        let listener = TcpListener::from(listener);
        listener.set_nonblocking(true)?;
        let mut exchange =
            Exchange::from_config(&self.config).map_err(|reason| InvalidSettings { reason })?;
        self.enable_policy(&mut exchange)?;
        match owner {
            ImageOwner::Predecessor => restore_policy(&mut exchange, source.image),
            // The lease of the failed successor may be fenced by now: this process has none until
            // its agent grants one.
            ImageOwner::Successor => exchange.stop_waiting_for_policy(),
        }
        let listener = server::register_listener(listener)?;
        Ok(RestoredInstance::restore(exchange, listener, source)?)
    }
}

/// Takes over the predecessor's policy and quota leases.
fn restore_policy(exchange: &mut Exchange, image: &Image) {
    match image.decode::<records::Instance>(Key::Instance) {
        Ok(Some(instance)) => exchange.resume_policy(&instance.policy, &instance.quota),
        Ok(None) => exchange.stop_waiting_for_policy(),
        // Without a lease the base policy is in force, which is safe.
        Err(error) => {
            error!("policy lease not restored: {error}");
            exchange.stop_waiting_for_policy();
        }
    }
}

fn read_image(file: OwnedFd) -> Result<Image, RestoreError> {
    let mut file = File::from(file);
    let mut bytes = Vec::new();
    file.rewind()?;
    file.read_to_end(&mut bytes)?;
    let mut image = Image::default();
    image.apply(&bytes)?;
    Ok(image)
}
