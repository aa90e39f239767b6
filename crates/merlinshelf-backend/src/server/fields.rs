//! Parses the parameters of a request into an [`Arrival`] for the exchange.

use std::rc::Rc;
use std::str::FromStr;

use merlinshelf_protocol::CallId;

use super::codec::Codec;
use super::rejection::Rejection;
use crate::exchange::{Arrival, Exchange};

/// One hour; no edge node waits that long.
const MAX_TIMEOUT_MS: f64 = 3.6e6;

/// What complete parameters request.
#[derive(Debug)]
pub enum Request {
    HealthCheck,
    Invocation(Arrival),
}

/// The names and values of a request's parameters.
pub struct Fields<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Fields<'a> {
    /// Decodes complete parameters by the codec's protocol.
    pub fn parse(codec: &Codec, params: &'a [u8]) -> Result<Fields<'a>, Rejection> {
        codec.pairs(params).map(Fields)
    }

    /// Validates the parameters; `body` is the body of the request.
    pub fn request(&self, exchange: &Exchange, body: Vec<u8>) -> Result<Request, Rejection> {
        let path = self.required("SCRIPT_NAME")?;
        if path == b"/status/live" {
            return Ok(Request::HealthCheck);
        }
        let Some(name) = path.strip_prefix(b"/svc/") else {
            return Err(Rejection::new(
                404,
                format!("no such path: {}", path.escape_ascii()),
            ));
        };
        if self.required("REQUEST_METHOD")? != b"POST" {
            return Err(Rejection::new(405, "REQUEST_METHOD is not POST"));
        }
        if self
            .number("CONTENT_LENGTH")?
            .is_some_and(|length: usize| length != body.len())
        {
            return Err(Rejection::new(
                400,
                "CONTENT_LENGTH is not the length of the body",
            ));
        }
        let operation = exchange.operation(name);
        let operation = operation.ok_or_else(|| {
            Rejection::new(404, format!("no such operation: {}", name.escape_ascii()))
        })?;
        let id = self.required("HTTP_X_CALL_ID")?;
        let id = CallId::parse(id)
            .ok_or_else(|| Rejection::new(400, "HTTP_X_CALL_ID is not 16 hex digits"))?;
        let timeout_ms = self.non_negative("HTTP_X_PATIENCE_MS")?;
        if timeout_ms.is_none() && exchange.passes_caller_timeout() {
            return Err(missing("HTTP_X_PATIENCE_MS"));
        }
        if timeout_ms.is_some_and(|timeout_ms| timeout_ms > MAX_TIMEOUT_MS) {
            return Err(Rejection::new(400, "HTTP_X_PATIENCE_MS is out of range"));
        }
        let held_kilobytes = self
            .non_negative("HTTP_X_HEAP_KB")?
            .ok_or(missing("HTTP_X_HEAP_KB"))?;
        if held_kilobytes <= 0.0 || held_kilobytes >= 2000.0 {
            return Err(Rejection::new(400, "HTTP_X_HEAP_KB is out of range"));
        }
        let rank = self
            .non_negative("HTTP_X_IMPORTANCE")?
            .ok_or(missing("HTTP_X_IMPORTANCE"))?;
        if rank >= 1.0 {
            return Err(Rejection::new(400, "HTTP_X_IMPORTANCE is out of range"));
        }
        Ok(Request::Invocation(Arrival {
            id,
            operation,
            body: Rc::from(body),
            caller: self
                .number("HTTP_X_SOURCE")?
                .ok_or(missing("HTTP_X_SOURCE"))?,
            received_at_ms: self
                .non_negative("HTTP_X_QUEUE_START")?
                .ok_or(missing("HTTP_X_QUEUE_START"))?,
            timeout_ms,
            is_retry: self
                .text("HTTP_X_REPEAT")
                .is_some_and(|text| !matches!(text, b"" | b"0")),
            held_kilobytes,
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

    fn required(&self, name: &str) -> Result<&'a [u8], Rejection> {
        self.text(name).ok_or_else(|| missing(name))
    }

    fn number<T: FromStr>(&self, name: &str) -> Result<Option<T>, Rejection> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let number = std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.parse().ok());
        let unreadable = || {
            Rejection::new(
                400,
                format!("{name} is unreadable: {}", text.escape_ascii()),
            )
        };
        number.ok_or_else(unreadable).map(Some)
    }

    fn non_negative(&self, name: &str) -> Result<Option<f64>, Rejection> {
        match self.number::<f64>(name)? {
            Some(value) if !value.is_finite() || value < 0.0 => {
                Err(Rejection::new(400, format!("{name} is out of range")))
            }
            value => Ok(value),
        }
    }
}

fn missing(name: &str) -> Rejection {
    Rejection::new(400, format!("{name} is missing"))
}
