//! `ticket`: operators' change tickets.

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

/// Pauses for the platform before the operator is asked to call again.
const MAX_PAUSES: u32 = 20;
/// What the operator is told then.
const NO_ANSWER: &str = "the platform does not answer; apply the directory again, which is safe";
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reads the tickets of a directory, in number order.
///
/// # Errors
///
/// Names the file and line that is wrong, a number that stands twice, and a
/// number that is missing.
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

fn check_numbers(tickets: &[Ticket]) -> Result<()> {
    let mut expected = TicketNumber(1);
    for ticket in tickets {
        if ticket.number < expected {
            return Err(Error::Other(format!(
                "ticket {} stands twice; keep one file for each number",
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

/// Checks a directory without any process running.
///
/// # Errors
///
/// As for [`read_dir`]; also when a reference dangles after some ticket.
pub fn check(dir: &Path) -> Result<()> {
    let tickets = read_dir(dir)?;
    let mut head = Head::empty();
    for ticket in &tickets {
        if let AcceptStep::Write(next) = head.accept(ticket, "check")? {
            head = next;
        }
    }
    print_line(format_args!("{} tickets are in order", tickets.len()));
    Ok(())
}

/// Has the tickets of a directory accepted, in number order.
///
/// Running it again, or from two desks at once, changes nothing that is
/// accepted.
///
/// # Errors
///
/// Stops at the first ticket that is not accepted and says why.
pub async fn apply(dir: &Path, platform: &PlatformClient, by: &str) -> Result<()> {
    let tickets = read_dir(dir)?;
    let (_, head) = read_head(platform).await?;
    head.check_history(&tickets)?;
    let total = tickets.len();
    let open = tickets.into_iter().filter(|t| t.number > head.number);
    let accepted = submit(platform, open, by).await?;
    for number in &accepted {
        print_line(format_args!("ticket {number} accepted"));
    }
    print_line(format_args!(
        "{total} tickets, {} accepted now",
        accepted.len()
    ));
    Ok(())
}

/// Has tickets accepted; returns the numbers of those that this call wrote.
///
/// # Errors
///
/// Fails when a ticket is refused, or the platform does not answer for long.
pub async fn submit(
    platform: &PlatformClient,
    tickets: impl IntoIterator<Item = Ticket>,
    by: &str,
) -> Result<Vec<TicketNumber>> {
    let mut desk = TicketSubmitter::new(by, tickets);
    let mut inputs = VecDeque::from([SubmitInput::Start]);
    let mut accepted = Vec::new();
    let mut pauses = 0;
    while let Some(input) = inputs.pop_front() {
        let mut out = Vec::new();
        desk.handle(input, &mut out);
        for output in out {
            match output {
                SubmitOutput::Read => inputs.push_back(read_for_desk(platform).await?),
                SubmitOutput::ReadAfterDelay => {
                    pauses += 1;
                    if pauses > MAX_PAUSES {
                        return Err(Error::Other(NO_ANSWER.into()));
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                    inputs.push_back(read_for_desk(platform).await?);
                }
                SubmitOutput::Write(version, head) => {
                    inputs.push_back(write_for_desk(platform, version, &head).await?);
                }
                SubmitOutput::Accepted(number, true) => accepted.push(number),
                SubmitOutput::Accepted(_, false) | SubmitOutput::Done => {}
                SubmitOutput::Refused(e) => return Err(e.into()),
            }
        }
    }
    Ok(accepted)
}

async fn read_for_desk(platform: &PlatformClient) -> Result<SubmitInput> {
    match read_head(platform).await {
        Ok((version, head)) => Ok(SubmitInput::Read(version, head)),
        Err(Error::Platform(PlatformError::Unavailable(_))) => Ok(SubmitInput::ReadFailed),
        Err(e) => Err(e),
    }
}

async fn write_for_desk(
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

async fn read_head(platform: &PlatformClient) -> Result<(u64, Head)> {
    match platform.read::<HeadWire>(HEAD_OBJECT).await? {
        None => Ok((0, Head::empty())),
        Some(object) => {
            let head = Head::try_from(object.value).map_err(PlatformError::Malformed)?;
            Ok((object.version, head))
        }
    }
}

/// Compares a directory with what is accepted; returns whether they agree.
///
/// # Errors
///
/// Fails when the directory or the platform cannot be read.
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
            "accepted up to {}, the directory ends at {last}; bring it up to date",
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
            "the directory is what is accepted, up to ticket {last}"
        ));
    }
    Ok(head.number == last)
}

/// Prints what is in force at an entry.
///
/// # Errors
///
/// Fails when the entry does not answer.
pub async fn show(access: &OperatorClient, json: bool) -> Result<()> {
    let body = access.get_bytes("/config").await?;
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
            "service {id}: {:?}, {} in flight a runner, {} queued an entry",
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

/// Prints where a ticket is in force; returns whether it is everywhere.
///
/// # Errors
///
/// Fails when the entry does not answer.
pub async fn status(access: &OperatorClient, number: u64, json: bool) -> Result<bool> {
    let status: FleetStatus = access.get("/status").await?;
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
    for (name, held) in &behind {
        match held {
            Some(held) => print_line(format_args!("  {name} has ticket {held}")),
            None => print_line(format_args!("  {name} does not answer")),
        }
    }
    Ok(behind.is_empty())
}

/// Returns a platform client for a command.
pub fn platform_client(address: std::net::SocketAddr) -> PlatformClient {
    let settings = PlatformSettings {
        address,
        timeout: Duration::from_secs(2),
        max_calls_per_s: 100,
        list_interval: Duration::from_secs(2),
    };
    PlatformClient::new(&settings, Arc::new(SystemClock))
}
