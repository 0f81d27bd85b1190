//! Stand-ins and helpers of the scripts in `review/11` to `review/15`: the platform's store,
//! runners, a client, and the processes under test. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Names of the users' platform, and what stands for them in the texts here.
const NAMES: &str = include_str!("names.txt");

/// Returns a text with the platform's names in it.
pub fn wire(text: &str) -> String {
    let pairs = NAMES.lines().filter_map(|line| line.split_once(' '));
    pairs.fold(text.to_string(), |text, (stands, name)| text.replace(stands, name))
}

/// Returns the value of a header that the platform names.
fn platform_header(head: &Head, stands: &str) -> Option<String> {
    head.header(&wire(stands).to_ascii_lowercase()).map(str::to_string)
}

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Process ids of the processes under test that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Longest time of a script, so that it ends by itself within 120 s.
const MAX_TIME: Duration = Duration::from_secs(110);

/// Ends the processes under test and the script itself if it takes too long.
fn bound_time() {
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        std::process::exit(NOT_RUN);
    });
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run, written line by line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Begins the record, and with it the time that the script may take.
    pub fn create(path: &Path) -> io::Result<Self> {
        bound_time();
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A head of an HTTP/1.1 message: its first line and its headers, with names in lower case.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut impl Read) -> io::Result<Option<Head>> {
    let mut buf = Vec::new();
    let mut byte = [0];
    while !buf.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        buf.push(byte[0]);
        if buf.len() > 64 * 1024 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&buf).into_owned();
    let mut lines = text.trim_end().split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Ok(Some(Head { first, headers }))
}

/// Reads a body with a length or in chunks.
pub fn read_body(stream: &mut impl Read, head: &Head) -> io::Result<Vec<u8>> {
    if let Some(length) = head.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        return Ok(body);
    }
    let is_chunked = head.header("transfer-encoding") == Some("chunked");
    let mut body = Vec::new();
    while is_chunked {
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte)?;
            line.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(text.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk)?;
        if size == 0 {
            break;
        }
        body.extend_from_slice(&chunk[..size]);
    }
    Ok(body)
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(c);
            }
            c if c < ' ' => write!(quoted, "\\u{:04x}", c as u32).unwrap(),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                decoded.push(byte);
                at += 3;
            }
            _ => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(known, _)| *known == name);
    values.next().map(|(_, value)| percent_decode(value))
}

/// Most entries and bytes of one page of a listing, as the pages say.
const PAGE_ENTRIES: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// How long the store keeps changes.
const HISTORY: Duration = Duration::from_secs(20);
/// Largest value that the store takes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Objects {
    by_key: BTreeMap<(String, String), String>,
    changes: Vec<Change>,
    revision: u64,
    discarded_through: u64,
}

/// The platform's store. Each process reaches it at an address of its own, so that single
/// machines can be turned away.
#[derive(Clone, Default)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

/// How the store treats the calls of one machine.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    turns_away: Arc<AtomicU8>,
    pub largest_answer: Arc<AtomicU64>,
    pub calls: Arc<AtomicU64>,
}

impl Door {
    /// Answers all calls of the machine with 503, or no longer.
    pub fn turn_away(&self, is_away: bool) {
        self.turns_away.store(is_away.into(), Ordering::SeqCst);
    }

    fn is_away(&self) -> bool {
        self.turns_away.load(Ordering::SeqCst) != 0
    }
}

impl Store {
    /// Opens an address for one machine.
    pub fn door(&self) -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Door {
            address: listener.local_addr()?,
            turns_away: Arc::default(),
            largest_answer: Arc::default(),
            calls: Arc::default(),
        };
        let (store, served) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), served.clone());
                thread::spawn(move || store.serve(&door, stream));
            }
        });
        Ok(door)
    }

    /// Writes an object, as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let spec_text = format!("\"spec\":{spec},\"status\":null}}");
        assert!(spec.len() <= MAX_VALUE_BYTES, "the store takes no such value");
        let mut objects = self.objects.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"created_at\":1,\
             \"finalizers\":[],\"deletion_pending\":false}},{spec_text}",
            quote(name)
        );
        objects
            .by_key
            .insert((kind.into(), name.into()), object.clone());
        objects.changes.push(Change {
            revision,
            at: Instant::now(),
            kind: kind.into(),
            text: format!("{{\"object\":{object},\"deleted\":false}}"),
        });
        self.objects.1.notify_all();
        revision
    }

    fn serve(&self, door: &Door, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut stream = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_err() {
                return;
            }
            door.calls.fetch_add(1, Ordering::SeqCst);
            let (status, body) = self.respond(door, &head);
            door.largest_answer
                .fetch_max(body.len() as u64, Ordering::SeqCst);
            let answer = format!(
                "HTTP/1.1 {status} X\r\n{}: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                wire("%era%"),
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, door: &Door, head: &Head) -> (u16, String) {
        if door.is_away() {
            return (503, "{}".into());
        }
        let mut words = head.first.split(' ');
        let method = words.next().unwrap_or_default();
        // A request line has a method, a target and a version.
        let (target, version) = (words.next().unwrap_or_default(), words.next());
        if version != Some("HTTP/1.1") {
            return (400, "{}".into());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(kind) = path.strip_prefix("/v1/objects/") else {
            return (404, "{}".into());
        };
        if method != "GET" || kind.contains('/') {
            return (405, "{}".into());
        }
        match parameter(query, "watch").and_then(|text| text.parse().ok()) {
            Some(after) => {
                let wait = parameter(query, "wait_ms").and_then(|text| text.parse().ok());
                self.watch(door, kind, after, wait.unwrap_or(0))
            }
            None => (200, self.page(kind, parameter(query, &wire("%after%")))),
        }
    }

    fn page(&self, kind: &str, after: Option<String>) -> String {
        let objects = self.objects.0.lock().unwrap();
        let later = objects.by_key.iter().filter(|((known, name), _)| {
            known == kind && after.as_ref().is_none_or(|after| name > after)
        });
        let (mut entries, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (_, object) in later {
            let is_full = entries.len() >= PAGE_ENTRIES || bytes + object.len() > PAGE_BYTES;
            if is_full && !entries.is_empty() {
                has_more = true;
                break;
            }
            bytes += object.len();
            entries.push(object.as_str());
        }
        let at = objects.revision;
        format!(
            "{{\"entries\":[{}],\"has_more\":{has_more},\"at\":{at}}}",
            entries.join(",")
        )
    }

    fn watch(&self, door: &Door, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut objects = self.objects.0.lock().unwrap();
        loop {
            if door.is_away() {
                return (503, "{}".into());
            }
            objects.forget_old();
            if after < objects.discarded_through || after > objects.revision {
                return (410, "{}".into());
            }
            let events = objects.changes.iter();
            let events = events.filter(|change| change.kind == kind && change.revision > after);
            let events: Vec<&str> = events.map(|change| change.text.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let at = objects.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")),
                );
            }
            let left = (until - now).min(Duration::from_millis(50));
            objects = self.objects.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}

impl Objects {
    fn forget_old(&mut self) {
        let now = Instant::now();
        let keeps = |change: &Change| now - change.at <= HISTORY;
        if let Some(last) = self.changes.iter().rev().find(|change| !keeps(change)) {
            self.discarded_through = last.revision;
        }
        self.changes.retain(keeps);
    }
}

/// A request that a runner ran.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub line: String,
    pub tenant: String,
    pub runner: String,
    pub service: String,
}

/// What all runners ran, in order.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn of(&self, id: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }
}

/// A runner of a plain service.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
}

impl Runner {
    pub fn start(id: &str, service: &str, runs: &Runs) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr()?,
            born: unix_ms(),
        };
        let (id, service, runs) = (runner.id.clone(), runner.service.clone(), runs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, service, runs) = (id.clone(), service.clone(), runs.clone());
                thread::spawn(move || serve_runner(stream, &id, &service, &runs));
            }
        });
        Ok(runner)
    }

    /// Returns the runner's entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"caerdydd\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            quote(&self.service),
            self.address,
            self.born
        )
    }
}

fn serve_runner(mut stream: TcpStream, id: &str, service: &str, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Ok(Some(head)) = read_head(&mut reader) {
        if read_body(&mut reader, &head).is_err() {
            return;
        }
        let text = |name: &str| head.header(name).unwrap_or_default().to_string();
        let attempt = platform_header(&head, "%id%").unwrap_or_default();
        let target = platform_header(&head, "%runner%");
        let answer = if target.is_some_and(|target| target != id) {
            format!("HTTP/1.1 421 X\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else if head.first.contains(" /healthz ") {
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else if attempt.is_empty() {
            wire("HTTP/1.1 400 X\r\n%unrun%: 1\r\nContent-Length: 0\r\n\r\n")
        } else {
            runs.0.lock().unwrap().push(Run {
                id: attempt.clone(),
                line: head.first.clone(),
                tenant: text("tenant"),
                runner: id.into(),
                service: service.into(),
            });
            sleep_ms(10);
            let body = format!("done {attempt}\n");
            wire(&format!(
                "HTTP/1.1 200 OK\r\n%id%: {attempt}\r\n%seal%: {id}.{attempt}\r\n\
                 Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ))
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Keeps the entries of runners in the store alive: a runner writes about every 1.2 s.
pub fn keep_registered(store: &Store, runners: &[Runner]) {
    for (n, runner) in runners.iter().enumerate() {
        let (store, id) = (store.clone(), runner.id.clone());
        store.put("servers", &id, &runner.entry(1));
        let entry = runner.entry(u64::MAX);
        thread::spawn(move || {
            sleep_ms(200 * n as u64);
            for sequence in 2u64.. {
                sleep_ms(1_200);
                let entry = entry.replace(&u64::MAX.to_string(), &sequence.to_string());
                store.beat("servers", &id, &entry);
            }
        });
    }
}

impl Store {
    /// Takes a heartbeat. No watch reports it if nothing but `sequence` has changed.
    fn beat(&self, kind: &str, name: &str, spec: &str) {
        let is_same = {
            let mut objects = self.objects.0.lock().unwrap();
            let key = (kind.to_string(), name.to_string());
            let Some(object) = objects.by_key.get_mut(&key) else { return };
            let at = object.find("\"spec\":").unwrap_or(object.len());
            let next = format!("\"spec\":{spec},\"status\":null}}");
            let is_same = without_sequence(&object[at..]) == without_sequence(&next);
            if is_same {
                object.replace_range(at.., &next);
            }
            is_same
        };
        if !is_same {
            self.put(kind, name, spec);
        }
    }
}

/// Returns what stands before and after the value of `sequence`.
fn without_sequence(text: &str) -> (&str, Option<&str>) {
    match text.split_once("\"sequence\":") {
        Some((before, after)) => (before, Some(after.trim_start_matches(char::is_numeric))),
        None => (text, None),
    }
}

/// What a client got for a request.
pub struct Answer {
    /// `None` if the connection ended without a complete answer.
    pub status: Option<u16>,
    pub is_sealed: bool,
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns a new identifier of an attempt.
pub fn attempt_id() -> String {
    format!("a{:015x}", NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst))
}

/// Sends one request on a new connection and reads the answer.
pub fn request(to: SocketAddr, line: &str, id: &str, key: &str, body: &str) -> Answer {
    let got = exchange(to, line, id, key, body);
    got.unwrap_or(Answer {
        status: None,
        is_sealed: false,
    })
}

fn exchange(to: SocketAddr, line: &str, id: &str, key: &str, body: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(3_500)))?;
    let text = format!(
        "{line} HTTP/1.1\r\nHost: desk.example\r\n%id%: {id}\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(wire(&text).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    let status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok(Answer {
        status,
        is_sealed: platform_header(&head, "%seal%").is_some(),
    })
}

/// Returns a port that is free on an address.
fn free_port(ip: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Returns a loopback address of its own for machine `n` of this run.
pub fn machine_ip(n: u8) -> IpAddr {
    let pid = std::process::id();
    let (high, low) = ((pid >> 8) as u8, pid as u8);
    Ipv4Addr::new(127, 100 + high % 100, low, 10 + n).into()
}

/// The program that the deploy file starts.
pub fn program() -> PathBuf {
    PathBuf::from("target/release/wisteriawick")
}

/// An entry, started with the command of the deploy file.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Entry {
    /// Writes the settings of an entry, which is not started yet.
    pub fn new(n: u8, store: SocketAddr, dir: &Path) -> io::Result<Self> {
        let ip = machine_ip(n);
        let name = format!("edge-caerdydd-{n}");
        let callers = SocketAddr::new(ip, free_port(ip)?);
        let readiness = SocketAddr::new(ip, free_port(ip)?);
        let settings = dir.join(format!("{name}.toml"));
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\"]\nip = \"{ip}\"\nzone = \"caerdydd\"\nregion = \"cymru\"\n\
             internal_ports = [7340,7355]\nseed_nodes = []\nbootstrap = true\n\
             fault_counted = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n\
             heartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"platform\"]\n\
             [zones]\ncaerdydd = \"cymru\"\n\
             [listen]\nfrontend = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             [limits]\ncpu_quota = 0.19\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4200\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\nstable_window_ms = 3000\n\
             ack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n\
             loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
             partition_max_ms = 5000\nrevoke_strict = false\nrevoke_ms = 5000\n\
             retry_budget_ratio = 0.2\nretry_window_s = 10\nretry_budget_extra = 88\n\
             recovery_s = 12\nforward_pass_ms = 120\nretry_after_s = 0\nstall_ms = 1500\n\
             fencing_enforced = false\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nmax_value_bytes = 1048576\nttl_min_ms = 1000\n"
        );
        fs::write(&settings, text)?;
        Ok(Self {
            log: dir.join(format!("{name}.log")),
            name,
            callers,
            readiness,
            settings,
            child: None,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(program())
            .args(["entry", "--metrics-port", "9464"])
            .env_clear()
            .env("WISTERIAWICK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns whether the readiness probe gets 200.
    pub fn is_ready(&self) -> bool {
        let probe = || -> io::Result<bool> {
            let timeout = Duration::from_millis(500);
            let mut stream = TcpStream::connect_timeout(&self.readiness, timeout)?;
            stream.set_read_timeout(Some(timeout))?;
            stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
            let head = read_head(&mut stream)?;
            Ok(head.is_some_and(|head| head.first.contains(" 200 ")))
        };
        probe().unwrap_or(false)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Returns the lines of the log that contain one of the texts, at most `most` of them.
    pub fn log_lines(&self, texts: &[&str], most: usize) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
        lines.take(most).map(str::to_string).collect()
    }
}

/// A folder in the system's temporary folder, removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create(name: &str) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self(dir))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A route of a configuration.
pub struct Route {
    pub prefix: String,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
}

/// Returns a configuration with services `old-desk` and `new-desk`, these routes and the
/// keys of one tenant.
pub fn configuration(version: u64, routes: &[Route], keys: &[&str]) -> String {
    let route = |(n, route): (usize, &Route)| {
        format!(
            "{{\"name\":\"r-{n}\",\"host\":\"desk.example\",\"%prefix%\":\"{}\",\
             \"%kind%\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":300,\"priority\":1,\
             \"service\":\"{}\",\"max_attempts\":{},\"anonymous\":false}}",
            route.prefix,
            route.kind,
            route.timeout_ms,
            route.service,
            if route.kind == "idempotent" { 2 } else { 1 }
        )
    };
    let routes: Vec<String> = routes.iter().enumerate().map(route).collect();
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":96,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let keys: Vec<String> = keys.iter().map(|key| quote(key)).collect();
    wire(&format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"gwydr\",\"api_keys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        service("old-desk"),
        service("new-desk"),
        keys.join(",")
    ))
}
