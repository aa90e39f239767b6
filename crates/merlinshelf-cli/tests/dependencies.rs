//! Calls to several dependencies by the real program on loopback: partial answers that are told and counted, lists that change, an
//! upgrade and a notice to leave with calls open, an engine that does not know of names, and effects that must not happen twice.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use merlinshelf_testbed::experiments::dependencies::play::{parts, section};
use merlinshelf_testbed::experiments::upgrade::round;
use merlinshelf_testbed::fakes::{Manners, Server};
use merlinshelf_testbed::instance::{Instance, Setup};
use merlinshelf_testbed::load::{Load, Playing};
use merlinshelf_testbed::play::play_within;
use serde_json::Value;
use tokio::time::{Instant, sleep};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");

/// Plays on one thread, within a time.
fn play<T>(what: impl Future<Output = io::Result<T>>) -> T {
    play_within(Duration::from_secs(60), what)
}

struct Rig {
    servers: BTreeMap<&'static str, Vec<Rc<Server>>>,
    setup: Setup,
}

async fn rig() -> io::Result<Rig> {
    let mut servers: BTreeMap<&'static str, Vec<Rc<Server>>> = BTreeMap::new();
    for name in ["catalogue", "assets"].repeat(3) {
        servers
            .entry(name)
            .or_default()
            .push(Server::start(Duration::from_millis(3)).await?);
    }
    let mut setup = Setup::small(PROGRAM);
    (setup.watched, setup.silent) = (Duration::from_millis(700), Duration::from_millis(2000));
    (setup.manner.parts, setup.dependencies) = (parts(), Some(section(&addresses(&servers, 0..3))));
    Ok(Rig { servers, setup })
}

fn addresses(
    servers: &BTreeMap<&'static str, Vec<Rc<Server>>>,
    which: std::ops::Range<usize>,
) -> BTreeMap<String, Vec<String>> {
    let of = |all: &[Rc<Server>]| {
        all[which.clone()]
            .iter()
            .map(|one| one.address.clone())
            .collect()
    };
    servers
        .iter()
        .map(|(name, all)| ((*name).to_owned(), of(all)))
        .collect()
}

impl Rig {
    async fn begin(&self, number: u8) -> io::Result<(Instance, Load, Playing)> {
        let instance = Instance::start(&self.setup, number).await?;
        let load = Load::of_all(&instance.address, 8, 150.0, number.into());
        let playing = load.start().await?;
        more(&playing, 30).await;
        Ok((instance, load, playing))
    }

    fn all_do(&self, name: &str, manners: Manners) {
        self.servers[name]
            .iter()
            .for_each(|server| server.does(manners));
    }
}

/// Waits until so many more were answered.
async fn more(playing: &Playing, count: usize) {
    let answered = || {
        playing
            .seen
            .borrow()
            .sent
            .values()
            .filter(|sent| !sent.answers.is_empty())
            .count()
    };
    let (until, wanted) = (Instant::now() + Duration::from_secs(15), answered() + count);
    while answered() < wanted && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
}

fn dependency<'a>(report: &'a Value, name: &str) -> &'a Value {
    let all = report["dependencies"]
        .as_array()
        .expect("a report of dependencies");
    all.iter()
        .find(|one| one["name"] == name)
        .expect("that dependency")
}

#[test]
fn what_is_missing_is_told_and_counted_and_both_recover() {
    play(async {
        let rig = rig().await?;
        let (instance, load, playing) = rig.begin(1).await?;
        assert!(
            playing
                .seen
                .borrow()
                .sent
                .values()
                .all(|sent| sent.partial.is_none())
        );
        rig.all_do("catalogue", Manners::Slow(20.0));
        rig.all_do("assets", Manners::Errors);
        more(&playing, 150).await;
        rig.all_do("assets", Manners::Well);
        more(&playing, 50).await;
        rig.all_do("catalogue", Manners::Well);
        // Found again within seconds: whole answers come.
        let whole = |playing: &Playing| {
            let seen = playing.seen.borrow();
            let late = seen
                .sent
                .values()
                .filter(|sent| sent.at.elapsed() < Duration::from_millis(500));
            let answered: Vec<bool> = late
                .filter(|sent| !sent.answers.is_empty())
                .map(|sent| sent.partial.is_none())
                .collect();
            answered.len() > 20 && answered.iter().all(|whole| *whole)
        };
        let until = Instant::now() + Duration::from_secs(15);
        while !whole(&playing) {
            assert!(
                Instant::now() < until,
                "it is not whole again: {}",
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
        let said = command.output().await?;
        let said = String::from_utf8_lossy(&said.stdout).into_owned();
        assert!(
            said.contains("catalogue: ") && said.matches("127.0.0.1:").count() == 6,
            "{said}"
        );
        let lesser = dependency(&report, "assets")["lesser"]
            .as_u64()
            .unwrap_or(0);
        assert!(lesser > 0, "{report}");
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert!(verdict.is_clean(), "{verdict:?}");
        Ok(())
    });
}

#[test]
fn lists_change_by_signal_and_an_upgrade_carries_calls_to_many_servers() {
    play(async {
        let rig = rig().await?;
        let (instance, load, playing) = rig.begin(2).await?;
        // The third of each is new; the first is gone, and gets nothing further.
        instance.depends_on(&section(&addresses(&rig.servers, 1..3)))?;
        instance.logged("dependencies reloaded: 2", 1).await?;
        more(&playing, 30).await;
        let before = rig.servers["catalogue"][0].calls.get();
        more(&playing, 60).await;
        assert_eq!(rig.servers["catalogue"][0].calls.get(), before);
        // A file that can't be used changes nothing.
        instance.depends_on(
            &serde_json::json!({ "operations": { "thumbnail": { "calls": [{ "to": "nobody" }] } } }),
        )?;
        instance
            .logged("the old dependencies stay in force", 1)
            .await?;
        instance.depends_on(&section(&addresses(&rig.servers, 0..3)))?;
        instance.logged("dependencies reloaded: 2", 2).await?;
        rig.all_do("catalogue", Manners::Slow(10.0));
        more(&playing, 30).await;
        assert_eq!(
            round(&instance, &format!("exec '{PROGRAM}' \"$@\"")).await?,
            "done"
        );
        more(&playing, 60).await;
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
        instance.leave().await
    });
}

#[test]
fn a_notice_to_leave_with_calls_open_loses_nothing() {
    play(async {
        let rig = rig().await?;
        let (instance, load, playing) = rig.begin(3).await?;
        rig.servers["catalogue"][0].does(Manners::Hangs);
        rig.servers["assets"][1].does(Manners::Breaks);
        more(&playing, 20).await;
        instance.leave().await?;
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
fn an_engine_that_closes_on_names_is_asked_plainly_and_calls_go_by_their_place() {
    play(async {
        let mut rig = rig().await?;
        // It knows of no parts: an extended ATTACH is no command there, and runs call once without naming anybody.
        rig.setup.manner.parts.clear();
        let (instance, load, playing) = rig.begin(4).await?;
        more(&playing, 60).await;
        let seen = playing.stop().await.take();
        let verdict = seen.check(&instance.records.borrow(), load.patience);
        assert!(verdict.is_clean() && verdict.served > 50, "{verdict:?}");
        assert!(instance.records.borrow().links >= 2);
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
fn what_must_not_happen_twice_is_called_once_whatever_the_servers_do() {
    play(async {
        let mut rig = rig().await?;
        rig.setup.effect = "at_most_once".into();
        let (instance, load, playing) = rig.begin(5).await?;
        rig.all_do("catalogue", Manners::Breaks);
        rig.servers["assets"][0].does(Manners::Hangs);
        more(&playing, 150).await;
        let seen = playing.stop().await.take();
        let calls: u64 = rig
            .servers
            .values()
            .flatten()
            .map(|server| server.calls.get())
            .sum();
        let report = instance.status().await?;
        let made: u64 = ["catalogue", "assets"]
            .iter()
            .filter_map(|of| dependency(&report, of)["calls"].as_u64())
            .sum();
        // Servers never see more calls than runs have wanted.
        assert!(calls <= made, "{calls} of {made}: {report}");
        assert_eq!(
            ["again", "hedges"].map(|what| dependency(&report, "catalogue")[what].as_u64()),
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
