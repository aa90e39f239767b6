//! What instances tell each other: one question and one answer a connection, each a head that says how many lines follow.
//!
//! `ask 1 n0 1700 2 alive 127.0.0.1:7400 steady 1 1 0`, then `peer` lines with news and `figure` lines; `tell` answers in
//! the same form. The number behind the first word is the form; another one is a fault. Names have every byte that does not
//! print escaped as in addresses of the web; a name that is not there is `-`. Every line is read once, however slowly it
//! comes, and what is longer than its head may say is a fault.

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

use crate::{Buffer, Bytes, Fault, Front, LINE_MOST, front, line, put, within};

/// The form that is spoken here.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest message there is.
pub const MESSAGE_MOST: usize = (1 + MAX_UPDATES + MAX_OBSERVATIONS) * (LINE_MOST + 2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ask,
    Tell,
}

const ESCAPED: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

fn name(text: &str) -> String {
    if text == "-" {
        "%2D".into()
    } else {
        utf8_percent_encode(text, ESCAPED).to_string()
    }
}

fn name_or_none(text: Option<&str>) -> Cow<'static, str> {
    text.map_or(Cow::Borrowed("-"), |text| Cow::Owned(name(text)))
}

/// Names of states, as they stand on the wire.
const STATES: [(&str, State); 4] = [
    ("alive", State::Alive),
    ("suspect", State::Suspect),
    ("left", State::Left),
    ("gone", State::Gone),
];

fn state_name(state: State) -> &'static str {
    STATES
        .iter()
        .find(|(_, one)| *one == state)
        .map_or("gone", |(name, _)| name)
}

/// Writes a message.
pub fn put_message(out: &mut impl Buffer, kind: Kind, message: &Message) {
    let Message {
        from,
        status: standing,
        wants_observations: wants,
        updates: news,
        observations: figures,
    } = message;
    let word = if kind == Kind::Ask { "ask" } else { "tell" };
    put(
        out,
        format_args!(
            "{word} {PROTOCOL_VERSION} {} {} {} {}\r\n",
            peer_words(from),
            standing.as_str(),
            u8::from(*wants),
            format_args!("{} {}", news.len(), figures.len())
        ),
        None,
    );
    for one in news {
        put(out, format_args!("peer {}\r\n", peer_words(one)), None);
    }
    for told in figures {
        let labels = told.metric.labels();
        let of = (
            told.metric.kind(),
            name_or_none(labels.server),
            name_or_none(labels.operation),
        );
        let GossipedObservation {
            source: origin,
            value,
            sample_count: count,
            age_seconds: age,
            sequence: number,
            hops,
            status: standing,
            ..
        } = told;
        let (by, life, standing) = (name(&origin.name), origin.incarnation, standing.as_str());
        put(
            out,
            format_args!(
                "figure {} {} {} {by} {life} {value} {count} {age} {number} {hops} {standing}\r\n",
                of.0, of.1, of.2
            ),
            None,
        );
    }
}

fn peer_words(one: &MembershipUpdate) -> String {
    format!(
        "{} {} {} {} {}",
        name(&one.name),
        one.incarnation,
        one.refutations,
        state_name(one.state),
        if one.address.is_empty() {
            "-".into()
        } else {
            name(&one.address)
        }
    )
}

/// A message that is coming, line by line.
#[derive(Debug, Default)]
pub struct Reading {
    /// Its kind, the message as far as it has come, and how many news and figures it is to have.
    begun: Option<(Kind, Message, usize, usize)>,
}

impl Reading {
    /// Reads all whole lines at the front. How many bytes these were, and the message once it is whole.
    ///
    /// # Errors
    /// What is no such message; the connection that it came on ends.
    pub fn read(&mut self, input: &[u8]) -> Result<(usize, Option<(Kind, Message)>), Fault> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            let count = match &mut self.begun {
                None => match head(rest)? {
                    Some((begun, count)) => {
                        self.begun = Some(begun);
                        count
                    }
                    None => return Ok((used, None)),
                },
                Some((_, message, news, _)) if message.updates.len() < *news => match peer(rest)? {
                    Some((one, count)) => {
                        message.updates.push(one);
                        count
                    }
                    None => return Ok((used, None)),
                },
                Some((_, message, _, figures)) if message.observations.len() < *figures => {
                    match figure(rest)? {
                        Some((told, count)) => {
                            message.observations.push(told);
                            count
                        }
                        None => return Ok((used, None)),
                    }
                }
                Some(_) => {
                    return Ok((
                        used,
                        self.begun.take().map(|(kind, message, ..)| (kind, message)),
                    ));
                }
            };
            used += count;
        }
    }
}

type Begun = (Kind, Message, usize, usize);

fn head(input: &[u8]) -> Front<Begun> {
    let whole = |input: &mut Bytes| -> ModalResult<Begun> {
        let text = line(input)?;
        let kind = alt(("ask".value(Kind::Ask), "tell".value(Kind::Tell)));
        let form = dec_uint::<_, u32, _>.verify(|form| *form == PROTOCOL_VERSION);
        let counts = (
            dec_uint::<_, usize, _>.verify(|count| *count <= MAX_UPDATES),
            " ",
            dec_uint::<_, usize, _>.verify(|count| *count <= MAX_OBSERVATIONS),
        );
        let (kind, _, _, _, from, _, standing, _, wants, _, (news, _, figures)) = within(
            text,
            (
                kind,
                " ",
                form,
                " ",
                peer_fields,
                " ",
                standing,
                " ",
                alt(("0".value(false), "1".value(true))),
                " ",
                counts,
            ),
        )?;
        Ok((
            kind,
            Message {
                from,
                status: standing,
                wants_observations: wants,
                updates: Vec::new(),
                observations: Vec::new(),
            },
            news,
            figures,
        ))
    };
    front(
        input,
        LINE_MOST + 2,
        Fault("unreadable message of a peer"),
        whole,
    )
}

fn peer(input: &[u8]) -> Front<MembershipUpdate> {
    let whole = |input: &mut Bytes| -> ModalResult<MembershipUpdate> {
        let text = line(input)?;
        within(text, preceded("peer ", peer_fields))
    };
    front(
        input,
        LINE_MOST + 2,
        Fault("unreadable news of a peer"),
        whole,
    )
}

fn figure(input: &[u8]) -> Front<GossipedObservation> {
    let whole = |input: &mut Bytes| -> ModalResult<GossipedObservation> {
        let text = line(input)?;
        let subject = (word, " ", name_field, " ", name_field).verify_map(
            |(kind, _, server, _, operation)| {
                let kind = std::str::from_utf8(kind).ok()?;
                Metric::parse(kind, server.as_deref(), operation.as_deref())
            },
        );
        let origin = (
            name_field.verify_map(|name| name),
            " ",
            dec_uint::<_, u64, _>,
        )
            .map(|(name, _, life)| Source {
                name,
                incarnation: life,
            });
        let numbers = (
            float::<_, f64, _>,
            " ",
            dec_uint::<_, u32, _>,
            " ",
            float::<_, f64, _>,
        );
        let rest = (
            dec_uint::<_, u64, _>,
            " ",
            dec_uint::<_, u8, _>,
            " ",
            standing,
        );
        let (
            _,
            subject,
            _,
            origin,
            _,
            (value, _, count, _, age),
            _,
            (number, _, hops, _, standing),
        ) = within(
            text,
            ("figure ", subject, " ", origin, " ", numbers, " ", rest),
        )?;
        Ok(GossipedObservation {
            metric: subject,
            source: origin,
            value,
            sample_count: count,
            age_seconds: age,
            sequence: number,
            hops,
            status: standing,
        })
    };
    front(
        input,
        LINE_MOST + 2,
        Fault("unreadable figure of a peer"),
        whole,
    )
}

fn word<'i>(input: &mut &'i [u8]) -> ModalResult<&'i [u8]> {
    take_while(1.., b'!'..=b'~').parse_next(input)
}

/// A name, or none where it is `-`.
fn name_field(input: &mut &[u8]) -> ModalResult<Option<String>> {
    word.verify_map(|text: &[u8]| match text {
        b"-" => Some(None),
        text => percent_decode(text)
            .decode_utf8()
            .ok()
            .map(|text| Some(text.into_owned())),
    })
    .parse_next(input)
}

fn peer_fields(input: &mut &[u8]) -> ModalResult<MembershipUpdate> {
    let state = word.verify_map(|text: &[u8]| {
        STATES
            .iter()
            .find(|(name, _)| name.as_bytes() == text)
            .map(|(_, state)| *state)
    });
    let whole = (
        name_field.verify_map(|name| name),
        " ",
        dec_uint::<_, u64, _>,
        " ",
        dec_uint::<_, u32, _>,
        " ",
        state,
        " ",
        name_field,
    );
    whole
        .map(
            |(name, _, life, _, turn, _, state, _, address)| MembershipUpdate {
                name,
                address: address.unwrap_or_default(),
                incarnation: life,
                refutations: turn,
                state,
            },
        )
        .parse_next(input)
}

fn standing(input: &mut &[u8]) -> ModalResult<SourceStatus> {
    word.verify_map(|text: &[u8]| SourceStatus::parse(std::str::from_utf8(text).ok()?))
        .parse_next(input)
}
