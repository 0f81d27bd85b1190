//! Which runner saw which prompt prefix last.
//!
//! Engines cache prompt prefixes in limited memory and report it late and with
//! gaps, so an entry of this index is a hint: it shifts a choice, and a wrong
//! one costs only a cache miss.

use std::collections::VecDeque;

use crate::collections::HashMap;
use crate::ids::RunnerId;

/// Bytes of prompt that one link of the hash chain covers.
const BLOCK_BYTES: usize = 256;
/// Longest chain kept for one prompt.
const MAX_BLOCKS: usize = 64;

/// Returns a hash chain over the blocks of a prompt, shortest prefix first.
pub fn prefix_chain(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hasher.update(block);
            let mut head = [0; 8];
            head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(head)
        })
        .collect()
}

/// A bounded memory of prefixes and the runner that had each last.
#[derive(Debug)]
pub struct PrefixIndex {
    runners: HashMap<u64, RunnerId>,
    /// Prefixes in order of arrival; holds each key of `runners`.
    order: VecDeque<u64>,
    capacity: usize,
}

impl PrefixIndex {
    /// Returns an empty index that remembers at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            runners: HashMap::default(),
            order: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Records that a runner works on a prompt.
    pub fn record(&mut self, chain: &[u64], runner: &RunnerId) {
        for hash in chain {
            if self.runners.insert(*hash, runner.clone()).is_none() {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.runners.remove(&oldest);
            }
        }
    }

    /// Forgets a runner whose cache is gone.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.runners.retain(|_, held| held != runner);
        self.order.retain(|hash| self.runners.contains_key(hash));
    }

    /// Returns the runner with the longest known prefix and its share of the prompt.
    pub fn longest(&self, chain: &[u64]) -> Option<(&RunnerId, f64)> {
        chain.iter().enumerate().rev().find_map(|(index, hash)| {
            let share = (index + 1) as f64 / chain.len() as f64;
            self.runners.get(hash).map(|runner| (runner, share))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::PrefixIndex;
    use super::prefix_chain;

    #[test]
    fn longest_shared_prefix_wins() {
        let mut index = PrefixIndex::new(100);
        let mut prompt = vec![b'a'; 1024];
        index.record(&prefix_chain(&prompt), &"r1".into());
        prompt[600] = b'b';
        let chain = prefix_chain(&prompt);
        let (runner, share) = index.longest(&chain).expect("two blocks are shared");
        assert_eq!(runner, &"r1".into());
        assert_eq!(share, 0.5);
    }

    #[test]
    fn index_stays_bounded_and_forgets() {
        let mut index = PrefixIndex::new(10);
        for seed in 0..100u8 {
            index.record(&prefix_chain(&[seed; 512]), &"r1".into());
        }
        assert!(index.runners.len() <= 10);
        index.forget(&"r1".into());
        assert!(index.runners.is_empty());
        assert!(index.order.is_empty());
    }
}
