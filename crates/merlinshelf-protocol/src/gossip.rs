//! Gossip between instances: one poll and one answer per connection. Each message starts with a
//! header line that contains the number of lines that follow.
//!
//! A poll is a header such as `ask 1 n0 1700 2 alive 127.0.0.1:7400 steady 1 1 0`, then `peer`
//! lines with membership updates and `figure` lines with observations. An answer has the same form
//! and starts with `tell`. The first number is the version; any other version is a fault.
//! Non-printable bytes in names are percent-encoded; an absent name is `-`. Lines are parsed once,
//! as they are received, and exceeding the limits on lines or bytes is a fault.

use std::borrow::Cow;

use merlinshelf_gossip::gossip_node::{MAX_OBSERVATIONS, MAX_UPDATES, Message};
use merlinshelf_gossip::membership::{MembershipUpdate, State};
use merlinshelf_gossip::metric::Metric;
use merlinshelf_gossip::observation::{GossipedObservation, Source, SourceStatus};
use percent_encoding::{AsciiSet, CONTROLS, percent_decode, utf8_percent_encode};
use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, preceded};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

use crate::{
    Buffer, Bytes, Fault, LINE_END_BYTES, MAX_LINE_BYTES, Parsed, line, parse_front, parse_line,
    write_line,
};

/// The supported protocol version.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a message.
pub const MAX_MESSAGE_BYTES: usize =
    (1 + MAX_UPDATES + MAX_OBSERVATIONS) * (MAX_LINE_BYTES + LINE_END_BYTES);

/// The role of a message in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The first message.
    Poll,
    /// The reply to a poll.
    Answer,
}

const ESCAPED: &AsciiSet = &CONTROLS.add(b' ').add(b'%');
const ABSENT: &str = "-";
const ESCAPED_HYPHEN: &str = "%2D";

const STATES: [State; 4] = [State::Alive, State::Suspect, State::Left, State::Dead];

/// The name of a state on the wire.
fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Left => "left",
        State::Dead => "gone",
    }
}

fn escape(name: &str) -> String {
    if name == ABSENT {
        ESCAPED_HYPHEN.into()
    } else {
        utf8_percent_encode(name, ESCAPED).to_string()
    }
}

fn escape_optional(name: Option<&str>) -> Cow<'static, str> {
    name.map_or(Cow::Borrowed(ABSENT), |name| Cow::Owned(escape(name)))
}

/// Writes a message.
pub fn write_message(out: &mut impl Buffer, kind: MessageKind, message: &Message) {
    write_header(out, kind, message);
    for update in &message.updates {
        write_line(out, format_args!("peer {}\r\n", format_update(update)));
    }
    for observation in &message.observations {
        write_observation(out, observation);
    }
}

fn write_header(out: &mut impl Buffer, kind: MessageKind, message: &Message) {
    let kind = match kind {
        MessageKind::Poll => "ask",
        MessageKind::Answer => "tell",
    };
    let from = format_update(&message.from);
    let status = message.status.as_str();
    let wants_observations = u8::from(message.wants_observations);
    let update_count = message.updates.len();
    let observation_count = message.observations.len();
    write_line(
        out,
        format_args!(
            "{kind} {PROTOCOL_VERSION} {from} {status} {wants_observations} {update_count} \
             {observation_count}\r\n"
        ),
    );
}

fn write_observation(out: &mut impl Buffer, observation: &GossipedObservation) {
    let GossipedObservation {
        metric,
        source,
        value,
        sample_count,
        age_seconds,
        sequence,
        hops,
        status,
    } = observation;
    let labels = metric.labels();
    let kind = metric.kind();
    let server = escape_optional(labels.server);
    let operation = escape_optional(labels.operation);
    let source_name = escape(&source.name);
    let incarnation = source.incarnation;
    let status = status.as_str();
    write_line(
        out,
        format_args!(
            "figure {kind} {server} {operation} {source_name} {incarnation} {value} {sample_count} \
             {age_seconds} {sequence} {hops} {status}\r\n"
        ),
    );
}

fn format_update(update: &MembershipUpdate) -> String {
    let address = Some(update.address.as_str()).filter(|address| !address.is_empty());
    format!(
        "{} {} {} {} {}",
        escape(&update.name),
        update.incarnation,
        update.refutations,
        state_name(update.state),
        escape_optional(address)
    )
}

/// A message that is not completely received.
#[derive(Debug)]
struct PartialMessage {
    kind: MessageKind,
    message: Message,
    update_count: usize,
    observation_count: usize,
}

/// Reads a message line by line.
#[derive(Debug, Default)]
pub struct MessageReader {
    partial: Option<PartialMessage>,
}

impl MessageReader {
    /// Reads complete lines at the front of `input`, up to the end of the message. Returns the
    /// number of bytes consumed, and the message once it is complete.
    ///
    /// # Errors
    /// The input is not a valid gossip message; the caller closes the connection.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<(MessageKind, Message)>), Fault> {
        let mut used = 0;
        loop {
            let complete = self.partial.take_if(|partial| partial.is_complete());
            if let Some(partial) = complete {
                return Ok((used, Some((partial.kind, partial.message))));
            }
            match self.read_line(&input[used..])? {
                Some(line_bytes) => used += line_bytes,
                None => return Ok((used, None)),
            }
        }
    }

    /// Reads one line and returns its length, or `None` if the line is incomplete.
    fn read_line(&mut self, input: &[u8]) -> Result<Option<usize>, Fault> {
        let Some(partial) = &mut self.partial else {
            let Some((partial, line_bytes)) = read_header(input)? else {
                return Ok(None);
            };
            self.partial = Some(partial);
            return Ok(Some(line_bytes));
        };
        if partial.message.updates.len() < partial.update_count {
            let Some((update, line_bytes)) = read_update(input)? else {
                return Ok(None);
            };
            partial.message.updates.push(update);
            return Ok(Some(line_bytes));
        }
        let Some((observation, line_bytes)) = read_observation(input)? else {
            return Ok(None);
        };
        partial.message.observations.push(observation);
        Ok(Some(line_bytes))
    }
}

impl PartialMessage {
    fn is_complete(&self) -> bool {
        self.message.updates.len() >= self.update_count
            && self.message.observations.len() >= self.observation_count
    }
}

fn read_header(input: &[u8]) -> Parsed<PartialMessage> {
    read_line(input, Fault("malformed gossip header"), header)
}

fn read_update(input: &[u8]) -> Parsed<MembershipUpdate> {
    let fault = Fault("malformed gossip membership update");
    read_line(input, fault, |input: &mut &[u8]| {
        preceded("peer ", update).parse_next(input)
    })
}

fn read_observation(input: &[u8]) -> Parsed<GossipedObservation> {
    read_line(input, Fault("malformed gossip observation"), observation)
}

fn read_line<T>(
    input: &[u8],
    fault: Fault,
    fields: impl Fn(&mut &[u8]) -> ModalResult<T>,
) -> Parsed<T> {
    let whole_line = |input: &mut Bytes| -> ModalResult<T> {
        let text = line(input)?;
        parse_line(text, |input: &mut &[u8]| fields(input))
    };
    parse_front(input, MAX_LINE_BYTES + LINE_END_BYTES, fault, whole_line)
}

fn header(input: &mut &[u8]) -> ModalResult<PartialMessage> {
    let kind = alt((
        "ask".value(MessageKind::Poll),
        "tell".value(MessageKind::Answer),
    ));
    let version = dec_uint::<_, u32, _>.verify(|version| *version == PROTOCOL_VERSION);
    let wants_observations = alt(("0".value(false), "1".value(true)));
    let update_count = dec_uint::<_, usize, _>.verify(|count| *count <= MAX_UPDATES);
    let observation_count = dec_uint::<_, usize, _>.verify(|count| *count <= MAX_OBSERVATIONS);
    let (kind, _, _) = (kind, " ", version).parse_next(input)?;
    let (_, from, _, status) = (" ", update, " ", status).parse_next(input)?;
    let (_, wants_observations) = (" ", wants_observations).parse_next(input)?;
    let (_, update_count) = (" ", update_count).parse_next(input)?;
    let (_, observation_count) = (" ", observation_count).parse_next(input)?;
    Ok(PartialMessage {
        kind,
        message: Message {
            from,
            status,
            wants_observations,
            updates: Vec::new(),
            observations: Vec::new(),
        },
        update_count,
        observation_count,
    })
}

fn observation(input: &mut &[u8]) -> ModalResult<GossipedObservation> {
    let (_, metric) = ("figure ", metric).parse_next(input)?;
    let (_, source) = (" ", source).parse_next(input)?;
    let (_, value) = (" ", float::<_, f64, _>).parse_next(input)?;
    let (_, sample_count) = (" ", dec_uint::<_, u32, _>).parse_next(input)?;
    let (_, age_seconds) = (" ", float::<_, f64, _>).parse_next(input)?;
    let (_, sequence) = (" ", dec_uint::<_, u64, _>).parse_next(input)?;
    let (_, hops) = (" ", dec_uint::<_, u8, _>).parse_next(input)?;
    let (_, status) = (" ", status).parse_next(input)?;
    Ok(GossipedObservation {
        metric,
        source,
        value,
        sample_count,
        age_seconds,
        sequence,
        hops,
        status,
    })
}

fn metric(input: &mut &[u8]) -> ModalResult<Metric> {
    (token, " ", optional_name, " ", optional_name)
        .verify_map(|(kind, _, server, _, operation)| {
            let kind = std::str::from_utf8(kind).ok()?;
            Metric::parse(kind, server.as_deref(), operation.as_deref())
        })
        .parse_next(input)
}

fn source(input: &mut &[u8]) -> ModalResult<Source> {
    let (name, _, incarnation) = (name, " ", dec_uint::<_, u64, _>).parse_next(input)?;
    Ok(Source { name, incarnation })
}

fn update(input: &mut &[u8]) -> ModalResult<MembershipUpdate> {
    let (name, _, incarnation) = (name, " ", dec_uint::<_, u64, _>).parse_next(input)?;
    let (_, refutations, _, state) = (" ", dec_uint::<_, u32, _>, " ", state).parse_next(input)?;
    let (_, address) = (" ", optional_name).parse_next(input)?;
    Ok(MembershipUpdate {
        name,
        // An unreachable peer has no address.
        address: address.unwrap_or_default(),
        incarnation,
        refutations,
        state,
    })
}

fn state(input: &mut &[u8]) -> ModalResult<State> {
    token
        .verify_map(|text: &[u8]| {
            let mut states = STATES.into_iter();
            states.find(|state| state_name(*state).as_bytes() == text)
        })
        .parse_next(input)
}

fn status(input: &mut &[u8]) -> ModalResult<SourceStatus> {
    token
        .verify_map(|text: &[u8]| SourceStatus::parse(std::str::from_utf8(text).ok()?))
        .parse_next(input)
}

fn token<'i>(input: &mut &'i [u8]) -> ModalResult<&'i [u8]> {
    take_while(1.., b'!'..=b'~').parse_next(input)
}

fn name(input: &mut &[u8]) -> ModalResult<String> {
    optional_name.verify_map(|name| name).parse_next(input)
}

/// Parses a name, or `None` for [`ABSENT`].
fn optional_name(input: &mut &[u8]) -> ModalResult<Option<String>> {
    token
        .verify_map(|text: &[u8]| {
            if text == ABSENT.as_bytes() {
                return Some(None);
            }
            let name = percent_decode(text).decode_utf8().ok()?;
            Some(Some(name.into_owned()))
        })
        .parse_next(input)
}
