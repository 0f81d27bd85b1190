//! Graceful shutdown and leaving: nothing is cut off, no new work arrives.

mod support;

use futures_util::future::join_all;
use support::Fixture;
use support::assert_whole;
use support::small_sizes;
use support::stream;
use support::within;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_agent_that_shuts_down_under_load_cuts_nothing_off() {
    let fixture = Fixture::start(small_sizes()).await;
    let agent = fixture.fleet.runners["llm-1"].agent.clone();
    let load = (0..60).map(|index| {
        let fixture = &fixture;
        async move {
            let prompt = format!("load {index}");
            let answer = fixture.stream(index % 2, &prompt, 60).await;
            assert_whole(&answer, &prompt, 60);
        }
    });
    within(async { tokio::join!(join_all(load), agent.shut_down()) }).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_that_shuts_down_under_load_cuts_nothing_off() {
    let fixture = Fixture::start(small_sizes()).await;
    let leaving = fixture.fleet.entries[0].clone();
    let started = join_all((0..40).map(|index| {
        let http = fixture.http.clone();
        let entry = fixture.entry(0);
        async move {
            let prompt = format!("draft {index}");
            let answer = stream(&http, entry, &prompt, 80).await;
            assert_whole(&answer, &prompt, 80);
        }
    }));
    let shut_down = async {
        support::eventually(|| fixture.engines().iter().any(|e| e.requests() > 0)).await;
        leaving.shut_down().await;
    };
    within(async { tokio::join!(started, shut_down) }).await;
    let ready = fixture.http.get(fixture.entry(1), "/readyz").await;
    assert_eq!(ready.status, 200);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_runner_gets_no_new_work_although_the_list_lags() {
    let fixture = Fixture::start(small_sizes()).await;
    let agent = fixture.fleet.runners["llm-2"].agent.clone();
    // The platform's list goes on showing the runner as live.
    let hold = fixture.stream(0, "hold the runners", 50);
    let leave = async {
        agent.shut_down().await;
    };
    let (answer, ()) = within(async { tokio::join!(hold, leave) }).await;
    assert_whole(&answer, "hold the runners", 50);
    for entry in &fixture.fleet.entries {
        within(entry.wait_for_leaving(&agent.node.name)).await;
    }
    let before = fixture.engine("llm-2").requests();
    for index in 0..50 {
        let prompt = format!("after {index}");
        let answer = fixture.stream(index % 2, &prompt, 2).await;
        assert_whole(&answer, &prompt, 2);
    }
    assert_eq!(fixture.engine("llm-2").requests(), before);
    fixture.stop();
}
