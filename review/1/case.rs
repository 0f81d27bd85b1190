//! Runners are slow and lose answers. Checks that no booking which ran is answered with a
//! status that promises that it did not run.

#[path = "../common/mod.rs"]
mod common;

use std::collections::HashMap;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

/// Bookings a second, as `book-fitting` has in the largest deployment of the pages.
const RATE: f64 = 40.2;
/// Time that a booking takes at a runner: 60 ms on average, at most 450 ms.
const MEAN_WORK_MS: f64 = 60.0;
const MAX_WORK_MS: f64 = 450.0;
/// Time-out of the route.
const TIMEOUT_MS: u64 = 400;
/// The client's deadline.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Runners of the service; the first ones are slow, and the first ones lose answers.
const RUNNERS: usize = 5;
/// How many are slow, and by what factor: a share of 0.4; the pages allow times 12.
const SLOW: usize = 2;
const SLOWNESS: f64 = 6.0;
/// How many lose answers, and what share of them: a share of 0.6, 3 of 10 answers.
const LOSING: usize = 3;
const LOST: f64 = 0.3;
const ROUNDS: u32 = 13;
/// How long both last; the pages allow 9 s and 6 s.
const TROUBLE_TIME: Duration = Duration::from_millis(6_000);
/// Time between two rounds.
const PAUSE: Duration = Duration::from_millis(2_000);

struct Outcome {
    attempt: String,
    booking: String,
    status: Option<u16>,
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create("review/1/record.txt");
    let net = loopback_net();
    let store = Store::start(at(net, 1, 8223));
    store.put("config", "main", Some(&booking_configuration(TIMEOUT_MS)));
    let is_losing = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        let random = Random::new(n as u64 * 7_919 + 12_345);
        let lost = random.clone();
        let is_losing = Arc::clone(&is_losing);
        let slow = Arc::clone(&is_losing);
        let work = RunnerWork {
            work: Box::new(move || {
                let is_slow = n < SLOW && slow.load(Ordering::SeqCst);
                work_time(&random).mul_f64(if is_slow { SLOWNESS } else { 1.0 })
            }),
            loses_answer: Box::new(move || {
                n < LOSING && is_losing.load(Ordering::SeqCst) && lost.fraction() < LOST
            }),
        };
        let id = format!("i-{n}");
        let address = at(net, 10 + n as u8, 8228);
        runners.push(Runner::start(&id, address, work, record.clone()));
        store.put(
            "servers",
            &id,
            Some(&runner_object("jobs-app", address, "ready")),
        );
    }
    let settings = entry_settings(net, 2, store.address);
    let mut entry = Program::start("entry", "9464", &settings, "review/1/entry.log");
    if !wait_ready(at(net, 2, 8220), Duration::from_secs(10)) {
        eprintln!("the entry does not become ready");
        drop(entry);
        exit(2);
    }
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = {
        let (outcomes, is_over, record) =
            (Arc::clone(&outcomes), Arc::clone(&is_over), record.clone());
        thread::spawn(move || send_bookings(net, &outcomes, &is_over, &record))
    };
    thread::sleep(Duration::from_millis(1_500));
    for _ in 0..ROUNDS {
        is_losing.store(trouble, Ordering::SeqCst);
        record.line(&format!("trouble: {trouble}"));
        thread::sleep(TROUBLE_TIME);
        is_losing.store(false, Ordering::SeqCst);
        record.line("trouble over");
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = clients.join();
    // The last clients wait for their deadline, and a refused request might run later.
    thread::sleep(DEADLINE + Duration::from_secs(1));
    if !entry.is_running() {
        eprintln!("the entry has ended");
        exit(2);
    }
    drop(entry);
    exit(judge(&runners, &outcomes.lock().expect("unpoisoned"), &record));
}

/// Draws the time of a booking: log-normal around the mean.
fn work_time(random: &Random) -> Duration {
    const SPREAD: f64 = 0.47;
    let normal: f64 = (0..12).map(|_| random.fraction()).sum::<f64>() - 6.0;
    let ms = MEAN_WORK_MS * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp();
    Duration::from_secs_f64(ms.min(MAX_WORK_MS) / 1_000.0)
}

/// Starts a booking at a fixed rate, whatever becomes of those before.
fn send_bookings(
    net: (u8, u8),
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    is_over: &AtomicBool,
    record: &Record,
) {
    let start = Instant::now();
    let mut n = 0u32;
    while !is_over.load(Ordering::SeqCst) {
        let due = start + Duration::from_secs_f64(f64::from(n) / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (outcomes, record) = (Arc::clone(outcomes), record.clone());
        thread::spawn(move || book(net, n, &outcomes, &record));
        n += 1;
    }
}

/// Sends one booking, and once more after a promise that it did not run.
fn book(net: (u8, u8), n: u32, outcomes: &Mutex<Vec<Outcome>>, record: &Record) {
    let until = Instant::now() + DEADLINE;
    let booking = format!("van-{n}");
    for attempt in 0..2 {
        let id = format!("{n:08x}{attempt:08x}");
        let left = until.saturating_duration_since(Instant::now());
        let head = format!(
            "POST /book/x HTTP/1.1\r\nHost: a.example\r\n%id%: {id}\r\n\
             %left%: {}\r\nAuthorization: Bearer key\r\n",
            left.as_millis()
        );
        record.line(&format!("client sends {id} ({booking})"));
        let res = send_once(at(net, 2, 8227), &head, booking.as_bytes(), left);
        let status = res.as_ref().ok().map(Message::status);
        let text = match &res {
            Ok(res) => res.start.clone(),
            Err(e) => e.to_string(),
        };
        record.line(&format!("client gets {id}: {text}"));
        outcomes.lock().expect("unpoisoned").push(Outcome {
            attempt: id,
            booking: booking.clone(),
            status,
        });
        if !status.is_some_and(is_promise) {
            return;
        }
        let after = res.ok().and_then(|res| {
            let seconds = res.header("retry-after")?.parse::<f64>().ok()?;
            Some(Duration::from_secs_f64(seconds))
        });
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(after.unwrap_or_default().min(left / 3));
    }
}

/// Returns whether a status promises that the request has not run and never will.
fn is_promise(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

fn judge(runners: &[Runner], outcomes: &[Outcome], record: &Record) -> i32 {
    let mut runs: HashMap<String, usize> = HashMap::new();
    let mut bookings: HashMap<String, usize> = HashMap::new();
    for runner in runners {
        for (attempt, booking) in runner.ran.lock().expect("unpoisoned").iter() {
            *runs.entry(attempt.clone()).or_default() += 1;
            *bookings.entry(booking.clone()).or_default() += 1;
        }
    }
    let mut false_promises = 0;
    for outcome in outcomes {
        let status = outcome.status.unwrap_or(0);
        if is_promise(status) && runs.contains_key(&outcome.attempt) {
            false_promises += 1;
            let booked = bookings[&outcome.booking];
            record.line(&format!(
                "REFUSED: {} ({}) ran and was answered {status}; the booking ran {booked} times",
                outcome.attempt, outcome.booking
            ));
        }
    }
    let served = outcomes.iter().filter(|one| one.status == Some(200));
    let text = format!(
        "{} attempts, {} answered 200, {false_promises} ran and were answered as not run, \
         {} bookings ran more than once",
        outcomes.len(),
        served.count(),
        bookings.values().filter(|count| **count > 1).count()
    );
    record.line(&text);
    println!("{text}");
    i32::from(false_promises > 0)
}
