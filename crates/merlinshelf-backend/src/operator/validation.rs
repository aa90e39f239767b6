//! Validation of single fields. Errors say what is expected.

use std::net::SocketAddr;
use std::path::Path;

use merlinshelf_dependencies::Dependencies;

/// The maximum length of a socket's path: the system's limit of 108 less the suffix of the
/// temporary name under which it is created.
const MAX_SOCKET_PATH_BYTES: usize = 100;

/// Checks that dependencies, servers and operations refer to each other consistently.
pub(super) fn validate_dependencies(dependencies: &Dependencies, (): &()) -> garde::Result {
    dependencies.check().map_err(|errors| {
        let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
        garde::Error::new(messages.join("; "))
    })
}

/// Checks that the address is on the loopback interface and has a port.
pub(super) fn validate_loopback(text: &str, (): &()) -> garde::Result {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() && address.port() > 0 => Ok(()),
        Ok(address) if address.port() == 0 => {
            Err(garde::Error::new(format!("{text:?} names no port")))
        }
        Ok(_) => Err(garde::Error::new(format!(
            "{text:?} is not a loopback address; gossip between instances \
             is not encrypted yet, so only these are allowed"
        ))),
        Err(_) => Err(garde::Error::new(format!(
            "{text:?} is no address with a port, like 127.0.0.1:7400"
        ))),
    }
}

/// Checks that the path can be that of a Unix socket.
pub(super) fn validate_socket_path(path: &Path, (): &()) -> garde::Result {
    let length = path.as_os_str().len();
    if length == 0 {
        return Err(garde::Error::new("is empty; name a path"));
    }
    if length > MAX_SOCKET_PATH_BYTES {
        return Err(garde::Error::new(format!(
            "has {length} bytes; a socket's path may have {MAX_SOCKET_PATH_BYTES} at most"
        )));
    }
    Ok(())
}
