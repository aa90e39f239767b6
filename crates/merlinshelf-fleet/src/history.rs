//! What happened, bounded: the last thousand events.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

const KEPT: usize = 1000;

/// One event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub number: u64,
    /// Unix seconds.
    pub at: f64,
    /// The instance, where it is of one.
    pub instance: Option<String>,
    pub text: String,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    number: u64,
    events: VecDeque<Event>,
}

impl History {
    pub fn note(&mut self, at: f64, instance: Option<&str>, text: impl Into<String>) {
        self.number += 1;
        if self.events.len() == KEPT {
            self.events.pop_front();
        }
        let (number, instance) = (self.number, instance.map(str::to_owned));
        self.events.push_back(Event {
            number,
            at,
            instance,
            text: text.into(),
        });
    }

    pub fn events(&self) -> impl DoubleEndedIterator<Item = &Event> {
        self.events.iter()
    }
}
