//! Heartbeats to the host's instances: they carry leases and quota. The responses carry quota
//! requests and the status of the instances.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use log::error;
use merlinshelf_policy::{Heartbeat, InstanceStatus};
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::PolicyAgent;
use crate::control_client::ControlClient;

/// A healthy instance answers in a fraction of this time.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// The answer of an instance whose version does not support policies.
const UNKNOWN_REQUEST: &str = "unreadable question";

/// Why an instance did not accept a heartbeat.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HeartbeatError {
    /// There was no answer in time.
    #[error("no answer")]
    Unreachable,
    /// It answered that it can't follow policies, or its answer is not a heartbeat response.
    #[error("{reason}")]
    Rejected { reason: String },
}

/// The result of a heartbeat to an instance.
pub(crate) struct HeartbeatResult {
    instance: String,
    result: Result<InstanceStatus, HeartbeatError>,
}

/// An instance's counters since its service began.
#[derive(Clone, Copy)]
pub(super) struct ServiceCounts {
    invocations: u64,
    succeeded: u64,
}

impl PolicyAgent {
    /// Sends the heartbeats that are due, each from a separate task.
    pub(super) fn send_heartbeats(&mut self, now: f64, instances: &BTreeMap<String, PathBuf>) {
        while let Some((instance, mut heartbeat)) = self.lease_manager.poll_heartbeat(now) {
            heartbeat.quota_grants = self.quota.allocator.take_grants(now, &instance);
            let Some(control) = instances.get(&instance).cloned() else {
                continue;
            };
            let results = self.heartbeat_sender.clone();
            spawn_local(async move {
                let result = send_heartbeat(&control, &heartbeat).await;
                let _ = results.send(HeartbeatResult { instance, result });
            });
        }
    }

    pub(super) fn handle_heartbeat_result(&mut self, now: f64, answer: HeartbeatResult) {
        let HeartbeatResult { instance, result } = answer;
        match result {
            Ok(mut status) => {
                if let Some(requests) = status.quota_requests.take()
                    && self
                        .quota
                        .allocator
                        .handle_request(now, &instance, requests)
                {
                    self.lease_manager.expedite_request();
                }
                self.lease_manager.instance_responded(&instance, status);
            }
            Err(HeartbeatError::Unreachable) => {
                self.lease_manager.instance_unreachable(&instance, None);
            }
            Err(HeartbeatError::Rejected { reason }) => {
                self.lease_manager
                    .instance_unreachable(&instance, Some(reason));
            }
        }
    }

    /// Records an instance's counters, which are observed after a change. Counters that decrease
    /// belong to another process.
    pub fn record_service_counts(&mut self, instance: &str, invocations: u64, succeeded: u64) {
        let counts = ServiceCounts {
            invocations,
            succeeded,
        };
        let Some(before) = self.service_counts.insert(instance.to_owned(), counts) else {
            return;
        };
        if before.invocations <= invocations && before.succeeded <= succeeded {
            self.lease_manager
                .add_service_counts(merlinshelf_policy::ServiceCounts {
                    invocations: invocations - before.invocations,
                    succeeded: succeeded - before.succeeded,
                });
        }
    }
}

async fn send_heartbeat(
    control: &Path,
    heartbeat: &Heartbeat,
) -> Result<InstanceStatus, HeartbeatError> {
    let body = serde_json::to_value(heartbeat).map_err(|error| {
        error!(error:% = error; "heartbeat not encoded: {error}");
        HeartbeatError::Unreachable
    })?;
    match timeout(HEARTBEAT_TIMEOUT, exchange(control, &body)).await {
        Ok(Ok((ControlMessage::Done, status))) => {
            serde_json::from_value(status).map_err(|error| HeartbeatError::Rejected {
                reason: error.to_string(),
            })
        }
        Ok(Ok((_, report))) => Err(HeartbeatError::Rejected {
            reason: rejection_reason(&report),
        }),
        Ok(Err(_)) | Err(_) => Err(HeartbeatError::Unreachable),
    }
}

async fn exchange(control: &Path, body: &Value) -> std::io::Result<(ControlMessage, Value)> {
    ControlClient::request(control, ControlRequest::Policy, body, HEARTBEAT_TIMEOUT)
        .await?
        .next_reply()
        .await
}

fn rejection_reason(report: &Value) -> String {
    match report["text"].as_str() {
        Some(UNKNOWN_REQUEST) => "it knows no policies".to_owned(),
        Some(text) => text.to_owned(),
        None => "it refuses".to_owned(),
    }
}
