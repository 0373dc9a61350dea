//! Tests of placement: the best possible packing, spares, and what the downtime weight decides.

use std::collections::BTreeSet;

use quickcheck::TestResult;
use thistlesill_core::Millis;
use thistlesill_core::report::Load;
use thistlesill_core::settings::Shape;
use thistlesill_fakes::seeded;
use thistlesill_policy::placement::{
    ExistingGroup, FreeInstance, Placement, Pool, PoolKey, Want, best_use, pack, place,
};

fn shape(instances: u32) -> Shape {
    Shape {
        generation: "a".into(),
        instances,
    }
}

fn pool(free: u32, groups: &[u32], sizes: &[u32], weight: f64, spares: u32) -> Pool {
    Pool {
        key: PoolKey {
            domain: "d".into(),
            generation: "a".into(),
        },
        want: Want {
            load: Load::default(),
            shapes: sizes.iter().map(|s| shape(*s)).collect(),
            downtime_weight: weight,
            spares,
        },
        free: (0..free)
            .map(|n| FreeInstance {
                instance: format!("i{n:03}").into(),
                warm: n % 2 == 0,
            })
            .collect(),
        groups: groups
            .iter()
            .enumerate()
            .map(|(n, size)| ExistingGroup {
                group: format!("g{n}").into(),
                size: *size,
                settled: true,
            })
            .collect(),
        ending: 0,
        missing: 0,
        steady: Millis::ZERO,
    }
}

fn used(placement: &Placement) -> u32 {
    placement.form.iter().map(|f| f.members.len() as u32).sum()
}

const LATER: Millis = Millis::new(10_000_000);

/// Returns the most instances that any set of groups can use, by trying all sets.
fn exhaustive(count: u32, sizes: &[u32]) -> u32 {
    let fitting = sizes.iter().filter(|s| **s > 0 && **s <= count);
    fitting
        .map(|s| s + exhaustive(count - s, sizes))
        .max()
        .unwrap_or(0)
}

seeded! {
    fn packing_is_the_best_possible(count: u8, sizes: Vec<u8>) -> TestResult {
        let sizes: Vec<u32> = sizes.iter().take(3).map(|s| u32::from(s % 6 + 1)).collect();
        if sizes.is_empty() {
            return TestResult::discard();
        }
        let count = u32::from(count % 18);
        let shapes: Vec<Shape> = sizes.iter().map(|s| shape(*s)).collect();
        TestResult::from_bool(best_use(count, &shapes) == exhaustive(count, &sizes))
    }

    fn no_instance_is_placed_twice(free: u8, weight: u8, spares: u8) -> bool {
        let weight = f64::from(weight % 11) / 10.0;
        let pool = pool(u32::from(free % 40), &[], &[4, 3], weight, u32::from(spares % 3));
        let placement = place(std::slice::from_ref(&pool), LATER);
        let members: Vec<_> = placement.form.iter().flat_map(|f| &f.members).collect();
        let distinct: BTreeSet<_> = members.iter().collect();
        distinct.len() == members.len()
            && placement.form.iter().all(|f| pool.want.shapes.iter().any(|s| s.instances as usize == f.members.len()))
    }
}

#[test]
fn weight_on_stranded_uses_all() {
    let placement = place(&[pool(11, &[], &[4, 3], 0.2, 1)], LATER);
    assert_eq!(used(&placement), 11);
}

#[test]
fn weight_on_downtime_keeps_a_spare() {
    let placement = place(&[pool(8, &[4], &[4], 0.9, 1)], LATER);
    assert_eq!(used(&placement), 4);
}

#[test]
fn spare_stands_in_for_what_is_missing() {
    let mut pool = pool(4, &[4], &[4], 0.9, 1);
    assert_eq!(used(&place(std::slice::from_ref(&pool), LATER)), 0);
    pool.missing = 1;
    assert_eq!(used(&place(&[pool], LATER)), 4);
}

#[test]
fn warm_members_are_preferred() {
    let placement = place(&[pool(8, &[], &[4], 0.0, 0)], LATER);
    let cold: Vec<u32> = placement.form.iter().map(|f| f.cold).collect();
    assert_eq!(cold, vec![0, 4], "the warm group first");
}

#[test]
fn repacks_when_the_gain_outweighs_the_move() {
    // Two groups of 3 and 2 free instances: two groups of 4 would use all 8.
    let stranded = place(&[pool(2, &[3, 3], &[4, 3], 0.2, 0)], LATER);
    assert_eq!(stranded.drain.len(), 2);
    let downtime = place(&[pool(2, &[3, 3], &[4, 3], 1.0, 0)], LATER);
    assert!(downtime.drain.is_empty(), "serving groups are kept");
}

#[test]
fn repacks_only_what_is_steady() {
    let mut pool = pool(2, &[3, 3], &[4, 3], 0.2, 0);
    pool.steady = LATER;
    assert!(place(std::slice::from_ref(&pool), LATER).drain.is_empty());
    pool.steady = Millis::ZERO;
    pool.ending = 1;
    assert!(place(&[pool], LATER).drain.is_empty());
}

#[test]
fn fewest_groups_of_equal_use() {
    assert_eq!(pack(8, &[shape(4), shape(2)]), vec![4, 4]);
}
