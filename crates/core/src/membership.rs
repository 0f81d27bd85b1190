//! Who is alive, suspected, leaving or gone.
//!
//! The platform's list lags, so it only seeds and confirms. What a link says
//! comes first: a process with a working link is alive whatever the list says,
//! and a process that announced its leaving is leaving at once. No lease is
//! renewed anywhere.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Incarnation;
use crate::ids::PlaceId;
use crate::ids::ProcessId;
use crate::ids::ServiceId;

/// How long an unlisted process without a link is still dialled.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What a process does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes requests from callers.
    Entry,
    /// It stands beside an endpoint of a service.
    Agent(ServiceId),
}

/// A process as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedProcess {
    /// Its name.
    pub id: ProcessId,
    /// What it does.
    pub role: Role,
    /// Where it runs.
    pub place: PlaceId,
    /// Its address for other processes.
    pub address: String,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// Whether a process can be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It has a working link.
    Up,
    /// It has no working link.
    Suspect,
    /// It finishes what it has.
    Leaving,
}

/// What the membership is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The platform's whole list.
    List(Vec<ListedProcess>),
    /// A link opened.
    LinkUp(ProcessId, Incarnation),
    /// A link closed.
    LinkDown(ProcessId),
    /// A process said whether it is leaving.
    Leaving(ProcessId, bool),
    /// Time passed.
    Tick,
}

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Keep a link to this process.
    Dial(ListedProcess),
    /// Give the link to this process up.
    CloseLink(ProcessId),
    /// A process changed its state.
    Changed(ProcessId, MemberState),
    /// A process is gone for good.
    Removed(ProcessId),
}

#[derive(Clone, Debug)]
struct Member {
    listed: ListedProcess,
    in_list: bool,
    link: Option<Incarnation>,
    /// What the process itself said last.
    said_leaving: bool,
    last_seen: Instant,
    reported: Option<MemberState>,
}

impl Member {
    fn state(&self) -> MemberState {
        if self.said_leaving || self.listed.leaving {
            MemberState::Leaving
        } else if self.link.is_some() {
            MemberState::Up
        } else {
            MemberState::Suspect
        }
    }
}

/// The processes that one process knows.
#[derive(Clone, Debug)]
pub struct Membership {
    me: ProcessId,
    members: BTreeMap<ProcessId, Member>,
}

impl Membership {
    /// Returns a membership that knows only this process.
    pub fn new(me: ProcessId) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
        }
    }

    /// Takes an input and appends what has to be done.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::List(list) => self.list(now, list, out),
            Input::LinkUp(id, incarnation) => {
                if let Some(member) = self.members.get_mut(&id) {
                    if member.link != Some(incarnation) {
                        // A new life starts without its predecessor's announcement.
                        member.said_leaving = false;
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
                    member.said_leaving = leaving;
                }
            }
            Input::Tick => {}
        }
        self.forget(now, out);
        self.report(out);
    }

    /// Returns when `Input::Tick` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.members
            .values()
            .filter(|member| !member.in_list && member.link.is_none())
            .map(|member| member.last_seen + FORGET_AFTER)
            .min()
    }

    /// Returns a process's state.
    pub fn state(&self, id: &ProcessId) -> Option<MemberState> {
        self.members.get(id).map(Member::state)
    }

    /// Returns every known process with its state.
    pub fn members(&self) -> impl Iterator<Item = (&ListedProcess, MemberState)> {
        self.members.values().map(|m| (&m.listed, m.state()))
    }

    /// Returns the entries that can own ledger shards, this process included
    /// if it is an entry.
    pub fn live_entries(&self) -> Vec<ProcessId> {
        let mut entries: Vec<ProcessId> = self
            .members
            .values()
            .filter(|m| m.listed.role == Role::Entry && m.state() == MemberState::Up)
            .map(|m| m.listed.id.clone())
            .collect();
        entries.push(self.me.clone());
        entries.sort();
        entries
    }

    fn list(&mut self, now: Instant, list: Vec<ListedProcess>, out: &mut Vec<Output>) {
        for member in self.members.values_mut() {
            member.in_list = false;
        }
        for listed in list {
            if listed.id == self.me {
                continue;
            }
            let id = listed.id.clone();
            let moved = match self.members.get_mut(&id) {
                Some(member) => {
                    let moved = member.listed.address != listed.address;
                    member.in_list = true;
                    member.listed = listed.clone();
                    moved
                }
                None => {
                    let member = Member {
                        listed: listed.clone(),
                        in_list: true,
                        link: None,
                        said_leaving: false,
                        last_seen: now,
                        reported: None,
                    };
                    self.members.insert(id.clone(), member);
                    true
                }
            };
            if moved {
                out.push(Output::Dial(listed));
            }
        }
    }

    fn forget(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.members.retain(|id, member| {
            let gone =
                !member.in_list && member.link.is_none() && now >= member.last_seen + FORGET_AFTER;
            if gone {
                out.push(Output::CloseLink(id.clone()));
                out.push(Output::Removed(id.clone()));
            }
            !gone
        });
    }

    fn report(&mut self, out: &mut Vec<Output>) {
        for (id, member) in &mut self.members {
            let state = member.state();
            if member.reported != Some(state) {
                member.reported = Some(state);
                out.push(Output::Changed(id.clone(), state));
            }
        }
    }
}

/// Returns which of the candidates should own a shard.
///
/// Highest random weight: when a candidate goes, only its own shards move.
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

    use super::FORGET_AFTER;
    use super::Input;
    use super::ListedProcess;
    use super::MemberState;
    use super::Membership;
    use super::Output;
    use super::Role;
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
    fn an_announcement_counts_before_the_list_shows_it() {
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
    fn a_process_missing_from_the_list_lives_as_long_as_its_link() {
        let now = Instant::now();
        let mut membership = Membership::new("me".into());
        handle(&mut membership, now, Input::List(vec![listed("a", false)]));
        handle(
            &mut membership,
            now,
            Input::LinkUp("a".into(), Incarnation(1)),
        );
        handle(&mut membership, now, Input::List(vec![]));
        let later = now + FORGET_AFTER;
        assert!(handle(&mut membership, later, Input::Tick).is_empty());
        handle(&mut membership, later, Input::LinkDown("a".into()));
        let out = handle(&mut membership, later + FORGET_AFTER, Input::Tick);
        assert!(out.contains(&Output::Removed("a".into())));
    }

    #[test]
    fn only_a_lost_owners_shards_move() {
        let all: Vec<ProcessId> = ["a", "b", "c", "d"].map(ProcessId::from).to_vec();
        let rest = &all[..3];
        for shard in 0..64 {
            let before = shard_owner(shard, &all).expect("candidates");
            let after = shard_owner(shard, rest).expect("candidates");
            assert!(before == after || before == &ProcessId::from("d"));
        }
    }
}
