//! Routes calls from request to result: chooses the dependency, server and deadline, and decides on
//! retries, hedged requests and fallbacks.
//!
//! [`Router`] is a sans-I/O state machine: the host passes in events with the time at which they
//! happened, and polls the [`Action`]s to carry out.
//!
//! `routing` starts calls and sends attempts, `attempts` handles their outcomes, retries, hedged
//! requests and deadlines, `fallback` handles calls without a reply, and `handover` passes calls
//! to a successor's router.

mod attempts;
mod call_state;
mod call_table;
pub(crate) mod dependency_state;
mod fallback;
mod handover;
mod messages;
mod reply_cache;
mod routing;

use std::collections::{BTreeMap, VecDeque};

use merlinshelf_quota::Remaining;

pub use handover::{AttemptSnapshot, CallSnapshot};
pub use messages::{Action, CallEnd, CallRequest};

use crate::config::{Call, Dependencies, Dependency, ServerConfig};
use crate::subset::subset;
use call_state::CallState;
use call_table::CallTable;
use dependency_state::DependencyState;
use reply_cache::ReplyCache;

/// Assigns the numbers of calls and attempts from one sequence, starting at 1.
#[derive(Clone, Debug, Default)]
struct IdSequence(u64);

impl IdSequence {
    fn next(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }

    fn skip_to(&mut self, last_id: u64) {
        self.0 = self.0.max(last_id);
    }
}

/// Usage of the previous quota of a dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUsage {
    /// The part of the quota that was not used.
    pub unused: Remaining,
    /// Whether the dependency as a whole fails, judged by this instance's own calls.
    pub is_failing: bool,
}

/// All dependencies as seen by this instance, and the calls in flight.
#[derive(Clone, Debug)]
pub struct Router {
    config: Dependencies,
    instance_hash: u64,
    pub(crate) states: BTreeMap<String, DependencyState>,
    /// Indices of operations, which never change during the router's lifetime.
    operations: BTreeMap<String, usize>,
    calls: CallTable,
    call_by_attempt: BTreeMap<u64, u64>,
    reply_cache: ReplyCache,
    ids: IdSequence,
    actions: VecDeque<Action>,
}

/// FNV-1a, since the ranks of servers must be the same in every process and version.
fn hash_name(name: &str) -> u64 {
    name.bytes().fold(0xCBF2_9CE4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3)
    })
}

impl Router {
    /// A router for the instance of this name, with settings that passed [`Dependencies::check`].
    pub fn new(now: f64, config: Dependencies, instance: &str) -> Router {
        let mut router = Router {
            config: Dependencies::default(),
            instance_hash: hash_name(instance),
            states: BTreeMap::new(),
            operations: BTreeMap::new(),
            calls: CallTable::default(),
            call_by_attempt: BTreeMap::new(),
            reply_cache: ReplyCache::default(),
            ids: IdSequence::default(),
            actions: VecDeque::new(),
        };
        router.update_config(now, config);
        router
    }

    /// Applies new settings. Dependencies and servers that remain keep their state; attempts in
    /// flight end at their present servers.
    pub fn update_config(&mut self, now: f64, config: Dependencies) {
        for (name, dependency) in &config.dependencies {
            let servers = self.chosen_servers(dependency);
            match self.states.get_mut(name) {
                Some(state) => state.update_config(now, dependency, &servers),
                None => {
                    let state = DependencyState::new(now, dependency, &servers, &config.zone);
                    self.states.insert(name.clone(), state);
                }
            }
        }
        self.states
            .retain(|name, state| config.dependencies.contains_key(name) || state.in_flight > 0);
        for name in config.operations.keys() {
            let next_index = self.operations.len();
            self.operations.entry(name.clone()).or_insert(next_index);
        }
        self.config = config;
    }

    /// The servers that this instance uses, in the order of the settings.
    fn chosen_servers(&self, dependency: &Dependency) -> Vec<ServerConfig> {
        let hashes: Vec<u64> = dependency
            .servers
            .iter()
            .map(|server| hash_name(&server.address))
            .collect();
        let count = dependency.subset_size.unwrap_or(hashes.len());
        let mut chosen = subset(self.instance_hash, &hashes, count);
        chosen.sort_unstable();
        chosen
            .into_iter()
            .map(|index| dependency.servers[index].clone())
            .collect()
    }

    /// Sets the quota that the fleet's budgets grant for calls to a dependency, and returns the
    /// usage of the previous one. Returns `None` if there is no such dependency.
    pub fn update_quota(&mut self, dependency: &str, quota: Remaining) -> Option<QuotaUsage> {
        let state = self.states.get_mut(dependency)?;
        let is_failing = state.retry_budget.is_failing();
        if quota.reopened {
            state.retry_budget.clear_outcomes();
        }
        let unused = std::mem::replace(&mut state.quota, quota);
        Some(QuotaUsage { unused, is_failing })
    }

    /// The next action for the host.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`handle_timeout`](Router::handle_timeout) must be called at the latest; `None` if
    /// there are no calls.
    pub fn next_timeout(&self) -> Option<f64> {
        self.calls
            .iter()
            .map(|(_, call)| CallState::next_timeout(call))
            .min_by(f64::total_cmp)
    }

    /// The settings of a call; `None` if it is not configured and goes to the platform's catalogue.
    fn call_config(
        &self,
        operation: &str,
        call_index: usize,
        named_dependency: Option<&str>,
    ) -> Option<&Call> {
        let calls = &self.config.operations.get(operation)?.calls;
        match named_dependency {
            Some(name) => calls.iter().find(|call| call.dependency == name),
            None => calls.get(call_index),
        }
    }

    /// The dependency that a call goes to; `None` if the call is not configured.
    pub fn dependency_of_call(
        &self,
        operation: &str,
        call_index: usize,
        named_dependency: Option<&str>,
    ) -> Option<&str> {
        self.call_config(operation, call_index, named_dependency)
            .map(|call| call.dependency.as_str())
    }

    /// The dependency that an attempt in flight was sent to.
    pub fn dependency_of_attempt(&self, attempt_id: u64) -> Option<&str> {
        let call_id = *self.call_by_attempt.get(&attempt_id)?;
        self.calls.get(call_id).map(|call| call.dependency.as_str())
    }

    /// Calls that have not ended.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The dependencies of an operation's calls, in the order of the calls.
    pub fn dependencies_of_operation(&self, operation: &str) -> Vec<String> {
        self.config
            .operations
            .get(operation)
            .map(|operation| {
                let calls = operation.calls.iter();
                calls.map(|call| call.dependency.clone()).collect()
            })
            .unwrap_or_default()
    }

    /// The state of the dependency that a call is made to.
    fn state_of_call(&mut self, call_id: u64) -> Option<&mut DependencyState> {
        let call = self.calls.get(call_id)?;
        self.states.get_mut(&call.dependency)
    }
}
