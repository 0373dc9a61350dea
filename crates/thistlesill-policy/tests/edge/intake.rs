//! Tests of which new connections of callers are accepted.

use thistlesill_core::Millis;
use thistlesill_policy::edge::intake::{Intake, Room, Shortage};

const LATE: Millis = Millis::new(80);
const BUSY: usize = 50;

fn files(files: usize) -> Room {
    Room {
        files: Some(files),
        memory: None,
    }
}

#[test]
fn callers_take_the_files_that_requests_need_at_targets() {
    let intake = Intake::new(files(4_100));
    assert_eq!(intake.shortage(1_500, BUSY), None);
    assert_eq!(intake.shortage(1_600, BUSY), Some(Shortage::Files));
    // A daemon with hardly any files still takes one caller.
    assert_eq!(Intake::new(files(10)).shortage(0, 0), None);
    assert_eq!(Intake::new(Room::default()).shortage(1_000_000, BUSY), None);
}

#[test]
fn a_loop_that_is_late_again_and_again_accepts_what_it_cannot_serve() {
    let mut intake = Intake::new(Room::default());
    intake.note_delay(LATE);
    intake.note_delay(LATE);
    assert_eq!(intake.shortage(0, BUSY), None);
    intake.note_delay(LATE);
    assert_eq!(intake.shortage(0, BUSY), Some(Shortage::Processor));
    intake.note_delay(Millis::new(1));
    assert_eq!(intake.shortage(0, BUSY), None);
}

#[test]
fn a_suspension_or_a_slow_machine_without_requests_turns_callers_away() {
    let mut intake = Intake::new(Room::default());
    intake.note_delay(Millis::new(5_000));
    assert_eq!(intake.shortage(0, BUSY), None);
    for _ in 0..10 {
        intake.note_delay(LATE);
    }
    assert_eq!(intake.shortage(0, 0), None);
}

#[test]
fn connections_take_the_memory_of_bodies() {
    let room = |megabytes: usize| Room {
        files: Some(4_100),
        memory: Some(megabytes * 1_000_000),
    };
    let mut intake = Intake::new(room(160));
    assert_eq!(intake.shortage(900, BUSY), None);
    assert_eq!(intake.shortage(1_000, BUSY), Some(Shortage::Memory));
    // A larger machine is short of files first.
    intake.set_room(room(260));
    assert_eq!(intake.shortage(1_500, BUSY), None);
    assert_eq!(intake.shortage(1_600, BUSY), Some(Shortage::Files));
    assert_eq!(Intake::new(room(0)).shortage(0, 0), None);
}
