//! One figure: of what, how much, from how many samples, how old, seen by whom.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Who has seen it: an instance in one of its lives. A restart or an upgrade begins another life.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    pub name: String,
    pub life: u64,
}

impl fmt::Display for Source {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}/{}", self.name, self.life)
    }
}

/// What a figure is of. Names are those of the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Metric {
    /// Seconds that a run of an operation takes at the least, and lately. They hold for engines of one kind only.
    RunLowest {
        engine: String,
        operation: String,
    },
    RunRecent {
        engine: String,
        operation: String,
    },
    /// The adaptive limit of invocations in hand.
    Limit {
        engine: String,
    },
    /// Seconds that a call below takes at the least, and lately; calls at once that it bears; failures in a row. They hold
    /// for all that share the dependency.
    CallLowest {
        dependency: String,
    },
    CallRecent {
        dependency: String,
    },
    CallLimit {
        dependency: String,
    },
    CallFailures {
        dependency: String,
    },
    /// Seconds that a run of an operation spends at calls below.
    RunBelow {
        dependency: String,
        operation: String,
    },
    /// Share of the arrivals that are further tries, and of the callers that come back soon.
    CallersAgain,
    CallersBack,
}

impl Metric {
    /// What such a figure can be at all: others are a fault or a lie.
    fn bounds(&self) -> (f64, f64) {
        match self {
            // A run or call of under ten microseconds or over ten minutes is none.
            Metric::RunLowest { .. }
            | Metric::RunRecent { .. }
            | Metric::CallLowest { .. }
            | Metric::CallRecent { .. } => (1e-5, 600.0),
            // No process holds more than its descriptors and memory allow.
            Metric::Limit { .. } | Metric::CallLimit { .. } => (0.01, 20_000.0),
            Metric::CallFailures { .. } => (0.0, 1e6),
            Metric::RunBelow { .. } => (0.0, 600.0),
            Metric::CallersAgain | Metric::CallersBack => (0.0, 1.0),
        }
    }

    /// Whether such a figure can have this value.
    pub fn can_be(&self, value: f64) -> bool {
        let (least, most) = self.bounds();
        value.is_finite() && (least..=most).contains(&value)
    }

    /// After how many seconds a figure tells half as much. What a server can do at best changes with its releases, what it
    /// does lately with the minute, and whether it fails with some seconds.
    pub fn half_life(&self) -> f64 {
        match self {
            Metric::RunLowest { .. } | Metric::CallLowest { .. } => 600.0,
            Metric::RunRecent { .. } | Metric::Limit { .. } => 60.0,
            Metric::CallersAgain | Metric::CallersBack => 60.0,
            Metric::CallRecent { .. } | Metric::CallLimit { .. } | Metric::RunBelow { .. } => 20.0,
            // Longer than the second in which it is seen: to believe it in vain costs one trial, not to believe it an outage.
            Metric::CallFailures { .. } => 10.0,
        }
    }

    /// Its kind in one word, as it stands on the wire and in reports.
    pub fn kind(&self) -> &'static str {
        match self {
            Metric::RunLowest { .. } => "run-lowest",
            Metric::RunRecent { .. } => "run-recent",
            Metric::Limit { .. } => "limit",
            Metric::CallLowest { .. } => "call-lowest",
            Metric::CallRecent { .. } => "call-recent",
            Metric::CallLimit { .. } => "call-limit",
            Metric::CallFailures { .. } => "call-failures",
            Metric::RunBelow { .. } => "run-below",
            Metric::CallersAgain => "callers-again",
            Metric::CallersBack => "callers-back",
        }
    }

    /// The server that it is of, and the operation, as far as there are such.
    pub fn names(&self) -> (Option<&str>, Option<&str>) {
        match self {
            Metric::RunLowest { engine, operation } | Metric::RunRecent { engine, operation } => {
                (Some(engine), Some(operation))
            }
            Metric::RunBelow {
                dependency,
                operation,
            } => (Some(dependency), Some(operation)),
            Metric::Limit { engine } => (Some(engine), None),
            Metric::CallLowest { dependency }
            | Metric::CallRecent { dependency }
            | Metric::CallLimit { dependency }
            | Metric::CallFailures { dependency } => (Some(dependency), None),
            Metric::CallersAgain | Metric::CallersBack => (None, None),
        }
    }

    /// The subject of a kind and names; none where they do not fit together.
    pub fn of(kind: &str, server: Option<&str>, operation: Option<&str>) -> Option<Metric> {
        let engine = || server.map(str::to_owned);
        let (dependency, called) = (engine, || operation.map(str::to_owned));
        let subject = match kind {
            "run-lowest" => Metric::RunLowest {
                engine: engine()?,
                operation: called()?,
            },
            "run-recent" => Metric::RunRecent {
                engine: engine()?,
                operation: called()?,
            },
            "limit" => Metric::Limit { engine: engine()? },
            "call-lowest" => Metric::CallLowest {
                dependency: dependency()?,
            },
            "call-recent" => Metric::CallRecent {
                dependency: dependency()?,
            },
            "call-limit" => Metric::CallLimit {
                dependency: dependency()?,
            },
            "call-failures" => Metric::CallFailures {
                dependency: dependency()?,
            },
            "run-below" => Metric::RunBelow {
                dependency: dependency()?,
                operation: called()?,
            },
            "callers-again" => Metric::CallersAgain,
            "callers-back" => Metric::CallersBack,
            _ => return None,
        };
        (subject.names() == (server, operation)).then_some(subject)
    }
}

/// How a teacher stood when it told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SourceStatus {
    #[default]
    Steady,
    /// Cold, its breaker open, or taken back a moment ago: what it sees is its own recovery.
    Recovering,
    /// It knows what it was told itself, and little of its own.
    JustTaught,
    Leaving,
}

impl SourceStatus {
    /// In one word, as it stands on the wire and in reports.
    pub fn name(self) -> &'static str {
        match self {
            SourceStatus::Steady => "steady",
            SourceStatus::Recovering => "recovering",
            SourceStatus::JustTaught => "just-taught",
            SourceStatus::Leaving => "leaving",
        }
    }

    pub fn of(name: &str) -> Option<SourceStatus> {
        let all = [
            SourceStatus::Steady,
            SourceStatus::Recovering,
            SourceStatus::JustTaught,
            SourceStatus::Leaving,
        ];
        all.into_iter().find(|one| one.name() == name)
    }

    /// How much of the weight of a figure of this subject counts. Leaving says nothing of what was seen before; that calls
    /// fail is seen at first hand by who recovers from it.
    pub fn trust(self, subject: &Metric) -> f64 {
        match self {
            SourceStatus::Steady | SourceStatus::Leaving => 1.0,
            SourceStatus::Recovering if matches!(subject, Metric::CallFailures { .. }) => 1.0,
            SourceStatus::Recovering => 0.25,
            SourceStatus::JustTaught => 0.1,
        }
    }
}

/// A figure as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    pub value: f64,
    pub count: u32,
    /// When it was seen, by the reader's clock.
    pub seen: f64,
    /// The origin's own number of it: each look of an origin has another, later ones higher ones.
    pub number: u64,
    /// Over how many others it came: 0 is seen here.
    pub hops: u8,
    pub standing: SourceStatus,
}

/// A figure as it passes between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipedObservation {
    pub subject: Metric,
    pub origin: Source,
    pub value: f64,
    pub count: u32,
    /// Seconds since it was seen, by the clocks of all that it came over.
    pub age: f64,
    pub number: u64,
    pub hops: u8,
    pub standing: SourceStatus,
}

/// Why a told figure is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InvalidObservation {
    /// No number, or one that such a figure can't have.
    Value,
    /// In the future, no number, or older than anything that is kept.
    Age,
    /// From nothing, or from more than any instance has seen.
    Count,
    /// Over more hops than figures are passed on.
    Hops,
    /// This instance's own, on its way back.
    Echo,
    /// A name that is empty or too long.
    Name,
}

/// Nothing older counts for anything: several half-lives of the longest.
pub const MAX_AGE_SECONDS: f64 = 3600.0;
/// Figures are passed on once: who has seen it tells, who was told may tell once more.
pub const MAX_HOPS: u8 = 2;
const COUNT_MOST: u32 = 1_000_000;
const NAME_MOST: usize = 64;

impl GossipedObservation {
    /// Whether it can be true at all.
    pub fn check(&self, own: &Source) -> Result<(), InvalidObservation> {
        let name = |name: &str| !name.is_empty() && name.len() <= NAME_MOST;
        if !self.subject.can_be(self.value) {
            Err(InvalidObservation::Value)
        } else if !self.age.is_finite() || !(0.0..=MAX_AGE_SECONDS).contains(&self.age) {
            Err(InvalidObservation::Age)
        } else if self.count == 0 || self.count > COUNT_MOST {
            Err(InvalidObservation::Count)
        } else if self.hops == 0 || self.hops > MAX_HOPS {
            Err(InvalidObservation::Hops)
        } else if self.origin == *own {
            Err(InvalidObservation::Echo)
        } else if !name(&self.origin.name)
            || ![self.subject.names().0, self.subject.names().1]
                .into_iter()
                .flatten()
                .all(name)
        {
            Err(InvalidObservation::Name)
        } else {
            Ok(())
        }
    }
}
