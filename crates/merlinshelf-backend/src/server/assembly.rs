//! Invocations of one connection that are still being read.

use std::collections::HashMap;

use merlinshelf_handover::records;
use tokio::time::Instant;

use super::bad::Bad;
use crate::exchange::ReadReservation;

/// The page's limit on bodies, and room for twice the fields that an edge node sends.
const BODY_MOST: usize = 2 * 1024;
const PARAMS_MOST: usize = 4 * 1024;

#[derive(Debug)]
pub struct Partial {
    place: ReadReservation,
    began: Instant,
    pub keep: bool,
    pub params: Vec<u8>,
    params_done: bool,
    pub body: Vec<u8>,
}

/// What more bytes made of an invocation.
pub enum Step {
    /// It is still being read.
    Reading,
    Whole(Partial),
    /// It is turned down with what came of it so far; what still comes is passed over.
    TurnedDown(Partial, Bad),
    /// No invocation of that id is being read.
    Astray,
}

#[derive(Debug, Default)]
pub struct Assembly(HashMap<u16, Partial>);

impl Assembly {
    pub fn begin(&mut self, id: u16, keep: bool, place: ReadReservation) {
        let (params, body) = Default::default();
        let partial = Partial {
            place,
            began: Instant::now(),
            keep,
            params,
            params_done: false,
            body,
        };
        self.0.insert(id, partial);
    }

    pub fn holds(&self, id: u16) -> bool {
        self.0.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// When the one that has been read for the longest was begun.
    pub fn oldest(&self) -> Option<Instant> {
        self.0.values().map(|partial| partial.began).min()
    }

    pub fn take_all(&mut self) -> Vec<(u16, Partial)> {
        self.0.drain().collect()
    }

    pub fn params(&mut self, id: u16, bytes: &[u8]) -> Step {
        let Some(partial) = self.0.get_mut(&id) else {
            return Step::Astray;
        };
        if bytes.is_empty() {
            partial.params_done = true;
            return Step::Reading;
        }
        if partial.params_done || partial.params.len() + bytes.len() > PARAMS_MOST {
            return self.turn_down(id, Bad::new(400, "parameters too long or out of place"));
        }
        if !partial.place.grow(bytes.len()) {
            return self.turn_down(id, no_room());
        }
        partial.params.extend(bytes);
        Step::Reading
    }

    /// Body bytes; none ends the invocation, which is handed out whole.
    pub fn body(&mut self, id: u16, bytes: &[u8]) -> Step {
        let Some(partial) = self.0.get_mut(&id) else {
            return Step::Astray;
        };
        match bytes.len() {
            0 if !partial.params_done => {
                self.turn_down(id, Bad::new(400, "a body that ends before the parameters"))
            }
            0 => self.drop(id).map_or(Step::Astray, Step::Whole),
            more if partial.body.len() + more > BODY_MOST => {
                self.turn_down(id, Bad::new(413, "the body is too large"))
            }
            more if !partial.place.grow(more) => self.turn_down(id, no_room()),
            _ => {
                partial.body.extend(bytes);
                Step::Reading
            }
        }
    }

    fn turn_down(&mut self, id: u16, bad: Bad) -> Step {
        self.drop(id)
            .map_or(Step::Astray, |partial| Step::TurnedDown(partial, bad))
    }

    /// What is being read, as it passes to another process.
    pub fn records(&self) -> Vec<records::Partial> {
        let record = |(tag, partial): (&u16, &Partial)| records::Partial {
            tag: *tag,
            keeps_connection: partial.keep,
            params: partial.params.clone().into(),
            has_all_params: partial.params_done,
            body: partial.body.clone().into(),
        };
        self.0.iter().map(record).collect()
    }

    /// Takes up one that another process was reading; its time to come whole begins anew.
    pub fn resume(&mut self, record: records::Partial, place: ReadReservation) {
        let records::Partial {
            tag,
            keeps_connection: keep,
            params,
            has_all_params: params_done,
            body,
        } = record;
        let (params, body) = (params.into_vec(), body.into_vec());
        self.0.insert(
            tag,
            Partial {
                place,
                began: Instant::now(),
                keep,
                params,
                params_done,
                body,
            },
        );
    }

    pub fn drop(&mut self, id: u16) -> Option<Partial> {
        self.0.remove(&id)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}

fn no_room() -> Bad {
    Bad::new(503, "too much is being read")
}
