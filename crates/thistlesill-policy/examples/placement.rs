//! # Placement by downtime weight
//!
//! Places the same eleven instances twice: for an operator that weighs the downtime of groups, and
//! for one that weighs stranded accelerators.
//!
//! Run with `cargo run -p thistlesill-policy --example placement`.

use thistlesill_core::Millis;
use thistlesill_core::report::Load;
use thistlesill_core::settings::Shape;
use thistlesill_policy::placement::{FreeInstance, Pool, PoolKey, Want, place};

fn main() {
    for (name, weight, spares) in [("downtime", 0.8, 1), ("stranded accelerators", 0.2, 0)] {
        let placement = place(&[pool(weight, spares)], Millis::ZERO);
        let sizes: Vec<usize> = placement.form.iter().map(|f| f.members.len()).collect();
        let used: usize = sizes.iter().sum();
        println!(
            "weighing {name}: groups of {sizes:?}, {} kept free",
            11 - used
        );
    }
}

fn pool(downtime_weight: f64, spares: u32) -> Pool {
    let shape = |instances| Shape {
        generation: "old".into(),
        instances,
    };
    let free = |n: u32| FreeInstance {
        instance: format!("birch-a-{n:02}").into(),
        warm: false,
    };
    Pool {
        key: PoolKey {
            domain: "birch-a".into(),
            generation: "old".into(),
        },
        want: Want {
            load: Load::default(),
            shapes: vec![shape(4), shape(3)],
            downtime_weight,
            spares,
        },
        free: (0..11).map(free).collect(),
        groups: Vec::new(),
        ending: 0,
        missing: 0,
        steady: Millis::ZERO,
    }
}
