//! An agent process beside a runner, whose link listener a crowd reaches.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use wisteriawick_platform_standin::LargeGroup;
use wisteriawick_platform_standin::Store;
use wisteriawick_standins::address::own_address;

use crate::crowd::Crowd;
use crate::crowd::Script;
use crate::hosted_process::HostedProcess;
use crate::usage::UsageWatch;

/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 96;
/// `max_fds` of the settings.
const MAX_DESCRIPTORS: usize = 400;
const GROUP: LargeGroup = LargeGroup {
    ranks: 2,
    sets: 4,
    experts: 16,
};
/// The first message of an entry's link.
const ENTRY_HELLO: [u8; 5] = [0, 0, 0, 1, 1];
/// Time after which an agent that answers nobody counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(40);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// A running agent and what it needs.
pub(crate) struct AgentSite {
    links: SocketAddr,
    process: HostedProcess,
    usage: UsageWatch,
    _store: Store,
    _teardown: DropGuard,
}

impl AgentSite {
    pub(crate) async fn start(name: &str) -> Self {
        let teardown = CancellationToken::new();
        let store = Store::start(teardown.clone()).await.expect("loopback");
        store.write_configuration(GROUP.configuration(4_000));
        let runner = GROUP.start_first_rank(teardown.clone()).await;
        let runner = runner.expect("loopback");
        let links = own_address();
        let (ip, port) = (links.ip(), links.port());
        let store_address = store.address();
        let settings = format!(
            "node_name = \"agent\"\nip = \"{ip}\"\nzone = \"here\"\n\
             internal_ports = [{port}, {port}]\napp = \"{runner}\"\nservice = \"s\"\n\
             [limits]\nlink_mbps = 100.0\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_DESCRIPTORS}\n\
             [bounds]\nretry_budget_ratio = 0.2\nretry_budget_extra = 8\nretry_window_s = 10\n\
             grace_s = 4\n[platform]\naddress = \"{store_address}\"\n"
        );
        let process = HostedProcess::start("agent", name, &settings);
        let usage = UsageWatch::start(process.id(), vec![port]);
        let site = Self {
            links,
            process,
            usage,
            _store: store,
            _teardown: teardown.drop_guard(),
        };
        site.serves_entries().await;
        site
    }

    /// Sends a crowd twice.
    pub(crate) async fn outlives(&self, clients: usize, script: &Script) {
        for _ in 0..2 {
            let crowd = Crowd::gather(self.links, clients, script).await;
            self.serves_entries().await;
            crowd.leave().await;
            self.serves_entries().await;
        }
        let bytes = self.process.peak_kb() * 1024 + self.usage.unread_bytes();
        let descriptors = self.usage.descriptors();
        println!("{} kB at the peak, {descriptors} descriptors", bytes / 1024);
        let memory = MEMORY_MB * 1_000_000;
        assert!(bytes <= memory, "{bytes} bytes of {memory}");
        assert!(
            descriptors <= MAX_DESCRIPTORS,
            "{descriptors} descriptors of {MAX_DESCRIPTORS}"
        );
    }

    /// Waits until an entry that dials learns the position of the agent's runner.
    async fn serves_entries(&self) {
        let served = async {
            while !self.sends_position().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(HANG_TIMEOUT, served)
            .await
            .expect("the agent answers an entry");
    }

    async fn sends_position(&self) -> bool {
        let dial = async {
            let mut stream = TcpStream::connect(self.links).await?;
            stream.write_all(&ENTRY_HELLO).await?;
            stream.read_u32().await
        };
        matches!(tokio::time::timeout(ATTEMPT_TIMEOUT, dial).await, Ok(Ok(_)))
    }
}
