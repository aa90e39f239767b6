//! The real agent with real instances between fakes: it starts, upgrades, drains and adopts
//! instances while they, or the agent itself, are killed.

use std::io;
use std::process::Command;
use std::time::Duration;

use merlinshelf_protocol::control::ControlMessage;
use merlinshelf_testbed::fleet::{FleetUnderTest, combined_verdict};
use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::runtime::run_with_timeout;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Runs a test on one thread, with a timeout.
fn run_test<T>(test: impl Future<Output = io::Result<T>>) -> T {
    run_with_timeout(Duration::from_secs(100), test)
}

fn change_section() -> Value {
    json!({ "out_at_once": 2, "floor": 0.5, "warm_ms": 200, "looked_ms": 400, "worse": 0.2 })
}

/// Another program file with the same content.
fn copy_of_program(rig: &FleetUnderTest) -> io::Result<String> {
    let copy = rig.folder.join("merlinshelf-2");
    std::fs::copy(PROGRAM, &copy)?;
    Ok(std::fs::canonicalize(copy)?.to_string_lossy().into_owned())
}

/// Sends a request and returns the last reply.
async fn request(rig: &FleetUnderTest, body: Value) -> io::Result<(ControlMessage, Value)> {
    rig.ask(&body)
        .await?
        .pop()
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

async fn names_where(
    rig: &FleetUnderTest,
    predicate: impl Fn(&Value) -> bool,
) -> io::Result<Vec<String>> {
    let (all, _) = rig.status().await?;
    Ok(all
        .iter()
        .filter(|instance| predicate(instance))
        .map(|instance| instance["name"].as_str().unwrap_or("").to_owned())
        .collect())
}

#[test]
fn a_rolling_upgrade_and_a_drain_under_load_lose_no_invocation() {
    run_test(async {
        let rig = FleetUnderTest::start(PROGRAM.as_ref(), 210, 4, &change_section()).await?;
        rig.wait_for_state("serving", 4).await?;
        let playing = rig.start_load(60.0, 3).await?;
        sleep(Duration::from_millis(500)).await;
        let program = copy_of_program(&rig)?;
        let (kind, plan) = request(
            &rig,
            json!({ "op": "upgrade", "program": program, "wait": true }),
        )
        .await?;
        assert_eq!(
            kind,
            ControlMessage::Done,
            "{plan}\n{}",
            rig.history().await?
        );
        assert_eq!(
            names_where(&rig, |instance| instance["program"] == program.as_str())
                .await?
                .len(),
            4
        );
        let (kind, plan) = request(
            &rig,
            json!({ "op": "drain", "slowest_first": true, "wait": true }),
        )
        .await?;
        assert_eq!(
            kind,
            ControlMessage::Done,
            "{plan}\n{}",
            rig.history().await?
        );
        assert_eq!(rig.processes(), Vec::<u32>::new());
        let verdicts = rig.stop_and_check(playing).await;
        let all = combined_verdict(&verdicts);
        assert!(
            all.lost + all.doubled + all.spoilt + all.run_twice + all.wrong_feeds == 0,
            "{all:?}"
        );
        assert!(all.served > 100, "{all:?}");
        Ok(())
    });
}

/// Starts the upgrade of one of two instances and waits for its probation. Returns the process ids
/// of the predecessor and the successor.
async fn upgrade_in_probation(number: u8) -> io::Result<(FleetUnderTest, u32, u32)> {
    let rig = FleetUnderTest::start(PROGRAM.as_ref(), number, 2, &change_section()).await?;
    rig.wait_for_state("serving", 2).await?;
    let (all, _) = rig.status().await?;
    let pid = |status: &Value| {
        status["process"]
            .as_u64()
            .and_then(|pid| u32::try_from(pid).ok())
            .expect("a process")
    };
    let old = pid(&all[0]);
    let program = copy_of_program(&rig)?;
    request(
        &rig,
        json!({ "op": "upgrade", "program": program, "names": ["web.0"] }),
    )
    .await?;
    // In the state `watched` the successor serves, and the predecessor waits to take back.
    let control = rig.folder.join("run").join("web.0").join("control");
    loop {
        let output = Command::new(PROGRAM)
            .args(["status", "--json", "--control"])
            .arg(&control)
            .output()?;
        let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        if status["state"] == "watched" {
            return Ok((rig, old, pid(&status)));
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the plan has ended and returns it.
async fn plan_over(rig: &FleetUnderTest) -> io::Result<Value> {
    loop {
        let (_, plan) = request(rig, json!({ "op": "plan" })).await?;
        if plan["over"] == true {
            return Ok(plan);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn killing_a_predecessor_after_the_takeover_does_not_stop_the_plan() {
    run_test(async {
        let (rig, old, _) = upgrade_in_probation(231).await?;
        signal(old, Signal::KILL);
        let plan = plan_over(&rig).await?;
        assert_eq!(plan["state"], "done", "{plan}\n{}", rig.history().await?);
        rig.wait_for_state("serving", 2).await?;
        let history = rig.history().await?;
        assert!(
            history.contains("web.0") && !history.contains("ended by itself"),
            "{history}"
        );
        Ok(())
    });
}

#[test]
fn killing_a_successor_during_probation_returns_service_to_the_predecessor() {
    run_test(async {
        let (rig, old, new) = upgrade_in_probation(232).await?;
        // Wait until the agent reports the successor's process.
        while names_where(&rig, |instance| instance["process"] == new)
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
        rig.wait_for_state("serving", 2).await?;
        assert_eq!(
            names_where(&rig, |instance| instance["process"] == old).await?,
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
fn a_restarted_agent_adopts_the_instances_and_continues_the_plan() {
    run_test(async {
        let mut rig = FleetUnderTest::start(PROGRAM.as_ref(), 211, 4, &change_section()).await?;
        rig.wait_for_state("serving", 4).await?;
        let playing = rig.start_load(40.0, 4).await?;
        let program = copy_of_program(&rig)?;
        request(&rig, json!({ "op": "upgrade", "program": program })).await?;
        // Kill the agent while the first instances are upgraded, and once more later.
        for pause in [300, 900] {
            sleep(Duration::from_millis(pause)).await;
            rig.kill_agent().await;
            assert!(
                rig.processes().len() >= 4,
                "the instances do not outlive the agent"
            );
            rig.start_agent()?;
        }
        rig.wait_for_state("serving", 4).await?;
        let plan = plan_over(&rig).await?;
        assert_eq!(plan["state"], "done", "{plan}\n{}", rig.history().await?);
        assert_eq!(
            names_where(&rig, |instance| instance["program"] == program.as_str())
                .await?
                .len(),
            4
        );
        assert_eq!(rig.processes().len(), 4);
        let history = rig.history().await?;
        assert!(history.contains("adopted"), "{history}");
        let all = combined_verdict(&rig.stop_and_check(playing).await);
        assert!(
            all.lost + all.doubled + all.run_twice == 0,
            "{all:?}\n{history}"
        );
        // A second agent beside a running one is rejected. An agent that ends leaves the instances
        // running.
        let second = Command::new(PROGRAM)
            .arg("agent")
            .arg(rig.folder.join("fleet.json5"))
            .output()?;
        let reason = String::from_utf8_lossy(&second.stderr).into_owned();
        assert!(
            second.status.code() == Some(1) && reason.contains("another process holds the folder"),
            "{reason}"
        );
        assert_eq!(rig.terminate_agent().await?, Some(0));
        assert_eq!(rig.processes().len(), 4);
        Ok(())
    });
}

#[test]
fn killed_hung_and_manually_drained_instances_are_restarted() {
    run_test(async {
        let rig = FleetUnderTest::start(PROGRAM.as_ref(), 212, 4, &change_section()).await?;
        rig.wait_for_state("serving", 4).await?;
        let (all, _) = rig.status().await?;
        let pid = |index: usize| {
            all[index]["process"]
                .as_u64()
                .and_then(|pid| u32::try_from(pid).ok())
                .expect("a process")
        };
        signal(pid(0), Signal::KILL);
        signal(pid(1), Signal::STOP);
        signal(pid(2), Signal::TERM);
        // All three are started again: the killed one, the stopped one once the agent finds that it
        // hangs, and the one that was drained by hand.
        let has_event = |history: &str, name: &str, event: &str| {
            history
                .lines()
                .any(|line| line.starts_with(name) && line.contains(event))
        };
        loop {
            let history = rig.history().await?;
            let all_seen = has_event(&history, "web.0", "ended by itself")
                && has_event(&history, "web.1", "hangs: no answer")
                && has_event(&history, "web.2", "ended with status 0");
            if all_seen {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        rig.wait_for_state("serving", 4).await?;
        let (now, _) = rig.status().await?;
        for index in 0..3 {
            assert_ne!(now[index]["process"], all[index]["process"]);
        }
        assert_eq!(
            now[3]["process"], all[3]["process"],
            "an instance without a fault was restarted"
        );
        Ok(())
    });
}

#[test]
fn a_foreign_process_on_a_control_socket_is_reported_and_left_alone() {
    run_test(async {
        let rig = FleetUnderTest::start(PROGRAM.as_ref(), 215, 2, &change_section()).await?;
        rig.wait_for_state("serving", 2).await?;
        request(
            &rig,
            json!({ "op": "drain", "names": ["web.0"], "wait": true }),
        )
        .await?;
        let control = rig.folder.join("run").join("web.0").join("control");
        let _ = std::fs::remove_file(&control);
        let foreign = tokio::net::UnixListener::bind(&control)?;
        request(&rig, json!({ "op": "start", "names": ["web.0"] })).await?;
        let reason = "not started: another process listens on its control socket";
        while !rig.history().await?.contains(reason) {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(
            tokio::net::UnixStream::connect(&control).await.is_ok(),
            "the foreign process no longer listens"
        );
        // Once the foreign process is gone, the instance is started after the restart delay.
        drop(foreign);
        std::fs::remove_file(&control)?;
        rig.wait_for_state("serving", 2).await
    });
}

#[test]
fn a_fleet_file_with_an_invalid_group_is_rejected_as_a_whole() {
    run_test(async {
        let rig = FleetUnderTest::start(PROGRAM.as_ref(), 216, 2, &change_section()).await?;
        rig.wait_for_state("serving", 2).await?;
        let (before, _) = rig.status().await?;
        let file = rig.folder.join("fleet.json5");
        let text = std::fs::read_to_string(&file)?;
        let mut file_value: Value = serde_json::from_str(&text)?;
        let mut other = file_value["groups"]["web"].clone();
        (other["config"], other["listen"]) = (json!("nowhere.json"), json!("127.0.0.1:1"));
        file_value["groups"]["api"] = other;
        std::fs::write(&file, file_value.to_string())?;
        let (kind, reason) = request(&rig, json!({ "op": "apply" })).await?;
        assert!(
            kind == ControlMessage::Refused
                && reason["text"]
                    .as_str()
                    .is_some_and(|reason| reason.contains("groups.api.config")),
            "{reason}"
        );
        // A file that is not JSON5 is rejected too.
        std::fs::write(&file, "{ folder: ")?;
        assert_eq!(
            request(&rig, json!({ "op": "apply" })).await?.0,
            ControlMessage::Refused
        );
        std::fs::write(&file, text)?;
        assert_eq!(
            request(&rig, json!({ "op": "apply" })).await?.0,
            ControlMessage::Done
        );
        let (after, _) = rig.status().await?;
        assert_eq!(before[0]["process"], after[0]["process"]);
        Ok(())
    });
}

#[test]
fn a_program_that_does_not_start_ends_the_plan_and_the_old_one_serves_on() {
    run_test(async {
        let rig = FleetUnderTest::start(PROGRAM.as_ref(), 213, 3, &change_section()).await?;
        rig.wait_for_state("serving", 3).await?;
        let (before, _) = rig.status().await?;
        let bad = rig.folder.join("bad");
        std::fs::write(&bad, "#!/bin/sh\nexit 9\n")?;
        std::fs::set_permissions(&bad, std::os::unix::fs::PermissionsExt::from_mode(0o755))?;
        let (kind, plan) = request(
            &rig,
            json!({ "op": "upgrade", "program": bad, "wait": true }),
        )
        .await?;
        assert_eq!(kind, ControlMessage::Failed, "{plan}");
        let state = plan["state"].as_str().unwrap_or("").to_owned();
        assert!(
            state.contains("was not upgraded") && state.contains("status 9"),
            "{state}"
        );
        rig.wait_for_state("serving", 3).await?;
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
fn fleet_commands_report_results_and_errors() {
    run_test(async {
        let rig = FleetUnderTest::start(PROGRAM.as_ref(), 214, 3, &change_section()).await?;
        rig.wait_for_state("serving", 3).await?;
        let socket = rig.socket().to_string_lossy().into_owned();
        let run = |arguments: &[&str]| {
            let mut command = tokio::process::Command::new(PROGRAM);
            command
                .arg("fleet")
                .arg("--agent")
                .arg(&socket)
                .args(arguments);
            async move {
                let output = command.output().await.expect("the output");
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                (
                    output.status.code().unwrap_or(-1),
                    text(&output.stdout),
                    text(&output.stderr),
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
        rig.wait_for_state("serving", 2).await?;
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
fn the_example_fleet_file_is_valid_and_the_stored_schema_current() {
    let schema = Command::new(PROGRAM)
        .args(["agent", "--schema"])
        .output()
        .expect("the output");
    let stored = include_str!("../../../deploy/fleet.schema.json");
    assert_eq!(String::from_utf8_lossy(&schema.stdout), stored);
    let folder =
        std::env::temp_dir().join(format!("merlinshelf-fleet-file-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("fleet.json5");
    let example = include_str!("../../../deploy/fleet.json5");
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let adapted = example
        .replace("/opt/merlinshelf/bin/merlinshelf", PROGRAM)
        .replace("/etc/merlinshelf/web.json", config);
    let check = |text: &str| {
        std::fs::write(&file, text).expect("a file");
        let output = Command::new(PROGRAM)
            .arg("agent")
            .arg(&file)
            .arg("--check")
            .output()
            .expect("the output");
        (
            output.status.code(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    assert_eq!(check(&adapted).0, Some(0), "{}", check(&adapted).1);
    let (code, reason) = check(&adapted.replace("count: 12", "count: 300"));
    assert!(
        code == Some(1) && reason.contains("memory: 19200 MB and 64 MB for second processes"),
        "{reason}"
    );
    let (code, reason) = check(&adapted.replace("floor: 0.75", "floor: 1.5"));
    assert!(
        code == Some(1) && reason.contains("change.floor"),
        "{reason}"
    );
    let (code, reason) = check(&adapted.replace("floor: 0.75", "flor: 0.75"));
    assert!(code == Some(1) && reason.contains("flor"), "{reason}");
    let (code, reason) = check(example);
    assert!(
        code == Some(1) && reason.contains("groups.web.program: /opt/merlinshelf/bin/merlinshelf"),
        "{reason}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}
