//! Fake membership service: accepts every report and keeps the last one for each path.

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
    /// Accepts reports until its task is dropped.
    pub fn start(listener: TcpListener, says: bool) -> Rc<MembershipService> {
        let service = Rc::new(MembershipService {
            verbose: says,
            ..MembershipService::default()
        });
        let shared = service.clone();
        super::serve(listener, move |stream| {
            let service = shared.clone();
            async move { service.handle_connection(stream).await }
        });
        service
    }

    async fn handle_connection(&self, stream: TcpStream) -> io::Result<()> {
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(first) = lines.read_line().await? {
            let mut length = 0;
            while let Some(header) = lines.read_line().await?.filter(|header| !header.is_empty()) {
                if let Some(value) = header.strip_prefix("Content-Length: ") {
                    length = value.parse().map_err(io::Error::other)?;
                }
            }
            let report = String::from_utf8_lossy(&lines.read_bytes(length).await?).into_owned();
            let path = first.split(' ').nth(1).unwrap_or("").to_owned();
            let previous = self
                .last_reports
                .borrow_mut()
                .insert(path.clone(), report.clone());
            if self.verbose && previous.as_ref() != Some(&report) {
                println!("members: {path} {report}");
            }
            output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
        }
        Ok(())
    }
}
