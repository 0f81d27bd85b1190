//! A runner that fails part of the bookings which it has run, with status 503 and without
//! the mark of a refusal.
//!
//! One entry, three runners of a plain service, clients that book. The first runner is
//! grey for some seconds: its health check is good, and part of its answers are failures.

#[path = "../common-2/mod.rs"]
mod common;

use std::collections::BTreeSet;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Entry;
use common::EntrySettings;
use common::Record;
use common::Store;
use common::TemporaryFolder;
use common::lock;

/// Time of a run.
const WORK: Duration = Duration::from_millis(60);
/// Time before the first runner turns grey, and for which it is grey.
const QUIET: Duration = Duration::from_secs(4);
const GREY: Duration = Duration::from_millis(6_500);
/// Share of the answers of a grey runner that are failures, in hundredths.
const FAILURES_PERCENT: u64 = 45;
const CLIENTS: usize = 4;

struct Runner {
    id: String,
    is_grey: AtomicBool,
    answers: AtomicU64,
    record: Record,
    ran: Arc<Mutex<BTreeSet<String>>>,
}

impl Runner {
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Some(req) = common::read_message(&mut reader).ok()? {
            let id = req.header("%id%").unwrap_or_default().to_string();
            self.record.line(&format!("runner {} runs {id}", self.id));
            lock(&self.ran).insert(id.clone());
            thread::sleep(WORK);
            let own = &self.id;
            let answer = self.answers.fetch_add(1, Ordering::SeqCst);
            // 45 of 100 answers in a row that mixes well.
            let fails = answer * 37 % 100 < FAILURES_PERCENT;
            let status = match self.is_grey.load(Ordering::SeqCst) && fails {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            self.record.line(&format!("runner {own} answers {id} with {status}"));
            let body = format!("{{\"by\":\"{own}\"}}");
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\n%id%: {id}\r\n%seal%: seal-{own}\r\n\
                 Content-Length: {length}\r\n\r\n"
            );
            stream.write_all(common::wire(&(head + &body)).as_bytes()).ok()?;
        }
        Some(())
    }
}

fn configuration() -> &'static str {
    "{\"version\":3,\"routes\":[{\"name\":\"book-fitting\",\"host\":\"jobs.example\",\
     \"%prefix%\":\"/book-fitting/\",\"%kind%\":\"non_idempotent\",\"timeout_ms\":1500,\
     \"target_latency_ms\":300,\"priority\":2,\"service\":\"jobs-app\",\"max_attempts\":1,\
     \"anonymous\":false}],\"services\":[{\"name\":\"jobs-app\",\"health_path\":\"/healthz\",\
     \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\
     \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"k1\"],\
     \"priority\":1}]}"
}

/// Books until the end. As the protocol says, a client sends a booking again, as another
/// attempt, after a status that promises that it has not run.
fn book(n: usize, entry: SocketAddr, record: &Record, until: Instant) -> Vec<(String, u16)> {
    let mut answers = Vec::new();
    let mut booking = 0;
    while Instant::now() < until {
        booking += 1;
        for attempt in 1..=2 {
            let id = format!("booking-{n}-{booking}-attempt-{attempt}");
            let body = format!("{{\"id\":\"booking-{n}-{booking}\"}}");
            let length = body.len();
            let req = format!(
                "POST /book-fitting/a HTTP/1.1\r\nHost: jobs.example\r\n%id%: {id}\r\n\
                 %left%: 3000\r\nAuthorization: Bearer k1\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            let res = common::call(entry, common::wire(&req).as_bytes(), Duration::from_secs(4));
            let Ok(res) = res else {
                record.line(&format!("{id} gets no answer"));
                break;
            };
            let seal = res.header("%seal%").unwrap_or("none");
            record.line(&format!("{id} is answered {}, seal {seal}", res.status()));
            answers.push((id, res.status()));
            if !is_promise(res.status()) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(30));
    }
    answers
}

/// Returns whether a status promises that the request has not run.
fn is_promise(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

fn run(folder: &Path) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temporary = TemporaryFolder::create()?;
    let ip = common::own_ip(0);
    let store = Store::start(ip)?;
    store.write("config", "main", configuration());
    let ran = Arc::new(Mutex::new(BTreeSet::new()));
    let mut runners = Vec::new();
    for n in 1..=3u8 {
        let listener = TcpListener::bind((common::own_ip(n), 0))?;
        let address = listener.local_addr()?;
        let runner = Arc::new(Runner {
            id: format!("i-{n}"),
            is_grey: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            record: record.clone(),
            ran: Arc::clone(&ran),
        });
        let spec = format!(
            "{{\"service\":\"jobs-app\",\"address\":\"{address}\",\"zone\":\"caerdydd\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1,\"born\":{n}}}"
        );
        store.write("servers", &runner.id, &spec);
        runners.push(Arc::clone(&runner));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = Arc::clone(&runner);
                thread::spawn(move || runner.serve(stream));
            }
        });
    }
    let settings = EntrySettings::new("edge-caerdydd-1", ip, store.address)?;
    let entry = Entry::start(settings, &temporary.0)?;
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the entry is not ready"));
    }
    let callers = entry.settings.callers;

    let until = Instant::now() + QUIET + GREY + QUIET;
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let record = record.clone();
        clients.push(thread::spawn(move || book(n, callers, &record, until)));
    }
    thread::sleep(QUIET);
    runners[0].is_grey.store(common::has_trouble(), Ordering::SeqCst);
    record.line("the first runner turns grey, unless TROUBLE is 0");
    thread::sleep(GREY);
    runners[0].is_grey.store(false, Ordering::SeqCst);
    record.line("the first runner is sound");
    let mut answers = Vec::new();
    for client in clients {
        answers.extend(client.join().unwrap_or_default());
    }

    let ran = lock(&ran);
    let mut false_promises = 0;
    for (id, status) in &answers {
        if is_promise(*status) && ran.contains(id) {
            false_promises += 1;
            record.line(&format!("{id} is answered {status} and has run"));
        }
    }
    let sent = answers.len();
    record.line(&format!("{false_promises} of {sent} attempts are answered as not run and ran"));
    Ok(false_promises > 0)
}

fn main() {
    common::main(run)
}
