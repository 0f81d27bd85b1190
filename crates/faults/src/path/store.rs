//! The store: versions, conditional updates, outages.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::ReadResult;
use wisteriawick_core::ledger::Stored;
use wisteriawick_core::ledger::WriteResult;

use crate::fault::STORE_OUTAGE;
use crate::fault::STORE_SLOWNESS;

/// Time of an answer when the store is well.
const ANSWER: Duration = Duration::from_millis(5);
/// A client's patience.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(1);

/// A fake of the platform's object service.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: BTreeMap<ObjectName, (u64, Stored)>,
    last_version: u64,
    down_until: Option<Instant>,
    slow_until: Option<Instant>,
}

impl Store {
    pub(crate) fn go_down(&mut self, now: Instant) {
        self.down_until = Some(now + STORE_OUTAGE);
    }

    pub(crate) fn go_slow(&mut self, now: Instant) {
        self.slow_until = Some(now + STORE_OUTAGE);
    }

    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Returns how long an answer takes.
    pub(crate) fn delay(&self, now: Instant) -> Duration {
        match self.slow_until {
            Some(until) if now < until => STORE_SLOWNESS,
            _ => ANSWER,
        }
    }

    pub(crate) fn read(&self, name: ObjectName) -> ReadResult {
        match self.objects.get(&name) {
            Some((version, content)) => ReadResult::Found(*version, content.clone()),
            None => ReadResult::Missing,
        }
    }

    pub(crate) fn write(
        &mut self,
        name: ObjectName,
        if_version: u64,
        content: Stored,
    ) -> WriteResult {
        let held = self.objects.get(&name).map_or(0, |(version, _)| *version);
        if held != if_version {
            return WriteResult::Conflict;
        }
        self.last_version += 1;
        self.objects.insert(name, (self.last_version, content));
        WriteResult::Written(self.last_version)
    }
}
