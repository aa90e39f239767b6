//! The files of one instance: its configuration, its operators' file, the link to its program, and
//! its log.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

use log::warn;
use merlinshelf_fleet::capacity::address;
use merlinshelf_fleet::fleet_spec::ConsensusConfig;
use merlinshelf_fleet::{FleetSpec, Group, Instance};
use serde_json::{Value, json};

/// Length above which a log is rotated.
const MAX_LOG_BYTES: u64 = 8 * 1024 * 1024;
/// Length of a log's tail in which its last lines are searched.
const LOG_TAIL_BYTES: u64 = 48 * 1024;
/// Maximum length read from the start of the tail, since the log may grow during the read.
const MAX_LOG_READ_BYTES: u64 = 64 * 1024;
/// Offset of an instance's gossip port from its client port.
const GOSSIP_PORT_OFFSET: u16 = 20_000;
/// Number of instances of its group with which an instance starts to gossip.
const GOSSIP_SEEDS: u32 = 4;
/// Multiplier that makes the seeds of a group's instances differ.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Paths of one instance's files.
pub(crate) struct InstancePaths {
    pub folder: PathBuf,
    pub config: PathBuf,
    pub operator: PathBuf,
    /// The control socket.
    pub control: PathBuf,
    /// A symbolic link to the program of the instance's next process.
    pub program: PathBuf,
    pub log: PathBuf,
}

impl InstancePaths {
    /// The paths of an instance by its name.
    pub fn new(spec: &FleetSpec, name: &str) -> InstancePaths {
        let folder = spec.folder.join(name);
        InstancePaths {
            config: folder.join("config.json"),
            operator: folder.join("operator.json5"),
            control: folder.join("control"),
            program: folder.join("program"),
            log: folder.join("log"),
            folder,
        }
    }
}

/// Writes the files that an instance is started with.
///
/// # Errors
/// The group is no longer in the fleet file, its configuration can't be read, or the folder can't
/// be written.
pub(crate) fn write_instance_files(
    spec: &FleetSpec,
    instance: &Instance,
) -> io::Result<InstancePaths> {
    let group = spec
        .groups
        .get(&instance.group)
        .ok_or_else(|| io::Error::other("its group is gone from the file"))?;
    let paths = InstancePaths::new(spec, &instance.name);
    std::fs::create_dir_all(&paths.folder)?;
    let listen =
        address(&group.listen, instance.index).ok_or_else(|| io::Error::other("it has no port"))?;
    let config = instance_config(group, instance, listen)?;
    let operator = operator_config(spec, group, instance, listen, &paths);
    replace_file(&paths.config, config.to_string().as_bytes())?;
    replace_file(&paths.operator, operator.to_string().as_bytes())?;
    link_program(&paths, &instance.program)?;
    rotate_log(&paths.log);
    Ok(paths)
}

/// The group's configuration with the instance's own name, addresses and seed.
fn instance_config(group: &Group, instance: &Instance, listen: SocketAddr) -> io::Result<Value> {
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&group.config)?)?;
    config["name"] = json!(instance.name);
    config["listen"] = json!(listen.to_string());
    if let Some(engine) = group
        .engine
        .as_deref()
        .and_then(|first| address(first, instance.index))
    {
        config["engine"] = json!(engine.to_string());
    }
    let seed = u64::from_str_radix(config["seed"].as_str().unwrap_or("0"), 16).unwrap_or(0);
    let own_seed = seed ^ u64::from(instance.index).wrapping_mul(SEED_MULTIPLIER);
    config["seed"] = json!(format!("{own_seed:016x}"));
    Ok(config)
}

fn operator_config(
    spec: &FleetSpec,
    group: &Group,
    instance: &Instance,
    listen: SocketAddr,
    paths: &InstancePaths,
) -> Value {
    // During an upgrade predecessor and successor run at the same time.
    let mut operator = json!({
        "control": { "socket": paths.control },
        "log": { "format": "json" },
        "upgrade": {
            "program": paths.program,
            "descriptors": 2 * group.descriptors,
            "memory_mb": 2 * group.memory_mb,
        },
    });
    if group.is_gossiping {
        operator["learning"] = gossip_config(group, instance, listen, paths);
    }
    if let Some(consensus) = &spec.council {
        operator["policy"] = policy_config(spec, consensus);
    }
    operator
}

fn gossip_config(
    group: &Group,
    instance: &Instance,
    listen: SocketAddr,
    paths: &InstancePaths,
) -> Value {
    let mut gossip = json!({ "engine": instance.group, "folder": paths.folder.join("kept") });
    if let Some(own) = gossip_address(listen) {
        // Instances spread over the group, from which a starting instance learns.
        let stride = (group.count / GOSSIP_SEEDS).max(1);
        let mut seeds: Vec<String> = (1..=GOSSIP_SEEDS)
            .map(|place| (instance.index + place * stride) % group.count.max(1))
            .filter_map(|number| gossip_address(address(&group.listen, number)?))
            .filter(|seed| *seed != own)
            .collect();
        seeds.dedup();
        gossip["peers"] = json!({ "listen": own, "seeds": seeds });
    }
    gossip
}

/// The gossip address of an instance, on the loopback interface.
fn gossip_address(listen: SocketAddr) -> Option<String> {
    let port = listen.port().checked_add(GOSSIP_PORT_OFFSET)?;
    let ip = if listen.ip().is_loopback() {
        listen.ip().to_string()
    } else {
        "127.0.0.1".into()
    };
    Some(format!("{ip}:{port}"))
}

fn policy_config(spec: &FleetSpec, consensus: &ConsensusConfig) -> Value {
    // An instance waits for two lease durations: a leader is elected within the first one, and
    // its lease arrives within the second one.
    let mut policy = json!({
        "base": consensus.base,
        "without": consensus.lease_expiry_mode,
        "drift": consensus.drift,
        "wait_ms": 2 * consensus.lease_ms,
    });
    if !consensus.base.budgets.is_empty() {
        // Only with budgets, since programs without support for them also read the file.
        policy["lease_ms"] = json!(consensus.lease_ms);
        policy["aside"] = json!(Path::new(&spec.folder).join("aside"));
    }
    policy
}

/// Replaces a file atomically.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, bytes)?;
    std::fs::rename(new, path)
}

/// Sets the program of the instance's next process.
///
/// # Errors
/// The folder can't be written.
pub(crate) fn link_program(paths: &InstancePaths, program: &str) -> io::Result<()> {
    let new = paths.folder.join("program.new");
    match std::fs::remove_file(&new) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    symlink(program, &new)?;
    std::fs::rename(new, &paths.program)
}

/// Copies a long log to another file and truncates it; its writer continues at the new end.
pub(crate) fn rotate_log(log: &Path) {
    if std::fs::metadata(log).is_ok_and(|metadata| metadata.len() > MAX_LOG_BYTES) {
        // On a full disk, losing the old lines is better than stopping the service.
        if let Err(error) = std::fs::copy(log, log.with_extension("1")) {
            warn!(error:% = error; "log {} not copied at its rotation: {error}", log.display());
        }
        if let Err(error) = OpenOptions::new().write(true).truncate(true).open(log) {
            warn!(error:% = error; "log {} not truncated: {error}", log.display());
        }
    }
}

/// The last lines of a log.
///
/// # Errors
/// It can't be read.
pub(crate) fn last_lines(log: &Path, count: usize) -> io::Result<Vec<String>> {
    let mut file = File::open(log)?;
    let start = file.metadata()?.len().saturating_sub(LOG_TAIL_BYTES);
    file.seek(SeekFrom::Start(start))?;
    let mut bytes = Vec::new();
    file.take(MAX_LOG_READ_BYTES).read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    // The first line may start before the part that was read.
    let lines: Vec<&str> = text.lines().skip(usize::from(start > 0)).collect();
    let first = lines.len().saturating_sub(count);
    Ok(lines[first..]
        .iter()
        .map(|line| (*line).to_owned())
        .collect())
}
