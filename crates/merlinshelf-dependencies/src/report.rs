//! How dependencies stand, for those who look after them.

use serde::Serialize;

use crate::counts::Counts;
use crate::router::{Place, Router};
use crate::servers::{Server, ServerHealth};

/// One server, for reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerReport {
    pub address: String,
    pub zone: String,
    pub state: &'static str,
    pub why: Option<&'static str>,
    pub open: u32,
    /// Calls that it bears at one time; none before it was measured.
    pub limit: Option<f64>,
    pub mean_ms: Option<f64>,
    pub failures: f64,
}

/// One dependency, for reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub name: String,
    pub fails: bool,
    pub limit: f64,
    pub open: usize,
    pub waiting: usize,
    pub attempts_left: f64,
    #[serde(flatten)]
    pub counts: Counts,
    pub servers: Vec<ServerReport>,
}

impl Router {
    /// How all stand.
    pub fn report(&self) -> Vec<Report> {
        let of_server = |place: &Place, server: &Server| {
            let (state, why) = match server.standing {
                ServerHealth::In => ("in", None),
                ServerHealth::Out { why, .. } => ("out", Some(why)),
                ServerHealth::OnTrial { .. } => ("on trial", None),
            };
            ServerReport {
                address: server.name.clone(),
                zone: server.zone.clone(),
                state,
                why,
                open: server.open,
                limit: place
                    .limits
                    .get(&server.name)
                    .map(|limit| limit.get().floor()),
                mean_ms: server.mean().map(|mean| (mean * 1e6).round() / 1e3),
                failures: (server.failures() * 1e3).round() / 1e3,
            }
        };
        let of = |(name, place): (&String, &Place)| Report {
            name: name.clone(),
            fails: place.attempts.fails(),
            limit: place.limit.get(),
            open: place.open,
            waiting: place.waiting.len(),
            attempts_left: place.attempts.left(),
            counts: place.counts,
            servers: place
                .pool
                .servers()
                .iter()
                .map(|server| of_server(place, server))
                .collect(),
        };
        self.places.iter().map(of).collect()
    }
}
