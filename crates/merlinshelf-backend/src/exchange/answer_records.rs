//! Conversion of answers to and from records of the handover image.

use merlinshelf_handover::records;
use serde_bytes::ByteBuf;

use super::Answer;

impl Answer {
    pub(super) fn record(&self) -> records::Answer {
        match self {
            Answer::Succeeded(result) => records::Answer::Succeeded(ByteBuf::from(result.as_ref())),
            Answer::Partial(result, missing) => {
                records::Answer::Partial(ByteBuf::from(result.as_ref()), missing.to_string())
            }
            Answer::Rejected {
                retry_after_seconds,
                no_failover,
            } => records::Answer::Throttled {
                retry_after_seconds: *retry_after_seconds,
                forbids_failover: *no_failover,
            },
            Answer::Failed => records::Answer::Errored,
            Answer::Unknown => records::Answer::Unknown,
        }
    }
}

impl From<records::Answer> for Answer {
    fn from(record: records::Answer) -> Answer {
        match record {
            records::Answer::Succeeded(result) => Answer::Succeeded(result.as_slice().into()),
            records::Answer::Partial(result, missing) => {
                Answer::Partial(result.as_slice().into(), missing.into())
            }
            records::Answer::Throttled {
                retry_after_seconds,
                forbids_failover,
            } => Answer::Rejected {
                retry_after_seconds,
                no_failover: forbids_failover,
            },
            records::Answer::Errored => Answer::Failed,
            records::Answer::Unknown => Answer::Unknown,
        }
    }
}
