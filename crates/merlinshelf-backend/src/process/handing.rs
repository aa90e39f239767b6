//! Handing everything over to a successor, taking it over from a predecessor, and taking it back: what the two state machines of
//! `merlinshelf-handover` want is carried out.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use log::{info, warn};
use merlinshelf_handover::predecessor::{Action, Progress};
use merlinshelf_handover::{Image, Key, Message, Role, records, successor};
use tokio::time::{Instant, timeout};

use super::{Process, load};
use crate::exchange::{Exchange, PassedDescriptors};
use crate::fault;
use crate::instance::RestoredInstance;
use crate::journal::Journal;
use crate::server;
use crate::upgrade::successor_guard::SuccessorGuard;

impl Process {
    pub(super) async fn keeper_step(&mut self, step: Action) -> io::Result<Option<i32>> {
        match step {
            Action::StartSuccessor => self.start_successor(),
            Action::Send(word) => {
                if let Some(guard) = &self.guard
                    && let Err(error) = guard.channel.send(&word, &[]).await
                {
                    warn!("the successor can't be told: {error}");
                }
            }
            Action::Freeze => {
                self.control = None;
                match self.freeze().await {
                    Ok(()) => self.keeper.freeze_completed(self.now()),
                    Err(why) => self.keeper.freeze_failed(&why),
                }
            }
            Action::Transfer => {
                let patience = self.operator.upgrade.clone().unwrap_or_default().taken();
                let passed = match &self.guard {
                    Some(guard) => timeout(patience, guard.pass())
                        .await
                        .unwrap_or_else(|late| Err(late.into())),
                    None => Err(io::Error::other("there is no successor")),
                };
                match passed {
                    Ok(count) => self.keeper.transfer_completed(count),
                    Err(error) => self.keeper.transfer_failed(&error.to_string()),
                }
            }
            Action::ReleaseOwnership => info!(
                "the successor {} has everything and is watched",
                self.successor()
            ),
            Action::KillSuccessor => {
                if let Some(guard) = &self.guard {
                    warn!("the successor {} is killed", guard.id());
                    guard.kill();
                }
            }
            Action::Resume | Action::Recover => self.take_back()?,
            Action::Report(progress) => {
                info!("upgrade: {progress}");
                if let Some(asked) = &self.asked {
                    let _ = asked.send(progress.clone());
                    if progress.is_final() && !matches!(progress, Progress::Completed) {
                        self.asked = None;
                    }
                }
            }
            Action::Drain { deadline: stop } => self.leave(stop),
            Action::Reload => self.reload(),
            Action::Exit => return Ok(Some(0)),
            Action::ExitWithStatus { status } => return Ok(Some(status)),
        }
        Ok(None)
    }

    pub(super) async fn heir_step(&mut self, step: successor::Action) -> io::Result<()> {
        match step {
            successor::Action::Send(word) => {
                match word {
                    Message::Hello { .. } => fault::injection_point("heir.hello"),
                    Message::Ready => fault::injection_point("heir.ready"),
                    Message::Restored => fault::injection_point("heir.taken"),
                    Message::Heartbeat => fault::injection_point("heir.beat"),
                    _ => {}
                }
                if let Some(elder) = &self.elder {
                    // An error is the predecessor's end, which is seen by itself.
                    let _ = elder.send(&word, &[]).await;
                }
            }
            successor::Action::Restore => {
                let now = self.now();
                let taken = self.take_over();
                let Some(heir) = &mut self.heir else {
                    return Ok(());
                };
                match taken {
                    Ok(prepared) => {
                        self.prepared = Some(prepared);
                        heir.restore_completed(now);
                    }
                    Err(error) => heir.restore_failed(&error.to_string()),
                }
            }
            successor::Action::Activate => {
                fault::injection_point("heir.serve");
                if let Some(prepared) = self.prepared.take() {
                    let (edges, lines, hand) = prepared.sums();
                    info!(
                        connections = edges, calls = lines, in_hand = hand;
                        "{} goes on with what its predecessor had: {edges} connections, {lines} calls, {hand} in hand",
                        self.config.name
                    );
                    self.instance = Some(self.set_going(prepared));
                    self.learn();
                }
                self.try_control();
            }
            successor::Action::StopRecording => {
                info!("the predecessor watches no longer");
                self.elder = None;
                if let Some(instance) = &self.instance {
                    instance.exchange.borrow_mut().stop_journal();
                }
            }
            successor::Action::Drain { deadline: stop } => self.leave(stop),
            successor::Action::Reload => self.reload(),
            successor::Action::Exit { reason: why } => return Err(io::Error::other(why)),
        }
        Ok(())
    }

    fn successor(&self) -> u32 {
        self.guard.as_ref().map_or(0, SuccessorGuard::id)
    }

    fn start_successor(&mut self) {
        let named = self
            .operator
            .upgrade
            .as_ref()
            .and_then(|upgrade| upgrade.program.clone());
        let program = named.map_or_else(own_program, Ok);
        match program.and_then(SuccessorGuard::start) {
            Ok(guard) => {
                info!(successor = guard.id(); "the successor {} starts", guard.id());
                (self.guard, self.cut) = (Some(guard), false);
            }
            Err(error) => self.keeper.start_failed(&error.to_string()),
        }
    }

    pub(super) async fn freeze(&mut self) -> Result<(), String> {
        let instance = self.instance.take().ok_or("nothing serves here")?;
        if let Some(learning) = &mut self.learning {
            learning.stop();
            instance.exchange.borrow_mut().gossip_state = learning.pass_on();
        }
        let (frozen, listener) = instance.freeze().await?;
        // The accepting task is gone, and with it the other holder.
        let listener = Rc::try_unwrap(listener).map_err(|_| "the listener is still in use")?;
        let guard = self.guard.as_mut().ok_or("there is no successor")?;
        guard
            .hold(frozen, listener.into_inner().into())
            .map_err(|error| error.to_string())
    }

    /// All as it was frozen, with all that the successor noted since.
    pub(super) fn take_back(&mut self) -> io::Result<()> {
        let began = Instant::now();
        let mut guard = self
            .guard
            .take()
            .ok_or_else(|| io::Error::other("there is nothing to take back"))?;
        let (image, passed, learnt) = guard.take()?;
        if let Ok((later, _)) = load(&self.start.config) {
            self.peers = later.peers; // SIGHUP may have come meanwhile
        }
        let prepared = self.prepare(&image, passed, learnt, true)?;
        let (edges, lines, hand) = prepared.sums();
        let broken = prepared.broken;
        let instance = self.set_going(prepared);
        instance.exchange.borrow_mut().counters.taken_back += 1;
        self.instance = Some(instance);
        if let Some(learning) = &mut self.learning {
            learning.taken_back();
        }
        self.learn();
        self.try_control();
        info!(
            connections = edges, calls = lines, in_hand = hand, broken = broken;
            "taken up again within {} ms: {edges} connections, {lines} calls, {hand} in hand, {broken} connections broken",
            began.elapsed().as_millis()
        );
        Ok(())
    }

    /// What a predecessor has handed over, live and not yet set going.
    pub(super) fn take_over(&mut self) -> io::Result<RestoredInstance> {
        let mut passed = std::mem::take(&mut self.inherited);
        let missing = |what: &str| io::Error::other(format!("{what} did not come"));
        let image = passed
            .remove(&Role::Image)
            .ok_or_else(|| missing("the image"))?;
        let journal = passed
            .remove(&Role::Journal)
            .ok_or_else(|| missing("the journal"))?;
        let mut bytes = Vec::new();
        let file = std::fs::File::from(image);
        io::Seek::rewind(&mut &file)?;
        io::Read::read_to_end(&mut &file, &mut bytes)?;
        let mut image = Image::default();
        image
            .apply(&bytes)
            .map_err(|why| io::Error::other(why.to_string()))?;
        let prepared = self.prepare(&image, passed, None, false)?;
        prepared.note(Journal::new(journal), self.passing.0.clone());
        Ok(prepared)
    }

    pub(super) fn prepare(
        &mut self,
        image: &Image,
        mut passed: PassedDescriptors,
        learnt: Option<merlinshelf_admission::LearnedState>,
        takes_back: bool,
    ) -> io::Result<RestoredInstance> {
        let listener = passed
            .remove(&Role::Listener)
            .ok_or_else(|| io::Error::other("no listener came"))?;
        let listener = std::net::TcpListener::from(listener);
        listener.set_nonblocking(true)?;
        let mut exchange = Exchange::from_config(&self.config).map_err(io::Error::other)?;
        self.hold_policy(&mut exchange).map_err(io::Error::other)?;
        let instance: Option<records::Instance> = image.get(Key::Instance);
        match instance.filter(|_| !takes_back) {
            Some(instance) => exchange.resume_policy(&instance.policy, &instance.quota),
            // What its successor held may be fenced by now: it holds nothing until its agent says so.
            None => exchange.stop_waiting_for_policy(),
        }
        RestoredInstance::carried(
            exchange,
            server::listening(listener)?,
            image,
            passed,
            learnt,
        )
    }
}

/// The file that this process was started from, also where another one stands in its place by now.
fn own_program() -> io::Result<PathBuf> {
    let path = std::env::current_exe()?;
    let text = path.to_string_lossy();
    Ok(text
        .strip_suffix(" (deleted)")
        .map(PathBuf::from)
        .unwrap_or(path))
}
