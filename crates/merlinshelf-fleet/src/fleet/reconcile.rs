//! What is done for instances as time goes on, whoever asks for it or nobody.

use super::{Action, Fleet, STOP_MARGIN};
use crate::instance::{Instance, State};

/// A kill that shows no effect is made again after so long.
const KILL_AGAIN: f64 = 1.0;

impl Fleet {
    /// Time goes on.
    pub fn woken(&mut self, now: f64) {
        self.look_after(now);
        self.advance(now);
        self.start_wanted(now);
    }

    /// Hangs, those that never answer, and those whose time is over.
    pub(super) fn look_after(&mut self, now: f64) {
        let (hangs, warm_within) = (
            self.wanted.restarts.hangs_ms as f64 / 1e3,
            self.wanted.change.warm_within_ms as f64 / 1e3,
        );
        let stop_within = self.stop_within + STOP_MARGIN;
        let mut notes = Vec::new();
        // A target that does not get warm is a step that has failed; others may be cold for reasons of their engine's.
        let cold = |one: &&Instance| one.state == State::Warming && now - one.since > warm_within;
        let cold: Vec<String> = self
            .instances
            .values()
            .filter(cold)
            .map(|one| one.name.clone())
            .collect();
        for name in cold {
            self.step_failed(
                &name,
                &format!("{name} does not get warm within {warm_within:.1} s"),
            );
        }
        for one in self.instances.values_mut() {
            let silent = now - one.heard;
            let name = one.name.clone();
            match one.state {
                State::Starting | State::Adopted if now - one.since > warm_within.max(hangs) => {
                    notes.push((
                        name.clone(),
                        format!("has not answered within {:.1} s", now - one.since),
                    ));
                    one.turn(now, State::Lost);
                    one.kill_at = Some(now + stop_within);
                    self.steps.push_back(Action::Terminate { name });
                }
                // One that hands over is silent for a moment, far shorter than a hang.
                State::Warming | State::Serving | State::Upgrading if silent > hangs => {
                    notes.push((name.clone(), format!("hangs: no answer for {silent:.1} s")));
                    one.turn(now, State::Lost);
                    one.kill_at = Some(now + stop_within);
                    self.steps.push_back(Action::Terminate { name });
                }
                _ => {}
            }
            if one.kill_at.is_some_and(|at| now >= at) && one.state.is_up() {
                if !std::mem::replace(&mut one.killed, true) {
                    notes.push((one.name.clone(), "its time is over: it is killed".into()));
                }
                one.kill_at = Some(now + KILL_AGAIN);
                self.steps.push_back(Action::Kill {
                    name: one.name.clone(),
                });
            }
        }
        let named = !notes.is_empty();
        for (name, text) in notes {
            self.note(Some(&name), text);
        }
        if named {
            self.changed = true;
        }
    }

    /// Starts what is wanted and down, a few at a time, and drains what is not wanted any more.
    pub(super) fn start_wanted(&mut self, now: f64) {
        let under_way = |one: &&Instance| matches!(one.state, State::Starting);
        let mut room = (self.wanted.restarts.at_once as usize)
            .saturating_sub(self.instances.values().filter(under_way).count());
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for name in names {
            let Some(one) = self.instances.get(&name) else {
                continue;
            };
            let wanted = self.is_wanted(one);
            match one.state {
                State::Absent | State::Failed
                    if wanted && room > 0 && one.crashes.may_start(now) =>
                {
                    room -= 1;
                    let program = one.program.clone();
                    if let Some(one) = self.instances.get_mut(&name) {
                        one.turn(now, State::Starting);
                        one.heard = now;
                    }
                    self.changed = true;
                    self.steps.push_back(Action::Start { name, program });
                }
                State::Warming | State::Serving
                    if one.number >= self.count_of(&one.group) && !one.told =>
                {
                    self.tell_to_leave(now, &name, None);
                }
                _ => {}
            }
        }
        // Who is neither wanted nor there is forgotten.
        let gone: Vec<String> = self
            .instances
            .values()
            .filter(|one| !one.state.is_up() && one.number >= self.count_of(&one.group))
            .map(|one| one.name.clone())
            .collect();
        for name in gone {
            self.instances.remove(&name);
            self.changed = true;
        }
    }

    /// Once, however often it is asked for: a second notice might shorten its time.
    pub(super) fn tell_to_leave(&mut self, now: f64, name: &str, within: Option<f64>) {
        let stop_within = self.stop_within + STOP_MARGIN;
        let Some(one) = self.instances.get_mut(name) else {
            return;
        };
        if !one.state.is_up() {
            return;
        }
        let until = now + within.unwrap_or(stop_within);
        let told = std::mem::replace(&mut one.told, true);
        // A limit that was named counts; a later one than is set already does not.
        one.kill_at =
            Some(one.kill_at.map_or(
                until,
                |at| if within.is_some() { at.min(until) } else { at },
            ));
        let state = if within.is_some() {
            State::Stopping
        } else {
            State::Draining
        };
        if one.state != State::Lost {
            one.turn(now, state);
        }
        self.changed = true;
        if !told {
            self.steps.push_back(Action::Drain {
                name: name.to_owned(),
            });
            self.note(Some(name), "told to leave");
        }
    }
}
