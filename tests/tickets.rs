//! Tickets over sockets: concurrent submitters, lost responses, outages of the platform,
//! and changes of the configuration without a restart.

mod support;

use std::path::Path;

use futures_util::future::join_all;
use support::Fixture;
use support::assert_complete;
use support::eventually;
use support::small_fleet;
use support::stream;
use wisteriawick::command::ticket;

/// Writes a ticket that sets the queue limit of the model service.
fn write_ticket(dir: &Path, number: u64, max_queue: u32) {
    let text = format!(
        "number = {number}\ntitle = \"queue {max_queue}\"\n\n[service.llm]\nkind = \"model\"\n\
         max_in_flight = 100\nmax_queue = {max_queue}\n"
    );
    let file = dir.join(format!("{number:04}.toml"));
    std::fs::write(file, text).expect("the ticket is written");
}

/// Copies a directory to a new one and returns its path.
fn copy_dir(from: &Path) -> std::path::PathBuf {
    let to = support::fresh_dir();
    std::fs::create_dir_all(&to).expect("a directory");
    for entry in std::fs::read_dir(from).expect("a directory") {
        let path = entry.expect("an entry").path();
        std::fs::copy(&path, to.join(path.file_name().expect("a name"))).expect("a copy");
    }
    to
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tickets_applied_by_two_submitters_and_again_are_accepted_once() {
    let fixture = Fixture::start(small_fleet()).await;
    let dir = fixture.fleet.ticket_dir();
    for number in 2..=6 {
        write_ticket(&dir, number, 100 + number as u32);
    }
    let client = ticket::platform_client(fixture.fleet.platform.addr());
    let (a, b) = tokio::join!(
        ticket::apply(&dir, &client, "submitter-1"),
        ticket::apply(&dir, &client, "submitter-2")
    );
    a.expect("accepted");
    b.expect("accepted");
    ticket::apply(&dir, &client, "submitter-1")
        .await
        .expect("again");
    fixture.fleet.wait_until_in_force(6).await;
    let fleet = fixture.fleet.entries[1].node.config.fleet();
    assert_eq!(fleet.services[&"llm".into()].max_queue, 106);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_two_submitters_with_the_same_number_one_is_refused() {
    let fixture = Fixture::start(small_fleet()).await;
    let dir = fixture.fleet.ticket_dir();
    let other = copy_dir(&dir);
    write_ticket(&dir, 2, 111);
    write_ticket(&other, 2, 222);
    let client = ticket::platform_client(fixture.fleet.platform.addr());
    let (a, b) = tokio::join!(
        ticket::apply(&dir, &client, "submitter-1"),
        ticket::apply(&other, &client, "submitter-2")
    );
    let refused = match (a, b) {
        (Ok(()), Err(e)) | (Err(e), Ok(())) => e.to_string(),
        other => panic!("not exactly one submitter was refused: {other:?}"),
    };
    assert!(refused.contains("next free number"), "{refused}");
    std::fs::remove_dir_all(other).expect("removed");
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_ticket_with_a_lost_response_is_recognized_by_its_content() {
    let fixture = Fixture::start(small_fleet()).await;
    let dir = fixture.fleet.ticket_dir();
    write_ticket(&dir, 2, 123);
    fixture
        .fleet
        .platform
        .set_faults(|faults| faults.lost_write_responses = 1);
    let client = ticket::platform_client(fixture.fleet.platform.addr());
    ticket::apply(&dir, &client, "submitter-1")
        .await
        .expect("accepted");
    fixture.fleet.wait_until_in_force(2).await;
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_new_entry_learns_the_head_from_peers_while_the_platform_is_down() {
    let mut fixture = Fixture::start(small_fleet()).await;
    fixture
        .fleet
        .add_entry("entry-3", "p1")
        .await
        .expect("an entry");
    fixture.fleet.publish_instances();
    fixture.fleet.wait_until_in_force(1).await;
    fixture
        .fleet
        .platform
        .set_faults(|faults| faults.down = true);
    let entry = fixture.fleet.entries.len() - 1;
    let response = fixture
        .stream(entry, "served without the platform", 5)
        .await;
    assert_complete(&response, "served without the platform", 5);
    fixture.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limit_changes_without_a_restart_while_a_stream_completes() {
    let fixture = Fixture::start(small_fleet()).await;
    let dir = fixture.fleet.ticket_dir();
    write_ticket(&dir, 2, 77);
    let client = ticket::platform_client(fixture.fleet.platform.addr());
    let change = async {
        ticket::apply(&dir, &client, "submitter-1")
            .await
            .expect("accepted");
        fixture.fleet.wait_until_in_force(2).await;
    };
    let (response, ()) = tokio::join!(fixture.stream(0, "in progress", 200), change);
    assert_complete(&response, "in progress", 200);
    let fleet = fixture.fleet.entries[0].node.config.fleet();
    assert_eq!(fleet.services[&"llm".into()].max_queue, 77);
    fixture.stop();
}

#[test]
fn a_gap_in_the_ticket_directory_is_reported_with_the_missing_number() {
    let dir = support::fresh_dir();
    std::fs::create_dir_all(&dir).expect("a directory");
    write_ticket(&dir, 1, 5);
    write_ticket(&dir, 3, 5);
    let error = ticket::check(&dir).expect_err("a gap").to_string();
    assert!(error.contains("ticket 2 is missing"), "{error}");
    std::fs::remove_dir_all(dir).expect("removed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tickets_that_lower_limits_and_remove_objects_let_running_requests_finish() {
    let fixture = Fixture::start(small_fleet()).await;
    let streams = join_all((0..30).map(|index| {
        let http = fixture.http.clone();
        let entry = fixture.entry(index % 2);
        async move {
            let prompt = format!("kept {index}");
            let response = stream(&http, entry, &prompt, 600).await;
            assert_complete(&response, &prompt, 600);
        }
    }));
    let dir = fixture.fleet.ticket_dir();
    let lower = "number = 2\ntitle = \"lower\"\n\n[service.llm]\nkind = \"model\"\n\
                 max_in_flight = 1\nmax_queue = 1\n";
    let remove = "number = 3\ntitle = \"remove\"\n\n[[remove]]\nkind = \"workspace\"\n\
                  name = \"alpha\"\n\n[[remove]]\nkind = \"workspace\"\nname = \"beta\"\n\n\
                  [[remove]]\nkind = \"service\"\nname = \"llm\"\n";
    std::fs::write(dir.join("0002.toml"), lower).expect("the ticket is written");
    std::fs::write(dir.join("0003.toml"), remove).expect("the ticket is written");
    let client = ticket::platform_client(fixture.fleet.platform.addr());
    let apply = async {
        let engines = fixture.engines();
        eventually(|| engines.iter().map(|e| e.requests()).sum::<u64>() == 30).await;
        ticket::apply(&dir, &client, "submitter-1")
            .await
            .expect("accepted");
        fixture.fleet.wait_until_in_force(3).await;
    };
    tokio::join!(streams, apply);
    let engines = fixture.engines();
    let runs = engines.iter().map(|e| e.requests()).sum::<u64>();
    assert_eq!(runs, 30, "no stream had to be resumed");
    let refused = fixture.stream(0, "too late", 2).await;
    assert!(refused.is_err());
    fixture.stop();
}
