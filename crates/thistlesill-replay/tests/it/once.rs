//! A request marked as not repeatable runs at most once.

use thistlesill_core::{ErrorKind, Millis};
use thistlesill_policy::router::Arrival;
use thistlesill_replay::stage::{Answer, Power, Stage, TableMode};

use crate::support::{assert_answers_true, keyed, options, serving};

const DUE: Millis = Millis::new(20_000);

fn ask(stage: &mut Stage, router: usize, arrival: Arrival) {
    stage.ask(router, arrival, 40, DUE);
}

/// How often requests with these numbers ran, together.
fn runs(stage: &Stage, numbers: &[u128]) -> u32 {
    let run = |n: &u128| {
        let id = keyed(*n, "").request.to_string();
        stage.runs().get(&id).copied().unwrap_or(0)
    };
    numbers.iter().map(run).sum()
}

fn failed(stage: &Stage, number: u128) -> Option<ErrorKind> {
    match stage.answer(keyed(number, "").request) {
        Some(Answer::Failed(kind)) => Some(*kind),
        _ => None,
    }
}

#[test]
fn same_key_through_two_routers_at_once() {
    let mut stage = serving(options(), 2);
    ask(&mut stage, 0, keyed(1, "k"));
    ask(&mut stage, 1, keyed(2, "k"));
    ask(&mut stage, 0, keyed(3, "k"));
    stage.run(Millis::new(10_000));
    assert_eq!(runs(&stage, &[1, 2, 3]), 1);
    assert_eq!(stage.answer(keyed(1, "k").request), Some(&Answer::Whole));
    assert_eq!(failed(&stage, 2), Some(ErrorKind::KeyHeld));
    assert_eq!(failed(&stage, 3), Some(ErrorKind::KeyHeld));
}

#[test]
fn sent_again_later_gets_the_record() {
    let mut stage = serving(options(), 2);
    ask(&mut stage, 0, keyed(1, "k"));
    stage.run(Millis::new(10_000));
    ask(&mut stage, 1, keyed(2, "k"));
    stage.run(Millis::new(2_000));
    assert_eq!(stage.answer(keyed(2, "k").request), Some(&Answer::Recorded));
    assert_eq!(runs(&stage, &[1, 2]), 1);
}

#[test]
fn key_reused_with_another_body() {
    let mut stage = serving(options(), 2);
    ask(&mut stage, 0, keyed(1, "k"));
    stage.run(Millis::new(10_000));
    let other = Arrival {
        body: "another".to_owned(),
        ..keyed(2, "k")
    };
    ask(&mut stage, 1, other);
    stage.run(Millis::new(2_000));
    assert_eq!(failed(&stage, 2), Some(ErrorKind::KeyReused));
    assert_eq!(runs(&stage, &[1, 2]), 1);
}

#[test]
fn router_killed_after_claim_and_send() {
    let mut stage = serving(options(), 2);
    ask(&mut stage, 0, keyed(1, "k"));
    stage.step();
    stage.router_power(0, Power::Off);
    ask(&mut stage, 1, keyed(2, "k"));
    stage.run(Millis::new(5_000));
    assert_eq!(
        failed(&stage, 2),
        Some(ErrorKind::KeyHeld),
        "it may have run"
    );
    assert!(runs(&stage, &[1, 2]) <= 1);
    stage.router_power(0, Power::On);
    stage.run(Millis::new(5_000));
    ask(&mut stage, 0, keyed(3, "k"));
    stage.run(Millis::new(5_000));
    assert!(runs(&stage, &[1, 2, 3]) <= 1);
}

#[test]
fn table_down_refuses_as_not_run() {
    let mut stage = serving(options(), 2);
    stage.set_table(TableMode::Down);
    ask(&mut stage, 0, keyed(1, "k"));
    stage.run(Millis::new(4_000));
    assert_eq!(failed(&stage, 1), Some(ErrorKind::ClaimDown));
    assert_eq!(runs(&stage, &[1]), 0);
    stage.set_table(TableMode::Up);
    stage.run(Millis::new(3_000));
    ask(&mut stage, 1, keyed(2, "k"));
    stage.run(Millis::new(10_000));
    assert_eq!(stage.answer(keyed(2, "k").request), Some(&Answer::Whole));
    assert_eq!(runs(&stage, &[1, 2]), 1);
}

#[test]
fn lost_answer_of_a_claim_is_read_back() {
    let mut stage = serving(options(), 2);
    stage.set_table(TableMode::LoseAnswers);
    ask(&mut stage, 0, keyed(1, "k"));
    ask(&mut stage, 1, keyed(2, "k"));
    stage.run(Millis::new(10_000));
    assert_eq!(stage.answer(keyed(1, "k").request), Some(&Answer::Whole));
    assert_eq!(failed(&stage, 2), Some(ErrorKind::KeyHeld));
    assert_eq!(runs(&stage, &[1, 2]), 1);
}

#[test]
fn given_up_claim_is_freed_when_the_table_returns() {
    let mut stage = serving(options(), 2);
    // The claim takes effect, then the table is gone: the caller is told
    // that nothing ran, and the key must be free again later.
    stage.set_table(TableMode::LoseAnswers);
    ask(&mut stage, 0, keyed(1, "k"));
    stage.set_table(TableMode::Down);
    stage.run(Millis::new(4_000));
    assert_eq!(failed(&stage, 1), Some(ErrorKind::ClaimDown));
    stage.set_table(TableMode::Up);
    stage.run(Millis::new(5_000));
    ask(&mut stage, 1, keyed(2, "k"));
    stage.run(Millis::new(10_000));
    assert_eq!(stage.answer(keyed(2, "k").request), Some(&Answer::Whole));
    assert_eq!(runs(&stage, &[1, 2]), 1);
}

#[test]
fn group_lost_while_it_runs() {
    let mut stage = serving(options(), 2);
    ask(&mut stage, 0, keyed(1, "k"));
    stage.run(Millis::new(400));
    assert_eq!(runs(&stage, &[1]), 1);
    for n in 0..9 {
        stage.power(&format!("d-{n:02}"), Power::Off);
    }
    stage.run(Millis::new(30_000));
    let kind = failed(&stage, 1).expect("a final answer");
    assert_ne!(
        kind.answer().ran,
        thistlesill_core::error::Ran::No,
        "{kind}"
    );
    for n in 0..9 {
        stage.power(&format!("d-{n:02}"), Power::On);
    }
    stage.run(Millis::new(30_000));
    ask(&mut stage, 1, keyed(2, "k"));
    stage.run(Millis::new(10_000));
    assert_eq!(runs(&stage, &[1, 2]), 1, "its key is never granted again");
    assert_answers_true(&stage);
}
