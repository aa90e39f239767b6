//! What instances, agents and the agent that leads say to each other. Times are seconds of the sender's own clock, which
//! only goes forward; nothing is compared with another's clock.

use serde::{Deserialize, Serialize};

use merlinshelf_quota::{QuotaGrantBatch, QuotaRequestBatch};

use crate::document::Policy;

/// From an agent to one of its instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Beat {
    /// The life of the process that it is meant for, as that process last said; 0 where none is known yet. Another one
    /// takes nothing from it.
    pub life: u64,
    /// A document to be checked and kept, with its number.
    pub offer: Option<(u64, Policy)>,
    /// Nothing up to this number is to be acted on any more.
    pub fence: u64,
    pub grant: Option<Grant>,
    /// The answer to what the instance asked of budgets.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub given: Option<QuotaGrantBatch>,
}

/// A lease for an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    pub number: u64,
    /// The moment of the instance's clock that it last told; the lease counts from there.
    pub asked: f64,
    pub for_s: f64,
}

/// From an instance to its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Said {
    /// A number that no other process of the instance has.
    pub life: u64,
    /// Its clock.
    pub asked: f64,
    /// It acts on nothing up to this number, and never will.
    pub fenced: u64,
    /// Numbers whose documents it has and can use.
    pub knows: Vec<u64>,
    /// One that it can't use, and why.
    pub unfit: Option<(u64, String)>,
    /// What it acts on now; 0 is the base policy, none is turning away.
    pub acts: Option<u64>,
    pub left_s: f64,
    /// The fingerprint of its base policy.
    pub base: u64,
    /// What it asks of budgets; none where it knows none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wishes: Option<QuotaRequestBatch>,
}

/// From an agent to the one that leads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostAsk {
    pub host: String,
    /// A number that no other process of the agent has.
    pub life: u64,
    /// Which question it is; the lease counts from when it was sent.
    pub token: u64,
    /// Nothing on this host acts on a number up to this one.
    pub fenced: u64,
    pub prepared: Option<Prepared>,
    /// Invocations and how many of them succeeded, of all instances, since they were first seen.
    pub service: (u64, u64),
    /// What it asks of budgets.
    pub wishes: Option<QuotaRequestBatch>,
}

/// What the instances of a host say to a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Prepared {
    pub number: u64,
    /// Who can use it, and who did not answer in time.
    pub ready: u32,
    pub silent: u32,
    /// Who can't, and why.
    pub unfit: Vec<(String, String)>,
}

/// From the agent that leads to another one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostWord {
    pub life: u64,
    pub token: u64,
    /// A lease on this number, as long as is agreed for the installation.
    pub granted: u64,
    /// The answer to what this question asked of budgets.
    pub given: Option<QuotaGrantBatch>,
}
