//! The engine: runs take their time, some wait for a call, every notice is numbered and kept, and a new link gets what
//! the last one missed.

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

/// Notices that are kept for the next link.
const KEPT: usize = 4000;

pub struct Engine {
    manner: FakeBehavior,
    records: SharedRecords,
    born: Instant,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// The number of the last notice, and the last ones.
    number: usize,
    notices: VecDeque<(usize, Vec<u8>)>,
    link: Option<UnboundedSender<Vec<u8>>>,
    runs: HashMap<String, Run>,
    /// Runs on the cores.
    busy: usize,
    /// Calls name their dependency on this link.
    names: bool,
}

/// A run that is not over: what it waits for, if it waits.
struct Run {
    body: Vec<u8>,
    call: Option<(usize, Vec<u8>)>,
    operation: String,
    /// The dependencies that it has still to call, and what came of those before.
    parts: VecDeque<String>,
    came: Vec<u8>,
}

impl Engine {
    /// Serves links for as long as its task lives.
    pub fn start(
        listener: TcpListener,
        manner: FakeBehavior,
        records: SharedRecords,
    ) -> Rc<Engine> {
        let engine = Rc::new(Engine {
            manner,
            records,
            born: Instant::now(),
            state: RefCell::default(),
        });
        let shared = engine.clone();
        spawn_local(async move {
            while let Ok((link, _)) = listener.accept().await {
                let _ = link.set_nodelay(true);
                shared.records.borrow_mut().engine_links += 1;
                let shared = shared.clone();
                spawn_local(async move {
                    if let Err(error) = shared.attend(link).await {
                        shared.say(&format!("the link ended: {error}"));
                    }
                });
            }
        });
        engine
    }

    fn say(&self, text: &str) {
        if self.manner.verbose {
            println!("engine: {text}");
        }
    }

    async fn attend(self: &Rc<Engine>, link: TcpStream) -> io::Result<()> {
        let (input, mut output) = link.into_split();
        let (sender, mut going): (_, UnboundedReceiver<Vec<u8>>) = unbounded_channel();
        let writing = async move {
            while let Some(bytes) = going.recv().await {
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
                    ["ATTACH", last, "NAMES/1"] if !self.manner.called_dependencies.is_empty() => {
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
                    _ => return Err(io::Error::other(format!("no command: {line}"))),
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
        self.say(&format!("a link, after notice {last}"));
        let mut state = self.state.borrow_mut();
        state.names = names;
        let agreed = if names { " NAMES/1" } else { "" };
        let up = self.born.elapsed().as_millis();
        let _ = sender.send(format!("HELLO WARM {up}{agreed}\r\n").into_bytes());
        for (_, notice) in state.notices.iter().filter(|(number, _)| *number > last) {
            let _ = sender.send(notice.clone());
        }
        state.link = Some(sender.clone());
    }

    fn run(self: &Rc<Engine>, id: &str, operation: &str, body: Vec<u8>) {
        let mut state = self.state.borrow_mut();
        if state.runs.contains_key(id) {
            return;
        }
        self.say(&format!("run {operation} {id}"));
        *self
            .records
            .borrow_mut()
            .runs
            .entry(id.to_owned())
            .or_default() += 1;
        let parts = self
            .manner
            .called_dependencies
            .iter()
            .find(|(of, _)| of == operation);
        let parts: VecDeque<String> = parts
            .map(|(_, parts)| parts.clone().into())
            .unwrap_or_default();
        let calls = !parts.is_empty()
            || self
                .manner
                .calling_operations
                .iter()
                .any(|calling| calling == operation);
        let run = Run {
            body,
            call: None,
            operation: operation.to_owned(),
            parts,
            came: Vec::new(),
        };
        state.runs.insert(id.to_owned(), run);
        state.busy += 1;
        let (engine, id) = (self.clone(), id.to_owned());
        spawn_local(async move {
            sleep(engine.manner.run_duration).await;
            if calls {
                engine.need(&id)
            } else {
                engine.done(&id, b"")
            }
        });
    }

    fn need(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        let (number, names) = (state.number + 1, state.names);
        let Some(run) = state.runs.get_mut(id) else {
            return;
        };
        let first = run.call.is_none();
        let part = run.parts.pop_front();
        let body = match &part {
            Some(part) => format!("of {id} {} {part}", run.operation),
            None => format!("of {id}"),
        };
        let body = body.into_bytes();
        run.call = Some((number, body.clone()));
        state.busy -= usize::from(first);
        let name = part
            .filter(|_| names)
            .map(|part| format!("{part} "))
            .unwrap_or_default();
        state.notice(|number| {
            [
                format!("NEED {number} {id} {name}{}\r\n", body.len()).as_bytes(),
                &body,
                b"\r\n",
            ]
            .concat()
        });
    }

    fn done(&self, id: &str, more: &[u8]) {
        let mut state = self.state.borrow_mut();
        let Some(run) = state.runs.remove(id) else {
            return;
        };
        if run.call.is_none() {
            state.busy -= 1;
        }
        let result = [run_result(id, &run.body).as_slice(), more].concat();
        let took = self.manner.run_duration.as_millis();
        state.notice(|number| {
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
            Some((_, body)) if reply == catalogue_reply(id, &body) => self.came(id, b", fed"),
            // Lesser answers, of runs with parts alone.
            Some(_)
                if reply.starts_with(b"less") && !self.manner.called_dependencies.is_empty() =>
            {
                self.came(id, b", less")
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
            self.came(id, b", poorer");
        }
    }

    /// What a run gets for its call: it makes its next one, or is done.
    fn came(&self, id: &str, word: &[u8]) {
        let more = match self.state.borrow_mut().runs.get_mut(id) {
            Some(run) => {
                run.came.extend(word);
                if run.parts.is_empty() {
                    Some(std::mem::take(&mut run.came))
                } else {
                    None
                }
            }
            None => return,
        };
        match more {
            Some(more) => self.done(id, &more),
            None => self.need(id),
        }
    }

    fn stat(&self, tag: &str, sender: &UnboundedSender<Vec<u8>>) {
        let busy = self.state.borrow().busy;
        let share = (busy as f64 / self.manner.cores).min(1.0);
        let _ = sender.send(format!("STATS {tag} {share} {busy} 0.1 1\r\n").into_bytes());
    }
}

impl State {
    fn notice(&mut self, write: impl FnOnce(usize) -> Vec<u8>) {
        self.number += 1;
        let notice = write(self.number);
        if let Some(link) = &self.link {
            let _ = link.send(notice.clone());
        }
        self.notices.push_back((self.number, notice));
        if self.notices.len() > KEPT {
            self.notices.pop_front();
        }
    }
}
