//! The settings tree at one revision, and the resolution of values from the tree.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::{Branch, Cover, ROOT, Values};
use crate::message::BranchEntry;
use crate::{Adapter, CustomerId, DomainId, Generation, HallId, Model, RegionId};

/// The part of the fleet and the customer for which values are resolved.
///
/// A branch that covers, for example, a hall does not match a context without a hall.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Context {
    /// Region, if any.
    pub region: Option<RegionId>,
    /// Hall, if any.
    pub hall: Option<HallId>,
    /// Fabric domain, if any.
    pub domain: Option<DomainId>,
    /// Hardware generation, if any.
    pub generation: Option<Generation>,
    /// Customer, if any.
    pub customer: Option<CustomerId>,
}

impl Context {
    /// Creates a context with only a customer.
    pub fn customer(customer: CustomerId) -> Self {
        Self {
            customer: Some(customer),
            ..Self::default()
        }
    }

    /// Sets the customer of the context.
    #[must_use]
    pub fn with_customer(mut self, customer: CustomerId) -> Self {
        self.customer = Some(customer);
        self
    }

    /// Sets the region of the context.
    #[must_use]
    pub fn with_region(mut self, region: RegionId) -> Self {
        self.region = Some(region);
        self
    }

    /// Sets the hall of the context.
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

/// The origin of a resolved value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the value.
    pub name: String,
    /// Path of the branch that set the value.
    pub path: String,
}

/// The values that apply in a context, with their origins.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Resolved {
    /// Resolved values.
    pub values: Values,
    /// Origin of each value that is set.
    pub origins: Vec<Origin>,
}

/// The difference between two settings trees.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TreeDiff {
    /// Changed branches by path; `None` for a removed branch.
    pub changes: BTreeMap<String, Option<Branch>>,
}

/// All branches of the settings at one revision.
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
/// let in_hall = Context::default().with_hall("concord".into());
/// assert_eq!(tree.resolve(&in_hall).slots, Some(4));
/// assert_eq!(tree.resolve(&Context::default()).slots, Some(8));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tree {
    revision: u64,
    branches: BTreeMap<String, Branch>,
    /// Children by parent path and cover, so that the cost of resolving values grows with the
    /// depth of the tree and not with the number of branches.
    children: HashMap<String, Children>,
    /// Customers by the SHA-256 of their tokens.
    tokens: HashMap<String, CustomerId>,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Children {
    /// Paths of the children that cover no part of the fleet of their own.
    uncovered: Vec<String>,
    /// Paths of the other children by their covers.
    covering: HashMap<Cover, String>,
}

impl Tree {
    /// Creates a tree from its branches by path.
    pub fn new(revision: u64, branches: BTreeMap<String, Branch>) -> Self {
        let mut children: HashMap<String, Children> = HashMap::new();
        let mut tokens = HashMap::new();
        for (path, branch) in &branches {
            add_token(&mut tokens, branch);
            let Some(parent) = parent(path) else { continue };
            let entry = children.entry(parent.to_owned()).or_default();
            match &branch.covers {
                None => entry.uncovered.push(path.clone()),
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

    /// Returns the revision of the tree.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all branches by path.
    pub const fn branches(&self) -> &BTreeMap<String, Branch> {
        &self.branches
    }

    /// Returns all branches, encoded for the wire.
    pub fn entries(&self) -> Vec<BranchEntry> {
        let list = self.branches.iter();
        list.map(|(path, branch)| BranchEntry::new(path, branch))
            .collect()
    }

    /// Returns the customer whose token has the given SHA-256 in hexadecimal.
    pub fn customer_of(&self, token_sha256: &str) -> Option<&CustomerId> {
        self.tokens.get(token_sha256)
    }

    /// Returns all customers that are covered by some branch.
    pub fn customers(&self) -> BTreeSet<CustomerId> {
        let covers = self.branches.values().filter_map(|b| b.covers.as_ref());
        covers
            .filter_map(|c| match c {
                Cover::Customer(customer) => Some(customer.clone()),
                _ => None,
            })
            .collect()
    }

    /// Returns the adapters that any customers use with `model` in a context, sorted by name.
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

    /// Returns the values that apply in a context.
    pub fn resolve(&self, context: &Context) -> Values {
        let mut values = Values::default();
        self.visit(ROOT, context, &mut |_, branch| values.overlay(branch));
        values
    }

    /// Returns the values that apply in a context, with the branch that set each of them.
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

    /// Returns the changes that turn this tree's branches into `other`.
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

    /// Returns the tree that results from applying changes, at the given revision.
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

    /// Returns whether this tree is older than `revision`: only then may a tree of that revision
    /// replace this one.
    pub const fn is_older_than(&self, revision: u64) -> bool {
        revision > self.revision
    }

    fn visit(&self, path: &str, context: &Context, visitor: &mut impl FnMut(&str, &Branch)) {
        let Some(branch) = self.branches.get(path) else {
            return;
        };
        if !context.matches(branch.covers.as_ref()) {
            return;
        }
        visitor(path, branch);
        let Some(children) = self.children.get(path) else {
            return;
        };
        for child in &children.uncovered {
            self.visit(child, context, visitor);
        }
        for cover in context_covers(context) {
            if let Some(child) = children.covering.get(&cover) {
                self.visit(child, context, visitor);
            }
        }
    }
}

/// Returns the covers that match a context, in the order in which they apply.
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

fn add_token(tokens: &mut HashMap<String, CustomerId>, branch: &Branch) {
    if let (Some(Cover::Customer(customer)), Some(token)) = (&branch.covers, &branch.token_sha256) {
        tokens.insert(token.clone(), customer.clone());
    }
}

/// Returns the path of a branch's parent; `None` for the root.
pub(super) fn parent(path: &str) -> Option<&str> {
    if path == ROOT {
        return None;
    }
    match path.rfind('/') {
        Some(0) | None => Some(ROOT),
        Some(at) => Some(&path[..at]),
    }
}
