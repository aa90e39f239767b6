//! The agent's store.

use merlinshelf_fleet::Record;
use merlinshelf_gossip::store_format::{decode_frame, encode_frame};
use serde_json::json;

use crate::support::agent::{Agent, Folder};
use crate::support::golden::{self, with_placeholders};
use crate::support::samples::store_record;
use crate::support::wait_for;

const STORE_HEADER: &[u8; 8] = b"MSF1\x01\0\0\0";
/// The store's file in the test's folder.
pub const STORE_FILE: &str = "run/fleet";
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

pub fn encode_store(record: &Record) -> Vec<u8> {
    let frame = encode_frame(record).expect("a record that can be encoded");
    [STORE_HEADER.to_vec(), frame].concat()
}

fn decode_store(bytes: &[u8]) -> Record {
    let frame = bytes.strip_prefix(STORE_HEADER).expect("the header");
    let (record, used) = decode_frame(frame, MAX_RECORD_BYTES).expect("one record");
    assert_eq!(used, frame.len());
    rmp_serde::from_slice(record).expect("a record")
}

#[test]
fn store_file() {
    let samples = [("every field", store_record())];
    golden::check_form("store.hex", &samples, encode_store, decode_store);
}

#[test]
fn agent_resumes_from_its_store_and_stores_the_same() {
    let folder = Folder::new("store");
    let record = store_record();
    folder.write(STORE_FILE, &encode_store(&record));
    let agent = Agent::start(&folder, &json!({ "folder": "run", "groups": {} }));
    // The process in the record has exited; all else is as it was.
    let mut expected = record;
    expected
        .instances
        .get_mut("web.0")
        .expect("it is there")
        .identity = None;
    let stored = wait_for("the stored record", || {
        let bytes = std::fs::read(folder.path(STORE_FILE)).expect("the store's file");
        (decode_store(&bytes).instances["web.0"].identity.is_none()).then_some(bytes)
    });
    assert_eq!(decode_store(&stored), expected);
    assert_eq!(stored, encode_store(&expected));
    let replies = json!({
        "plan": agent.request(&json!({ "op": "plan" })),
        "history": agent.request(&json!({ "op": "history" })),
        "status": agent.request(&json!({ "op": "status" })),
        "unknown": agent.request(&json!({ "op": "sing" })),
        "policy": agent.request(&json!({ "op": "policy", "what": "show" })),
    });
    let replies = folder.replace_in(&replies);
    golden::check_json(
        "fleet_replies.json",
        &with_placeholders(&replies, &["since_s"]),
    );
}
