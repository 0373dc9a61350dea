//! Small fakes at the interfaces: a transactional table and a target that
//! takes orders. They do no I/O and read no clock; the stand-ins, the
//! replayer and the tests are built on them.

mod table;
mod target;

pub use table::Table;
pub use target::Target;
