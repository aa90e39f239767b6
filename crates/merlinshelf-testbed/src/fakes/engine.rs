//! Fake engine: executes runs, some of which make downstream calls. Notifications are numbered and kept, so that a new link
//! receives those that the previous one missed.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::line_reader::LineReader;
use super::{FakeBehavior, SharedRecords, catalogue_reply, run_result};

/// Notifications kept for replay on the next link.
const MAX_KEPT_NOTIFICATIONS: usize = 4000;

pub struct Engine {
    behavior: FakeBehavior,
    records: SharedRecords,
    started_at: Instant,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// The number of the last notification.
    last_number: usize,
    /// The most recent notifications, for replay.
    notifications: VecDeque<(usize, Vec<u8>)>,
    link: Option<UnboundedSender<Vec<u8>>>,
    runs: HashMap<String, Run>,
    /// Runs that occupy a core.
    busy: usize,
    /// Whether calls name their dependency on this link.
    names_dependencies: bool,
}

/// A run in progress.
struct Run {
    body: Vec<u8>,
    /// The number and the body of the call it waits for.
    call: Option<(usize, Vec<u8>)>,
    operation: String,
    /// The dependencies still to be called.
    remaining: VecDeque<String>,
    /// The outcomes of the calls made so far, as a suffix of the result.
    outcomes: Vec<u8>,
}

impl Engine {
    /// Accepts links and serves them until its task is dropped.
    pub fn start(
        listener: TcpListener,
        behavior: FakeBehavior,
        records: SharedRecords,
    ) -> Rc<Engine> {
        let engine = Rc::new(Engine {
            behavior,
            records,
            started_at: Instant::now(),
            state: RefCell::default(),
        });
        let shared = engine.clone();
        spawn_local(async move {
            while let Ok((link, _)) = listener.accept().await {
                let _ = link.set_nodelay(true);
                shared.records.borrow_mut().engine_links += 1;
                let shared = shared.clone();
                spawn_local(async move {
                    if let Err(error) = shared.serve_link(link).await {
                        shared.print(&format!("link closed: {error}"));
                    }
                });
            }
        });
        engine
    }

    fn print(&self, text: &str) {
        if self.behavior.verbose {
            println!("engine: {text}");
        }
    }

    async fn serve_link(self: &Rc<Engine>, link: TcpStream) -> io::Result<()> {
        let (input, mut output) = link.into_split();
        let (sender, mut outgoing): (_, UnboundedReceiver<Vec<u8>>) = unbounded_channel();
        let writing = async move {
            while let Some(bytes) = outgoing.recv().await {
                output.write_all(&bytes).await?;
            }
            Ok(())
        };
        let mut lines = LineReader::new(input);
        let reading = async {
            while let Some(line) = lines.read_line().await? {
                let words: Vec<&str> = line.split(' ').collect();
                match words[..] {
                    ["ATTACH", last] => {
                        self.attach(last.parse().map_err(io::Error::other)?, false, &sender)
                    }
                    ["ATTACH", last, "NAMES/1"]
                        if !self.behavior.called_dependencies.is_empty() =>
                    {
                        self.attach(last.parse().map_err(io::Error::other)?, true, &sender);
                    }
                    ["RUN", id, operation, length] => {
                        let body = lines.read_body(length).await?;
                        self.run(id, operation, body);
                    }
                    ["FEED", id, length] => {
                        let reply = lines.read_body(length).await?;
                        self.feed(id, &reply);
                    }
                    ["SKIP", id, number] => self.skip(id, number),
                    ["STAT", tag] => self.stat(tag, &sender),
                    _ => return Err(io::Error::other(format!("unknown command: {line:?}"))),
                }
            }
            Ok(())
        };
        select! {
            ended = reading => ended,
            ended = writing => ended,
        }
    }

    fn attach(&self, last: usize, names: bool, sender: &UnboundedSender<Vec<u8>>) {
        self.print(&format!("link attached after notification {last}"));
        let mut state = self.state.borrow_mut();
        state.names_dependencies = names;
        let extension = if names { " NAMES/1" } else { "" };
        let uptime_ms = self.started_at.elapsed().as_millis();
        let _ = sender.send(format!("HELLO WARM {uptime_ms}{extension}\r\n").into_bytes());
        for (_, notification) in state
            .notifications
            .iter()
            .filter(|(number, _)| *number > last)
        {
            let _ = sender.send(notification.clone());
        }
        state.link = Some(sender.clone());
    }

    fn run(self: &Rc<Engine>, id: &str, operation: &str, body: Vec<u8>) {
        let mut state = self.state.borrow_mut();
        if state.runs.contains_key(id) {
            return;
        }
        self.print(&format!("started run of {operation} for {id}"));
        *self
            .records
            .borrow_mut()
            .runs
            .entry(id.to_owned())
            .or_default() += 1;
        let dependencies = self
            .behavior
            .called_dependencies
            .iter()
            .find(|(of, _)| of == operation);
        let remaining: VecDeque<String> = dependencies
            .map(|(_, dependencies)| dependencies.clone().into())
            .unwrap_or_default();
        let calls = !remaining.is_empty()
            || self
                .behavior
                .calling_operations
                .iter()
                .any(|calling| calling == operation);
        let run = Run {
            body,
            call: None,
            operation: operation.to_owned(),
            remaining,
            outcomes: Vec::new(),
        };
        state.runs.insert(id.to_owned(), run);
        state.busy += 1;
        let (engine, id) = (self.clone(), id.to_owned());
        spawn_local(async move {
            sleep(engine.behavior.run_duration).await;
            if calls {
                engine.make_call(&id)
            } else {
                engine.finish(&id, b"")
            }
        });
    }

    fn make_call(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        let (number, names) = (state.last_number + 1, state.names_dependencies);
        let Some(run) = state.runs.get_mut(id) else {
            return;
        };
        let first = run.call.is_none();
        let dependency = run.remaining.pop_front();
        let body = match &dependency {
            Some(dependency) => format!("of {id} {} {dependency}", run.operation),
            None => format!("of {id}"),
        };
        let body = body.into_bytes();
        run.call = Some((number, body.clone()));
        state.busy -= usize::from(first);
        let name = dependency
            .filter(|_| names)
            .map(|dependency| format!("{dependency} "))
            .unwrap_or_default();
        state.notify(|number| {
            [
                format!("NEED {number} {id} {name}{}\r\n", body.len()).as_bytes(),
                &body,
                b"\r\n",
            ]
            .concat()
        });
    }

    fn finish(&self, id: &str, suffix: &[u8]) {
        let mut state = self.state.borrow_mut();
        let Some(run) = state.runs.remove(id) else {
            return;
        };
        if run.call.is_none() {
            state.busy -= 1;
        }
        let result = [run_result(id, &run.body).as_slice(), suffix].concat();
        let took = self.behavior.run_duration.as_millis();
        state.notify(|number| {
            let head = format!("DONE {number} {id} OK {took} {}\r\n", result.len());
            [head.as_bytes(), &result, b"\r\n"].concat()
        });
    }

    fn feed(&self, id: &str, reply: &[u8]) {
        let awaited = self
            .state
            .borrow()
            .runs
            .get(id)
            .and_then(|run| run.call.clone());
        match awaited {
            Some((_, body)) if reply == catalogue_reply(id, &body) => {
                self.complete_call(id, b", fed")
            }
            // Degraded results occur only in runs that call several dependencies.
            Some(_)
                if reply.starts_with(b"less") && !self.behavior.called_dependencies.is_empty() =>
            {
                self.complete_call(id, b", less")
            }
            _ => self.records.borrow_mut().wrong_feeds += 1,
        }
    }

    fn skip(&self, id: &str, number: &str) {
        let awaited = self
            .state
            .borrow()
            .runs
            .get(id)
            .and_then(|run| run.call.as_ref().map(|(of, _)| *of));
        if awaited.is_some_and(|awaited| awaited.to_string() == number) {
            self.complete_call(id, b", poorer");
        }
    }

    /// Records the outcome of a run's call. The run then makes its next call, or finishes.
    fn complete_call(&self, id: &str, outcome: &[u8]) {
        let suffix = match self.state.borrow_mut().runs.get_mut(id) {
            Some(run) => {
                run.outcomes.extend(outcome);
                if run.remaining.is_empty() {
                    Some(std::mem::take(&mut run.outcomes))
                } else {
                    None
                }
            }
            None => return,
        };
        match suffix {
            Some(suffix) => self.finish(id, &suffix),
            None => self.make_call(id),
        }
    }

    fn stat(&self, tag: &str, sender: &UnboundedSender<Vec<u8>>) {
        let busy = self.state.borrow().busy;
        let utilization = (busy as f64 / self.behavior.cores).min(1.0);
        let _ = sender.send(format!("STATS {tag} {utilization} {busy} 0.1 1\r\n").into_bytes());
    }
}

impl State {
    fn notify(&mut self, write: impl FnOnce(usize) -> Vec<u8>) {
        self.last_number += 1;
        let notification = write(self.last_number);
        if let Some(link) = &self.link {
            let _ = link.send(notification.clone());
        }
        self.notifications
            .push_back((self.last_number, notification));
        if self.notifications.len() > MAX_KEPT_NOTIFICATIONS {
            self.notifications.pop_front();
        }
    }
}
