//! The messages between a predecessor and its successor. Each is one datagram in MessagePack, with
//! fields encoded by name.
//!
//! Different versions of the program exchange them: names in `#[serde(rename = "...")]` are part of
//! the wire format and must not change.

use serde::{Deserialize, Serialize};

/// The supported format versions of the image and of these messages. A successor advertises the
/// versions that it can decode, and the predecessor selects the highest common one.
pub const SUPPORTED_FORMATS: &[u32] = &[1];

/// Selects the highest format version that a peer with `peer_formats` supports too; `None` if there
/// is no common version.
pub fn select_format(peer_formats: &[u32]) -> Option<u32> {
    SUPPORTED_FORMATS
        .iter()
        .copied()
        .filter(|version| peer_formats.contains(version))
        .max()
}

/// What an attached descriptor refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// The file that contains the image.
    Image,
    /// The file in which the successor records its changes during probation.
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

/// A message of either process. The documentation of each variant begins with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Successor: the first message, sent once its configuration is read.
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
    /// Successor: its settings are valid, and it can take over at once.
    Ready,
    /// Successor: everything that was transferred has been restored and can be continued.
    #[serde(rename = "Taken")]
    Restored,
    /// Successor: it opened or accepted a connection, whose descriptor is attached. Sent before any
    /// byte is transferred on the connection.
    #[serde(rename = "Opened")]
    ConnectionOpened {
        /// What the attached descriptor is.
        role: Role,
    },
    /// Successor: its main loop is running.
    #[serde(rename = "Beat")]
    Heartbeat,
    /// Successor: it has served for the whole probation.
    #[serde(rename = "Steady")]
    ProbationCompleted,
    /// Successor: it was notified to shut down.
    #[serde(rename = "Leaves")]
    Draining {
        /// Time by which its process must have exited.
        #[serde(rename = "stop")]
        deadline: MonotonicSeconds,
    },
    /// Successor: the predecessor has not released it in time or does not read its journal. The
    /// successor continues alone and stops recording.
    #[serde(rename = "Unwatched")]
    Detached,
    /// Predecessor: the format version that is used from now on.
    #[serde(rename = "Form")]
    FormatSelected {
        /// One of the versions that the successor advertised.
        #[serde(rename = "form")]
        version: u32,
    },
    /// Predecessor: descriptors are attached.
    #[serde(rename = "Pass")]
    Descriptors {
        /// Their roles, in the order of attachment.
        roles: Vec<Role>,
    },
    /// Predecessor: all descriptors were sent.
    #[serde(rename = "Passed")]
    TransferCompleted {
        /// Total number of descriptors.
        count: usize,
    },
    /// Predecessor: the successor owns everything from now on.
    #[serde(rename = "Go")]
    Activate,
    /// Predecessor: the probation is over, and recording can stop.
    Released,
    /// Predecessor: it was notified to shut down, and the successor is to drain in its place.
    #[serde(rename = "Leave")]
    Drain {
        /// Time by which the process must have exited.
        #[serde(rename = "stop")]
        deadline: MonotonicSeconds,
    },
    /// Predecessor: SIGHUP arrived, and the successor is to reload its configuration.
    Reload,
}
