//! Tests of the cost of distributing a change in fleets of several sizes.

use std::collections::HashMap;

use thistlesill_core::{HallId, NodeId};
use thistlesill_policy::edge::spread::{
    RELAYS, delegate, is_near, parts, uses_relays, well_connected,
};

const HALLS: usize = 5;

fn fleet(daemons: usize) -> Vec<(NodeId, HallId)> {
    let daemon = |n: usize| {
        let hall = HallId::from(format!("hall-{}", n % HALLS));
        (NodeId::from(format!("edge-{n}")), hall)
    };
    (0..daemons).map(daemon).collect()
}

/// Datagrams that each daemon receives for one change, and how many cross between data centres.
fn spread(fleet: &[(NodeId, HallId)]) -> (HashMap<NodeId, usize>, usize) {
    let hall_of: HashMap<&NodeId, &HallId> = fleet.iter().map(|(n, h)| (n, h)).collect();
    let (mut received, mut crossed) = (HashMap::new(), 0);
    let mut send = |from: &HallId, to: &NodeId| {
        *received.entry(to.clone()).or_default() += 1;
        crossed += usize::from(hall_of[to] != from);
    };
    let reader = &fleet[0].1;
    for hall in (0..HALLS).map(|n| HallId::from(format!("hall-{n}"))) {
        let there = fleet.iter().filter(|(_, h)| *h == hall);
        for (relay, _) in there.take(RELAYS) {
            send(reader, relay);
            let near = fleet.iter().filter(|(_, h)| is_near(h, &hall));
            let near: Vec<NodeId> = near.map(|(n, _)| n.clone()).collect();
            for (first, rest) in parts(&near) {
                send(&hall, first);
                for name in rest {
                    send(&hall, name);
                }
            }
        }
    }
    (received, crossed)
}

/// Each of 984 daemons that had the list of all daemons but heartbeats from only a few considered
/// all others part of its own data centre: 25 MB per daemon in 56 s, half of it between data
/// centres.
#[test]
fn each_daemon_hears_a_change_from_the_relays_of_its_data_centre_only() {
    for daemons in [100, 300, 984, 2_000] {
        assert!(uses_relays(daemons));
        let fleet = fleet(daemons);
        let (received, crossed) = spread(&fleet);
        assert_eq!(received.len(), daemons, "all of {daemons} receive it");
        let most = received.values().max().copied().unwrap_or(0);
        assert!(most <= RELAYS + 1, "{daemons}: {most} datagrams at one");
        assert!(crossed <= RELAYS * HALLS, "{daemons}: {crossed} cross");
    }
}

#[test]
fn a_daemon_whose_data_centre_is_not_known_counts_as_near() {
    assert!(is_near(&HallId::default(), &"a".into()));
    assert!(!is_near(&"b".into(), &"a".into()));
}

#[test]
fn changes_are_passed_on_by_machines_whose_connections_bear_it() {
    let names: Vec<NodeId> = (0..4).map(|n| NodeId::from(format!("edge-{n}"))).collect();
    let links = [20, 1_000, 600, 400];
    let daemons: Vec<_> = names.iter().zip(links).collect();
    assert_eq!(well_connected(&daemons), [&names[1], &names[2]]);
    let unknown: Vec<_> = names.iter().map(|name| (name, 0)).collect();
    assert_eq!(
        well_connected(&unknown).len(),
        4,
        "none is known to have less bandwidth"
    );
}

/// Two delegates that asked each other would both wait until their proofs were too old.
#[test]
fn delegates_ask_the_reader_and_all_others_ask_delegates() {
    let names: Vec<NodeId> = (0..200)
        .map(|n| NodeId::from(format!("edge-{n:03}")))
        .collect();
    let link = |n: usize| if n >= 190 { 1_000 } else { 20 };
    let near: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(n, name)| (name, link(n)))
        .collect();
    let mut asked: HashMap<&NodeId, usize> = HashMap::new();
    for name in &names {
        match delegate(name, &near) {
            Some(delegate) => *asked.entry(delegate).or_default() += 1,
            None => assert!(near[190..192].iter().any(|(n, _)| *n == name), "{name}"),
        }
    }
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(asked.values().all(|count| *count >= 60), "{asked:?}");
}
