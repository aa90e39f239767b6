//! The toy edge node: sends invocations on one connection and prints their answers as they come.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

/// As many as may be open on one connection.
const OPEN_MOST: u16 = 32;

pub fn ask(address: &str, operation: &str, body: &[u8], many: u16) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    let many = many.clamp(1, OPEN_MOST);
    for tag in 1..=many {
        stream.write_all(&invocation(tag, operation, body))?;
    }
    for _ in 0..many {
        print_answer(&mut stream)?;
    }
    Ok(())
}

fn record(kind: u8, tag: u16, content: &[u8]) -> Vec<u8> {
    let ([high, low], [long, short]) = (tag.to_be_bytes(), (content.len() as u16).to_be_bytes());
    [&[1, kind, high, low, long, short, 0, 0], content].concat()
}

fn invocation(tag: u16, operation: &str, body: &[u8]) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = (now.as_nanos() as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(tag.into());
    let fields = [
        ("REQUEST_METHOD", "POST".to_owned()),
        ("SCRIPT_NAME", format!("/svc/{operation}")),
        ("CONTENT_LENGTH", body.len().to_string()),
        ("HTTP_X_CALL_ID", format!("{id:016x}")),
        ("HTTP_X_QUEUE_START", now.as_millis().to_string()),
        ("HTTP_X_SOURCE", "1".to_owned()),
        ("HTTP_X_PATIENCE_MS", "2000".to_owned()),
        ("HTTP_X_HEAP_KB", "24.5".to_owned()),
        ("HTTP_X_IMPORTANCE", "0.5".to_owned()),
    ];
    let mut params = Vec::new();
    for (name, value) in &fields {
        params.extend([name.len() as u8, value.len() as u8]);
        params.extend(name.as_bytes());
        params.extend(value.as_bytes());
    }
    let mut bytes = record(1, tag, &[0, 1, 1, 0, 0, 0, 0, 0]);
    bytes.extend([record(4, tag, &params), record(4, tag, b"")].concat());
    if !body.is_empty() {
        bytes.extend(record(5, tag, body));
    }
    bytes.extend(record(5, tag, b""));
    bytes
}

/// Reads records until one invocation is at its end. Each answer comes in one record here.
fn print_answer(stream: &mut TcpStream) -> io::Result<()> {
    loop {
        let mut head = [0; 8];
        stream.read_exact(&mut head)?;
        let tag = u16::from_be_bytes([head[2], head[3]]);
        let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
        let mut content = vec![0; length + usize::from(head[6])];
        stream.read_exact(&mut content)?;
        match head[0..2] {
            [1, 6] if length > 0 => {
                println!("answer {tag}:\n{}\n", String::from_utf8_lossy(&content[..length]));
            }
            [1, 3] if content.get(4) == Some(&2) => {
                println!("answer {tag}: turned away\n");
                return Ok(());
            }
            [1, 3] => return Ok(()),
            _ => {}
        }
    }
}
