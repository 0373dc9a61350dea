//! A request that is not repeatable runs at most once.

use thistlesill_core::{ErrorKind, Millis};
use thistlesill_policy::router::Arrival;
use thistlesill_replay::stage::{Answer, Power, Simulation, TableMode};

use crate::support::{assert_answers_consistent, keyed, options, serving};

/// Time after which an answer is late.
const DUE: Millis = Millis::new(20_000);

/// Sends a request with an answer of 40 tokens.
fn submit(sim: &mut Simulation, router: usize, arrival: Arrival) {
    sim.submit(router, arrival, 40, DUE);
}

/// Returns how often the requests with these numbers ran in total.
fn runs(sim: &Simulation, numbers: &[u128]) -> u32 {
    let run = |n: &u128| {
        let id = keyed(*n, "").request.to_string();
        sim.runs().get(&id).copied().unwrap_or(0)
    };
    numbers.iter().map(run).sum()
}

/// Returns the error that a request failed with.
fn failure(sim: &Simulation, number: u128) -> Option<ErrorKind> {
    match sim.answer(keyed(number, "").request) {
        Some(Answer::Failed(kind)) => Some(*kind),
        _ => None,
    }
}

#[test]
fn same_key_through_two_routers_at_once() {
    let mut sim = serving(options(), 2);
    submit(&mut sim, 0, keyed(1, "k"));
    submit(&mut sim, 1, keyed(2, "k"));
    submit(&mut sim, 0, keyed(3, "k"));
    sim.run(Millis::new(10_000));
    assert_eq!(runs(&sim, &[1, 2, 3]), 1);
    assert_eq!(sim.answer(keyed(1, "k").request), Some(&Answer::Whole));
    assert_eq!(failure(&sim, 2), Some(ErrorKind::KeyHeld));
    assert_eq!(failure(&sim, 3), Some(ErrorKind::KeyHeld));
}

#[test]
fn sent_again_later_gets_the_record() {
    let mut sim = serving(options(), 2);
    submit(&mut sim, 0, keyed(1, "k"));
    sim.run(Millis::new(10_000));
    submit(&mut sim, 1, keyed(2, "k"));
    sim.run(Millis::new(2_000));
    assert_eq!(sim.answer(keyed(2, "k").request), Some(&Answer::Recorded));
    assert_eq!(runs(&sim, &[1, 2]), 1);
}

#[test]
fn key_reused_with_another_body() {
    let mut sim = serving(options(), 2);
    submit(&mut sim, 0, keyed(1, "k"));
    sim.run(Millis::new(10_000));
    let other = Arrival {
        body: "another".to_owned(),
        ..keyed(2, "k")
    };
    submit(&mut sim, 1, other);
    sim.run(Millis::new(2_000));
    assert_eq!(failure(&sim, 2), Some(ErrorKind::KeyReused));
    assert_eq!(runs(&sim, &[1, 2]), 1);
}

#[test]
fn router_killed_after_claim_and_send() {
    let mut sim = serving(options(), 2);
    submit(&mut sim, 0, keyed(1, "k"));
    sim.step();
    sim.set_router_power(0, Power::Off);
    submit(&mut sim, 1, keyed(2, "k"));
    sim.run(Millis::new(5_000));
    assert_eq!(
        failure(&sim, 2),
        Some(ErrorKind::KeyHeld),
        "it may have run"
    );
    assert!(runs(&sim, &[1, 2]) <= 1);
    sim.set_router_power(0, Power::On);
    sim.run(Millis::new(5_000));
    submit(&mut sim, 0, keyed(3, "k"));
    sim.run(Millis::new(5_000));
    assert!(runs(&sim, &[1, 2, 3]) <= 1);
}

#[test]
fn table_down_refuses_as_not_run() {
    let mut sim = serving(options(), 2);
    sim.set_table(TableMode::Down);
    submit(&mut sim, 0, keyed(1, "k"));
    sim.run(Millis::new(4_000));
    assert_eq!(failure(&sim, 1), Some(ErrorKind::ClaimDown));
    assert_eq!(runs(&sim, &[1]), 0);
    sim.set_table(TableMode::Up);
    sim.run(Millis::new(3_000));
    submit(&mut sim, 1, keyed(2, "k"));
    sim.run(Millis::new(10_000));
    assert_eq!(sim.answer(keyed(2, "k").request), Some(&Answer::Whole));
    assert_eq!(runs(&sim, &[1, 2]), 1);
}

#[test]
fn lost_answer_of_a_claim_is_read_back() {
    let mut sim = serving(options(), 2);
    sim.set_table(TableMode::LoseAnswers);
    submit(&mut sim, 0, keyed(1, "k"));
    submit(&mut sim, 1, keyed(2, "k"));
    sim.run(Millis::new(10_000));
    assert_eq!(sim.answer(keyed(1, "k").request), Some(&Answer::Whole));
    assert_eq!(failure(&sim, 2), Some(ErrorKind::KeyHeld));
    assert_eq!(runs(&sim, &[1, 2]), 1);
}

#[test]
fn given_up_claim_is_freed_when_the_table_returns() {
    let mut sim = serving(options(), 2);
    // The claim is committed, then the table fails. The caller gets an error that says that
    // nothing ran, so the key must be free again later.
    sim.set_table(TableMode::LoseAnswers);
    submit(&mut sim, 0, keyed(1, "k"));
    sim.set_table(TableMode::Down);
    sim.run(Millis::new(4_000));
    assert_eq!(failure(&sim, 1), Some(ErrorKind::ClaimDown));
    sim.set_table(TableMode::Up);
    sim.run(Millis::new(5_000));
    submit(&mut sim, 1, keyed(2, "k"));
    sim.run(Millis::new(10_000));
    assert_eq!(sim.answer(keyed(2, "k").request), Some(&Answer::Whole));
    assert_eq!(runs(&sim, &[1, 2]), 1);
}

#[test]
fn group_lost_while_it_runs() {
    let mut sim = serving(options(), 2);
    submit(&mut sim, 0, keyed(1, "k"));
    sim.run(Millis::new(400));
    assert_eq!(runs(&sim, &[1]), 1);
    for n in 0..9 {
        sim.set_power(&format!("d-{n:02}"), Power::Off);
    }
    sim.run(Millis::new(30_000));
    let kind = failure(&sim, 1).expect("a final answer");
    assert_ne!(
        kind.answer().ran,
        thistlesill_core::error::Ran::No,
        "{kind}"
    );
    for n in 0..9 {
        sim.set_power(&format!("d-{n:02}"), Power::On);
    }
    sim.run(Millis::new(30_000));
    submit(&mut sim, 1, keyed(2, "k"));
    sim.run(Millis::new(10_000));
    assert_eq!(runs(&sim, &[1, 2]), 1, "its key can never be claimed again");
    assert_answers_consistent(&sim);
}
