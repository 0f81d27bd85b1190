//! Graceful shutdown of agents and entries: running responses are completed, and a
//! process that is leaving gets no new requests.

mod support;

use futures_util::future::join_all;
use support::Fixture;
use support::assert_complete;
use support::eventually;
use support::small_fleet;
use support::stream;
use support::with_timeout;
use tokio_util::sync::CancellationToken;
use wisteriawick_standins::relay::Relay;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_agent_that_shuts_down_under_load_completes_every_response() {
    let fixture = Fixture::start(small_fleet()).await;
    let agent = fixture.fleet.runners["llm-1"].agent.clone();
    let streams = (0..60).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("load {index}");
            let response = fixture.stream(index % 2, &prompt, 60).await;
            assert_complete(&response, &prompt, 60);
        }
    });
    with_timeout(async { tokio::join!(join_all(streams), agent.shut_down()) }).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_that_shuts_down_under_load_completes_every_response() {
    let fixture = Fixture::start(small_fleet()).await;
    let leaving = fixture.fleet.entries[0].clone();
    let streams = join_all((0..40).map(|index| {
        let http = fixture.http.clone();
        let entry = fixture.entry(0);
        async move {
            let prompt = format!("draft {index}");
            let response = stream(&http, entry, &prompt, 80).await;
            assert_complete(&response, &prompt, 80);
        }
    }));
    let shut_down = async {
        support::eventually(|| fixture.engines().iter().any(|e| e.requests() > 0)).await;
        leaving.shut_down().await;
    };
    with_timeout(async { tokio::join!(streams, shut_down) }).await;
    let ready = fixture.http.get(fixture.entry(1), "/readyz").await;
    assert_eq!(ready.status, 200);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_runner_gets_no_new_requests_while_it_is_still_listed_as_live() {
    let fixture = Fixture::start(small_fleet()).await;
    let agent = fixture.fleet.runners["llm-2"].agent.clone();
    // The platform's list still shows the runner as live, so the entries learn only from
    // the agent's heartbeats that it is leaving.
    let running = fixture.stream(0, "hold the runners", 50);
    let shut_down = async {
        agent.shut_down().await;
    };
    let (response, ()) = with_timeout(async { tokio::join!(running, shut_down) }).await;
    assert_complete(&response, "hold the runners", 50);
    for entry in &fixture.fleet.entries {
        with_timeout(entry.wait_for_leaving(&agent.node.name)).await;
    }
    let before = fixture.engine("llm-2").requests();
    for index in 0..50 {
        let prompt = format!("after {index}");
        let response = fixture.stream(index % 2, &prompt, 2).await;
        assert_complete(&response, &prompt, 2);
    }
    assert_eq!(fixture.engine("llm-2").requests(), before);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_on_a_link_that_is_replaced_continue_on_it() {
    let mut spec = small_fleet();
    spec.services[0].runners = 1;
    let mut fixture = Fixture::start(spec).await;
    let agent = fixture.fleet.runners["llm-1"].agent.clone();
    let relay = Relay::start(agent.link_address, CancellationToken::new())
        .await
        .expect("a relay");
    let streams = join_all((0..20).map(|index| {
        let http = fixture.http.clone();
        let entry = fixture.entry(index % 2);
        async move {
            let prompt = format!("moved {index}");
            let response = stream(&http, entry, &prompt, 400).await;
            assert_complete(&response, &prompt, 400);
        }
    }));
    let engine = fixture.engine("llm-1");
    let move_link = async {
        eventually(|| engine.requests() == 20).await;
        fixture.fleet.set_instance_address("llm-1", relay.addr());
    };
    with_timeout(async { tokio::join!(streams, move_link) }).await;
    assert_eq!(engine.requests(), 20, "no stream had to be resumed");
    fixture.stop();
}
