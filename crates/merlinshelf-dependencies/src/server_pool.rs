//! The servers of one dependency: chooses the server of the next call and ejects outliers. A server
//! is compared only with its peers: if all are slow, none is ejected.

use crate::config::ServerConfig;
use crate::server::{EjectionReason, SLOW_START_SECONDS, Server, ServerHealth, ServerOutcome};

/// Fewest samples from which a server is compared with its peers.
const MIN_SAMPLES: usize = 8;
/// A server is an outlier if its mean duration is more than this multiple of its peers' median, or
/// if its failure rate exceeds their median by more than this.
const OUTLIER_SLOWDOWN: f64 = 3.0;
const OUTLIER_FAILURE_RATE: f64 = 0.3;
/// Servers with at least this failure rate are left out of the typical duration.
const MOSTLY_FAILING: f64 = 0.5;
/// Consecutive successful probes after which a server is readmitted.
const PROBES_TO_READMIT: u32 = 3;
/// Up to this many servers are all compared. Of more, the cheaper of two random ones is used, which
/// is nearly as good as the cheapest of all.
const MAX_COMPARED: usize = 8;
/// Servers of the own zone are used while they cost at most this multiple of the cheapest server.
const ZONE_PREFERENCE: f64 = 2.0;
/// Assumed duration of a call before any was measured.
const UNMEASURED_SECONDS: f64 = 0.01;

/// The servers of one dependency as seen by this instance.
#[derive(Clone, Debug)]
pub struct ServerPool {
    servers: Vec<Server>,
    zone: String,
    /// Maximum share of the servers that may be ejected at the same time.
    max_ejected_share: f64,
}

/// A server that may get a call.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    cost: f64,
}

/// Statistics of the healthy peers of a server.
#[derive(Clone, Copy, Debug)]
struct PeerStatistics {
    /// Median of the mean durations of peers that mostly succeed: quick errors must not make other
    /// servers appear slow.
    typical_seconds: Option<f64>,
    failure_rate: Option<f64>,
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

impl ServerPool {
    /// A pool of these servers for an instance in `zone`, with at most `max_ejected_share` (0 to 1)
    /// of them ejected at the same time.
    pub fn new(
        now: f64,
        servers: &[ServerConfig],
        zone: &str,
        max_ejected_share: f64,
    ) -> ServerPool {
        // At the start all servers are equally cold, so that none needs a slow start.
        let healthy_since = now - SLOW_START_SECONDS;
        let servers = servers
            .iter()
            .map(|config| Server::new(config, healthy_since))
            .collect();
        ServerPool {
            servers,
            zone: zone.to_owned(),
            max_ejected_share: max_ejected_share.clamp(0.0, 1.0),
        }
    }

    /// All servers. Indices in other methods refer to this slice.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Applies a new list of servers: a server that remains keeps its state, a new one warms up,
    /// and a removed one gets no more calls. Indices change; calls in flight are identified by
    /// name.
    pub fn update_servers(&mut self, now: f64, servers: &[ServerConfig]) {
        let mut previous = std::mem::take(&mut self.servers);
        for config in servers {
            let known = previous
                .iter()
                .position(|server| server.name == config.address);
            let mut server = match known {
                Some(index) => previous.swap_remove(index),
                None => Server::new(config, now),
            };
            server.update_config(config);
            self.servers.push(server);
        }
    }

    /// The index of a server by its name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    /// Chooses the server of the next call and counts the call as in flight there.
    ///
    /// A server that is due for a probe has precedence. Otherwise the cheapest of few servers or
    /// the cheaper of two random ones of many is used, from the own zone unless that costs much
    /// more. Servers in `excluded` are not used. Returns `None` if there is no usable server.
    pub fn pick(
        &mut self,
        now: f64,
        excluded: &[usize],
        random: &mut dyn FnMut() -> f64,
    ) -> Option<usize> {
        let typical_seconds = self.typical_seconds().unwrap_or(UNMEASURED_SECONDS);
        if let Some(probed) = self.pick_probed(now, excluded) {
            return Some(probed);
        }
        let usable: Vec<usize> = (0..self.servers.len())
            .filter(|index| !excluded.contains(index))
            .filter(|index| self.servers[*index].health == ServerHealth::Healthy)
            .collect();
        let own_zone: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|index| self.servers[*index].zone == self.zone)
            .collect();
        let near = self.cheapest(now, &own_zone, typical_seconds, random);
        let any = self.cheapest(now, &usable, typical_seconds, random)?;
        let chosen = match near {
            Some(near) if near.cost <= ZONE_PREFERENCE * any.cost => near,
            _ => any,
        };
        self.servers[chosen.index].in_flight += 1;
        Some(chosen.index)
    }

    /// Counts an attempt that another router has sent as in flight at this server.
    pub fn attempt_restored(&mut self, name: &str) {
        if let Some(index) = self.index_of(name) {
            self.servers[index].in_flight += 1;
        }
    }

    /// Starts probing the servers whose ejection has ended, and picks one without a probe in
    /// flight.
    fn pick_probed(&mut self, now: f64, excluded: &[usize]) -> Option<usize> {
        for (index, server) in self.servers.iter_mut().enumerate() {
            if let ServerHealth::Ejected {
                until, ejections, ..
            } = server.health
                && now >= until
            {
                server.health = ServerHealth::Probing {
                    ejections,
                    successes: 0,
                };
            }
            let needs_probe = server.health.is_probing() && server.in_flight == 0;
            if needs_probe && !excluded.contains(&index) {
                server.in_flight += 1;
                return Some(index);
            }
        }
        None
    }

    fn cheapest(
        &self,
        now: f64,
        indices: &[usize],
        typical_seconds: f64,
        random: &mut dyn FnMut() -> f64,
    ) -> Option<Candidate> {
        // Starts at a random server, so that the first of equal servers does not get all calls.
        let start = (random() * indices.len() as f64) as usize;
        let compared: Vec<usize> = if indices.len() <= MAX_COMPARED {
            let (before, after) = indices.split_at(start);
            after.iter().chain(before).copied().collect()
        } else {
            let distance = 1 + (random() * (indices.len() - 1) as f64) as usize;
            let other = (start + distance) % indices.len();
            vec![indices[start], indices[other]]
        };
        compared
            .into_iter()
            .map(|index| Candidate {
                index,
                cost: self.servers[index].expected_cost(now, typical_seconds),
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Median of the mean durations of healthy servers that mostly succeed, since quick errors say
    /// nothing about duration; of all healthy servers if none mostly succeeds.
    fn typical_seconds(&self) -> Option<f64> {
        let healthy = || {
            self.servers
                .iter()
                .filter(|server| server.health == ServerHealth::Healthy)
        };
        let succeeding = healthy().filter(|server| server.failure_rate() < MOSTLY_FAILING);
        median(succeeding.filter_map(Server::mean_seconds).collect())
            .or_else(|| median(healthy().filter_map(Server::mean_seconds).collect()))
    }

    /// Records that a call to a server ended after `duration_seconds`, and ejects or readmits the
    /// server if necessary.
    pub fn record_outcome(
        &mut self,
        now: f64,
        index: usize,
        outcome: ServerOutcome,
        duration_seconds: f64,
    ) {
        let peers = self.peer_statistics(index);
        let may_eject = self.may_eject_one_more();
        let Some(server) = self.servers.get_mut(index) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        let is_cancelled = outcome == ServerOutcome::Cancelled;
        let is_longer_than_typical = peers
            .typical_seconds
            .is_some_and(|typical| duration_seconds >= typical);
        if is_cancelled && !is_longer_than_typical {
            return; // a short cancelled call is no evidence of the server's speed
        }
        let succeeded = outcome == ServerOutcome::Succeeded;
        server.record_sample(now, duration_seconds, succeeded || is_cancelled);
        match server.health {
            ServerHealth::Probing {
                ejections,
                successes,
            } => {
                let is_quick = peers
                    .typical_seconds
                    .is_none_or(|typical| duration_seconds <= OUTLIER_SLOWDOWN * typical);
                if !succeeded || !is_quick {
                    let reason = EjectionReason::ProbeFailed;
                    server.health = ServerHealth::ejected(now, ejections + 1, reason);
                } else if successes + 1 >= PROBES_TO_READMIT {
                    server.readmit(now);
                } else {
                    server.health = ServerHealth::Probing {
                        ejections,
                        successes: successes + 1,
                    };
                }
            }
            ServerHealth::Healthy if may_eject => {
                if let Some(reason) = peers.outlier_reason(server) {
                    server.health = ServerHealth::ejected(now, 1, reason);
                }
            }
            ServerHealth::Healthy | ServerHealth::Ejected { .. } => {}
        }
    }

    fn peer_statistics(&self, index: usize) -> PeerStatistics {
        let peers: Vec<&Server> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(_, server)| server)
            .filter(|server| server.health == ServerHealth::Healthy)
            .filter(|server| server.sample_count() >= MIN_SAMPLES)
            .collect();
        let means_seconds = peers
            .iter()
            .filter(|server| server.failure_rate() < MOSTLY_FAILING)
            .filter_map(|server| server.mean_seconds())
            .collect();
        let failure_rates = peers.iter().map(|server| server.failure_rate()).collect();
        PeerStatistics {
            typical_seconds: median(means_seconds),
            failure_rate: median(failure_rates),
        }
    }

    fn may_eject_one_more(&self) -> bool {
        let ejected = self
            .servers
            .iter()
            .filter(|server| server.health != ServerHealth::Healthy)
            .count();
        ejected as f64 + 1.0 <= self.max_ejected_share * self.servers.len() as f64
    }
}

impl PeerStatistics {
    /// Why a server is an outlier among these peers; `None` if it is not one.
    fn outlier_reason(&self, server: &Server) -> Option<EjectionReason> {
        if server.sample_count() < MIN_SAMPLES {
            return None;
        }
        let fails_more = self
            .failure_rate
            .is_some_and(|peers| server.failure_rate() > peers + OUTLIER_FAILURE_RATE);
        let is_slower = self
            .typical_seconds
            .zip(server.mean_seconds())
            .is_some_and(|(typical, own)| own > OUTLIER_SLOWDOWN * typical);
        match (fails_more, is_slower) {
            (true, _) => Some(EjectionReason::MoreFailures),
            (false, true) => Some(EjectionReason::Slower),
            (false, false) => None,
        }
    }
}
