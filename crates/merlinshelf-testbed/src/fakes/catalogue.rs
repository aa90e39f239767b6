//! The catalogue: every call goes well after a moment.

use std::io;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::line_reader::{Call, LineReader};
use super::{FakeBehavior, SharedRecords, catalogue_reply};

pub struct Catalogue {
    manner: FakeBehavior,
    records: SharedRecords,
}

impl Catalogue {
    /// Answers calls for as long as its task lives.
    pub fn start(listener: TcpListener, manner: FakeBehavior, records: SharedRecords) {
        let catalogue = Rc::new(Catalogue { manner, records });
        super::serve(listener, move |stream| {
            let catalogue = catalogue.clone();
            async move { catalogue.attend(stream).await }
        });
    }

    async fn attend(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(Call { id, wait, body, .. }) = lines.read_call().await? {
            if self.manner.verbose {
                println!("catalogue: {id} waits {wait} ms");
            }
            *self
                .records
                .borrow_mut()
                .calls
                .entry(id.clone())
                .or_default() += 1;
            sleep(self.manner.call_duration).await;
            let reply = catalogue_reply(&id, &body);
            let head = format!("{id} ok {}\r\n", reply.len());
            output
                .write_all(&[head.as_bytes(), &reply, b"\r\n"].concat())
                .await?;
        }
        Ok(())
    }
}
