//! Encoding of stored and sent data, and its decoding errors.

use protobuf::Message as ProtobufMessage;
use serde::Serialize;

/// Bytes that can't be decoded. Since their checksum was correct, another version of the program
/// wrote them; this version skips them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// An entry in the log file.
    #[error("an entry of the log file can't be decoded: {reason}")]
    Entry {
        /// What the decoder reported.
        reason: String,
    },
    /// A snapshot in the log file.
    #[error("a snapshot of the log file can't be decoded: {reason}")]
    Snapshot {
        /// What the decoder reported.
        reason: String,
    },
    /// Membership and state inside a snapshot.
    #[error("the payload of the snapshot at {index} can't be decoded: {reason}")]
    SnapshotPayload {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// What the decoder reported.
        reason: String,
    },
    /// A committed membership change.
    #[error("the membership change at {index} can't be decoded: {reason}")]
    MembershipChange {
        /// Index of the entry.
        index: u64,
        /// What the decoder reported.
        reason: String,
    },
    /// A raft message from another agent.
    #[error("a raft message from {peer} can't be decoded: {reason}")]
    RaftMessage {
        /// Name of the agent that sent it.
        peer: String,
        /// What the decoder reported.
        reason: String,
    },
}

/// Encodes a value as MessagePack with fields by position, the encoding of all data that this
/// package stores.
pub(crate) fn encode_messagepack(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data is encoded into memory without errors")
}

/// Encodes one of raft's protobuf structures.
pub(crate) fn encode_protobuf(value: &impl ProtobufMessage) -> Vec<u8> {
    value
        .write_to_bytes()
        .expect("raft's structures have no required fields")
}
