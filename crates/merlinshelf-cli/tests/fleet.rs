//! The real agent with real instances between stand-ins: it starts, upgrades, drains and finds again, through deaths of the
//! instances and of itself.

use std::io;
use std::process::Command;
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use merlinshelf_testbed::fleet::{Rig, sum};
use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::play::play_within;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Plays on one thread, within a time.
fn play<T>(what: impl Future<Output = io::Result<T>>) -> T {
    play_within(Duration::from_secs(100), what)
}

fn change() -> Value {
    json!({ "out_at_once": 2, "floor": 0.5, "warm_ms": 200, "looked_ms": 400, "worse": 0.2 })
}

/// Another program file with the same content.
fn copy_of_program(rig: &Rig) -> io::Result<String> {
    let copy = rig.folder.join("merlinshelf-2");
    std::fs::copy(PROGRAM, &copy)?;
    Ok(std::fs::canonicalize(copy)?.to_string_lossy().into_owned())
}

async fn last(rig: &Rig, body: Value) -> io::Result<(ControlMessage, Value)> {
    rig.ask(&body)
        .await?
        .pop()
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

async fn names_where(rig: &Rig, what: impl Fn(&Value) -> bool) -> io::Result<Vec<String>> {
    let (all, _) = rig.status().await?;
    Ok(all
        .iter()
        .filter(|one| what(one))
        .map(|one| one["name"].as_str().unwrap_or("").to_owned())
        .collect())
}

#[test]
fn a_rolling_upgrade_then_a_drain_of_all_under_load_loses_nothing() {
    play(async {
        let rig = Rig::start(PROGRAM.as_ref(), 210, 4, &change()).await?;
        rig.when("serving", 4).await?;
        let playing = rig.load(60.0, 3).await?;
        sleep(Duration::from_millis(500)).await;
        let program = copy_of_program(&rig)?;
        let (word, plan) = last(
            &rig,
            json!({ "op": "upgrade", "program": program, "wait": true }),
        )
        .await?;
        assert_eq!(
            word,
            ControlMessage::Done,
            "{plan}\n{}",
            rig.history().await?
        );
        assert_eq!(
            names_where(&rig, |one| one["program"] == program.as_str())
                .await?
                .len(),
            4
        );
        let (word, plan) = last(
            &rig,
            json!({ "op": "drain", "slowest_first": true, "wait": true }),
        )
        .await?;
        assert_eq!(
            word,
            ControlMessage::Done,
            "{plan}\n{}",
            rig.history().await?
        );
        assert_eq!(rig.processes(), Vec::<u32>::new());
        let verdicts = rig.check(playing).await;
        let all = sum(&verdicts);
        assert!(
            all.lost + all.doubled + all.spoilt + all.run_twice + all.wrong_feeds == 0,
            "{all:?}"
        );
        assert!(all.served > 100, "{all:?}");
        Ok(())
    });
}

/// Begins the upgrade of one of two; its old process, and its new one, which is watched by then.
async fn in_the_midst_of_an_upgrade(number: u8) -> io::Result<(Rig, u32, u32)> {
    let rig = Rig::start(PROGRAM.as_ref(), number, 2, &change()).await?;
    rig.when("serving", 2).await?;
    let (all, _) = rig.status().await?;
    let pid = |one: &Value| {
        one["process"]
            .as_u64()
            .and_then(|pid| u32::try_from(pid).ok())
            .expect("a process")
    };
    let old = pid(&all[0]);
    let program = copy_of_program(&rig)?;
    last(
        &rig,
        json!({ "op": "upgrade", "program": program, "names": ["web.0"] }),
    )
    .await?;
    // The successor says on the socket that it is watched: it serves, and the old process still waits.
    let control = rig.folder.join("run").join("web.0").join("control");
    loop {
        let said = Command::new(PROGRAM)
            .args(["status", "--json", "--control"])
            .arg(&control)
            .output()?;
        let said: Value = serde_json::from_slice(&said.stdout).unwrap_or_default();
        if said["state"] == "watched" {
            return Ok((rig, old, pid(&said)));
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// The end of the plan.
async fn plan_over(rig: &Rig) -> io::Result<Value> {
    loop {
        let (_, plan) = last(rig, json!({ "op": "plan" })).await?;
        if plan["over"] == true {
            return Ok(plan);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn an_old_process_that_is_killed_after_its_successor_took_over_stops_no_plan() {
    play(async {
        let (rig, old, _) = in_the_midst_of_an_upgrade(231).await?;
        signal(old, Signal::KILL);
        let plan = plan_over(&rig).await?;
        assert_eq!(plan["state"], "done", "{plan}\n{}", rig.history().await?);
        rig.when("serving", 2).await?;
        let history = rig.history().await?;
        assert!(
            history.contains("web.0") && !history.contains("ended by itself"),
            "{history}"
        );
        Ok(())
    });
}

#[test]
fn a_successor_that_is_killed_while_watched_is_taken_back_from_and_the_old_process_is_found_again()
{
    play(async {
        let (rig, old, new) = in_the_midst_of_an_upgrade(232).await?;
        // The agent knows it by then.
        while names_where(&rig, |one| one["process"] == new)
            .await?
            .is_empty()
        {
            sleep(Duration::from_millis(10)).await;
        }
        signal(new, Signal::KILL);
        let plan = plan_over(&rig).await?;
        assert!(
            plan["state"]
                .as_str()
                .is_some_and(|state| state.contains("taken back")),
            "{plan}"
        );
        rig.when("serving", 2).await?;
        assert_eq!(
            names_where(&rig, |one| one["process"] == old).await?,
            ["web.0"]
        );
        let history = rig.history().await?;
        assert!(
            !history.contains("not started") && !history.contains("ended by itself"),
            "{history}"
        );
        Ok(())
    });
}

#[test]
fn the_agent_is_killed_and_another_one_finds_the_instances_and_goes_on() {
    play(async {
        let mut rig = Rig::start(PROGRAM.as_ref(), 211, 4, &change()).await?;
        rig.when("serving", 4).await?;
        let playing = rig.load(40.0, 4).await?;
        let program = copy_of_program(&rig)?;
        last(&rig, json!({ "op": "upgrade", "program": program })).await?;
        // In the midst of the first ones, and once more later.
        for pause in [300, 900] {
            sleep(Duration::from_millis(pause)).await;
            rig.kill_agent().await;
            assert!(rig.processes().len() >= 4, "the instances go on");
            rig.agent()?;
        }
        rig.when("serving", 4).await?;
        let plan = plan_over(&rig).await?;
        assert_eq!(plan["state"], "done", "{plan}\n{}", rig.history().await?);
        assert_eq!(
            names_where(&rig, |one| one["program"] == program.as_str())
                .await?
                .len(),
            4
        );
        assert_eq!(rig.processes().len(), 4);
        let history = rig.history().await?;
        assert!(history.contains("adopted"), "{history}");
        let all = sum(&rig.check(playing).await);
        assert!(
            all.lost + all.doubled + all.run_twice == 0,
            "{all:?}\n{history}"
        );
        // Told to end it leaves them alone; a second agent beside one that lives is refused.
        let second = Command::new(PROGRAM)
            .arg("agent")
            .arg(rig.folder.join("fleet.json5"))
            .output()?;
        let why = String::from_utf8_lossy(&second.stderr).into_owned();
        assert!(
            second.status.code() == Some(1) && why.contains("another process holds the folder"),
            "{why}"
        );
        assert_eq!(rig.end_agent().await?, Some(0));
        assert_eq!(rig.processes().len(), 4);
        Ok(())
    });
}

#[test]
fn one_killed_one_stopped_and_one_that_left_by_hand_come_back_or_stay_as_they_should() {
    play(async {
        let rig = Rig::start(PROGRAM.as_ref(), 212, 4, &change()).await?;
        rig.when("serving", 4).await?;
        let (all, _) = rig.status().await?;
        let pid = |place: usize| {
            all[place]["process"]
                .as_u64()
                .and_then(|pid| u32::try_from(pid).ok())
                .expect("a process")
        };
        signal(pid(0), Signal::KILL);
        signal(pid(1), Signal::STOP);
        signal(pid(2), Signal::TERM);
        // Killed, it is started again; stopped, it is found out, told, and started again; told by hand, too.
        let text = |history: &str, name: &str, what: &str| {
            history
                .lines()
                .any(|line| line.starts_with(name) && line.contains(what))
        };
        loop {
            let history = rig.history().await?;
            let all = text(&history, "web.0", "ended by itself")
                && text(&history, "web.1", "hangs: no answer")
                && text(&history, "web.2", "ended with status 0");
            if all {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        rig.when("serving", 4).await?;
        let (now, _) = rig.status().await?;
        for place in 0..3 {
            assert_ne!(now[place]["process"], all[place]["process"]);
        }
        assert_eq!(
            now[3]["process"], all[3]["process"],
            "who did nothing is not touched"
        );
        Ok(())
    });
}

#[test]
fn a_foreign_process_on_an_instances_socket_is_left_alone_and_told_of() {
    play(async {
        let rig = Rig::start(PROGRAM.as_ref(), 215, 2, &change()).await?;
        rig.when("serving", 2).await?;
        last(
            &rig,
            json!({ "op": "drain", "names": ["web.0"], "wait": true }),
        )
        .await?;
        let control = rig.folder.join("run").join("web.0").join("control");
        let _ = std::fs::remove_file(&control);
        let foreign = tokio::net::UnixListener::bind(&control)?;
        last(&rig, json!({ "op": "start", "names": ["web.0"] })).await?;
        let why = "not started: another process listens on its control socket";
        while !rig.history().await?.contains(why) {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(
            tokio::net::UnixStream::connect(&control).await.is_ok(),
            "it listens on"
        );
        // Once it is gone the instance comes back, after a pause.
        drop(foreign);
        std::fs::remove_file(&control)?;
        rig.when("serving", 2).await
    });
}

#[test]
fn a_file_that_is_spoilt_for_one_group_changes_nothing_and_names_it() {
    play(async {
        let rig = Rig::start(PROGRAM.as_ref(), 216, 2, &change()).await?;
        rig.when("serving", 2).await?;
        let (before, _) = rig.status().await?;
        let file = rig.folder.join("fleet.json5");
        let text = std::fs::read_to_string(&file)?;
        let mut wanted: Value = serde_json::from_str(&text)?;
        let mut other = wanted["groups"]["web"].clone();
        (other["config"], other["listen"]) = (json!("nowhere.json"), json!("127.0.0.1:1"));
        wanted["groups"]["api"] = other;
        std::fs::write(&file, wanted.to_string())?;
        let (word, why) = last(&rig, json!({ "op": "apply" })).await?;
        assert!(
            word == ControlMessage::Refused
                && why["text"]
                    .as_str()
                    .is_some_and(|why| why.contains("groups.api.config")),
            "{why}"
        );
        // And in bytes that are none of a file's.
        std::fs::write(&file, "{ folder: ")?;
        assert_eq!(
            last(&rig, json!({ "op": "apply" })).await?.0,
            ControlMessage::Refused
        );
        std::fs::write(&file, text)?;
        assert_eq!(
            last(&rig, json!({ "op": "apply" })).await?.0,
            ControlMessage::Done
        );
        let (after, _) = rig.status().await?;
        assert_eq!(before[0]["process"], after[0]["process"]);
        Ok(())
    });
}

#[test]
fn a_program_that_can_not_take_over_ends_the_plan_and_the_old_one_serves_on() {
    play(async {
        let rig = Rig::start(PROGRAM.as_ref(), 213, 3, &change()).await?;
        rig.when("serving", 3).await?;
        let (before, _) = rig.status().await?;
        let bad = rig.folder.join("bad");
        std::fs::write(&bad, "#!/bin/sh\nexit 9\n")?;
        std::fs::set_permissions(&bad, std::os::unix::fs::PermissionsExt::from_mode(0o755))?;
        let (word, plan) = last(
            &rig,
            json!({ "op": "upgrade", "program": bad, "wait": true }),
        )
        .await?;
        assert_eq!(word, ControlMessage::Failed, "{plan}");
        let state = plan["state"].as_str().unwrap_or("").to_owned();
        assert!(
            state.contains("was not upgraded") && state.contains("status 9"),
            "{state}"
        );
        rig.when("serving", 3).await?;
        let (after, _) = rig.status().await?;
        for (before, after) in before.iter().zip(&after) {
            assert_eq!(
                (&before["process"], &before["program"]),
                (&after["process"], &after["program"])
            );
        }
        Ok(())
    });
}

#[test]
fn the_command_line_shows_scales_stops_and_says_what_is_wrong() {
    play(async {
        let rig = Rig::start(PROGRAM.as_ref(), 214, 3, &change()).await?;
        rig.when("serving", 3).await?;
        let socket = rig.socket().to_string_lossy().into_owned();
        let run = |arguments: &[&str]| {
            let mut command = tokio::process::Command::new(PROGRAM);
            command
                .arg("fleet")
                .arg("--agent")
                .arg(&socket)
                .args(arguments);
            async move {
                let done = command.output().await.expect("it runs");
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                (
                    done.status.code().unwrap_or(-1),
                    text(&done.stdout),
                    text(&done.stderr),
                )
            }
        };
        let (code, shown, _) = run(&["status"]).await;
        assert!(
            code == 0 && shown.contains("web.2") && shown.contains("3 serving; 100"),
            "{shown}"
        );
        let (code, shown, _) = run(&["drain", "web.0", "--dry-run"]).await;
        assert!(
            code == 0 && shown.contains("web.0") && shown.contains("to do"),
            "{shown}"
        );
        let (code, _, error) = run(&["drain"]).await;
        assert!(code == 2 && error.contains("name instances"), "{error}");
        let (code, _, error) = run(&["drain", "web.7"]).await;
        assert!(
            code == 1 && error.contains("there is no instance web.7"),
            "{error}"
        );
        let (code, _, error) = run(&["upgrade", "--all", "--program", "/nowhere/at/all"]).await;
        assert!(code == 1 && error.contains("/nowhere/at/all"), "{error}");
        let (code, shown, error) = run(&["drain", "web.1", "--wait"]).await;
        assert!(
            code == 0 && shown.contains("plan 1 drain: 1 of 1, done"),
            "{shown}{error}"
        );
        let (code, ..) = run(&["start", "web.1", "--wait"]).await;
        assert_eq!(code, 0);
        let (code, ..) = run(&["scale", "web", "2"]).await;
        assert_eq!(code, 0);
        rig.when("serving", 2).await?;
        let (code, shown, _) = run(&["logs", "web.0", "--lines", "50"]).await;
        assert!(code == 0 && shown.contains("the engine is up"), "{shown}");
        let (code, shown, _) = run(&["stop", "--all", "--within", "10", "--wait"]).await;
        assert!(
            code == 0 && shown.contains(" stop: ") && shown.contains(", done"),
            "{shown}"
        );
        let (code, shown, _) = run(&["history"]).await;
        assert!(
            code == 0 && shown.contains("told to leave") && shown.contains("ended with status 0"),
            "{shown}"
        );
        let (code, shown, _) = run(&["--json", "status"]).await;
        let lines: Vec<Value> = shown
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect();
        assert!(code == 0 && lines[0]["state"] == "absent", "{shown}");
        Ok(())
    });
}

#[test]
fn the_example_can_be_read_and_its_schema_is_the_one_that_is_kept() {
    let schema = Command::new(PROGRAM)
        .args(["agent", "--schema"])
        .output()
        .expect("it runs");
    let kept = include_str!("../../../deploy/fleet.schema.json");
    assert_eq!(String::from_utf8_lossy(&schema.stdout), kept);
    let folder =
        std::env::temp_dir().join(format!("merlinshelf-fleet-file-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("fleet.json5");
    let example = include_str!("../../../deploy/fleet.json5");
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let here = example
        .replace("/opt/merlinshelf/bin/merlinshelf", PROGRAM)
        .replace("/etc/merlinshelf/web.json", config);
    let check = |text: &str| {
        std::fs::write(&file, text).expect("a file");
        let done = Command::new(PROGRAM)
            .arg("agent")
            .arg(&file)
            .arg("--check")
            .output()
            .expect("it runs");
        (
            done.status.code(),
            String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned(),
        )
    };
    assert_eq!(check(&here).0, Some(0), "{}", check(&here).1);
    let (code, why) = check(&here.replace("count: 12", "count: 300"));
    assert!(
        code == Some(1) && why.contains("memory: 19200 MB and 64 MB for second processes"),
        "{why}"
    );
    let (code, why) = check(&here.replace("floor: 0.75", "floor: 1.5"));
    assert!(code == Some(1) && why.contains("change.floor"), "{why}");
    let (code, why) = check(&here.replace("floor: 0.75", "flor: 0.75"));
    assert!(code == Some(1) && why.contains("flor"), "{why}");
    let (code, why) = check(example);
    assert!(
        code == Some(1) && why.contains("groups.web.program: /opt/merlinshelf/bin/merlinshelf"),
        "{why}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}
