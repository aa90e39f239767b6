//! The messages between a predecessor and its successor, one a datagram of MessagePack written by
//! field name.
//!
//! Two versions of the program exchange them: names in `#[serde(rename = "...")]` are those on the
//! wire and stay.

use serde::{Deserialize, Serialize};

/// The format versions of the image and of these messages that this program supports. A successor
/// advertises those that it can decode; the highest that both support is selected.
pub const SUPPORTED_FORMATS: &[u32] = &[1];

/// Selects the format version to use with a process that supports `peer_formats`; `None` without a
/// common one.
pub fn select_format(peer_formats: &[u32]) -> Option<u32> {
    SUPPORTED_FORMATS
        .iter()
        .copied()
        .filter(|version| peer_formats.contains(version))
        .max()
}

/// What a descriptor is that is attached to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// The file that contains the image.
    Image,
    /// The file into which the successor records its changes during probation.
    Journal,
    /// The listening socket for client connections.
    Listener,
    /// The control socket.
    Control,
    /// The connection of an edge node, by its stream number.
    #[serde(rename = "Edge")]
    ClientConnection(u64),
    /// A connection to the catalogue or a dependency, by its stream number.
    #[serde(rename = "Line")]
    DownstreamConnection(u64),
    /// The connection to the engine, by its stream number.
    #[serde(rename = "Link")]
    EngineConnection(u64),
}

/// A point in time on the machine's monotonic clock, in seconds. Both processes read the same
/// clock.
pub type MonotonicSeconds = f64;

/// A message of either process. Each variant says who sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Successor: the first message, once its configuration is read.
    Hello {
        /// The format versions that it supports.
        #[serde(rename = "forms")]
        format_versions: Vec<u32>,
        /// Its program and version, as text for the log.
        program: String,
    },
    /// Successor: it can't take over.
    #[serde(rename = "Refuse")]
    Declined {
        /// Why, as text for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Successor: its settings are usable, it can take over at once.
    Ready,
    /// Successor: everything that was transferred has been restored and can be continued.
    #[serde(rename = "Taken")]
    Restored,
    /// Successor: it opened or accepted a connection, whose descriptor is attached. Sent before a
    /// byte passes on it.
    #[serde(rename = "Opened")]
    ConnectionOpened {
        /// What the attached descriptor is.
        role: Role,
    },
    /// Successor: its main loop turns.
    #[serde(rename = "Beat")]
    Heartbeat,
    /// Successor: it has served for the whole probation.
    #[serde(rename = "Steady")]
    ProbationCompleted,
    /// Successor: it was notified to shut down.
    #[serde(rename = "Leaves")]
    Draining {
        /// When its process must have exited.
        #[serde(rename = "stop")]
        deadline: MonotonicSeconds,
    },
    /// Successor: the predecessor has not released it in time or does not read its journal. It
    /// continues alone and records nothing any more.
    #[serde(rename = "Unwatched")]
    Detached,
    /// Predecessor: the format that is used from here on.
    #[serde(rename = "Form")]
    FormatSelected {
        /// One of the versions that the successor advertised.
        #[serde(rename = "form")]
        version: u32,
    },
    /// Predecessor: descriptors are attached.
    #[serde(rename = "Pass")]
    Descriptors {
        /// What they are, in the order in which they are attached.
        roles: Vec<Role>,
    },
    /// Predecessor: all descriptors were sent.
    #[serde(rename = "Passed")]
    TransferCompleted {
        /// How many descriptors in all.
        count: usize,
    },
    /// Predecessor: from here on the successor owns everything.
    #[serde(rename = "Go")]
    Activate,
    /// Predecessor: the probation is over, nothing needs to be recorded any more.
    Released,
    /// Predecessor: it was notified to shut down, and the successor is to drain in its place.
    #[serde(rename = "Leave")]
    Drain {
        /// When the process must have exited.
        #[serde(rename = "stop")]
        deadline: MonotonicSeconds,
    },
    /// Predecessor: SIGHUP arrived, and the successor is to reload its configuration.
    Reload,
}
