//! One connection's bytes: what was taken from it and given to it, held against what the kernel counted.

use serde::{Deserialize, Serialize};

/// How far one connection has come, by the process that serves it. Counts are bytes since the connection stood.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Flow {
    /// Taken into account, those still in `coming` among them.
    #[serde(rename = "taken")]
    pub read_bytes: u64,
    /// Handed to the kernel.
    #[serde(rename = "given")]
    pub written_bytes: u64,
    /// Taken, and not made anything of yet.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "coming")]
    pub read_buffer: Vec<u8>,
    /// Still to be handed to the kernel.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "going")]
    pub write_buffer: Vec<u8>,
}

/// What the kernel says of a connection at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KernelByteCounts {
    /// Bytes that came in order (`tcpi_bytes_received`), and of those what nobody has read (`SIOCINQ`).
    pub received_bytes: u64,
    pub unread_bytes: u64,
    /// The far end has ended its direction, which is counted as one byte more.
    pub is_closed_by_peer: bool,
    /// Bytes that the far end has acknowledged (`tcpi_bytes_acked`), and what was given and not acknowledged yet
    /// (`SIOCOUTQ`).
    pub acknowledged_bytes: u64,
    pub unacknowledged_bytes: u64,
    /// This side has opened the connection, whose opening is counted as one byte more.
    pub is_opened_locally: bool,
}

/// What is left to do for a connection once both agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reconciliation {
    /// Bytes at the front of what the kernel holds that were taken into account already.
    pub discard_bytes: usize,
    /// Bytes of `going` that the kernel had been given.
    pub written_bytes: usize,
}

/// The two don't belong together: the connection can't be gone on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteCountMismatch {
    /// The kernel handed out bytes that were never noted.
    UnrecordedRead(u64),
    /// More was noted than can still lie in the kernel.
    RecordedReadMissing(u64),
    /// The kernel was given bytes that were never noted.
    UnrecordedWrite(u64),
    /// It was given less than noted.
    RecordedWriteMissing(u64),
}

impl Flow {
    /// Settles what a process that died may have done after its last note: it noted what it saw before it took it out
    /// of the kernel, and what it was about to write before it wrote.
    pub fn reconcile(
        &mut self,
        kernel: KernelByteCounts,
    ) -> Result<Reconciliation, ByteCountMismatch> {
        let handed_out = kernel
            .received_bytes
            .saturating_sub(kernel.unread_bytes + u64::from(kernel.is_closed_by_peer));
        let discard = match self.read_bytes.checked_sub(handed_out) {
            None => {
                return Err(ByteCountMismatch::UnrecordedRead(
                    handed_out - self.read_bytes,
                ));
            }
            Some(ahead) if ahead > kernel.unread_bytes => {
                return Err(ByteCountMismatch::RecordedReadMissing(
                    ahead - kernel.unread_bytes,
                ));
            }
            Some(ahead) => ahead as usize,
        };
        let given = (kernel.acknowledged_bytes + kernel.unacknowledged_bytes)
            .saturating_sub(u64::from(kernel.is_opened_locally));
        let more = match given.checked_sub(self.written_bytes) {
            None => {
                return Err(ByteCountMismatch::RecordedWriteMissing(
                    self.written_bytes - given,
                ));
            }
            Some(more) if more > self.write_buffer.len() as u64 => {
                return Err(ByteCountMismatch::UnrecordedWrite(
                    more - self.write_buffer.len() as u64,
                ));
            }
            Some(more) => more as usize,
        };
        self.write_buffer.drain(..more);
        self.written_bytes = given;
        Ok(Reconciliation {
            discard_bytes: discard,
            written_bytes: more,
        })
    }
}
