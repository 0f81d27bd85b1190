//! Signals that tell a process to stop.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::Error;
use crate::error::Result;

/// Receives SIGTERM and SIGINT. From its creation on, neither ends the process.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Registers the handlers.
    ///
    /// # Errors
    ///
    /// Fails when the handlers cannot be registered.
    pub(crate) fn register() -> Result<Self> {
        Ok(Self {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Registers the handler of a signal.
///
/// # Errors
///
/// Fails when the handler cannot be registered.
pub(crate) fn register(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|e| Error::Other(format!("cannot install the signal handlers: {e}")))
}
