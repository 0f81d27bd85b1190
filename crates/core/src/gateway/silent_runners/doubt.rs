//! Infers from refusals that runners without reports are closed together.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::silent_runners::DoubtedRequests;
use crate::gateway::silent_runners::Standing;
use crate::gateway::silent_runners::window::Window;
use crate::ids::RunnerId;

/// Refusals by different runners, without a response in between, from which on others are
/// expected to refuse too. A single runner may be closed by itself.
const MIN_REFUSALS: u32 = 2;
/// Time without a refusal after which the doubt is over: two of the longest pauses.
const MAX_AGE: Duration = Duration::from_secs(8);

/// The doubt whether runners of unknown group accept requests.
///
/// Runners that respond are not concerned. The others get few requests together until they
/// respond, so that a closed group costs few refusals however many runners it has.
#[derive(Clone, Debug, Default)]
pub(crate) struct Doubt {
    /// Refusals by different runners since a response last began.
    refusals: u32,
    last_refusing: Option<RunnerId>,
    doubted: Option<Doubted>,
}

#[derive(Clone, Copy, Debug)]
struct Doubted {
    /// When the doubt arose.
    since: Instant,
    /// When a runner last refused.
    refused_at: Instant,
    /// Requests at runners that have not been heard since the doubt arose.
    unheard: Window,
    /// Requests at runners whose last response was a refusal.
    refusing: Window,
}

impl Doubted {
    fn window(&mut self, standing: Standing) -> Option<&mut Window> {
        match standing {
            Standing::Heard => None,
            Standing::Unheard => Some(&mut self.unheard),
            Standing::Refusing => Some(&mut self.refusing),
        }
    }
}

impl Doubt {
    /// Returns since when runners that are not heard are doubted.
    pub(crate) fn since(&self, now: Instant) -> Option<Instant> {
        self.current(now).map(|doubted| doubted.since)
    }

    /// Returns whether a runner of this standing may get one more request.
    /// `groups_respond` states whether runners whose group is known respond.
    pub(crate) fn allows(
        &self,
        now: Instant,
        standing: Standing,
        requests: &DoubtedRequests,
        groups_respond: bool,
    ) -> bool {
        let Some(mut doubted) = self.current(now).copied() else {
            return true;
        };
        let is_alone = self.nothing_responds() && doubted.unheard.is_single();
        let Some(window) = doubted.window(standing) else {
            return true;
        };
        let requests = match is_alone {
            true => requests.unheard + requests.refusing,
            false => requests.at(standing),
        };
        window.allows(now, requests, groups_respond || !is_alone)
    }

    /// Records that a runner of this standing refused a request, which is among `requests`.
    pub(crate) fn refused(
        &mut self,
        now: Instant,
        id: &RunnerId,
        standing: Standing,
        requests: &DoubtedRequests,
    ) {
        if self.last_refusing.as_ref() != Some(id) {
            self.refusals += 1;
            self.last_refusing = Some(id.clone());
        }
        let nothing_responds = self.nothing_responds();
        let known = self.current(now).copied();
        if known.is_none() && !nothing_responds {
            return;
        }
        let doubted = self.doubted.insert(known.unwrap_or(Doubted {
            since: now,
            refused_at: now,
            unheard: Window::unlimited(),
            refusing: Window::single(),
        }));
        doubted.refused_at = now;
        if let Some(window) = doubted.window(standing) {
            window.refused(requests.at(standing));
        }
        if nothing_responds && doubted.unheard.is_single() {
            doubted.unheard.pause(now);
            doubted.refusing.pause(now);
        } else if standing == Standing::Refusing {
            doubted.refusing.pause(now);
        }
    }

    /// Records that a runner of this standing began a response.
    pub(crate) fn response_began(&mut self, standing: Standing) {
        self.refusals = 0;
        self.last_refusing = None;
        if let Some(window) = self.doubted.as_mut().and_then(|d| d.window(standing)) {
            window.responded();
        }
    }

    fn nothing_responds(&self) -> bool {
        self.refusals >= MIN_REFUSALS
    }

    fn current(&self, now: Instant) -> Option<&Doubted> {
        let is_recent =
            |doubted: &&Doubted| now.saturating_duration_since(doubted.refused_at) < MAX_AGE;
        self.doubted.as_ref().filter(is_recent)
    }
}
