//! Soak test of requests that crash runners: they are sent again and again through entries
//! which are killed, stopped and frozen, while the agent that links them is killed and the
//! store returns from older copies, and sound requests of the same caller go on.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform_standin::Deadly;
use wisteriawick_platform_standin::EngineGroup;
use wisteriawick_platform_standin::Runner;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::caller_request;
use wisteriawick_platform_standin::rank_addresses;
use wisteriawick_platform_standin::send;
use wisteriawick_platform_standin::with_prompt_parts;
use wisteriawick_standins::address::own_address;

use crate::SoakReport;
use crate::entry::EntryProcess;
use crate::groups::Agent;
use crate::groups::agent_settings;
use crate::groups::start_agent;
use crate::load::is_ready;

const ENTRIES: usize = 6;
const RUNNERS: usize = 12;
/// Most runners that may crash under one request, and under one part of prompts: three and
/// five, and three more that were on their way or find out whether it still crashes them.
/// An entry that has just begun, or whose agent has, may add one each.
const MAX_CRASHES: u64 = 6 + 8;
/// Least share of the sound requests that are served at entries without a fault.
const MIN_SERVED: f64 = 0.5;
const DEADLY_BODY: &str = "deadly";
const DEADLY_PART: &str = "dead";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for entries to link to the agent.
const LINK_TIME: Duration = Duration::from_millis(1_200);
const SEND_INTERVAL: Duration = Duration::from_millis(25);
/// Time until a restored store misses the heartbeats of runners that are gone.
const EXPIRY_TIME: Duration = Duration::from_millis(900);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A deliberate defect, which shows that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDefect {
    /// Entries tell each other nothing, since they link to a port where no agent is.
    Unlinked,
}

/// Settings of one run of the soak test of requests that crash runners.
#[derive(Clone, Copy, Debug)]
pub struct CrashSoak {
    /// Seed of the sequence of faults and requests.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// A defect that the run must find.
    pub defect: Option<CrashDefect>,
}

/// What a run starts.
struct Fleet {
    store: Store,
    runners: Vec<Runner>,
    entries: Vec<EntryProcess>,
    report: SoakReport,
}

impl CrashSoak {
    /// Returns the settings of a run that injects faults for eight seconds.
    pub fn small(seed: u64) -> Self {
        Self {
            seed,
            duration: Duration::from_secs(8),
            defect: None,
        }
    }

    /// Runs the soak test with the program at `binary` and returns its report. Settings
    /// files and logs are written to `dir` and remain there.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written, a port cannot be bound or a process cannot be
    /// started.
    pub async fn run(&self, binary: &Path, dir: &Path) -> std::io::Result<SoakReport> {
        std::fs::create_dir_all(dir)?;
        let cx = CancellationToken::new();
        let _end = cx.clone().drop_guard();
        let links = own_address();
        let engines = rank_addresses(2, own_address().port());
        let group = EngineGroup::start(&engines, None, cx.clone()).await?;
        let store = Store::start(cx.clone()).await?;
        store.write_configuration(group.configuration(REQUEST_TIMEOUT.as_millis() as u64));
        let mut runners = Vec::new();
        for n in 0..RUNNERS {
            let address = (links.ip(), 0).into();
            let runner = Runner::start_at(&format!("i-{n}"), address, cx.clone()).await?;
            runner.set_deadly(vec![
                Deadly::Body(DEADLY_BODY.into()),
                Deadly::PromptPart(DEADLY_PART.into()),
            ]);
            runner.register(&store, "s", "ready");
            runners.push(runner);
        }
        let settings = agent_settings("agent", links, engines[0], store.address());
        let agent = start_agent(binary, dir, "agent", &settings)?;
        let link_port = match self.defect {
            Some(CrashDefect::Unlinked) => own_address().port(),
            None => links.port(),
        };
        let mut entries = Vec::new();
        for n in 0..ENTRIES {
            let name = format!("entry-{n}");
            let entry = EntryProcess::linked(&name, binary, dir, store.address(), link_port)?;
            entry.start()?;
            entries.push(entry);
        }
        let fleet = Arc::new(Fleet {
            store,
            runners,
            entries,
            report: SoakReport::new(),
        });
        fleet.wait_ready().await;
        self.run_load(&fleet, agent).await?;
        let faults = fleet.report.faults();
        let restarts = faults.iter().filter(|text| text.contains("killed"));
        fleet.check_crashes(MAX_CRASHES + restarts.count() as u64);
        for entry in &fleet.entries {
            entry.kill();
        }
        Ok(fleet.report.take())
    }

    async fn run_load(&self, fleet: &Arc<Fleet>, agent: Agent) -> std::io::Result<()> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let faults = inject(
            Arc::clone(fleet),
            agent,
            SmallRng::seed_from_u64(self.seed ^ 1 << 32),
            self.duration,
        );
        let faults = tokio::spawn(faults);
        let mut sends = tokio::task::JoinSet::new();
        let mut number = 0;
        while !faults.is_finished() {
            number += 1;
            let fleet = Arc::clone(fleet);
            let req = random_request(&mut rng, number);
            let entry = rng.random_range(0..ENTRIES);
            sends.spawn(async move { fleet.send(entry, req).await });
            tokio::time::sleep(SEND_INTERVAL).await;
        }
        let mut asked = 0;
        let mut served = 0;
        while let Some(outcome) = sends.join_next().await {
            if let Some(is_served) = outcome.map_err(std::io::Error::other)? {
                asked += 1;
                served += usize::from(is_served);
            }
        }
        if (served as f64) < MIN_SERVED * asked as f64 {
            let text = format!("only {served} of {asked} sound requests were served");
            fleet.report.record_violation(text);
        }
        faults.await.map_err(std::io::Error::other)?
    }
}

/// A request, and whether it crashes runners.
struct SoakRequest {
    req: Request<Full<Bytes>>,
    is_sound: bool,
}

/// Returns a stream request: a sound one, the one whose body crashes runners, or one with
/// the part that does.
fn random_request(rng: &mut SmallRng, number: u64) -> SoakRequest {
    let mut req = caller_request(
        "POST",
        "/stream/quote",
        &format!("q-{number}"),
        REQUEST_TIMEOUT,
    );
    let kind = rng.random_range(0..8);
    let subject = match kind {
        0 => DEADLY_PART.to_string(),
        _ => format!("b{:x}", rng.random_range(0..4)),
    };
    if kind == 1 {
        *req.body_mut() = Full::new(Bytes::from(DEADLY_BODY));
    }
    SoakRequest {
        req: with_prompt_parts(req, &["aa", &subject], &format!("{number:x}")),
        is_sound: kind > 1,
    }
}

impl Fleet {
    async fn wait_ready(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in &self.entries {
            while !is_ready(entry).await {
                if Instant::now() > deadline {
                    let text = format!("{} was not ready in time", entry.name);
                    self.report.record_violation(text);
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        tokio::time::sleep(LINK_TIME).await;
    }

    /// Sends a request; returns whether it was served, if it is sound and its entry had no
    /// fault meanwhile.
    async fn send(&self, entry: usize, request: SoakRequest) -> Option<bool> {
        let entry = &self.entries[entry];
        let sent_at = Instant::now();
        let response = async {
            let stream = TcpStream::connect(entry.caller_address).await.ok()?;
            send(stream, request.req).await.ok()
        };
        let response = tokio::time::timeout(REQUEST_TIMEOUT * 2, response).await;
        let is_excused = entry.had_outage(sent_at, Instant::now());
        let is_served = matches!(response, Ok(Some(response))
            if response.status == StatusCode::OK && response.body.is_some());
        let outcome = match (request.is_sound, is_served) {
            (true, true) => "served",
            (true, false) => "not served",
            (false, _) => "deadly",
        };
        self.report.count_outcome(outcome);
        (request.is_sound && !is_excused).then_some(is_served)
    }

    fn check_crashes(&self, limit: u64) {
        let crashes: u64 = self.runners.iter().map(Runner::crashes).sum();
        for _ in 0..crashes {
            self.report.count_outcome("crashes");
        }
        if crashes > limit {
            let text = format!("{crashes} runners crashed under one request and one part");
            self.report.record_violation(text);
        }
    }
}

/// Injects faults of entries one after the other and, beside them, faults of what they
/// share.
async fn inject(
    fleet: Arc<Fleet>,
    agent: Agent,
    mut rng: SmallRng,
    duration: Duration,
) -> std::io::Result<()> {
    let shared_rng = SmallRng::seed_from_u64(rng.random());
    let deadline = Instant::now() + duration;
    let entries = fleet.inject_into_entries(rng, deadline);
    let shared = fleet.inject_into_shared(agent, shared_rng, deadline);
    tokio::try_join!(entries, shared)?;
    Ok(())
}

impl Fleet {
    async fn inject_into_entries(
        &self,
        mut rng: SmallRng,
        deadline: Instant,
    ) -> std::io::Result<()> {
        while Instant::now() < deadline {
            pause(&mut rng).await;
            let outage = random_outage(&mut rng);
            let entry = &self.entries[rng.random_range(0..ENTRIES)];
            let record = |fault: &str| {
                let text = format!("{} {fault} for {} ms", entry.name, outage.as_millis());
                self.report.record_fault(&text);
            };
            entry.begin_outage();
            match rng.random_range(0..4) {
                0 => {
                    record("killed");
                    entry.kill();
                    tokio::time::sleep(outage).await;
                    entry.start()?;
                }
                1 => {
                    record("frozen");
                    entry.signal(Signal::STOP);
                    tokio::time::sleep(outage).await;
                    entry.signal(Signal::CONT);
                }
                2 => {
                    record("stopping before it is killed");
                    entry.signal(Signal::TERM);
                    tokio::time::sleep(outage).await;
                    entry.kill();
                    entry.start()?;
                }
                _ => {
                    self.report
                        .record_fault(&format!("{} told to reload", entry.name));
                    entry.signal(Signal::HUP);
                }
            }
            self.wait_entry(entry).await;
            entry.end_outage();
        }
        Ok(())
    }

    async fn inject_into_shared(
        &self,
        mut agent: Agent,
        mut rng: SmallRng,
        deadline: Instant,
    ) -> std::io::Result<()> {
        while Instant::now() < deadline {
            pause(&mut rng).await;
            let outage = random_outage(&mut rng);
            let record = |fault: &str| {
                let text = format!("{fault} for {} ms", outage.as_millis());
                self.report.record_fault(&text);
            };
            match rng.random_range(0..3) {
                0 => {
                    record("agent killed");
                    agent.signal(Signal::KILL);
                    if !agent.wait_exit().await? {
                        self.report.record_violation("the agent did not exit");
                    }
                    tokio::time::sleep(outage).await;
                    agent.restart()?;
                }
                1 => {
                    record("store silent");
                    self.silence_store(outage).await;
                }
                _ => {
                    record("store silent, then back from an older copy,");
                    self.restore_store(&mut rng, outage).await;
                }
            }
        }
        Ok(())
    }

    async fn silence_store(&self, outage: Duration) {
        self.store.set_faults(|faults| faults.silent = true);
        tokio::time::sleep(outage).await;
        self.store.set_faults(|faults| faults.silent = false);
    }

    /// The store is away and returns from a copy. What others had written is written
    /// again, and runners that had gone expire.
    async fn restore_store(&self, rng: &mut SmallRng, outage: Duration) {
        let copy = self.store.copy();
        pause(rng).await;
        self.silence_store(outage).await;
        let before = self.store.copy();
        self.store.restore(&copy);
        self.store.write_again(&before);
        tokio::time::sleep(EXPIRY_TIME).await;
        self.store.expire_removed(&copy, &before);
    }

    async fn wait_entry(&self, entry: &EntryProcess) {
        let deadline = Instant::now() + START_TIMEOUT;
        while !is_ready(entry).await && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn pause(rng: &mut SmallRng) {
    let gap = Duration::from_millis(rng.random_range(100..1_200));
    tokio::time::sleep(gap).await;
}

fn random_outage(rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(50..1_000))
}
