//! The status report on the control socket. Operators' tools read its field names, which must not
//! change.

use serde_json::{Value, json};

use super::{Process, VERSION};
use crate::counters::ResourceUsage;
use crate::exchange::Exchange;
use crate::gossip::Gossip;

impl Process {
    /// The current report.
    pub(super) fn status(&self) -> Value {
        let usage = ResourceUsage::now();
        let instance = self.instance.as_ref();
        let exchange = instance.map(|instance| instance.exchange.borrow());
        let exchange = exchange.as_deref();
        let successor = self.successor.as_ref();
        json!({
            "name": self.config.name,
            "version": VERSION,
            "process": std::process::id(),
            "state": self.state_name(),
            "predecessor": successor.map(|role| role.predecessor_id),
            "up_ms": self.started_at.elapsed().as_millis() as u64,
            "healthy": exchange.map(Exchange::is_healthy),
            "in_hand": exchange.map(Exchange::in_flight),
            "connections": exchange.map(Exchange::open_connections),
            "run_ms": exchange.and_then(Exchange::run_ms),
            "memory_kb": usage.memory_kb,
            "descriptors": usage.descriptors,
            "learning": self.gossip.as_ref().map(Gossip::status),
            "dependencies": self.routing.as_ref().map(|routing| routing.borrow().report()),
            "policy": exchange.and_then(policy_status),
            "budgets": exchange.and_then(Exchange::quota_report),
            "counters": exchange.map(|exchange| exchange.counters.by_name()),
        })
    }

    fn state_name(&self) -> &'static str {
        match &self.successor {
            Some(role) if role.state.is_recording() => "watched",
            _ if self.drain.is_some() => "leaving",
            _ if self.startup_wait.is_some() => "waiting",
            _ => self.predecessor.state.state_name(),
        }
    }
}

fn policy_status(exchange: &Exchange) -> Option<Value> {
    let status = exchange.policy_status()?;
    Some(json!({
        "acts": status.effective_version,
        "left_s": status.lease_remaining_seconds,
        "fenced": status.fenced_version,
        "knows": status.known_versions,
        "unfit": status.rejected_version,
        "base": format!("{:016x}", status.base_fingerprint),
    }))
}
