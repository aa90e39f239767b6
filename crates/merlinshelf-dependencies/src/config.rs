//! What the operators say of dependencies: their servers, which operation calls which, with what share of its time, and what there
//! is instead. Held together as a whole before any of it counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Dependencies {
    /// The zone of this instance; servers of the same are preferred while they do not cost twice what others do.
    pub zone: String,
    /// By name.
    pub dependencies: BTreeMap<String, Dependency>,
    /// By the operation's name in the platform's settings: the calls that its runs make. Calls of other operations go to the
    /// platform's catalogue as ever.
    pub operations: BTreeMap<String, Operation>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    pub servers: Vec<ServerConfig>,
    /// The part of the servers that may be out at one time, 0 to 1.
    #[serde(default = "half")]
    pub out_most: f64,
    /// How many of the servers one instance uses; absent: all.
    #[serde(default)]
    pub subset: Option<usize>,
    /// The dependency that is asked where this one can't be had.
    #[serde(default)]
    pub instead: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default = "one")]
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    pub calls: Vec<Call>,
    /// All calls together, or one after the other.
    #[serde(default)]
    pub at_once: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    pub to: String,
    /// The part of the caller's time that it may take, 0 to 1; absent: as it was measured.
    #[serde(default)]
    pub share: Option<f64>,
    /// The run fails without it.
    #[serde(default)]
    pub needed: bool,
    /// The part of the billed value that is lost without it, 0 to 1.
    #[serde(default)]
    pub cost: f64,
    /// What the run gets where the call can't be had; the result is then marked as partial.
    #[serde(default)]
    pub instead: Fallback,
}

/// In place of a reply that can't be had.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Fallback {
    /// Nothing: the run goes on without, or fails where the call is needed.
    #[default]
    Nothing,
    /// This text.
    Fixed(String),
    /// The last good reply to the same question, no older than so many seconds; where none is kept, nothing.
    Kept { within_s: f64 },
}

fn half() -> f64 {
    0.5
}

fn one() -> f64 {
    1.0
}

impl Dependencies {
    /// Whether it holds together.
    ///
    /// # Errors
    /// Everything that does not, each with its place.
    pub fn check(&self) -> Result<(), Vec<String>> {
        let mut whys = Vec::new();
        let part = |value: f64| (0.0..=1.0).contains(&value);
        for (name, of) in &self.dependencies {
            let at = format!("dependencies.{name}");
            if name.is_empty() || name.len() > 64 || name.contains([',', '\r', '\n', ' ']) {
                whys.push(format!(
                    "{at}: no name: up to 64 characters without commas and blanks"
                ));
            }
            if of.servers.is_empty() {
                whys.push(format!("{at}.servers: a list of none"));
            }
            let mut known = BTreeSet::new();
            for (place, server) in of.servers.iter().enumerate() {
                if server.address.parse::<SocketAddr>().is_err() {
                    whys.push(format!(
                        "{at}.servers[{place}].address: {:?} is no address with a port",
                        server.address
                    ));
                } else if !known.insert(&server.address) {
                    whys.push(format!(
                        "{at}.servers[{place}].address: {} is there twice",
                        server.address
                    ));
                }
                if !(server.weight > 0.0 && server.weight.is_finite()) {
                    whys.push(format!(
                        "{at}.servers[{place}].weight: {} is not above 0",
                        server.weight
                    ));
                }
            }
            if !part(of.out_most) {
                whys.push(format!("{at}.out_most: {} is not from 0 to 1", of.out_most));
            }
            if of.subset == Some(0) {
                whys.push(format!("{at}.subset: of none nobody could be asked"));
            }
            if let Some(circle) = self.circle(name) {
                // Each circle is told once, at its first name.
                if circle.iter().min() == Some(&name.as_str()) {
                    whys.push(format!("{at}.instead: a circle: {}", circle.join(", ")));
                }
            }
            if let Some(other) = of
                .instead
                .as_ref()
                .filter(|other| !self.dependencies.contains_key(*other))
            {
                whys.push(format!("{at}.instead: there is no dependency {other}"));
            }
        }
        for (name, of) in &self.operations {
            let mut shares = 0.0;
            if of.at_once {
                whys.push(format!(
                    "operations.{name}.at_once: calls of one run at once are not served yet"
                ));
            }
            for (place, call) in of.calls.iter().enumerate() {
                let at = format!("operations.{name}.calls[{place}]");
                if !self.dependencies.contains_key(&call.to) {
                    whys.push(format!("{at}.to: there is no dependency {}", call.to));
                }
                if let Some(share) = call.share {
                    if !part(share) || share == 0.0 {
                        whys.push(format!("{at}.share: {share} is not above 0 and up to 1"));
                    }
                    shares += share;
                }
                if let Fallback::Kept { within_s } = call.instead
                    && !(within_s > 0.0 && within_s.is_finite())
                {
                    whys.push(format!(
                        "{at}.instead.kept.within_s: {within_s} is not above 0"
                    ));
                }
                if !part(call.cost) {
                    whys.push(format!("{at}.cost: {} is not from 0 to 1", call.cost));
                }
            }
            if !of.at_once && shares > 1.0 + 1e-9 {
                whys.push(format!(
                    "operations.{name}.calls: shares of one after the other are {shares:.2} together, over 1"
                ));
            }
        }
        if whys.is_empty() { Ok(()) } else { Err(whys) }
    }

    /// The names on the way from one back to itself, where it leads there.
    fn circle<'a>(&'a self, from: &'a str) -> Option<Vec<&'a str>> {
        let mut way = vec![from];
        let mut at = from;
        loop {
            at = self.dependencies.get(at)?.instead.as_deref()?;
            if at == from {
                return Some(way);
            }
            if way.contains(&at) {
                return None; // a circle that this one only leads to
            }
            way.push(at);
        }
    }
}
