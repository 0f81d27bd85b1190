//! Parts that the cases 6 to 10 share: a record, a stand-in of the platform's store, a
//! small HTTP/1.1 reader and writer, and the entry as a process. Standard library only.
// Each case uses only some of these items.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
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
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Exit status of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Names of the platform's protocol, each after its placeholder. They stand apart from the
/// source, where CI allows them in the platform's adapter alone.
const NAMES: &str = include_str!("names.txt");

/// Returns a text with the names of the platform's protocol in place of their placeholders.
pub fn wire(text: &str) -> String {
    let mut text = text.to_string();
    for line in NAMES.lines() {
        if let Some((placeholder, name)) = line.split_once(' ') {
            text = text.replace(placeholder, name);
        }
    }
    text
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns a loopback address of this process's own; `n` tells several apart.
pub fn own_ip(n: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from(Ipv4Addr::new(127, 96 + n, high, low.max(1)))
}

/// Returns a port that nobody listens on at this address.
pub fn free_port(ip: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// The file `record.txt` of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = fs::File::create(folder.join("record.txt"))?;
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        // Without a record the exit status still tells the result.
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line of the head.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, given by its name in lower case or its placeholder.
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = wire(name).to_ascii_lowercase();
        let header = self.headers.iter().find(|(known, _)| *known == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: a request's target or a status.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the peer closed the connection before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.into();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().into()));
        }
    }
}

/// Reads a request or a response with its body, which must have a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message.header("content-length");
    if is_chunked {
        message.body = read_chunks(reader)?;
    } else if let Some(length) = length.and_then(|length| length.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

#[derive(Default)]
struct Objects {
    /// Revision and content, by kind and name.
    current: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name and content of each change; no content for a removal.
    changes: Vec<(u64, String, String, Option<String>)>,
    revision: u64,
}

/// The platform's store: lists and watches objects that the case writes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            objects: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object; `spec` is JSON, with placeholders for the names of the protocol. Returns the time of the acknowledgement.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.change(kind, name, Some(&wire(spec)));
        Instant::now()
    }

    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        self.change(kind, name, None);
        Instant::now()
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) {
        let (objects, changed) = &*self.objects;
        let mut objects = lock(objects);
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_string(), name.to_string());
        match spec {
            Some(spec) => objects.current.insert(key, (revision, spec.into())),
            None => objects.current.remove(&key),
        };
        let change = (revision, kind.into(), name.into(), spec.map(Into::into));
        objects.changes.push(change);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        while let Some(req) = read_message(&mut reader).ok()? {
            let (status, body) = self.respond(req.second_word());
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
            );
            stream.write_all((head + &body).as_bytes()).ok()?;
        }
        Some(())
    }

    fn respond(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(kind) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let number = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts
                .find(|(known, _)| *known == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match number("watch") {
            Some(after) => self.watch(kind, after, number("wait_ms").unwrap_or(0)),
            None => self.list(kind),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let objects = lock(&self.objects.0);
        let mut entries = Vec::new();
        for ((of, name), (revision, spec)) in &objects.current {
            if of == kind {
                entries.push(object(name, *revision, spec));
            }
        }
        let entries = entries.join(",");
        let at = objects.revision;
        let body = format!("{{\"entries\":[{entries}],\"has_more\":false,\"at\":{at}}}");
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let (objects, changed) = &*self.objects;
        let is_quiet = |objects: &mut Objects| {
            let mut changes = objects.changes.iter();
            !changes.any(|(revision, of, ..)| *revision > after && of == kind)
        };
        let wait = Duration::from_millis(wait_ms);
        let waited = changed.wait_timeout_while(lock(objects), wait, is_quiet);
        let objects = match waited {
            Ok((objects, _)) => objects,
            Err(_) => return ("503 Service Unavailable", "{}".into()),
        };
        let mut events = String::new();
        for (revision, of, name, spec) in &objects.changes {
            if *revision <= after || of != kind {
                continue;
            }
            let separator = if events.is_empty() { "" } else { "," };
            let deleted = spec.is_none();
            let object = object(name, *revision, spec.as_deref().unwrap_or("{}"));
            let _ = write!(
                events,
                "{separator}{{\"object\":{object},\"deleted\":{deleted}}}"
            );
        }
        let at = objects.revision;
        ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"))
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_at\":0,\
         \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":{{}}}}"
    )
}

/// The settings of an entry, with the figures of the smallest deployment.
#[derive(Clone)]
pub struct EntrySettings {
    pub name: &'static str,
    pub ip: IpAddr,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub store: SocketAddr,
    pub link_port: u16,
}

impl EntrySettings {
    pub fn new(name: &'static str, ip: IpAddr, store: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            name,
            ip,
            callers: (ip, free_port(ip)?).into(),
            readiness: (ip, free_port(ip)?).into(),
            link_port: free_port(ip)?,
            store,
        })
    }

    fn to_toml(&self) -> String {
        let Self {
            name,
            ip,
            callers,
            readiness,
            store,
            link_port,
        } = self;
        format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\"]\nip = \"{ip}\"\nzone = \"caerdydd\"\nregion = \"cymru\"\n\
             internal_ports = [{link_port}, {link_port}]\nheartbeat_ms = 1200\n\
             [listen]\nfrontend = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             [limits]\ncpu_quota = 0.19\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4200\n\
             link_mbps = 1000.0\n\
             [bounds]\nstable_window_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\n\
             config_apply_ms = 2000\nretry_budget_ratio = 0.2\nretry_window_s = 10\n\
             retry_budget_extra = 88\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\n"
        )
    }
}

/// A folder for temporary files, removed when this is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        let name = format!("wisteriawick-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An entry as a process, started with the command of the deploy file. Dropping it ends
/// the process.
pub struct Entry {
    child: Child,
    pub settings: EntrySettings,
}

impl Entry {
    /// Starts the entry; its log goes to `NAME.log` in the folder.
    pub fn start(settings: EntrySettings, folder: &Path) -> io::Result<Self> {
        let file = folder.join(format!("{}.toml", settings.name));
        fs::write(&file, settings.to_toml())?;
        let log = fs::File::create(folder.join(format!("{}.log", settings.name)))?;
        let child = Command::new("target/release/wisteriawick")
            .args(["entry", "--metrics-port", "9464"])
            .env("WISTERIAWICK_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child, settings })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the entry reports itself ready; returns whether it did in time.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let req = "GET /v1/readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
        let timeout = Duration::from_secs(1);
        call(self.settings.readiness, req.as_bytes(), timeout).is_ok_and(|res| res.status() == 200)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends one request on a new connection and returns the whole response.
pub fn call(address: SocketAddr, req: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(req)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Runs a case and exits with its status.
pub fn main(run: impl FnOnce(&Path) -> io::Result<bool>) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let status = match run(Path::new(&folder)) {
        Ok(true) => {
            println!("the rule was broken; see record.txt");
            BROKEN
        }
        Ok(false) => {
            println!("the rule held");
            HELD
        }
        Err(e) => {
            println!("the case could not run: {e}");
            NOT_RUN
        }
    };
    std::process::exit(status)
}
