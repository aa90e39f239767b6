//! The testbed's command line: fakes for trying out the program, a demonstration, and experiments that print measurements.

use std::io;
use std::path::PathBuf;
use std::process::{Command as Process, ExitCode};
use std::time::Duration;

use clap::{Parser, Subcommand};
use merlinshelf_testbed::fakes::FakeBehavior;
use merlinshelf_testbed::instance::Setup;
use merlinshelf_testbed::{demo, experiments, manual};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

#[derive(Parser)]
#[command(
    name = "merlinshelf-testbed",
    version,
    about = "Fakes, load and experiments for merlinshelf; everything runs on loopback addresses and ends by itself",
    after_help = "Exit codes: 0 success, 1 a guarantee was violated or an error occurred, 2 wrong usage.\n\nExamples:\n  \
                  merlinshelf-testbed demo\n  merlinshelf-testbed experiment upgrade --seed 7 --rounds 20 --fail 0.5"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the program between fakes, upgrade it under load, and print how its invocations were answered
    Demo {
        /// Path of the merlinshelf program; under cargo it is built first if no path is given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Run a fake engine, catalogue and membership service at the addresses of a configuration
    #[command(after_help = "Example:\n  merlinshelf-testbed stand-ins examples/config.json")]
    StandIns { config: PathBuf },
    /// Send invocations to the address of a configuration and print the answers
    #[command(
        after_help = "Example:\n  merlinshelf-testbed ask examples/config.json thumbnail page-7 3"
    )]
    Ask {
        config: PathBuf,
        operation: String,
        #[arg(default_value = "")]
        body: String,
        #[arg(default_value_t = 1)]
        many: u16,
    },
    /// Run an experiment with a given seed and print measurements; the last line is one JSON object
    #[command(alias = "trial")]
    Experiment {
        #[command(subcommand)]
        experiment: Experiment,
    },
}

#[derive(Subcommand)]
enum Experiment {
    /// CPU time per invocation, compared with another program; the two run alternately
    Cost {
        /// The program to compare with, for example the previous version
        #[arg(long)]
        against: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 5)]
        pairs: u32,
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// How long each run is measured, in seconds
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// Run with policies enabled, under a lease of 2 s; the other program runs without
        #[arg(long)]
        policy: bool,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Rolling upgrades, restarts and drains of many instances under load, with kills of the agent
    #[command(
        after_help = "Example:\n  merlinshelf-testbed experiment fleet --seed 18 --seeds 20 --instances 20"
    )]
    Fleet {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, from this one on
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        #[arg(long, default_value_t = 20)]
        instances: u16,
        /// Invocations per second to each instance
        #[arg(long, default_value_t = 30.0)]
        rate: f64,
        /// Number of times the agent is killed in each rolling upgrade
        #[arg(long, default_value_t = 2)]
        kills: u32,
        /// Number of instances killed in each rolling upgrade, after the agent's kills
        #[arg(long, default_value_t = 1)]
        kill_instances: u32,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// One policy change per round for all instances of several agents, with faults between the processes chosen by seed
    #[command(
        after_help = "Example:\n  merlinshelf-testbed experiment policy --seed 28 --rounds 20"
    )]
    Policy {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, from this one on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of policy changes for each seed
        #[arg(long, default_value_t = 13)]
        rounds: u32,
        #[arg(long, default_value_t = 3)]
        agents: u8,
        /// Number of instances of each agent
        #[arg(long, default_value_t = 4)]
        instances: u16,
        #[arg(long, default_value_t = 1000)]
        lease_ms: u64,
        /// Invocations per second to each instance
        #[arg(long, default_value_t = 30.0)]
        rate: f64,
        /// Inject this fault in every round, instead of one chosen by seed
        #[arg(long, value_enum)]
        only: Option<experiments::policy::RoundFault>,
        /// Instead, change the policy without consensus: a new file and a rolling restart, on one host
        #[arg(long)]
        by_restart: bool,
        /// Instead, compare service around changes without faults to the minute before them, and measure the longest stall
        #[arg(long)]
        switch: bool,
        /// Instead, measure the cost by fleet size, in virtual time
        #[arg(long)]
        sizes: bool,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Two dependencies of five servers each with scripted failures, compared with simple routing; many instances in virtual time
    #[command(after_help = "Example:\n  merlinshelf-testbed experiment dependencies --seed 19")]
    Dependencies {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Invocations per second
        #[arg(long, default_value_t = 300.0)]
        rate: f64,
        /// Number of concurrent runs
        #[arg(long, default_value_t = 3)]
        at_once: u8,
        /// Numbers of the faults to run, separated by commas; all if omitted
        #[arg(long, value_delimiter = ',')]
        faults: Vec<usize>,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// The same overload by FastCGI, by uwsgi and by both: served, throttled and failed invocations by operation, and the cost
    #[command(after_help = "Example:\n  merlinshelf-testbed experiment uwsgi --seed 20 --seeds 5")]
    Uwsgi {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, from this one on
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Invocations per second; about half of the default is admitted
        #[arg(long, default_value_t = 300.0)]
        rate: f64,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Benefit of gossiped observations, harm done by bad peers, cost for a fleet, and what is lost in crashes
    #[command(
        after_help = "Example:\n  merlinshelf-testbed experiment learning --seed 17 --seeds 20 --at-once 4"
    )]
    Learning {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, from this one on
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Number of concurrent runs; each takes about one core
        #[arg(long, default_value_t = 3)]
        at_once: u8,
        /// Fleet sizes to simulate in virtual time, separated by commas
        #[arg(long, value_delimiter = ',', default_values_t = [16, 300, 3000])]
        fleets: Vec<usize>,
        /// Number of repetitions of each case that measures the cost of answering peers
        #[arg(long, default_value_t = 5)]
        costs: u64,
        /// Number of file operations at each of which the process crashes, and at each of which its successor crashes too
        #[arg(long, default_value_t = 40)]
        crashes: u32,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Service after an upgrade under load, compared with a drain and a cold start of another program
    Restart {
        /// The program to compare with, for example the previous version
        #[arg(long)]
        against: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        /// How long the service is measured, in seconds
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// One call budget for the fleet, compared with a fixed share for each host and with the previous version
    Shares {
        #[arg(long, default_value_t = 29)]
        seed: u64,
        #[arg(long, default_value_t = 4)]
        seeds: u64,
        /// Total number of instances of all three agents
        #[arg(long, default_value_t = 24)]
        instances: u16,
        /// Invocations per second to each instance
        #[arg(long, default_value_t = 15.0)]
        rate: f64,
        /// The program of the previous version
        #[arg(long)]
        against: Option<PathBuf>,
        /// Run only this mode
        #[arg(long)]
        only: Option<experiments::shares::BudgetMode>,
        /// Instead, measure messages, bytes, time and the busiest second by fleet size, in virtual time
        #[arg(long)]
        sizes: bool,
        /// Instead, measure whether an overload persists after its cause has ended, when callers retry what is not served
        #[arg(long)]
        loops: bool,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Upgrades under load, some of which fail
    Upgrade {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10)]
        rounds: u32,
        /// Fraction of the rounds in which the successor fails
        #[arg(long, default_value_t = 0.5)]
        fail: f64,
        /// Let no successor hang
        #[arg(long)]
        no_hangs: bool,
        /// Invocations per second
        #[arg(long, default_value_t = 2000.0)]
        rate: f64,
        #[arg(long, default_value_t = 200)]
        connections: usize,
        /// Length of a successor's probation, in milliseconds
        #[arg(long, default_value_t = 800)]
        watched_ms: u64,
        /// Also write the JSON object to this file
        #[arg(long)]
        json: Option<PathBuf>,
        /// The program that serves first
        #[arg(long, visible_alias = "program")]
        from: Option<PathBuf>,
        /// The program of the first successor, if it is a different one; the two alternate after each upgrade
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Two versions on the same stored data and side by side: the agents' log, the gossip store, and a policy change by both
    Compatibility {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The version that writes first
        #[arg(long)]
        from: PathBuf,
        /// The version that continues with the data; the current one if omitted
        #[arg(long)]
        to: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("merlinshelf-testbed: a guarantee was violated, see above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("merlinshelf-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> io::Result<bool> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    match command {
        Command::Demo { program } => {
            let setup = setup(program_path(program)?, 8, Duration::from_millis(1000));
            local.block_on(&runtime, demo::run(&setup))
        }
        Command::StandIns { config } => {
            let behavior = Setup::small("").fakes;
            let behavior = FakeBehavior {
                run_duration: Duration::from_millis(60),
                cores: 2.0,
                verbose: true,
                ..behavior
            };
            local
                .block_on(&runtime, manual::serve_fakes(&config, behavior))
                .map(|()| true)
        }
        Command::Ask {
            config,
            operation,
            body,
            many,
        } => manual::send_invocations(&config, &operation, &body, many).map(|()| true),
        Command::Experiment {
            experiment:
                Experiment::Cost {
                    against,
                    seed,
                    pairs,
                    rate,
                    seconds,
                    policy,
                    program,
                },
        } => {
            let setup = setup(program_path(program)?, 64, Duration::from_millis(800));
            let measured_for = Duration::from_secs(seconds);
            let plan = experiments::cost::Plan {
                seed,
                pairs,
                rate,
                against,
                measured_for,
                setup,
                policy,
            };
            local
                .block_on(&runtime, experiments::cost::run(&plan))
                .map(|(_, clean)| clean)
        }
        Command::Experiment {
            experiment:
                Experiment::Uwsgi {
                    seed,
                    seeds,
                    rate,
                    program,
                },
        } => {
            let program = std::fs::canonicalize(program_path(program)?)?;
            let plan = experiments::uwsgi::Plan {
                seed,
                seeds,
                rate,
                program,
            };
            local
                .block_on(&runtime, experiments::uwsgi::run(&plan))
                .map(|(_, clean)| clean)
        }
        Command::Experiment {
            experiment:
                Experiment::Dependencies {
                    seed,
                    rate,
                    at_once,
                    faults,
                    program,
                },
        } => {
            let program = std::fs::canonicalize(program_path(program)?)?;
            let plan = experiments::dependencies::Plan {
                seed,
                rate,
                at_once,
                faults,
                program,
            };
            experiments::dependencies::run(&plan).map(|(_, clean)| clean)
        }
        Command::Experiment {
            experiment:
                Experiment::Fleet {
                    seed,
                    seeds,
                    instances,
                    rate,
                    kills,
                    kill_instances,
                    program,
                },
        } => {
            let program = std::fs::canonicalize(program_path(program)?)?;
            let plan = experiments::fleet::Plan {
                seed,
                seeds,
                instances,
                rate,
                kills,
                kill_instances,
                program,
            };
            local
                .block_on(&runtime, experiments::fleet::run(&plan))
                .map(|(_, clean)| clean)
        }
        Command::Experiment {
            experiment:
                Experiment::Policy {
                    seed,
                    seeds,
                    rounds,
                    agents,
                    instances,
                    lease_ms,
                    rate,
                    only,
                    by_restart,
                    switch,
                    sizes,
                    program,
                },
        } => {
            if sizes {
                let (_, within_bounds) = experiments::policy_size::run();
                return Ok(within_bounds);
            }
            let program = std::fs::canonicalize(program_path(program)?)?;
            let (hosts, council) = (if by_restart { 1 } else { agents }, !by_restart);
            let config = merlinshelf_testbed::installation::InstallationConfig {
                hosts,
                instances,
                lease_ms,
                with_consensus: council,
                ..Default::default()
            };
            let plan = experiments::policy::Plan {
                seed,
                seeds,
                rounds,
                made: config,
                rate,
                program,
                only,
            };
            if by_restart {
                local
                    .block_on(&runtime, experiments::policy::by_restart(&plan))
                    .map(|_| true)
            } else if switch {
                local
                    .block_on(&runtime, experiments::policy_switch::run(&plan))
                    .map(|(_, holds)| holds)
            } else {
                local
                    .block_on(&runtime, experiments::policy::run(&plan))
                    .map(|(_, clean)| clean)
            }
        }
        Command::Experiment {
            experiment:
                Experiment::Shares {
                    seed,
                    seeds,
                    instances,
                    rate,
                    against,
                    only,
                    sizes,
                    loops,
                    program,
                },
        } => {
            if sizes {
                return Ok(experiments::shares_size::run(seed).1);
            }
            let program = std::fs::canonicalize(program_path(program)?)?;
            let plan = experiments::shares::Plan {
                seed,
                seeds,
                instances,
                rate,
                program,
                against,
                only,
            };
            if loops {
                return local
                    .block_on(&runtime, experiments::shares_loop::run(&plan))
                    .map(|(_, clean)| clean);
            }
            local
                .block_on(&runtime, experiments::shares::run(&plan))
                .map(|(_, clean)| clean)
        }
        Command::Experiment {
            experiment:
                Experiment::Learning {
                    seed,
                    seeds,
                    at_once,
                    fleets,
                    costs,
                    crashes,
                    program,
                },
        } => {
            let program = program_path(program)?;
            let plan = experiments::learning::Plan {
                seed,
                seeds,
                at_once,
                program,
                fleets,
                costs,
                crashes,
            };
            experiments::learning::run(&plan).map(|(_, holds)| holds)
        }
        Command::Experiment {
            experiment:
                Experiment::Restart {
                    against,
                    seed,
                    rate,
                    seconds,
                    program,
                },
        } => {
            let (setup, observed_for) = (
                setup(program_path(program)?, 64, Duration::from_millis(800)),
                Duration::from_secs(seconds),
            );
            let plan = experiments::restart::Plan {
                seed,
                rate,
                against,
                observed_for,
                setup,
            };
            local
                .block_on(&runtime, experiments::restart::run(&plan))
                .map(|(_, clean)| clean)
        }
        Command::Experiment {
            experiment:
                Experiment::Upgrade {
                    seed,
                    rounds,
                    fail,
                    no_hangs,
                    rate,
                    connections,
                    watched_ms,
                    json,
                    from,
                    to,
                },
        } => {
            let from = program_path(from)?;
            let successor = std::fs::canonicalize(to.as_ref().unwrap_or(&from))?;
            let setup = setup(from, 64, Duration::from_millis(watched_ms));
            let plan = experiments::upgrade::Plan {
                seed,
                rounds,
                fail: fail.clamp(0.0, 1.0),
                hangs: !no_hangs,
                rate,
                connections,
                setup,
                successor,
            };
            println!(
                "{rounds} upgrades with seed {seed}, fraction {fail} failing, at {rate} invocations per second\n"
            );
            let (line, clean) = local.block_on(&runtime, experiments::upgrade::run(&plan))?;
            if let Some(path) = json {
                std::fs::write(path, line.to_string() + "\n")?;
            }
            Ok(clean)
        }
        Command::Experiment {
            experiment: Experiment::Compatibility { seed, from, to },
        } => {
            let plan = experiments::compatibility::Plan {
                from: std::fs::canonicalize(from)?,
                to: std::fs::canonicalize(program_path(to)?)?,
                seed,
            };
            local
                .block_on(&runtime, experiments::compatibility::run(&plan))
                .map(|(_, clean)| clean)
        }
    }
}

fn setup(program: PathBuf, cores: u32, probation: Duration) -> Setup {
    let mut setup = Setup::small(program);
    (setup.cores, setup.fakes.cores, setup.probation) = (cores, f64::from(cores), probation);
    setup
}

/// The given program, or else the one next to this executable. Under cargo it is built first.
fn program_path(program: Option<PathBuf>) -> io::Result<PathBuf> {
    if let Some(program) = program {
        return Ok(program);
    }
    let executable = std::env::current_exe()?;
    let program = executable.with_file_name("merlinshelf");
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Process::new(cargo);
        build.args([
            "build",
            "--quiet",
            "--locked",
            "--package",
            "merlinshelf-cli",
        ]);
        if executable
            .parent()
            .is_some_and(|folder| folder.ends_with("release"))
        {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err(io::Error::other("building the program failed"));
        }
    }
    if !program.exists() {
        return Err(io::Error::other(format!(
            "{} does not exist: build it, or give its path with --program",
            program.display()
        )));
    }
    Ok(program)
}
