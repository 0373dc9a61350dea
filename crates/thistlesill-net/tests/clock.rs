//! Guards against a machine's suspension that its processes do not notice: the monotonic clock
//! stops meanwhile. By that clock a daemon that had been suspended for six seconds treated an old
//! proof of its customers' keys as recent, its expired lease as held, and a request that its caller
//! had given up as one with time left.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_net::clock::{Alarm, Clock};

/// Defines two clocks that a test advances.
macro_rules! clocks {
    ($boot:ident, $monotonic:ident) => {
        static $boot: AtomicU64 = AtomicU64::new(50_000);
        static $monotonic: AtomicU64 = AtomicU64::new(20_000);
    };
}

fn read(clock: &AtomicU64) -> Duration {
    Duration::from_millis(clock.load(Ordering::Relaxed))
}

fn advance(clock: &AtomicU64, ms: u64) {
    clock.fetch_add(ms, Ordering::Relaxed);
}

#[test]
fn decisions_count_the_time_in_which_the_machine_was_suspended() {
    clocks!(BOOT, MONOTONIC);
    let clock = Clock::with_sources(|| read(&BOOT), || read(&MONOTONIC));
    let start = clock.now();
    advance(&BOOT, 300);
    advance(&MONOTONIC, 300);
    assert_eq!(clock.now() - start, Millis::new(300));
    assert_eq!(clock.suspended(), Millis::ZERO);
    advance(&BOOT, 6_000);
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
    clocks!(BOOT, MONOTONIC);
    let clock = Clock::with_sources(|| read(&BOOT), || read(&MONOTONIC));
    let alarm = Alarm::new(clock);
    let at = clock.now() + Millis::new(5_000);
    let wait = alarm.sleep_until(at);
    tokio::pin!(wait);
    let soon = Duration::from_millis(20);
    assert!(tokio::time::timeout(soon, &mut wait).await.is_err());
    assert_eq!(alarm.check_suspension(), None);
    advance(&BOOT, 4_000);
    assert_eq!(alarm.check_suspension(), Some(Millis::new(4_000)));
    assert!(tokio::time::timeout(soon, &mut wait).await.is_err());
    advance(&BOOT, 1_000);
    assert_eq!(alarm.check_suspension(), Some(Millis::new(1_000)));
    let ended = tokio::time::timeout(soon, &mut wait).await;
    assert!(ended.is_ok(), "the wait follows the monotonic clock");
}

#[tokio::test(flavor = "current_thread")]
async fn a_step_that_was_done_is_not_late() {
    let alarm = Alarm::new(Clock::new());
    let done = alarm.timeout_at(Millis::ZERO, async { 7 }).await;
    assert_eq!(done, Some(7));
}
