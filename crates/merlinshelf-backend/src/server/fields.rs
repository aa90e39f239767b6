//! The parameters of an invocation, read into what the exchange takes.

use std::rc::Rc;
use std::str::FromStr;

use merlinshelf_protocol::CallId;

use super::bad::Bad;
use super::codec::Codec;
use crate::exchange::{Arrival, Exchange};

/// No edge node waits for an hour.
const PATIENCE_MOST_MS: f64 = 3.6e6;

/// What a whole stream of parameters asks for.
#[derive(Debug)]
pub enum Asked {
    Check,
    Invocation(Arrival),
}

pub struct Fields<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Fields<'a> {
    /// Those of a whole stream of parameters, in the codec's form.
    pub fn read(codec: &Codec, params: &'a [u8]) -> Result<Fields<'a>, Bad> {
        codec.pairs(params).map(Fields)
    }

    pub fn asked(&self, exchange: &Exchange, body: Vec<u8>) -> Result<Asked, Bad> {
        let path = self.need("SCRIPT_NAME")?;
        if path == b"/status/live" {
            return Ok(Asked::Check);
        }
        let Some(class) = path.strip_prefix(b"/svc/") else {
            return Err(Bad::new(
                404,
                format!("no such path: {}", path.escape_ascii()),
            ));
        };
        if self.need("REQUEST_METHOD")? != b"POST" {
            return Err(Bad::new(405, "REQUEST_METHOD is not POST"));
        }
        if self
            .number("CONTENT_LENGTH")?
            .is_some_and(|length: usize| length != body.len())
        {
            return Err(Bad::new(400, "CONTENT_LENGTH is not the body's"));
        }
        let operation = exchange.operation(class);
        let operation = operation
            .ok_or_else(|| Bad::new(404, format!("no such operation: {}", class.escape_ascii())))?;
        let id = self.need("HTTP_X_CALL_ID")?;
        let id =
            CallId::parse(id).ok_or_else(|| Bad::new(400, "HTTP_X_CALL_ID is no 16 hex digits"))?;
        let patience = self.real("HTTP_X_PATIENCE_MS")?;
        if patience.is_none() && exchange.passes_caller_timeout() {
            return Err(missing("HTTP_X_PATIENCE_MS"));
        }
        if patience.is_some_and(|patience| patience > PATIENCE_MOST_MS) {
            return Err(Bad::new(400, "HTTP_X_PATIENCE_MS is out of range"));
        }
        let held_kb = self
            .real("HTTP_X_HEAP_KB")?
            .ok_or(missing("HTTP_X_HEAP_KB"))?;
        if held_kb <= 0.0 || held_kb >= 2000.0 {
            return Err(Bad::new(400, "HTTP_X_HEAP_KB is out of range"));
        }
        let rank = self
            .real("HTTP_X_IMPORTANCE")?
            .ok_or(missing("HTTP_X_IMPORTANCE"))?;
        if rank >= 1.0 {
            return Err(Bad::new(400, "HTTP_X_IMPORTANCE is out of range"));
        }
        Ok(Asked::Invocation(Arrival {
            id,
            operation,
            body: Rc::from(body),
            caller: self
                .number("HTTP_X_SOURCE")?
                .ok_or(missing("HTTP_X_SOURCE"))?,
            received_at_ms: self
                .real("HTTP_X_QUEUE_START")?
                .ok_or(missing("HTTP_X_QUEUE_START"))?,
            timeout_ms: patience,
            is_retry: self
                .text("HTTP_X_REPEAT")
                .is_some_and(|text| !matches!(text, b"" | b"0")),
            held_kilobytes: held_kb,
            rank,
            has_subject: self
                .text("HTTP_X_ENTITY")
                .is_some_and(|text| !text.is_empty()),
        }))
    }

    fn text(&self, name: &str) -> Option<&'a [u8]> {
        self.0
            .iter()
            .find(|(known, _)| *known == name.as_bytes())
            .map(|(_, value)| *value)
    }

    fn need(&self, name: &str) -> Result<&'a [u8], Bad> {
        self.text(name).ok_or_else(|| missing(name))
    }

    fn number<T: FromStr>(&self, name: &str) -> Result<Option<T>, Bad> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let number = std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.parse().ok());
        let unread = || {
            Bad::new(
                400,
                format!("{name} is unreadable: {}", text.escape_ascii()),
            )
        };
        number.ok_or_else(unread).map(Some)
    }

    fn real(&self, name: &str) -> Result<Option<f64>, Bad> {
        match self.number::<f64>(name)? {
            Some(value) if !value.is_finite() || value < 0.0 => {
                Err(Bad::new(400, format!("{name} is out of range")))
            }
            value => Ok(value),
        }
    }
}

fn missing(name: &str) -> Bad {
    Bad::new(400, format!("{name} is missing"))
}
