//! Settings pass from daemon to daemon as the changes since what one has.

use std::collections::BTreeMap;
use std::sync::Arc;

use thistlesill_core::message::{StreamReply, StreamRequest};
use thistlesill_core::settings::{Branch, Tree};
use thistlesill_net::sync::CurrentSettings;

fn tree(revision: u64, branches: usize) -> Arc<Tree> {
    let branch = |n: usize| {
        let slots = Some(if n == 0 { revision as u32 } else { n as u32 });
        let path = if n == 0 {
            "/".to_owned()
        } else {
            format!("/b{n}")
        };
        (
            path,
            Branch {
                slots,
                ..Branch::default()
            },
        )
    };
    let branches: BTreeMap<String, Branch> = (0..branches).map(branch).collect();
    Arc::new(Tree::new(revision, branches))
}

fn ask(shelf: &CurrentSettings, have: u64) -> StreamReply {
    shelf.reply(&StreamRequest::Settings { have })
}

#[test]
fn lower_revision_never_replaces_a_higher_one() {
    let shelf = CurrentSettings::default();
    shelf.update(&tree(5, 2));
    shelf.update(&tree(4, 2));
    assert_eq!(shelf.revision(), 5);
}

#[test]
fn peer_that_lags_gets_the_changes_only() {
    let shelf = CurrentSettings::default();
    for revision in 1..=4 {
        shelf.update(&tree(revision, 1_000));
    }
    assert_eq!(ask(&shelf, 4), StreamReply::Nothing);
    let StreamReply::Changes { changes } = ask(&shelf, 2) else {
        panic!("changes");
    };
    let steps: Vec<(u64, u64)> = changes.iter().map(|c| (c.from, c.to)).collect();
    assert_eq!(steps, vec![(2, 3), (3, 4)]);
    assert!(
        changes.iter().all(|c| c.json.len() < 200),
        "one branch each"
    );
}

#[test]
fn peer_that_has_nothing_or_too_old_settings_gets_the_whole_tree() {
    let shelf = CurrentSettings::default();
    for revision in 1..=100 {
        shelf.update(&tree(revision, 3));
    }
    for have in [0, 7] {
        let reply = ask(&shelf, have);
        assert!(matches!(reply, StreamReply::Settings { revision: 100, .. }));
    }
    assert!(matches!(ask(&shelf, 60), StreamReply::Changes { .. }));
}

#[test]
fn changes_lead_to_the_same_tree() {
    let shelf = CurrentSettings::default();
    shelf.update(&tree(1, 5));
    shelf.update(&tree(2, 3));
    let StreamReply::Changes { changes } = ask(&shelf, 1) else {
        panic!("changes");
    };
    let diff = changes[0].diff().expect("a change");
    assert_eq!(tree(1, 5).apply(2, &diff).branches(), tree(2, 3).branches());
}
