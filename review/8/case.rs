//! A request that crashes each runner which begins to run it, at a service whose runners
//! start again under the identifiers that they had.
//!
//! One entry, two runners of a plain service, one client whose request is deadly and comes
//! again each second, and clients with sound requests. With `SAME_ID=0` a runner has a new
//! identifier at each start, for comparison.

#[path = "../common-2/mod.rs"]
mod common;

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Entry;
use common::EntrySettings;
use common::Message;
use common::Record;
use common::Store;
use common::TemporaryFolder;
use common::lock;

/// How long the requests go on.
const LENGTH: Duration = Duration::from_secs(76);
/// Body of the deadly request.
const DEADLY: &str = "{\"id\":\"deadly\"}";
/// Time of a run.
const WORK: Duration = Duration::from_millis(40);
/// Time after a crash until the runner is back; less than three heartbeats of 1.2 s, so
/// its entry stays in the store until the runner writes it anew.
const RESTART: Duration = Duration::from_millis(2_500);
/// Time after a crash until the platform removes the entry of an identifier that is gone:
/// three heartbeats.
const LISTED_AFTER_CRASH: Duration = Duration::from_millis(3_600);
/// Clients with sound requests.
const SOUND_CLIENTS: usize = 5;
/// `stable_window_ms` of the deployment.
const STABLE_WINDOW: f64 = 3.0;
/// Retries that the rule allows later than that after the third crash.
const ALLOWED_RETRIES: usize = 3;

/// A runner of the plain service.
struct Runner {
    /// Its identifier, which it keeps when it starts again.
    id: Mutex<String>,
    address: SocketAddr,
    store: Store,
    record: Record,
    /// Connections of the current start.
    open: Mutex<Vec<TcpStream>>,
    has_crashed: AtomicBool,
    /// When the deadly request reached a runner, on the clock of the record.
    deadly_runs: Arc<Mutex<Vec<f64>>>,
}

impl Runner {
    fn id(&self) -> String {
        lock(&self.id).clone()
    }

    /// Takes a new identifier, and has the entry of the old one removed in time.
    fn rename(&self, starts: usize) {
        let old = self.id();
        let first = old.split('-').take(2).collect::<Vec<_>>().join("-");
        *lock(&self.id) = format!("{first}-{starts}");
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(LISTED_AFTER_CRASH - RESTART);
            store.remove("servers", &old);
        });
    }

    fn register(&self, born: u64) {
        let (id, address) = (self.id(), self.address);
        let spec = format!(
            "{{\"service\":\"jobs-app\",\"address\":\"{address}\",\"zone\":\"caerdydd\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1,\"born\":{born}}}"
        );
        self.store.write("servers", &id, &spec);
    }

    /// Serves; after a crash it is gone for a while and starts again.
    fn run(self: &Arc<Self>, first: TcpListener) -> io::Result<()> {
        let mut listener = first;
        let mut born = unix_millis();
        let mut starts = 1;
        loop {
            self.register(born);
            self.serve_until_crash(listener)?;
            self.record.line(&format!("runner {} is down", self.id()));
            thread::sleep(RESTART);
            listener = TcpListener::bind(self.address)?;
            self.has_crashed.store(false, Ordering::SeqCst);
            born = unix_millis();
            starts += 1;
            if std::env::var("SAME_ID").as_deref() == Ok("0") {
                self.rename(starts);
            }
            let id = self.id();
            self.record.line(&format!("runner {id} starts again, born {born}"));
        }
    }

    /// Returns when the runner has crashed: nothing listens and all connections are closed.
    fn serve_until_crash(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        while !self.has_crashed.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false)?;
                    lock(&self.open).push(stream.try_clone()?);
                    let runner = Arc::clone(self);
                    thread::spawn(move || runner.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        Ok(())
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Some(req) = common::read_message(&mut reader).ok()? {
            let id = req.header("%id%").unwrap_or_default().to_string();
            let is_deadly = req.body == DEADLY.as_bytes();
            if is_deadly {
                self.record.line(&format!("runner {} runs {id}, the deadly one", self.id()));
                lock(&self.deadly_runs).push(self.record.now());
            }
            if is_deadly && common::has_trouble() {
                self.has_crashed.store(true, Ordering::SeqCst);
                return Some(());
            }
            thread::sleep(WORK);
            if self.has_crashed.load(Ordering::SeqCst) {
                return Some(());
            }
            let own = self.id();
            let body = format!("{{\"by\":\"{own}\"}}");
            let head = format!(
                "HTTP/1.1 200 OK\r\n%id%: {id}\r\n%seal%: seal-{own}\r\nContent-Length: {}\r\n\r\n",
                body.len(),
            );
            stream.write_all(common::wire(&(head + &body)).as_bytes()).ok()?;
        }
        Some(())
    }
}

fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"jobs.example\",\"%prefix%\":\"/{name}/\",\
             \"%kind%\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":300,\
             \"priority\":2,\"service\":\"jobs-app\",\"max_attempts\":1,\"anonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"jobs-app\",\
         \"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"k1\"],\"priority\":1}}]}}",
        route("book-fitting", "non_idempotent"),
        route("job-lookup", "idempotent"),
    )
}

fn post(entry: SocketAddr, path: &str, id: &str, body: &str) -> io::Result<Message> {
    let length = body.len();
    let req = format!(
        "POST {path} HTTP/1.1\r\nHost: jobs.example\r\n%id%: {id}\r\n%left%: 3000\r\n\
         Authorization: Bearer k1\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    common::call(entry, common::wire(&req).as_bytes(), Duration::from_secs(4))
}

/// Sends sound requests until the end; returns how many were sent and how many served.
fn send_sound(n: usize, entry: SocketAddr, record: &Record, until: Instant) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        sent += 1;
        let id = format!("sound-{n}-{sent}");
        let res = post(entry, "/book-fitting/a", &id, &format!("{{\"id\":\"{id}\"}}"));
        match res.map(|res| res.status()) {
            Ok(200) => served += 1,
            other => record.line(&format!("{id} is answered {other:?}")),
        }
        thread::sleep(Duration::from_millis(60));
    }
    (sent, served)
}

fn run(folder: &Path) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temporary = TemporaryFolder::create()?;
    let ip = common::own_ip(0);
    let store = Store::start(ip)?;
    store.write("config", "main", &configuration());
    let deadly_runs = Arc::new(Mutex::new(Vec::new()));
    for n in 1..=2u8 {
        let listener = TcpListener::bind((common::own_ip(n), 0))?;
        let runner = Arc::new(Runner {
            id: Mutex::new(format!("i-{n}")),
            address: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            open: Mutex::default(),
            has_crashed: AtomicBool::new(false),
            deadly_runs: Arc::clone(&deadly_runs),
        });
        thread::spawn(move || runner.run(listener));
    }
    let settings = EntrySettings::new("edge-caerdydd-1", ip, store.address)?;
    let entry = Entry::start(settings, &temporary.0)?;
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the entry is not ready"));
    }
    let callers = entry.settings.callers;
    // From here on the entry is in touch: nothing disturbs it, its links or the store.
    thread::sleep(Duration::from_secs(4));

    let until = Instant::now() + LENGTH;
    let mut sound = Vec::new();
    for n in 0..SOUND_CLIENTS {
        let record = record.clone();
        sound.push(thread::spawn(move || send_sound(n, callers, &record, until)));
    }
    let mut sends = 0;
    while Instant::now() < until {
        sends += 1;
        let id = format!("deadly-{sends}");
        record.line(&format!("{id} is sent"));
        let res = post(callers, "/book-fitting/d", &id, DEADLY);
        let status = res.map(|res| res.status());
        record.line(&format!("{id} is answered {status:?}"));
        thread::sleep(Duration::from_secs(1));
    }
    let (mut sent, mut served) = (0, 0);
    for client in sound {
        let (of_sent, of_served) = client.join().unwrap_or_default();
        sent += of_sent;
        served += of_served;
    }

    record.line(&format!("{served} of {sent} sound requests were served"));
    let runs = lock(&deadly_runs).clone();
    record.line(&format!("the deadly request ran {} times", runs.len()));
    if !common::has_trouble() {
        record.line("it crashes no runner in this run, so the rule says nothing of it");
        return Ok(false);
    }
    let Some(third) = runs.get(2).copied() else {
        return Ok(false);
    };
    let late = runs.iter().filter(|at| **at > third + STABLE_WINDOW);
    let late = late.count();
    record.line(&format!(
        "it reached runners in {late} retries later than {STABLE_WINDOW} s after it crashed the \
         third, at {third:.3}; {ALLOWED_RETRIES} are allowed"
    ));
    Ok(late > ALLOWED_RETRIES)
}

fn main() {
    common::main(run)
}
