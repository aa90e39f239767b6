//! Byte counts of one connection: the counts recorded by the process that serves it are reconciled
//! with those of the kernel.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Byte counts and buffers of one connection, as recorded by the process that serves it. Counts are
/// bytes since the connection was established. Names in `#[serde(rename = "...")]` are part of the
/// stored format and must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Flow {
    /// Bytes that were read, including those still in `read_buffer`.
    #[serde(rename = "taken")]
    pub read_bytes: u64,
    /// Bytes that were written to the kernel.
    #[serde(rename = "given")]
    pub written_bytes: u64,
    /// Bytes that were read and not processed yet.
    #[serde(with = "serde_bytes", rename = "coming")]
    pub read_buffer: Vec<u8>,
    /// Bytes that were not written to the kernel yet.
    #[serde(with = "serde_bytes", rename = "going")]
    pub write_buffer: Vec<u8>,
}

/// The kernel's byte counts of a connection at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KernelByteCounts {
    /// Bytes received in order (`tcpi_bytes_received`).
    pub received_bytes: u64,
    /// Of these, bytes that were not read yet (`SIOCINQ`).
    pub unread_bytes: u64,
    /// The peer has closed its direction, which `received_bytes` counts as one additional byte.
    pub is_closed_by_peer: bool,
    /// Bytes that the peer has acknowledged (`tcpi_bytes_acked`).
    pub acknowledged_bytes: u64,
    /// Bytes written and not acknowledged yet (`SIOCOUTQ`).
    pub unacknowledged_bytes: u64,
    /// This side has opened the connection, which `acknowledged_bytes` counts as one additional
    /// byte.
    pub is_opened_locally: bool,
}

impl KernelByteCounts {
    /// Bytes that were read out of the kernel.
    fn read_bytes(&self) -> u64 {
        let unread = self.unread_bytes + u64::from(self.is_closed_by_peer);
        self.received_bytes.saturating_sub(unread)
    }

    /// Bytes that were written into the kernel.
    fn written_bytes(&self) -> u64 {
        let written = self.acknowledged_bytes + self.unacknowledged_bytes;
        written.saturating_sub(u64::from(self.is_opened_locally))
    }
}

/// Corrections to apply before a connection is continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reconciliation {
    /// Bytes at the front of the kernel's receive buffer that were recorded as read already.
    pub discard_bytes: usize,
    /// Bytes of the recorded `write_buffer` that were already written to the kernel.
    pub written_bytes: usize,
}

/// The recorded counts contradict the kernel's: the connection can't be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ByteCountMismatch {
    /// More was read from the kernel than recorded, by this number of bytes.
    #[error("{0} bytes were read and never recorded")]
    UnrecordedRead(u64),
    /// More was recorded as read than the kernel has received, by this number of bytes.
    #[error("{0} bytes were recorded as read that the kernel has not received")]
    RecordedReadMissing(u64),
    /// More was written to the kernel than recorded, by this number of bytes.
    #[error("{0} bytes were written and never recorded")]
    UnrecordedWrite(u64),
    /// Less was written to the kernel than recorded, by this number of bytes.
    #[error("{0} bytes were recorded as written that the kernel does not have")]
    RecordedWriteMissing(u64),
}

impl Flow {
    /// Accounts for reads and writes that a process may have made between its last record and its
    /// death. It records received bytes before it reads them from the kernel, and outgoing bytes
    /// before it writes them.
    ///
    /// # Errors
    /// The counts can't belong to the same connection; the flow is left unchanged.
    pub fn reconcile(
        &mut self,
        kernel: KernelByteCounts,
    ) -> Result<Reconciliation, ByteCountMismatch> {
        let discard_bytes = self.bytes_to_discard(kernel)?;
        let written_bytes = self.bytes_written_since(kernel)?;
        self.write_buffer.drain(..written_bytes);
        self.written_bytes = kernel.written_bytes();
        Ok(Reconciliation {
            discard_bytes,
            written_bytes,
        })
    }

    /// Bytes that were recorded as read and are still in the kernel's receive buffer.
    fn bytes_to_discard(&self, kernel: KernelByteCounts) -> Result<usize, ByteCountMismatch> {
        let read_from_kernel = kernel.read_bytes();
        let Some(ahead) = self.read_bytes.checked_sub(read_from_kernel) else {
            let unrecorded = read_from_kernel - self.read_bytes;
            return Err(ByteCountMismatch::UnrecordedRead(unrecorded));
        };
        if ahead > kernel.unread_bytes {
            let missing = ahead - kernel.unread_bytes;
            return Err(ByteCountMismatch::RecordedReadMissing(missing));
        }
        Ok(ahead as usize)
    }

    /// Bytes of the write buffer that were written after the last record.
    fn bytes_written_since(&self, kernel: KernelByteCounts) -> Result<usize, ByteCountMismatch> {
        let written_to_kernel = kernel.written_bytes();
        let Some(ahead) = written_to_kernel.checked_sub(self.written_bytes) else {
            let missing = self.written_bytes - written_to_kernel;
            return Err(ByteCountMismatch::RecordedWriteMissing(missing));
        };
        let buffered = self.write_buffer.len() as u64;
        if ahead > buffered {
            return Err(ByteCountMismatch::UnrecordedWrite(ahead - buffered));
        }
        Ok(ahead as usize)
    }
}
