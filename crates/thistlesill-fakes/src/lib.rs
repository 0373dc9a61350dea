//! Small fakes at the interfaces: a transactional table, a target that
//! takes orders, and the file that describes a fleet of them. They do no I/O and read no clock; the stand-ins, the
//! replayer and the tests are built on them.

pub mod engines;
mod fleet_file;
mod prefix_cache;
mod table;
mod target;

pub use fleet_file::{DomainSpec, EngineOptions, FleetFile, HallSpec};
pub use prefix_cache::PrefixCache;
pub use table::Table;
pub use target::Target;

/// Property tests by `quickcheck` with a fixed seed, so that CI gives the
/// same verdict every run. The calling crate needs `quickcheck`.
#[macro_export]
macro_rules! seeded {
    ($(fn $name:ident($($arg:ident: $type:ty),* $(,)?) -> $result:ty $body:block)*) => {$(
        // The method that the library names as successor is not in it yet.
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
