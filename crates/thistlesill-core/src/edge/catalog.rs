//! The operators' configuration: routes, services, customers' keys and limits.

use std::collections::HashMap;
use std::sync::Arc;

use super::RateLimit;
use crate::{CustomerId, Millis, Model, ServiceName};

/// Whether requests of a route may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Repeatable,
    /// A request is executed at most once.
    Once,
    /// The response is a stream of events; a request is executed at most once unless the route
    /// is resumable.
    Stream,
}

/// The share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A mapping from a host and a path prefix to services, with its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix of the requests that match.
    pub prefix: Arc<str>,
    /// Services that the requests are distributed over.
    pub shares: Vec<ServiceShare>,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Largest number of attempts for one request, the first included.
    pub attempts: u32,
    /// Longest time for which the daemon processes a request; a caller's deadline may be earlier.
    pub timeout: Millis,
    /// Latency objective; for streams, it applies to the first event.
    pub aim: Millis,
    /// Objective for the longest pause between two events of a stream.
    pub pause: Option<Millis>,
    /// Priority of the requests, 0 being the most urgent; a customer's own priority replaces it.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another target.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may be executed more than once.
    pub const fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A model that groups of a service's targets can run.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPlan {
    /// Name of the model.
    pub model: Model,
    /// Number of targets in one group.
    pub size: u32,
    /// Expected share of the service's requests at the start, from 0 to 1.
    pub share: f64,
    /// Factor by which the model scales all times of the engine.
    pub pace: f64,
}

/// Performance figures and limits of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that a group runs concurrently.
    pub slots: u32,
    /// Base duration of a token step, in milliseconds.
    pub step: f64,
    /// Time that each running request adds to a token step, in milliseconds.
    pub step_each: f64,
    /// Prompt tokens that a group reads per second.
    pub read_rate: f64,
    /// Number of token steps between two events of a stream.
    pub stride: u32,
    /// Largest number of weight loads that may start per second, over all targets.
    pub loads_rate: f64,
    /// Number of concurrent weight loads above which loads slow each other down.
    pub concurrent_loads: usize,
    /// Models that the service runs, with the sizes of their groups.
    pub models: Vec<ModelPlan>,
    /// Mean number of tokens in a response.
    pub mean_answer: f64,
}

impl Engine {
    /// Returns the plan of a model, or `None` if the service does not run the model.
    pub fn plan(&self, model: &Model) -> Option<&ModelPlan> {
        self.models.iter().find(|plan| plan.model == *model)
    }
}

/// The reduced request rate of targets that have recently started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// Duration of the warm-up after a start.
    pub time: Millis,
    /// Request rate that a target accepts during the warm-up, summed over all daemons.
    pub limit: RateLimit,
}

/// A set of targets that routes send requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Largest number of connections that each target accepts, over all callers.
    pub connections: u32,
    /// Path at which a target that runs no models answers health checks.
    pub health: Arc<str>,
    /// Warm-up of the targets; `None` if they accept the full rate from the start.
    pub warmup: Option<Warmup>,
    /// Figures of the model engines; `None` if the service runs no models.
    pub engine: Option<Engine>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest header section of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle: Millis,
}

/// The customer that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Customer that sends requests with the key.
    pub customer: CustomerId,
    /// Priority of the customer's requests; `None` if the route's priority applies.
    pub priority: Option<u8>,
}

/// One version of the operators' whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Version number, which rises with every change.
    pub version: u64,
    hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    keys: HashMap<Box<str>, KeyHolder>,
    /// Whether requests to routes that are not public need a key, even while no key exists.
    needs_keys: bool,
    /// The most and the least urgent priority of the routes that lead to each service.
    priorities: HashMap<ServiceName, (u8, u8)>,
    limits: Limits,
}

impl Catalog {
    /// Creates a catalog without routes, services and keys.
    #[must_use]
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            hosts: HashMap::new(),
            services: HashMap::new(),
            keys: HashMap::new(),
            needs_keys: false,
            priorities: HashMap::new(),
            limits,
        }
    }

    /// Adds a route for a host, whose name is matched without regard to case.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let priority = route.priority;
        for share in &route.shares {
            let known = self.priorities.entry(share.service.clone());
            let (lowest, highest) = known.or_insert((priority, priority));
            *lowest = priority.min(*lowest);
            *highest = priority.max(*highest);
        }
        let routes = self
            .hosts
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        let at = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// Adds a service, replacing one of the same name.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Makes requests to routes that are not public need a key. Until a key is added, they are all
    /// refused.
    pub fn require_keys(&mut self) {
        self.needs_keys = true;
    }

    /// Adds an API key of a customer, replacing an equal key, and makes requests need a key.
    pub fn add_key(&mut self, key: &str, customer: CustomerId, priority: Option<u8>) {
        self.require_keys();
        self.keys
            .insert(key.into(), KeyHolder { customer, priority });
    }

    /// Returns the route for a host whose prefix is the longest that matches `path`.
    ///
    /// `host` may be in any case and may end in a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host).or_else(|| {
            let lowercase = host.to_ascii_lowercase();
            let without_port = lowercase.split(':').next().unwrap_or_default();
            self.hosts.get(without_port)
        })?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the customer that an API key belongs to.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.keys.get(key)
    }

    /// Returns whether requests to routes that are not public need a key.
    pub const fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns whether a service admits its requests by their urgency: it runs models, and at least
    /// two of the routes that lead to it have different priorities.
    pub fn ranks_callers(&self, service: &ServiceName) -> bool {
        let priorities = self.priorities.get(service);
        let differ = priorities.is_some_and(|(lowest, highest)| lowest < highest);
        differ && self.service(service).is_some_and(|s| s.engine.is_some())
    }

    /// Returns all services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the limits on callers' requests and connections.
    pub const fn limits(&self) -> Limits {
        self.limits
    }
}
