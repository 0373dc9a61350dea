//! Whether a request may pass, and what it is entitled to.

use std::sync::Arc;

use rand::RngExt;
use thistlesill_core::edge::{Bounds, Catalog, Route, Service};
use thistlesill_core::{CustomerId, ErrorKind, Millis};

use super::freshness::Freshness;

/// The key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key<'a> {
    /// None was sent.
    Missing,
    /// One was sent.
    Given(&'a str),
    /// What was sent is no single key.
    Unusable,
}

/// A request that asks to pass.
#[derive(Debug, Clone, Copy)]
pub struct Asking<'a> {
    /// The host that was named.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// The key.
    pub key: Key<'a>,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
}

/// A request that may pass.
#[derive(Debug, Clone)]
pub struct Passage {
    /// The version of the catalog that let it pass.
    pub version: u64,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that answers it.
    pub service: Arc<Service>,
    /// Its customer, unless the route is public.
    pub customer: Option<CustomerId>,
    /// Its rank, 0 first.
    pub priority: u8,
    /// Time until it must have its final answer.
    pub limit: Millis,
}

/// Decides whether a request may pass.
///
/// # Errors
///
/// The kind of error with which it is refused.
pub fn admit(
    catalog: Option<&Catalog>,
    fresh: &Freshness,
    bounds: &Bounds,
    asking: &Asking<'_>,
    now: Millis,
    rng: &mut impl rand::Rng,
) -> Result<Passage, ErrorKind> {
    let catalog = catalog.ok_or(ErrorKind::NotReady)?;
    let route = catalog
        .route(asking.host, asking.path)
        .ok_or(ErrorKind::NotFound)?;
    let mut customer = None;
    let mut priority = route.priority;
    if !route.public && catalog.needs_keys() {
        if !fresh.permits(bounds.revoke, now) {
            return Err(ErrorKind::NotReady);
        }
        let Key::Given(key) = asking.key else {
            return Err(ErrorKind::Unauthorized);
        };
        let holder = catalog.holder(key).ok_or(ErrorKind::Unauthorized)?;
        customer = Some(holder.customer.clone());
        priority = holder.priority.unwrap_or(priority);
    }
    let service = draw_service(catalog, route, rng).ok_or(ErrorKind::NoGroup)?;
    let limit = asking.deadline.unwrap_or(route.timeout).min(route.timeout);
    Ok(Passage {
        version: catalog.version,
        route: route.clone(),
        service,
        customer,
        priority,
        limit,
    })
}

/// Time in which the balancer notices that a stopping daemon takes no new
/// callers: it asks once a second and believes the second answer.
pub const BALANCER: Millis = Millis::new(2_600);

/// Whether a daemon that was told to stop `gone` ago still takes a request
/// that may last for `limit`, where it must end within `grace`.
///
/// Until the balancer has noticed, callers cannot know better. Later ones come
/// only if the balancer has nobody else, and would be broken off.
#[must_use]
pub fn may_still_take(gone: Millis, limit: Millis, grace: Millis) -> bool {
    gone < BALANCER || gone + limit < grace
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
