//! The program that operators run. Without a command and with `PROXY_CONFIG` it serves, as the platform starts it.

/// A line on standard output; a reader that has gone costs the line and nothing else.
macro_rules! tell {
    ($($words:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($words)*);
    }};
}

mod budget;
mod check;
mod fleet;
mod knowledge;
mod policy;
mod remote;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueHint};
use clap_complete::Shell;
use merlinshelf_backend::{Start, serve};

/// Exit codes: done, failed, wrong usage (clap's own), partly done.
const FAILED: u8 = 1;
const WRONG_USAGE: u8 = 2;

#[derive(Parser)]
#[command(
    name = "merlinshelf",
    version,
    about = "Admission and scheduling for servers behind balancers nobody can change",
    after_help = "Without a command it serves what PROXY_CONFIG names.\n\
                  Exit codes: 0 done, 1 failed, 2 wrong usage, 3 partly done.\n\n\
                  Examples:\n  PROXY_CONFIG=config.json merlinshelf\n  \
                  merlinshelf serve --config config.json --operator operator.json5\n  \
                  merlinshelf upgrade --control /run/merlinshelf/n0.control"
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until told to leave (SIGTERM), or until a successor has everything
    #[command(
        after_help = "Example:\n  merlinshelf serve --config config.json --operator deploy/operator.json5"
    )]
    Serve(Files),
    /// Say whether the files can be used, without starting anything
    #[command(
        after_help = "Examples:\n  merlinshelf check --config config.json --operator deploy/operator.json5\n  \
                      merlinshelf check --schema > deploy/operator.schema.json"
    )]
    Check {
        #[command(flatten)]
        files: Files,
        /// Print the schema of the operators' file instead
        #[arg(long)]
        schema: bool,
        /// Print the report as one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Say how an instance stands
    #[command(
        after_help = "Examples:\n  merlinshelf status --control /run/merlinshelf/n0.control --json\n  \
                      merlinshelf status --control /run/merlinshelf/n0.control --dependencies"
    )]
    Status {
        #[command(flatten)]
        remote: Remote,
        /// Only the dependencies: their servers, why one is out, budgets, second calls
        #[arg(long)]
        dependencies: bool,
    },
    /// Tell an instance to leave, as SIGTERM does
    #[command(
        after_help = "Example:\n  merlinshelf drain --control /run/merlinshelf/n0.control --wait"
    )]
    Drain {
        #[command(flatten)]
        remote: Remote,
        /// Wait until it has left
        #[arg(long)]
        wait: bool,
    },
    /// Replace the program of an instance under load, and take it back if the new one fails
    #[command(
        after_help = "The new program is the file that the instance was started from, as it is now, or the one that its\n\
                      operators' file names. Exit code 1 says that the old program serves on.\n\n\
                      Example:\n  merlinshelf upgrade --control /run/merlinshelf/n0.control"
    )]
    Upgrade(Remote),
    /// What an instance knows of the servers behind it, from whom and how old
    Knowledge {
        #[command(subcommand)]
        what: Knowledge,
    },
    /// Keep the instances of a file as they are wanted, until told to end; they go on without it
    #[command(after_help = "Example:\n  merlinshelf agent deploy/fleet.json5\n\n\
                      SIGHUP reads the file anew, SIGTERM ends the agent and no instance.")]
    Agent {
        /// The fleet's file, in JSON5
        #[arg(value_name = "FILE", value_hint = ValueHint::FilePath, required_unless_present = "schema")]
        file: Option<PathBuf>,
        /// Say whether the file can be used, and start nothing
        #[arg(long)]
        check: bool,
        /// Print the schema of the file instead
        #[arg(long)]
        schema: bool,
    },
    /// Ask the agent of a fleet
    #[command(
        after_help = "Examples:\n  merlinshelf fleet status --agent /var/lib/merlinshelf/fleet/agent\n  \
                      merlinshelf fleet upgrade --all --program /opt/new/merlinshelf --wait"
    )]
    Fleet {
        #[command(flatten)]
        agent: fleet::Agent,
        #[command(subcommand)]
        what: fleet::Fleet,
    },
    /// Print completions for a shell
    #[command(
        after_help = "Example:\n  merlinshelf completions bash > /etc/bash_completion.d/merlinshelf"
    )]
    Completions { shell: Shell },
}

#[derive(Subcommand)]
enum Knowledge {
    /// Print a table with ages and origins
    #[command(
        after_help = "Examples:\n  merlinshelf knowledge show --control /run/merlinshelf/n0.control\n  \
                      merlinshelf knowledge show --folder /var/lib/merlinshelf/n0"
    )]
    Show(Known),
    /// Print one JSON object a line
    #[command(
        after_help = "Example:\n  merlinshelf knowledge export --control /run/merlinshelf/n0.control > n0.jsonl"
    )]
    Export(Known),
    /// Forget what was told, by one origin or by all; what was seen here stays
    #[command(
        after_help = "Example:\n  merlinshelf knowledge forget --control /run/merlinshelf/n0.control --origin n3"
    )]
    Forget {
        #[command(flatten)]
        remote: Remote,
        /// The name of the instance that has seen it; absent: all others
        #[arg(long)]
        origin: Option<String>,
    },
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct Known {
    /// The instance's control socket
    #[arg(long, value_name = "SOCKET", env = "MERLINSHELF_CONTROL", value_hint = ValueHint::FilePath)]
    control: Option<PathBuf>,
    /// The folder in which an instance keeps it, also one that does not run
    #[arg(long, value_name = "FOLDER", value_hint = ValueHint::DirPath)]
    folder: Option<PathBuf>,
}

#[derive(Args)]
struct Files {
    /// The platform's configuration, in JSON
    #[arg(long, value_name = "FILE", env = "PROXY_CONFIG", value_hint = ValueHint::FilePath)]
    config: Option<PathBuf>,
    /// The operators' own file, in JSON5; without it all that it switches on is off
    #[arg(long, value_name = "FILE", env = "MERLINSHELF_OPERATOR", value_hint = ValueHint::FilePath)]
    operator: Option<PathBuf>,
}

#[derive(Args)]
struct Remote {
    /// The instance's control socket
    #[arg(long, value_name = "SOCKET", env = "MERLINSHELF_CONTROL", value_hint = ValueHint::FilePath)]
    control: PathBuf,
    /// Print what it says as JSON, one object a line
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let command = Cli::parse().command.unwrap_or_else(|| {
        let named = |name: &str| std::env::var_os(name).map(PathBuf::from);
        Command::Serve(Files {
            config: named("PROXY_CONFIG"),
            operator: named("MERLINSHELF_OPERATOR"),
        })
    });
    match command {
        Command::Serve(Files { config: None, .. }) => {
            eprintln!("merlinshelf: PROXY_CONFIG names no configuration");
            ExitCode::from(FAILED)
        }
        Command::Serve(Files {
            config: Some(config),
            operator,
        }) => match serve(&Start { config, operator }) {
            Ok(status) => ExitCode::from(status.clamp(0, 255) as u8),
            Err(reason) => {
                eprintln!("merlinshelf: {reason}");
                ExitCode::from(FAILED)
            }
        },
        Command::Check { schema: true, .. } => {
            print!("{}", merlinshelf_backend::operator::Operator::schema());
            ExitCode::SUCCESS
        }
        Command::Check { files, json, .. } => check::check(files.config, files.operator, json),
        Command::Status {
            remote,
            dependencies,
        } => remote::status(&remote.control, remote.json, dependencies),
        Command::Drain { remote, wait } => remote::drain(&remote.control, remote.json, wait),
        Command::Upgrade(remote) => remote::upgrade(&remote.control, remote.json),
        Command::Agent { schema: true, .. } => {
            print!("{}", merlinshelf_agent::schema());
            ExitCode::SUCCESS
        }
        Command::Agent { file, check, .. } => {
            let file = file.unwrap_or_default();
            let done = if check {
                merlinshelf_agent::load(&file)
                    .map(|_| tell!("{}: can be used", file.display()))
                    .map_err(merlinshelf_agent::AgentError::from)
            } else {
                merlinshelf_agent::serve(&file)
            };
            match done {
                Ok(()) => ExitCode::SUCCESS,
                Err(why) => {
                    eprintln!("merlinshelf: {why}");
                    ExitCode::from(FAILED)
                }
            }
        }
        Command::Fleet { agent, what } => fleet::run(&agent, &what),
        Command::Knowledge {
            what: Knowledge::Show(Known { control, folder }),
        } => knowledge::show(control.as_deref(), folder.as_deref()),
        Command::Knowledge {
            what: Knowledge::Export(Known { control, folder }),
        } => knowledge::export(control.as_deref(), folder.as_deref()),
        Command::Knowledge {
            what: Knowledge::Forget { remote, origin },
        } => knowledge::forget(&remote.control, origin.as_deref(), remote.json),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Cli::command(),
                "merlinshelf",
                &mut std::io::stdout(),
            );
            ExitCode::SUCCESS
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_fits_together() {
        Cli::command().debug_assert();
    }
}
