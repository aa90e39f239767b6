//! Invocations of one connection that are still being read.

use std::collections::HashMap;

use super::fields::Bad;
use crate::exchange::Place;

/// The page's limit on bodies, and room for twice the fields that an edge node sends.
const BODY_MOST: usize = 2 * 1024;
const PARAMS_MOST: usize = 4 * 1024;

#[derive(Debug)]
pub struct Partial {
    _place: Place,
    pub keep: bool,
    pub params: Vec<u8>,
    params_done: bool,
    pub body: Vec<u8>,
    /// Turned down already; what still comes of it is passed over.
    pub bad: Option<Bad>,
}

#[derive(Debug, Default)]
pub struct Assembly(HashMap<u16, Partial>);

impl Assembly {
    pub fn begin(&mut self, id: u16, keep: bool, place: Place) {
        let (params, body) = Default::default();
        self.0.insert(id, Partial { _place: place, keep, params, params_done: false, body, bad: None });
    }

    pub fn holds(&self, id: u16) -> bool {
        self.0.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn params(&mut self, id: u16, bytes: &[u8]) {
        let Some(partial) = self.0.get_mut(&id) else { return };
        if bytes.is_empty() {
            partial.params_done = true;
        } else if partial.params_done || partial.params.len() + bytes.len() > PARAMS_MOST {
            partial.turn_down(Bad::new(400, "parameters too long or out of place"));
        } else {
            partial.params.extend(bytes);
        }
    }

    /// Body bytes; none ends the invocation, which is handed out whole.
    pub fn body(&mut self, id: u16, bytes: &[u8]) -> Option<Partial> {
        let partial = self.0.get_mut(&id)?;
        if bytes.is_empty() {
            if !partial.params_done {
                partial.turn_down(Bad::new(400, "a body that ends before the parameters"));
            }
            return self.0.remove(&id);
        }
        if partial.body.len() + bytes.len() > BODY_MOST {
            partial.turn_down(Bad::new(413, "the body is too large"));
        } else {
            partial.body.extend(bytes);
        }
        None
    }

    pub fn drop(&mut self, id: u16) -> Option<Partial> {
        self.0.remove(&id)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}

impl Partial {
    fn turn_down(&mut self, bad: Bad) {
        self.bad.get_or_insert(bad);
        (self.params, self.body) = (Vec::new(), Vec::new());
    }
}
