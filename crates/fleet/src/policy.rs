//! Policy that operators declare: routes, services, workspaces and limits on callers.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use smallvec::SmallVec;

/// One revision of the declared policy.
#[derive(Clone, Debug, Default)]
pub struct ServingPolicy {
    /// Number of the revision. A process never reverts to a lower one.
    pub revision: quantity::RevisionNumber,
    /// Routes by host, longest prefix first.
    routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<RouteRule>>>,
    /// Declared services.
    pub services: collections::BTreeMap<id::ServiceId, ServiceRule>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    workspaces: Vec<sync::Arc<WorkspaceRule>>,
    /// Workspaces by API key.
    workspaces_by_key: collections::HashMap<sync::Arc<str>, sync::Arc<WorkspaceRule>>,
}

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Plain call that may run more than once.
    Repeatable,
    /// Plain call that runs at most once.
    Once,
    /// Stream of events.
    Stream {
        /// Whether a new run, also at another replica, may continue after the last delivered event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run a second time.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Services among which the requests of a route are split, with their weights.
pub type WeightedServices = SmallVec<[(id::ServiceId, u32); 2]>;

/// Declared route.
#[derive(Clone, Debug)]
pub struct RouteRule {
    /// Name of the route for logs.
    pub name: sync::Arc<str>,
    /// Host that callers address.
    pub host: sync::Arc<str>,
    /// Prefix of the paths that the route matches.
    pub prefix: sync::Arc<str>,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for the response.
    pub timeout: time::Millis,
    /// Target time to the response, or to the first event of a stream.
    pub latency_target: time::Millis,
    /// Priority of requests whose workspace declares none.
    pub priority: quantity::PriorityLevel,
    /// Services that serve the route.
    pub services: WeightedServices,
    /// Maximum number of replicas that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl RouteRule {
    /// Picks a service at random by weight. `draw` is a uniform random number from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&id::ServiceId> {
        let total_weight: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining_weight = draw * total_weight as f64;
        for (service, weight) in &self.services {
            remaining_weight -= f64::from(*weight);
            if remaining_weight < 0.0 {
                return Some(service);
            }
        }
        self.services.iter().rev().find(|(_, weight)| *weight > 0).map(|(service, _)| service)
    }
}

/// Declared service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRule {
    /// Path of the replicas' status check, by which one says who it is; `None` if there is none.
    pub status_path: Option<sync::Arc<str>>,
    /// Number of requests that one engine processes concurrently; `None` for plain services.
    pub engine_slots: Option<u32>,
    /// Whether the KV cache of a run can migrate to another replica.
    pub migrates_kv_cache: bool,
    /// Bounds of the orders for replicas; `None` if the gateway does not set the number of
    /// replicas.
    pub scaling: Option<ScalingRule>,
}

/// Bounds and prices of the orders for replicas of a service.
#[derive(Clone, Debug)]
pub struct ScalingRule {
    /// Minimum number of replicas in each availability zone.
    pub min_per_zone: u32,
    /// Maximum number of replicas in each availability zone, on-demand and reclaimable together.
    pub max_per_zone: u32,
    /// Price of a reclaimable replica as a fraction of the on-demand price; `None` if none are
    /// offered.
    pub reclaimable_price_ratio: Option<f64>,
    /// Price of a replica by availability zone; 1 for a zone without an entry.
    pub zone_prices: collections::BTreeMap<id::ZoneId, f64>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum size of the header section.
    pub max_header: quantity::ByteCount,
    /// Maximum size of the body.
    pub max_body: quantity::ByteCount,
    /// Maximum time for the header section to arrive.
    pub header_timeout: time::Millis,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: time::Millis,
}

impl Default for CallerLimits {
    /// Returns the limits before any policy is known. The sizes are those of common HTTP servers.
    fn default() -> Self {
        CallerLimits {
            max_header: quantity::ByteCount::new(16 * 1024),
            max_body: quantity::ByteCount::new(4 * 1024 * 1024),
            header_timeout: time::Millis::new(3_000),
            idle_timeout: time::Millis::new(15_000),
        }
    }
}

/// Declared workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceRule {
    /// Id of the workspace.
    pub id: id::WorkspaceId,
    /// Priority of the workspace's requests, if declared.
    pub priority: Option<quantity::PriorityLevel>,
    /// Quota of the workspace, if declared.
    pub quota: Option<QuotaRule>,
}

/// Quota of a workspace over all daemons: the parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Refill rate, in units per second.
    pub rate: f64,
    /// Size of the bucket, in units.
    pub burst: f64,
    /// Whether units are tokens; otherwise they are requests.
    pub counts_tokens: bool,
    /// Tokens counted for a request without a declared size.
    pub default_tokens: u64,
}

/// Why a request is refused by the policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyRefusal {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing, or no workspace has it.
    WrongKey,
}

impl ServingPolicy {
    /// Assembles a revision. Each workspace comes with its API keys. Routes with equal prefixes
    /// keep their order.
    pub fn new(
        revision: quantity::RevisionNumber,
        route_rules: Vec<RouteRule>,
        services: collections::BTreeMap<id::ServiceId, ServiceRule>,
        limits: CallerLimits,
        workspaces: Vec<(WorkspaceRule, Vec<sync::Arc<str>>)>,
    ) -> Self {
        let mut routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<RouteRule>>> =
            collections::HashMap::new();
        for rule in route_rules {
            routes.entry(rule.host.clone()).or_default().push(sync::Arc::new(rule));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let mut policy =
            ServingPolicy { revision, routes, services, limits, ..ServingPolicy::default() };
        for (rule, api_keys) in workspaces {
            let rule = sync::Arc::new(rule);
            policy.workspaces.push(rule.clone());
            policy
                .workspaces_by_key
                .extend(api_keys.into_iter().map(|api_key| (api_key, rule.clone())));
        }
        policy
    }

    /// Returns the route with the longest prefix that matches the host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<RouteRule>> {
        self.routes.get(host)?.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Returns the workspace whose API key a request carries; `None` on public routes and if no
    /// workspaces are declared.
    ///
    /// # Errors
    ///
    /// Fails if the API key is required but missing, or if no workspace has it.
    pub fn workspace(
        &self,
        route: &RouteRule,
        api_key: Option<&str>,
    ) -> Result<Option<&sync::Arc<WorkspaceRule>>, PolicyRefusal> {
        if route.is_public || self.workspaces.is_empty() {
            return Ok(None);
        }
        let workspace = api_key.and_then(|api_key| self.workspaces_by_key.get(api_key));
        workspace.map(Some).ok_or(PolicyRefusal::WrongKey)
    }

    /// Returns the declared workspaces.
    pub fn workspaces(&self) -> &[sync::Arc<WorkspaceRule>] {
        &self.workspaces
    }
}
