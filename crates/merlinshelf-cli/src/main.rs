//! The `merlinshelf` command line. Without a command it serves the configuration that
//! `PROXY_CONFIG` names: this is how the platform starts it.

/// Prints a line on standard output. Unlike `println!`, it does not panic when the reader has
/// closed the pipe.
macro_rules! print_line {
    ($($arguments:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($arguments)*);
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

/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of wrong usage, the same as clap's.
const WRONG_USAGE: u8 = 2;

#[derive(Parser)]
#[command(
    name = "merlinshelf",
    version,
    about = "Admission control and scheduling for backends behind load balancers",
    after_help = "Without a command it serves the configuration that PROXY_CONFIG names.\n\
                  Exit codes: 0 success, 1 failure, 2 wrong usage, 3 partial success.\n\n\
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
    /// Serve until SIGTERM, or until a successor has taken over everything
    #[command(
        after_help = "Example:\n  merlinshelf serve --config config.json --operator deploy/operator.json5"
    )]
    Serve(Files),
    /// Validate the files without starting anything
    #[command(
        after_help = "Examples:\n  merlinshelf check --config config.json --operator deploy/operator.json5\n  \
                      merlinshelf check --schema > deploy/operator.schema.json"
    )]
    Check {
        #[command(flatten)]
        files: Files,
        /// Print the JSON schema of the operator's file instead
        #[arg(long)]
        schema: bool,
        /// Print the report as one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Show the status of an instance
    #[command(
        after_help = "Examples:\n  merlinshelf status --control /run/merlinshelf/n0.control --json\n  \
                      merlinshelf status --control /run/merlinshelf/n0.control --dependencies"
    )]
    Status {
        #[command(flatten)]
        remote: Remote,
        /// Show only the dependencies: servers, reasons for ejecting them, budgets, hedged requests
        #[arg(long)]
        dependencies: bool,
    },
    /// Start a graceful shutdown of an instance, as SIGTERM does
    #[command(
        after_help = "Example:\n  merlinshelf drain --control /run/merlinshelf/n0.control --wait"
    )]
    Drain {
        #[command(flatten)]
        remote: Remote,
        /// Wait until the instance has stopped
        #[arg(long)]
        wait: bool,
    },
    /// Replace the program of a serving instance, and roll back if the new one fails
    #[command(
        after_help = "The new program is the current content of the file that the instance was started from, or the file that\n\
                      its operator's file names. Exit code 1 means that the old program is still serving.\n\n\
                      Example:\n  merlinshelf upgrade --control /run/merlinshelf/n0.control"
    )]
    Upgrade(Remote),
    /// Show or forget what an instance has learned about the servers behind it
    Knowledge {
        #[command(subcommand)]
        command: Knowledge,
    },
    /// Keep the instances of a fleet file in their desired state; they keep running when the agent
    /// ends
    #[command(after_help = "Example:\n  merlinshelf agent deploy/fleet.json5\n\n\
                      SIGHUP reloads the file; SIGTERM ends the agent and leaves the instances running.")]
    Agent {
        /// The fleet file, in JSON5
        #[arg(value_name = "FILE", value_hint = ValueHint::FilePath, required_unless_present = "schema")]
        file: Option<PathBuf>,
        /// Validate the file without starting anything
        #[arg(long)]
        check: bool,
        /// Print the JSON schema of the fleet file instead
        #[arg(long)]
        schema: bool,
    },
    /// Send a request to the agent of a fleet
    #[command(
        after_help = "Examples:\n  merlinshelf fleet status --agent /var/lib/merlinshelf/fleet/agent\n  \
                      merlinshelf fleet upgrade --all --program /opt/new/merlinshelf --wait"
    )]
    Fleet {
        #[command(flatten)]
        agent: fleet::Agent,
        #[command(subcommand)]
        command: fleet::Fleet,
    },
    /// Print a completion script for a shell
    #[command(
        after_help = "Example:\n  merlinshelf completions bash > /etc/bash_completion.d/merlinshelf"
    )]
    Completions { shell: Shell },
}

#[derive(Subcommand)]
enum Knowledge {
    /// Print the observations as a table, with ages and origins
    #[command(
        after_help = "Examples:\n  merlinshelf knowledge show --control /run/merlinshelf/n0.control\n  \
                      merlinshelf knowledge show --folder /var/lib/merlinshelf/n0"
    )]
    Show(KnowledgeSource),
    /// Print the observations as JSON, one object per line
    #[command(
        after_help = "Example:\n  merlinshelf knowledge export --control /run/merlinshelf/n0.control > n0.jsonl"
    )]
    Export(KnowledgeSource),
    /// Forget the observations received from one origin or from all; the instance's own stay
    #[command(
        after_help = "Example:\n  merlinshelf knowledge forget --control /run/merlinshelf/n0.control --origin n3"
    )]
    Forget {
        #[command(flatten)]
        remote: Remote,
        /// Name of the instance that made the observations [default: all other instances]
        #[arg(long)]
        origin: Option<String>,
    },
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct KnowledgeSource {
    /// The instance's control socket
    #[arg(long, value_name = "SOCKET", env = "MERLINSHELF_CONTROL", value_hint = ValueHint::FilePath)]
    control: Option<PathBuf>,
    /// The folder in which an instance stores its observations; the instance need not be running
    #[arg(long, value_name = "FOLDER", value_hint = ValueHint::DirPath)]
    folder: Option<PathBuf>,
}

#[derive(Args)]
struct Files {
    /// The platform's configuration, in JSON
    #[arg(long, value_name = "FILE", env = "PROXY_CONFIG", value_hint = ValueHint::FilePath)]
    config: Option<PathBuf>,
    /// The operator's file, in JSON5; without it, every feature that it enables is off
    #[arg(long, value_name = "FILE", env = "MERLINSHELF_OPERATOR", value_hint = ValueHint::FilePath)]
    operator: Option<PathBuf>,
}

#[derive(Args)]
struct Remote {
    /// The instance's control socket
    #[arg(long, value_name = "SOCKET", env = "MERLINSHELF_CONTROL", value_hint = ValueHint::FilePath)]
    control: PathBuf,
    /// Print the replies as JSON, one object per line
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let command = Cli::parse().command.unwrap_or_else(|| {
        let path_in_env = |name: &str| std::env::var_os(name).map(PathBuf::from);
        Command::Serve(Files {
            config: path_in_env("PROXY_CONFIG"),
            operator: path_in_env("MERLINSHELF_OPERATOR"),
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
            let result = if check {
                merlinshelf_agent::load(&file)
                    .map(|_| print_line!("{}: valid", file.display()))
                    .map_err(merlinshelf_agent::AgentError::from)
            } else {
                merlinshelf_agent::serve(&file)
            };
            match result {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("merlinshelf: {error}");
                    ExitCode::from(FAILED)
                }
            }
        }
        Command::Fleet { agent, command } => fleet::run(&agent, &command),
        Command::Knowledge {
            command: Knowledge::Show(KnowledgeSource { control, folder }),
        } => knowledge::show(control.as_deref(), folder.as_deref()),
        Command::Knowledge {
            command: Knowledge::Export(KnowledgeSource { control, folder }),
        } => knowledge::export(control.as_deref(), folder.as_deref()),
        Command::Knowledge {
            command: Knowledge::Forget { remote, origin },
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
    fn the_command_line_definition_is_valid() {
        Cli::command().debug_assert();
    }
}
