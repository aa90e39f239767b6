//! `merlinshelf check`: validates the files without starting anything.

use std::path::PathBuf;
use std::process::ExitCode;

use merlinshelf_backend::check_config;
use merlinshelf_backend::operator::Operator;
use serde_json::json;

use crate::{FAILED, WRONG_USAGE};

pub fn check(config: Option<PathBuf>, operator: Option<PathBuf>, as_json: bool) -> ExitCode {
    if config.is_none() && operator.is_none() {
        eprintln!("merlinshelf: no file given: use --config, --operator or PROXY_CONFIG");
        return ExitCode::from(WRONG_USAGE);
    }
    let config = config.map(|path| {
        let result = check_config(&path).map_err(|error| error.to_string());
        (path, result)
    });
    let operator = operator.map(|path| {
        let result = Operator::load(Some(&path)).map_err(|error| error.to_string());
        (path, result)
    });
    let protocols = match &operator {
        Some((_, Ok(operator))) if operator.uwsgi => "FastCGI and uwsgi",
        _ => "FastCGI",
    };
    let operator = operator.map(|(path, result)| (path, result.map(|_| ())));
    let files = [("config", config), ("operator", operator)];
    let mut failed = false;
    for (kind, path, result) in files
        .into_iter()
        .filter_map(|(kind, file)| file.map(|(path, result)| (kind, path, result)))
    {
        failed |= result.is_err();
        if as_json {
            print_line!(
                "{}",
                json!({
                    "file": path, "what": kind, "usable": result.is_ok(), "why": result.err(), "listener": protocols,
                })
            );
        } else {
            match result {
                Ok(()) if kind == "operator" => {
                    print_line!(
                        "{}: valid; the listener accepts {protocols}",
                        path.display()
                    );
                }
                Ok(()) => print_line!("{}: valid", path.display()),
                Err(error) => print_line!("{error}"),
            }
        }
    }
    if failed {
        ExitCode::from(FAILED)
    } else {
        ExitCode::SUCCESS
    }
}
