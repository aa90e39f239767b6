//! The membership service: takes every report, and keeps the last word of each name.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::line_reader::LineReader;

#[derive(Default)]
pub struct MembershipService {
    /// The last report under each path.
    pub last_reports: RefCell<BTreeMap<String, String>>,
    verbose: bool,
}

impl MembershipService {
    /// Takes reports for as long as its task lives.
    pub fn start(listener: TcpListener, says: bool) -> Rc<MembershipService> {
        let members = Rc::new(MembershipService {
            verbose: says,
            ..MembershipService::default()
        });
        let shared = members.clone();
        super::serve(listener, move |stream| {
            let members = shared.clone();
            async move { members.attend(stream).await }
        });
        members
    }

    async fn attend(&self, stream: TcpStream) -> io::Result<()> {
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(first) = lines.read_line().await? {
            let mut length = 0;
            while let Some(header) = lines.read_line().await?.filter(|header| !header.is_empty()) {
                if let Some(value) = header.strip_prefix("Content-Length: ") {
                    length = value.parse().map_err(io::Error::other)?;
                }
            }
            let word = String::from_utf8_lossy(&lines.read_bytes(length).await?).into_owned();
            let path = first.split(' ').nth(1).unwrap_or("").to_owned();
            let before = self
                .last_reports
                .borrow_mut()
                .insert(path.clone(), word.clone());
            if self.verbose && before.as_ref() != Some(&word) {
                println!("members: {path} {word}");
            }
            output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
        }
        Ok(())
    }
}
