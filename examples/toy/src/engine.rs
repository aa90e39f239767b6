//! The toy engine: two cores' worth of pretended work, a call below where the operation makes one.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::{body, line};

const WORK: Duration = Duration::from_millis(60);
const CORES: f64 = 2.0;

/// What is kept across links: all notices by number, and where each run's replies go.
#[derive(Default)]
struct State {
    notices: Vec<Vec<u8>>,
    link: Option<TcpStream>,
    runs: HashMap<String, Sender<Option<Vec<u8>>>>,
}

type Shared = Arc<Mutex<State>>;

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn notice(&mut self, write: impl FnOnce(usize) -> Vec<u8>) -> usize {
        let number = self.notices.len() + 1;
        self.notices.push(write(number));
        self.say(&self.notices[number - 1].clone());
        number
    }

    fn say(&mut self, bytes: &[u8]) {
        if self.link.as_mut().is_some_and(|link| link.write_all(bytes).is_err()) {
            self.link = None;
        }
    }
}

pub fn serve(listener: &TcpListener, calling: &[String]) {
    let (state, born) = (Shared::default(), Instant::now());
    for link in listener.incoming().flatten() {
        println!("engine: a link");
        let (state, calling) = (state.clone(), calling.to_vec());
        thread::spawn(move || {
            if let Err(error) = attend(link, &state, born, &calling) {
                println!("engine: the link ended: {error}");
            }
        });
    }
}

fn attend(link: TcpStream, state: &Shared, born: Instant, calling: &[String]) -> io::Result<()> {
    let mut input = BufReader::new(link.try_clone()?);
    while let Some(text) = line(&mut input)? {
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["ATTACH", last] => {
                let last: usize = last.parse().map_err(io::Error::other)?;
                let mut state = lock(state);
                state.link = Some(link.try_clone()?);
                state.say(format!("HELLO WARM {}\r\n", born.elapsed().as_millis()).as_bytes());
                let missed: Vec<u8> = state.notices.iter().skip(last).flatten().copied().collect();
                state.say(&missed);
            }
            ["RUN", id, operation, length] => {
                let body = body(&mut input, length)?;
                println!("engine: run {operation} {id}");
                let calls = calling.iter().any(|one| one == operation);
                begin(state, id.to_owned(), operation.to_owned(), body, calls);
            }
            ["FEED", id, length] => {
                let reply = body(&mut input, length)?;
                if let Some(run) = lock(state).runs.get(id) {
                    let _ = run.send(Some(reply));
                }
            }
            ["SKIP", id, _] => {
                if let Some(run) = lock(state).runs.get(id) {
                    let _ = run.send(None);
                }
            }
            ["STAT", tag] => {
                let mut state = lock(state);
                let runs = state.runs.len() as f64;
                let busy = (runs / CORES).min(1.0);
                state.say(format!("STATS {tag} {busy} {runs} 0.1 1\r\n").as_bytes());
            }
            _ => return Err(io::Error::other(format!("no command: {text}"))),
        }
    }
    Ok(())
}

fn begin(state: &Shared, id: String, operation: String, body: Vec<u8>, calls: bool) {
    let (sender, replies) = channel();
    if lock(state).runs.insert(id.clone(), sender).is_some() {
        return; // it runs already
    }
    let state = state.clone();
    thread::spawn(move || {
        let began = Instant::now();
        thread::sleep(WORK);
        let mut result = format!("{operation} of ").into_bytes();
        result.extend(body);
        if calls {
            let ask = |number| format!("NEED {number} {id} 4\r\nmore\r\n").into_bytes();
            lock(&state).notice(ask);
            // A run whose invocation was given up waits here no longer than any client would.
            match replies.recv_timeout(Duration::from_secs(10)) {
                Ok(Some(reply)) => result.extend(reply),
                Ok(None) => result.extend(b", poorer"),
                Err(_) => {}
            }
        }
        let mut state = lock(&state);
        state.runs.remove(&id);
        state.notice(|number| {
            let took = began.elapsed().as_millis();
            let mut text = format!("DONE {number} {id} OK {took} {}\r\n", result.len()).into_bytes();
            text.extend(result);
            text.extend(b"\r\n");
            text
        });
    });
}
