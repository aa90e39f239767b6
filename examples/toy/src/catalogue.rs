//! The toy catalogue: every call goes well after a moment.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use super::{body, line};

pub fn serve(listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        println!("catalogue: a connection");
        thread::spawn(move || attend(stream));
    }
}

fn attend(mut stream: TcpStream) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(text) = line(&mut input)? {
        if let ["invoke", id, wait, length] = text.split(' ').collect::<Vec<_>>()[..] {
            let asked = body(&mut input, length)?;
            println!("catalogue: {id} waits {wait} ms");
            thread::sleep(Duration::from_millis(10));
            let reply = [b" and ", &asked[..]].concat();
            let head = format!("{id} ok {}\r\n", reply.len());
            stream.write_all(&[head.as_bytes(), &reply, b"\r\n"].concat())?;
        }
    }
    Ok(())
}
