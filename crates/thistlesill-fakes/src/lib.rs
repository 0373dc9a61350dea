//! In-memory fakes of the external interfaces: a transactional table, targets that carry out
//! orders, and the file that describes a fleet of targets.
//!
//! The fakes do no I/O and read no clock. The stand-ins, the replayer and the tests are built on
//! them.

pub mod engines;
mod fleet_file;
mod prefix_cache;
mod table;
mod target;

pub use fleet_file::{DomainSpec, EngineOptions, FleetFile, HallSpec};
pub use prefix_cache::PrefixCache;
pub use table::Table;
pub use target::Target;

/// Defines `quickcheck` property tests with a fixed seed, so that every CI run has the same
/// result. The calling crate needs `quickcheck` as a dependency.
#[macro_export]
macro_rules! seeded {
    ($(fn $name:ident($($arg:ident: $type:ty),* $(,)?) -> $result:ty $body:block)*) => {$(
        // The replacement that the deprecation notice names is not in the library yet.
        #[allow(deprecated)]
        #[test]
        fn $name() {
            fn property($($arg: $type),*) -> $result $body
            let source = ::quickcheck::Gen::from_size_and_seed(100, 7);
            ::quickcheck::QuickCheck::new()
                .r#gen(source)
                .quickcheck(property as fn($($type),*) -> $result);
        }
    )*};
}
