//! The hybrid logical clock, which orders events across processes.

use thistlesill_core::Stamp;
use thistlesill_core::time::HybridClock;
use thistlesill_fakes::seeded;

seeded! {
    fn stamps_rise_whatever_the_wall_clock_does(walls: Vec<u16>) -> bool {
        let mut clock = HybridClock::new();
        let stamps: Vec<Stamp> = walls.iter().map(|w| clock.tick(u64::from(*w))).collect();
        stamps.windows(2).all(|pair| pair[0] < pair[1])
    }

    fn merged_stamp_exceeds_what_was_seen(wall: u32, lead: u16, count: u32) -> bool {
        let count = count % 1_000;
        let seen = Stamp { wall: u64::from(wall) + u64::from(lead) % 60_000, count };
        HybridClock::new().merge(u64::from(wall), seen) > seen
    }
}

#[test]
fn wrong_clock_of_another_process_is_not_followed() {
    let mut clock = HybridClock::new();
    let far = Stamp {
        wall: 10_000_000,
        count: 0,
    };
    assert_eq!(clock.merge(1_000, far).wall, 1_000);
}
