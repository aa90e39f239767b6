//! What the old process and its successor say to each other, one word a datagram.

use serde::{Deserialize, Serialize};

/// The forms of the image and of these words that this program speaks. A successor names those it can read; the
/// highest that both know is used.
pub const SUPPORTED_FORMATS: &[u32] = &[1];

/// The form to use with one who speaks these, if there is one.
pub fn form(theirs: &[u32]) -> Option<u32> {
    SUPPORTED_FORMATS
        .iter()
        .copied()
        .filter(|form| theirs.contains(form))
        .max()
}

/// What a descriptor is that comes with a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// The image, and the file into which the successor notes all changes.
    Image,
    Journal,
    Listener,
    Control,
    /// A connection by its number.
    #[serde(rename = "Edge")]
    ClientConnection(u64),
    #[serde(rename = "Line")]
    DownstreamConnection(u64),
    #[serde(rename = "Link")]
    EngineConnection(u64),
}

/// A moment on the monotonic clock of the machine, in seconds.
pub type Moment = f64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    // from the successor
    /// The first word: the forms it speaks, its version.
    Hello { forms: Vec<u32>, program: String },
    /// It can't take over, and why.
    Refuse { why: String },
    /// Configuration read, settings usable: it can take over at once.
    Ready,
    /// All that was passed has come and can be gone on with.
    Taken,
    /// It has opened or taken in a connection, whose descriptor comes with this word, before anything passed on it.
    Opened { role: Role },
    /// Its main loop turns.
    Beat,
    /// It has served for as long as it was to be watched.
    Steady,
    /// It was told to leave and must be gone by then.
    Leaves { stop: Moment },
    /// Nobody has released it for far too long, or its notes are not read: it goes on alone and notes nothing any
    /// more.
    Unwatched,
    // from the old process
    /// The form that is used from here on.
    Form { form: u32 },
    /// Descriptors come with this word.
    Pass { roles: Vec<Role> },
    /// Nothing more to pass: so many descriptors in all.
    Passed { count: usize },
    /// From here on the successor owns all.
    Go,
    /// It is no longer watched, and notes nothing any more.
    Released,
    /// The notice to leave came to the old process.
    Leave { stop: Moment },
    /// SIGHUP came to the old process.
    Reload,
}
