//! The processes of a fleet that one process knows, and the state of each.
//!
//! The platform's list of processes lags behind, so it serves only to find processes
//! and to learn which ones remain. Links take precedence: a process with a working
//! link is up even if the list lacks it, and a process that announces over its link
//! that it is leaving counts as leaving at once. There are no leases to renew.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Incarnation;
use crate::ids::PlaceId;
use crate::ids::ProcessId;
use crate::ids::ServiceId;

/// How long a process that is not listed and has no link is kept before it is removed.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(30);

/// The role of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It accepts requests from callers.
    Entry,
    /// It runs beside an endpoint of this service.
    Agent(ServiceId),
}

/// A process as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedProcess {
    /// Name of the process, unique in the fleet.
    pub id: ProcessId,
    /// Whether it is an entry or the agent of a service.
    pub role: Role,
    /// The data centre it runs in.
    pub place: PlaceId,
    /// Its address for links from other processes.
    pub address: String,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// Whether a process can get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It has a working link.
    Up,
    /// It has no working link.
    Suspect,
    /// It finishes its work and takes no more.
    Leaving,
}

/// An event that the membership handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The platform's complete list of processes was read.
    List(Vec<ListedProcess>),
    /// A link to this incarnation of a process opened.
    LinkUp(ProcessId, Incarnation),
    /// The link to a process closed.
    LinkDown(ProcessId),
    /// A process announced over its link whether it is leaving.
    Leaving(ProcessId, bool),
    /// The time that [`Membership::next_deadline`] returned has passed.
    Tick,
}

/// An action that the membership requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a link to this process, and reopen it when it closes.
    Dial(ListedProcess),
    /// Close the link to this process and do not reopen it.
    CloseLink(ProcessId),
    /// Note that the state of a process changed.
    Changed(ProcessId, MemberState),
    /// Note that a process was removed.
    Removed(ProcessId),
}

#[derive(Clone, Debug)]
struct Member {
    /// The process as it was last listed.
    listed: ListedProcess,
    /// Whether the last list contained it.
    in_list: bool,
    /// Incarnation at the other end of the open link, if there is one.
    link: Option<Incarnation>,
    /// Whether the process last announced that it is leaving.
    announced_leaving: bool,
    /// When the process was first listed, or its link last opened or closed.
    last_seen: Instant,
    /// The state in the last `Output::Changed`.
    last_reported: Option<MemberState>,
}

impl Member {
    fn state(&self) -> MemberState {
        if self.announced_leaving || self.listed.leaving {
            MemberState::Leaving
        } else if self.link.is_some() {
            MemberState::Up
        } else {
            MemberState::Suspect
        }
    }
}

/// The other processes that one process knows.
#[derive(Clone, Debug)]
pub struct Membership {
    own_id: ProcessId,
    members: BTreeMap<ProcessId, Member>,
}

impl Membership {
    /// Returns the membership of a process that knows no others yet.
    pub fn new(own_id: ProcessId) -> Self {
        Self {
            own_id,
            members: BTreeMap::new(),
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::List(list) => self.update_list(now, list, out),
            Input::LinkUp(id, incarnation) => {
                if let Some(member) = self.members.get_mut(&id) {
                    if member.link != Some(incarnation) {
                        // The former incarnation's announcement does not apply to this one.
                        member.announced_leaving = false;
                    }
                    member.link = Some(incarnation);
                    member.last_seen = now;
                }
            }
            Input::LinkDown(id) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.link = None;
                    member.last_seen = now;
                }
            }
            Input::Leaving(id, leaving) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.announced_leaving = leaving;
                }
            }
            Input::Tick => {}
        }
        self.remove_unlisted(now, out);
        self.report_changes(out);
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.members
            .values()
            .filter(|member| !member.in_list && member.link.is_none())
            .map(|member| member.last_seen + UNLISTED_TIMEOUT)
            .min()
    }

    /// Returns the state of a process, if it is known.
    pub fn state(&self, id: &ProcessId) -> Option<MemberState> {
        self.members.get(id).map(Member::state)
    }

    /// Returns every other known process with its state.
    pub fn members(&self) -> impl Iterator<Item = (&ListedProcess, MemberState)> {
        self.members.values().map(|m| (&m.listed, m.state()))
    }

    /// Returns the sorted names of the entries that can own ledger shards: those that
    /// are up, and this process, which must itself be an entry.
    pub fn live_entries(&self) -> Vec<ProcessId> {
        let mut entries: Vec<ProcessId> = self
            .members
            .values()
            .filter(|m| m.listed.role == Role::Entry && m.state() == MemberState::Up)
            .map(|m| m.listed.id.clone())
            .collect();
        entries.push(self.own_id.clone());
        entries.sort();
        entries
    }

    fn update_list(&mut self, now: Instant, list: Vec<ListedProcess>, out: &mut Vec<Output>) {
        for member in self.members.values_mut() {
            member.in_list = false;
        }
        for listed in list {
            if listed.id == self.own_id {
                continue;
            }
            let id = listed.id.clone();
            let must_dial = match self.members.get_mut(&id) {
                Some(member) => {
                    let must_dial = member.listed.address != listed.address;
                    member.in_list = true;
                    member.listed = listed.clone();
                    must_dial
                }
                None => {
                    let member = Member {
                        listed: listed.clone(),
                        in_list: true,
                        link: None,
                        announced_leaving: false,
                        last_seen: now,
                        last_reported: None,
                    };
                    self.members.insert(id.clone(), member);
                    true
                }
            };
            if must_dial {
                out.push(Output::Dial(listed));
            }
        }
    }

    /// Removes the processes whose `UNLISTED_TIMEOUT` has passed.
    fn remove_unlisted(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.members.retain(|id, member| {
            let expired = !member.in_list
                && member.link.is_none()
                && now >= member.last_seen + UNLISTED_TIMEOUT;
            if expired {
                out.push(Output::CloseLink(id.clone()));
                out.push(Output::Removed(id.clone()));
            }
            !expired
        });
    }

    /// Appends an `Output::Changed` for each process whose state changed.
    fn report_changes(&mut self, out: &mut Vec<Output>) {
        for (id, member) in &mut self.members {
            let state = member.state();
            if member.last_reported != Some(state) {
                member.last_reported = Some(state);
                out.push(Output::Changed(id.clone(), state));
            }
        }
    }
}

/// Returns which of the candidates should own a ledger shard.
///
/// This is rendezvous hashing (highest random weight): when a candidate goes away,
/// only its own shards move to others.
pub fn shard_owner(shard: u16, candidates: &[ProcessId]) -> Option<&ProcessId> {
    candidates.iter().max_by_key(|id| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&shard.to_le_bytes());
        hasher.update(id.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    })
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use super::Input;
    use super::ListedProcess;
    use super::MemberState;
    use super::Membership;
    use super::Output;
    use super::Role;
    use super::UNLISTED_TIMEOUT;
    use super::shard_owner;
    use crate::ids::Incarnation;
    use crate::ids::ProcessId;

    fn listed(name: &str, leaving: bool) -> ListedProcess {
        ListedProcess {
            id: name.into(),
            role: Role::Entry,
            place: "p".into(),
            address: "127.0.0.1:1".into(),
            leaving,
        }
    }

    fn handle(membership: &mut Membership, now: Instant, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        membership.handle(now, input, &mut out);
        out
    }

    #[test]
    fn announced_leaving_counts_over_the_list_until_the_next_incarnation() {
        let now = Instant::now();
        let mut membership = Membership::new("me".into());
        handle(&mut membership, now, Input::List(vec![listed("a", false)]));
        handle(
            &mut membership,
            now,
            Input::LinkUp("a".into(), Incarnation(1)),
        );
        assert_eq!(membership.state(&"a".into()), Some(MemberState::Up));
        let out = handle(&mut membership, now, Input::Leaving("a".into(), true));
        assert_eq!(out, [Output::Changed("a".into(), MemberState::Leaving)]);
        handle(&mut membership, now, Input::List(vec![listed("a", false)]));
        assert_eq!(membership.state(&"a".into()), Some(MemberState::Leaving));
        handle(
            &mut membership,
            now,
            Input::LinkUp("a".into(), Incarnation(2)),
        );
        assert_eq!(membership.state(&"a".into()), Some(MemberState::Up));
    }

    #[test]
    fn unlisted_process_is_removed_only_after_its_link_closed() {
        let now = Instant::now();
        let mut membership = Membership::new("me".into());
        handle(&mut membership, now, Input::List(vec![listed("a", false)]));
        handle(
            &mut membership,
            now,
            Input::LinkUp("a".into(), Incarnation(1)),
        );
        handle(&mut membership, now, Input::List(vec![]));
        let later = now + UNLISTED_TIMEOUT;
        assert!(handle(&mut membership, later, Input::Tick).is_empty());
        handle(&mut membership, later, Input::LinkDown("a".into()));
        let out = handle(&mut membership, later + UNLISTED_TIMEOUT, Input::Tick);
        assert!(out.contains(&Output::Removed("a".into())));
    }

    #[test]
    fn only_the_shards_of_a_removed_owner_move() {
        let candidates: Vec<ProcessId> = ["a", "b", "c", "d"].map(ProcessId::from).to_vec();
        let remaining = &candidates[..3];
        for shard in 0..64 {
            let before = shard_owner(shard, &candidates).expect("candidates");
            let after = shard_owner(shard, remaining).expect("candidates");
            assert!(before == after || before == &ProcessId::from("d"));
        }
    }
}
