//! A machine can be suspended for seconds, and a process on it does not notice.
//!
//! The steady clock stands still meanwhile. By that clock a daemon that had been suspended
//! for six seconds took a proof of its customers' keys for as young as before, a lease for
//! its own, and a request that its caller had given up for one with time left.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_net::clock::{Alarm, Clock};

/// Two clocks that a test moves.
macro_rules! clocks {
    ($boot:ident, $steady:ident) => {
        static $boot: AtomicU64 = AtomicU64::new(50_000);
        static $steady: AtomicU64 = AtomicU64::new(20_000);
    };
}

fn read(clock: &AtomicU64) -> Duration {
    Duration::from_millis(clock.load(Ordering::Relaxed))
}

fn go_on(clock: &AtomicU64, ms: u64) {
    clock.fetch_add(ms, Ordering::Relaxed);
}

#[test]
fn decisions_count_the_time_in_which_the_machine_was_suspended() {
    clocks!(BOOT, STEADY);
    let clock = Clock::with_sources(|| read(&BOOT), || read(&STEADY));
    let start = clock.now();
    go_on(&BOOT, 300);
    go_on(&STEADY, 300);
    assert_eq!(clock.now() - start, Millis::new(300));
    assert_eq!(clock.suspended(), Millis::ZERO);
    go_on(&BOOT, 6_000);
    assert_eq!(clock.now() - start, Millis::new(6_300));
    assert_eq!(clock.suspended(), Millis::new(6_000));
}

#[test]
fn the_system_has_both_clocks() {
    let clock = Clock::new();
    let start = clock.now();
    std::thread::sleep(Duration::from_millis(30));
    let gone = clock.now() - start;
    assert!(
        gone >= Millis::new(30) && gone < Millis::new(5_000),
        "{gone:?}"
    );
    assert!(clock.suspended() < Millis::new(100));
}

#[tokio::test(flavor = "current_thread")]
async fn a_wait_ends_when_its_moment_has_passed_while_the_machine_was_suspended() {
    clocks!(BOOT, STEADY);
    let clock = Clock::with_sources(|| read(&BOOT), || read(&STEADY));
    let alarm = Alarm::new(clock);
    let at = clock.now() + Millis::new(5_000);
    let wait = alarm.sleep_until(at);
    tokio::pin!(wait);
    let soon = Duration::from_millis(20);
    assert!(tokio::time::timeout(soon, &mut wait).await.is_err());
    assert_eq!(alarm.check_suspension(), None);
    go_on(&BOOT, 4_000);
    assert_eq!(alarm.check_suspension(), Some(Millis::new(4_000)));
    assert!(tokio::time::timeout(soon, &mut wait).await.is_err());
    go_on(&BOOT, 1_000);
    assert_eq!(alarm.check_suspension(), Some(Millis::new(1_000)));
    let ended = tokio::time::timeout(soon, &mut wait).await;
    assert!(ended.is_ok(), "it waits by the steady clock");
}

#[tokio::test(flavor = "current_thread")]
async fn a_step_that_was_done_is_not_late() {
    let alarm = Alarm::new(Clock::new());
    let done = alarm.timeout_at(Millis::ZERO, async { 7 }).await;
    assert_eq!(done, Some(7));
}
