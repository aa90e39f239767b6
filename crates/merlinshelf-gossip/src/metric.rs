//! The metrics that instances observe of the servers behind them and of their callers.

use serde::{Deserialize, Serialize};

/// The metric of an observation. Names of operations and servers are those of the settings.
///
/// Variants are stored by their names in the first version of the format, hence the `rename`s.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Metric {
    /// The lowest duration of a run of an operation, seconds. Valid only for engines of the same
    /// kind.
    RunLowest {
        /// Kind of the engine.
        engine: String,
        /// Name of the operation.
        operation: String,
    },
    /// The recent duration of a run of an operation, seconds. Valid only for engines of the same
    /// kind.
    RunRecent {
        /// Kind of the engine.
        engine: String,
        /// Name of the operation.
        operation: String,
    },
    /// The adaptive limit of concurrent invocations.
    Limit {
        /// Kind of the engine.
        engine: String,
    },
    /// The lowest mean duration of a downstream call, seconds. Valid for all instances that share
    /// the dependency, like the other metrics of calls.
    CallLowest {
        /// Name of the dependency.
        dependency: String,
    },
    /// The recent mean duration of a downstream call, seconds.
    CallRecent {
        /// Name of the dependency.
        dependency: String,
    },
    /// The limit of concurrent downstream calls.
    CallLimit {
        /// Name of the dependency.
        dependency: String,
    },
    /// Number of consecutive failed downstream calls.
    CallFailures {
        /// Name of the dependency.
        dependency: String,
    },
    /// Seconds that a run of an operation spends in downstream calls.
    #[serde(rename = "RunBelow")]
    RunDownstream {
        /// Name of the dependency.
        dependency: String,
        /// Name of the operation.
        operation: String,
    },
    /// Share of the arrivals that are retries, 0 to 1.
    #[serde(rename = "CallersAgain")]
    RetryShare,
    /// Share of the callers that return while their connection is kept alive, 0 to 1.
    #[serde(rename = "CallersBack")]
    ReturningCallerShare,
}

/// The names that identify a metric among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricLabels<'a> {
    /// Kind of the engine, or name of the dependency.
    pub server: Option<&'a str>,
    /// Name of the operation.
    pub operation: Option<&'a str>,
}

impl Metric {
    /// Whether the metric can have this value. Others are measurement errors or false.
    pub fn is_plausible(&self, value: f64) -> bool {
        let plausible = match self {
            // A shorter or longer duration is a measurement error.
            Metric::RunLowest { .. }
            | Metric::RunRecent { .. }
            | Metric::CallLowest { .. }
            | Metric::CallRecent { .. } => 1e-5..=600.0,
            // A process has no descriptors and memory for more.
            Metric::Limit { .. } | Metric::CallLimit { .. } => 0.01..=20_000.0,
            Metric::CallFailures { .. } => 0.0..=1e6,
            Metric::RunDownstream { .. } => 0.0..=600.0,
            Metric::RetryShare | Metric::ReturningCallerShare => 0.0..=1.0,
        };
        value.is_finite() && plausible.contains(&value)
    }

    /// After how many seconds the weight of an observation has halved. The best performance of a
    /// server changes with its releases, its recent performance within a minute, and its failures
    /// within seconds.
    pub fn half_life_seconds(&self) -> f64 {
        match self {
            Metric::RunLowest { .. } | Metric::CallLowest { .. } => 600.0,
            Metric::RunRecent { .. }
            | Metric::Limit { .. }
            | Metric::RetryShare
            | Metric::ReturningCallerShare => 60.0,
            Metric::CallRecent { .. } | Metric::CallLimit { .. } | Metric::RunDownstream { .. } => {
                20.0
            }
            // Longer than the second in which failures are observed: a false alarm costs one probe,
            // a missed failure an outage.
            Metric::CallFailures { .. } => 10.0,
        }
    }

    /// The kind of metric, as written on the wire and in reports.
    pub fn kind(&self) -> &'static str {
        match self {
            Metric::RunLowest { .. } => "run-lowest",
            Metric::RunRecent { .. } => "run-recent",
            Metric::Limit { .. } => "limit",
            Metric::CallLowest { .. } => "call-lowest",
            Metric::CallRecent { .. } => "call-recent",
            Metric::CallLimit { .. } => "call-limit",
            Metric::CallFailures { .. } => "call-failures",
            Metric::RunDownstream { .. } => "run-below",
            Metric::RetryShare => "callers-again",
            Metric::ReturningCallerShare => "callers-back",
        }
    }

    /// The server and the operation, if the metric has them.
    pub fn labels(&self) -> MetricLabels<'_> {
        let (server, operation) = match self {
            Metric::RunLowest { engine, operation } | Metric::RunRecent { engine, operation } => {
                (Some(engine), Some(operation))
            }
            Metric::RunDownstream {
                dependency,
                operation,
            } => (Some(dependency), Some(operation)),
            Metric::Limit { engine } => (Some(engine), None),
            Metric::CallLowest { dependency }
            | Metric::CallRecent { dependency }
            | Metric::CallLimit { dependency }
            | Metric::CallFailures { dependency } => (Some(dependency), None),
            Metric::RetryShare | Metric::ReturningCallerShare => (None, None),
        };
        MetricLabels {
            server: server.map(String::as_str),
            operation: operation.map(String::as_str),
        }
    }

    /// The metric of a [`Metric::kind`] with these labels; `None` if they do not match the kind.
    pub fn parse(kind: &str, server: Option<&str>, operation: Option<&str>) -> Option<Metric> {
        let server_name = || server.map(str::to_owned);
        let operation_name = || operation.map(str::to_owned);
        let metric = match kind {
            "run-lowest" => Metric::RunLowest {
                engine: server_name()?,
                operation: operation_name()?,
            },
            "run-recent" => Metric::RunRecent {
                engine: server_name()?,
                operation: operation_name()?,
            },
            "limit" => Metric::Limit {
                engine: server_name()?,
            },
            "call-lowest" => Metric::CallLowest {
                dependency: server_name()?,
            },
            "call-recent" => Metric::CallRecent {
                dependency: server_name()?,
            },
            "call-limit" => Metric::CallLimit {
                dependency: server_name()?,
            },
            "call-failures" => Metric::CallFailures {
                dependency: server_name()?,
            },
            "run-below" => Metric::RunDownstream {
                dependency: server_name()?,
                operation: operation_name()?,
            },
            "callers-again" => Metric::RetryShare,
            "callers-back" => Metric::ReturningCallerShare,
            _ => return None,
        };
        // Superfluous labels are also rejected.
        (metric.labels() == MetricLabels { server, operation }).then_some(metric)
    }
}
