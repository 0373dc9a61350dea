//! Tests how soon a domain serves again after all its targets were lost for some seconds.

use thistlesill_core::edge::TargetId;
use thistlesill_core::{DomainId, Millis};

use crate::stage::Simulation;

/// Duration of the outage.
const OUTAGE: Millis = Millis::new(9_000);

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

/// Returns the targets of the first domain.
fn domain(sim: &Simulation) -> Vec<TargetId> {
    let listed = sim.engines.listed().into_values();
    let near = listed.filter(|t| t.domain.as_ref().map_or("", DomainId::as_str) == "d-0");
    let mut ids: Vec<TargetId> = near.map(|t| t.id).collect();
    ids.sort();
    ids
}

/// Guards against targets that count as dead for 8 s after they answer again: no group told of them,
/// so nothing probed them.
#[test]
fn idle_targets_that_did_not_answer_are_used_soon_after_they_answer_again() {
    let mut sim = Simulation::formed(6);
    sim.run(secs(20));
    let ids = domain(&sim);
    // The leaders' streams stop, and their groups break while nothing reaches the domain.
    sim.isolated.extend(ids.iter().cloned());
    sim.slow_leaders.extend(ids.iter().cloned());
    for id in &ids {
        sim.engines.kill(id);
    }
    sim.run(OUTAGE);
    sim.slow_leaders.clear();
    sim.isolated.clear();
    for id in &ids {
        // The process has lost its group; its start is not known.
        sim.engines.restart(id, id.incarnation());
    }
    sim.run(secs(4));
    let (large, small) = sim.sizes();
    assert!(
        large >= 6 && large + small >= 12,
        "{large} large, {small} small"
    );
    sim.assert_no_breaches();
}
