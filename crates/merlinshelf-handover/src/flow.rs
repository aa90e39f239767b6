//! One connection's bytes: what was taken from it and given to it, held against what the kernel counted.

use serde::{Deserialize, Serialize};

/// How far one connection has come, by the process that serves it. Counts are bytes since the connection stood.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Flow {
    /// Taken into account, those still in `coming` among them.
    pub taken: u64,
    /// Handed to the kernel.
    pub given: u64,
    /// Taken, and not made anything of yet.
    #[serde(with = "serde_bytes")]
    pub coming: Vec<u8>,
    /// Still to be handed to the kernel.
    #[serde(with = "serde_bytes")]
    pub going: Vec<u8>,
}

/// What the kernel says of a connection at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kernel {
    /// Bytes that came in order (`tcpi_bytes_received`), and of those what nobody has read (`SIOCINQ`).
    pub received: u64,
    pub unread: u64,
    /// The far end has ended its direction, which is counted as one byte more.
    pub ended: bool,
    /// Bytes that the far end has acknowledged (`tcpi_bytes_acked`), and what was given and not acknowledged yet
    /// (`SIOCOUTQ`).
    pub acknowledged: u64,
    pub unacknowledged: u64,
    /// This side has opened the connection, whose opening is counted as one byte more.
    pub opened_here: bool,
}

/// What is left to do for a connection once both agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reconciliation {
    /// Bytes at the front of what the kernel holds that were taken into account already.
    pub discard: usize,
    /// Bytes of `going` that the kernel had been given.
    pub given: usize,
}

/// The two don't belong together: the connection can't be gone on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteCountMismatch {
    /// The kernel handed out bytes that were never noted.
    Lost(u64),
    /// More was noted than can still lie in the kernel.
    Ahead(u64),
    /// The kernel was given bytes that were never noted.
    Unknown(u64),
    /// It was given less than noted.
    Behind(u64),
}

impl Flow {
    /// Settles what a process that died may have done after its last note: it noted what it saw before it took it out
    /// of the kernel, and what it was about to write before it wrote.
    pub fn settle(&mut self, kernel: Kernel) -> Result<Reconciliation, ByteCountMismatch> {
        let handed_out = kernel
            .received
            .saturating_sub(kernel.unread + u64::from(kernel.ended));
        let discard = match self.taken.checked_sub(handed_out) {
            None => return Err(ByteCountMismatch::Lost(handed_out - self.taken)),
            Some(ahead) if ahead > kernel.unread => {
                return Err(ByteCountMismatch::Ahead(ahead - kernel.unread));
            }
            Some(ahead) => ahead as usize,
        };
        let given = (kernel.acknowledged + kernel.unacknowledged)
            .saturating_sub(u64::from(kernel.opened_here));
        let more = match given.checked_sub(self.given) {
            None => return Err(ByteCountMismatch::Behind(self.given - given)),
            Some(more) if more > self.going.len() as u64 => {
                return Err(ByteCountMismatch::Unknown(more - self.going.len() as u64));
            }
            Some(more) => more as usize,
        };
        self.going.drain(..more);
        self.given = given;
        Ok(Reconciliation {
            discard,
            given: more,
        })
    }
}
