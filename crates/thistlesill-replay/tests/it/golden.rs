//! Whole sessions against golden files. `THISTLESILL_BLESS=1` writes them.

use std::path::PathBuf;

use thistlesill_core::Millis;
use thistlesill_core::timeline::Record;
use thistlesill_replay::stage::{Power, Stage, TableMode};

use crate::support::{chat, keyed, options, root, serving, tree};

fn path(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    dir.join("tests/golden").join(name)
}

fn text(stage: &Stage) -> String {
    let zero = (stage.now() - stage.elapsed()).get();
    let line = |r: &Record| {
        let what = serde_json::to_string(&r.what).expect("events encode");
        format!("{:>7} {:<3} {what}\n", r.stamp.wall - zero, r.node)
    };
    let mut lines: Vec<&Record> = stage.records().iter().collect();
    lines.sort_by(|a, b| (a.stamp.wall, &a.node, a.stamp).cmp(&(b.stamp.wall, &b.node, b.stamp)));
    lines.into_iter().map(line).collect()
}

fn compare(name: &str, stage: &Stage) {
    let found = text(stage);
    let path = path(name);
    if std::env::var_os("THISTLESILL_BLESS").is_some() {
        std::fs::write(&path, &found).expect("a golden file");
    }
    let wanted = std::fs::read_to_string(&path).unwrap_or_default();
    let first = found.lines().zip(wanted.lines()).position(|(a, b)| a != b);
    assert_eq!(
        found,
        wanted,
        "{}: first difference in line {first:?}",
        path.display()
    );
}

#[test]
fn session_of_a_failed_member() {
    let mut stage = serving(options(), 2);
    stage.ask(0, chat(1), 20, Millis::new(20_000));
    stage.run(Millis::new(2_000));
    stage.power("d-00", Power::Off);
    stage.ask(1, chat(2), 20, Millis::new(20_000));
    stage.run(Millis::new(15_000));
    stage.power("d-00", Power::On);
    stage.run(Millis::new(5_000));
    compare("failed-member.txt", &stage);
}

#[test]
fn session_of_a_lost_holder_and_table() {
    let mut stage = serving(options(), 2);
    let holder = crate::support::holder(&stage);
    stage.planner_power(holder, Power::Paused);
    stage.run(Millis::new(12_000));
    stage.set_table(TableMode::Down);
    stage.ask(0, keyed(1, "k"), 20, Millis::new(20_000));
    stage.run(Millis::new(12_000));
    stage.set_table(TableMode::Up);
    stage.planner_power(holder, Power::On);
    stage.run(Millis::new(12_000));
    stage.ask(0, keyed(2, "k"), 20, Millis::new(20_000));
    stage.run(Millis::new(3_000));
    compare("lost-holder.txt", &stage);
}

#[test]
fn session_of_a_changed_version() {
    let mut stage = serving(options(), 2);
    let mut changed = root();
    changed.version = Some("2".into());
    stage.settings(tree(2, changed));
    stage.run(Millis::new(40_000));
    compare("changed-version.txt", &stage);
}
