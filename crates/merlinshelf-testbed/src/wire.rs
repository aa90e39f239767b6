//! Encodes what front ends send: FastCGI records, and whole invocations by FastCGI or uwsgi.

use std::time::{SystemTime, UNIX_EPOCH};

pub fn fastcgi_record(kind: u8, tag: u16, content: &[u8], padding: u8) -> Vec<u8> {
    let ([high, low], length) = (tag.to_be_bytes(), (content.len() as u16).to_be_bytes());
    [
        &[1, kind, high, low, length[0], length[1], padding, 0],
        content,
        &vec![0; padding.into()],
    ]
    .concat()
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock after 1970")
        .as_millis()
}

/// The fields of an invocation, with some of them changed. A field changed to an empty value is omitted.
fn fields(id: &str, operation: &str, changes: &[(&str, &str)]) -> Vec<(String, String)> {
    let (path, now) = (format!("/svc/{operation}"), unix_ms().to_string());
    let mut fields = vec![
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", path.as_str()),
        ("HTTP_X_CALL_ID", id),
        ("HTTP_X_QUEUE_START", now.as_str()),
        ("HTTP_X_SOURCE", "4"),
        ("HTTP_X_PATIENCE_MS", "4000"),
        ("HTTP_X_HEAP_KB", "24.5"),
        ("HTTP_X_IMPORTANCE", "0.6250"),
    ];
    for (name, value) in changes {
        fields.retain(|(known, _)| known != name);
        fields.push((name, value));
    }
    let all = fields.into_iter().filter(|(_, value)| !value.is_empty());
    all.map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// An invocation as a uwsgi front end sends it.
pub fn uwsgi_invocation(operation: &str, body: &[u8], changes: &[(&str, &str)]) -> Vec<u8> {
    let length = body.len().to_string();
    let all: Vec<(&str, &str)> = std::iter::once(("CONTENT_LENGTH", length.as_str()))
        .chain(changes.iter().copied())
        .collect();
    let fields = fields(&invocation_id(1), operation, &all);
    let fields: Vec<(&str, &str)> = fields
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    let mut bytes: Vec<u8> = Vec::new();
    merlinshelf_protocol::uwsgi::write_request(&mut bytes, &fields);
    bytes.extend(body);
    bytes
}

/// An invocation as a FastCGI edge node sends it, with some fields changed. A field changed to an empty value is omitted.
pub fn fastcgi_invocation(
    tag: u16,
    operation: &str,
    body: &[u8],
    changes: &[(&str, &str)],
) -> Vec<u8> {
    let mut params = Vec::new();
    for (name, value) in fields(&invocation_id(tag), operation, changes) {
        params.push(name.len() as u8);
        params.extend((value.len() as u32 | 0x8000_0000).to_be_bytes());
        params.extend(name.as_bytes());
        params.extend(value.as_bytes());
    }
    let (first, second) = params.split_at(params.len() / 3);
    let mut bytes = fastcgi_record(1, tag, &[0, 1, 1, 0, 0, 0, 0, 0], 0);
    for part in [first, second, b""] {
        bytes.extend(fastcgi_record(4, tag, part, 3));
    }
    for part in body.chunks(600).filter(|part| !part.is_empty()) {
        bytes.extend(fastcgi_record(5, tag, part, 1));
    }
    bytes.extend(fastcgi_record(5, tag, b"", 0));
    bytes
}

pub fn invocation_id(tag: u16) -> String {
    format!("{tag:016x}")
}
