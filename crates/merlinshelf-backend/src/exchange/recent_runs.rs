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

/// The bytes of an id as one number, so that many are compared quickly.
type IdBits = u128;

/// The most recent of these ids; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct RecentRuns {
    /// The ids of the blocks that are indexed.
    ids: HashSet<IdBits>,
    /// All ids in the order in which their runs ended.
    blocks: VecDeque<Block>,
    /// The number of blocks at the front that are not indexed yet: those of another process, since
    /// nobody is served while they are restored.
    unindexed_blocks: usize,
    max_blocks: usize,
    unsaved: Option<UnsavedBlocks>,
}

/// Ids that are stored together.
#[derive(Debug, Default)]
struct Block {
    /// Its position among all blocks, also of earlier processes.
    number: u64,
    ids: Vec<IdBits>,
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
        self.index_next_block();
        let id = id_bits(id);
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
        let is_last_indexed = self.unindexed_blocks < self.blocks.len();
        let next_number = match self.blocks.back() {
            Some(block) if is_last_indexed && block.ids.len() < IDS_PER_BLOCK => {
                return block.number;
            }
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
        self.unindexed_blocks = self.unindexed_blocks.saturating_sub(1);
        for id in &block.ids {
            self.ids.remove(id);
        }
        if let Some(unsaved) = &mut self.unsaved {
            unsaved.changed.remove(&block.number);
            unsaved.forgotten.insert(block.number);
        }
    }

    pub fn contains(&mut self, id: CallId) -> bool {
        self.index_next_block();
        let id = id_bits(id);
        let mut unindexed = self.blocks.iter().take(self.unindexed_blocks);
        self.ids.contains(&id) || unindexed.any(|block| block.ids.contains(&id))
    }

    /// Indexes the latest block that is not indexed yet.
    fn index_next_block(&mut self) {
        let Some(index) = self.unindexed_blocks.checked_sub(1) else {
            return;
        };
        self.unindexed_blocks = index;
        if let Some(block) = self.blocks.get(index) {
            self.ids.extend(&block.ids);
        }
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

    /// Adds a block of another process, after all that were added before.
    pub fn restore(&mut self, number: u64, record: &records::RecentRuns) {
        let (ids, _) = record.ids.as_chunks();
        let ids = ids.iter().map(|id| IdBits::from_ne_bytes(*id)).collect();
        self.blocks.push_back(Block { number, ids });
        self.unindexed_blocks = self.blocks.len();
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
        let mut bytes = Vec::with_capacity(self.ids.len() * records::RecentRuns::ID_BYTES);
        for id in &self.ids {
            bytes.extend_from_slice(&id.to_ne_bytes());
        }
        records::RecentRuns {
            ids: ByteBuf::from(bytes),
        }
    }
}

fn id_bits(id: CallId) -> IdBits {
    let mut bytes = [0; records::RecentRuns::ID_BYTES];
    bytes.copy_from_slice(id.as_bytes());
    IdBits::from_ne_bytes(bytes)
}
