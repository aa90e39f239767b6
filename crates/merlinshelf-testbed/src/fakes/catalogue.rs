//! Fake catalogue: answers every call successfully after a fixed delay.

use std::io;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::line_reader::{Call, LineReader};
use super::{FakeBehavior, SharedRecords, catalogue_reply};

pub struct Catalogue {
    behavior: FakeBehavior,
    records: SharedRecords,
}

impl Catalogue {
    /// Accepts connections and answers calls until its task is dropped.
    pub fn start(listener: TcpListener, behavior: FakeBehavior, records: SharedRecords) {
        let catalogue = Rc::new(Catalogue { behavior, records });
        super::serve(listener, move |stream| {
            let catalogue = catalogue.clone();
            async move { catalogue.handle_connection(stream).await }
        });
    }

    async fn handle_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (input, mut output) = stream.into_split();
        let mut lines = LineReader::new(input);
        while let Some(Call {
            id,
            timeout_ms,
            body,
            ..
        }) = lines.read_call().await?
        {
            if self.behavior.verbose {
                println!("catalogue: call for {id}, timeout {timeout_ms} ms");
            }
            *self
                .records
                .borrow_mut()
                .calls
                .entry(id.clone())
                .or_default() += 1;
            sleep(self.behavior.call_duration).await;
            let reply = catalogue_reply(&id, &body);
            let head = format!("{id} ok {}\r\n", reply.len());
            output
                .write_all(&[head.as_bytes(), &reply, b"\r\n"].concat())
                .await?;
        }
        Ok(())
    }
}
