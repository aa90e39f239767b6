//! The policy document: operators write it in JSON5, and it is validated against a schema.
//!
//! The field names are the keys that operators write. They must not change, even where the code
//! uses another term: they occur in stored documents, and error messages print them. The comments
//! on the fields are the descriptions in `deploy/policy.schema.json`.

use std::collections::BTreeMap;

use garde::Validate;
use merlinshelf_quota::{Budgets, CallKind, budget};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::validation::{
    validate_budgets, validate_non_negative, validate_positive, validate_ratio,
    validate_tenant_fractions, validate_time_fractions,
};

/// The maximum length of a document, in bytes of its text.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024;
/// The maximum length of a note, in bytes.
const MAX_NOTE_BYTES: usize = 200;
/// The maximum number of operations, of dependencies and of budgeted dependencies in a policy.
const MAX_NAMES: usize = 64;

/// Settings that can change without a restart. A setting that is absent keeps the value from each
/// instance's configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "A policy of merlinshelf")]
pub struct Policy {
    /// The purpose of the policy, shown in the history.
    #[garde(length(max = MAX_NOTE_BYTES))]
    #[schemars(length(max = MAX_NOTE_BYTES))]
    pub note: String,
    /// The policies of operations, by the operation's name in the platform's settings.
    #[garde(dive, length(max = MAX_NAMES))]
    pub operations: BTreeMap<String, OperationPolicy>,
    /// Each tenant's fraction of the sum of all quotas, 0 to 1, by the tenant's name or number. The
    /// fractions add up to at most 1.
    #[garde(custom(validate_tenant_fractions))]
    pub tenants: BTreeMap<String, f64>,
    /// The maximum mean number of downstream calls that one instance may have in flight.
    #[garde(inner(custom(validate_positive)))]
    pub call_share: Option<f64>,
    /// The policies of dependencies, by the dependency's name in the operators' file.
    #[garde(dive, length(max = MAX_NAMES))]
    pub dependencies: BTreeMap<String, DependencyPolicy>,
    /// Budgets in calls per second of the whole fleet, by the dependency's name in the operators'
    /// file, or `catalogue` for the platform's dependency. `again`: retries and hedged requests;
    /// `probes`: calls while the dependency is Failing; `first`: first attempts while it is
    /// Recovering; `opened`: new connections. `callers` has only `opened`: connections accepted
    /// from callers. In the base policy, the budgets are the reserve of each host, which it may
    /// spend without contact to other hosts.
    #[garde(custom(validate_budgets), length(max = MAX_NAMES))]
    #[schemars(schema_with = "budgets_schema")]
    // Versions without support for budgets reject unknown fields. Omitting an empty map lets them
    // read policies that have no budgets.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub budgets: Budgets,
}

impl Policy {
    /// The JSON schema of the document.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Policy)
    }
}

/// The policy of one operation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct OperationPolicy {
    /// `false` rejects all invocations of the operation.
    #[garde(skip)]
    pub admit: Option<bool>,
    /// The latency objective, in milliseconds.
    #[garde(inner(custom(validate_positive)))]
    pub aim_ms: Option<f64>,
    /// The billed value of a response, used as the priority weight.
    #[garde(inner(custom(validate_non_negative)))]
    pub worth: Option<f64>,
    /// The fraction of the billed value that a response later than the objective retains, 0 to 1.
    #[garde(inner(custom(validate_ratio)))]
    pub late: Option<f64>,
    /// The fraction of the caller's time that calls to a dependency may take, above 0 and up to 1,
    /// by the dependency's name.
    #[garde(custom(validate_time_fractions))]
    pub calls: BTreeMap<String, f64>,
}

/// The policy of one dependency.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct DependencyPolicy {
    /// The maximum fraction of the servers that may be ejected at the same time, 0 to 1.
    #[garde(inner(custom(validate_ratio)))]
    pub out_most: Option<f64>,
    /// The number of servers that one instance uses.
    #[garde(inner(range(min = 1)))]
    pub subset: Option<usize>,
}

fn budgets_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
    let calls_per_second = schemars::json_schema!({
        "type": "integer",
        "minimum": 1,
        "maximum": budget::MAX_CALLS_PER_SECOND
    });
    let kinds: serde_json::Map<String, serde_json::Value> = CallKind::ALL
        .iter()
        .map(|kind| (kind.name().to_owned(), calls_per_second.clone().into()))
        .collect();
    schemars::json_schema!({
        "type": "object",
        "maxProperties": MAX_NAMES,
        "additionalProperties": {
            "type": "object",
            "additionalProperties": false,
            "properties": kinds
        }
    })
}
