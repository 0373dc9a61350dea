//! Tests of which connection of a caller gives way to another one.

use quickcheck::TestResult;
use thistlesill_core::Millis;
use thistlesill_policy::edge::eviction::{Connections, Phase};

const fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Opens a connection in a phase since a time.
fn open(connections: &mut Connections, phase: Phase, since: u64) -> u64 {
    let id = connections.open(at(since));
    connections.note(id, phase, at(since));
    id
}

#[test]
fn a_caller_with_a_request_gives_way_to_a_client_without_one() {
    let mut connections = Connections::default();
    open(&mut connections, Phase::Busy, 0);
    open(&mut connections, Phase::Body, 9_500);
    assert_eq!(connections.evict_for_place(at(10_000)), None);
}

#[test]
fn connections_that_sent_nothing_give_way_before_idle_ones_and_idle_ones_before_new_ones() {
    let mut connections = Connections::default();
    let new = open(&mut connections, Phase::Opening, 9_900);
    let idle = open(&mut connections, Phase::Idle, 2_000);
    let stalled = open(&mut connections, Phase::Body, 1_000);
    let late = open(&mut connections, Phase::Opening, 5_000);
    let silent = open(&mut connections, Phase::Opening, 3_000);
    let refused = open(&mut connections, Phase::Refused, 9_999);
    for _ in 0..40 {
        open(&mut connections, Phase::Busy, 0);
    }
    let order: Vec<u64> = std::iter::from_fn(|| connections.evict_for_place(at(10_000)))
        .map(|(id, _)| id)
        .collect();
    assert_eq!(order, [refused, silent, late, stalled, idle, new]);
}

#[test]
fn a_flood_of_new_connections_displaces_callers_between_two_requests() {
    let mut connections = Connections::default();
    let idle = open(&mut connections, Phase::Idle, 0);
    let new: Vec<u64> = (0..4)
        .map(|i| open(&mut connections, Phase::Opening, 9_900 + i))
        .collect();
    let order: Vec<u64> = std::iter::from_fn(|| connections.evict_for_place(at(10_000)))
        .map(|(id, _)| id)
        .collect();
    assert_eq!(order[..4], new);
    assert_eq!(order[4], idle);
}

#[test]
fn a_body_that_arrives_gives_its_memory_to_another_one() {
    let mut connections = Connections::default();
    open(&mut connections, Phase::Opening, 0);
    open(&mut connections, Phase::Idle, 0);
    let slow = open(&mut connections, Phase::Body, 100);
    let slower = open(&mut connections, Phase::Body, 50);
    assert_eq!(connections.evict_for_memory(at(1_000)), None);
    connections.note(slow, Phase::Body, at(900));
    let evicted = Some((slower, Phase::Body));
    assert_eq!(connections.evict_for_memory(at(1_500)), evicted);
    assert_eq!(connections.evict_for_memory(at(1_500)), None);
}

#[test]
fn a_refused_body_that_is_still_read_counts_as_idle() {
    let mut connections = Connections::default();
    let id = open(&mut connections, Phase::Refused, 0);
    connections.note_answered(id, at(10));
    assert_eq!(
        connections.evict_for_place(at(20)),
        Some((id, Phase::Refused))
    );
    connections.note(id, Phase::Idle, at(30));
    assert_eq!(connections.evict_for_place(at(40)), None, "it is closed");
}

#[test]
fn a_request_in_progress_is_never_evicted() {
    fn holds(phases: Vec<(u8, u16)>, busy_since: u16) -> TestResult {
        let mut connections = Connections::default();
        let busy = open(&mut connections, Phase::Busy, busy_since.into());
        for (phase, since) in phases {
            let phase = match phase % 4 {
                0 => Phase::Opening,
                1 => Phase::Body,
                2 => Phase::Refused,
                _ => Phase::Idle,
            };
            open(&mut connections, phase, since.into());
        }
        let mut evicted =
            std::iter::from_fn(|| connections.evict_for_place(at(u64::from(u16::MAX))));
        TestResult::from_bool(evicted.all(|(id, phase)| id != busy && phase != Phase::Busy))
    }
    quickcheck::quickcheck(holds as fn(Vec<(u8, u16)>, u16) -> TestResult);
}
