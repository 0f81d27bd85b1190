//! The runners that the store lists, with a grace period after store outages.
//!
//! A runner's record in the store expires unless the runner renews it, and it
//! cannot renew it during a store outage. Records that expired in an outage are
//! therefore kept for a grace period, in which live runners register again.
//! Without an outage a removed record means that the runner is gone.
//!
//! A store that was restored from a copy lacks records that were written after the
//! copy was taken, and lists runners that have left since. The former are kept for
//! the grace period too. The latter are withheld: they get no new requests until
//! they show that they are alive.
//!
//! A runner that crashed stays listed until it has been silent for some time, often under
//! another identifier than the one that has started at its address since. Only the one that
//! started last may be there, so the others get no new requests. Other systems may list the
//! same addresses under services that no declaration names; their records say nothing about
//! our runners.
//!
//! A runner may also say itself that it is leaving, before the store does or while the
//! store is away. It is withheld until it starts again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::collections::HashMap;
use crate::gateway::RunnerStart;
use crate::hosting::Era;
use crate::hosting::ListedRunner;
use crate::hosting::ListedState;
use crate::ids::RunnerId;
use crate::ids::ServiceId;

/// How long expired records are kept once the store responds again. Live
/// runners register again within about two seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Shortest store outage in which records of live runners may have expired.
/// Runners send a heartbeat about every second.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// How long a removed runner is remembered. A copy is some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(600);
/// Interval at which the runners are listed while some are withheld. A heartbeat
/// alone is no change that a watch reports, but a listing may show its number.
const RELIST_INTERVAL: Duration = Duration::from_millis(2_500);
/// Maximum number of such listings after a restore.
const MAX_RELISTS: u32 = 3;

/// The runners that are considered registered.
#[derive(Debug, Default)]
pub struct RunnerRegistry {
    records: BTreeMap<RunnerId, Record>,
    /// Runners whose records were removed.
    removed: BTreeMap<RunnerId, RemovedRunner>,
    /// Era of the last listing.
    era: Option<Era>,
    /// Whether the store was restored since the first listing.
    was_restored: bool,
    /// When the store last responded.
    last_response: Option<Instant>,
    /// When the store last responded before the current outage; `None` if it is
    /// reachable.
    unreachable_since: Option<Instant>,
    /// Until when expired records are kept after an outage.
    grace_until: Option<Instant>,
    /// When the runners are listed again if some are withheld then.
    relist_at: Option<Instant>,
    relists_left: u32,
}

/// A runner whose record was removed.
#[derive(Debug)]
struct RemovedRunner {
    /// Its last record.
    last: ListedRunner,
    /// When the record was removed.
    at: Instant,
    /// Whether the runner itself had said that it was leaving.
    is_announced: bool,
}

#[derive(Debug)]
struct Record {
    runner: ListedRunner,
    /// Whether the store no longer lists the runner.
    is_expired: bool,
    withheld: Option<Withheld>,
}

/// Why a runner that the store lists as ready gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Withheld {
    /// It said itself that it is leaving.
    Announced,
    /// The store that was restored lists it as ready, but it was leaving, and a runner
    /// that leaves does not return before it restarts.
    Leaving,
    /// The store was restored and lists it, but its record was removed, or was replaced
    /// by that of a later start. It has to write again.
    Removed,
}

impl RunnerRegistry {
    /// Records that the store did not respond.
    pub fn store_unreachable(&mut self, now: Instant) {
        self.unreachable_since
            .get_or_insert(self.last_response.unwrap_or(now));
    }

    /// Records that the store responded. Call this before applying the content
    /// of the response.
    pub fn store_responded(&mut self, now: Instant) {
        if let Some(since) = self.unreachable_since.take()
            && now.saturating_duration_since(since) >= MIN_OUTAGE
        {
            self.grace_until = Some(now + EXPIRY_GRACE);
        }
        self.last_response = Some(now);
    }

    /// Replaces all records with a complete listing of the store. The first listing
    /// of a newer era is of a restored store.
    pub fn replace_all(&mut self, now: Instant, era: Era, runners: Vec<ListedRunner>) {
        for record in self.records.values_mut() {
            record.is_expired = true;
        }
        self.replace_part(now, era, runners);
        if !self.is_in_grace(now) {
            self.drop_expired(now);
        }
    }

    /// Replaces the records of the runners in an incomplete listing. The others keep theirs,
    /// since the store may list them all the same.
    pub fn replace_part(&mut self, now: Instant, era: Era, runners: Vec<ListedRunner>) {
        let is_restored = self.era.is_some_and(|known| era > known);
        self.era = Some(era);
        if is_restored {
            self.was_restored = true;
            self.grace_until = Some(now + EXPIRY_GRACE);
            self.relist_at = Some(now + RELIST_INTERVAL);
            self.relists_left = MAX_RELISTS;
        }
        for runner in runners {
            match is_restored {
                true => self.restore(runner),
                false => self.observe(runner),
            }
        }
    }

    /// Sets a runner's record as it was written in this era. Returns whether the
    /// runner is new, its address, state or start time changed, or it turned cold or warm.
    pub fn update(&mut self, runner: ListedRunner) -> bool {
        let id = runner.id.clone();
        let removed = self.removed.remove(&id);
        let previous = self.records.get(&id);
        let is_same_start = |other: &ListedRunner| other.started_unix_ms == runner.started_unix_ms;
        let withheld = match removed {
            Some(removed) if removed.is_announced && is_same_start(&removed.last) => {
                Some(Withheld::Announced)
            }
            _ => previous
                .filter(|previous| is_same_start(&previous.runner))
                .and_then(|previous| previous.withheld),
        };
        let withheld = withheld
            .filter(|withheld| matches!(withheld, Withheld::Announced | Withheld::Leaving))
            .filter(|_| runner.state == ListedState::Ready);
        let visible_state =
            |runner: &ListedRunner| (runner.address, runner.state, runner.started_unix_ms);
        let is_changed = previous.is_none_or(|previous| {
            previous.is_expired
                || previous.withheld != withheld
                || has_turned(&previous.runner, &runner)
                || visible_state(&previous.runner) != visible_state(&runner)
        });
        let record = Record {
            runner,
            is_expired: false,
            withheld,
        };
        self.records.insert(id, record);
        is_changed
    }

    /// Returns the last known start of a runner; `None` if the runner is not known.
    pub fn last_start(&self, id: &RunnerId) -> Option<RunnerStart> {
        self.records.get(id).map(|known| (&known.runner).into())
    }

    /// Returns the last known starts of all runners.
    pub fn last_starts(&self) -> Vec<RunnerStart> {
        self.all().map(RunnerStart::from).collect()
    }

    /// Records that a runner said itself that it is leaving, while `said` was its record.
    /// Returns whether that is news. Another start of it is not concerned.
    pub fn announce_leaving(&mut self, said: &ListedRunner) -> bool {
        let is_same_start = |record: &&mut Record| {
            let known = &record.runner;
            known.started_unix_ms == said.started_unix_ms && known.address == said.address
        };
        let Some(record) = self.records.get_mut(&said.id).filter(is_same_start) else {
            return false;
        };
        let is_news = record.effective().state == ListedState::Ready;
        if record.runner.state == ListedState::Ready {
            record.withheld = Some(Withheld::Announced);
        }
        is_news
    }

    /// Removes a runner's record, or marks it as expired in the grace period.
    pub fn remove(&mut self, now: Instant, id: &RunnerId) {
        if let Some(record) = self.records.get_mut(id) {
            record.is_expired = true;
        }
        if !self.is_in_grace(now) {
            self.drop_expired(now);
        }
    }

    /// Drops expired records once the grace period is over; returns how many.
    pub fn expire(&mut self, now: Instant) -> usize {
        if self.grace_until.is_none_or(|until| now < until) {
            return 0;
        }
        self.grace_until = None;
        self.drop_expired(now)
    }

    /// Returns whether the runners are to be listed again, because a withheld runner
    /// may have sent a heartbeat. Returns `true` once each interval.
    pub fn take_relist(&mut self, now: Instant) -> bool {
        if self.relist_at.is_none_or(|at| now < at) {
            return false;
        }
        let mut withheld = self.records.values().map(|record| record.withheld);
        let may_have_written = withheld.any(|withheld| withheld == Some(Withheld::Removed));
        let is_due = self.relists_left > 0 && may_have_written;
        self.relists_left = self.relists_left.saturating_sub(1);
        self.relist_at = is_due.then(|| now + RELIST_INTERVAL);
        is_due
    }

    /// Returns the number of listed runners that get no new requests because only a
    /// restored copy says that they take any.
    pub fn withheld_count(&self) -> usize {
        let is_withheld = |record: &&Record| {
            let by_restore = matches!(record.withheld, Some(Withheld::Leaving | Withheld::Removed));
            by_restore && !record.is_expired
        };
        self.records.values().filter(is_withheld).count()
    }

    /// Returns the runners of a service. Withheld ones, and those at whose address another
    /// one of a declared service has started later, are leaving.
    pub fn of_service(
        &self,
        service: &ServiceId,
        is_declared: impl Fn(&ServiceId) -> bool,
    ) -> Vec<ListedRunner> {
        let latest_starts = self.latest_starts(is_declared);
        let effective = |record: &Record| {
            let mut runner = record.effective();
            if runner.started_unix_ms < latest_starts.get(&runner.address).copied()
                && runner.started_unix_ms.is_some()
            {
                runner.state = ListedState::Leaving;
            }
            runner
        };
        self.records
            .values()
            .filter(|record| record.runner.service == *service)
            .map(effective)
            .collect()
    }

    /// Returns when the last runner of a declared service started at each address, in Unix
    /// milliseconds, as far as the platform states it.
    fn latest_starts(&self, is_declared: impl Fn(&ServiceId) -> bool) -> HashMap<SocketAddr, u64> {
        let mut latest = HashMap::default();
        let listed = self.records.values().filter(|record| !record.is_expired);
        let runners = listed.map(|record| &record.runner);
        for runner in runners.filter(|runner| is_declared(&runner.service)) {
            if let Some(start) = runner.started_unix_ms {
                let known = latest.entry(runner.address).or_insert(start);
                *known = start.max(*known);
            }
        }
        latest
    }

    /// Returns all runners.
    pub fn all(&self) -> impl Iterator<Item = &ListedRunner> {
        self.records.values().map(|record| &record.runner)
    }

    /// Sets a runner's record as the first listing of a restored store has it.
    fn restore(&mut self, runner: ListedRunner) {
        let id = runner.id.clone();
        let Some(record) = self.records.get_mut(&id) else {
            let withheld = self
                .removed
                .get(&id)
                .and_then(|removed| withheld_after_removal(&removed.last, &runner));
            let record = Record {
                runner,
                is_expired: false,
                withheld,
            };
            self.records.insert(id, record);
            return;
        };
        if is_earlier_start(&runner, &record.runner) {
            // The later start is not listed, so it has to register again.
            return;
        }
        let is_same_start = runner.started_unix_ms == record.runner.started_unix_ms;
        let was_leaving = record.runner.state == ListedState::Leaving;
        record.withheld = match is_same_start {
            true if was_leaving => Some(Withheld::Leaving),
            true => record.withheld,
            false => None,
        };
        record.runner = runner;
        record.is_expired = false;
    }

    /// Sets a runner's record as a later listing of the same era has it.
    fn observe(&mut self, runner: ListedRunner) {
        let known = self.records.get_mut(&runner.id);
        let is_withheld = |record: &&mut Record| record.withheld == Some(Withheld::Removed);
        if let Some(record) = known.filter(is_withheld)
            && record.runner == runner
        {
            record.is_expired = false;
        } else if !self.was_restored || !self.has_known_later_start(&runner) {
            self.update(runner);
        } else if !self.records.contains_key(&runner.id) {
            // The later start did not register again in the grace period.
            self.withhold(runner);
        }
    }

    /// Returns whether a later start of the runner was listed before.
    fn has_known_later_start(&self, runner: &ListedRunner) -> bool {
        let listed = self.records.get(&runner.id).map(|record| &record.runner);
        let removed = self.removed.get(&runner.id).map(|removed| &removed.last);
        listed
            .or(removed)
            .is_some_and(|known| is_earlier_start(runner, known))
    }

    /// Sets a record that says nothing about the runner's present.
    fn withhold(&mut self, runner: ListedRunner) {
        let record = Record {
            is_expired: false,
            withheld: Some(Withheld::Removed),
            runner,
        };
        self.records.insert(record.runner.id.clone(), record);
    }

    fn drop_expired(&mut self, now: Instant) -> usize {
        let before = self.records.len();
        for (id, record) in self.records.extract_if(.., |_, record| record.is_expired) {
            let mut runner = record.runner;
            let is_announced = record.withheld == Some(Withheld::Announced);
            if is_announced || record.withheld == Some(Withheld::Leaving) {
                runner.state = ListedState::Leaving;
            }
            self.removed.insert(
                id,
                RemovedRunner {
                    last: runner,
                    at: now,
                    is_announced,
                },
            );
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REMOVAL_MEMORY;
        self.removed.retain(|_, removed| is_recent(removed.at));
        before - self.records.len()
    }

    fn is_in_grace(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now < until)
    }
}

impl Record {
    /// Returns the runner in the state in which it is to be used.
    fn effective(&self) -> ListedRunner {
        let mut runner = self.runner.clone();
        if self.withheld.is_some() {
            runner.state = ListedState::Leaving;
        }
        runner
    }
}

/// Returns why a runner is withheld that a restored store lists after its removal.
fn withheld_after_removal(removed: &ListedRunner, listed: &ListedRunner) -> Option<Withheld> {
    if is_earlier_start(listed, removed) {
        return Some(Withheld::Removed);
    }
    if removed.started_unix_ms != listed.started_unix_ms {
        return None;
    }
    match removed.state {
        ListedState::Leaving => Some(Withheld::Leaving),
        ListedState::Ready => Some(Withheld::Removed),
    }
}

/// Returns whether a runner that was or is cold turned cold, cold again or warm.
fn has_turned(before: &ListedRunner, after: &ListedRunner) -> bool {
    let is_warm = after.cold_remaining.is_zero();
    after.cold_remaining > before.cold_remaining || before.cold_remaining.is_zero() != is_warm
}

/// Returns whether a record is of an earlier start of the runner than another one.
fn is_earlier_start(runner: &ListedRunner, than: &ListedRunner) -> bool {
    let starts = runner.started_unix_ms.zip(than.started_unix_ms);
    starts.is_some_and(|(start, than)| start < than)
}
