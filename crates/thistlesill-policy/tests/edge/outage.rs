//! Tests how soon a domain serves again after all its targets were lost for some seconds.

use thistlesill_core::edge::{Incarnation, TargetId};
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

/// Returns a fleet with one domain whose targets are dead, and their ids. Their entries are listed
/// for `listed` longer; the outage takes [`OUTAGE`].
fn after_outage(listed: Millis) -> (Simulation, Vec<TargetId>) {
    let mut sim = Simulation::formed(6);
    // The planner has watched for long enough to know all late joins.
    sim.run(secs(20));
    sim.demand.insert("large".into(), 2.4);
    let ids = domain(&sim);
    for id in &ids {
        sim.engines.kill(id);
    }
    sim.run(listed);
    for id in &ids {
        sim.engines.unlist(id);
    }
    sim.run(OUTAGE - listed);
    assert_eq!(sim.sizes(), (5, 5));
    (sim, ids)
}

/// Guards against targets that stay idle for up to ten seconds after they have restarted with the
/// weights on their hosts: they waited for the leader of their last group, which had restarted too.
#[test]
fn a_domain_that_restarts_serves_again_as_soon_as_the_weights_are_loaded() {
    for listed in [0, 4, 8] {
        let (mut sim, ids) = after_outage(secs(listed));
        for id in &ids {
            let born = Incarnation::new(sim.wall());
            sim.engines.restart(id, born);
        }
        // The weights take 1.6 s.
        sim.run(secs(3));
        let (large, small) = sim.sizes();
        assert!(
            large >= 6 && large + small >= 12,
            "listed for {listed} s: {large} {small}"
        );
        sim.assert_no_breaches();
    }
}

/// Guards against members that join another group while the leader of their last one, which nothing
/// reaches, may still serve.
#[test]
fn members_that_restart_without_their_leader_wait_until_it_must_have_stopped() {
    let mut sim = Simulation::formed(6);
    sim.run(secs(20));
    let (leader, members) = sim.group_of(4);
    sim.isolate(&leader);
    let mut restarted = Vec::new();
    for id in members.iter().filter(|id| **id != leader) {
        let born = Incarnation::new(sim.wall());
        restarted.extend(sim.engines.restart(id, born));
    }
    sim.run(secs(9));
    let joined = |id: &TargetId| sim.first_order("join", id).is_some();
    assert!(!restarted.iter().any(joined), "{:?}", sim.orders);
    sim.assert_no_breaches();
}

/// Guards against targets that count as dead for 8 s after they answer again: no group reported
/// them, so nothing probed them.
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
