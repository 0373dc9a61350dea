//! Admission of requests: checks the key, and determines route, service, customer and priority.

use std::sync::Arc;

use rand::RngExt;
use thistlesill_core::edge::{Bounds, Catalog, Route, Service};
use thistlesill_core::{CustomerId, ErrorKind, Millis};

use super::freshness::Freshness;
use super::shortage::Urgency;

/// The API key that came with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key<'a> {
    /// No key was sent.
    Missing,
    /// The key that was sent.
    Given(&'a str),
    /// Something was sent that is not exactly one key.
    Unusable,
}

/// The parts of a request that decide on its admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Host that the caller addressed.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// API key of the request.
    pub key: Key<'a>,
    /// How long the caller waits, if it set a deadline.
    pub deadline: Option<Millis>,
}

/// An admitted request.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Version of the catalog that admitted the request.
    pub version: u64,
    /// Route that matches host and path.
    pub route: Arc<Route>,
    /// Service that answers the request, drawn by the weights of the route.
    pub service: Arc<Service>,
    /// Customer that the key belongs to; `None` if the route is public.
    pub customer: Option<CustomerId>,
    /// Priority of the customer, or of the route if the customer has none; 0 is the highest.
    pub priority: u8,
    /// Time until the request must have its final answer.
    pub timeout: Millis,
}

impl Admission {
    /// Returns the rank of the request among those of its service.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        Urgency {
            customer: self.priority,
            route: self.route.priority,
        }
    }
}

/// Decides whether a request is admitted.
///
/// # Errors
///
/// Returns the kind of error with which the request is refused.
pub fn admit(
    catalog: Option<&Catalog>,
    fresh: &Freshness,
    bounds: &Bounds,
    request: &AdmissionRequest<'_>,
    now: Millis,
    rng: &mut impl rand::Rng,
) -> Result<Admission, ErrorKind> {
    let catalog = catalog.ok_or(ErrorKind::NotReady)?;
    let route = catalog
        .route(request.host, request.path)
        .ok_or(ErrorKind::NotFound)?;
    let mut customer = None;
    let mut priority = route.priority;
    if !route.public && catalog.needs_keys() {
        if !fresh.permits(bounds.revoke, now) {
            return Err(ErrorKind::NotReady);
        }
        let Key::Given(key) = request.key else {
            return Err(ErrorKind::Unauthorized);
        };
        let holder = catalog.holder(key).ok_or(ErrorKind::Unauthorized)?;
        customer = Some(holder.customer.clone());
        priority = holder.priority.unwrap_or(priority);
    }
    let service = draw_service(catalog, route, rng).ok_or(ErrorKind::NoGroup)?;
    let timeout = request.deadline.unwrap_or(route.timeout).min(route.timeout);
    Ok(Admission {
        version: catalog.version,
        route: route.clone(),
        service,
        customer,
        priority,
        timeout,
    })
}

/// Time in which the balancer notices that a stopping daemon accepts no new callers: it asks once a
/// second and acts on the second answer that says so.
pub const BALANCER_DETECTION: Millis = Millis::new(2_600);

/// Who sent a request to a daemon that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentBy {
    /// A caller, whose connection the balancer passed on.
    Caller,
    /// A peer, which can choose another one.
    Peer,
}

/// How much longer than usual a request may take that a stopping daemon accepts.
const USUAL_TIME_FACTOR: f64 = 1.25;

/// A request that arrives at a stopping daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateRequest {
    /// Who sent the request.
    pub sender: SentBy,
    /// How long the request may last.
    pub limit: Millis,
    /// How long requests to its service usually take, if that is known.
    pub usual: Option<Millis>,
}

/// Returns whether a daemon that began to stop `gone` ago still accepts a request, where all answers must
/// be ready within `grace`.
///
/// Until the balancer has noticed, callers cannot avoid the daemon, and most of their requests end in
/// time, as long as those of the service usually do. Later callers arrive only if the balancer has no
/// other daemon. A request that does not end within `grace` has no answer of its target.
#[must_use]
pub fn accepts_while_stopping(request: LateRequest, gone: Millis, grace: Millis) -> bool {
    let is_unavoidable = request.sender == SentBy::Caller && gone < BALANCER_DETECTION;
    let expected = match request.usual {
        Some(usual) if is_unavoidable => {
            let longer = Millis::new((usual.get() as f64 * USUAL_TIME_FACTOR) as u64);
            longer.min(request.limit)
        }
        None if is_unavoidable => Millis::ZERO,
        _ => request.limit,
    };
    gone + expected < grace
}

/// Draws one of the route's services by weight.
fn draw_service(
    catalog: &Catalog,
    route: &Route,
    rng: &mut impl rand::Rng,
) -> Option<Arc<Service>> {
    let total: u32 = route.shares.iter().map(|s| s.weight).sum();
    if total == 0 {
        return None;
    }
    let mut drawn = rng.random_range(0..total);
    for share in &route.shares {
        if drawn < share.weight {
            return catalog.service(&share.service).cloned();
        }
        drawn -= share.weight;
    }
    None
}
