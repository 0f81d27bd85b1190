//! What a process takes of its machine, read while a crowd is at its doors.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Peaks of what a process was seen to take.
#[derive(Debug, Default)]
struct Peaks {
    descriptors: AtomicUsize,
    /// Bytes that the system has received for it and that it has not read.
    unread_bytes: AtomicU64,
}

/// Reads the usage of a process until it is dropped.
#[derive(Debug)]
pub(crate) struct UsageWatch {
    peaks: Arc<Peaks>,
    _end: DropGuard,
}

impl UsageWatch {
    /// Watches a process whose listeners have these ports.
    pub(crate) fn start(process: u32, ports: Vec<u16>) -> Self {
        let peaks = Arc::new(Peaks::default());
        let end = CancellationToken::new();
        let (watched, ended) = (Arc::clone(&peaks), end.clone());
        std::thread::spawn(move || {
            while !ended.is_cancelled() {
                let descriptors = open_descriptors(process);
                watched
                    .descriptors
                    .fetch_max(descriptors, Ordering::Relaxed);
                let unread = unread_bytes(&ports);
                watched.unread_bytes.fetch_max(unread, Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            peaks,
            _end: end.drop_guard(),
        }
    }

    pub(crate) fn descriptors(&self) -> usize {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }

    pub(crate) fn unread_bytes(&self) -> u64 {
        self.peaks.unread_bytes.load(Ordering::Relaxed)
    }
}

/// Returns the peak of a process's resident memory in kB.
pub(crate) fn peak_kb(process: u32) -> u64 {
    let path = format!("/proc/{process}/status");
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("a peak");
    let number = line.trim().trim_end_matches(" kB");
    number.parse().expect("a number")
}

/// Returns zero for a process that has ended.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Returns what the system holds for the accepted connections of these ports.
fn unread_bytes(ports: &[u16]) -> u64 {
    const LISTENING: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let mut bytes = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let port = fields[1].split_once(':').map(|(_, port)| port);
        let port = port.and_then(|port| u16::from_str_radix(port, 16).ok());
        let is_own = port.is_some_and(|port| ports.contains(&port));
        if is_own && fields[3] != LISTENING {
            let received = fields[4].split_once(':').map(|(_, received)| received);
            bytes += received.map_or(0, |hex| u64::from_str_radix(hex, 16).unwrap_or_default());
        }
    }
    bytes
}
