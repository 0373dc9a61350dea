//! The tree of settings that operators edit.
//!
//! A branch covers part of the fleet (a region, hall, fabric domain, hardware generation or
//! customer), inherits the values of its parent and overrides some of them. If several children
//! of a branch match, they apply in the order of [`Cover`]: region, hall, domain, generation,
//! customer. Later ones override earlier ones.

mod check;
mod file;
mod tree;
mod values;

pub use check::{Fault, check};
pub use file::{FileError, TreeFile, parse_file};
pub use tree::{Context, Origin, Resolved, Tree, TreeDiff};
pub use values::{Branch, Cover, Shape, Values};

/// Path of the root branch.
pub const ROOT: &str = "/";
