//! What being taught is worth on loopback: the real program begins in the midst of an outage below, cold or taught by others,
//! good and bad; how long until what it serves in its aim is worth as much as when it knows. And the other way round: what it
//! costs to be told of an outage where there is none.

use std::io;
use std::time::Duration;

use merlinshelf_gossip::{GossipedObservation, Metric, Source, SourceStatus};
use merlinshelf_gossip::{MembershipUpdate, Message};
use merlinshelf_protocol::gossip::{MessageKind, MessageReader, write_message};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::instance::{Instance, Setup, peer_address};
use crate::load::{Load, LoadRecord};

/// By what a fresh instance is taught.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriorSource {
    Nobody,
    /// One that has served under the same load for a while.
    Steady,
    /// Its own file, from the life before.
    OwnFile,
    /// One that has been up for a second.
    Recovering,
    /// One that knows servers four times as fast, from two minutes ago.
    Stale,
    /// One that says of everything ten times too much or too little, by turns.
    Wrong,
    /// One that says that half of all takes for ever and the rest nothing.
    Lying,
}

pub const ALL: [PriorSource; 7] = [
    PriorSource::Nobody,
    PriorSource::Steady,
    PriorSource::OwnFile,
    PriorSource::Recovering,
    PriorSource::Stale,
    PriorSource::Wrong,
    PriorSource::Lying,
];

impl PriorSource {
    pub fn name(self) -> &'static str {
        match self {
            PriorSource::Nobody => "cold",
            PriorSource::Steady => "steady peer",
            PriorSource::OwnFile => "own file",
            PriorSource::Recovering => "recovering peer",
            PriorSource::Stale => "stale peer",
            PriorSource::Wrong => "wrong peer",
            PriorSource::Lying => "lying peer",
        }
    }

    /// Whether it teaches what does not hold.
    pub fn is_bad(self) -> bool {
        matches!(
            self,
            PriorSource::Recovering | PriorSource::Stale | PriorSource::Wrong | PriorSource::Lying
        )
    }
}

/// Each operation: its name, what it is worth, its aim in ms, and the part of its worth without its call.
const OPERATIONS: [(&str, f64, u64, f64); 3] = [
    ("thumbnail", 1.0, 1700, 0.3),
    ("transcript-search", 2.0, 2300, 1.0),
    ("playback-token", 3.0, 1000, 0.5),
];
const CORES: u32 = 8;
/// Invocations a second; two thirds want a call. So many that those which wait for calls without an answer keep out others.
const RATE: f64 = 1200.0;
/// How long a call takes, and how long where the dependency hangs.
const BELOW: Duration = Duration::from_millis(20);
const HANGS: Duration = Duration::from_secs(60);
/// How long one is looked at, and in what steps and windows.
const LOOKED: Duration = Duration::from_millis(8000);
pub const STEP: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_millis(1000);

fn setup(program: &std::path::Path, outage: bool) -> Setup {
    let mut setup = Setup::small(program);
    setup.cores = CORES;
    setup.fakes.cores = f64::from(CORES);
    setup.fakes.call_duration = if outage { HANGS } else { BELOW };
    setup
}

fn learning(number: u8, seeds: &[String], folder: bool) -> Value {
    let mut learning = json!({
        "engine": "lab", "dependency": "catalogue", "save_ms": 500, "share": 0.02,
        "peers": { "listen": peer_address(number), "seeds": seeds },
    });
    if folder {
        learning["folder"] = json!(true);
    }
    learning
}

/// What was worth how much, by the step of arrival.
#[derive(Clone, Debug, Default)]
pub struct ValueSeries {
    /// Served in its aim.
    served: Vec<f64>,
    offered: Vec<f64>,
}

impl ValueSeries {
    fn of(seen: &LoadRecord, from: Instant) -> ValueSeries {
        let count = (LOOKED.as_millis() / STEP.as_millis()) as usize;
        let mut steps = ValueSeries {
            served: vec![0.0; count],
            offered: vec![0.0; count],
        };
        for sent in seen.sent.values() {
            let Some(since) = sent.sent_at.checked_duration_since(from) else {
                continue;
            };
            let place = (since.as_millis() / STEP.as_millis()) as usize;
            let of = OPERATIONS.iter().find(|(name, ..)| *name == sent.operation);
            let (Some((_, worth, aim, without)), true) = (of, place < count) else {
                continue;
            };
            steps.offered[place] += worth;
            if let Some((at, 200)) = sent.answers.first()
                && *at <= sent.sent_at + Duration::from_millis(*aim)
            {
                steps.served[place] += if sent.answered_without_call {
                    worth * without
                } else {
                    *worth
                };
            }
        }
        steps
    }

    fn share(&self, from: usize, until: usize) -> f64 {
        self.served[from..until].iter().sum::<f64>()
            / self.offered[from..until].iter().sum::<f64>().max(1e-9)
    }

    /// The share of the first second.
    pub fn first(&self) -> f64 {
        self.share(
            0,
            (Duration::from_secs(1).as_millis() / STEP.as_millis()) as usize,
        )
    }

    /// The share of the second half, in which one that was well taught is steady.
    pub fn steady(&self) -> f64 {
        self.share(self.served.len() / 2, self.served.len())
    }

    /// From which moment on every window's share is at least 95% of the steady one; all that is looked at, where never.
    pub fn settled(&self, steady: f64) -> Duration {
        let window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let last = self.served.len() - window;
        let short = (0..last + 1).rposition(|from| self.share(from, from + window) < 0.95 * steady);
        STEP * short.map_or(0, |short| {
            if short == last {
                self.served.len()
            } else {
                short + 1
            }
        }) as u32
    }

    /// Served and offered worth, whole, for a look at it.
    pub fn text(&self) -> String {
        let of =
            |(served, offered): (&f64, &f64)| format!("{:.0}%", 100.0 * served / offered.max(1e-9));
        self.served
            .iter()
            .zip(&self.offered)
            .map(of)
            .collect::<Vec<_>>()
            .join(" ")
    }
}

/// A while under the load, after which an instance knows what there is to know; it is left in the midst of it.
async fn past(instance: &Instance, seed: u64, time: Duration) -> io::Result<()> {
    let playing = Load::with_example_operations(&instance.address, 32, RATE, seed + 1000)
        .start()
        .await?;
    sleep(time).await;
    playing.abandon();
    Ok(())
}

/// One play: what was worth how much.
pub async fn run(
    outage: bool,
    program: &std::path::Path,
    seed: u64,
    teacher: PriorSource,
    number: u8,
) -> io::Result<ValueSeries> {
    let (own, other) = (number, number + 1);
    let folder = teacher == PriorSource::OwnFile;
    let taught = |seeds: &[String]| Setup {
        name: format!("n{own}"),
        learning: Some(learning(own, seeds, folder)),
        ..setup(program, outage)
    };
    let seeds = [peer_address(other)];
    // Whoever teaches is there first.
    let mut before: Option<Instance> = None;
    let mut own_past: Option<Instance> = None;
    let mut liar = None;
    match teacher {
        PriorSource::Nobody => {}
        PriorSource::Steady | PriorSource::Recovering => {
            let setup = Setup {
                name: format!("n{other}"),
                learning: Some(learning(other, &[], false)),
                ..setup(program, outage)
            };
            let instance = Instance::start(&setup, other).await?;
            let time = if teacher == PriorSource::Steady {
                3500
            } else {
                900
            };
            past(&instance, seed, Duration::from_millis(time)).await?;
            before = Some(instance);
        }
        PriorSource::OwnFile => {
            let instance = Instance::start(&taught(&[]), own).await?;
            past(&instance, seed, Duration::from_millis(3500)).await?;
            own_past = Some(instance);
        }
        PriorSource::Stale | PriorSource::Wrong | PriorSource::Lying => {
            let listener = TcpListener::bind(&seeds[0]).await?;
            let figures = wrong(teacher, outage, seed);
            liar = Some(spawn_local(serve_observations(
                listener,
                seeds[0].clone(),
                figures,
            )));
        }
    }
    let mut instance = match own_past {
        Some(mut instance) => {
            // Without a word, as by a crash; what was saved is what there is.
            instance.kill_and_restart().await?;
            instance.wait_for_log("the engine is up", 2).await?;
            instance
        }
        None => {
            Instance::start(
                &taught(if teacher == PriorSource::Nobody {
                    &[]
                } else {
                    &seeds
                }),
                own,
            )
            .await?
        }
    };
    if teacher != PriorSource::Nobody {
        instance
            .wait_for_report("taught", |status| {
                status["learning"]["taught_by"] != json!([])
            })
            .await?;
    }
    let from = Instant::now();
    let playing = Load::with_example_operations(&instance.address, 32, RATE, seed)
        .start()
        .await?;
    sleep_until(from + LOOKED).await;
    if std::env::var_os("MERLINSHELF_LAB_STEPS").is_some() {
        println!("{} {}", teacher.name(), instance.status().await?);
    }
    let seen = playing.stop().await.take();
    instance.kill_all().await;
    if let Some(mut before) = before {
        before.kill_all().await;
    }
    if let Some(liar) = liar {
        liar.abort();
        let _ = liar.await; // its listener is closed with it
    }
    Ok(ValueSeries::of(&seen, from))
}

/// Figures that do not hold.
fn wrong(teacher: PriorSource, outage: bool, seed: u64) -> Vec<GossipedObservation> {
    let factor = |place: u64| match teacher {
        PriorSource::Stale => 0.25,
        PriorSource::Wrong if (place + seed).is_multiple_of(2) => 10.0,
        PriorSource::Wrong => 0.1,
        _ if place.is_multiple_of(2) => 1e4,
        _ => 1e-4,
    };
    let (engine, dependency) = (|| "lab".to_owned(), || "catalogue".to_owned());
    let mut right = Vec::new();
    for (name, ..) in OPERATIONS {
        right.push((
            Metric::RunRecent {
                engine: engine(),
                operation: name.into(),
            },
            0.005,
        ));
        right.push((
            Metric::RunLowest {
                engine: engine(),
                operation: name.into(),
            },
            0.005,
        ));
        right.push((
            Metric::RunDownstream {
                dependency: dependency(),
                operation: name.into(),
            },
            0.1,
        ));
    }
    right.push((Metric::Limit { engine: engine() }, 16.0));
    right.push((
        Metric::CallRecent {
            dependency: dependency(),
        },
        0.1,
    ));
    right.push((
        Metric::CallLowest {
            dependency: dependency(),
        },
        0.05,
    ));
    right.push((
        Metric::CallLimit {
            dependency: dependency(),
        },
        8.0,
    ));
    right.push((Metric::RetryShare, 0.01));
    right.push((Metric::ReturningCallerShare, 0.9));
    // Told of an outage where there is none, and of none where there is one.
    let failures = if outage { 0.0 } else { 50.0 };
    right.push((
        Metric::CallFailures {
            dependency: dependency(),
        },
        failures,
    ));
    let told = |(place, (subject, value)): (usize, (Metric, f64))| {
        let callers = matches!(subject, Metric::RetryShare | Metric::ReturningCallerShare);
        let most = if callers { 1.0 } else { 600.0 };
        let failures = matches!(subject, Metric::CallFailures { .. });
        GossipedObservation {
            value: if failures {
                value
            } else {
                (value * factor(place as u64)).clamp(0.01, most)
            },
            metric: subject,
            source: Source {
                name: "bad".into(),
                incarnation: 1,
            },
            sample_count: 24,
            age_seconds: if teacher == PriorSource::Stale {
                120.0
            } else {
                0.0
            },
            sequence: 1,
            hops: 1,
            status: SourceStatus::Steady,
        }
    };
    right.into_iter().enumerate().map(told).collect()
}

/// Teaches whoever asks these figures.
pub async fn serve_observations(
    listener: TcpListener,
    address: String,
    figures: Vec<GossipedObservation>,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let from = MembershipUpdate {
            name: "bad".into(),
            address: address.clone(),
            incarnation: 1,
            refutations: 0,
            state: merlinshelf_gossip::State::Alive,
        };
        let figures = figures.clone();
        spawn_local(async move {
            let (mut reading, mut come) = (MessageReader::default(), Vec::new());
            loop {
                match stream.read_buf(&mut come).await {
                    Ok(count) if count > 0 => {}
                    _ => return,
                }
                match reading.read(&come) {
                    Ok((used, None)) => _ = come.drain(..used),
                    _ => break,
                }
            }
            let answer = Message {
                from,
                status: SourceStatus::Steady,
                wants_observations: false,
                updates: Vec::new(),
                observations: figures,
            };
            let mut bytes: Vec<u8> = Vec::new();
            write_message(&mut bytes, MessageKind::Answer, &answer);
            let _ = stream.write_all(&bytes).await; // it may have given up
        });
    }
}
