//! Tests the answers to peers that request settings: the changes since the peer's revision, or the
//! complete tree.

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

fn request(current: &CurrentSettings, have: u64) -> StreamReply {
    current.reply(&StreamRequest::Settings { have })
}

#[test]
fn lower_revision_never_replaces_a_higher_one() {
    let current = CurrentSettings::default();
    current.update(&tree(5, 2));
    current.update(&tree(4, 2));
    assert_eq!(current.revision(), 5);
}

#[test]
fn peer_that_lags_gets_the_changes_only() {
    let current = CurrentSettings::default();
    for revision in 1..=4 {
        current.update(&tree(revision, 1_000));
    }
    assert_eq!(request(&current, 4), StreamReply::Nothing);
    let StreamReply::Changes { changes } = request(&current, 2) else {
        panic!("changes");
    };
    let ranges: Vec<(u64, u64)> = changes.iter().map(|c| (c.from, c.to)).collect();
    assert_eq!(ranges, vec![(2, 3), (3, 4)]);
    assert!(
        changes.iter().all(|c| c.json.len() < 200),
        "one branch each"
    );
}

#[test]
fn peer_that_has_nothing_or_too_old_settings_gets_the_whole_tree() {
    let current = CurrentSettings::default();
    for revision in 1..=100 {
        current.update(&tree(revision, 3));
    }
    for have in [0, 7] {
        let reply = request(&current, have);
        assert!(matches!(reply, StreamReply::Settings { revision: 100, .. }));
    }
    assert!(matches!(request(&current, 60), StreamReply::Changes { .. }));
}

#[test]
fn changes_lead_to_the_same_tree() {
    let current = CurrentSettings::default();
    current.update(&tree(1, 5));
    current.update(&tree(2, 3));
    let StreamReply::Changes { changes } = request(&current, 1) else {
        panic!("changes");
    };
    let diff = changes[0].diff().expect("a change");
    assert_eq!(tree(1, 5).apply(2, &diff).branches(), tree(2, 3).branches());
}
