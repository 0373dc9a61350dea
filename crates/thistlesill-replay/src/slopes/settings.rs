//! Time to resolve, check and build settings trees, and the size of their message, by number of
//! branches.

use std::collections::BTreeMap;

use thistlesill_core::message::StreamReply;
use thistlesill_core::seal::SharedKey;
use thistlesill_core::settings::{Branch, Context, Cover, Tree, check};

use super::fit::{Point, Slope, min_micros};

const SIZES: [usize; 3] = [100, 1_000, 10_000];

pub(super) fn slopes() -> Vec<Slope> {
    vec![
        slope("tree: resolved for a customer", "us", |n| {
            let tree = Tree::new(1, branches(n));
            min_micros(5, 500, |i| {
                let context = Context::customer(format!("c{}", i % n).into());
                assert!(tree.resolve(&context).slots.is_some());
            })
        }),
        slope("tree: checked", "us", |n| {
            let branches = branches(n);
            min_micros(3, 2, |_| assert!(check(&branches).is_empty()))
        }),
        slope("tree: built", "us", |n| {
            let branches = branches(n);
            min_micros(3, 2, |_| {
                assert_eq!(Tree::new(1, branches.clone()).revision(), 1);
            })
        }),
        slope("tree: bytes from a peer", "bytes", |n| {
            let tree = Tree::new(1, branches(n));
            let reply = StreamReply::Settings {
                revision: 1,
                branches: tree.entries(),
            };
            SharedKey::new(b"0123456789abcdef".as_slice())
                .seal(&reply)
                .len() as f64
        }),
    ]
}

fn branches(count: usize) -> BTreeMap<String, Branch> {
    let text = include_str!("../../../../deploy/association/settings.jsonc");
    let file = thistlesill_core::settings::parse_file("association", text);
    let root = file.expect("a valid settings file").branches["/"].clone();
    let mut branches = BTreeMap::from([("/".to_owned(), root)]);
    for n in 1..count {
        let branch = Branch {
            covers: Some(Cover::Customer(format!("c{n}").into())),
            share: Some(3),
            token_sha256: Some(format!("{n:064x}")),
            ..Branch::default()
        };
        branches.insert(format!("/c{n}"), branch);
    }
    branches
}

fn slope(name: &'static str, unit: &'static str, cost: impl Fn(usize) -> f64) -> Slope {
    let point = |size: usize| Point {
        size: size as f64,
        cost: cost(size),
    };
    Slope {
        name,
        per: "branch",
        unit,
        points: SIZES.into_iter().map(point).collect(),
    }
}
