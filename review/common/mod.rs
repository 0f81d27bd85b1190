//! Small stand-ins for the platform's store, runners and clients, over the standard
//! library alone. They speak the users' protocol over loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Names of the users' platform, each after the placeholder by which the stand-ins write it.
const NAMES: &str = include_str!("names.txt");

/// Puts the platform's names in the place of their placeholders.
pub fn wire(text: &str) -> String {
    let pairs = NAMES.lines().filter_map(|line| line.split_once(' '));
    pairs.fold(text.to_string(), |text, (placeholder, name)| text.replace(placeholder, name))
}

/// A parsed request or response head with its body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = wire(name).to_ascii_lowercase();
        let found = self.headers.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }
}

/// Reads a message with a `Content-Length` or chunked body; `None` at the end of the
/// connection before a message.
pub fn read_message(r: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let start = line.trim_end().to_string();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        loop {
            let mut size = String::new();
            r.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            r.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        message.body = vec![0; length];
        r.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn listen(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("a free loopback address");
    serve_listener(listener, serve);
}

pub fn serve_listener(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
}

/// Writes lines with the time since the start of the run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("unpoisoned");
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

/// The platform's store: objects by kind and name, with watches.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<StoreState>, Condvar)>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<StoredEvent>,
    /// The last revision whose event is no longer in the history.
    discarded: u64,
}

struct StoredEvent {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was removed.
    spec: Option<String>,
}

/// `history_s` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_at\":1,\
         \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let store = Self {
            address,
            inner: Arc::default(),
        };
        let served = store.clone();
        listen(address, move |stream| {
            let _ = served.serve(stream);
        });
        store
    }

    /// Creates or replaces an object; `None` removes it.
    pub fn put(&self, kind: &str, name: &str, spec: Option<&str>) {
        let spec = spec.map(wire);
        let (state, changed) = &*self.inner;
        let mut state = state.lock().expect("unpoisoned");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_string(), name.to_string());
        match spec {
            Some(ref spec) => state.objects.insert(key, (revision, spec.clone())),
            None => state.objects.remove(&key),
        };
        state.events.push(StoredEvent {
            at: Instant::now(),
            revision,
            kind: kind.to_string(),
            name: name.to_string(),
            spec,
        });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader)? {
            let (status, body) = self.respond(&req);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\n%era%: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n"
            );
            writer.write_all((wire(&head) + &body).as_bytes())?;
        }
        Ok(())
    }

    fn respond(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let rest = path.strip_prefix("/v1/objects/").unwrap_or_default();
        if req.method() != "GET" || rest.is_empty() {
            return (405, "{}".into());
        }
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(name, _)| *name == key);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (state, changed) = &*self.inner;
        let mut state = state.lock().expect("unpoisoned");
        let Some(after) = parameter("watch") else {
            let mut entries = Vec::new();
            for ((kind, name), (revision, spec)) in &state.objects {
                if kind == rest {
                    entries.push(object(name, *revision, spec));
                }
            }
            let entries = entries.join(",");
            let at = state.revision;
            return (
                200,
                format!("{{\"entries\":[{entries}],\"has_more\":false,\"at\":{at}}}"),
            );
        };
        let deadline = Instant::now() + Duration::from_millis(parameter("wait_ms").unwrap_or(0));
        loop {
            let old = state.events.iter().filter(|event| event.at.elapsed() > HISTORY);
            if let Some(last) = old.map(|event| event.revision).max() {
                state.discarded = last;
                state.events.retain(|event| event.revision > last);
            }
            if after < state.discarded {
                return (410, "{}".into());
            }
            let mut events = Vec::new();
            for event in &state.events {
                if event.kind == rest && event.revision > after {
                    let deleted = event.spec.is_none();
                    let spec = event.spec.as_deref().unwrap_or("null");
                    let text = object(&event.name, event.revision, spec);
                    events.push(format!("{{\"object\":{text},\"deleted\":{deleted}}}"));
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = changed.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }
}

/// A network path that can be cut with resets: connections end, and new ones too.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    is_cut: Arc<Mutex<bool>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Path {
    pub fn start(address: SocketAddr, to: SocketAddr) -> Self {
        let path = Self {
            address,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let served = path.clone();
        listen(address, move |from| {
            let _ = served.carry(from, to);
        });
        path
    }

    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.lock().expect("unpoisoned") = is_cut;
        if is_cut {
            for stream in self.open.lock().expect("unpoisoned").drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    fn carry(&self, from: TcpStream, to: SocketAddr) -> std::io::Result<()> {
        let is_cut = self.is_cut.lock().expect("unpoisoned");
        if *is_cut {
            return Ok(());
        }
        let onward = TcpStream::connect(to)?;
        from.set_nodelay(true)?;
        onward.set_nodelay(true)?;
        let mut open = self.open.lock().expect("unpoisoned");
        open.extend([from.try_clone()?, onward.try_clone()?]);
        drop(open);
        drop(is_cut);
        let (mut back_from, mut back_to) = (onward.try_clone()?, from.try_clone()?);
        let (mut from, mut onward) = (from, onward);
        let back = thread::spawn(move || {
            let _ = std::io::copy(&mut back_from, &mut back_to);
            let _ = back_to.shutdown(std::net::Shutdown::Both);
        });
        let _ = std::io::copy(&mut from, &mut onward);
        let _ = onward.shutdown(std::net::Shutdown::Both);
        let _ = back.join();
        Ok(())
    }
}

/// Small random numbers from a fixed seed.
#[derive(Clone)]
pub struct Random(Arc<Mutex<u64>>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(seed | 1)))
    }

    /// At least zero and below one.
    pub fn fraction(&self) -> f64 {
        let mut state = self.0.lock().expect("unpoisoned");
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Returns an unused loopback network as its second and third byte.
pub fn loopback_net() -> (u8, u8) {
    let pid = std::process::id();
    (100 + (pid / 250 % 100) as u8, 1 + (pid % 250) as u8)
}

pub fn at(net: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, net.0, net.1, host), port))
}

/// The project's own program as a separate process; it ends with this value.
pub struct Program {
    child: Child,
    settings: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Program {
    /// Starts a role as `deploy/system.toml` does.
    pub fn start(role: &str, metrics_port: &str, settings: &str, log: &str) -> Self {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let name = format!("review-{role}-{}-{number}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings).expect("the settings file is written");
        let out = File::create(log).expect("the log can be written");
        let child = Command::new("target/release/wisteriawick")
            .args([role, "--metrics-port", metrics_port])
            .env("WISTERIAWICK_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(out)
            .spawn()
            .expect("the built program starts");
        Self {
            child,
            settings: path,
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {name}");
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// A figure of `/proc/ID/status` in kB, such as `VmRSS`.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).ok()?;
        let prefix = format!("{field}:");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }
}

/// The settings file of an entry, as the platform writes it.
pub fn entry_settings(net: (u8, u8), host: u8, store: SocketAddr) -> String {
    let ip = at(net, host, 0).ip();
    format!(
        "node_name = \"edge-caerdydd-1\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
         serves = [\"edge\"]\nip = \"{ip}\"\nzone = \"caerdydd\"\nregion = \"cymru\"\n\
         internal_ports = [7340,7355]\nbootstrap = true\nheartbeat_ms = 1200\n\
         [zones]\ncaerdydd = \"cymru\"\n\
         [listen]\nfrontend = \"{ip}:8227\"\nreadiness = \"{ip}:8220\"\n\
         [limits]\ncpu_quota = 0.19\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4200\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [bounds]\nstable_window_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\n\
         config_apply_ms = 2000\nretry_budget_ratio = 0.2\nretry_window_s = 10\n\
         retry_budget_extra = 88\n\
         [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nmax_value_bytes = 1048576\n"
    )
}

/// The operator's configuration: one route `/book/` to service `jobs-app`, with the
/// figures of `book-fitting` and this time-out.
pub fn booking_configuration(timeout_ms: u64) -> String {
    let text = "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"a.example\",\
     \"%prefix%\":\"/book/\",\"%kind%\":\"non_idempotent\",\"timeout_ms\":TIMEOUT,\
     \"target_latency_ms\":300,\"priority\":2,\"service\":\"jobs-app\",\"max_attempts\":1,\
     \"anonymous\":false}],\"services\":[{\"name\":\"jobs-app\",\"health_path\":\"/healthz\",\
     \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\
     \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"gwydr\",\"api_keys\":[\"key\"],\
     \"priority\":1}]}";
    text.replace("TIMEOUT", &timeout_ms.to_string())
}

pub fn runner_object(service: &str, address: SocketAddr, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"caerdydd\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"sequence\":1,\"born\":1700000000000}}"
    )
}

/// Waits until the readiness probe is answered with 200.
pub fn wait_ready(readiness: SocketAddr, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(readiness) {
            let _ = stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            let mut reader = BufReader::new(stream);
            if let Ok(Some(res)) = read_message(&mut reader)
                && res.status() == 200
            {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// How a plain runner treats the requests that it runs.
pub struct RunnerWork {
    /// Time that a request takes.
    pub work: Box<dyn Fn() -> Duration + Send + Sync>,
    /// Whether the answer to this request is lost, so that its connection closes.
    pub loses_answer: Box<dyn Fn() -> bool + Send + Sync>,
}

/// A sound plain runner with slots and a short queue.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    slots: Arc<(Mutex<(u32, u32)>, Condvar)>,
    /// Attempts that have begun to run, with the booking in their body.
    pub ran: Arc<Mutex<Vec<(String, String)>>>,
}

const SLOTS: u32 = 6;
const QUEUE: u32 = 24;

impl Runner {
    pub fn start(id: &str, address: SocketAddr, work: RunnerWork, record: Record) -> Self {
        let runner = Self {
            id: id.into(),
            slots: Arc::new((Mutex::new((0, 0)), Condvar::new())),
            ran: Arc::default(),
        };
        let served = runner.clone();
        listen(address, move |stream| {
            let _ = served.serve(stream, &work, &record);
        });
        runner
    }

    fn serve(&self, stream: TcpStream, work: &RunnerWork, record: &Record) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader)? {
            let began = Instant::now();
            let attempt = req.header("%id%").unwrap_or_default().to_string();
            if req.target() == "/healthz" {
                let head = "HTTP/1.1 200 OK\r\nInstance-Id: ";
                let text = format!("{head}{}\r\nContent-Length: 0\r\n\r\n", self.id);
                writer.write_all(wire(&text).as_bytes())?;
                continue;
            }
            if req.header("%runner%").is_some_and(|id| id != self.id) {
                let head = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ";
                let text = format!("{head}{}\r\nContent-Length: 0\r\n\r\n", self.id);
                writer.write_all(wire(&text).as_bytes())?;
                continue;
            }
            let deadline = req.header("%left%").and_then(|ms| ms.parse().ok());
            let deadline = began + Duration::from_millis(deadline.unwrap_or(3_000));
            if !self.take_slot(deadline) {
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\n%not-run%: 1\r\n\
                     %id%: {attempt}\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(wire(&text).as_bytes())?;
                continue;
            }
            let booking = String::from_utf8_lossy(&req.body[..req.body.len().min(64)]).into_owned();
            record.line(&format!("{} runs {attempt} ({booking})", self.id));
            self.ran
                .lock()
                .expect("unpoisoned")
                .push((attempt.clone(), booking.clone()));
            let left = deadline.saturating_duration_since(Instant::now());
            let time = (work.work)();
            thread::sleep(time.min(left));
            self.free_slot();
            if time > left {
                let text = format!(
                    "HTTP/1.1 504 Gateway Timeout\r\n%id%: {attempt}\r\n\
                     %seal%: {attempt}\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(wire(&text).as_bytes())?;
                continue;
            }
            if (work.loses_answer)() {
                record.line(&format!("{} loses the answer to {attempt}", self.id));
                return Ok(());
            }
            let text = format!(
                "HTTP/1.1 200 OK\r\n%id%: {attempt}\r\n%seal%: {attempt}\r\n\
                 Content-Length: {}\r\n\r\n{booking}",
                booking.len()
            );
            writer.write_all(wire(&text).as_bytes())?;
        }
        Ok(())
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let (state, freed) = &*self.slots;
        let mut state = state.lock().expect("unpoisoned");
        if state.0 < SLOTS {
            state.0 += 1;
            return true;
        }
        if state.1 >= QUEUE {
            return false;
        }
        state.1 += 1;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if state.0 < SLOTS || left.is_zero() {
                state.1 -= 1;
                let is_taken = !left.is_zero();
                state.0 += u32::from(is_taken);
                return is_taken;
            }
            state = freed.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }

    fn free_slot(&self) {
        let (state, freed) = &*self.slots;
        state.lock().expect("unpoisoned").0 -= 1;
        freed.notify_one();
    }
}

/// Sends one request on a new connection and reads its response until a timeout.
pub fn send_once(
    to: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Message> {
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    writer.set_write_timeout(Some(timeout))?;
    let length = body.len();
    let head = format!("{head}Content-Length: {length}\r\n\r\n");
    writer.write_all(&[wire(&head).as_bytes(), body].concat())?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}
