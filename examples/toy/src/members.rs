//! The toy membership service: says when a backend's word changes.

use std::io::{self, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use super::line;

pub fn serve(listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || attend(stream));
    }
}

fn attend(mut stream: TcpStream) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut last = Vec::new();
    while let Some(first) = line(&mut input)? {
        let mut length = 0;
        while let Some(header) = line(&mut input)?.filter(|header| !header.is_empty()) {
            if let Some(value) = header.strip_prefix("Content-Length: ") {
                length = value.parse().map_err(io::Error::other)?;
            }
        }
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        if body != last {
            println!("members: {first} {}", String::from_utf8_lossy(&body));
        }
        last = body;
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
    }
    Ok(())
}
