//! `ticket`: checks, submits and shows operators' change tickets.
//!
//! A ticket is a numbered TOML file that changes the configuration of the fleet. It is
//! accepted when the head object in the platform's object store includes it, and in
//! force in a process once the process uses that head.

use std::collections::VecDeque;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use wisteriawick_core::ids::TicketNumber;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::ticket::AcceptStep;
use wisteriawick_core::ticket::Head;
use wisteriawick_core::ticket::HeadError;
use wisteriawick_core::ticket::HeadWire;
use wisteriawick_core::ticket::SubmitInput;
use wisteriawick_core::ticket::SubmitOutput;
use wisteriawick_core::ticket::Ticket;
use wisteriawick_core::ticket::TicketSubmitter;
use wisteriawick_core::time::SystemClock;

use crate::command::OperatorClient;
use crate::command::print_line;
use crate::command::status::FleetStatus;
use crate::entry::HEAD_OBJECT;
use crate::error::Error;
use crate::error::Result;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::settings::PlatformSettings;

/// Most reads after a delay in one submission while the platform is unavailable.
const MAX_DELAYED_READS: u32 = 20;
/// Error message after the last of these reads.
const PLATFORM_UNAVAILABLE: &str =
    "the platform does not respond; apply the directory again, which is safe";
/// Delay before a read that follows a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads the tickets from the `.toml` files of a directory, in number order.
///
/// # Errors
///
/// Fails when a file cannot be read or is invalid, when two tickets have the same
/// number, or when the numbers from 1 on have a gap.
pub fn read_dir(dir: &Path) -> Result<Vec<Ticket>> {
    let entries = std::fs::read_dir(dir).map_err(Error::file(dir))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|ext| ext == "toml"))
        .collect();
    files.sort();
    let mut tickets = Vec::with_capacity(files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).map_err(Error::file(&file))?;
        tickets.push(Ticket::parse(&file.display().to_string(), &text)?);
    }
    tickets.sort_by_key(|ticket| ticket.number);
    check_numbers(&tickets)?;
    Ok(tickets)
}

/// Checks that the numbers of the sorted tickets are 1, 2, 3 and so on.
fn check_numbers(tickets: &[Ticket]) -> Result<()> {
    let mut expected = TicketNumber(1);
    for ticket in tickets {
        if ticket.number < expected {
            return Err(Error::Other(format!(
                "two files have ticket number {}; keep one file for each number",
                ticket.number
            )));
        }
        if ticket.number != expected {
            return Err(Error::Head(HeadError::Gap {
                ticket: ticket.number,
                missing: expected,
            }));
        }
        expected = expected.next();
    }
    Ok(())
}

/// Checks the tickets of a directory by applying them to an empty configuration. Needs
/// no running process.
///
/// # Errors
///
/// Fails as [`read_dir`] does, and when a ticket cannot be applied to the configuration
/// after the one before it, such as for a reference to an undeclared object.
pub fn check(dir: &Path) -> Result<()> {
    let tickets = read_dir(dir)?;
    let mut head = Head::empty();
    for ticket in &tickets {
        if let AcceptStep::Write(next) = head.accept(ticket, "check")? {
            head = next;
        }
    }
    print_line(format_args!("all {} tickets are valid", tickets.len()));
    Ok(())
}

/// Submits the tickets of a directory that are not accepted yet, in number order.
///
/// Running it again, or by two operators at the same time, accepts each ticket once.
///
/// # Errors
///
/// Fails at the first ticket that is not accepted; those before it stay accepted.
pub async fn apply(dir: &Path, platform: &PlatformClient, operator: &str) -> Result<()> {
    let tickets = read_dir(dir)?;
    let (_, head) = read_head(platform).await?;
    head.check_history(&tickets)?;
    let total = tickets.len();
    let pending = tickets.into_iter().filter(|t| t.number > head.number);
    let accepted = submit(platform, pending, operator).await?;
    for number in &accepted {
        print_line(format_args!("ticket {number} accepted"));
    }
    print_line(format_args!(
        "{total} tickets, {} newly accepted",
        accepted.len()
    ));
    Ok(())
}

/// Submits tickets in the name of an operator. Returns the numbers of those that this
/// call wrote to the head, without those that were accepted before.
///
/// # Errors
///
/// Fails when a ticket is refused or the platform stays unavailable.
pub async fn submit(
    platform: &PlatformClient,
    tickets: impl IntoIterator<Item = Ticket>,
    operator: &str,
) -> Result<Vec<TicketNumber>> {
    let mut submitter = TicketSubmitter::new(operator, tickets);
    let mut inputs = VecDeque::from([SubmitInput::Start]);
    let mut accepted = Vec::new();
    let mut delayed_reads = 0;
    while let Some(input) = inputs.pop_front() {
        let mut out = Vec::new();
        submitter.handle(input, &mut out);
        for output in out {
            match output {
                SubmitOutput::Read => inputs.push_back(read_for_submitter(platform).await?),
                SubmitOutput::ReadAfterDelay => {
                    delayed_reads += 1;
                    if delayed_reads > MAX_DELAYED_READS {
                        return Err(Error::Other(PLATFORM_UNAVAILABLE.into()));
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                    inputs.push_back(read_for_submitter(platform).await?);
                }
                SubmitOutput::Write(version, head) => {
                    inputs.push_back(write_for_submitter(platform, version, &head).await?);
                }
                SubmitOutput::Accepted(number, true) => accepted.push(number),
                SubmitOutput::Accepted(_, false) | SubmitOutput::Done => {}
                SubmitOutput::Refused(e) => return Err(e.into()),
            }
        }
    }
    Ok(accepted)
}

async fn read_for_submitter(platform: &PlatformClient) -> Result<SubmitInput> {
    match read_head(platform).await {
        Ok((version, head)) => Ok(SubmitInput::Read(version, head)),
        Err(Error::Platform(PlatformError::Unavailable(_))) => Ok(SubmitInput::ReadFailed),
        Err(e) => Err(e),
    }
}

async fn write_for_submitter(
    platform: &PlatformClient,
    version: u64,
    head: &Head,
) -> Result<SubmitInput> {
    let wire = HeadWire::from(head);
    let result = match platform.write(HEAD_OBJECT, version, &wire).await {
        Ok(version) => WriteResult::Written(version),
        Err(PlatformError::Conflict { .. }) => WriteResult::Conflict,
        Err(PlatformError::UnknownOutcome(_) | PlatformError::Unavailable(_)) => {
            WriteResult::Unknown
        }
        Err(e) => return Err(e.into()),
    };
    Ok(SubmitInput::Written(result))
}

/// Returns the version and content of the head object; version 0 and an empty head when
/// it does not exist.
async fn read_head(platform: &PlatformClient) -> Result<(u64, Head)> {
    match platform.read::<HeadWire>(HEAD_OBJECT).await? {
        None => Ok((0, Head::empty())),
        Some(object) => {
            let head = Head::try_from(object.value).map_err(PlatformError::Malformed)?;
            Ok((object.version, head))
        }
    }
}

/// Compares a directory with the accepted tickets, prints the difference and returns
/// whether they agree.
///
/// # Errors
///
/// Fails when the directory or the head cannot be read.
pub async fn diff(dir: &Path, platform: &PlatformClient) -> Result<bool> {
    let tickets = read_dir(dir)?;
    let (_, head) = read_head(platform).await?;
    if let Err(e) = head.check_history(&tickets) {
        print_line(format_args!("{e}"));
        return Ok(false);
    }
    let last = tickets.last().map_or(TicketNumber(0), |t| t.number);
    if head.number > last {
        print_line(format_args!(
            "tickets up to {} are accepted, but the directory ends at {last}; update the directory",
            head.number
        ));
        return Ok(false);
    }
    for ticket in tickets.iter().filter(|t| t.number > head.number) {
        print_line(format_args!(
            "ticket {} is not accepted: {}",
            ticket.number, ticket.title
        ));
    }
    if head.number == last {
        print_line(format_args!(
            "the directory agrees with the accepted tickets, up to ticket {last}"
        ));
    }
    Ok(head.number == last)
}

/// Prints the configuration in force at an entry.
///
/// # Errors
///
/// Fails when the entry does not respond.
pub async fn show(client: &OperatorClient, json: bool) -> Result<()> {
    let body = client.get_bytes("/config").await?;
    if body.is_empty() {
        print_line(format_args!("no ticket is in force"));
        return Ok(());
    }
    if json {
        print_line(format_args!("{}", String::from_utf8_lossy(&body)));
        return Ok(());
    }
    let head = serde_json::from_slice::<HeadWire>(&body)
        .map_err(|e| e.to_string())
        .and_then(Head::try_from)
        .map_err(Error::Other)?;
    print_head(&head);
    Ok(())
}

fn print_head(head: &Head) {
    print_line(format_args!("ticket {} is in force", head.number));
    for recent in head.recent.iter().rev().take(5) {
        print_line(format_args!(
            "  {} by {}: {}",
            recent.number, recent.submitter, recent.title
        ));
    }
    for (id, place) in &head.fleet.places {
        print_line(format_args!("place {id} in {}", place.region));
    }
    for (id, service) in &head.fleet.services {
        print_line(format_args!(
            "service {id}: {:?}, at most {} in flight per runner, {} queued per entry",
            service.kind, service.max_in_flight, service.max_queue
        ));
    }
    for (id, workspace) in &head.fleet.workspaces {
        print_line(format_args!(
            "workspace {id}: weight {}, priority {}, {} keys",
            workspace.weight,
            workspace.priority,
            workspace.key_hashes.len()
        ));
    }
    for (id, group) in &head.fleet.groups {
        print_line(format_args!(
            "group {id}: {} ranks, {} experts, {} layers, skew weight {}, move cost {}",
            group.ranks(),
            group.experts,
            group.layers,
            group.skew_weight,
            group.move_cost
        ));
    }
}

/// Prints in which processes a ticket is not in force yet. Returns whether it is in
/// force in all processes.
///
/// # Errors
///
/// Fails when the entry does not respond.
pub async fn status(client: &OperatorClient, number: u64, json: bool) -> Result<bool> {
    let status: FleetStatus = client.get("/status").await?;
    let total = status.peers.len() + 1;
    let behind = status.behind(number);
    if json {
        let names: Vec<&str> = behind.iter().map(|(name, _)| *name).collect();
        let line = serde_json::json!({
            "ticket": number,
            "processes": total,
            "in_force": total - behind.len(),
            "behind": names,
        });
        print_line(format_args!("{line}"));
        return Ok(behind.is_empty());
    }
    print_line(format_args!(
        "ticket {number} is in force in {} of {total} processes",
        total - behind.len()
    ));
    for (name, in_force) in &behind {
        match in_force {
            Some(in_force) => print_line(format_args!("  {name} has ticket {in_force}")),
            None => print_line(format_args!("  {name} does not respond")),
        }
    }
    Ok(behind.is_empty())
}

/// Returns a client of the platform's object service for use by a command.
pub fn platform_client(address: std::net::SocketAddr) -> PlatformClient {
    let settings = PlatformSettings {
        address,
        timeout: Duration::from_secs(2),
        max_calls_per_s: 100,
        list_interval: Duration::from_secs(2),
    };
    PlatformClient::new(&settings, Arc::new(SystemClock))
}
