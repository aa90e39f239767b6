//! The policy: a document in JSON5, held to a schema, and what becomes of an instance's settings under it.

use std::collections::BTreeMap;

use garde::Validate;
use merlinshelf_admission::Settings;
use merlinshelf_dependencies::Dependencies;
use merlinshelf_quota::{Budgets, CALLERS, CATALOGUE, CallKind, budget};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The longest document, in bytes of its text.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024;

/// What a service may change without a start. Whatever is not named stays as each instance's configuration has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "A policy of merlinshelf")]
pub struct Policy {
    /// What it is for, in the history.
    #[garde(length(max = 200))]
    #[schemars(length(max = 200))]
    pub note: String,
    /// By the operation's name in the platform's settings.
    #[garde(dive, length(max = 64))]
    pub operations: BTreeMap<String, OperationPolicy>,
    /// By the tenant's name, or its number: its part of the sum of all quotas, 0 to 1. All together are 1 at the most.
    #[garde(custom(shares))]
    pub tenants: BTreeMap<String, f64>,
    /// Calls below that one instance may have open, as a mean.
    #[garde(inner(custom(above_nothing)))]
    pub call_share: Option<f64>,
    /// By the dependency's name in the operators' file.
    #[garde(dive, length(max = 64))]
    pub dependencies: BTreeMap<String, DependencyPolicy>,
    /// By the dependency's name in the operators' file, or `catalogue` for the one below that the platform names: calls a second
    /// of the whole fleet. `again`: further attempts and second calls; `probes`: calls to it while it fails; `first`: first calls
    /// while it comes back; `opened`: connections opened anew; of `callers`, of whom it is the one kind: those that are
    /// taken in. In the base policy: what each host may spend that hears of
    /// nobody, set aside of what all have.
    #[garde(custom(can_be), length(max = 64))]
    #[schemars(schema_with = "of_budgets")]
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    // programs that know no budgets go on with policies that have none
    pub budgets: Budgets,
}

/// What holds for one operation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct OperationPolicy {
    /// `false` turns all of them away.
    #[garde(skip)]
    pub admit: Option<bool>,
    /// The latency objective, in milliseconds.
    #[garde(inner(custom(above_nothing)))]
    pub aim_ms: Option<f64>,
    /// The billed value.
    #[garde(inner(custom(not_under_nothing)))]
    pub worth: Option<f64>,
    /// The part of the billed value that an answer past the objective still has, 0 to 1.
    #[garde(inner(custom(part)))]
    pub late: Option<f64>,
    /// By the dependency's name: the part of the caller's time that calls to it may take, above 0 and up to 1.
    #[garde(custom(shares_of_time))]
    pub calls: BTreeMap<String, f64>,
}

/// What holds for one dependency.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct DependencyPolicy {
    /// The part of the servers that may be out at one time, 0 to 1.
    #[garde(inner(custom(part)))]
    pub out_most: Option<f64>,
    /// How many of the servers one instance uses.
    #[garde(inner(range(min = 1)))]
    pub subset: Option<usize>,
}

fn no(why: String) -> garde::Result {
    Err(garde::Error::new(why))
}

fn part(value: &f64, (): &()) -> garde::Result {
    if (0.0..=1.0).contains(value) {
        Ok(())
    } else {
        no(format!("{value} is not from 0 to 1"))
    }
}

fn above_nothing(value: &f64, (): &()) -> garde::Result {
    if value.is_finite() && *value > 0.0 {
        Ok(())
    } else {
        no(format!("{value} is no number above 0"))
    }
}

fn of_budgets(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
    let figure = schemars::json_schema!({ "type": "integer", "minimum": 1, "maximum": budget::MAX_CALLS_PER_SECOND });
    let figures: serde_json::Map<String, serde_json::Value> = CallKind::ALL
        .iter()
        .map(|kind| (kind.name().to_owned(), figure.clone().into()))
        .collect();
    schemars::json_schema!({
        "type": "object",
        "maxProperties": 64,
        "additionalProperties": { "type": "object", "additionalProperties": false, "properties": figures }
    })
}

fn can_be(budgets: &Budgets, (): &()) -> garde::Result {
    budget::validate(budgets).or_else(no)
}

fn not_under_nothing(value: &f64, (): &()) -> garde::Result {
    if value.is_finite() && *value >= 0.0 {
        Ok(())
    } else {
        no(format!("{value} is no number from 0 on"))
    }
}

fn shares(shares: &BTreeMap<String, f64>, (): &()) -> garde::Result {
    for (name, share) in shares {
        if !(0.0..=1.0).contains(share) {
            return no(format!("{name}: {share} is not from 0 to 1"));
        }
    }
    let sum: f64 = shares.values().sum();
    if sum > 1.0 + 1e-9 {
        no(format!("shares are {sum:.3} together, over 1"))
    } else {
        Ok(())
    }
}

fn shares_of_time(shares: &BTreeMap<String, f64>, (): &()) -> garde::Result {
    let wrong = |share: &f64| !(*share > 0.0 && *share <= 1.0);
    match shares.iter().find(|(_, share)| wrong(share)) {
        Some((name, share)) => no(format!("{name}: {share} is not above 0 and up to 1")),
        None => Ok(()),
    }
}

/// The last word of the names under `list.N.Name` with this name, or the number itself.
fn place(settings: &Settings, list: &str, name: &str) -> Option<usize> {
    let count = settings
        .get(&format!("{list}.count"))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let named = |place: &usize| {
        settings
            .get(&format!("{list}.{place}.Name"))
            .is_some_and(|own| own == name)
    };
    (0..count)
        .find(named)
        .or_else(|| name.parse().ok().filter(|place| *place < count))
}

impl Policy {
    /// The schema that a document is held to.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Policy)
    }

    /// An instance's settings under it: names and values as the module reads them.
    ///
    /// # Errors
    /// Everything that it names and the settings do not have.
    pub fn settings(&self, base: &Settings) -> Result<Settings, String> {
        let (mut settings, mut whys) = (base.clone(), Vec::new());
        for (name, of) in &self.operations {
            let Some(place) =
                place(base, "Classes", name).filter(|_| name.parse::<usize>().is_err())
            else {
                whys.push(format!("operations.{name}: there is no such operation"));
                continue;
            };
            let mut set = |field: &str, value: Option<f64>| {
                if let Some(value) = value {
                    settings.insert(format!("Classes.{place}.{field}"), value.to_string());
                }
            };
            set("AimUs", of.aim_ms.map(|aim| aim * 1e3));
            set("Worth", of.worth);
            set("LateWorth", of.late);
            // An objective of nothing is met by nothing: the module turns it away (docs/design.md).
            set("AimUs", (of.admit == Some(false)).then_some(0.0));
        }
        let count: usize = base
            .get("Tenants.count")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let quota = |place: usize| -> f64 {
            base.get(&format!("Tenants.{place}.QuotaPerS"))
                .and_then(|text| text.parse().ok())
                .unwrap_or(0.0)
        };
        let all: f64 = (0..count).map(quota).sum();
        for (name, share) in &self.tenants {
            match place(base, "Tenants", name) {
                Some(place) => {
                    settings.insert(
                        format!("Tenants.{place}.QuotaPerS"),
                        (share * all).to_string(),
                    );
                }
                None => whys.push(format!("tenants.{name}: there is no such tenant")),
            }
        }
        if let Some(share) = self.call_share {
            settings.insert("FamilyInfo.CallShare".into(), share.to_string());
        }
        if whys.is_empty() {
            Ok(settings)
        } else {
            Err(whys.join("; "))
        }
    }

    /// What the operators' file says of dependencies, under it.
    ///
    /// # Errors
    /// Everything that it names and that file does not have, and what then does not hold together.
    pub fn dependencies(
        &self,
        base: Option<&Dependencies>,
    ) -> Result<Option<Dependencies>, String> {
        let (mut all, mut whys) = (base.cloned().unwrap_or_default(), Vec::new());
        for (name, of) in &self.dependencies {
            let Some(own) = all.dependencies.get_mut(name) else {
                whys.push(format!("dependencies.{name}: there is no such dependency"));
                continue;
            };
            own.out_most = of.out_most.unwrap_or(own.out_most);
            own.subset = of.subset.or(own.subset);
        }
        for name in self
            .budgets
            .keys()
            .filter(|name| ![CATALOGUE, CALLERS].contains(&name.as_str()))
        {
            if !all.dependencies.contains_key(name) {
                whys.push(format!("budgets.{name}: there is no such dependency"));
            }
        }
        for (operation, of) in &self.operations {
            for (name, share) in &of.calls {
                let calls = all
                    .operations
                    .get_mut(operation)
                    .map(|own| own.calls.as_mut_slice());
                let mut meant = calls
                    .unwrap_or_default()
                    .iter_mut()
                    .filter(|call| call.to == *name)
                    .peekable();
                if meant.peek().is_none() {
                    whys.push(format!(
                        "operations.{operation}.calls.{name}: it makes no such call"
                    ));
                }
                meant.for_each(|call| call.share = Some(*share));
            }
        }
        if whys.is_empty()
            && let Err(more) = all.check()
        {
            whys = more;
        }
        if whys.is_empty() {
            Ok(base.map(|_| all))
        } else {
            Err(whys.join("; "))
        }
    }
}
