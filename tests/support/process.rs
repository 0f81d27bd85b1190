//! Starts entries and agents of the built program as child processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Instant;

use http::StatusCode;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::WaitId;
use rustix::process::WaitIdOptions;
use rustix::process::kill_process;
use rustix::process::waitid;
use tokio::task::JoinHandle;
use tokio::task::spawn_blocking;
use wisteriawick_standins::platform::Instance;

use super::Fixture;
use super::HttpClient;

/// A child process that is killed when the test ends.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Writes a settings file and starts the program with it.
pub fn spawn(
    fixture: &Fixture,
    role: &str,
    name: &str,
    link: SocketAddr,
    section: &str,
) -> Process {
    spawn_with(fixture, role, name, link, "", section)
}

/// Like [`spawn`], with further keys ahead of the tables.
pub fn spawn_with(
    fixture: &Fixture,
    role: &str,
    name: &str,
    link: SocketAddr,
    keys: &str,
    section: &str,
) -> Process {
    let tls = fixture
        .fleet
        .issue_certificate(name)
        .expect("a certificate");
    let text = format!(
        "name = \"{name}\"\nplace = \"p1\"\nlink_address = \"{link}\"\n{keys}\n\
         [platform]\naddress = \"{}\"\nlist_every_ms = 300\n\n\
         [tls]\nca_file = {:?}\ncert_file = {:?}\nkey_file = {:?}\n\n\
         [log]\nlevel = \"error\"\n\n{section}",
        fixture.fleet.platform.addr(),
        tls.ca_file,
        tls.cert_file,
        tls.key_file
    );
    let file: PathBuf = fixture.fleet.dir.join(format!("{name}.toml"));
    std::fs::write(&file, text).expect("the settings file is written");
    let child = Command::new(env!("CARGO_BIN_EXE_wisteriawick"))
        .arg(role)
        .arg("--config")
        .arg(&file)
        .spawn()
        .expect("the binary starts");
    Process(child)
}

/// Returns the platform's listing of a process.
pub fn instance(name: &str, role: &str, service: &str, address: SocketAddr) -> Instance {
    Instance {
        name: name.into(),
        role: role.into(),
        service: service.into(),
        place: "p1".into(),
        address: address.to_string(),
        state: "live".into(),
    }
}

/// Returns whether an entry accepts callers and is ready.
pub async fn is_ready(http: &HttpClient, to: SocketAddr) -> bool {
    if tokio::net::TcpStream::connect(to).await.is_err() {
        return false;
    }
    http.get(to, "/readyz").await.status == StatusCode::OK
}

impl Process {
    /// Asks the process to stop.
    pub fn terminate(&self) {
        kill_process(self.pid(), Signal::TERM).expect("the signal is sent");
    }

    /// Watches the process from a thread of its own; returns when it ended.
    pub fn watch_end(&self) -> JoinHandle<Instant> {
        let pid = self.pid();
        spawn_blocking(move || {
            let options = WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
            waitid(WaitId::Pid(pid), options).expect("a child");
            Instant::now()
        })
    }

    fn pid(&self) -> Pid {
        Pid::from_child(&self.0)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.0.try_wait().expect("a child").is_some()
    }
}
