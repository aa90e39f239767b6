//! Calls of the real program to several dependencies on loopback: partial answers, reloaded server
//! lists, an upgrade and a drain with calls in flight, an engine that does not support names, and
//! effects that must happen at most once.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_testbed::experiments::dependencies::scenario::{
    called_dependencies, dependencies_config,
};
use merlinshelf_testbed::experiments::upgrade::request_upgrade;
use merlinshelf_testbed::fakes::{Server, ServerBehavior};
use merlinshelf_testbed::instance::{Instance, Setup};
use merlinshelf_testbed::load::{Load, RunningLoad};
use merlinshelf_testbed::runtime::run_with_timeout;
use serde_json::Value;
use tokio::time::{Instant, sleep};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Runs a test on one thread, with a timeout.
fn run_test<T>(test: impl Future<Output = io::Result<T>>) -> T {
    run_with_timeout(Duration::from_secs(60), test)
}

struct Rig {
    servers: BTreeMap<&'static str, Vec<Rc<Server>>>,
    setup: Setup,
}

async fn start_rig() -> io::Result<Rig> {
    let mut servers: BTreeMap<&'static str, Vec<Rc<Server>>> = BTreeMap::new();
    for name in ["catalogue", "assets"].repeat(3) {
        servers
            .entry(name)
            .or_default()
            .push(Server::start(Duration::from_millis(3)).await?);
    }
    let mut setup = Setup::small(PROGRAM);
    (setup.probation, setup.heartbeat_timeout) =
        (Duration::from_millis(700), Duration::from_millis(2000));
    (setup.fakes.called_dependencies, setup.dependencies) = (
        called_dependencies(),
        Some(dependencies_config(&addresses(&servers, 0..3))),
    );
    Ok(Rig { servers, setup })
}

fn addresses(
    servers: &BTreeMap<&'static str, Vec<Rc<Server>>>,
    range: std::ops::Range<usize>,
) -> BTreeMap<String, Vec<String>> {
    let addresses_of = |servers: &[Rc<Server>]| {
        servers[range.clone()]
            .iter()
            .map(|server| server.address.clone())
            .collect()
    };
    servers
        .iter()
        .map(|(name, servers)| ((*name).to_owned(), addresses_of(servers)))
        .collect()
}

impl Rig {
    /// Starts an instance under load and waits until it has answered a few invocations.
    async fn start_with_load(&self, number: u8) -> io::Result<(Instance, Load, RunningLoad)> {
        let instance = Instance::start(&self.setup, number).await?;
        let load = Load::with_example_operations(&instance.address, 8, 150.0, number.into());
        let playing = load.start().await?;
        wait_for_answers(&playing, 30).await;
        Ok((instance, load, playing))
    }

    fn set_behaviour(&self, name: &str, manners: ServerBehavior) {
        self.servers[name]
            .iter()
            .for_each(|server| server.set_behavior(manners));
    }
}

/// Waits until `count` more invocations are answered, or 15 s have passed.
async fn wait_for_answers(playing: &RunningLoad, count: usize) {
    let answered = || {
        playing
            .record
            .borrow()
            .sent
            .values()
            .filter(|sent| !sent.answers.is_empty())
            .count()
    };
    let (until, target) = (Instant::now() + Duration::from_secs(15), answered() + count);
    while answered() < target && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
}

fn dependency<'a>(report: &'a Value, name: &str) -> &'a Value {
    let dependencies = report["dependencies"]
        .as_array()
        .expect("a report of dependencies");
    dependencies
        .iter()
        .find(|dependency| dependency["name"] == name)
        .expect("that dependency")
}

#[test]
fn partial_answers_are_marked_and_counted_until_the_dependencies_recover() {
    run_test(async {
        let rig = start_rig().await?;
        let (instance, load, playing) = rig.start_with_load(1).await?;
        assert!(
            playing
                .record
                .borrow()
                .sent
                .values()
                .all(|sent| sent.partial.is_none())
        );
        rig.set_behaviour("catalogue", ServerBehavior::Slow(20.0));
        rig.set_behaviour("assets", ServerBehavior::Errors);
        wait_for_answers(&playing, 150).await;
        rig.set_behaviour("assets", ServerBehavior::Normal);
        wait_for_answers(&playing, 50).await;
        rig.set_behaviour("catalogue", ServerBehavior::Normal);
        // Within seconds, all answers are complete again.
        let all_complete = |playing: &RunningLoad| {
            let seen = playing.record.borrow();
            let recent = seen
                .sent
                .values()
                .filter(|sent| sent.sent_at.elapsed() < Duration::from_millis(500));
            let complete: Vec<bool> = recent
                .filter(|sent| !sent.answers.is_empty())
                .map(|sent| sent.partial.is_none())
                .collect();
            complete.len() > 20 && complete.iter().all(|complete| *complete)
        };
        let until = Instant::now() + Duration::from_secs(15);
        while !all_complete(&playing) {
            assert!(
                Instant::now() < until,
                "answers are still partial: {}",
                instance.status().await?
            );
            sleep(Duration::from_millis(50)).await;
        }
        let seen = playing.stop().await.take();
        let report = instance.status().await?;
        let partial = seen
            .sent
            .values()
            .filter(|sent| sent.partial.is_some())
            .count() as u64;
        assert!(partial > 30, "{partial}");
        assert_eq!(report["counters"]["partial"].as_u64(), Some(partial));
        assert!(
            seen.sent
                .values()
                .filter_map(|sent| sent.partial.as_deref())
                .all(|parts| { ["assets", "catalogue", "catalogue, assets"].contains(&parts) })
        );
        let mut command = tokio::process::Command::new(PROGRAM);
        command
            .args(["status", "--dependencies", "--control"])
            .arg(instance.control());
        let output = command.output().await?;
        let shown = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            shown.contains("catalogue: ") && shown.matches("127.0.0.1:").count() == 6,
            "{shown}"
        );
        let degraded = dependency(&report, "assets")["lesser"]
            .as_u64()
            .unwrap_or(0);
        assert!(degraded > 0, "{report}");
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert!(verdict.is_clean(), "{verdict:?}");
        Ok(())
    });
}

#[test]
fn server_lists_are_reloaded_on_sighup_and_calls_survive_an_upgrade() {
    run_test(async {
        let rig = start_rig().await?;
        let (instance, load, playing) = rig.start_with_load(2).await?;
        // The third server of each is added; the first is removed and gets no further calls.
        instance.set_dependencies(&dependencies_config(&addresses(&rig.servers, 1..3)))?;
        instance.wait_for_log("dependencies reloaded: 2", 1).await?;
        wait_for_answers(&playing, 30).await;
        let before = rig.servers["catalogue"][0].calls.get();
        wait_for_answers(&playing, 60).await;
        assert_eq!(rig.servers["catalogue"][0].calls.get(), before);
        // An invalid file changes nothing.
        instance.set_dependencies(
            &serde_json::json!({ "operations": { "thumbnail": { "calls": [{ "to": "nobody" }] } } }),
        )?;
        instance
            .wait_for_log("the old dependencies stay in force", 1)
            .await?;
        instance.set_dependencies(&dependencies_config(&addresses(&rig.servers, 0..3)))?;
        instance.wait_for_log("dependencies reloaded: 2", 2).await?;
        rig.set_behaviour("catalogue", ServerBehavior::Slow(10.0));
        wait_for_answers(&playing, 30).await;
        assert_eq!(
            request_upgrade(&instance, &format!("exec '{PROGRAM}' \"$@\"")).await?,
            "done"
        );
        wait_for_answers(&playing, 60).await;
        let seen = playing.stop().await.take();
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert!(
            verdict.is_clean() && verdict.failed == 0,
            "{verdict:?}\n{}",
            instance.log()
        );
        let report = instance.status().await?;
        assert_eq!(
            dependency(&report, "catalogue")["servers"]
                .as_array()
                .map(Vec::len),
            Some(3)
        );
        instance.drain().await
    });
}

#[test]
fn a_drain_with_calls_in_flight_loses_no_invocation() {
    run_test(async {
        let rig = start_rig().await?;
        let (instance, load, playing) = rig.start_with_load(3).await?;
        rig.servers["catalogue"][0].set_behavior(ServerBehavior::Hangs);
        rig.servers["assets"][1].set_behavior(ServerBehavior::DropsConnections);
        wait_for_answers(&playing, 20).await;
        instance.drain().await?;
        let seen = playing.stop().await.take();
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert_eq!(
            (
                verdict.lost,
                verdict.doubled,
                verdict.run_twice,
                verdict.wrong_feeds
            ),
            (0, 0, 0, 0),
            "{verdict:?}"
        );
        Ok(())
    });
}

#[test]
fn an_engine_without_support_for_names_gets_the_plain_protocol() {
    run_test(async {
        let mut rig = start_rig().await?;
        // This engine knows no extended ATTACH, and its runs make one call each without naming a
        // dependency.
        rig.setup.fakes.called_dependencies.clear();
        let (instance, load, playing) = rig.start_with_load(4).await?;
        wait_for_answers(&playing, 60).await;
        let seen = playing.stop().await.take();
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert!(verdict.is_clean() && verdict.served > 50, "{verdict:?}");
        assert!(instance.records.borrow().engine_links >= 2);
        let report = instance.status().await?;
        assert!(
            dependency(&report, "catalogue")["succeeded"].as_u64() > Some(20),
            "{report}"
        );
        assert_eq!(dependency(&report, "assets")["calls"].as_u64(), Some(0));
        Ok(())
    });
}

#[test]
fn calls_with_at_most_once_effect_are_never_repeated() {
    run_test(async {
        let mut rig = start_rig().await?;
        rig.setup.effect = "at_most_once".into();
        let (instance, load, playing) = rig.start_with_load(5).await?;
        rig.set_behaviour("catalogue", ServerBehavior::DropsConnections);
        rig.servers["assets"][0].set_behavior(ServerBehavior::Hangs);
        wait_for_answers(&playing, 150).await;
        let seen = playing.stop().await.take();
        let calls: u64 = rig
            .servers
            .values()
            .flatten()
            .map(|server| server.calls.get())
            .sum();
        let report = instance.status().await?;
        let wanted: u64 = ["catalogue", "assets"]
            .iter()
            .filter_map(|name| dependency(&report, name)["calls"].as_u64())
            .sum();
        // The servers never receive more calls than the runs have made.
        assert!(calls <= wanted, "{calls} of {wanted}: {report}");
        assert_eq!(
            ["again", "hedges"].map(|counter| dependency(&report, "catalogue")[counter].as_u64()),
            [Some(0); 2]
        );
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert_eq!(
            (
                verdict.lost,
                verdict.doubled,
                verdict.run_twice,
                verdict.wrong_feeds
            ),
            (0, 0, 0, 0),
            "{verdict:?}"
        );
        Ok(())
    });
}
