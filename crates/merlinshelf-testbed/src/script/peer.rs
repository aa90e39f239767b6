//! A connection of a scripted peer, read by line, by byte or by message.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{TIMEOUT, millis};

/// A connection of a scripted engine, catalogue, membership service or edge node.
pub struct Peer {
    pub stream: TcpStream,
    /// Bytes received and not consumed yet.
    pub received: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream
            .set_read_timeout(Some(millis(20)))
            .expect("setting the read timeout");
        Peer {
            stream,
            received: Vec::new(),
        }
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        let until = Instant::now() + TIMEOUT;
        listener
            .set_nonblocking(true)
            .expect("setting the blocking mode");
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream
                        .set_nonblocking(false)
                        .expect("setting the blocking mode");
                    return Peer::new(stream);
                }
                Err(_) if Instant::now() < until => sleep(millis(2)),
                Err(error) => panic!("no connection was made: {error}"),
            }
        }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .write_all(bytes.as_ref())
            .expect("the peer does not read");
    }

    /// Reads more bytes; false at the end of the stream. Panics if none arrive before `until`.
    pub fn read_more(&mut self, until: Instant) -> bool {
        let mut buffer = [0; 65536];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return false,
                Ok(count) => {
                    self.received.extend(&buffer[..count]);
                    return true;
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    assert!(
                        Instant::now() < until,
                        "no more bytes arrived after {:?}",
                        self.text()
                    );
                }
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return false,
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// The unconsumed bytes, escaped.
    pub fn text(&self) -> String {
        self.received.escape_ascii().to_string()
    }

    /// Reads `count` bytes; `None` if the stream ends before.
    pub fn read_bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        let until = Instant::now() + TIMEOUT;
        while self.received.len() < count {
            if !self.read_more(until) {
                return None;
            }
        }
        Some(self.received.drain(..count).collect())
    }

    /// Reads a line without its line ending; `None` at the end of the stream.
    pub fn read_line(&mut self) -> Option<String> {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(end) = self.received.windows(2).position(|two| two == b"\r\n") {
                let line = self.read_bytes(end + 2)?;
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.read_more(until) {
                return None;
            }
        }
    }

    /// As engine or catalogue: reads the next message with its body, and answers gauge requests (`STAT`) before it.
    /// Returns an empty string at the end of the stream.
    pub fn next_message(&mut self) -> String {
        loop {
            let line = self.read_line().unwrap_or_default();
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["STAT", tag] => self.send(format!("STATS {tag} 0.5 1 0.1 3\r\n")),
                ["RUN" | "FEED" | "invoke", .., length] => {
                    let length: usize = length.parse().expect("a valid length");
                    let body = self.read_bytes(length + 2).expect("a complete body");
                    return format!("{line} {}", body[..length].escape_ascii());
                }
                _ => return line,
            }
        }
    }

    /// Answers `count` gauge requests (`STAT`). Each request shows that the program has read everything that was sent before the
    /// previous answer.
    pub fn answer_stats(&mut self, count: usize) {
        for _ in 0..count {
            let line = self.read_line().unwrap_or_default();
            let tag = line
                .strip_prefix("STAT ")
                .unwrap_or_else(|| panic!("{line:?} is not a gauge request"));
            self.send(format!("STATS {tag} 0.5 1 0.1 3\r\n"));
        }
    }

    /// Answers gauge requests for `time`, and returns all other lines received.
    pub fn answer_stats_for(&mut self, time: Duration) -> Vec<String> {
        let (until, mut seen) = (Instant::now() + time, Vec::new());
        while Instant::now() < until {
            self.stream
                .set_read_timeout(Some(millis(5)))
                .expect("setting the read timeout");
            let mut peeked = [0; 1];
            if self.stream.peek(&mut peeked).is_ok_and(|count| count > 0)
                || !self.received.is_empty()
            {
                match self.read_line() {
                    Some(line) if line.starts_with("STAT ") => {
                        self.send(format!("STATS {} 0.5 1 0.1 3\r\n", &line[5..]));
                    }
                    line => seen.extend(line),
                }
            }
        }
        seen
    }

    /// As edge node: reads the next answer. Returns its tag, its head without the fixed parts, and its body.
    pub fn next_answer(&mut self) -> String {
        let mut out = Vec::new();
        loop {
            let Some(head) = self.read_bytes(8) else {
                return "closed".into();
            };
            let (length, padding) = (u16::from_be_bytes([head[4], head[5]]), head[6]);
            let content = self
                .read_bytes(usize::from(length) + usize::from(padding))
                .expect("a complete record");
            let (content, tag) = (
                &content[..length.into()],
                u16::from_be_bytes([head[2], head[3]]),
            );
            match head[1] {
                6 => out.extend(content),
                3 if content[4] == 0 => {
                    let text = out.escape_ascii().to_string().replace("\\r\\n", "|");
                    let text = text.replace("|Content-Type: application/octet-stream|", "|");
                    return format!("{tag} {}", text.replace("Status: ", ""));
                }
                3 => return format!("{tag} ended with status {}", content[4]),
                kind => return format!("record {kind} {}", content.escape_ascii()),
            }
        }
    }
}
