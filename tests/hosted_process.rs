//! A hosted entry as a process: what its log holds when it has ended.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use wisteriawick_platform::SETTINGS_VARIABLE;
use wisteriawick_platform_standin::Store;
use wisteriawick_platform_standin::entry_settings;
use wisteriawick_standins::address::own_address;

/// Longest time that the process takes to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn wait_until_it_accepts(address: SocketAddr) {
    let connect = async {
        while TcpStream::connect(address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, connect)
        .await
        .expect("the process accepts connections");
}

fn signal(process: &Process, signal: Signal) {
    let pid = Pid::from_raw(process.0.id() as i32).expect("a process id");
    kill_process(pid, signal).expect("the process runs");
}

fn start_entry(settings: &Path) -> Process {
    let child = Command::new(env!("CARGO_BIN_EXE_wisteriawick"))
        .arg("entry")
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    Process(child)
}

/// A process that is starting reads its settings, here from a pipe, when the signal
/// arrives.
#[tokio::test(flavor = "multi_thread")]
async fn process_that_is_starting_survives_sighup() {
    let teardown = CancellationToken::new();
    let store = Store::start(teardown.clone()).await.expect("loopback");
    let name = format!("wisteriawick-{}.pipe", std::process::id());
    let pipe = std::env::temp_dir().join(name);
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("mkfifo runs").success());
    let mut process = start_entry(&pipe);
    let opened = pipe.clone();
    let opened = tokio::task::spawn_blocking(move || std::fs::File::create(opened));
    let mut settings = opened.await.expect("no panic").expect("the pipe opens");
    signal(&process, Signal::HUP);
    let callers = own_address();
    let text = entry_settings("entry-test", callers, own_address(), store.address());
    settings
        .write_all(text.as_bytes())
        .expect("the pipe is read");
    drop(settings);
    wait_until_it_accepts(callers).await;
    assert!(process.0.try_wait().expect("a child").is_none());
    std::fs::remove_file(pipe).expect("the pipe exists");
    teardown.cancel();
}

#[tokio::test(flavor = "multi_thread")]
async fn last_line_of_a_stopped_process_is_written() {
    let teardown = CancellationToken::new();
    let store = Store::start(teardown.clone()).await.expect("loopback");
    let file = std::env::temp_dir().join(format!("wisteriawick-{}.toml", std::process::id()));
    let callers = own_address();
    let text = entry_settings("entry-test", callers, own_address(), store.address());
    std::fs::write(&file, text).expect("the settings file is written");
    let mut process = start_entry(&file);
    wait_until_it_accepts(callers).await;
    signal(&process, Signal::TERM);
    let stdout = process.0.stdout.take().expect("piped");
    let read = tokio::task::spawn_blocking(move || std::io::read_to_string(stdout));
    let log = read.await.expect("no panic").expect("UTF-8");
    let last = log.lines().last().expect("lines");
    assert!(last.contains(r#""event":"stopped""#), "{last}");
    let status = process.0.wait().expect("the process ended");
    assert!(status.success(), "{status}");
    std::fs::remove_file(file).expect("the settings file exists");
    teardown.cancel();
}
