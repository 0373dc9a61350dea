//! # Time and memory of admission under overload
//!
//! Measures the decisions of an owner in a flood, once with the kinds and customers of a usual
//! deployment and once with the most that a scope records.
//!
//! Run with `cargo run --release -p thistlesill-policy --example shortage`.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use thistlesill_core::Millis;
use thistlesill_policy::edge::owner::Scope;
use thistlesill_policy::edge::shortage::{
    AdmissionDecision, Prospect, RankedRequest, ShortageTable, Urgency,
};

const DECISIONS: usize = 400_000;
/// Requests per millisecond, 2,000 per second.
const RATE: usize = 2;

fn main() {
    flood("usual", 3, 24, 6_000);
    flood("most", 16, 112, 600_000);
}

/// Decides on a flood of requests; each fourth one is a retry of a caller that was refused.
fn flood(name: &str, kinds: u8, customers: u32, wait: u64) {
    let mut rng = StdRng::seed_from_u64(7);
    let scope = Scope {
        hall: "h".into(),
        service: "pool".into(),
        model: Some("small".into()),
    };
    let names: Vec<_> = (0..customers).map(|n| format!("customer-{n}")).collect();
    let mut table = ShortageTable::default();
    let (mut refused, mut times) = (vec![1; DECISIONS], vec![Duration::MAX; DECISIONS]);
    refused.clear();
    times.clear();
    let before = resident_kb();
    for number in 0..DECISIONS {
        let now = Millis::new(1_000_000 + (number / RATE) as u64);
        let key = match refused.get(number.wrapping_sub(1_000)) {
            Some(key) if number % 4 == 0 => *key,
            _ => rng.random(),
        };
        let customer = &names[rng.random_range(0..names.len())];
        let request = RankedRequest {
            urgency: Urgency {
                customer: 1,
                route: rng.random_range(0..kinds),
            },
            customer: Some(customer.as_str().into()),
            key,
            aim: Millis::new(250),
            left: Millis::new(wait),
        };
        let prospect = Prospect {
            begin: rng.random_range(150.0..400.0),
            idle: 0.0,
            slots: 34,
            requests: 34,
            has_room: false,
            open_groups: 10,
        };
        let begin = Instant::now();
        let decision = table.decide(&scope, &request, prospect, now).decision;
        times.push(begin.elapsed());
        if matches!(decision, AdmissionDecision::Refuse { .. }) {
            refused.push(key);
        }
        // As a daemon does, which sends reports 20 times a second.
        if number % (RATE * 50) == 0 {
            table.take_reports(now);
        }
    }
    let mean = times.iter().sum::<Duration>() / DECISIONS as u32;
    times.sort_unstable();
    let [middle, most, last] = [0.5, 0.999, 1.0].map(|part| {
        let index = (part * DECISIONS as f64) as usize;
        times[index.min(DECISIONS - 1)]
    });
    println!(
        "{name}: {kinds} kinds, {customers} customers, {} bookings: mean {mean:?}, middle \
         {middle:?}, 99.9% {most:?}, longest {last:?}; {} refused; {} KB of resident memory",
        table.bookings(&scope),
        refused.len(),
        resident_kb().saturating_sub(before),
    );
}

/// Returns the resident memory of this process; zero where the system does not tell.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    number.unwrap_or(0)
}
