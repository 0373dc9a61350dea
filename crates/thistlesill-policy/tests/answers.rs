//! Answers: each caller gets the complete answer to its own request, once and in order, and no
//! error says "not run" of a request that may have run.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use thistlesill_core::error::Ran;
use thistlesill_core::message::{Heartbeat, ObservedState, Sighting};
use thistlesill_core::report::{Load, Membership};
use thistlesill_core::settings::{Branch, Tree};
use thistlesill_core::{ErrorKind, Millis, RequestId};
use thistlesill_fakes::seeded;
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::router::{
    Arrival, AttemptEvent, Dispatch, Ending, Mode, RouterAction, RouterCore, RouterEvent,
    RouterOptions, Wanted,
};
use thistlesill_policy::serving::GroupKey;

const NOW: Millis = Millis::new(1_000_000);
const ID: RequestId = RequestId::new(1);

fn sighting(n: u32) -> Sighting {
    Sighting {
        instance: format!("i{n}").into(),
        hall: "h".into(),
        domain: "d".into(),
        generation: "a".into(),
        accelerators: 8,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + n as u16)),
        incarnation: 1,
        leaving: false,
        state: ObservedState::Ready(Membership {
            group: format!("g{n}").into(),
            epoch: 7,
            rank: 0,
            size: 1,
            load: Load {
                model: "m".into(),
                ..Load::default()
            },
        }),
    }
}

/// Creates a router that sees two groups of one member each.
fn router() -> RouterCore {
    let options = RouterOptions {
        name: "r0".into(),
        region: "r".into(),
        hall: "h".into(),
        max_waiting: 10,
        balancer_grace: Millis::new(100),
        stop_timeout: Millis::new(1_000),
        seed: 1,
        rule: PickRule::default(),
    };
    let root = Branch {
        model: Some("m".into()),
        attempts: Some(3),
        retry_percent: Some(100),
        presence_ms: Some(60_000),
        ..Branch::default()
    };
    let mut core = RouterCore::new(options).expect("valid charts");
    let tree = Tree::new(1, [("/".to_owned(), root)].into());
    core.step(RouterEvent::Settings(Arc::new(tree)), NOW);
    let heartbeat = Heartbeat {
        seq: 1,
        run: 1,
        oldest: Millis::ZERO,
        changes: 2,
        changed: (0..2).map(sighting).collect(),
        gauges: Vec::new(),
    };
    let event = RouterEvent::Heartbeat {
        from: "w".into(),
        heartbeat,
        lag: 0,
    };
    core.step(event, NOW);
    core
}

fn arrival(repeatable: bool) -> Arrival {
    Arrival {
        request: ID,
        customer: "c".into(),
        wanted: Wanted::Model("m".into()),
        prefix: None,
        deadline: None,
        priority: None,
        repeatable: Some(repeatable),
        key: None,
        body: String::new(),
        resume: None,
    }
}

/// A request under way and the actions that it caused.
struct Session {
    core: RouterCore,
    now: Millis,
    sent: Vec<Dispatch>,
    delivered: Vec<(u32, String)>,
    endings: Vec<Ending>,
    failures: Vec<ErrorKind>,
}

impl Session {
    fn begin(repeatable: bool) -> Self {
        let mut session = Self {
            core: router(),
            now: NOW,
            sent: Vec::new(),
            delivered: Vec::new(),
            endings: Vec::new(),
            failures: Vec::new(),
        };
        session.step(RouterEvent::Arrive(Box::new(arrival(repeatable))));
        assert_eq!(session.sent.len(), 1);
        session
    }

    fn step(&mut self, event: RouterEvent) {
        for action in self.core.step(event, self.now) {
            match action {
                RouterAction::Send(dispatch) => self.sent.push(*dispatch),
                RouterAction::Deliver { offset, text, .. } => {
                    self.delivered.push((offset, text.to_string()));
                }
                RouterAction::Finish { ending, .. } => self.endings.push(*ending),
                RouterAction::Fail { kind, .. } => self.failures.push(kind),
                _ => {}
            }
        }
    }

    fn attempt(&mut self, attempt: u32, what: AttemptEvent) {
        self.step(RouterEvent::Attempt {
            request: ID,
            attempt,
            what,
        });
    }

    /// Lets the longest backoff pass.
    fn wait(&mut self) {
        self.now = self.now + Millis::new(1_100);
        self.step(RouterEvent::Tick);
    }

    fn last(&self) -> &Dispatch {
        self.sent.last().expect("a sent attempt")
    }

    fn piece(&self, offset: u32) -> AttemptEvent {
        piece(ID, &self.last().key, offset)
    }

    fn end(&self, count: u32) -> AttemptEvent {
        AttemptEvent::End {
            request: ID,
            key: self.last().key.clone(),
            count,
            reason: "stop".into(),
        }
    }

    fn offsets(&self) -> Vec<u32> {
        self.delivered.iter().map(|(o, _)| *o).collect()
    }
}

fn piece(request: RequestId, key: &GroupKey, offset: u32) -> AttemptEvent {
    AttemptEvent::Piece {
        request,
        key: key.clone(),
        offset,
        text: format!("{offset} ").into(),
    }
}

#[test]
fn doubled_pieces_are_dropped() {
    let mut session = Session::begin(true);
    for offset in [0, 0, 1, 1, 0, 2] {
        session.attempt(1, session.piece(offset));
    }
    session.attempt(1, session.end(3));
    assert_eq!(session.offsets(), vec![0, 1, 2]);
    assert_eq!(session.endings.len(), 1);
    assert_eq!(session.core.status().dropped, 3);
}

#[test]
fn reordered_pieces_are_put_in_order() {
    let mut session = Session::begin(true);
    for offset in [2, 1, 3, 0] {
        session.attempt(1, session.piece(offset));
    }
    session.attempt(1, session.end(4));
    assert_eq!(session.offsets(), vec![0, 1, 2, 3]);
    assert_eq!(session.endings.len(), 1);
}

#[test]
fn end_before_the_last_pieces_waits_for_them() {
    let mut session = Session::begin(true);
    session.attempt(1, session.piece(0));
    session.attempt(1, session.end(3));
    assert!(session.endings.is_empty(), "pieces are still missing");
    session.attempt(1, session.piece(2));
    session.attempt(1, session.piece(1));
    assert_eq!(session.offsets(), vec![0, 1, 2]);
    assert_eq!(session.endings.len(), 1);
}

#[test]
fn crossed_pieces_are_dropped() {
    let mut session = Session::begin(true);
    let key = session.last().key.clone();
    let other_epoch = GroupKey {
        epoch: key.epoch + 1,
        ..key.clone()
    };
    let other_group = GroupKey {
        group: "elsewhere".into(),
        ..key.clone()
    };
    session.attempt(1, piece(RequestId::new(2), &key, 0));
    session.attempt(1, piece(ID, &other_epoch, 0));
    session.attempt(1, piece(ID, &other_group, 0));
    session.attempt(
        1,
        AttemptEvent::End {
            request: ID,
            key: other_group,
            count: 0,
            reason: "stop".into(),
        },
    );
    assert!(session.delivered.is_empty());
    assert!(session.endings.is_empty());
    assert_eq!(session.core.status().dropped, 4);
}

#[test]
fn late_pieces_of_an_attempt_given_up_are_dropped() {
    let mut session = Session::begin(true);
    session.attempt(1, session.piece(0));
    let late = session.piece(1);
    session.attempt(1, AttemptEvent::Broken);
    session.wait();
    assert_eq!(session.last().attempt, 2);
    session.attempt(1, late);
    assert_eq!(session.offsets(), vec![0]);
    session.attempt(2, session.piece(1));
    session.attempt(2, session.end(2));
    assert_eq!(session.offsets(), vec![0, 1]);
    assert_eq!(session.endings.len(), 1);
}

#[test]
fn broken_stream_is_resumed_on_its_group_first() {
    let mut session = Session::begin(false);
    session.attempt(1, session.piece(0));
    let group = session.last().key.clone();
    session.attempt(1, AttemptEvent::Broken);
    session.wait();
    assert_eq!(session.last().key, group);
    assert_eq!(session.last().mode, Mode::Resume { offset: 1 });
}

#[test]
fn repeatable_request_goes_on_elsewhere_from_what_was_delivered() {
    let mut session = Session::begin(true);
    session.attempt(1, session.piece(0));
    session.attempt(1, AttemptEvent::Broken);
    session.wait();
    session.attempt(2, AttemptEvent::Forgotten);
    session.wait();
    let expected = Mode::Continue {
        offset: 1,
        text: "0 ".to_owned(),
    };
    assert_eq!(session.last().mode, expected);
}

#[test]
fn request_that_may_not_be_repeated_is_never_begun_again() {
    let mut session = Session::begin(false);
    session.attempt(1, session.piece(0));
    session.attempt(1, AttemptEvent::Broken);
    session.wait();
    session.attempt(2, AttemptEvent::Forgotten);
    session.wait();
    assert_eq!(session.sent.len(), 2);
    assert_eq!(session.failures, vec![ErrorKind::StreamLost]);
}

#[test]
fn unsent_request_goes_elsewhere_and_is_not_run() {
    let mut session = Session::begin(false);
    for attempt in 1..=3 {
        session.attempt(attempt, AttemptEvent::Unsent);
        session.wait();
    }
    assert_eq!(session.sent.len(), 3);
    assert_eq!(session.failures, vec![ErrorKind::TargetRefused]);
    assert_eq!(ErrorKind::TargetRefused.answer().ran, Ran::No);
}

#[test]
fn request_that_may_have_run_is_never_called_not_run() {
    let mut session = Session::begin(false);
    session.attempt(1, AttemptEvent::Broken);
    session.wait();
    // The group is asked for the rest, but can no longer be reached.
    for attempt in 2..=3 {
        session.attempt(attempt, AttemptEvent::Unsent);
        session.wait();
    }
    assert_eq!(session.failures.len(), 1);
    assert_ne!(
        session.failures[0].answer().ran,
        Ran::No,
        "{:?}",
        session.failures
    );
}

#[test]
fn answer_shorter_than_what_was_delivered_is_not_believed() {
    let mut session = Session::begin(true);
    session.attempt(1, session.piece(0));
    session.attempt(1, session.piece(1));
    session.attempt(1, session.end(1));
    assert!(session.endings.is_empty());
}

seeded! {
    fn whatever_arrives_the_answer_is_whole_and_in_order(events: Vec<(u8, u8)>) -> bool {
        let mut session = Session::begin(true);
        for (what, offset) in events {
            let attempt = session.last().attempt;
            let offset = u32::from(offset % 6);
            match what % 8 {
                0 => session.attempt(attempt, AttemptEvent::Broken),
                1 => session.attempt(attempt, AttemptEvent::Forgotten),
                2 => session.attempt(attempt, AttemptEvent::Refused),
                3 => session.attempt(attempt, session.end(6)),
                4 => session.wait(),
                5 => session.attempt(attempt.saturating_sub(1), session.piece(offset)),
                _ => session.attempt(attempt, session.piece(offset)),
            }
        }
        let in_order = session.offsets().iter().enumerate().all(|(n, o)| n as u32 == *o);
        let answers = session.endings.len() + session.failures.len();
        let whole = session.endings.is_empty() || session.delivered.len() == 6;
        let served = !session.delivered.is_empty();
        let truthful = session.failures.iter().all(|k| !served || k.answer().ran != Ran::No);
        in_order && answers <= 1 && whole && truthful
    }
}
