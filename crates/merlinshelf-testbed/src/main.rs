//! The testbed's command line: fakes to try the program with, a demonstration, and experiments with figures.

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
    about = "Fakes, load and experiments for merlinshelf; everything on loopback, and it ends by itself",
    after_help = "Exit codes: 0 done, 1 a rule broke or something failed, 2 wrong usage.\n\nExamples:\n  \
                  merlinshelf-testbed demo\n  merlinshelf-testbed experiment upgrade --seed 7 --rounds 20 --fail 0.5"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start the program between stand-ins, send it work, upgrade it meanwhile, and show what was answered
    Demo {
        /// The program; built first where cargo runs this
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Play engine, catalogue and membership service at the addresses of a configuration
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
    /// Play a subsystem by seed and print figures; the last line is one JSON object
    #[command(alias = "trial")]
    Experiment {
        #[command(subcommand)]
        experiment: Experiment,
    },
}

#[derive(Subcommand)]
enum Experiment {
    /// Time on the cores an invocation, against another program, played in turn
    Cost {
        /// The other program, for instance the version before
        #[arg(long)]
        against: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 5)]
        pairs: u32,
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// How long each play is counted
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// With a policy for all on, held on a lease of 2 s; the other program has it off
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
        /// How many seeds are played, from this one on
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        #[arg(long, default_value_t = 20)]
        instances: u16,
        /// Invocations a second to each instance
        #[arg(long, default_value_t = 30.0)]
        rate: f64,
        /// Kills of the agent in each rolling upgrade
        #[arg(long, default_value_t = 2)]
        kills: u32,
        /// Kills of instances in each rolling upgrade, after these
        #[arg(long, default_value_t = 1)]
        kill_instances: u32,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// One change of policy a round for all instances of several agents, with faults between the processes by seed
    #[command(
        after_help = "Example:\n  merlinshelf-testbed experiment policy --seed 28 --rounds 20"
    )]
    Policy {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds are played, from this one on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Changes in each seed
        #[arg(long, default_value_t = 13)]
        rounds: u32,
        #[arg(long, default_value_t = 3)]
        agents: u8,
        /// Instances of each agent
        #[arg(long, default_value_t = 4)]
        instances: u16,
        #[arg(long, default_value_t = 1000)]
        lease_ms: u64,
        /// Invocations a second to each instance
        #[arg(long, default_value_t = 30.0)]
        rate: f64,
        /// This fault in every round, instead of by seed
        #[arg(long, value_enum)]
        only: Option<experiments::policy::RoundFault>,
        /// The way before there was a policy for all: a new file and a restart of one after the other, on one host
        #[arg(long)]
        by_restart: bool,
        /// Instead, service around changes without faults against a minute before them, and the longest stall
        #[arg(long)]
        switch: bool,
        /// Instead, what it costs by size, in virtual time
        #[arg(long)]
        sizes: bool,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Two dependencies of five servers each that fail by script, against plain ways to call them; many instances in virtual time
    #[command(after_help = "Example:\n  merlinshelf-testbed experiment dependencies --seed 19")]
    Dependencies {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Invocations a second
        #[arg(long, default_value_t = 300.0)]
        rate: f64,
        /// Plays at one time
        #[arg(long, default_value_t = 3)]
        at_once: u8,
        /// Faults that are played, by their number; absent: all
        #[arg(long, value_delimiter = ',')]
        faults: Vec<usize>,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// The same mix in overload by FastCGI, by uwsgi and by both: served, throttled and errored by operation, and what it costs
    #[command(after_help = "Example:\n  merlinshelf-testbed experiment uwsgi --seed 20 --seeds 5")]
    Uwsgi {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds are played, from this one on
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Invocations a second; about half of 300 is taken in
        #[arg(long, default_value_t = 300.0)]
        rate: f64,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// What being taught is worth, what bad teachers cost, what it costs a fleet, and what crashes leave
    #[command(
        after_help = "Example:\n  merlinshelf-testbed experiment learning --seed 17 --seeds 20 --at-once 4"
    )]
    Learning {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds are played, from this one on
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Plays at one time; each takes about a core
        #[arg(long, default_value_t = 3)]
        at_once: u8,
        /// Sizes of fleets that are played in virtual time
        #[arg(long, value_delimiter = ',', default_values_t = [16, 300, 3000])]
        fleets: Vec<usize>,
        /// How often each case of what teaching costs the teacher is played
        #[arg(long, default_value_t = 5)]
        costs: u64,
        /// Operations on files at each of which a life ends, and the next one, too
        #[arg(long, default_value_t = 40)]
        crashes: u32,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Service after an upgrade under load, against a drain and a cold start of another program
    Restart {
        /// The other program, for instance the version before
        #[arg(long)]
        against: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 500.0)]
        rate: f64,
        /// How long the service is looked at, in seconds
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// One budget for the fleet, against a fixed part for each host and against the version before
    Shares {
        #[arg(long, default_value_t = 29)]
        seed: u64,
        #[arg(long, default_value_t = 4)]
        seeds: u64,
        /// Instances of all three agents together
        #[arg(long, default_value_t = 24)]
        instances: u16,
        /// Invocations a second to each instance
        #[arg(long, default_value_t = 15.0)]
        rate: f64,
        /// The program of the version before
        #[arg(long)]
        against: Option<PathBuf>,
        /// Only this way
        #[arg(long)]
        only: Option<experiments::shares::BudgetMode>,
        /// Messages, bytes, time and the worst second by size, in virtual time
        #[arg(long)]
        sizes: bool,
        /// Whether an overload outlives its cause, where callers send again what is not served
        #[arg(long)]
        loops: bool,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Upgrades under full load, some of which fail
    Upgrade {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10)]
        rounds: u32,
        /// The share of rounds whose successor fails
        #[arg(long, default_value_t = 0.5)]
        fail: f64,
        /// Let none of them hang
        #[arg(long)]
        no_hangs: bool,
        /// Invocations a second
        #[arg(long, default_value_t = 2000.0)]
        rate: f64,
        #[arg(long, default_value_t = 200)]
        connections: usize,
        /// How long a successor is watched, in milliseconds
        #[arg(long, default_value_t = 800)]
        watched_ms: u64,
        /// Write the JSON object to a file too
        #[arg(long)]
        json: Option<PathBuf>,
        /// The program that serves first
        #[arg(long, visible_alias = "program")]
        from: Option<PathBuf>,
        /// The program of the first successor, where it is another one; after each upgrade they change places
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Two versions over the same stored data and beside each other: agents' log, gossip store, one change by both
    Compatibility {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The version that writes first
        #[arg(long)]
        from: PathBuf,
        /// The version that goes on with it; this one where none is named
        #[arg(long)]
        to: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("merlinshelf-testbed: a rule broke, see above");
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
            let setup = setup(found(program)?, 8, Duration::from_millis(1000));
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
            let setup = setup(found(program)?, 64, Duration::from_millis(800));
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
            let program = std::fs::canonicalize(found(program)?)?;
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
            let program = std::fs::canonicalize(found(program)?)?;
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
            let program = std::fs::canonicalize(found(program)?)?;
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
                let (_, held) = experiments::policy_size::run();
                return Ok(held);
            }
            let program = std::fs::canonicalize(found(program)?)?;
            let (hosts, council) = (if by_restart { 1 } else { agents }, !by_restart);
            let made = merlinshelf_testbed::installation::InstallationConfig {
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
                made,
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
            let program = std::fs::canonicalize(found(program)?)?;
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
            let program = found(program)?;
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
                setup(found(program)?, 64, Duration::from_millis(800)),
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
            let from = found(from)?;
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
                "{rounds} upgrades by seed {seed}, {fail} of them failing, at {rate} invocations a second\n"
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
                to: std::fs::canonicalize(found(to)?)?,
                seed,
            };
            local
                .block_on(&runtime, experiments::compatibility::run(&plan))
                .map(|(_, clean)| clean)
        }
    }
}

fn setup(program: PathBuf, cores: u32, watched: Duration) -> Setup {
    let mut setup = Setup::small(program);
    (setup.cores, setup.fakes.cores, setup.probation) = (cores, f64::from(cores), watched);
    setup
}

/// The program beside this one. Where cargo runs this, it is built first.
fn found(program: Option<PathBuf>) -> io::Result<PathBuf> {
    if let Some(program) = program {
        return Ok(program);
    }
    let own = std::env::current_exe()?;
    let program = own.with_file_name("merlinshelf");
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Process::new(cargo);
        build.args([
            "build",
            "--quiet",
            "--locked",
            "--package",
            "merlinshelf-cli",
        ]);
        if own
            .parent()
            .is_some_and(|folder| folder.ends_with("release"))
        {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err(io::Error::other("the program can't be built"));
        }
    }
    if !program.exists() {
        return Err(io::Error::other(format!(
            "{} is not there: build it, or name --program",
            program.display()
        )));
    }
    Ok(program)
}
