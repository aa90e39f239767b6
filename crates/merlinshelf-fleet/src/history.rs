//! The latest events of the fleet, for operators. They are part of the stored record.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

const MAX_EVENTS: usize = 1000;

/// One event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event, counted from 1.
    pub number: u64,
    /// Seconds of Unix time.
    #[serde(rename = "at")]
    pub unix_seconds: f64,
    /// The instance that the event concerns; `None` for the whole fleet.
    pub instance: Option<String>,
    /// What happened.
    pub text: String,
}

/// The latest events, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    #[serde(rename = "number")]
    last_number: u64,
    events: VecDeque<Event>,
}

impl History {
    /// Adds an event; drops the oldest one if there are too many.
    pub fn add(&mut self, unix_seconds: f64, instance: Option<&str>, text: impl Into<String>) {
        self.last_number += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            number: self.last_number,
            unix_seconds,
            instance: instance.map(str::to_owned),
            text: text.into(),
        });
    }

    /// The events, oldest first.
    pub fn events(&self) -> impl DoubleEndedIterator<Item = &Event> {
        self.events.iter()
    }
}
