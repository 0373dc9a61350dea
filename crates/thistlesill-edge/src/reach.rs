//! Whether this daemon reaches the targets of each service, by what it observes itself.

use std::cell::RefCell;
use std::collections::HashMap;

use thistlesill_core::edge::Target;
use thistlesill_core::{Millis, ServiceName};
use thistlesill_policy::edge::reach::{Reach, ReachChange};

use crate::state::Edge;

/// This daemon's links to the targets, by service.
#[derive(Debug, Default)]
pub(crate) struct Links {
    services: RefCell<HashMap<ServiceName, Reach>>,
}

impl Links {
    /// Returns the services to whose targets the links are lost.
    pub(crate) fn lost(&self) -> Vec<ServiceName> {
        let services = self.services.borrow();
        let lost = services.iter().filter(|(_, reach)| reach.is_lost());
        lost.map(|(service, _)| service.clone()).collect()
    }
}

/// Records that a target answered on a connection that this daemon opened at `opened`.
pub(crate) fn note_answer(edge: &Edge, target: &Target, opened: Millis) {
    let change = update(edge, &target.service, |reach, now, targets| {
        reach.note_answer(&target.id, opened, now, targets)
    });
    react(edge, &target.service, change);
}

/// Records that an exchange with a target, which began at `begun`, had no answer.
pub(crate) fn note_failure(edge: &Edge, target: &Target, begun: Millis) {
    let change = update(edge, &target.service, |reach, now, targets| {
        reach.note_failure(&target.id, begun, now, targets)
    });
    react(edge, &target.service, change);
}

/// Applies an observation to the links to a service, with the time and the number of its targets.
fn update(
    edge: &Edge,
    service: &ServiceName,
    step: impl FnOnce(&mut Reach, Millis, usize) -> ReachChange,
) -> ReachChange {
    let registry = edge.registry.borrow();
    let targets = registry.of_service(service).map_or(1, HashMap::len);
    let mut services = edge.links.services.borrow_mut();
    let reach = services.entry(service.clone()).or_default();
    step(reach, edge.now(), targets)
}

fn react(edge: &Edge, service: &ServiceName, change: ReachChange) {
    match change {
        ReachChange::Unchanged | ReachChange::Doubtful => return,
        ReachChange::Lost => {
            let services = edge.links.services.borrow();
            let failed = services.get(service).map_or(0, |r| r.failed().count());
            let line = edge.lines.line("links_lost").with("service", service);
            line.with("failed", failed).write();
        }
        ReachChange::Restored(after) => {
            let line = edge.lines.line("links_restored").with("service", service);
            line.with("after_ms", after.get()).write();
        }
    }
    metrics::gauge!("thistlesill_edge_services_out_of_reach").set(edge.links.lost().len() as f64);
}
