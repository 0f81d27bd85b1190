//! Objects that other writers left in the store, under names that they chose.

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::odd_names;

/// Kinds of objects that entries list.
const KINDS: [&str; 3] = ["servers", "config", "evacuations"];
/// Objects left of each kind.
const OBJECTS: usize = 4;
/// Bytes of content that make an object a page of its own.
const PAGE_BYTES: usize = 1_000_000;

/// Leaves objects in the store that name no runner, configuration or data centre to use,
/// some of them at the addresses of runners.
pub(crate) fn leave_odd_objects(store: &Store, runners: &[SocketAddr], seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names = odd_names();
    for kind in KINDS {
        for _ in 0..OBJECTS {
            let name = &names[rng.random_range(0..names.len())];
            let filler = "x".repeat(rng.random_range(0..2) * PAGE_BYTES);
            store.write(kind, name, json!({"slots": filler}));
        }
    }
    for (n, address) in runners.iter().enumerate() {
        let mut spec = json!({
            "service": "undeclared", "address": address.to_string(), "zone": "here",
            "version": "v1", "slots": 12, "state": "ready", "cold_remaining_ms": 0,
            "sequence": 1, "born": u64::MAX,
        });
        store.write("servers", &format!("undeclared-{n}"), spec.clone());
        spec["service"] = "s".into();
        spec["version"].take();
        store.write("servers", &format!("partial-{n}"), spec);
    }
}
