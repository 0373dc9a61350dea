//! Tests of the bound on the bytes that a process holds for others.

use thistlesill_net::memory::{HeldBuffer, MemoryBudget};

fn budget(bytes: usize) -> MemoryBudget {
    let budget = MemoryBudget::default();
    budget.set_limit(bytes);
    budget
}

#[test]
fn a_body_that_grows_takes_more_than_its_account() {
    let budget = budget(1 << 20);
    let mut buffer = HeldBuffer::new(&budget, 1 << 20);
    for _ in 0..3_000 {
        assert!(buffer.push(&[7; 100]));
        assert!(budget.held() >= buffer.len());
    }
    assert_eq!(budget.held(), 304 * 1024, "its pages");
    let bytes = buffer.finish();
    assert_eq!(bytes[..], vec![7; 300_000]);
    assert_eq!(budget.held(), 304 * 1024);
    drop(bytes);
    assert_eq!(budget.held(), 0);
}

#[test]
fn a_body_of_known_length_takes_no_more_than_that() {
    let budget = budget(1 << 20);
    let mut buffer = HeldBuffer::new(&budget, 5_000);
    for _ in 0..5 {
        assert!(buffer.push(&[7; 1_000]));
    }
    assert_eq!(budget.held(), 5_000);
    assert!(!buffer.push(&[7]), "it has all its bytes");
}

#[test]
fn a_body_without_memory_stays_as_it_was() {
    let budget = budget(300_000);
    let mut buffer = HeldBuffer::new(&budget, 1 << 20);
    assert!(buffer.push(&vec![7; 120_000]));
    let held = budget.held();
    assert!(!buffer.push(&vec![7; 200_000]));
    assert_eq!((buffer.len(), budget.held()), (120_000, held));
}

#[test]
fn bodies_of_one_size_leave_nothing_for_smaller_ones() {
    let budget = budget(8 << 20);
    let fill = |bytes: usize| {
        let mut held = Vec::new();
        loop {
            let mut reservation = budget.reservation();
            if !reservation.resize(bytes) {
                return held;
            }
            held.push(reservation);
        }
    };
    let _large = fill(100_000);
    let middle = fill(60_000);
    assert!(!middle.is_empty(), "room for bodies of 60 KB");
    let small = fill(2_000);
    assert!(!small.is_empty(), "room for bodies of 2 KB");
}
