//! The servers of one dependency: what each has shown lately, which one gets the next call, who is taken out, and how it comes
//! back. A server is judged by its peers alone: where all are slow nobody is taken out for it.

use std::collections::VecDeque;

/// How a call to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    /// It said so, ended the connection, or said something else.
    Failed,
    /// It was given up after its time.
    TimedOut,
    /// It was given up for another reason: it says nothing of the server but how long it took at the least.
    GivenUp,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerHealth {
    In,
    /// Out until then; how often in a row, and why.
    Out {
        until: f64,
        times: u32,
        why: &'static str,
    },
    /// Back with one call at a time; so many went well.
    OnTrial {
        times: u32,
        well: u32,
        since: f64,
    },
}

/// Samples that are kept of each: recent, not jumpy.
const SAMPLES: usize = 24;
/// Of fewer samples nobody is judged.
const JUDGED_FROM: usize = 8;
/// A server is out that is so many times as slow as the median of its peers, or fails so much more often.
const SLOWER: f64 = 3.0;
const MORE_FAILURES: f64 = 0.3;
/// The first pause of one that is out, doubled each time up to the longest: a server that recovers is found within seconds.
const PAUSE: f64 = 1.0;
const PAUSE_MOST: f64 = 8.0;
/// Trials in a row that go well until it is in again.
const TRIALS: u32 = 3;
/// After so long without a call what a server showed counts half.
const HALF_OLD: f64 = 1.0;
/// For so long one that is new or back gets less than its share.
const SLOW_START: f64 = 5.0;
/// So many are looked at one by one; with more, two by chance are nearly as good.
const FEW: usize = 8;
/// Servers of the own zone are used while they cost no more than so many times what others do.
const ZONE_FAVOUR: f64 = 2.0;

#[derive(Clone, Debug)]
pub struct Server {
    pub name: String,
    pub zone: String,
    pub weight: f64,
    pub standing: ServerHealth,
    pub open: u32,
    /// In since then, for the slow start.
    since: f64,
    /// Durations and whether they went well, the last ones, and when the newest was taken.
    samples: VecDeque<(f64, bool)>,
    last: f64,
}

impl Server {
    fn new(name: &str, zone: &str, weight: f64, since: f64) -> Server {
        let (name, zone) = (name.to_owned(), zone.to_owned());
        let weight = if weight > 0.0 { weight } else { 1.0 };
        Server {
            name,
            zone,
            weight,
            standing: ServerHealth::In,
            open: 0,
            since,
            samples: VecDeque::new(),
            last: since,
        }
    }

    /// Mean of the last durations.
    pub fn mean(&self) -> Option<f64> {
        let sum: f64 = self.samples.iter().map(|(took, _)| took).sum();
        (!self.samples.is_empty()).then(|| sum / self.samples.len() as f64)
    }

    pub fn failures(&self) -> f64 {
        let failed = self.samples.iter().filter(|(_, well)| !well).count();
        failed as f64 / self.samples.len().max(1) as f64
    }

    /// What a call to it is expected to cost: the wait behind those that are open, more where it fails, less trusted while new.
    fn cost(&self, now: f64, usual: f64) -> f64 {
        // What it showed counts less the longer ago that is: one that was avoided is tried again in its time.
        let old = 0.5_f64.powf((now - self.last).max(0.0) / HALF_OLD);
        let mean = self
            .mean()
            .map_or(usual, |mean| usual + (mean - usual) * old);
        // One that answers its errors at once is not fast for it.
        let took = mean.max(if self.failures() > 0.0 { usual } else { 0.0 });
        let warmth = ((now - self.since) / SLOW_START).clamp(0.1, 1.0);
        f64::from(self.open + 1) * took / (self.weight * warmth * (1.0 - self.failures()).max(0.05))
    }
}

/// The servers of one dependency, as one instance sees them.
#[derive(Clone, Debug)]
pub struct Pool {
    servers: Vec<Server>,
    zone: String,
    /// The part of all that may be out at one time.
    out_most: f64,
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

impl Pool {
    /// `list`: name, zone and weight of each; `zone` is one's own.
    pub fn new(now: f64, list: &[(String, String, f64)], zone: &str, out_most: f64) -> Pool {
        // At the start all are new alike: nobody needs to be spared.
        let since = now - SLOW_START;
        let servers = list
            .iter()
            .map(|(name, zone, weight)| Server::new(name, zone, *weight, since))
            .collect();
        Pool {
            servers,
            zone: zone.to_owned(),
            out_most: out_most.clamp(0.0, 1.0),
        }
    }

    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Another list: who stays keeps what is known of it, who is new starts slowly, who is gone gets nothing further. Places are
    /// others from here on; calls that are open are told by name.
    pub fn replace(&mut self, now: f64, list: &[(String, String, f64)]) {
        let mut before = std::mem::take(&mut self.servers);
        for (name, zone, weight) in list {
            let known = before.iter().position(|server| server.name == *name);
            let mut server = match known {
                Some(place) => before.swap_remove(place),
                None => Server::new(name, zone, *weight, now),
            };
            (server.zone, server.weight) =
                (zone.clone(), if *weight > 0.0 { *weight } else { 1.0 });
            self.servers.push(server);
        }
    }

    /// The place of a server by its name.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    /// Who gets the next call: of few the cheapest, of many the cheaper one of two by chance, of the own zone while that is not much dearer; one that is due
    /// for a trial before all. `but` are servers that this call was made to already. None: there is nobody.
    pub fn pick(
        &mut self,
        now: f64,
        but: &[usize],
        chance: &mut dyn FnMut() -> f64,
    ) -> Option<usize> {
        let usual = self.usual().unwrap_or(0.01);
        let free = |place: &usize| !but.contains(place);
        for (place, server) in self.servers.iter_mut().enumerate() {
            if let ServerHealth::Out { until, times, .. } = server.standing
                && now >= until
            {
                server.standing = ServerHealth::OnTrial {
                    times,
                    well: 0,
                    since: now,
                };
            }
            let on_trial = matches!(server.standing, ServerHealth::OnTrial { .. });
            if on_trial && server.open == 0 && !but.contains(&place) {
                server.open += 1;
                return Some(place);
            }
        }
        let usable: Vec<usize> = (0..self.servers.len())
            .filter(free)
            .filter(|place| self.servers[*place].standing == ServerHealth::In)
            .collect();
        let own: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|place| self.servers[*place].zone == self.zone)
            .collect();
        let mut best = |places: &[usize]| -> Option<(usize, f64)> {
            // The place to begin with by chance, so that of equals not the first one gets all.
            let from = (chance() * places.len() as f64) as usize;
            let some: Vec<usize> = if places.len() <= FEW {
                places[from..]
                    .iter()
                    .chain(&places[..from])
                    .copied()
                    .collect()
            } else {
                let other =
                    (from + 1 + (chance() * (places.len() - 1) as f64) as usize) % places.len();
                vec![places[from], places[other]]
            };
            let costs = some
                .into_iter()
                .map(|place| (place, self.servers[place].cost(now, usual)));
            costs.min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let chosen = match (best(&own), best(&usable)) {
            (Some((own, near)), Some((_, far))) if near <= ZONE_FAVOUR * far => Some(own),
            (_, Some((any, _))) => Some(any),
            (own, None) => own.map(|(place, _)| place),
        };
        if let Some(place) = chosen {
            self.servers[place].open += 1;
        }
        chosen
    }

    /// What a call takes with most servers that are in and mostly do well: errors that come at once are no measure.
    fn usual(&self) -> Option<f64> {
        let means = |well: bool| {
            let of = self
                .servers
                .iter()
                .filter(|one| one.standing == ServerHealth::In);
            of.filter(|one| !well || one.failures() < 0.5)
                .filter_map(Server::mean)
                .collect()
        };
        median(means(true)).or_else(|| median(means(false)))
    }

    /// A call to it has ended, after so many seconds.
    pub fn ended(&mut self, now: f64, place: usize, outcome: Outcome, took: f64) {
        let peers: Vec<&Server> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(other, one)| {
                *other != place
                    && one.samples.len() >= JUDGED_FROM
                    && one.standing == ServerHealth::In
            })
            .map(|(_, one)| one)
            .collect();
        // Errors that come at once make nobody slow who does well.
        let usual = median(
            peers
                .iter()
                .filter(|one| one.failures() < 0.5)
                .filter_map(|one| one.mean())
                .collect(),
        );
        let usual_failures = median(peers.iter().map(|one| one.failures()).collect());
        let room = self
            .servers
            .iter()
            .filter(|one| one.standing != ServerHealth::In)
            .count() as f64
            + 1.0
            <= self.out_most * self.servers.len() as f64;
        let Some(one) = self.servers.get_mut(place) else {
            return;
        };
        one.open = one.open.saturating_sub(1);
        let well = outcome == Outcome::Succeeded;
        if outcome == Outcome::GivenUp && usual.is_none_or(|usual| took < usual) {
            return; // it says nothing
        }
        if one.samples.len() == SAMPLES {
            one.samples.pop_front();
        }
        one.samples
            .push_back((took, well || outcome == Outcome::GivenUp));
        one.last = now;
        match one.standing {
            ServerHealth::OnTrial {
                times,
                well: before,
                since,
            } => {
                let quick = usual.is_none_or(|usual| took <= SLOWER * usual);
                one.standing = if !well || !quick {
                    out(now, times + 1, "its trial failed")
                } else if before + 1 >= TRIALS {
                    // What it was before counts no more.
                    one.samples.clear();
                    one.since = now;
                    ServerHealth::In
                } else {
                    ServerHealth::OnTrial {
                        times,
                        well: before + 1,
                        since,
                    }
                };
            }
            ServerHealth::In if room && one.samples.len() >= JUDGED_FROM => {
                let slow = usual
                    .zip(one.mean())
                    .is_some_and(|(usual, own)| own > SLOWER * usual);
                let fails =
                    usual_failures.is_some_and(|usual| one.failures() > usual + MORE_FAILURES);
                if fails || slow {
                    one.standing = out(
                        now,
                        1,
                        if fails {
                            "fails more than its peers"
                        } else {
                            "slower than its peers"
                        },
                    );
                }
            }
            _ => {}
        }
    }
}

fn out(now: f64, times: u32, why: &'static str) -> ServerHealth {
    let pause = (PAUSE * 2_f64.powi(times.min(10) as i32 - 1)).min(PAUSE_MOST);
    ServerHealth::Out {
        until: now + pause,
        times,
        why,
    }
}
