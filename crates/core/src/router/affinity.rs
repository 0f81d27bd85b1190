//! Prefix affinity: remembers which runner last processed which prompt prefix.
//!
//! Engines cache prompt prefixes in limited memory, and what they report about
//! their caches is late and incomplete. The index is therefore only a hint that
//! influences the choice of a runner; a wrong hint costs no more than a cache miss.

use std::collections::VecDeque;

use crate::collections::HashMap;
use crate::ids::RunnerId;

/// Bytes of the prompt that each hash of the chain adds to the one before it.
const BLOCK_BYTES: usize = 256;
/// Maximum length of the hash chain of one prompt.
const MAX_BLOCKS: usize = 64;

/// Returns the hashes of the prompt's prefixes, shortest prefix first.
///
/// The prefixes end at multiples of a fixed block size; a last block that is not
/// full is left out.
pub fn prefix_chain(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hasher.update(block);
            let mut first_bytes = [0; 8];
            first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(first_bytes)
        })
        .collect()
}

/// A bounded map from prompt prefixes to the runner that processed each one last.
#[derive(Debug)]
pub struct PrefixIndex {
    runners: HashMap<u64, RunnerId>,
    /// The keys of `runners`, oldest first.
    insertion_order: VecDeque<u64>,
    capacity: usize,
}

impl PrefixIndex {
    /// Returns an empty index for at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            runners: HashMap::default(),
            insertion_order: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Records that a runner processes the prompt with this hash chain.
    ///
    /// Drops the oldest prefixes when the index is full.
    pub fn record(&mut self, chain: &[u64], runner: &RunnerId) {
        for hash in chain {
            if self.runners.insert(*hash, runner.clone()).is_none() {
                self.insertion_order.push_back(*hash);
            }
        }
        while self.insertion_order.len() > self.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.runners.remove(&oldest);
            }
        }
    }

    /// Removes all prefixes of a runner, which lost its cache.
    pub fn remove_runner(&mut self, runner: &RunnerId) {
        self.runners.retain(|_, cached_by| cached_by != runner);
        self.insertion_order
            .retain(|hash| self.runners.contains_key(hash));
    }

    /// Returns the runner with the longest known prefix of a prompt, and the
    /// fraction of the prompt that this prefix covers.
    pub fn longest_match(&self, chain: &[u64]) -> Option<(&RunnerId, f64)> {
        chain.iter().enumerate().rev().find_map(|(index, hash)| {
            let fraction = (index + 1) as f64 / chain.len() as f64;
            self.runners.get(hash).map(|runner| (runner, fraction))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::PrefixIndex;
    use super::prefix_chain;

    #[test]
    fn longest_match_covers_only_the_blocks_before_a_difference() {
        let mut index = PrefixIndex::new(100);
        let mut prompt = vec![b'a'; 1024];
        index.record(&prefix_chain(&prompt), &"r1".into());
        prompt[600] = b'b';
        let chain = prefix_chain(&prompt);
        let (runner, fraction) = index.longest_match(&chain).expect("two blocks are shared");
        assert_eq!(runner, &"r1".into());
        assert_eq!(fraction, 0.5);
    }

    #[test]
    fn index_stays_within_its_capacity_and_removes_lost_runners() {
        let mut index = PrefixIndex::new(10);
        for seed in 0..100u8 {
            index.record(&prefix_chain(&[seed; 512]), &"r1".into());
        }
        assert!(index.runners.len() <= 10);
        index.remove_runner(&"r1".into());
        assert!(index.runners.is_empty());
        assert!(index.insertion_order.is_empty());
    }
}
