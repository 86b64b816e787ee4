//! What operators declare: routes, services, workspaces and limits on callers.

use std::collections;
use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use smallvec::SmallVec;

/// One revision of the declared policy.
#[derive(Clone, Debug, Default)]
pub struct ServingPolicy {
    /// Number of the revision; a process never goes back to a lower one.
    pub revision: quantity::RevisionNumber,
    /// Routes of each host, those with longer prefixes first.
    routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<RouteRule>>>,
    /// Declared services.
    pub services: collections::BTreeMap<id::ServiceId, ServiceRule>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    workspaces: Vec<sync::Arc<WorkspaceRule>>,
    keys: collections::HashMap<sync::Arc<str>, sync::Arc<WorkspaceRule>>,
}

/// What a request of a route may be used for more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A plain call that may be run again.
    Repeatable,
    /// A plain call that is run at most once.
    Once,
    /// A stream of events; `resumable` streams may go on at another replica.
    Stream {
        /// Whether a new run may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be run a second time.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Services among which a route is split, with their weights.
pub type WeightedServices = SmallVec<[(id::ServiceId, u32); 2]>;

/// A declared route.
#[derive(Clone, Debug)]
pub struct RouteRule {
    /// Name for logs.
    pub name: sync::Arc<str>,
    /// Host that callers address.
    pub host: sync::Arc<str>,
    /// Start of the paths that the route takes.
    pub prefix: sync::Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: time::Millis,
    /// Time to the answer, or to a stream's first event, that counts as on time.
    pub latency_target: time::Millis,
    /// Urgency where the workspace declares none.
    pub priority: quantity::PriorityLevel,
    /// Services that serve the route.
    pub services: WeightedServices,
    /// Replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// The service for a draw from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&id::ServiceId> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = draw * total as f64;
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.iter().rev().find(|(_, weight)| *weight > 0).map(|(service, _)| service)
    }
}

/// A declared service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRule {
    /// Requests that one model replica works on at the same time; absent for plain services.
    pub engine_slots: Option<u32>,
    /// Whether a run's memory can be moved to another replica.
    pub migrates_kv_cache: bool,
    /// Bounds of the orders for replicas; absent where the number of replicas is not ours to set.
    pub scaling: Option<ScalingRule>,
}

/// Bounds and prices of the orders for replicas of a service.
#[derive(Clone, Debug)]
pub struct ScalingRule {
    /// Least replicas in each availability zone.
    pub min_per_zone: u32,
    /// Most replicas in each availability zone, of both kinds together.
    pub max_per_zone: u32,
    /// Price of a reclaimable replica as a part of that of another one; absent where none are sold.
    pub reclaimable_price_ratio: Option<f64>,
    /// Price of a replica by availability zone.
    pub zone_prices: collections::BTreeMap<id::ZoneId, f64>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Largest header section.
    pub max_header: quantity::ByteCount,
    /// Largest body.
    pub max_body: quantity::ByteCount,
    /// Longest time for a header section to arrive.
    pub header_timeout: time::Millis,
    /// Longest time for which a kept connection may be idle.
    pub idle_timeout: time::Millis,
}

impl Default for CallerLimits {
    /// Limits before any policy is known; the sizes are those of common servers.
    fn default() -> Self {
        CallerLimits {
            max_header: quantity::ByteCount::new(16 * 1024),
            max_body: quantity::ByteCount::new(4 * 1024 * 1024),
            header_timeout: time::Millis::new(3_000),
            idle_timeout: time::Millis::new(15_000),
        }
    }
}

/// A declared workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceRule {
    /// The workspace.
    pub id: id::WorkspaceId,
    /// Urgency of its requests, where declared.
    pub priority: Option<quantity::PriorityLevel>,
    /// Limit on its use, where declared.
    pub quota: Option<QuotaRule>,
}

/// Limit on the use of a workspace over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Units a second.
    pub rate: f64,
    /// Units that may come at once.
    pub burst: f64,
    /// Whether units are tokens; else they are requests.
    pub counts_tokens: bool,
    /// Tokens that a request without a declared size counts as.
    pub default_tokens: u64,
}

/// Why a request has no route here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyRefusal {
    /// No route takes the host and path.
    NoRoute,
    /// The key is missing or no workspace has it.
    WrongKey,
}

impl ServingPolicy {
    /// Puts a revision together. Routes with equal prefixes keep their order.
    pub fn new(
        revision: quantity::RevisionNumber,
        rules: Vec<RouteRule>,
        services: collections::BTreeMap<id::ServiceId, ServiceRule>,
        limits: CallerLimits,
        workspaces: Vec<(WorkspaceRule, Vec<sync::Arc<str>>)>,
    ) -> Self {
        let mut routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<RouteRule>>> =
            collections::HashMap::new();
        for rule in rules {
            routes.entry(rule.host.clone()).or_default().push(sync::Arc::new(rule));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let mut policy =
            ServingPolicy { revision, routes, services, limits, ..ServingPolicy::default() };
        for (rule, keys) in workspaces {
            let rule = sync::Arc::new(rule);
            policy.workspaces.push(rule.clone());
            policy.keys.extend(keys.into_iter().map(|key| (key, rule.clone())));
        }
        policy
    }

    /// The route of a host and path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<RouteRule>> {
        self.routes.get(host)?.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// The workspace whose key a request bears; none on public routes and where none are declared.
    ///
    /// # Errors
    ///
    /// Refuses a key that no workspace has, and a missing one where one is needed.
    pub fn workspace(
        &self,
        route: &RouteRule,
        key: Option<&str>,
    ) -> Result<Option<&sync::Arc<WorkspaceRule>>, PolicyRefusal> {
        if route.is_public || self.workspaces.is_empty() {
            return Ok(None);
        }
        let found = key.and_then(|key| self.keys.get(key));
        found.map(Some).ok_or(PolicyRefusal::WrongKey)
    }

    /// Declared workspaces.
    pub fn workspaces(&self) -> &[sync::Arc<WorkspaceRule>] {
        &self.workspaces
    }
}
