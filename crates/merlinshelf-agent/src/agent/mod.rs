//! The agent: it reports events of instances to `merlinshelf_fleet::Fleet`, and carries out the
//! actions that the fleet decides on.
//!
//! `event_loop` drives it, `instance_processes` starts and stops processes, `health_checks`
//! requests the status of instances, `recovery` finds the process of an instance again,
//! `operator_requests` and `plan_progress` serve the control socket.

mod event_loop;
mod fleet_report;
mod health_checks;
mod instance_processes;
mod operator_requests;
mod plan_progress;
mod recovery;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use merlinshelf_fleet::capacity::address;
use merlinshelf_fleet::{Fleet, Identity, Report};
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

use self::instance_processes::UpgradeError;
use self::plan_progress::PlanFollower;
use self::recovery::SearchReason;
use crate::instance_files::InstancePaths;
use crate::policy::PolicyAgent;
use crate::process::Process;
use crate::reply::ReplySender;
use crate::store::FleetStore;

pub use event_loop::{AgentError, serve};

/// Events reported by background tasks. `name` is the instance's.
enum AgentEvent {
    /// A supervised process has exited; `status` is its exit status, if known.
    ProcessExited {
        name: String,
        identity: Identity,
        status: Option<i32>,
    },
    /// An unsupervised process serves with the instance's own files and control socket.
    ProcessFound { name: String, identity: Identity },
    /// The search found no process that serves for the instance.
    ProcessNotFound { name: String, reason: SearchReason },
    /// An instance has answered a health check.
    HealthChecked { name: String, report: Box<Report> },
    /// An upgrade has ended.
    UpgradeFinished {
        name: String,
        result: Result<(), UpgradeError>,
    },
}

/// The supervised process of an instance.
struct SupervisedProcess {
    identity: Identity,
    process: Rc<Process>,
}

/// The state of the event loop.
struct Agent {
    /// Path of the fleet file.
    file: PathBuf,
    fleet: Fleet,
    store: FleetStore,
    started_at: Instant,
    rng: Pcg64Mcg,
    /// By instance.
    processes: BTreeMap<String, SupervisedProcess>,
    /// Instances with a health check in flight; shared with the tasks that run the checks.
    checks_in_flight: Rc<RefCell<BTreeSet<String>>>,
    health_check_rounds: u32,
    event_sender: UnboundedSender<AgentEvent>,
    events: UnboundedReceiver<AgentEvent>,
    plan_followers: Vec<PlanFollower>,
    status_watchers: Vec<ReplySender>,
    /// `None` if the fleet file configures no consensus group.
    policy: Option<PolicyAgent>,
}

impl Agent {
    /// Seconds of the agent's monotonic clock.
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    fn paths(&self, name: &str) -> InstancePaths {
        InstancePaths::new(self.fleet.spec(), name)
    }

    /// The address at which clients reach an instance.
    fn address(&self, name: &str) -> Option<SocketAddr> {
        let instance = self.fleet.get(name)?;
        let group = self.fleet.spec().groups.get(&instance.group)?;
        address(&group.listen, instance.index)
    }

    fn instance_names(&self) -> Vec<String> {
        self.fleet
            .instances()
            .map(|instance| instance.name.clone())
            .collect()
    }
}

/// Unix time in seconds, from the wall clock.
fn unix_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default() // a clock before 1970 counts as 1970
        .as_secs_f64()
}
