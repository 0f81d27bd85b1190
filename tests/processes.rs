//! An entry and an agent as processes of their own, started by the binary.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;

use http::StatusCode;
use support::Fixture;
use support::HttpClient;
use support::eventually;
use support::small_sizes;
use support::within;
use tokio_util::sync::CancellationToken;
use wisteriawick::command::dev::DEV_OPERATOR_TOKEN;
use wisteriawick_core::fleet::KeyHash;
use wisteriawick_standins::plain::PlainService;
use wisteriawick_standins::platform::Instance;

/// Ends the process with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address")
}

fn spawn(fixture: &Fixture, role: &str, name: &str, link: SocketAddr, section: &str) -> Process {
    let tls = fixture
        .fleet
        .issue_certificate(name)
        .expect("a certificate");
    let text = format!(
        "name = \"{name}\"\nplace = \"p1\"\nlink_address = \"{link}\"\n\n\
         [platform]\naddress = \"{}\"\nlist_every_ms = 300\n\n\
         [tls]\nca_file = {:?}\ncert_file = {:?}\nkey_file = {:?}\n\n\
         [log]\nlevel = \"error\"\n\n{section}",
        fixture.fleet.platform.addr(),
        tls.ca_file,
        tls.cert_file,
        tls.key_file
    );
    let file: PathBuf = fixture.fleet.dir.join(format!("{name}.toml"));
    std::fs::write(&file, text).expect("a written file");
    let child = Command::new(env!("CARGO_BIN_EXE_wisteriawick"))
        .arg(role)
        .arg("--config")
        .arg(&file)
        .spawn()
        .expect("the binary starts");
    Process(child)
}

fn instance(name: &str, role: &str, service: &str, address: SocketAddr) -> Instance {
    Instance {
        name: name.into(),
        role: role.into(),
        service: service.into(),
        place: "p1".into(),
        address: address.to_string(),
        state: "live".into(),
    }
}

async fn is_ready(http: &HttpClient, to: SocketAddr) -> bool {
    if tokio::net::TcpStream::connect(to).await.is_err() {
        return false;
    }
    http.get(to, "/readyz").await.status == StatusCode::OK
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn separate_processes_serve_and_shut_down_without_cutting_off() {
    let mut sizes = small_sizes();
    sizes.services[1].runners = 0;
    let mut fixture = Fixture::start(sizes).await;
    let bookings = fixture.fleet.bookings.clone();
    let plain = PlainService::start("jobs-9".into(), 0, bookings, CancellationToken::new())
        .await
        .expect("a plain service");
    let (agent_link, entry_link) = (free_address(), free_address());
    let (http, ops) = (free_address(), free_address());
    let section = format!(
        "[agent]\nservice = \"jobs\"\nendpoint_address = \"{}\"\n",
        plain.addr()
    );
    let _agent = spawn(&fixture, "agent", "jobs-9", agent_link, &section);
    let section = format!(
        "[entry]\nhttp_address = \"{http}\"\nops_address = \"{ops}\"\nops_token_hashes = [\"{}\"]\n",
        KeyHash::new(DEV_OPERATOR_TOKEN).to_hex()
    );
    let mut entry = spawn(&fixture, "entry", "entry-9", entry_link, &section);
    fixture
        .fleet
        .add_instance(instance("jobs-9", "agent", "jobs", agent_link));
    fixture
        .fleet
        .add_instance(instance("entry-9", "entry", "", entry_link));

    within(async {
        while !is_ready(&fixture.http, http).await {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        // The only runner of the service is the agent process.
        while fixture.http.get(http, "/jobs/jobs/1").await.status != StatusCode::OK {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    })
    .await;

    let body = serde_json::json!({ "id": "van-77", "wait_ms": 700 });
    let headers = [("idempotency-key", "van-77")];
    let booking = fixture
        .http
        .post(http, "/jobs/bookings", &headers, body.clone());
    let pid = entry.0.id().to_string();
    let log = fixture.fleet.bookings.clone();
    let terminate = async {
        eventually(|| log.runs().contains_key("van-77")).await;
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
    };
    let (answer, ()) = within(async { tokio::join!(booking, terminate) }).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    assert_eq!(answer.outcome(), "ran");
    eventually(|| entry.0.try_wait().expect("a child").is_some()).await;
    assert!(entry.0.wait().expect("a child").success());

    let entry = fixture.entry(0);
    let again = fixture
        .http
        .post(entry, "/jobs/bookings", &headers, body)
        .await;
    assert_eq!(
        again.header("wisteriawick-replayed"),
        "true",
        "{}",
        again.text()
    );
    assert_eq!(fixture.fleet.bookings.runs()["van-77"], 1);
    fixture.stop();
}
