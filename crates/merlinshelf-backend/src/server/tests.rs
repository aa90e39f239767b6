//! Tests of client connections in this process, with a client that the tests script.

use std::cell::RefCell;
use std::time::Duration;

use merlinshelf_protocol::CallId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;
use crate::config::Config;
use crate::exchange::{Arrival, Exchange, ReplyAddress, unix_ms};

const EXAMPLE: &str = include_str!("../../../../examples/config.json");
/// How long a client waits for bytes that must come without further events.
const TIMEOUT: Duration = Duration::from_secs(5);
/// More answers than the kernel's buffers of a connection hold.
const MANY_ANSWERS: u64 = 60_000;
const RECORD_HEADER_BYTES: usize = 8;
const BEGIN_REQUEST: u8 = 1;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;

fn arrival(number: u64) -> Arrival {
    Arrival {
        id: CallId::parse(format!("{number:016x}").as_bytes()).expect("an id"),
        operation: 0,
        body: Rc::from(*b""),
        caller: 4,
        received_at_ms: unix_ms(),
        timeout_ms: Some(4000.0),
        is_retry: false,
        held_kilobytes: 20.0,
        rank: 0.5,
        has_subject: false,
    }
}

/// A connected client, and the exchange of the server, whose engine is not up.
async fn connect() -> io::Result<(TcpStream, Shared)> {
    let config = Config::parse(EXAMPLE).expect("the example is valid");
    let exchange = Exchange::from_config(&config).expect("valid settings");
    let exchange = Rc::new(RefCell::new(exchange));
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let server = Server::new(exchange.clone(), 8, false);
    let listener = Rc::new(register_listener(listener)?);
    spawn_local(accept(listener, server, Rc::default()));
    let client = TcpStream::connect(address).await?;
    while exchange.borrow().open_connections() == 0 {
        yield_now().await;
    }
    Ok((client, exchange))
}

fn record(kind: u8, content: &[u8]) -> Vec<u8> {
    let [high, low] = (content.len() as u16).to_be_bytes();
    [&[1, kind, 0, 1, high, low, 0, 0], content].concat()
}

/// A health check as the request 1, which keeps the connection open.
fn health_check() -> Vec<u8> {
    let fields = [("REQUEST_METHOD", "GET"), ("SCRIPT_NAME", "/status/live")];
    let params: Vec<u8> = fields
        .iter()
        .flat_map(|(name, value)| {
            let lengths = [name.len() as u8, value.len() as u8];
            [&lengths, name.as_bytes(), value.as_bytes()].concat()
        })
        .collect();
    [
        record(BEGIN_REQUEST, &[0, 1, 1, 0, 0, 0, 0, 0]),
        record(PARAMS, &params),
        record(PARAMS, b""),
        record(STDIN, b""),
    ]
    .concat()
}

/// Reads records until that many answers have ended; how many have ended if the bytes stop before.
async fn read_answers(client: &mut TcpStream, count: u64) -> io::Result<u64> {
    let mut ended = 0;
    let mut received = Vec::new();
    while ended < count {
        let read = timeout(TIMEOUT, client.read_buf(&mut received)).await;
        if !matches!(read, Ok(Ok(1..))) {
            break;
        }
        let mut rest = &received[..];
        while rest.len() >= RECORD_HEADER_BYTES {
            let content_bytes = usize::from(u16::from_be_bytes([rest[4], rest[5]]));
            let record_bytes = RECORD_HEADER_BYTES + content_bytes + usize::from(rest[6]);
            if rest.len() < record_bytes {
                break;
            }
            ended += u64::from(rest[1] == END_REQUEST);
            rest = &rest[record_bytes..];
        }
        received = rest.to_vec();
    }
    Ok(ended)
}

/// Guards against answers that stay queued for ever: after a pause of the client, the kernel takes
/// all that was unsent at once, and nothing else happens that the connection waits for.
#[test]
fn queued_answers_are_all_written_once_the_client_reads_again() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let test = async {
        let (mut client, exchange) = connect().await?;
        client.write_all(&health_check()).await?;
        assert_eq!(read_answers(&mut client, 1).await?, 1);
        for number in 0..MANY_ANSWERS {
            let address = ReplyAddress {
                connection: 0,
                tag: number as u16,
            };
            let arrival = arrival(number);
            let is_new = exchange.borrow_mut().invocation_read(address, arrival);
            assert!(is_new);
        }
        // The connection writes until the kernel accepts nothing more.
        sleep(Duration::from_millis(200)).await;
        read_answers(&mut client, MANY_ANSWERS).await
    };
    let answers: io::Result<u64> = LocalSet::new().block_on(&runtime, test);
    assert_eq!(answers.expect("a connection"), MANY_ANSWERS);
}
