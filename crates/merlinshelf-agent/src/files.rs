//! Files of the fleet and of its instances: what the operators wrote, and what is made of it for each.

use std::io;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

use merlinshelf_backend::operator::parse_json5;
use merlinshelf_fleet::capacity::{self, address};
use merlinshelf_fleet::{FleetSpec, Instance};
use serde_json::{Value, json};

/// A log that is longer is put beside and begun anew.
const LOG_MOST: u64 = 8 * 1024 * 1024;
/// The file is a few pages long; a far larger one is none of ours.
const FILE_MOST: u64 = 1024 * 1024;

/// Reads the fleet's file and shows that it can be used: it fits, and each group's program and configuration are there.
///
/// # Errors
/// What can't be used, with the file, the line and the field where it is one.
pub fn load(path: &Path) -> Result<FleetSpec, String> {
    let named = |why: String| format!("{}:{why}", path.display());
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(|error| named(format!(" {error}")))?;
    io::Read::read_to_string(&mut io::Read::take(file, FILE_MOST), &mut text)
        .map_err(|error| named(format!(" {error}")))?;
    let mut wanted: FleetSpec = parse_json5(&text).map_err(|error| named(error.to_string()))?;
    let base = path.parent().unwrap_or(Path::new("."));
    wanted.folder = std::path::absolute(base.join(&wanted.folder))
        .map_err(|error| named(format!(" folder: {error}")))?;
    for (name, group) in &mut wanted.groups {
        let of = |field: &str, path: &Path| {
            std::fs::canonicalize(base.join(path))
                .map_err(|error| format!(" groups.{name}.{field}: {}: {error}", path.display()))
        };
        group.program = of("program", &group.program).map_err(named)?;
        group.config = of("config", &group.config).map_err(named)?;
        merlinshelf_backend::check_config(&group.config)
            .map_err(|why| named(format!(" groups.{name}.config: {why}")))?;
    }
    capacity::check(&wanted).map_err(|misfit| named(format!(" {misfit}")))?;
    Ok(wanted)
}

/// How long the slowest group's instances may take from the notice to their end, seconds.
pub fn stop_within(wanted: &FleetSpec) -> f64 {
    let of = |group: &merlinshelf_fleet::Group| {
        let text = std::fs::read_to_string(&group.config).ok()?;
        serde_json::from_str::<Value>(&text).ok()?["stop_ms"].as_f64()
    };
    wanted.groups.values().filter_map(of).fold(1000.0, f64::max) / 1e3
}

/// Paths of one instance.
pub struct Paths {
    pub folder: PathBuf,
    pub config: PathBuf,
    pub operator: PathBuf,
    pub control: PathBuf,
    pub program: PathBuf,
    pub log: PathBuf,
}

pub fn paths(wanted: &FleetSpec, name: &str) -> Paths {
    let folder = wanted.folder.join(name);
    Paths {
        config: folder.join("config.json"),
        operator: folder.join("operator.json5"),
        control: folder.join("control"),
        program: folder.join("program"),
        log: folder.join("log"),
        folder,
    }
}

/// Where the agent itself is asked.
pub fn agent_socket(wanted: &FleetSpec) -> PathBuf {
    wanted.folder.join("agent")
}

/// Where an instance is asked by its like, on loopback beside its own port.
fn teaching_address(listen: std::net::SocketAddr) -> Option<String> {
    // Ports of instances count upwards; these count in the upper half.
    let port = listen.port().checked_add(20_000)?;
    let ip = if listen.ip().is_loopback() {
        listen.ip().to_string()
    } else {
        "127.0.0.1".into()
    };
    Some(format!("{ip}:{port}"))
}

/// Makes the files that an instance is started with.
///
/// # Errors
/// The group is not in the file any more, its configuration can't be read, or the folder can't be written.
pub fn make(wanted: &FleetSpec, one: &Instance) -> io::Result<Paths> {
    let group = wanted
        .groups
        .get(&one.group)
        .ok_or_else(|| io::Error::other("its group is gone from the file"))?;
    let paths = paths(wanted, &one.name);
    std::fs::create_dir_all(&paths.folder)?;
    let listen =
        address(&group.listen, one.number).ok_or_else(|| io::Error::other("it has no port"))?;
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&group.config)?)?;
    config["name"] = json!(one.name);
    config["listen"] = json!(listen.to_string());
    if let Some(engine) = group
        .engine
        .as_deref()
        .and_then(|first| address(first, one.number))
    {
        config["engine"] = json!(engine.to_string());
    }
    let seed = u64::from_str_radix(config["seed"].as_str().unwrap_or("0"), 16).unwrap_or(0);
    config["seed"] = json!(format!(
        "{:016x}",
        seed ^ u64::from(one.number).wrapping_mul(0x9E37_79B9_7F4A_7C15)
    ));
    let mut operator = json!({
        "control": { "socket": paths.control },
        "log": { "format": "json" },
        "upgrade": { "program": paths.program, "descriptors": 2 * group.descriptors, "memory_mb": 2 * group.memory_mb },
    });
    if group.learning {
        let mut learning = json!({ "engine": one.group, "folder": paths.folder.join("kept") });
        if let Some(own) = teaching_address(listen) {
            // Some of its like, spread over the group: what is learnt is handed to those that start.
            let step = (group.count / 4).max(1);
            let like = (1..=4).map(|place| (one.number + place * step) % group.count.max(1));
            let seeds = like.filter_map(|number| teaching_address(address(&group.listen, number)?));
            let mut seeds: Vec<String> = seeds.filter(|seed| *seed != own).collect();
            seeds.dedup();
            learning["peers"] = json!({ "listen": own, "seeds": seeds });
        }
        operator["learning"] = learning;
    }
    if let Some(council) = &wanted.council {
        // Two leases: as long as it takes to elect who leads, and to be heard of.
        operator["policy"] = json!({
            "base": council.base, "without": council.without, "drift": council.drift, "wait_ms": 2 * council.lease_ms,
        });
        if !council.base.budgets.is_empty() {
            // Only then, so that programs from before there were budgets read the file as well.
            operator["policy"]["lease_ms"] = json!(council.lease_ms);
            operator["policy"]["aside"] = json!(Path::new(&wanted.folder).join("aside"));
        }
    }
    replace(&paths.config, config.to_string().as_bytes())?;
    replace(&paths.operator, operator.to_string().as_bytes())?;
    point(&paths, &one.program)?;
    turn_log(&paths.log);
    Ok(paths)
}

/// A file is there as a whole or as it was.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, bytes)?;
    std::fs::rename(beside, path)
}

/// What the instance's next process runs.
///
/// # Errors
/// The folder can't be written.
pub fn point(paths: &Paths, program: &str) -> io::Result<()> {
    let beside = paths.folder.join("program.new");
    let _ = std::fs::remove_file(&beside);
    symlink(program, &beside)?;
    std::fs::rename(beside, &paths.program)
}

/// Puts a long log beside and begins it anew. Who writes to it goes on at its new end.
pub fn turn_log(log: &Path) {
    if std::fs::metadata(log).is_ok_and(|of| of.len() > LOG_MOST) {
        // Where the disk is full the old lines are lost, and the service is not.
        let _ = std::fs::copy(log, log.with_extension("1"));
        let _ = std::fs::OpenOptions::new()
            .write(true)
            .truncate(true)
            .open(log);
    }
}

/// The last lines of a log.
///
/// # Errors
/// It can't be read.
pub fn last_lines(log: &Path, count: usize) -> io::Result<Vec<String>> {
    let mut file = std::fs::File::open(log)?;
    let length = file.metadata()?.len();
    let from = length.saturating_sub(48 * 1024);
    io::Seek::seek(&mut file, io::SeekFrom::Start(from))?;
    let mut bytes = Vec::new();
    io::Read::read_to_end(&mut io::Read::take(file, 64 * 1024), &mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let lines: Vec<&str> = text.lines().skip(usize::from(from > 0)).collect();
    Ok(lines[lines.len().saturating_sub(count)..]
        .iter()
        .map(|line| (*line).to_owned())
        .collect())
}
