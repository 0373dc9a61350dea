//! One version of the operators' routes, services, customers and limits.

use std::collections::HashMap;
use std::sync::Arc;

use super::RateLimit;
use crate::{CustomerId, Millis, Model, ServiceName};

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events; runs at most once unless the route
    /// lets a stream be resumed.
    Stream,
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetShare {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A route from a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The beginning of its paths.
    pub prefix: Arc<str>,
    /// Where its requests go.
    pub shares: Vec<TargetShare>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// The longest that a request is held.
    pub timeout: Millis,
    /// The latency objective, to the first event for streams.
    pub aim: Millis,
    /// The longest pause between a stream's events that is in time.
    pub pause: Option<Millis>,
    /// Rank, 0 first; a customer's own rank goes before it.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be taken up at another target.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub const fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A model that a service's targets can run as groups.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPlan {
    /// The model.
    pub model: Model,
    /// Targets of one group.
    pub size: u32,
    /// Its part of the service's requests at the start, 0 to 1.
    pub share: f64,
    /// Factor on all of the engine's times.
    pub pace: f64,
}

/// Figures of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Milliseconds of a token step.
    pub step: f64,
    /// Milliseconds that each running request adds to a step.
    pub step_each: f64,
    /// Prompt tokens read per second.
    pub read_rate: f64,
    /// Token steps between two events of a stream.
    pub stride: u32,
    /// Loads of weights that may start per second, over all targets.
    pub loads_rate: f64,
    /// Loads that may run at once before they slow each other down.
    pub loads_once: usize,
    /// The models, with the sizes of their groups.
    pub models: Vec<ModelPlan>,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
}

impl Engine {
    /// The plan of a model, if the service runs it.
    pub fn plan(&self, model: &Model) -> Option<&ModelPlan> {
        self.models.iter().find(|plan| plan.model == *model)
    }
}

/// How targets warm up after they have started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// How long it takes.
    pub time: Millis,
    /// Requests a second that a target takes meanwhile, from all daemons together.
    pub limit: RateLimit,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that each of its targets accepts from all callers.
    pub connections: u32,
    /// How its targets warm up, if they take fewer requests until then.
    pub warmup: Option<Warmup>,
    /// Figures of its engines, if it runs models.
    pub engine: Option<Engine>,
}

/// Limits on what a caller sends and how long it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time that an unused connection stays open.
    pub idle: Millis,
}

/// The holder of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The customer.
    pub customer: CustomerId,
    /// The customer's rank, if it has one of its own.
    pub priority: Option<u8>,
}

/// One version of all that the operators set.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Rises with every change.
    pub version: u64,
    hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    keys: HashMap<Box<str>, KeyHolder>,
    limits: Limits,
}

impl Catalog {
    /// An empty catalog.
    #[must_use]
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            hosts: HashMap::new(),
            services: HashMap::new(),
            keys: HashMap::new(),
            limits,
        }
    }

    /// Adds a route of a host.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self
            .hosts
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        let at = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a customer's key.
    pub fn add_key(&mut self, key: &str, customer: CustomerId, priority: Option<u8>) {
        self.keys
            .insert(key.into(), KeyHolder { customer, priority });
    }

    /// The route of a host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host).or_else(|| {
            let lower = host.to_ascii_lowercase();
            let bare = lower.split(':').next().unwrap_or_default();
            self.hosts.get(bare)
        })?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The holder of a key.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.keys.get(key)
    }

    /// Whether requests need a key unless their route is public.
    pub fn needs_keys(&self) -> bool {
        !self.keys.is_empty()
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The limits on callers.
    pub const fn limits(&self) -> Limits {
        self.limits
    }
}
