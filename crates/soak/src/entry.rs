//! Entry processes, and whether callers can expect responses from them.
//!
//! A fault that stops an entry from responding is recorded as an outage, so that a
//! failed request during the outage does not count as a violation.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use wisteriawick_platform::SETTINGS_VARIABLE;
use wisteriawick_platform_standin::linked_entry_settings;
use wisteriawick_platform_standin::with_evacuation_bound;
use wisteriawick_standins::address::own_address;

/// Interval between checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry process, which can be signaled, killed and restarted.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    pub(crate) name: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) readiness_address: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Working and home directory of the process, which must stay empty.
    disk: PathBuf,
    state: Mutex<State>,
}

/// Start and end of a time; the end is `None` while it lasts.
type Period = (Instant, Option<Instant>);

/// The mutable state of an entry.
#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    started_at: Option<Instant>,
    /// Whether new requests are sent to the entry.
    is_in_rotation: bool,
    /// Times in which a fault impaired the entry.
    outages: Vec<Period>,
    /// Times from `SIGTERM` until the entry is ready again.
    stops: Vec<Period>,
}

impl State {
    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().map(|child| child.id() as i32);
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // Fails only if the process has just exited, which is no error here.
            let _ = kill_process(pid, signal);
        }
    }
}

impl EntryProcess {
    /// Writes the settings file of an entry without links. Does not start the process.
    pub(crate) fn new(
        name: &str,
        binary: &Path,
        dir: &Path,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        Self::linked(name, binary, dir, store, 1)
    }

    /// Writes the settings file of an entry that links to agents at this port. Does not
    /// start the process.
    pub(crate) fn linked(
        name: &str,
        binary: &Path,
        dir: &Path,
        store: SocketAddr,
        link_port: u16,
    ) -> std::io::Result<Self> {
        let caller_address = own_address();
        let readiness_address = own_address();
        let settings = dir.join(format!("{name}.toml"));
        std::fs::write(
            &settings,
            linked_entry_settings(name, caller_address, readiness_address, store, link_port),
        )?;
        let disk = dir.join(format!("{name}.disk"));
        std::fs::create_dir_all(&disk)?;
        Ok(Self {
            disk,
            name: name.into(),
            caller_address,
            readiness_address,
            binary: binary.into(),
            settings,
            log: dir.join(format!("{name}.log")),
            state: Mutex::default(),
        })
    }

    /// Adds the time within which evacuations must be in force to the settings file.
    pub(crate) fn set_evacuation_bound(&self, bound: Duration) -> std::io::Result<()> {
        let settings = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, with_evacuation_bound(&settings, bound))
    }

    /// Starts the process. Its output is appended to the log file of the entry.
    pub(crate) fn start(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.binary)
            .arg("entry")
            .env(SETTINGS_VARIABLE, &self.settings)
            .env("HOME", &self.disk)
            .env("TMPDIR", &self.disk)
            .current_dir(&self.disk)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        let mut state = self.lock();
        state.child = Some(child);
        state.started_at = Some(Instant::now());
        Ok(())
    }

    /// Returns whether the disk of the process is empty.
    pub(crate) fn is_disk_empty(&self) -> std::io::Result<bool> {
        Ok(std::fs::read_dir(&self.disk)?.next().is_none())
    }

    /// Returns the identifier of the process, if there is one.
    pub(crate) fn id(&self) -> Option<u32> {
        self.lock().child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if there is one.
    pub(crate) fn signal(&self, signal: Signal) {
        self.lock().signal(signal);
    }

    /// Waits until the process exits. Returns `false` if it has not within `timeout`.
    pub(crate) async fn wait_exit(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.has_exited() {
                return true;
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        false
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&self) {
        let child = self.lock().child.take();
        if let Some(mut child) = child {
            // Fails if the process exited by itself; failed requests then show the crash.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(crate) fn set_in_rotation(&self, is_in_rotation: bool) {
        self.lock().is_in_rotation = is_in_rotation;
    }

    pub(crate) fn is_in_rotation(&self) -> bool {
        self.lock().is_in_rotation
    }

    /// Marks the start of an outage: failed requests are excused from now on.
    pub(crate) fn begin_outage(&self) {
        self.lock().outages.push((Instant::now(), None));
    }

    /// Marks the end of all current outages.
    pub(crate) fn end_outage(&self) {
        end_all(&mut self.lock().outages);
    }

    /// Returns whether an outage overlaps the time between `from` and `to`.
    pub(crate) fn had_outage(&self, from: Instant, to: Instant) -> bool {
        any_overlaps(&self.lock().outages, from, to)
    }

    /// Marks the start of a planned stop.
    pub(crate) fn begin_stop(&self) {
        self.lock().stops.push((Instant::now(), None));
    }

    /// Sends a signal of a series and returns whether it starts a planned stop. A process
    /// that replaces a stopped one gets no signal before it is ready.
    pub(crate) fn signal_in_series(&self, signal: Signal) -> bool {
        let mut state = self.lock();
        let stop = state.stops.iter().find(|(_, end)| end.is_none());
        let stop = stop.map(|(start, _)| *start);
        if stop.is_some() && state.started_at > stop {
            return false;
        }
        let begins = stop.is_none() && signal == Signal::TERM;
        if begins {
            state.stops.push((Instant::now(), None));
        }
        state.signal(signal);
        begins
    }

    /// Marks the end of a planned stop: the entry is ready again.
    pub(crate) fn end_stop(&self) {
        end_all(&mut self.lock().stops);
    }

    /// Returns whether a planned stop overlaps the time between `from` and `to`.
    pub(crate) fn had_stop(&self, from: Instant, to: Instant) -> bool {
        any_overlaps(&self.lock().stops, from, to)
    }

    fn has_exited(&self) -> bool {
        let mut state = self.lock();
        let has_exited = match &mut state.child {
            None => true,
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
        };
        if has_exited {
            // The process identifier may belong to another process from now on.
            state.child = None;
        }
        has_exited
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

fn end_all(periods: &mut [Period]) {
    for (_, end) in periods {
        end.get_or_insert_with(Instant::now);
    }
}

fn any_overlaps(periods: &[Period], from: Instant, to: Instant) -> bool {
    let overlaps = |(start, end): &Period| *start <= to && end.is_none_or(|end| end >= from);
    periods.iter().any(overlaps)
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
