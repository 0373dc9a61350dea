//! Compares the timelines of whole sessions with golden files. `THISTLESILL_BLESS=1` rewrites the
//! files.

use std::path::PathBuf;

use thistlesill_core::Millis;
use thistlesill_core::timeline::Record;
use thistlesill_replay::stage::{Power, Simulation, TableMode};

use crate::support::{chat, keyed, options, root, serving, tree};

fn path(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    dir.join("tests/golden").join(name)
}

fn timeline_text(sim: &Simulation) -> String {
    let start = (sim.now() - sim.elapsed()).get();
    let line = |r: &Record| {
        let what = serde_json::to_string(&r.what).expect("an event is valid JSON");
        format!("{:>7} {:<3} {what}\n", r.stamp.wall - start, r.node)
    };
    let mut lines: Vec<&Record> = sim.records().iter().collect();
    lines.sort_by(|a, b| (a.stamp.wall, &a.node, a.stamp).cmp(&(b.stamp.wall, &b.node, b.stamp)));
    lines.into_iter().map(line).collect()
}

fn compare(name: &str, sim: &Simulation) {
    let actual = timeline_text(sim);
    let path = path(name);
    if std::env::var_os("THISTLESILL_BLESS").is_some() {
        std::fs::write(&path, &actual).expect("a golden file");
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    let first_difference = actual
        .lines()
        .zip(expected.lines())
        .position(|(a, b)| a != b);
    assert_eq!(
        actual,
        expected,
        "{}: first difference in line {first_difference:?}",
        path.display()
    );
}

#[test]
fn session_of_a_failed_member() {
    let mut sim = serving(options(), 2);
    sim.submit(0, chat(1), 20, Millis::new(20_000));
    sim.run(Millis::new(2_000));
    sim.set_power("d-00", Power::Off);
    sim.submit(1, chat(2), 20, Millis::new(20_000));
    sim.run(Millis::new(15_000));
    sim.set_power("d-00", Power::On);
    sim.run(Millis::new(5_000));
    compare("failed-member.txt", &sim);
}

#[test]
fn session_of_a_lost_holder_and_table() {
    let mut sim = serving(options(), 2);
    let holder = crate::support::holder(&sim);
    sim.set_planner_power(holder, Power::Paused);
    sim.run(Millis::new(12_000));
    sim.set_table(TableMode::Down);
    sim.submit(0, keyed(1, "k"), 20, Millis::new(20_000));
    sim.run(Millis::new(12_000));
    sim.set_table(TableMode::Up);
    sim.set_planner_power(holder, Power::On);
    sim.run(Millis::new(12_000));
    sim.submit(0, keyed(2, "k"), 20, Millis::new(20_000));
    sim.run(Millis::new(3_000));
    compare("lost-holder.txt", &sim);
}

#[test]
fn session_of_a_changed_version() {
    let mut sim = serving(options(), 2);
    let mut changed = root();
    changed.version = Some("2".into());
    sim.set_settings(tree(2, changed));
    sim.run(Millis::new(40_000));
    compare("changed-version.txt", &sim);
}
