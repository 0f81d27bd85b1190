//! Hash maps and sets with a fast hasher.
//!
//! The hasher has a random seed in each process, so the order of iteration differs
//! between runs. Where the order can affect a decision, the state machines of this
//! crate use `BTreeMap` instead.

use foldhash::fast::RandomState;

/// A hash map with a fast hasher, whose random seed resists maliciously chosen keys.
pub type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// A hash set with a fast hasher, whose random seed resists maliciously chosen keys.
pub type HashSet<K> = std::collections::HashSet<K, RandomState>;
