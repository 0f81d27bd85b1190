//! Measures the ledger of idempotency keys: store writes, claim times, failover, memory.
//!
//! Store writes, failover and memory are measured in a discrete-event simulation
//! of all shards against a store with a fixed response time. What a key adds to
//! the latency of a call is measured over sockets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriawick_core::ids::Fingerprint;
use wisteriawick_core::ids::Incarnation;
use wisteriawick_core::ledger::CallerId;
use wisteriawick_core::ledger::Claim;
use wisteriawick_core::ledger::ClaimId;
use wisteriawick_core::ledger::KeyDigest;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::OpId;
use wisteriawick_core::ledger::Owner;
use wisteriawick_core::ledger::ReadResult;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::ledger::SHARD_COUNT;
use wisteriawick_core::ledger::Shard;
use wisteriawick_core::ledger::ShardIndex;
use wisteriawick_core::ledger::ShardInput;
use wisteriawick_core::ledger::ShardOutput;
use wisteriawick_core::ledger::StoredObject;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::time::Moment;

use crate::client::BenchFleet;
use crate::client::Connection;
use crate::client::block_on;
use crate::client::fleet_spec;
use crate::client::resident_bytes;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

/// Time from a request to the store until its response.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// Period, in simulated time, over which bookings arrive.
const SIMULATED_TIME: Duration = Duration::from_secs(20);
/// Time that an endpoint needs for a booking.
const BOOKING_TIME: Duration = Duration::from_millis(30);
/// Silence of a dead owner after which another entry acquires its shards.
const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls over sockets with a key, and as many without. The first ones are left
/// out of the figures, since the entry acquires the shards during them.
const SOCKET_CALLS_PER_KIND: u32 = 120;
/// Keys that are in use when the memory is measured.
const MEMORY_TEST_KEYS: usize = 100_000;
/// Wall-clock time at the start of a simulation.
const START_UNIX_S: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Event {
    /// A caller claims a key for a booking. The seed gives the key.
    Book(u64),
    /// The endpoint has responded; the response is recorded under the key.
    Settle(KeyDigest, ClaimId),
    /// The store responds to a shard: to a write if there is content, else to a read.
    StoreResponse(usize, OpId, ObjectName, Option<(u64, Box<StoredObject>)>),
}

/// Simulates bookings on all shards with a store that responds after a fixed time.
struct LedgerSimulation {
    start: Instant,
    now: Instant,
    /// Pending events by time; the number keeps events of equal time in order.
    events: BTreeMap<(Instant, u64), Event>,
    /// Numbers the events, and the callers that settle a claim.
    last_id: u64,
    shards: Vec<Shard>,
    objects: BTreeMap<ObjectName, (u64, StoredObject)>,
    /// Version of the latest write.
    version: u64,
    writes: u64,
    /// Claims that are not granted yet, with the time at which they were made.
    pending_claims: BTreeMap<CallerId, (Instant, KeyDigest, ClaimId)>,
    claim_times_ms: Vec<f64>,
}

impl LedgerSimulation {
    fn new(incarnation: u64) -> Self {
        let start = Instant::now();
        let owner = Owner {
            process: "entry-1".into(),
            incarnation: Incarnation(incarnation),
        };
        let shards = (0..SHARD_COUNT)
            .map(|index| Shard::new(ShardIndex(index), owner.clone(), u64::from(index) + 1))
            .collect();
        Self {
            start,
            now: start,
            events: BTreeMap::new(),
            last_id: 0,
            shards,
            objects: BTreeMap::new(),
            version: 0,
            writes: 0,
            pending_claims: BTreeMap::new(),
            claim_times_ms: Vec::new(),
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_id += 1;
        self.events.insert((self.now + delay, self.last_id), event);
    }

    fn moment(&self) -> Moment {
        Moment {
            now: self.now,
            unix_s: START_UNIX_S + (self.now - self.start).as_secs(),
        }
    }

    /// Handles events and deadlines of the shards in order of time until none is left.
    fn run(&mut self) {
        loop {
            let timers = self.shards.iter().enumerate();
            let timer = timers
                .filter_map(|(index, shard)| shard.next_deadline().map(|at| (at, index)))
                .min();
            let event_at = self.events.keys().next().map(|(at, _)| *at);
            match (timer, event_at) {
                (Some((at, shard)), event) if event.is_none_or(|event| at < event) => {
                    self.now = self.now.max(at);
                    self.handle_input(shard, ShardInput::Tick);
                }
                (_, Some(_)) => {
                    let Some(((at, _), event)) = self.events.pop_first() else {
                        return;
                    };
                    self.now = self.now.max(at);
                    self.handle(event);
                }
                _ => return,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Book(seed) => self.book(seed),
            Event::Settle(key, claim) => {
                self.last_id += 1;
                let caller = CallerId(u64::MAX - self.last_id);
                let response =
                    RecordedResponse::new(200, "application/json", vec![b'x'; 80].into());
                let settle = ShardInput::Settle {
                    caller,
                    key,
                    claim,
                    response,
                };
                self.handle_input(usize::from(key.shard().0), settle);
            }
            Event::StoreResponse(shard, op, name, write) => {
                let input = match write {
                    None => ShardInput::Read(op, self.read(name)),
                    Some((if_version, content)) => {
                        ShardInput::Written(op, self.write(name, if_version, *content))
                    }
                };
                self.handle_input(shard, input);
            }
        }
    }

    fn book(&mut self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let key = KeyDigest(rng.random());
        let claim = ClaimId(rng.random());
        let caller = CallerId(seed);
        self.pending_claims.insert(caller, (self.now, key, claim));
        let claim = Claim {
            key,
            fingerprint: Fingerprint(1),
            id: claim,
            expires_s: START_UNIX_S + 86_400,
            deadline: self.now + Duration::from_secs(30),
        };
        self.handle_input(usize::from(key.shard().0), ShardInput::Claim(caller, claim));
    }

    /// Passes an input to a shard and schedules what its outputs cause.
    fn handle_input(&mut self, shard: usize, input: ShardInput) {
        let at = self.moment();
        let mut outputs = Vec::new();
        self.shards[shard].handle(at, input, &mut outputs);
        for output in outputs {
            match output {
                ShardOutput::Read(op, name) => {
                    self.schedule(STORE_LATENCY, Event::StoreResponse(shard, op, name, None));
                }
                ShardOutput::Write(op, name, if_version, content) => {
                    let write = Some((if_version, content));
                    self.schedule(STORE_LATENCY, Event::StoreResponse(shard, op, name, write));
                }
                ShardOutput::Reply(caller, LedgerReply::Granted(_)) => self.record_grant(caller),
                ShardOutput::Reply(..)
                | ShardOutput::Remove(..)
                | ShardOutput::Acquired(_)
                | ShardOutput::Lost => {}
            }
        }
    }

    fn record_grant(&mut self, caller: CallerId) {
        if let Some((requested, key, claim)) = self.pending_claims.remove(&caller) {
            let claim_time = self.now - requested;
            self.claim_times_ms.push(claim_time.as_secs_f64() * 1e3);
            self.schedule(BOOKING_TIME, Event::Settle(key, claim));
        }
    }

    fn read(&self, name: ObjectName) -> ReadResult {
        match self.objects.get(&name) {
            Some((version, content)) => ReadResult::Found(*version, content.clone()),
            None => ReadResult::Missing,
        }
    }

    fn write(&mut self, name: ObjectName, if_version: u64, content: StoredObject) -> WriteResult {
        let stored_version = self.objects.get(&name).map_or(0, |(version, _)| *version);
        if stored_version != if_version {
            return WriteResult::Conflict;
        }
        self.writes += 1;
        self.version += 1;
        self.objects.insert(name, (self.version, content));
        WriteResult::Written(self.version)
    }
}

pub(crate) fn run(seed: u64, report: &mut Report) {
    for rate in [10u32, 100, 550] {
        let mut simulation = LedgerSimulation::new(1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rate * SIMULATED_TIME.as_secs() as u32;
        for index in 0..count {
            let at = SIMULATED_TIME.mul_f64(rng.random::<f64>());
            simulation.schedule(at, Event::Book(u64::from(index) + 1));
        }
        simulation.run();
        let writes_per_s = simulation.writes as f64 / SIMULATED_TIME.as_secs_f64();
        let unbatched_writes = f64::from(rate) * 2.0;
        report.add(
            format!("store writes at {rate} bookings/s"),
            writes_per_s,
            "writes/s",
            Target::AtMost(400.0),
        );
        report.add(
            format!("against a write for each claim and answer, {rate}/s"),
            writes_per_s / unbatched_writes,
            "ratio",
            Target::None,
        );
        let mut claim_times = simulation.claim_times_ms;
        report.add(
            format!("claim, median at {rate}/s, store of 5 ms"),
            quantile(&mut claim_times, 0.5),
            "ms",
            Target::None,
        );
        report.add(
            format!("claim, 99th percentile at {rate}/s"),
            quantile(&mut claim_times, 0.99),
            "ms",
            Target::None,
        );
    }
    block_on(measure_over_sockets(report));
    measure_failover(seed, report);
    measure_memory(seed, report);
}

/// Measures the latency that a key adds to a call, with a store that responds in 5 ms.
async fn measure_over_sockets(report: &mut Report) {
    let fleet = BenchFleet::start(fleet_spec(1, 1, 1, 1_000)).await;
    fleet
        .dev
        .platform
        .set_faults(|faults| faults.delay = STORE_LATENCY);
    let entry = fleet.dev.entries[0].http_address;
    let mut connection = Connection::open(entry, "large").await;
    let (mut plain, mut keyed) = (Vec::new(), Vec::new());
    for index in 0..SOCKET_CALLS_PER_KIND {
        for (with_key, times) in [(false, &mut plain), (true, &mut keyed)] {
            let id = format!("van-{index}");
            let timing = connection.book("/jobs/bookings", &id, with_key).await;
            times.push(timing.total.as_secs_f64() * 1e3);
            // Spaces the calls so that no store write batches several of them.
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }
    let (mut plain, mut keyed) = (
        plain.split_off(SHARD_COUNT.into()),
        keyed.split_off(SHARD_COUNT.into()),
    );
    for (name, share) in [("median", 0.5), ("95th percentile", 0.95)] {
        let added = quantile(&mut keyed, share) - quantile(&mut plain, share);
        report.add(
            format!("added by a key over sockets, {name}"),
            added,
            "ms",
            Target::None,
        );
    }
}

/// Measures the time from an owner's death until another entry grants claims.
///
/// The new owner starts with the objects that the old one left in the store. The
/// time until it notices the death is added as [`OWNER_SILENCE_TIMEOUT`].
fn measure_failover(seed: u64, report: &mut Report) {
    let mut old_owner = LedgerSimulation::new(1);
    for index in 0..20_000 {
        old_owner.schedule(Duration::from_millis(index / 2), Event::Book(seed + index));
    }
    old_owner.run();
    let mut new_owner = LedgerSimulation::new(2);
    new_owner.objects = old_owner.objects;
    new_owner.version = old_owner.version;
    for index in 0..200 {
        new_owner.schedule(Duration::ZERO, Event::Book(1_000_000 + index));
    }
    new_owner.run();
    let slowest_claim_s = quantile(&mut new_owner.claim_times_ms, 1.0) / 1e3;
    let total_s = OWNER_SILENCE_TIMEOUT.as_secs_f64() + slowest_claim_s;
    report.add(
        "take-over of shards with 20,000 keys, slowest claim",
        total_s,
        "s",
        Target::AtMost(3.0),
    );
}

/// Measures the memory of an owner of all shards, as growth of this process.
///
/// The result is an upper bound: the growth also includes data of the simulation
/// itself.
fn measure_memory(seed: u64, report: &mut Report) {
    let pid = std::process::id();
    let before = resident_bytes(pid);
    let mut simulation = LedgerSimulation::new(1);
    for index in 0..MEMORY_TEST_KEYS as u64 {
        simulation.schedule(
            Duration::from_micros(index * 1_000),
            Event::Book(seed + index),
        );
    }
    simulation.run();
    let objects: usize = simulation.objects.len();
    simulation.objects.clear();
    let keys: usize = simulation.shards.iter().map(Shard::len).sum();
    let after = resident_bytes(pid);
    let bytes = after.saturating_sub(before) as f64;
    report.add("keys held", keys as f64, "keys", Target::None);
    report.add(
        "objects in the store",
        objects as f64,
        "objects",
        Target::None,
    );
    report.add(
        "owner's memory at 100,000 keys, upper bound",
        bytes / 1e6,
        "MB",
        Target::AtMost(64.0),
    );
}
