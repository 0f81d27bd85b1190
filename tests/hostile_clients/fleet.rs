//! An entry process of a fleet of our own, whose port for callers a crowd reaches.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use wisteriawick::command::dev::DEV_OPERATOR_TOKEN;
use wisteriawick::command::dev::DevFleet;
use wisteriawick_core::fleet::KeyHash;
use wisteriawick_standins::address::own_address;

use crate::crowd::Crowd;
use crate::crowd::Script;
use crate::support::Fixture;
use crate::support::HttpClient;
use crate::support::WORKSPACE;
use crate::support::process::Process;
use crate::support::process::instance;
use crate::support::process::is_ready;
use crate::support::process::spawn;
use crate::support::small_fleet;
use crate::support::with_timeout;
use crate::usage::UsageWatch;
use crate::usage::peak_kb;

/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 160;
/// `max_descriptors` of the settings.
const MAX_DESCRIPTORS: usize = 400;
/// Largest body that the entry takes.
pub(crate) const BODY_BYTES: usize = 8 * 1024 * 1024;

/// A running entry and its fleet.
pub(crate) struct FleetSite {
    pub(crate) callers: SocketAddr,
    fixture: Fixture,
    process: Process,
    usage: UsageWatch,
}

impl FleetSite {
    pub(crate) async fn start() -> Self {
        let mut fixture = Fixture::start(small_fleet()).await;
        let (callers, ops, link) = (own_address(), own_address(), own_address());
        let section = format!(
            "[entry]\nhttp_address = \"{callers}\"\nops_address = \"{ops}\"\n\
             ops_token_hashes = [\"{}\"]\n\
             memory_mb = {MEMORY_MB}\nmax_descriptors = {MAX_DESCRIPTORS}\n",
            KeyHash::new(DEV_OPERATOR_TOKEN).to_hex()
        );
        let process = spawn(&fixture, "entry", "entry-9", link, &section);
        fixture
            .fleet
            .add_instance(instance("entry-9", "entry", "", link));
        let usage = UsageWatch::start(process.0.id(), vec![callers.port()]);
        let site = Self {
            callers,
            fixture,
            process,
            usage,
        };
        with_timeout(async {
            while !is_ready(&site.fixture.http, callers).await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
        .await;
        site.serves_ordinary_callers().await;
        site
    }

    /// Returns the head of a call of the plain service.
    pub(crate) fn head(header: &str) -> String {
        let key = DevFleet::api_key(WORKSPACE);
        format!(
            "POST /jobs/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n{header}\r\n\r\n"
        )
    }

    /// Waits until an ordinary caller, which tries again after a refusal, is answered.
    async fn serves_ordinary_callers(&self) {
        with_timeout(async {
            while !self.is_answered().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
        .await;
    }

    async fn is_answered(&self) -> bool {
        let callers = self.callers;
        // A connection that is closed instead of an answer ends the task.
        let attempt = tokio::spawn(async move {
            let http = HttpClient::new();
            let body = Bytes::new();
            http.send(Method::GET, callers, "/jobs/jobs/1", &[], body)
                .await
        });
        attempt.await.is_ok_and(|res| res.status == StatusCode::OK)
    }

    /// Sends a crowd twice.
    pub(crate) async fn outlives(self, clients: usize, script: &Script) {
        for _ in 0..2 {
            let crowd = Crowd::gather(self.callers, clients, script).await;
            self.serves_ordinary_callers().await;
            crowd.leave().await;
            self.serves_ordinary_callers().await;
        }
        let bytes = peak_kb(self.process.0.id()) * 1024 + self.usage.unread_bytes();
        let descriptors = self.usage.descriptors();
        println!("{} kB at the peak, {descriptors} descriptors", bytes / 1024);
        let memory = MEMORY_MB * 1_000_000;
        assert!(bytes <= memory, "{bytes} bytes of {memory}");
        assert!(
            descriptors <= MAX_DESCRIPTORS,
            "{descriptors} descriptors of {MAX_DESCRIPTORS}"
        );
        self.fixture.stop();
    }
}
