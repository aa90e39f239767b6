//! `merlinshelf check`: whether the files can be used.

use std::path::PathBuf;
use std::process::ExitCode;

use merlinshelf_backend::check_config;
use merlinshelf_backend::operator::Operator;
use serde_json::json;

use crate::{FAILED, WRONG_USAGE};

pub fn check(config: Option<PathBuf>, operator: Option<PathBuf>, as_json: bool) -> ExitCode {
    if config.is_none() && operator.is_none() {
        eprintln!("merlinshelf: name a file: --config, --operator, or PROXY_CONFIG");
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
    let speaks = match &operator {
        Some((_, Ok(of))) if of.uwsgi => "FastCGI and uwsgi",
        _ => "FastCGI",
    };
    let operator = operator.map(|(path, of)| (path, of.map(|_| ())));
    let files = [("config", config), ("operator", operator)];
    let mut failed = false;
    for (what, path, result) in files
        .into_iter()
        .filter_map(|(what, file)| file.map(|(path, of)| (what, path, of)))
    {
        failed |= result.is_err();
        if as_json {
            tell!(
                "{}",
                json!({
                    "file": path, "what": what, "usable": result.is_ok(), "why": result.err(), "listener": speaks,
                })
            );
        } else {
            match result {
                Ok(()) if what == "operator" => {
                    tell!(
                        "{}: can be used; the listener speaks {speaks}",
                        path.display()
                    );
                }
                Ok(()) => tell!("{}: can be used", path.display()),
                Err(why) => tell!("{why}"),
            }
        }
    }
    if failed {
        ExitCode::from(FAILED)
    } else {
        ExitCode::SUCCESS
    }
}
