//! Binds the addresses that a hosted process listens on.
//!
//! An address may be taken for a moment, by a predecessor or an outgoing connection, or not
//! be on the machine yet. The process waits for it. What no waiting mends is an error.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio_util::sync::CancellationToken;

use crate::error::Error;
use crate::error::Result;
use crate::eventlog::EventCategory;
use crate::eventlog::EventLog;
use crate::telemetry;

/// Length of the accept queue. A full queue delays callers by seconds.
const BACKLOG: u32 = 1024;
/// Delay before an address is tried again; doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An address to listen on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenAddress {
    /// Who connects there, for log lines and metrics.
    pub(crate) purpose: &'static str,
    pub(crate) address: SocketAddr,
}

impl ListenAddress {
    /// Binds the address once.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or does not belong to this machine.
    pub(crate) fn bind(self) -> Result<TcpListener> {
        self.try_bind().map_err(|e| self.error(&e))
    }

    /// Binds the address as soon as it is free and on this machine; returns `None` if `stop`
    /// is cancelled before.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound however long the process waits.
    pub(crate) async fn bind_when_free(
        self,
        log: &EventLog,
        stop: &CancellationToken,
    ) -> Result<Option<TcpListener>> {
        tokio::select! {
            bound = self.wait(log, is_temporary) => bound.map(Some),
            () = stop.cancelled() => Ok(None),
        }
    }

    /// Binds the address as soon as that is possible, whatever prevents it.
    pub(crate) async fn bind_eventually(self, log: &EventLog) -> Result<TcpListener> {
        self.wait(log, |_| true).await
    }

    async fn wait(
        self,
        log: &EventLog,
        is_worth_waiting: impl Fn(&io::Error) -> bool,
    ) -> Result<TcpListener> {
        let begun = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        let mut logged: Option<String> = None;
        loop {
            let e = match self.try_bind() {
                Ok(listener) => {
                    if logged.is_some() {
                        let waited_ms = begun.elapsed().as_millis() as u64;
                        self.log(log, EventCategory::State, "address_bound", json!(waited_ms));
                    }
                    return Ok(listener);
                }
                Err(e) if is_worth_waiting(&e) => e,
                Err(e) => return Err(self.error(&e)),
            };
            counter!(telemetry::BIND_FAILURES, "for" => self.purpose).increment(1);
            let reason = e.to_string();
            if logged.as_ref() != Some(&reason) {
                self.log(
                    log,
                    EventCategory::Failure,
                    "address_not_free",
                    json!(reason),
                );
                logged = Some(reason);
            }
            tokio::time::sleep(delay).await;
            delay = MAX_RETRY_DELAY.min(delay * 2);
        }
    }

    fn try_bind(self) -> io::Result<TcpListener> {
        let socket = match self.address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(BACKLOG)
    }

    fn error(self, e: &io::Error) -> Error {
        Error::Listen {
            address: self.address.to_string(),
            message: e.to_string(),
        }
    }

    fn log(self, log: &EventLog, category: EventCategory, event: &str, detail: serde_json::Value) {
        let detail_name = match category {
            EventCategory::Failure => "reason",
            EventCategory::State | EventCategory::Routine => "waited_ms",
        };
        let mut fields = json!({"for": self.purpose, "address": self.address.to_string()});
        fields[detail_name] = detail;
        log.line(category, event, fields);
    }
}

/// Returns whether an address that could not be bound may be bound later.
fn is_temporary(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::AddrInUse
            | io::ErrorKind::AddrNotAvailable
            | io::ErrorKind::Interrupted
            | io::ErrorKind::NetworkDown
            | io::ErrorKind::OutOfMemory
    ) || is_out_of_descriptors(e)
}

/// Returns whether the process or the machine has no descriptor left.
fn is_out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}
