//! The whole tree at a revision, and how values are resolved from it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::{Branch, Cover, ROOT, Values};
use crate::message::BranchEntry;
use crate::{Adapter, CustomerId, DomainId, Generation, HallId, Model, RegionId};

/// What to resolve values for. Absent parts match no branch that covers one.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Context {
    /// The region.
    pub region: Option<RegionId>,
    /// The hall.
    pub hall: Option<HallId>,
    /// The fabric domain.
    pub domain: Option<DomainId>,
    /// The hardware generation.
    pub generation: Option<Generation>,
    /// The customer.
    pub customer: Option<CustomerId>,
}

impl Context {
    /// A context that only names a customer.
    pub fn customer(customer: CustomerId) -> Self {
        Self {
            customer: Some(customer),
            ..Self::default()
        }
    }

    /// The same context with a customer.
    #[must_use]
    pub fn with_customer(mut self, customer: CustomerId) -> Self {
        self.customer = Some(customer);
        self
    }

    /// The same context within a region.
    #[must_use]
    pub fn with_region(mut self, region: RegionId) -> Self {
        self.region = Some(region);
        self
    }

    /// The same context within a hall.
    #[must_use]
    pub fn with_hall(mut self, hall: HallId) -> Self {
        self.hall = Some(hall);
        self
    }

    fn matches(&self, cover: Option<&Cover>) -> bool {
        match cover {
            None => true,
            Some(Cover::Region(r)) => self.region.as_ref() == Some(r),
            Some(Cover::Hall(h)) => self.hall.as_ref() == Some(h),
            Some(Cover::Domain(d)) => self.domain.as_ref() == Some(d),
            Some(Cover::Generation(g)) => self.generation.as_ref() == Some(g),
            Some(Cover::Customer(c)) => self.customer.as_ref() == Some(c),
        }
    }
}

/// Where a resolved value came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The value's name.
    pub name: String,
    /// The branch that set it.
    pub path: String,
}

/// Values that hold in a context.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Resolved {
    /// The values.
    pub values: Values,
    /// The branch that each value came from.
    pub origins: Vec<Origin>,
}

/// What changed between two trees, by path.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TreeDiff {
    /// Changed branches; `None` for a removed one.
    pub changes: BTreeMap<String, Option<Branch>>,
}

/// All branches at one revision.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use thistlesill_core::settings::{Branch, Context, Cover, Tree};
///
/// let root = Branch { slots: Some(8), ..Branch::default() };
/// let hall = Branch {
///     covers: Some(Cover::Hall("concord".into())),
///     slots: Some(4),
///     ..Branch::default()
/// };
/// let branches = BTreeMap::from([("/".to_owned(), root), ("/concord".to_owned(), hall)]);
/// let tree = Tree::new(1, branches);
/// let there = Context::default().with_hall("concord".into());
/// assert_eq!(tree.resolve(&there).slots, Some(4));
/// assert_eq!(tree.resolve(&Context::default()).slots, Some(8));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tree {
    revision: u64,
    branches: BTreeMap<String, Branch>,
    /// Children by parent and cover: resolving costs the depth of the tree
    /// and not the number of its branches.
    children: HashMap<String, Children>,
    tokens: HashMap<String, CustomerId>,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Children {
    plain: Vec<String>,
    covering: HashMap<Cover, String>,
}

impl Tree {
    /// Makes a tree of its branches.
    pub fn new(revision: u64, branches: BTreeMap<String, Branch>) -> Self {
        let mut children: HashMap<String, Children> = HashMap::new();
        let mut tokens = HashMap::new();
        for (path, branch) in &branches {
            index_token(&mut tokens, branch);
            let Some(parent) = parent(path) else { continue };
            let entry = children.entry(parent.to_owned()).or_default();
            match &branch.covers {
                None => entry.plain.push(path.clone()),
                Some(cover) => {
                    entry.covering.insert(cover.clone(), path.clone());
                }
            }
        }
        Self {
            revision,
            branches,
            children,
            tokens,
        }
    }

    /// The revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// All branches by path.
    pub const fn branches(&self) -> &BTreeMap<String, Branch> {
        &self.branches
    }

    /// The branches as they go over the wire.
    pub fn entries(&self) -> Vec<BranchEntry> {
        let list = self.branches.iter();
        list.map(|(path, branch)| BranchEntry::new(path, branch))
            .collect()
    }

    /// The customer whose token has this SHA-256.
    pub fn customer_of(&self, token_sha256: &str) -> Option<&CustomerId> {
        self.tokens.get(token_sha256)
    }

    /// All customers that branches name.
    pub fn customers(&self) -> BTreeSet<CustomerId> {
        let covers = self.branches.values().filter_map(|b| b.covers.as_ref());
        covers
            .filter_map(|c| match c {
                Cover::Customer(customer) => Some(customer.clone()),
                _ => None,
            })
            .collect()
    }

    /// The adapters that customers use with `model` in a context, in order.
    pub fn adapters(&self, context: &Context, model: &Model) -> Vec<Adapter> {
        let mut found = BTreeSet::new();
        for customer in self.customers() {
            let values = self.resolve(&context.clone().with_customer(customer));
            if values.model.as_ref() == Some(model) {
                found.extend(values.adapter);
            }
        }
        found.into_iter().collect()
    }

    /// The values that hold in a context.
    pub fn resolve(&self, context: &Context) -> Values {
        let mut values = Values::default();
        self.visit(ROOT, context, &mut |_, branch| values.overlay(branch));
        values
    }

    /// The values that hold in a context, with the branch of each.
    pub fn explain(&self, context: &Context) -> Resolved {
        let mut values = Values::default();
        let mut from: BTreeMap<&'static str, String> = BTreeMap::new();
        self.visit(ROOT, context, &mut |path, branch| {
            values.overlay(branch);
            for name in branch.values().set_names() {
                from.insert(name, path.to_owned());
            }
        });
        let origins = from.into_iter().map(|(name, path)| Origin {
            name: name.to_owned(),
            path,
        });
        Resolved {
            values,
            origins: origins.collect(),
        }
    }

    /// What must change in `self` to give `other`.
    pub fn diff(&self, other: &BTreeMap<String, Branch>) -> TreeDiff {
        let mut changes = BTreeMap::new();
        for (path, branch) in other {
            if self.branches.get(path) != Some(branch) {
                changes.insert(path.clone(), Some(branch.clone()));
            }
        }
        for path in self.branches.keys().filter(|p| !other.contains_key(*p)) {
            changes.insert(path.clone(), None);
        }
        TreeDiff { changes }
    }

    /// The same tree with changes applied, at another revision.
    #[must_use]
    pub fn apply(&self, revision: u64, diff: &TreeDiff) -> Self {
        let mut branches = self.branches.clone();
        for (path, change) in &diff.changes {
            match change {
                Some(branch) => branches.insert(path.clone(), branch.clone()),
                None => branches.remove(path),
            };
        }
        Self::new(revision, branches)
    }

    /// Whether a revision is newer than this one: the only one to take.
    pub const fn yields_to(&self, revision: u64) -> bool {
        revision > self.revision
    }

    fn visit(&self, path: &str, context: &Context, f: &mut impl FnMut(&str, &Branch)) {
        let Some(branch) = self.branches.get(path) else {
            return;
        };
        if !context.matches(branch.covers.as_ref()) {
            return;
        }
        f(path, branch);
        let Some(children) = self.children.get(path) else {
            return;
        };
        for child in &children.plain {
            self.visit(child, context, f);
        }
        for cover in context_covers(context) {
            if let Some(child) = children.covering.get(&cover) {
                self.visit(child, context, f);
            }
        }
    }
}

/// The covers that a context matches, in the order in which they apply.
fn context_covers(context: &Context) -> impl Iterator<Item = Cover> {
    let region = context.region.clone().map(Cover::Region);
    let hall = context.hall.clone().map(Cover::Hall);
    let domain = context.domain.clone().map(Cover::Domain);
    let generation = context.generation.clone().map(Cover::Generation);
    let customer = context.customer.clone().map(Cover::Customer);
    [region, hall, domain, generation, customer]
        .into_iter()
        .flatten()
}

fn index_token(tokens: &mut HashMap<String, CustomerId>, branch: &Branch) {
    if let (Some(Cover::Customer(customer)), Some(token)) = (&branch.covers, &branch.token_sha256) {
        tokens.insert(token.clone(), customer.clone());
    }
}

/// The path of a branch's parent; `None` for the root.
pub(super) fn parent(path: &str) -> Option<&str> {
    if path == ROOT {
        return None;
    }
    match path.rfind('/') {
        Some(0) | None => Some(ROOT),
        Some(at) => Some(&path[..at]),
    }
}
