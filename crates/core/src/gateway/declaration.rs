//! The configuration of routes, services, keys and limits.
//!
//! Operators declare it as a whole under one version number. A declaration is
//! immutable: a newer one replaces it. It also matches requests to routes and
//! checks their keys.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::HashMap;
use crate::ids::PlaceId;
use crate::ids::ServiceId;
use crate::ids::WorkspaceId;

/// Whether and how a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request must be executed at most once.
    Never,
    /// The request is a stream that another runner may resume after the last
    /// event received.
    Resume,
}

/// One service of a route, with its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service that gets this part of the traffic.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Where requests for a host and path prefix are sent, and their time limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that the route matches, in lower case.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Services among which requests are split; at least one.
    pub weighted_services: Vec<WeightedService>,
    /// Whether and how requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Whether responses are streams of server-sent events.
    pub is_streaming: bool,
    /// Maximum number of runners that one request is sent to.
    pub max_attempts: u32,
    /// Longest time until the end of the response.
    pub timeout: Duration,
    /// Time within which a response is on time; for streams, the first event.
    pub latency_target: Duration,
    /// Longest gap between events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Priority among routes; zero is the most urgent.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub allows_anonymous: bool,
}

/// Cost model of an inference engine, as its service publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests that a runner executes concurrently.
    pub slots: u32,
    /// Base time of one token step, without requests, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step per request that generates tokens, in
    /// milliseconds.
    pub decode_ms_per_request: f64,
    /// Additional time of a step per 1,000 tokens of context of each request that
    /// generates tokens, in milliseconds.
    pub decode_ms_per_1k_context: f64,
    /// Prompt tokens processed per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Additional time per million pairs of a prompt token and an earlier token, in
    /// milliseconds.
    pub prefill_ms_per_1m_pairs: f64,
    /// Tokens that a runner's memory holds; `None` if that is not stated.
    pub memory_tokens: Option<u64>,
    /// Maximum number of prompt tokens processed between two steps.
    pub max_prefill_tokens: u32,
    /// Token steps in one pass.
    pub steps_per_pass: u32,
    /// Mean length of a prompt, in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean length of a response, in tokens.
    pub mean_output_tokens: f64,
    /// Expert layout, for groups of ranks that run a mixture-of-experts model.
    pub experts: Option<ExpertLayout>,
}

/// How the ranks of a service's groups hold the experts of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertLayout {
    /// Number of expert sets: groups of layers with their own experts.
    pub sets: usize,
    /// Number of experts in one set.
    pub experts: usize,
    /// Experts of one set that a rank can hold.
    pub slots_per_rank: usize,
    /// Additional experts of one set that a rank can copy at a time.
    pub max_new_per_set: usize,
    /// Time to copy one expert to a rank.
    pub copy_time: Duration,
    /// Share of the work per token that the experts do.
    pub expert_share: f64,
}

/// What a service's runners bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a runner stays cold after it has started.
    pub time: Duration,
    /// Requests per second that a cold runner takes from all entries together.
    pub per_second: f64,
}

/// The time that a message takes from one data centre to another, one way.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceDelay {
    /// One of the data centres.
    pub from: PlaceId,
    /// The other one.
    pub to: PlaceId,
    /// The time, the same in both directions.
    pub delay: Duration,
}

/// A service that executes requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTarget {
    /// Name of the service.
    pub id: ServiceId,
    /// Maximum number of connections that one runner accepts in total.
    pub max_connections: u32,
    /// Path of a runner's health check.
    pub health_path: String,
    /// Engine model, for services that run language models.
    pub engine: Option<EngineModel>,
    /// What cold runners bear; `None` if the service declares no cold start.
    pub cold_start: Option<ColdStart>,
    /// Delays between data centres that the service declares; may be empty.
    pub delays: Vec<PlaceDelay>,
}

/// Size and time limits for requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time until the request head is complete.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

/// The workspace that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenancy {
    /// The workspace whose requests carry the key.
    pub workspace: WorkspaceId,
    /// Priority of its requests, which replaces the route's.
    pub priority: Option<u32>,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}

/// The route and workspace of an allowed request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// Holder of the request's key; `None` on anonymous routes and if no
    /// workspaces are declared.
    pub tenancy: Option<Tenancy>,
}

/// Number of priorities of routes that are told apart among requests of equal priority.
const ROUTE_PRIORITIES: u32 = 1_024;

impl RouteMatch {
    /// Returns the request's place among all others; the lowest is the most urgent.
    ///
    /// The priority of a workspace goes before that of a route, which decides among the
    /// requests of workspaces of equal priority.
    pub fn rank(&self) -> u32 {
        let of_route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        self.priority()
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(of_route)
    }

    /// Returns the request's priority; zero is the most urgent.
    pub fn priority(&self) -> u32 {
        self.tenancy
            .as_ref()
            .and_then(|tenancy| tenancy.priority)
            .unwrap_or(self.route.priority)
    }
}

/// The complete configuration under one version number.
#[derive(Clone, Debug)]
pub struct Declaration {
    version: u64,
    services: HashMap<ServiceId, Arc<ServiceTarget>>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Holder of each key; `None` if no workspaces are declared.
    keys: Option<HashMap<String, Tenancy>>,
    limits: CallerLimits,
}

impl Declaration {
    /// Returns a declaration. `keys` is `None` if it declares no workspaces, so
    /// that requests need no key.
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

    /// Returns the version number, which grows with each declaration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for requests of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the service with this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceTarget>> {
        self.services.get(id)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceTarget>> {
        self.services.values()
    }

    /// Returns the smallest `max_event_gap` of the routes to a service; `None` if
    /// no route has one.
    pub fn tightest_event_gap(&self, service: &ServiceId) -> Option<Duration> {
        let routes = self.hosts.values().flatten();
        let to_service = |route: &&Arc<Route>| {
            let mut services = route.weighted_services.iter();
            services.any(|weighted| weighted.service == *service)
        };
        routes
            .filter(to_service)
            .filter_map(|route| route.max_event_gap)
            .min()
    }

    /// Returns the route and key holder of a request.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route requires a key and no
    /// workspace holds this one.
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
                let holder = key.and_then(|key| keys.get(key));
                Some(holder.cloned().ok_or(Denied::UnknownKey)?)
            }
        };
        Ok(RouteMatch {
            route: Arc::clone(route),
            tenancy,
        })
    }
}

impl Route {
    /// Returns the service for a random number of at least zero and below one.
    pub fn pick_service(&self, random: f64) -> Option<&ServiceId> {
        let weights = self.weighted_services.iter();
        let total: f64 = weights.map(|weighted| f64::from(weighted.weight)).sum();
        let mut left = random * total;
        for weighted in &self.weighted_services {
            left -= f64::from(weighted.weight);
            if left < 0.0 {
                return Some(&weighted.service);
            }
        }
        self.weighted_services
            .last()
            .map(|weighted| &weighted.service)
    }

    /// Returns whether a request may be retried although it may have been executed.
    pub fn may_run_again(&self) -> bool {
        self.retry_policy != RetryPolicy::Never
    }
}
