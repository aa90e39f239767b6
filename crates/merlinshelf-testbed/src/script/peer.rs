//! One stream of any peer, played by hand: read by the line, by the byte or by the message.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{TIMEOUT, millis};

/// One stream of any of the peers, read by the line or by the byte.
pub struct Peer {
    pub stream: TcpStream,
    pub received: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream
            .set_read_timeout(Some(millis(20)))
            .expect("a time-out");
        Peer {
            stream,
            received: Vec::new(),
        }
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        let until = Instant::now() + TIMEOUT;
        listener.set_nonblocking(true).expect("a mode");
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a mode");
                    return Peer::new(stream);
                }
                Err(_) if Instant::now() < until => sleep(millis(2)),
                Err(error) => panic!("nobody came: {error}"),
            }
        }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .write_all(bytes.as_ref())
            .expect("a far end that reads");
    }

    /// More bytes; false at the end of the stream.
    pub fn read_more(&mut self, until: Instant) -> bool {
        let mut gulp = [0; 65536];
        loop {
            match self.stream.read(&mut gulp) {
                Ok(0) => return false,
                Ok(count) => {
                    self.received.extend(&gulp[..count]);
                    return true;
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    assert!(
                        Instant::now() < until,
                        "nothing more came after {:?}",
                        self.text()
                    );
                }
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return false,
                Err(error) => panic!("{error}"),
            }
        }
    }

    pub fn text(&self) -> String {
        self.received.escape_ascii().to_string()
    }

    pub fn read_bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        let until = Instant::now() + TIMEOUT;
        while self.received.len() < count {
            if !self.read_more(until) {
                return None;
            }
        }
        Some(self.received.drain(..count).collect())
    }

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

    /// As engine or catalogue: the next message with its body, questions for gauges answered on the way;
    /// nothing at the end of the link.
    pub fn next_message(&mut self) -> String {
        loop {
            let line = self.read_line().unwrap_or_default();
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["STAT", tag] => self.send(format!("STATS {tag} 0.5 1 0.1 3\r\n")),
                ["RUN" | "FEED" | "invoke", .., length] => {
                    let length: usize = length.parse().expect("a length");
                    let body = self.read_bytes(length + 2).expect("a body");
                    return format!("{line} {}", body[..length].escape_ascii());
                }
                _ => return line,
            }
        }
    }

    /// Answers so many questions for gauges: each shows that all that was sent before the one before was read.
    pub fn answer_stats(&mut self, count: usize) {
        for _ in 0..count {
            let line = self.read_line().unwrap_or_default();
            let tag = line
                .strip_prefix("STAT ")
                .unwrap_or_else(|| panic!("{line:?} is no question"));
            self.send(format!("STATS {tag} 0.5 1 0.1 3\r\n"));
        }
    }

    /// Answers questions for gauges for a while; anything else is handed back.
    pub fn answer_stats_for(&mut self, time: Duration) -> Vec<String> {
        let (until, mut seen) = (Instant::now() + time, Vec::new());
        while Instant::now() < until {
            self.stream
                .set_read_timeout(Some(millis(5)))
                .expect("a time-out");
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

    /// As edge node: the next answer, as its tag, its head without what never differs, and its body.
    pub fn next_answer(&mut self) -> String {
        let mut out = Vec::new();
        loop {
            let Some(head) = self.read_bytes(8) else {
                return "closed".into();
            };
            let (length, padding) = (u16::from_be_bytes([head[4], head[5]]), head[6]);
            let content = self
                .read_bytes(usize::from(length) + usize::from(padding))
                .expect("a whole record");
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
