//! Store writes against bookings, the time of a claim, take-over, memory.

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

use crate::client::Connection;
use crate::client::Fleet;
use crate::client::block_on;
use crate::client::resident_bytes;
use crate::client::sizes;
use crate::report::Report;
use crate::report::Target;
use crate::report::quantile;

/// Time of an answer of the store.
const STORE: Duration = Duration::from_millis(5);
/// Length of a run, in its own time.
const LENGTH: Duration = Duration::from_secs(20);
/// Time of a booking at its endpoint.
const BOOKING: Duration = Duration::from_millis(30);
/// Silence after which another entry takes the shards of a dead owner.
const OWNER_SILENT: Duration = Duration::from_secs(1);
/// Calls of each kind over sockets; the first ones take the shards over.
const SOCKET_CALLS: u32 = 120;
const MEMORY_KEYS: usize = 100_000;
const START_UNIX_S: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Event {
    Book(u64),
    Settle(KeyDigest, ClaimId),
    StoreAnswers(usize, OpId, ObjectName, Option<(u64, Box<StoredObject>)>),
}

/// All shards, a store that answers in a fixed time, and bookings.
struct Bench {
    start: Instant,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Event>,
    next: u64,
    shards: Vec<Shard>,
    objects: BTreeMap<ObjectName, (u64, StoredObject)>,
    version: u64,
    writes: u64,
    asked: BTreeMap<CallerId, (Instant, KeyDigest, ClaimId)>,
    claims_ms: Vec<f64>,
}

impl Bench {
    fn new(life: u64) -> Self {
        let start = Instant::now();
        let owner = Owner {
            process: "entry-1".into(),
            incarnation: Incarnation(life),
        };
        let shards = (0..SHARD_COUNT)
            .map(|index| Shard::new(ShardIndex(index), owner.clone(), u64::from(index) + 1))
            .collect();
        Self {
            start,
            now: start,
            queue: BTreeMap::new(),
            next: 0,
            shards,
            objects: BTreeMap::new(),
            version: 0,
            writes: 0,
            asked: BTreeMap::new(),
            claims_ms: Vec::new(),
        }
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + pause, self.next), event);
    }

    fn moment(&self) -> Moment {
        Moment {
            now: self.now,
            unix_s: START_UNIX_S + (self.now - self.start).as_secs(),
        }
    }

    fn run(&mut self) {
        loop {
            let timers = self.shards.iter().enumerate();
            let timer = timers
                .filter_map(|(index, shard)| shard.next_deadline().map(|at| (at, index)))
                .min();
            let event_at = self.queue.keys().next().map(|(at, _)| *at);
            match (timer, event_at) {
                (Some((at, shard)), event) if event.is_none_or(|event| at < event) => {
                    self.now = self.now.max(at);
                    self.feed(shard, ShardInput::Tick);
                }
                (_, Some(_)) => {
                    let Some(((at, _), event)) = self.queue.pop_first() else {
                        return;
                    };
                    self.now = self.now.max(at);
                    self.take(event);
                }
                _ => return,
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Book(seed) => self.book(seed),
            Event::Settle(key, claim) => {
                self.next += 1;
                let caller = CallerId(u64::MAX - self.next);
                let answer = RecordedResponse::new(200, "application/json", vec![b'x'; 80].into());
                let settle = ShardInput::Settle {
                    caller,
                    key,
                    claim,
                    response: answer,
                };
                self.feed(usize::from(key.shard().0), settle);
            }
            Event::StoreAnswers(shard, op, name, write) => {
                let input = match write {
                    None => ShardInput::Read(op, self.read(name)),
                    Some((if_version, content)) => {
                        ShardInput::Written(op, self.write(name, if_version, *content))
                    }
                };
                self.feed(shard, input);
            }
        }
    }

    fn book(&mut self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let key = KeyDigest(rng.random());
        let claim = ClaimId(rng.random());
        let caller = CallerId(seed);
        self.asked.insert(caller, (self.now, key, claim));
        let claim = Claim {
            key,
            fingerprint: Fingerprint(1),
            id: claim,
            expires_s: START_UNIX_S + 86_400,
            deadline: self.now + Duration::from_secs(30),
        };
        self.feed(usize::from(key.shard().0), ShardInput::Claim(caller, claim));
    }

    fn feed(&mut self, shard: usize, input: ShardInput) {
        let at = self.moment();
        let mut out = Vec::new();
        self.shards[shard].handle(at, input, &mut out);
        for output in out {
            match output {
                ShardOutput::Read(op, name) => {
                    self.after(STORE, Event::StoreAnswers(shard, op, name, None));
                }
                ShardOutput::Write(op, name, if_version, content) => {
                    let write = Some((if_version, content));
                    self.after(STORE, Event::StoreAnswers(shard, op, name, write));
                }
                ShardOutput::Reply(caller, LedgerReply::Granted(_)) => self.granted(caller),
                ShardOutput::Reply(..)
                | ShardOutput::Remove(..)
                | ShardOutput::Acquired(_)
                | ShardOutput::Lost => {}
            }
        }
    }

    fn granted(&mut self, caller: CallerId) {
        if let Some((asked, key, claim)) = self.asked.remove(&caller) {
            let took = self.now - asked;
            self.claims_ms.push(took.as_secs_f64() * 1e3);
            self.after(BOOKING, Event::Settle(key, claim));
        }
    }

    fn read(&self, name: ObjectName) -> ReadResult {
        match self.objects.get(&name) {
            Some((version, content)) => ReadResult::Found(*version, content.clone()),
            None => ReadResult::Missing,
        }
    }

    fn write(&mut self, name: ObjectName, if_version: u64, content: StoredObject) -> WriteResult {
        let held = self.objects.get(&name).map_or(0, |(version, _)| *version);
        if held != if_version {
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
        let mut bench = Bench::new(1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rate * LENGTH.as_secs() as u32;
        for index in 0..count {
            let at = LENGTH.mul_f64(rng.random::<f64>());
            bench.after(at, Event::Book(u64::from(index) + 1));
        }
        bench.run();
        let writes = bench.writes as f64 / LENGTH.as_secs_f64();
        let one_each = f64::from(rate) * 2.0;
        report.add(
            format!("store writes at {rate} bookings/s"),
            writes,
            "writes/s",
            Target::AtMost(400.0),
        );
        report.add(
            format!("against a write for each claim and answer, {rate}/s"),
            writes / one_each,
            "ratio",
            Target::None,
        );
        let mut claims = bench.claims_ms;
        report.add(
            format!("claim, median at {rate}/s, store of 5 ms"),
            quantile(&mut claims, 0.5),
            "ms",
            Target::None,
        );
        report.add(
            format!("claim, 99th percentile at {rate}/s"),
            quantile(&mut claims, 0.99),
            "ms",
            Target::None,
        );
    }
    block_on(over_sockets(report));
    take_over(seed, report);
    memory(seed, report);
}

/// What a key adds to a call, with a store that answers in 5 ms.
async fn over_sockets(report: &mut Report) {
    let fleet = Fleet::start(sizes(1, 1, 1, 1_000)).await;
    fleet
        .fleet
        .platform
        .set_faults(|faults| faults.delay = STORE);
    let entry = fleet.fleet.entries[0].http_address;
    let mut connection = Connection::open(entry, "large").await;
    let (mut plain, mut keyed) = (Vec::new(), Vec::new());
    for index in 0..SOCKET_CALLS {
        for (with_key, times) in [(false, &mut plain), (true, &mut keyed)] {
            let id = format!("van-{index}");
            let timing = connection.book("/jobs/bookings", &id, with_key).await;
            times.push(timing.total.as_secs_f64() * 1e3);
            // Far enough apart that no write gathers several calls.
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

/// The time from an owner's death until another entry grants a claim.
fn take_over(seed: u64, report: &mut Report) {
    let mut first = Bench::new(1);
    for index in 0..20_000 {
        first.after(Duration::from_millis(index / 2), Event::Book(seed + index));
    }
    first.run();
    let mut second = Bench::new(2);
    second.objects = first.objects;
    second.version = first.version;
    for index in 0..200 {
        second.after(Duration::ZERO, Event::Book(1_000_000 + index));
    }
    second.run();
    let slowest = quantile(&mut second.claims_ms, 1.0) / 1e3;
    let total = OWNER_SILENT.as_secs_f64() + slowest;
    report.add(
        "take-over of shards with 20,000 keys, slowest claim",
        total,
        "s",
        Target::AtMost(3.0),
    );
}

fn memory(seed: u64, report: &mut Report) {
    let process = std::process::id();
    let before = resident_bytes(process);
    let mut bench = Bench::new(1);
    for index in 0..MEMORY_KEYS as u64 {
        bench.after(
            Duration::from_micros(index * 1_000),
            Event::Book(seed + index),
        );
    }
    bench.run();
    let objects: usize = bench.objects.len();
    bench.objects.clear();
    let keys: usize = bench.shards.iter().map(Shard::len).sum();
    let after = resident_bytes(process);
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
