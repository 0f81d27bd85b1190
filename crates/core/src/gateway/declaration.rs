//! The whole declared state that is in force, and what it allows a request.
//!
//! A declaration is a value: it is replaced by the next one and never changed.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::HashMap;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    Never,
    /// A stream that may go on at another runner after its last event.
    Resume,
}

/// One service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// Where requests of a host and path prefix go, and what they may expect.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that it belongs to, in lower case.
    pub host: String,
    /// Prefix of the paths it takes; begins and ends with a slash.
    pub prefix: String,
    /// Services that run its requests; at least one.
    pub weighted_services: Vec<WeightedService>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// Most runners that one request is sent to.
    pub max_attempts: u32,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time in which an answer is on time: the first event, for streams.
    pub latency_target: Duration,
    /// Longest pause between events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Rank against other routes; zero goes first.
    pub priority: u32,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
}

/// Cost of a lock-step group's work, as the service publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests that a runner runs at once.
    pub slots: u32,
    /// Time of one token step without requests, in milliseconds.
    pub step_ms: f64,
    /// Further time for each request that writes, in milliseconds.
    pub decode_ms_per_request: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Prompt tokens that are read between two steps at most.
    pub max_prefill_tokens: u32,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Mean prompt and answer, in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean answer, in tokens.
    pub mean_output_tokens: f64,
    /// Expert layout, for groups of ranks with experts.
    pub experts: Option<ExpertLayout>,
}

/// How a service's groups hold their experts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertLayout {
    /// Sets of layers with experts of their own.
    pub sets: usize,
    /// Experts of one set.
    pub experts: usize,
    /// Places for experts of one rank and set.
    pub places: usize,
    /// New experts that a rank can copy for one set at a time.
    pub new_per_set: usize,
    /// Time to copy one expert to a rank.
    pub copy_time: Duration,
    /// Share of the work for tokens that experts do.
    pub expert_share: f64,
}

/// A service that requests go to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTarget {
    /// Its name.
    pub id: ServiceId,
    /// Connections that a runner takes from all callers together.
    pub max_connections: u32,
    /// Path that tells whether a runner is well.
    pub health_path: String,
    /// Engine model, for services that run language models.
    pub engine: Option<EngineModel>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a whole head.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenancy {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its rank, which replaces the route's.
    pub priority: Option<u32>,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route takes it.
    NoRoute,
    /// No workspace holds its key.
    UnknownKey,
}

/// What a declaration allows one request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// Its route.
    pub route: Arc<Route>,
    /// Its workspace; `None` on anonymous routes and without workspaces.
    pub tenancy: Option<Tenancy>,
}

impl RouteMatch {
    /// Returns the request's rank; zero goes first.
    pub fn priority(&self) -> u32 {
        self.tenancy
            .as_ref()
            .and_then(|tenancy| tenancy.priority)
            .unwrap_or(self.route.priority)
    }
}

/// The whole declared state under one number.
#[derive(Clone, Debug)]
pub struct Declaration {
    version: u64,
    services: HashMap<ServiceId, Arc<ServiceTarget>>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Holders of keys; `None` when no workspace is declared.
    keys: Option<HashMap<String, Tenancy>>,
    limits: CallerLimits,
}

impl Declaration {
    /// Returns a declaration; `keys` is `None` when it names no workspaces.
    pub fn new(
        version: u64,
        services: Vec<ServiceTarget>,
        routes: Vec<Route>,
        keys: Option<HashMap<String, Tenancy>>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            let host = route.host.clone();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.id.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            services,
            hosts,
            keys,
            limits,
        }
    }

    /// Returns the declaration's number.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceTarget>> {
        self.services.get(id)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceTarget>> {
        self.services.values()
    }

    /// Returns the shortest pause between events that any route to a service
    /// allows; `None` for services without streams.
    pub fn min_event_gap(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.hosts.values().flatten();
        let to_service = |route: &&Arc<Route>| {
            let mut weighted_services = route.weighted_services.iter();
            weighted_services.any(|share| share.service == *service)
        };
        routes
            .filter(to_service)
            .filter_map(|route| route.max_event_gap)
            .min()
    }

    /// Returns what is allowed a request for a host and path with a key.
    ///
    /// # Errors
    ///
    /// Says whether the route or the key is missing.
    pub fn match_request(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, Denied> {
        let host = host.to_ascii_lowercase();
        let route = self
            .hosts
            .get(&host)
            .and_then(|routes| routes.iter().find(|route| path.starts_with(&route.prefix)))
            .ok_or(Denied::NoRoute)?;
        let tenancy = match &self.keys {
            Some(_) if route.allows_anonymous => None,
            None => None,
            Some(keys) => {
                let held = key.and_then(|key| keys.get(key));
                Some(held.cloned().ok_or(Denied::UnknownKey)?)
            }
        };
        Ok(RouteMatch {
            route: Arc::clone(route),
            tenancy,
        })
    }
}

impl Route {
    /// Returns the service for a draw from zero to below one.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self
            .weighted_services
            .iter()
            .map(|share| share.weight)
            .sum();
        let mut left = draw * f64::from(total);
        for share in &self.weighted_services {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.weighted_services.last().map(|share| &share.service)
    }

    /// Returns whether the request may be sent again though it may have run.
    pub fn may_run_again(&self) -> bool {
        self.retry_policy != RetryPolicy::Never
    }
}
