//! Tests of the journal with a real file in memory.

use merlinshelf_handover::records::{Answer, ResponseQueueRecord};

use super::*;

/// 16 blocks of 512 bytes are two pages: the last one read, and the one being written.
const MAX_BLOCKS: i64 = 16;

#[test]
fn records_are_read_back_and_their_memory_is_released() {
    let file = memory_file("test").expect("a file");
    let copy = file.try_clone().expect("a copy");
    let mut journal = Journal::new(file);
    let mut image = Image::default();
    let mut reader = JournalReader::new(copy.try_clone().expect("a copy"));
    let queue = |bytes: usize| ResponseQueueRecord {
        answers: vec![(1, Answer::Succeeded(vec![7; bytes].into()))],
    };
    for round in 0..100_u64 {
        journal.put(Key::ResponseQueue(round % 7), &queue(20_000));
        if round % 3 == 0 {
            journal.remove(Key::ResponseQueue((round + 1) % 7));
        }
        journal.write();
        reader.read(&mut image).expect("it can be read");
        let blocks = rustix::fs::fstat(&copy).expect("a state").st_blocks;
        assert!(blocks <= MAX_BLOCKS, "{blocks} blocks");
    }
    assert_eq!(
        image.get::<ResponseQueueRecord>(Key::ResponseQueue(99 % 7)),
        Some(queue(20_000))
    );
    assert!(image.is_removed(Key::ResponseQueue(100 % 7)));
}
