//! The agent's own loop: what happens to the instances goes into the fleet, what the fleet decides is carried out.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{info, warn};
use merlinshelf_backend::control::{self, PendingRequest};
use merlinshelf_backend::logger;
use merlinshelf_backend::operator::Format;
use merlinshelf_fleet::capacity::address;
use merlinshelf_fleet::{Action, Fleet, FleetSpec, Identity, Report, State};
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::select;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::asked;
use crate::files::{self, Paths};
use crate::policy::{Happened, PolicyAgent};
use crate::processes::{self, Process};
use crate::store::Store;
use crate::talk::Talk;

/// The fleet is gone over so often.
const TICK: Duration = Duration::from_millis(50);
/// Each instance is asked so often, where there are few; with more, less often.
const ASK_EVERY: Duration = Duration::from_millis(250);
const ASK_EACH: Duration = Duration::from_millis(4);
/// With every so many questions it is tried whether its clients are let in, too.
const PROBED_EACH: u32 = 4;
/// A question to an instance is given up after so long.
const ANSWER_WITHIN: Duration = Duration::from_millis(1000);
/// A successor whose predecessor has died opens its control socket within a fraction of this.
const SOUGHT_FOR: Duration = Duration::from_millis(600);
const SOUGHT_EVERY: Duration = Duration::from_millis(50);
/// The longest upgrade of one instance.
const UPGRADE_WITHIN: Duration = Duration::from_secs(600);
/// Logs are looked after so often.
const LOGS_EVERY: Duration = Duration::from_secs(5);

/// What happened, from the tasks beside the loop.
enum Event {
    Ended(String, Identity, Option<i32>),
    /// A process serves with the instance's own files and socket that was not known here.
    Found(String, Identity),
    /// There is none.
    NobodyElse(String, Unfound),
    Reported(String, Box<Report>),
    Upgraded(String, Result<(), String>),
}

/// Why a process of an instance was looked for.
enum Unfound {
    /// The one that was known has ended, with this status.
    Ended(Option<i32>),
    /// Somebody listens where a new one was to.
    NotStarted,
}

/// Where a tool's answers go.
type Reply = UnboundedSender<(ControlMessage, Value)>;

struct Agent {
    file: PathBuf,
    fleet: Fleet,
    store: Store,
    began: Instant,
    rng: Pcg64Mcg,
    held: BTreeMap<String, (Identity, Rc<Process>)>,
    /// Instances whose question is under way.
    asking: Rc<RefCell<std::collections::BTreeSet<String>>>,
    events: (UnboundedSender<Event>, UnboundedReceiver<Event>),
    asked_times: u32,
    /// Tools that follow a plan to its end, and the last that each was told.
    following: Vec<(u64, Reply, String)>,
    watching: Vec<Reply>,
    /// Its part in the policy for all; none where the file names no council.
    policy: Option<PolicyAgent>,
}

/// Serves until told to end; the instances go on.
///
/// # Errors
/// The file can't be used, another agent holds the folder, or the socket can't be had.
pub fn serve(file: &Path) -> Result<(), String> {
    let wanted = files::load(file)?;
    logger::start(None, Format::Text);
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let done = LocalSet::new().block_on(&runtime, run(file.to_path_buf(), wanted));
    logger::finish();
    done.map_err(|error| error.to_string())
}

fn unix() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

async fn run(file: PathBuf, wanted: FleetSpec) -> io::Result<()> {
    let folder = wanted.folder.clone();
    let named =
        |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", folder.display()));
    let (store, record) = Store::open(&folder).map_err(named)?;
    processes::inherit_orphans();
    let (requests, mut asked) = unbounded_channel();
    let _control = control::open(&files::agent_socket(&wanted), requests)?;
    let stop_within = files::stop_within(&wanted);
    let life = unix().to_bits() ^ u64::from(std::process::id()) << 40;
    let policy = match &wanted.council {
        Some(of) => Some(PolicyAgent::begin(of, &folder, life).await?),
        None => None,
    };
    let known = record.instances.clone();
    let began = Instant::now();
    let mut agent = Agent {
        file,
        fleet: Fleet::new(0.0, unix(), wanted, record, stop_within),
        store,
        began,
        rng: Pcg64Mcg::seed_from_u64(unix().to_bits() ^ u64::from(std::process::id())),
        held: BTreeMap::new(),
        asking: Rc::default(),
        events: unbounded_channel(),
        asked_times: 0,
        following: Vec::new(),
        watching: Vec::new(),
        policy,
    };
    for (name, kept) in known {
        agent.adopt(&name, kept.identity).await;
    }
    info!(
        "the agent serves {} instances from {}",
        agent.fleet.instances().count(),
        agent.file.display()
    );
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let (mut asked_at, mut logs_at) = (Instant::now(), Instant::now());
    loop {
        select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hup.recv() => {
                match agent.apply() {
                    Ok(()) => info!("the file is read anew"),
                    Err(why) => warn!("the file stays as it was: {why}"),
                }
            }
            Some(event) = agent.events.1.recv() => agent.happened(event),
            Some(asked) = asked.recv() => agent.asked(asked),
            happened = next_of(&mut agent.policy) => {
                let now = agent.now();
                if let Some(policy) = &mut agent.policy {
                    policy.take(now, happened);
                }
            }
            _ = tick.tick() => {}
        }
        agent.fleet.at(unix());
        let now = agent.now();
        agent.fleet.woken(now);
        while let Some(step) = agent.fleet.next_step() {
            agent.carry_out(step);
        }
        if let Some(record) = agent.fleet.take_record() {
            agent.store.save(record);
        }
        agent.turn_policy();
        agent.tell_progress();
        let every = ASK_EVERY.max(ASK_EACH * agent.held.len() as u32);
        if asked_at.elapsed() >= every {
            asked_at = Instant::now();
            agent.ask_all();
        }
        if logs_at.elapsed() >= LOGS_EVERY {
            logs_at = Instant::now();
            agent
                .fleet
                .instances()
                .for_each(|one| files::turn_log(&agent.paths(&one.name).log));
        }
    }
    info!("the agent ends; the instances go on");
    Ok(())
}

async fn next_of(policy: &mut Option<PolicyAgent>) -> Happened {
    match policy {
        Some(policy) => policy.next().await,
        None => std::future::pending().await,
    }
}

impl Agent {
    /// The policy for all goes on by what has happened.
    fn turn_policy(&mut self) {
        let now = self.now();
        let Some(mut policy) = self.policy.take() else {
            return;
        };
        // Also one whose process has ended while it is looked for who took over from it: that one holds its lease.
        let with_process = self.fleet.instances().filter(|one| one.identity.is_some());
        let instances = with_process
            .map(|one| (one.name.clone(), self.paths(&one.name).control))
            .collect();
        let standing = || {
            self.fleet
                .instances()
                .map(|one| asked::instance(now, one))
                .collect()
        };
        policy.turn(now, unix(), &instances, standing);
        self.policy = Some(policy);
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn paths(&self, name: &str) -> Paths {
        files::paths(self.fleet.wanted(), name)
    }

    /// Where clients reach an instance.
    fn address(&self, name: &str) -> Option<SocketAddr> {
        let one = self.fleet.get(name)?;
        address(
            &self.fleet.wanted().groups.get(&one.group)?.listen,
            one.number,
        )
    }

    /// Finds the process of an earlier agent's instance: by number and start, or as who took over from it and says so on its
    /// socket.
    async fn adopt(&mut self, name: &str, known: Option<Identity>) {
        let Some(known) = known else { return };
        let now = self.now();
        if self.hold(name, &known) {
            return self.fleet.found(now, name, known);
        }
        let control = self.paths(name).control;
        let Some(report) = reported(&control).await else {
            return;
        };
        if report.predecessor == Some(known.pid) && self.hold(name, &report.identity) {
            self.fleet.found(now, name, report.identity);
        }
    }

    /// Holds the process and waits for its end beside the loop.
    fn hold(&mut self, name: &str, identity: &Identity) -> bool {
        if self
            .held
            .get(name)
            .is_some_and(|(known, _)| known == identity)
        {
            return true;
        }
        let Ok(process) = Process::hold(identity) else {
            return false;
        };
        let process = Rc::new(process);
        self.held
            .insert(name.to_owned(), (identity.clone(), process.clone()));
        let (sender, name, identity) = (self.events.0.clone(), name.to_owned(), identity.clone());
        spawn_local(async move {
            let status = process.ended().await;
            let _ = sender.send(Event::Ended(name, identity, status));
        });
        true
    }

    fn happened(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Ended(name, identity, status) => {
                // One that was taken over from ends, too; only the one that is known now counts.
                let current = self
                    .held
                    .get(&name)
                    .is_some_and(|(known, _)| *known == identity);
                if current {
                    self.held.remove(&name);
                    // One that was told to leave has nobody to go on with what it had.
                    let (told, upgrades) = self.fleet.get(&name).map_or((true, false), |one| {
                        (one.told, one.state == State::Upgrading)
                    });
                    if !told {
                        return self.seek(name, identity, upgrades, Unfound::Ended(status));
                    }
                    let chance = self.rng.random();
                    self.fleet.ended(now, &name, status, chance);
                }
            }
            Event::Found(name, identity) => {
                if self.hold(&name, &identity) {
                    self.fleet.found(now, &name, identity);
                }
            }
            Event::NobodyElse(name, Unfound::Ended(status)) => {
                let chance = self.rng.random();
                self.fleet.ended(now, &name, status, chance);
            }
            Event::NobodyElse(name, Unfound::NotStarted) => {
                let (chance, why) = (
                    self.rng.random(),
                    "another process listens on its control socket",
                );
                self.fleet.not_started(now, &name, why, chance);
            }
            Event::Reported(name, report) => {
                let known = self.fleet.get(&name).and_then(|one| one.identity.clone());
                let own = known.as_ref().is_some_and(|known| {
                    *known == report.identity || report.predecessor == Some(known.pid)
                });
                if own && !self.hold(&name, &report.identity) {
                    return; // it has ended since it said so
                }
                if let Some(policy) = &mut self.policy {
                    policy.counted(&name, report.invocations, report.succeeded);
                }
                self.fleet.reported(now, &name, *report);
            }
            Event::Upgraded(name, Ok(())) => self.fleet.upgraded(now, &name),
            Event::Upgraded(name, Err(why)) => {
                self.fleet.not_upgraded(now, &name, &why);
                if let Some(program) = self.fleet.get(&name).map(|one| one.program.clone())
                    && let Err(error) = files::point(&self.paths(&name), &program)
                {
                    warn!("{name}: {error}");
                }
            }
        }
    }

    /// Looks who answers on an instance's socket. A process that ends in the midst of an upgrade may have been taken over from, and
    /// a successor that ends may have been taken back from: whoever names the one that ended as its predecessor, or was started with
    /// the instance's own files, is the instance. In an upgrade its socket may be opened a moment later.
    fn seek(&self, name: String, ended: Identity, waits: bool, why: Unfound) {
        let (sender, paths) = (self.events.0.clone(), self.paths(&name));
        spawn_local(async move {
            let until = Instant::now() + SOUGHT_FOR;
            loop {
                let report = reported(&paths.control)
                    .await
                    .filter(|report| report.identity != ended);
                if let Some(report) = report {
                    if report.predecessor == Some(ended.pid) {
                        let _ = sender.send(Event::Reported(name, Box::new(report)));
                        return;
                    }
                    if processes::was_started_with(&report.identity, &paths.config) {
                        let _ = sender.send(Event::Found(name, report.identity));
                        return;
                    }
                }
                if !waits || Instant::now() >= until {
                    let _ = sender.send(Event::NobodyElse(name, why));
                    return;
                }
                sleep(SOUGHT_EVERY).await;
            }
        });
    }

    /// Asks every instance how it stands, each once at a time.
    fn ask_all(&mut self) {
        self.asked_times = self.asked_times.wrapping_add(1);
        let probes = self.asked_times.is_multiple_of(PROBED_EACH);
        for name in self.held.keys() {
            if !self.asking.borrow_mut().insert(name.clone()) {
                continue;
            }
            let (asking, sender) = (self.asking.clone(), self.events.0.clone());
            let address = probes.then(|| self.address(name)).flatten();
            let (name, control) = (name.clone(), self.paths(name).control);
            spawn_local(async move {
                let mut report = reported(&control).await;
                // One that says that it is well and lets nobody in is not.
                if let (Some(report), Some(address)) = (&mut report, address)
                    && report.healthy == Some(true)
                {
                    let connect = timeout(ANSWER_WITHIN, TcpStream::connect(address)).await;
                    report.healthy = Some(matches!(connect, Ok(Ok(_))));
                }
                asking.borrow_mut().remove(&name);
                if let Some(report) = report {
                    let _ = sender.send(Event::Reported(name, Box::new(report)));
                }
            });
        }
    }

    fn carry_out(&mut self, step: Action) {
        let now = self.now();
        match step {
            Action::Start { name, program } => {
                let made = match self.fleet.get(&name) {
                    Some(one) => files::make(self.fleet.wanted(), one),
                    None => return,
                };
                let started = match made {
                    Ok(paths) if control::is_taken(&paths.control) => {
                        return self.seek(name, Identity::default(), false, Unfound::NotStarted);
                    }
                    Ok(paths) => processes::start(
                        Path::new(&program),
                        &[&paths.config, &paths.operator],
                        &paths.log,
                    ),
                    Err(error) => Err(error),
                };
                let held = started.and_then(|identity| {
                    self.fleet.started(now, &name, identity.clone());
                    if self.hold(&name, &identity) {
                        Ok(())
                    } else {
                        Err(io::Error::other("it ended at once"))
                    }
                });
                if let Err(error) = held {
                    let chance = self.rng.random();
                    self.fleet
                        .not_started(now, &name, &error.to_string(), chance);
                }
            }
            Action::Drain { name } => {
                let control = self.paths(&name).control;
                let Some((_, process)) = self.held.get(&name) else {
                    return;
                };
                let process = process.clone();
                spawn_local(async move {
                    let told = Talk::once(&control, ControlRequest::Drain, ANSWER_WITHIN).await;
                    if !matches!(told, Ok((ControlMessage::Done, _))) {
                        process.signal(Signal::TERM);
                    }
                });
            }
            Action::Terminate { name } => {
                if let Some((_, process)) = self.held.get(&name) {
                    process.signal(Signal::CONT);
                    process.signal(Signal::TERM);
                }
            }
            Action::Kill { name } => {
                if let Some((_, process)) = self.held.get(&name) {
                    process.signal(Signal::KILL);
                }
            }
            Action::Upgrade { name, program } => {
                let paths = self.paths(&name);
                let sender = self.events.0.clone();
                let pointed = files::point(&paths, &program);
                spawn_local(async move {
                    let done = match pointed {
                        Ok(()) => upgrade(&paths.control).await,
                        Err(error) => Err(error.to_string()),
                    };
                    let _ = sender.send(Event::Upgraded(name, done));
                });
            }
        }
    }

    fn apply(&mut self) -> Result<(), String> {
        let wanted = files::load(&self.file)?;
        if wanted.folder != self.fleet.wanted().folder {
            return Err("another folder is for another agent".into());
        }
        let now = self.now();
        self.fleet.apply(now, wanted).map_err(|refusal| refusal.0)
    }

    fn asked(&mut self, asked: PendingRequest) {
        match asked {
            PendingRequest::Fleet(body, reply) => self.fleet_asked(&body, reply),
            PendingRequest::Status(reply) => {
                let names: Vec<String> =
                    self.fleet.instances().map(|one| one.name.clone()).collect();
                _ = reply.send(asked::status(&self.fleet, self.now(), &names).1);
            }
            // Words for instances, dropped unanswered: their asker sees the end of it.
            PendingRequest::Drain(_)
            | PendingRequest::Upgrade(_)
            | PendingRequest::Knowledge(_)
            | PendingRequest::Forget(..)
            | PendingRequest::Policy(..) => {}
        }
    }

    fn fleet_asked(&mut self, body: &Value, reply: Reply) {
        let refused = |why: String| (ControlMessage::Refused, json!({ "text": why }));
        let now = self.now();
        let say = |said: (ControlMessage, Value)| _ = reply.send(said);
        let op = body["op"].as_str().unwrap_or("").to_owned();
        let selector = asked::selector(body);
        let done = |result: Result<(), merlinshelf_fleet::Refusal>| match result {
            Ok(()) => (ControlMessage::Done, json!({ "text": "done" })),
            Err(why) => refused(why.0),
        };
        match op.as_str() {
            "status" => match self.fleet.select(&selector) {
                Ok(names) => {
                    let (pages, sum) = asked::status(&self.fleet, now, &names);
                    pages
                        .into_iter()
                        .for_each(|page| say((ControlMessage::More, page)));
                    for (agent, age, said) in self
                        .policy
                        .as_ref()
                        .map(|of| of.others(now))
                        .unwrap_or_default()
                    {
                        say((
                            ControlMessage::More,
                            json!({ "agent": agent, "age_s": asked::round(age), "others": said["instances"] }),
                        ));
                    }
                    say((ControlMessage::Done, sum));
                }
                Err(why) => say(refused(why.0)),
            },
            "policy" => match &mut self.policy {
                Some(policy) => policy.asked(now, body, reply),
                None => say(refused(
                    "policies are off: the fleet's file has no `council`".into(),
                )),
            },
            "watch" => self.watching.push(reply),
            "plan" => match self.fleet.plan() {
                Some(plan) => say((ControlMessage::Done, asked::plan(plan))),
                None => say((ControlMessage::Done, json!({ "plan": null }))),
            },
            "pause" => say(done(self.fleet.pause())),
            "resume" => say(done(self.fleet.resume(now))),
            "abandon" => say(done(self.fleet.abandon())),
            "apply" => say(match self.apply() {
                Ok(()) => (
                    ControlMessage::Done,
                    json!({ "text": "the file is read anew" }),
                ),
                Err(why) => refused(why),
            }),
            "scale" => {
                let count = body["count"]
                    .as_u64()
                    .and_then(|count| u32::try_from(count).ok());
                let (group, count) = (
                    body["group"].as_str().unwrap_or(""),
                    count.unwrap_or(u32::MAX),
                );
                say(done(self.fleet.scale(now, group, count)));
            }
            "logs" => match self.fleet.select(&selector) {
                Ok(names) => {
                    let count = body["lines"].as_u64().unwrap_or(20).min(1000) as usize;
                    for name in names {
                        let lines =
                            files::last_lines(&self.paths(&name).log, count).unwrap_or_default();
                        say((
                            ControlMessage::More,
                            json!({ "name": name, "lines": lines }),
                        ));
                    }
                    say((ControlMessage::Done, json!({})));
                }
                Err(why) => say(refused(why.0)),
            },
            "history" => {
                let count = body["lines"].as_u64().unwrap_or(50).min(1000) as usize;
                let events: Vec<_> = self.fleet.history.events().rev().take(count).collect();
                for some in events.into_iter().rev().collect::<Vec<_>>().chunks(100) {
                    let page: Vec<Value> = some
                        .iter()
                        .map(|of| json!({ "number": of.number, "at": of.at, "instance": of.instance, "text": of.text }))
                        .collect();
                    say((ControlMessage::More, json!({ "events": page })));
                }
                say((ControlMessage::Done, json!({})));
            }
            _ => match asked::command(body) {
                Ok(Some(command)) if body["dry_run"] == true => {
                    match self.fleet.plan_for(&selector, &command) {
                        Ok(plan) => say((ControlMessage::Done, asked::plan(&plan))),
                        Err(why) => say(refused(why.0)),
                    }
                }
                Ok(Some(command)) => match self.fleet.command(now, &selector, &command) {
                    Ok(number) if body["wait"] == true => {
                        self.following.push((number, reply, String::new()))
                    }
                    Ok(_) => say((
                        ControlMessage::Done,
                        self.fleet.plan().map(asked::plan).unwrap_or_default(),
                    )),
                    Err(why) => say(refused(why.0)),
                },
                Ok(None) => say(refused(format!("{op:?} is nothing that is done here"))),
                Err(why) => say(refused(why)),
            },
        }
    }

    /// Tells who follows a plan how it stands, whenever that is something else.
    fn tell_progress(&mut self) {
        if let Some(plan) = self.fleet.plan() {
            let shown = asked::plan(plan);
            let text = format!("{} {} {}", shown["plan"], shown["state"], shown["done"]);
            self.following.retain_mut(|(number, reply, last)| {
                if *number != plan.number {
                    let _ = reply.send((
                        ControlMessage::Failed,
                        json!({ "text": "another plan has taken its place" }),
                    ));
                    return false;
                }
                if plan.state.is_over() {
                    let well = plan.state == merlinshelf_fleet::PlanState::Done;
                    let _ = reply.send((
                        if well {
                            ControlMessage::Done
                        } else {
                            ControlMessage::Failed
                        },
                        shown.clone(),
                    ));
                    return false;
                }
                if *last != text {
                    last.clone_from(&text);
                    return reply.send((ControlMessage::More, shown.clone())).is_ok();
                }
                !reply.is_closed()
            });
        }
        if !self.watching.is_empty() {
            let names: Vec<String> = self.fleet.instances().map(|one| one.name.clone()).collect();
            let (pages, sum) = asked::status(&self.fleet, self.now(), &names);
            for reply in std::mem::take(&mut self.watching) {
                pages
                    .iter()
                    .for_each(|page| _ = reply.send((ControlMessage::More, page.clone())));
                let _ = reply.send((ControlMessage::Done, sum.clone()));
            }
        }
    }
}

/// How whoever listens on a control socket stands; none where nobody says so in time.
async fn reported(control: &Path) -> Option<Report> {
    let answer = Talk::once(control, ControlRequest::Status, ANSWER_WITHIN).await;
    let (_, said) = answer
        .ok()
        .filter(|(word, _)| *word == ControlMessage::Done)?;
    report(&said)
}

/// What an instance says of itself; none where it is no such report.
fn report(status: &Value) -> Option<Report> {
    let pid = u32::try_from(status["process"].as_u64()?).ok()?;
    Some(Report {
        identity: processes::identity(pid)?,
        predecessor: status["predecessor"]
            .as_u64()
            .and_then(|pid| u32::try_from(pid).ok()),
        state: status["state"].as_str()?.to_owned(),
        healthy: status["healthy"].as_bool(),
        in_hand: status["in_hand"].as_u64().unwrap_or(0),
        invocations: status["counters"]["invocations"].as_u64().unwrap_or(0),
        succeeded: status["counters"]["succeeded"].as_u64().unwrap_or(0),
        run_ms: status["run_ms"].as_f64(),
        memory_kb: status["memory_kb"].as_u64().unwrap_or(0),
        program: processes::program(pid),
    })
}

/// Asks an instance to hand over, to the end of it.
async fn upgrade(control: &Path) -> Result<(), String> {
    let talk = Talk::ask(control, ControlRequest::Upgrade, &json!({}), UPGRADE_WITHIN).await;
    let mut talk = talk.map_err(|error| error.to_string())?;
    loop {
        match talk.next().await {
            Ok((ControlMessage::More, _)) => {}
            Ok((ControlMessage::Done, _)) => return Ok(()),
            Ok((_, report)) => {
                return Err(report["text"].as_str().unwrap_or("it failed").to_owned());
            }
            // Its end may have been missed over the hand-over itself: it says who serves.
            Err(error) => {
                sleep(Duration::from_millis(300)).await;
                let status = timeout(
                    ANSWER_WITHIN,
                    Talk::once(control, ControlRequest::Status, ANSWER_WITHIN),
                )
                .await;
                return match status {
                    Ok(Ok((_, status))) if status["predecessor"].is_u64() => Ok(()),
                    _ => Err(error.to_string()),
                };
            }
        }
    }
}
