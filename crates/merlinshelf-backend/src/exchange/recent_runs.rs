//! The ids of invocations that were run. An id names one attempt, so one that comes again must not
//! be run a second time, whether or not its caller has left and in whichever process.

#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, HashSet, VecDeque};

use merlinshelf_handover::records;
use merlinshelf_protocol::CallId;
use serde_bytes::ByteBuf;

/// The number of ids that are stored and forgotten together. Small, since the latest block is
/// journaled with every run that ends in a successor on probation.
const IDS_PER_BLOCK: usize = 64;
/// The number of ids remembered for each megabyte of the memory limit: a hundredth of that.
const IDS_PER_MEGABYTE: usize = 256;

/// The most recent of these ids; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct RecentRuns {
    ids: HashSet<CallId>,
    /// The same ids in the order in which their runs ended.
    blocks: VecDeque<Block>,
    max_blocks: usize,
    unsaved: Option<UnsavedBlocks>,
}

/// Ids that are stored together.
#[derive(Debug, Default)]
struct Block {
    /// Its position among all blocks, also of earlier processes.
    number: u64,
    ids: Vec<CallId>,
}

/// The numbers of the blocks that have changed or were forgotten since the last write of the
/// journal.
#[derive(Debug, Default)]
pub struct UnsavedBlocks {
    pub changed: BTreeSet<u64>,
    pub forgotten: BTreeSet<u64>,
}

impl RecentRuns {
    /// No ids yet, for a process with this memory limit in megabytes.
    pub fn new(memory_mb: u64) -> RecentRuns {
        let max_ids = memory_mb as usize * IDS_PER_MEGABYTE;
        RecentRuns {
            max_blocks: max_ids.div_ceil(IDS_PER_BLOCK).max(1),
            ..RecentRuns::default()
        }
    }

    /// The run of this invocation has ended.
    pub fn insert(&mut self, id: CallId) {
        if !self.ids.insert(id) {
            return;
        }
        let number = self.block_with_capacity();
        if let Some(block) = self.blocks.back_mut() {
            block.ids.push(id);
        }
        if let Some(unsaved) = &mut self.unsaved {
            unsaved.changed.insert(number);
        }
        while self.blocks.len() > self.max_blocks {
            self.forget_oldest();
        }
    }

    /// The number of the latest block, which has capacity for another id.
    fn block_with_capacity(&mut self) -> u64 {
        let next_number = match self.blocks.back() {
            Some(block) if block.ids.len() < IDS_PER_BLOCK => return block.number,
            Some(block) => block.number + 1,
            None => 0,
        };
        self.blocks.push_back(Block {
            number: next_number,
            ids: Vec::with_capacity(IDS_PER_BLOCK),
        });
        next_number
    }

    fn forget_oldest(&mut self) {
        let Some(block) = self.blocks.pop_front() else {
            return;
        };
        for id in &block.ids {
            self.ids.remove(id);
        }
        if let Some(unsaved) = &mut self.unsaved {
            unsaved.changed.remove(&block.number);
            unsaved.forgotten.insert(block.number);
        }
    }

    pub fn contains(&self, id: CallId) -> bool {
        self.ids.contains(&id)
    }

    /// The numbers and records of all blocks, the oldest first.
    pub fn records(&self) -> impl Iterator<Item = (u64, records::RecentRuns)> + '_ {
        self.blocks
            .iter()
            .map(|block| (block.number, block.record()))
    }

    /// The record of the block with this number.
    pub fn record(&self, number: u64) -> Option<records::RecentRuns> {
        let index = self
            .blocks
            .binary_search_by_key(&number, |block| block.number)
            .ok()?;
        Some(self.blocks[index].record())
    }

    /// Adds a block of another process, after all that were added before. Invalid ids are skipped.
    pub fn restore(&mut self, number: u64, record: &records::RecentRuns) {
        let ids = record.ids.chunks(records::RecentRuns::ID_BYTES);
        let ids: Vec<CallId> = ids.filter_map(CallId::parse).collect();
        self.ids.extend(&ids);
        self.blocks.push_back(Block { number, ids });
        while self.blocks.len() > self.max_blocks {
            self.forget_oldest();
        }
    }

    /// From now on, remembers which blocks have changed.
    pub fn start_journal(&mut self) {
        self.unsaved = Some(UnsavedBlocks::default());
    }

    /// Stops remembering which blocks have changed.
    pub fn stop_journal(&mut self) {
        self.unsaved = None;
    }

    /// The blocks that have changed since the last call of this method.
    pub fn take_unsaved(&mut self) -> UnsavedBlocks {
        self.unsaved
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }
}

impl Block {
    fn record(&self) -> records::RecentRuns {
        let ids: Vec<u8> = self
            .ids
            .iter()
            .flat_map(|id| id.as_bytes().iter().copied())
            .collect();
        records::RecentRuns {
            ids: ByteBuf::from(ids),
        }
    }
}
