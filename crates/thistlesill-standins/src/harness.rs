//! Starts a whole deployment as separate processes on loopback, for the
//! demo and for tests of failures.

mod caller;
mod deployment;
mod process;

pub use caller::{Caller, CallerError, ChatAnswer, ErrorAnswer, Kind};
pub use deployment::{Deployment, Options};
pub use process::{Child, binary};
