//! Hash maps with a fast hasher, behind aliases.
//!
//! The hasher is seeded at random in each process, so iteration order differs
//! between runs. Where order can reach a decision, cores use `BTreeMap`.

use foldhash::fast::RandomState;

/// A hash map with a fast hasher that resists chosen keys.
pub type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// A hash set with a fast hasher that resists chosen keys.
pub type HashSet<K> = std::collections::HashSet<K, RandomState>;
